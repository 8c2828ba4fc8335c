//! `medlarctl soak`, and the processes that it starts beside the nodes.

use crate::{
    ctl_error::{
        CtlError, InvalidValueSnafu, ListenSnafu, ReadFileSnafu, SoakFindingsSnafu, SoakSnafu,
        UnknownValueSnafu, WriteFileSnafu,
    },
    fake_commands::parse_address,
    flags::{Soak, StandInStore as StoreFlags, StandInUpstream as UpstreamFlags},
    soak_observation::RunReport,
    soak_options::SoakOptions,
    soak_run,
};
use medlarpost_stand_in::{
    Capacity, StandInStore, StandInUpstream, run_store_commands, run_upstream_commands,
};
use rustix::process::{Pid, Signal, kill_process};
use snafu::{OptionExt as _, ResultExt as _, ensure};
use std::{
    collections::BTreeSet,
    io::{BufRead as _, Write as _},
    ops::RangeInclusive,
    time::Duration,
};
use tokio::{io::BufReader, sync::mpsc};

/// Most nodes and most processes of a run; a machine that runs tests can bear a few hundred processes.
const MAX_NODES_AND_PROCESSES: (usize, usize) = (200, 400);

/// Shortest run in seconds: the start and the end without faults, and a few faults between.
const MIN_SECONDS: u64 = 20;

/// Requests that may wait at an upstream.
const UPSTREAM_QUEUE: u32 = 12;

/// Time that a request takes at an upstream, unless a flag sets another.
const DEFAULT_WORK_TIME: Duration = Duration::from_millis(8);

/// Runs each seed in turn, until one has findings or a signal interrupts it.
pub(crate) fn run(flags: &Soak) -> Result<(), CtlError> {
    let seconds = flags.seconds.unwrap_or(45);
    ensure!(
        seconds >= MIN_SECONDS,
        InvalidValueSnafu {
            name: "--seconds",
            detail: format!("{seconds}; pass {MIN_SECONDS} or more"),
        }
    );
    for seed in parse_seeds(flags)? {
        let options = soak_options(flags, seed, seconds)?;
        let report = actix_rt::System::new()
            .block_on(soak_run::run(options))
            .context(SoakSnafu)?;
        if flags.json {
            outln!("{}", report.to_json());
        } else {
            out!("{report}");
        }
        // Readers follow the reports while later seeds run.
        let _closed = std::io::stdout().flush();
        ensure!(
            report.findings.is_empty(),
            SoakFindingsSnafu {
                count: report.findings.len(),
                seed,
            }
        );
        if report.interrupted {
            break;
        }
    }
    Ok(())
}

fn parse_seeds(flags: &Soak) -> Result<RangeInclusive<u64>, CtlError> {
    let text = flags.seeds.as_deref().unwrap_or("1");
    let range = text.split_once("..").unwrap_or((text, text));
    let range = (range.0.parse().ok()).zip(range.1.parse().ok());
    let (first, last) = range.context(UnknownValueSnafu {
        name: "--seeds",
        value: text,
        known: "a number, or FIRST..LAST, such as 1..5",
    })?;
    Ok(first..=last)
}

fn soak_options(flags: &Soak, seed: u64, seconds: u64) -> Result<SoakOptions, CtlError> {
    let nodes = flags.nodes.unwrap_or(3);
    let shards = flags.shards.unwrap_or(3);
    let replicas = flags.replicas.unwrap_or(2);
    // The store and the guard, the nodes, and the upstreams of the desk service and of two sets of shards.
    let processes = 2 + nodes + replicas * (1 + 2 * shards);
    let (max_nodes, max_processes) = MAX_NODES_AND_PROCESSES;
    let fits = (1..=max_nodes).contains(&nodes)
        && (1..=max_processes).contains(&processes)
        && shards > 0
        && replicas > 0;
    ensure!(
        fits,
        InvalidValueSnafu {
            name: "--nodes, --shards, --replicas",
            detail: format!(
                "{nodes}, {shards} and {replicas} are {processes} processes; pass 1 to {max_nodes} nodes and at most \
                 {max_processes} processes"
            ),
        }
    );
    let directory = flags.logs.clone().unwrap_or_else(std::env::temp_dir);
    let directory = directory.join(format!("medlarpost-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&directory).context(WriteFileSnafu { path: &directory })?;
    let stand_in_program = std::env::current_exe().context(ReadFileSnafu {
        path: "this program",
    })?;
    let default_node_program = stand_in_program.with_file_name("medlarpost");
    Ok(SoakOptions {
        seed,
        duration: Duration::from_secs(seconds),
        nodes,
        shards,
        replicas,
        callers: flags.callers.unwrap_or(12),
        directory,
        node_program: flags.program.clone().unwrap_or(default_node_program),
        stand_in_program,
    })
}

/// Runs a stand-in of the store until its standard input ends.
pub(crate) fn run_store(flags: &StoreFlags) -> Result<(), CtlError> {
    let address = parse_address(&flags.address)?;
    actix_rt::System::new().block_on(async {
        let store = StandInStore::start(address);
        let commands = run_store_commands(&store, BufReader::new(tokio::io::stdin()));
        commands.await.map_err(|line| invalid_command(&line))
    })
}

/// Runs a stand-in of an upstream until its standard input ends. It prints a JSON line for each request that it runs.
pub(crate) fn run_upstream(flags: &UpstreamFlags) -> Result<(), CtlError> {
    let address = parse_address(&flags.address)?;
    let capacity = Capacity {
        slots: flags.slots.unwrap_or(3),
        queue: UPSTREAM_QUEUE,
        work: flags
            .work_ms
            .map_or(DEFAULT_WORK_TIME, Duration::from_millis),
    };
    let instance = flags.instance.clone();
    actix_rt::System::new().block_on(async {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let upstream = StandInUpstream::start_reporting(address, &instance, capacity, tx)
            .await
            .context(ListenSnafu)?;
        actix_rt::spawn(async move {
            while let Some(run) = rx.recv().await {
                match serde_json::to_string(&RunReport::of(&instance, &run)) {
                    Ok(line) => outln!("{line}"),
                    Err(error) => eprintln!("error: {error}"),
                }
            }
        });
        let commands = run_upstream_commands(&upstream, BufReader::new(tokio::io::stdin()));
        commands.await.map_err(|line| invalid_command(&line))
    })
}

fn invalid_command(line: &str) -> CtlError {
    CtlError::InvalidValue {
        name: "standard input",
        detail: format!("{line:?} is not a command; see the module `commands` of the stand-ins"),
    }
}

/// Kills the nodes that a soak left running when standard input ends. The soak sends `started ID` and `ended ID` for
/// each node, and `done` if it ended the nodes itself, in which case nothing is killed.
pub(crate) fn run_guard() {
    let mut running = BTreeSet::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_once(' ') {
            Some(("started", id)) => {
                running.extend(id.parse::<i32>());
            }
            Some(("ended", id)) => {
                running.retain(|known: &i32| known.to_string() != id);
            }
            _ => return,
        }
    }
    for pid in running.into_iter().filter_map(Pid::from_raw) {
        // Fails if the process has ended in the meantime.
        let _ended = kill_process(pid, Signal::KILL);
    }
}

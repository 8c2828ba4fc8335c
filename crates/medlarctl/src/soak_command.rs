//! `medlarctl soak`, and the processes that it starts beside the nodes.

use crate::{
    ctl_error::{
        CtlError, InvalidValueSnafu, ListenSnafu, ReadFileSnafu, SoakFindingsSnafu, SoakSnafu,
        UnknownValueSnafu, WriteFileSnafu,
    },
    fake_commands::address,
    flags::{Soak, StandInStore as StoreFlags, StandInUpstream as UpstreamFlags},
    soak_observation::RunReport,
    soak_options::SoakOptions,
    soak_run,
};
use medlarpost_stand_in::{
    Capacity, StandInStore, StandInUpstream, follow_store_orders, follow_upstream_orders,
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

/// Most nodes and most processes of a run; a machine that runs tests takes a few hundred.
const MOST: (usize, usize) = (200, 400);

/// Shortest run: the calm start, a few faults and the quiet end.
const LEAST_SECONDS: u64 = 20;

/// Requests that may wait at an upstream.
const QUEUE: u32 = 12;

/// Time that a request takes at an upstream.
const WORK: Duration = Duration::from_millis(8);

/// Runs each seed in turn, up to the first finding.
pub(crate) fn run(flags: &Soak) -> Result<(), CtlError> {
    let seconds = flags.seconds.unwrap_or(45);
    ensure!(
        seconds >= LEAST_SECONDS,
        InvalidValueSnafu {
            name: "--seconds",
            detail: format!("{seconds}; pass {LEAST_SECONDS} or more"),
        }
    );
    for seed in seeds(flags)? {
        let options = options(flags, seed, seconds)?;
        let report = actix_rt::System::new()
            .block_on(soak_run::run(options))
            .context(SoakSnafu)?;
        if flags.json {
            println!("{}", report.to_json());
        } else {
            print!("{report}");
        }
        // Lines are read while the run goes on.
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

fn seeds(flags: &Soak) -> Result<RangeInclusive<u64>, CtlError> {
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

fn options(flags: &Soak, seed: u64, seconds: u64) -> Result<SoakOptions, CtlError> {
    let nodes = flags.nodes.unwrap_or(3);
    let shards = flags.shards.unwrap_or(3);
    let replicas = flags.replicas.unwrap_or(2);
    // The store and its guard, the nodes, and the upstreams of the desk and of two sets of shards.
    let processes = 2 + nodes + replicas * (1 + 2 * shards);
    let (most_nodes, most_processes) = MOST;
    let fits = (1..=most_nodes).contains(&nodes)
        && (1..=most_processes).contains(&processes)
        && shards > 0
        && replicas > 0;
    ensure!(
        fits,
        InvalidValueSnafu {
            name: "--nodes, --shards, --replicas",
            detail: format!(
                "{nodes}, {shards} and {replicas} are {processes} processes; pass 1 to {most_nodes} nodes and at most \
                 {most_processes} processes"
            ),
        }
    );
    let directory = flags.logs.clone().unwrap_or_else(std::env::temp_dir);
    let directory = directory.join(format!("medlarpost-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&directory).context(WriteFileSnafu { path: &directory })?;
    let stand_in_program = std::env::current_exe().context(ReadFileSnafu {
        path: "this program",
    })?;
    let beside = stand_in_program.with_file_name("medlarpost");
    Ok(SoakOptions {
        seed,
        duration: Duration::from_secs(seconds),
        nodes,
        shards,
        replicas,
        callers: flags.callers.unwrap_or(12),
        directory,
        node_program: flags.program.clone().unwrap_or(beside),
        stand_in_program,
    })
}

/// Runs a stand-in of the store until its standard input ends.
pub(crate) fn run_store(flags: &StoreFlags) -> Result<(), CtlError> {
    let address = address(&flags.address)?;
    actix_rt::System::new().block_on(async {
        let store = StandInStore::start(address);
        let orders = follow_store_orders(&store, BufReader::new(tokio::io::stdin()));
        orders.await.map_err(|line| no_order(&line))
    })
}

/// Runs a stand-in of an upstream, which reports what it runs, until its standard input ends.
pub(crate) fn run_upstream(flags: &UpstreamFlags) -> Result<(), CtlError> {
    let address = address(&flags.address)?;
    let capacity = Capacity {
        slots: flags.slots.unwrap_or(3),
        queue: QUEUE,
        work: flags.work_ms.map_or(WORK, Duration::from_millis),
    };
    let instance = flags.instance.clone();
    actix_rt::System::new().block_on(async {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let upstream = StandInUpstream::report(address, &instance, capacity, tx)
            .await
            .context(ListenSnafu)?;
        actix_rt::spawn(async move {
            while let Some(run) = rx.recv().await {
                match serde_json::to_string(&RunReport::of(&instance, &run)) {
                    Ok(line) => println!("{line}"),
                    Err(fault) => eprintln!("error: {fault}"),
                }
            }
        });
        let orders = follow_upstream_orders(&upstream, BufReader::new(tokio::io::stdin()));
        orders.await.map_err(|line| no_order(&line))
    })
}

fn no_order(line: &str) -> CtlError {
    CtlError::InvalidValue {
        name: "standard input",
        detail: format!("{line:?} is no order; see the module `orders` of the stand-ins"),
    }
}

/// Kills the nodes of a soak that ends without doing so: lines `started ID`, `ended ID` and `done`.
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
        // The process may have ended.
        let _ended = kill_process(pid, Signal::KILL);
    }
}

//! The processes of a soak test, and the operations that disturb and restore them.

use crate::{
    loopback_proxy::{LinkFault, LoopbackProxy},
    soak_caller::CALLERS_PORT,
    soak_history::{Disturbance, SoakBounds, SoakHistory, TimeSpan},
    soak_observation::monotonic_micros,
    soak_options::{SoakAddresses, SoakOptions},
    soak_process::SoakProcess,
    soak_upstreams::FleetUpstream,
};
use medlarpost_stand_in::{StoreCommand, settings};
use rustix::process::Signal;
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::sync::mpsc;

/// Zones, to which nodes and upstreams are assigned in turn.
pub(crate) const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Service that answers reads and bookings.
pub(crate) const DESK_SERVICE: &str = "desk";

/// Prefixes of the service names of the two sets of shards.
pub(crate) const SHARD_SETS: [&str; 2] = ["first", "second"];

/// Port on which nodes answer readiness checks.
const READINESS_PORT: u16 = 18_081;

/// Port of the store, and the first port of the proxies to it.
const STORE_PORT: u16 = 18_082;

/// Bounds in the settings of the nodes that differ from the defaults of the stand-in's settings.
const SETTINGS_BOUNDS: [(&str, &str); 6] = [
    ("contactMs", "4000"),
    ("drainMs", "3000"),
    ("configApplyMs", "3000"),
    ("evacuateMs", "5000"),
    ("strictRevoke", "true"),
    ("revokeMs", "5000"),
];

/// Bounds of the checks; they follow from [`SETTINGS_BOUNDS`] and the defaults of the stand-in's settings.
pub(crate) const SOAK_BOUNDS: SoakBounds = SoakBounds {
    store_contact: 4_000_000,
    drain: 3_000_000,
    config_apply: 3_000_000,
    revoke: 5_000_000,
    evacuate: 5_000_000,
    recovery: 12_000_000,
    cold_requests_per_second: 20,
    extra_ratio: 0.2,
    extra_slack: 54.0,
    extra_window: 10_000_000,
};

/// A node: its process, unless it is down, and the proxy between it and the store.
struct FleetNode {
    process: Option<SoakProcess>,
    store_link: LoopbackProxy,
    settings: PathBuf,
    log: PathBuf,
}

/// The processes of a soak.
pub(crate) struct SoakFleet {
    pub(crate) options: SoakOptions,
    pub(crate) addresses: SoakAddresses,
    pub(crate) history: SoakHistory,
    store: SoakProcess,
    /// Kills the nodes if this process ends without doing so.
    guard: SoakProcess,
    nodes: Vec<FleetNode>,
    pub(crate) upstreams: Vec<FleetUpstream>,
    /// Replaced upstreams that still serve.
    pub(crate) leaving: Vec<FleetUpstream>,
    pub(crate) reports: mpsc::UnboundedSender<String>,
    /// Number of instances started so far.
    pub(crate) instances_started: usize,
    pub(crate) version: u64,
    /// Index in [`SHARD_SETS`] of the set of the newest configuration.
    pub(crate) shard_set: usize,
    /// Number of upstream entries written so far; makes each entry differ from earlier ones.
    pub(crate) entries_written: u64,
}

impl SoakFleet {
    /// Starts the store, the upstreams and the nodes.
    pub(crate) async fn start(
        options: SoakOptions,
        reports: mpsc::UnboundedSender<String>,
    ) -> io::Result<Self> {
        let addresses = SoakAddresses::of_process();
        let store_address = SocketAddr::from((addresses.store(), STORE_PORT));
        let arguments = ["stand-in-store", "--address", &store_address.to_string()];
        let arguments = arguments.map(str::to_owned);
        let program = &options.stand_in_program;
        let store = SoakProcess::spawn_with_commands(program, &arguments, reports.clone())?;
        let guard = ["soak-guard".to_owned()];
        let guard = SoakProcess::spawn_with_commands(program, &guard, reports.clone())?;
        let mut fleet = Self {
            guard,
            addresses,
            history: SoakHistory {
                node_disturbances: vec![Vec::new(); options.nodes],
                ..SoakHistory::default()
            },
            options,
            store,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            leaving: Vec::new(),
            reports,
            instances_started: 0,
            version: 0,
            shard_set: 0,
            entries_written: 0,
        };
        for service in fleet.service_names() {
            for _ in 0..fleet.options.replicas {
                let zone = ZONES[fleet.upstreams.len() % ZONES.len()];
                let upstream = fleet.start_upstream(&service, zone, Duration::ZERO).await?;
                fleet.upstreams.push(upstream);
            }
        }
        fleet.publish_configuration(0).await;
        for node in 0..fleet.options.nodes {
            fleet.add_node(node, store_address).await?;
            fleet.start_node(node).await?;
        }
        Ok(fleet)
    }

    pub(crate) fn service_names(&self) -> Vec<String> {
        let shards = SHARD_SETS
            .into_iter()
            .flat_map(|prefix| self.shard_services(prefix));
        std::iter::once(DESK_SERVICE.to_owned())
            .chain(shards)
            .collect()
    }

    pub(crate) fn shard_services(&self, prefix: &str) -> Vec<String> {
        (0..self.options.shards)
            .map(|shard| format!("{prefix}-{shard}"))
            .collect()
    }

    /// Number of running processes: the store, the nodes and the upstreams.
    pub(crate) fn running_processes(&self) -> usize {
        let upstreams = self.upstreams.iter().chain(&self.leaving);
        let nodes = self.nodes.iter().filter(|node| node.process.is_some());
        1 + nodes.count() + upstreams.filter(|u| u.process.is_some()).count()
    }

    /// Writes the settings of a node and starts its proxy to the store.
    async fn add_node(&mut self, node: usize, store: SocketAddr) -> io::Result<()> {
        let port = STORE_PORT + node as u16;
        let link = SocketAddr::from((self.addresses.store_proxies(), port));
        let ip = self.addresses.node(node).to_string();
        let name = format!("node-{node}");
        let seeds: Vec<_> = (0..self.options.nodes.min(3))
            .map(|seed| self.addresses.node(seed).to_string())
            .collect();
        let zone = ZONES[node % ZONES.len()];
        let listeners = (CALLERS_PORT, READINESS_PORT);
        let text = settings(
            (&name, &ip, zone),
            listeners,
            link,
            &seeds,
            &SETTINGS_BOUNDS,
        );
        let settings = self.options.directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        self.nodes.push(FleetNode {
            process: None,
            store_link: LoopbackProxy::start(link, store).await?,
            settings,
            log: self.options.directory.join(format!("{name}.log")),
        });
        Ok(())
    }

    /// Starts a node that is down, and registers its process with the guard.
    pub(crate) async fn start_node(&mut self, position: usize) -> io::Result<()> {
        let node = &mut self.nodes[position];
        let variable = ("MEDLARPOST_SETTINGS", node.settings.as_path());
        let process = SoakProcess::spawn_with_log(&self.options.node_program, variable, &node.log)?;
        let id = process.id();
        node.process = Some(process);
        self.guard.send_command(&format!("started {id}")).await;
        Ok(())
    }

    /// Kills a node's process if it still runs, and removes it from the guard.
    pub(crate) async fn end_node_process(&mut self, process: SoakProcess) {
        let id = process.id();
        drop(process);
        self.guard.send_command(&format!("ended {id}")).await;
    }

    /// Ends the guard, as the soak itself ends its processes.
    pub(crate) async fn dismiss_guard(&mut self) {
        self.guard.send_command(&"done").await;
    }

    /// Address of a node's readiness checks.
    pub(crate) fn readiness_address(&self, node: usize) -> SocketAddr {
        SocketAddr::from((self.addresses.node(node), READINESS_PORT))
    }

    /// Sends a signal to a node, unless it is down.
    pub(crate) fn signal_node(&self, node: usize, signal: Signal) {
        if let Some(process) = &self.nodes[node].process {
            process.signal(signal);
        }
    }

    /// Whether a node has a process.
    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].process.is_some()
    }

    /// Removes and returns the process of a node, which then counts as down.
    pub(crate) fn take_node_process(&mut self, node: usize) -> Option<SoakProcess> {
        self.nodes[node].process.take()
    }

    /// Finds the first node whose process has exited without being stopped or killed by the soak. Returns its position
    /// and its exit status.
    pub(crate) fn find_exited_node(&mut self) -> Option<(usize, String)> {
        let mut nodes = self.nodes.iter_mut().enumerate();
        nodes.find_map(|(position, node)| {
            let status = node.process.as_mut()?.exit_status()?;
            Some((position, status.to_string()))
        })
    }

    /// Sets the fault of the link from a node to the store.
    pub(crate) fn set_store_link_fault(&self, node: usize, fault: LinkFault) {
        self.nodes[node].store_link.set_fault(fault);
    }

    /// Cuts the open connections from all nodes to the store.
    pub(crate) fn cut_store_links(&self) {
        for node in &self.nodes {
            node.store_link.cut();
        }
    }

    /// Sends a signal to the store.
    pub(crate) fn signal_store(&self, signal: Signal) {
        self.store.signal(signal);
    }

    /// Sends a command to the store.
    pub(crate) async fn send_store_command(&mut self, command: &StoreCommand) {
        self.store.send_command(command).await;
    }

    /// Records the start of a disturbance of a node. Returns its index, for [`Self::end_disturbance`].
    pub(crate) fn begin_disturbance(&mut self, node: usize, kind: Disturbance) -> usize {
        let disturbances = &mut self.history.node_disturbances[node];
        disturbances.push((kind, span_from_now()));
        disturbances.len() - 1
    }

    /// Records the end of a disturbance of a node.
    pub(crate) fn end_disturbance(&mut self, node: usize, index: usize) {
        self.history.node_disturbances[node][index].1.until = Some(monotonic_micros());
    }
}

/// A span that begins now and has no end yet.
pub(crate) fn span_from_now() -> TimeSpan {
    TimeSpan {
        from: monotonic_micros(),
        until: None,
    }
}

//! The processes of a soak test, and the operations that disturb and restore them.

use crate::{
    loopback_proxy::{LinkFault, LoopbackProxy},
    soak_caller::CALLERS_PORT,
    soak_history::{
        Disturbance, InstanceRecord, PublishedConfiguration, SoakBounds, SoakHistory, TimeSpan,
    },
    soak_keys,
    soak_observation::{SoakTime, monotonic_micros},
    soak_options::{SoakAddresses, SoakOptions},
    soak_process::SoakProcess,
};
use medlarpost_stand_in::{
    CONFIGURATION_KEY, EntryState, RouteKind, StoreCommand, UpstreamEntry, configuration,
    evacuation_key, route, settings, shard_route, upstream_entry, upstream_key,
};
use rustix::process::Signal;
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::sync::mpsc;

/// Zones, to which nodes and upstreams are assigned in turn.
pub(crate) const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Service that answers reads and bookings.
const DESK_SERVICE: &str = "desk";

/// Prefixes of the service names of the two sets of shards.
const SHARD_SETS: [&str; 2] = ["first", "second"];

/// Port on which nodes answer readiness checks.
const READINESS_PORT: u16 = 18_081;

/// Port of the store, and the first port of the proxies to it.
const STORE_PORT: u16 = 18_082;

/// First port of the upstreams and of the proxies to them.
const FIRST_UPSTREAM_PORT: u16 = 20_000;

/// Requests that an upstream runs at the same time.
const UPSTREAM_SLOTS: u32 = 3;

/// Time for which an upstream is cold after its start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests a second that a cold upstream can serve.
const COLD_REQUESTS_PER_SECOND: f64 = 10.0;

/// Number of versions whose added routes a configuration keeps, its own included.
const ADDED_ROUTES_KEPT: usize = 2;

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

/// An upstream: its process, unless it is down, and the proxy between the nodes and it.
pub(crate) struct FleetUpstream {
    pub(crate) process: Option<SoakProcess>,
    pub(crate) link: LoopbackProxy,
    service: String,
    zone: &'static str,
    /// Address of the proxy, which is registered in the store.
    proxy_address: SocketAddr,
    /// Address of the process.
    process_address: SocketAddr,
    pub(crate) instance: String,
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
    leaving: Vec<FleetUpstream>,
    reports: mpsc::UnboundedSender<String>,
    /// Number of instances started so far.
    instances_started: usize,
    version: u64,
    /// Index in [`SHARD_SETS`] of the set of the newest configuration.
    shard_set: usize,
    /// Number of upstream entries written so far; makes each entry differ from earlier ones.
    entries_written: u64,
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

    fn service_names(&self) -> Vec<String> {
        let shards = SHARD_SETS
            .into_iter()
            .flat_map(|prefix| self.shard_services(prefix));
        std::iter::once(DESK_SERVICE.to_owned())
            .chain(shards)
            .collect()
    }

    fn shard_services(&self, prefix: &str) -> Vec<String> {
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

    /// Writes an incomplete entry of another service under the key of an upstream that runs.
    pub(crate) async fn put_odd_entry(&mut self, position: usize) {
        let upstream = &self.upstreams[position];
        let other = self.upstreams.iter().map(|upstream| &upstream.service);
        let other = other.into_iter().find(|name| **name != upstream.service);
        let (Some(service), Some(_)) = (other, &upstream.process) else {
            return;
        };
        let entry = serde_json::json!({
            "service": service,
            "address": upstream.proxy_address.to_string(),
            "zone": upstream.zone,
            "slots": UPSTREAM_SLOTS,
            "state": "ready",
            "warmupLeftMs": 0,
        });
        let key = upstream_key(&upstream.instance);
        let command = StoreCommand::Put(key, entry.to_string().into_bytes());
        self.send_store_command(&command).await;
    }

    /// Writes the entry of an upstream that runs again.
    pub(crate) async fn repeat_entry(&mut self, position: usize) {
        if self.upstreams[position].process.is_none() {
            return;
        }
        let upstream = self.upstreams.swap_remove(position);
        let cold_until = self.history.instances[&upstream.instance].cold_until;
        let cold_for = Duration::from_micros(cold_until.saturating_sub(monotonic_micros()));
        self.put_entry(&upstream, EntryState::Ready, cold_for).await;
        self.upstreams.push(upstream);
        let last = self.upstreams.len() - 1;
        self.upstreams.swap(position, last);
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

    async fn start_upstream(
        &mut self,
        service: &str,
        zone: &'static str,
        cold_for: Duration,
    ) -> io::Result<FleetUpstream> {
        let port = FIRST_UPSTREAM_PORT + self.instances_started as u16;
        let proxy_address = SocketAddr::from((self.addresses.upstream_proxies(), port));
        let process_address = SocketAddr::from((self.addresses.upstreams(), port));
        let mut upstream = FleetUpstream {
            process: None,
            link: LoopbackProxy::start(proxy_address, process_address).await?,
            service: service.to_owned(),
            zone,
            proxy_address,
            process_address,
            instance: String::new(),
        };
        self.start_instance(&mut upstream, cold_for).await?;
        Ok(upstream)
    }

    /// Starts a new instance of an upstream that is down, and registers it in the store.
    async fn start_instance(
        &mut self,
        upstream: &mut FleetUpstream,
        cold_for: Duration,
    ) -> io::Result<()> {
        self.instances_started += 1;
        upstream.instance = format!("i-{}", self.instances_started);
        let (address, slots) = (
            upstream.process_address.to_string(),
            UPSTREAM_SLOTS.to_string(),
        );
        let arguments = [
            "stand-in-upstream",
            "--address",
            &address,
            "--instance",
            &upstream.instance,
            "--slots",
            &slots,
        ];
        let arguments = arguments.map(str::to_owned);
        let program = &self.options.stand_in_program;
        let process = SoakProcess::spawn_with_commands(program, &arguments, self.reports.clone())?;
        upstream.process = Some(process);
        let record = InstanceRecord {
            service: upstream.service.clone(),
            zone: upstream.zone.to_owned(),
            cold_until: monotonic_micros() + cold_for.as_micros() as SoakTime,
            leaving: None,
        };
        let instance = upstream.instance.clone();
        self.history.instances.insert(instance, record);
        self.put_entry(upstream, EntryState::Ready, cold_for).await;
        Ok(())
    }

    async fn put_entry(&mut self, upstream: &FleetUpstream, state: EntryState, cold_for: Duration) {
        self.entries_written += 1;
        let value = upstream_entry(&UpstreamEntry {
            service: &upstream.service,
            address: upstream.proxy_address,
            zone: upstream.zone,
            slots: UPSTREAM_SLOTS,
            state,
            cold_for,
            sequence: self.entries_written,
        });
        let key = upstream_key(&upstream.instance);
        let command = StoreCommand::Put(key, value.to_string().into_bytes());
        self.send_store_command(&command).await;
    }

    /// Kills an upstream and removes its entry from the store.
    pub(crate) async fn kill_upstream(&mut self, position: usize) {
        let upstream = &mut self.upstreams[position];
        upstream.process = None;
        let key = upstream_key(&upstream.instance);
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }

    /// Starts another instance of a killed upstream at the same address. Does nothing if the upstream runs.
    pub(crate) async fn restart_upstream(&mut self, position: usize) -> io::Result<()> {
        if self.upstreams[position].process.is_some() {
            return Ok(());
        }
        let mut upstream = self.upstreams.swap_remove(position);
        let result = self.start_instance(&mut upstream, COLD_TIME).await;
        self.upstreams.push(upstream);
        let last = self.upstreams.len() - 1;
        self.upstreams.swap(position, last);
        result
    }

    /// Starts another instance at another address. The entry of the present one is marked as leaving, or removed if it is
    /// not announced. Returns the name of the leaving instance.
    pub(crate) async fn replace_upstream(
        &mut self,
        position: usize,
        is_announced: bool,
    ) -> io::Result<Option<String>> {
        let present = &self.upstreams[position];
        if present.process.is_none() {
            return Ok(None);
        }
        let (service, zone) = (present.service.clone(), present.zone);
        let replacement = self.start_upstream(&service, zone, COLD_TIME).await?;
        let leaving = std::mem::replace(&mut self.upstreams[position], replacement);
        let instance = leaving.instance.clone();
        if is_announced {
            self.put_entry(&leaving, EntryState::Draining, Duration::ZERO)
                .await;
        } else {
            let command = StoreCommand::Remove(upstream_key(&instance));
            self.send_store_command(&command).await;
        }
        if let Some(record) = self.history.instances.get_mut(&instance) {
            record.leaving = Some(monotonic_micros());
        }
        self.leaving.push(leaving);
        Ok(Some(instance))
    }

    /// Kills a leaving instance and removes its entry from the store.
    pub(crate) async fn end_leaving(&mut self, instance: &str) {
        self.leaving
            .retain(|upstream| upstream.instance != instance);
        let key = upstream_key(instance);
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }

    /// Publishes a configuration with this set of shards, which adds a route and drops an older one.
    pub(crate) async fn publish_configuration(&mut self, shard_set: usize) {
        // Versions rise in uneven steps; they need not be consecutive.
        self.version += 1 + self.version % 3;
        self.shard_set = shard_set;
        let version = self.version;
        let previous = self.history.configurations.last();
        let mut added_routes = previous.map_or(Vec::new(), |last| last.added_routes.clone());
        added_routes.push(version);
        added_routes.drain(..added_routes.len().saturating_sub(ADDED_ROUTES_KEPT));
        let names = self.shard_services(SHARD_SETS[shard_set]);
        let shard_names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut routes = vec![
            route(RouteKind::Idempotent, "/read/", DESK_SERVICE),
            route(RouteKind::NonIdempotent, "/book/", DESK_SERVICE),
            shard_route("/q/", &shard_names),
        ];
        routes.extend(added_routes.iter().map(|version| {
            route(
                RouteKind::Idempotent,
                &format!("/added-{version}/"),
                DESK_SERVICE,
            )
        }));
        let services = self.service_names();
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        let mut value = configuration(version, &routes, &services, COLD_REQUESTS_PER_SECOND);
        let key_holders = soak_keys::key_holders(version);
        value["tenants"] = soak_keys::workspaces(&key_holders);
        let command =
            StoreCommand::Put(CONFIGURATION_KEY.to_owned(), value.to_string().into_bytes());
        self.send_store_command(&command).await;
        self.history.configurations.push(PublishedConfiguration {
            version,
            published_at: monotonic_micros(),
            added_routes,
            shard_services: names,
            key_holders,
        });
    }

    /// Publishes a configuration with the same set of shards or the other one.
    pub(crate) async fn publish_next_configuration(&mut self, other_set: bool) {
        let shard_set = if other_set {
            1 - self.shard_set
        } else {
            self.shard_set
        };
        self.publish_configuration(shard_set).await;
    }

    /// Versions whose added routes callers request: those of the newest configuration and the one dropped last.
    pub(crate) fn requested_route_versions(&self) -> Vec<u64> {
        let newest = self.history.configurations.iter().rev();
        newest
            .take(ADDED_ROUTES_KEPT + 1)
            .map(|c| c.version)
            .collect()
    }

    /// Takes a zone out, or back in.
    pub(crate) async fn set_zone_out(&mut self, zone: &'static str, out: bool) {
        let key = evacuation_key(zone);
        if out {
            self.send_store_command(&StoreCommand::Put(key, b"{}".to_vec()))
                .await;
            let span = span_from_now();
            self.history.zones_out.push((zone.to_owned(), span));
            return;
        }
        self.history.end_zone_out(zone, monotonic_micros());
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }
}

/// A span that begins now and has no end yet.
pub(crate) fn span_from_now() -> TimeSpan {
    TimeSpan {
        from: monotonic_micros(),
        until: None,
    }
}

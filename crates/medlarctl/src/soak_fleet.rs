//! The processes of a soak, and what is done to them.

use crate::{
    loopback_proxy::{LinkFault, LoopbackProxy},
    soak_caller::CALLERS_PORT,
    soak_observation::{SoakTime, soak_now},
    soak_options::{SoakAddresses, SoakOptions},
    soak_process::SoakProcess,
    soak_world::{Disturbance, InstanceLife, PublishedConfiguration, SoakBounds, SoakWorld, Span},
};
use medlarpost_stand_in::{
    CONFIGURATION_KEY, EntryState, RouteKind, StoreCommand, UpstreamEntry, configuration,
    evacuation_key, route, settings, shard_route, upstream_entry, upstream_key,
};
use rustix::process::Signal;
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::sync::mpsc;

/// Zones, in which nodes and upstreams lie in turn.
pub(crate) const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Service of reads and bookings.
const DESK: &str = "desk";

/// Prefixes of the services of both sets of shards.
const SHARD_SETS: [&str; 2] = ["first", "second"];

/// Port for readiness checks.
const READINESS_PORT: u16 = 18_081;

/// Port of the store, and the first port of the proxies to it.
const STORE_PORT: u16 = 18_082;

/// First port of upstreams and of the proxies to them.
const UPSTREAMS_PORT: u16 = 20_000;

/// Requests that an upstream runs at a time.
const SLOTS: u32 = 3;

/// Time for which a started upstream is cold.
const COLD_FOR: Duration = Duration::from_secs(3);

/// Requests a second that a cold upstream bears.
const COLD_RATE: f64 = 10.0;

/// Versions whose added routes a configuration keeps.
const ADDED_KEPT: usize = 2;

/// Bounds of the rules that the settings state, other than the usual ones of the stand-in's settings.
const BOUNDS: [(&str, &str); 4] = [
    ("contactMs", "4000"),
    ("drainMs", "3000"),
    ("configApplyMs", "3000"),
    ("evacuateMs", "5000"),
];

/// What [`BOUNDS`] and the usual bounds mean for the checks.
pub(crate) const SOAK_BOUNDS: SoakBounds = SoakBounds {
    contact: 4_000_000,
    drain: 3_000_000,
    apply: 3_000_000,
    evacuate: 5_000_000,
    recovery: 12_000_000,
    cold_requests: 20,
    extra_ratio: 0.2,
    extra_slack: 54.0,
    extra_window: 10_000_000,
};

/// A node: its process, unless it is down, and the way to the store.
struct FleetNode {
    process: Option<SoakProcess>,
    store_link: LoopbackProxy,
    settings: PathBuf,
    log: PathBuf,
}

/// An upstream: its process, unless it is down, and the way to it.
pub(crate) struct FleetUpstream {
    pub(crate) process: Option<SoakProcess>,
    pub(crate) link: LoopbackProxy,
    service: String,
    zone: &'static str,
    /// Where its proxy listens, which is what the store names.
    address: SocketAddr,
    /// Where its process listens.
    target: SocketAddr,
    pub(crate) instance: String,
}

/// The processes of a soak.
pub(crate) struct SoakFleet {
    pub(crate) options: SoakOptions,
    pub(crate) addresses: SoakAddresses,
    pub(crate) world: SoakWorld,
    store: SoakProcess,
    /// Ends the nodes if this process ends without doing so.
    guard: SoakProcess,
    nodes: Vec<FleetNode>,
    pub(crate) upstreams: Vec<FleetUpstream>,
    /// Replaced upstreams that still serve.
    leaving: Vec<FleetUpstream>,
    reports: mpsc::UnboundedSender<String>,
    /// Instances that were started so far.
    started: usize,
    version: u64,
    /// Position of the set of shards in force.
    set: usize,
    /// Entries written so far.
    entries: u64,
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
        let store = SoakProcess::with_orders(program, &arguments, reports.clone())?;
        let guard = ["soak-guard".to_owned()];
        let guard = SoakProcess::with_orders(program, &guard, reports.clone())?;
        let mut fleet = Self {
            guard,
            addresses,
            world: SoakWorld {
                nodes: vec![Vec::new(); options.nodes],
                ..SoakWorld::default()
            },
            options,
            store,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            leaving: Vec::new(),
            reports,
            started: 0,
            version: 0,
            set: 0,
            entries: 0,
        };
        for service in fleet.services() {
            for _ in 0..fleet.options.replicas {
                let zone = ZONES[fleet.upstreams.len() % ZONES.len()];
                let upstream = fleet.start_upstream(&service, zone, Duration::ZERO).await?;
                fleet.upstreams.push(upstream);
            }
        }
        fleet.configure(0).await;
        for node in 0..fleet.options.nodes {
            fleet.prepare_node(node, store_address).await?;
            fleet.start_node(node).await?;
        }
        Ok(fleet)
    }

    fn services(&self) -> Vec<String> {
        let sets = SHARD_SETS.into_iter().flat_map(|set| self.shard_set(set));
        std::iter::once(DESK.to_owned()).chain(sets).collect()
    }

    fn shard_set(&self, set: &str) -> Vec<String> {
        (0..self.options.shards)
            .map(|shard| format!("{set}-{shard}"))
            .collect()
    }

    /// Processes that run.
    pub(crate) fn processes(&self) -> usize {
        let upstreams = self.upstreams.iter().chain(&self.leaving);
        let nodes = self.nodes.iter().filter(|node| node.process.is_some());
        1 + nodes.count() + upstreams.filter(|u| u.process.is_some()).count()
    }

    async fn prepare_node(&mut self, node: usize, store: SocketAddr) -> io::Result<()> {
        let port = STORE_PORT + node as u16;
        let link = SocketAddr::from((self.addresses.store_proxies(), port));
        let ip = self.addresses.node(node).to_string();
        let name = format!("node-{node}");
        let seeds: Vec<_> = (0..self.options.nodes.min(3))
            .map(|seed| self.addresses.node(seed).to_string())
            .collect();
        let zone = ZONES[node % ZONES.len()];
        let listeners = (CALLERS_PORT, READINESS_PORT);
        let text = settings((&name, &ip, zone), listeners, link, &seeds, &BOUNDS);
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

    /// Starts a node that is down.
    pub(crate) async fn start_node(&mut self, position: usize) -> io::Result<()> {
        let node = &mut self.nodes[position];
        let variable = ("MEDLARPOST_SETTINGS", node.settings.as_path());
        let process = SoakProcess::with_log(&self.options.node_program, variable, &node.log)?;
        let id = process.id();
        node.process = Some(process);
        self.guard.order(&format!("started {id}")).await;
        Ok(())
    }

    /// Tells the guard that a node's process has ended.
    pub(crate) async fn ended(&mut self, process: SoakProcess) {
        let id = process.id();
        drop(process);
        self.guard.order(&format!("ended {id}")).await;
    }

    /// Tells the guard that the soak itself ends its processes.
    pub(crate) async fn end_guard(&mut self) {
        self.guard.order(&"done").await;
    }

    /// Address for readiness checks of a node.
    pub(crate) fn readiness(&self, node: usize) -> SocketAddr {
        SocketAddr::from((self.addresses.node(node), READINESS_PORT))
    }

    /// Sends a signal to a node, unless it is down.
    pub(crate) fn signal_node(&self, node: usize, signal: Signal) {
        if let Some(process) = &self.nodes[node].process {
            process.signal(signal);
        }
    }

    /// Whether a node runs.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].process.is_some()
    }

    /// Takes the process of a node, which is about to end.
    pub(crate) fn take_node(&mut self, node: usize) -> Option<SoakProcess> {
        self.nodes[node].process.take()
    }

    /// The first node whose process has ended by itself, with its exit status.
    pub(crate) fn ended_node(&mut self) -> Option<(usize, String)> {
        let mut nodes = self.nodes.iter_mut().enumerate();
        nodes.find_map(|(position, node)| {
            let status = node.process.as_mut()?.ended()?;
            Some((position, status.to_string()))
        })
    }

    /// Harms the way from a node to the store.
    pub(crate) fn harm_store_link(&self, node: usize, fault: LinkFault) {
        self.nodes[node].store_link.harm(fault);
    }

    /// Sends a signal to the store.
    pub(crate) fn signal_store(&self, signal: Signal) {
        self.store.signal(signal);
    }

    /// Gives the store an order.
    pub(crate) async fn order_store(&mut self, order: &StoreCommand) {
        self.store.order(order).await;
    }

    /// Starts a disturbance of a node. Returns its position, for its end.
    pub(crate) fn disturb(&mut self, node: usize, kind: Disturbance) -> usize {
        let disturbances = &mut self.world.nodes[node];
        disturbances.push((kind, started()));
        disturbances.len() - 1
    }

    /// Ends a disturbance of a node.
    pub(crate) fn calm(&mut self, node: usize, position: usize) {
        self.world.nodes[node][position].1.until = Some(soak_now());
    }

    async fn start_upstream(
        &mut self,
        service: &str,
        zone: &'static str,
        cold_for: Duration,
    ) -> io::Result<FleetUpstream> {
        let port = UPSTREAMS_PORT + self.started as u16;
        let address = SocketAddr::from((self.addresses.upstream_proxies(), port));
        let target = SocketAddr::from((self.addresses.upstreams(), port));
        let mut upstream = FleetUpstream {
            process: None,
            link: LoopbackProxy::start(address, target).await?,
            service: service.to_owned(),
            zone,
            address,
            target,
            instance: String::new(),
        };
        self.start_instance(&mut upstream, cold_for).await?;
        Ok(upstream)
    }

    /// Starts a new instance of an upstream that is down, and registers it.
    async fn start_instance(
        &mut self,
        upstream: &mut FleetUpstream,
        cold_for: Duration,
    ) -> io::Result<()> {
        self.started += 1;
        upstream.instance = format!("i-{}", self.started);
        let (address, slots) = (upstream.target.to_string(), SLOTS.to_string());
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
        let process = SoakProcess::with_orders(program, &arguments, self.reports.clone())?;
        upstream.process = Some(process);
        let life = InstanceLife {
            service: upstream.service.clone(),
            zone: upstream.zone.to_owned(),
            cold_until: soak_now() + cold_for.as_micros() as SoakTime,
            leaving: None,
        };
        let instance = upstream.instance.clone();
        self.world.instances.insert(instance, life);
        self.register(upstream, EntryState::Ready, cold_for).await;
        Ok(())
    }

    async fn register(&mut self, upstream: &FleetUpstream, state: EntryState, cold_for: Duration) {
        self.entries += 1;
        let value = upstream_entry(&UpstreamEntry {
            service: &upstream.service,
            address: upstream.address,
            zone: upstream.zone,
            slots: SLOTS,
            state,
            cold_for,
            sequence: self.entries,
        });
        let key = upstream_key(&upstream.instance);
        let order = StoreCommand::Put(key, value.to_string().into_bytes());
        self.order_store(&order).await;
    }

    /// Kills an upstream; its entry goes.
    pub(crate) async fn kill_upstream(&mut self, position: usize) {
        let upstream = &mut self.upstreams[position];
        upstream.process = None;
        let key = upstream_key(&upstream.instance);
        self.order_store(&StoreCommand::Remove(key)).await;
    }

    /// Starts another instance of an upstream that was killed, at the same address.
    pub(crate) async fn return_upstream(&mut self, position: usize) -> io::Result<()> {
        if self.upstreams[position].process.is_some() {
            return Ok(());
        }
        let mut upstream = self.upstreams.swap_remove(position);
        let started = self.start_instance(&mut upstream, COLD_FOR).await;
        self.upstreams.push(upstream);
        let last = self.upstreams.len() - 1;
        self.upstreams.swap(position, last);
        started
    }

    /// Starts another instance at another address, and lets the present one leave. Returns the name of the latter.
    pub(crate) async fn replace_upstream(&mut self, position: usize) -> io::Result<Option<String>> {
        let present = &self.upstreams[position];
        if present.process.is_none() {
            return Ok(None);
        }
        let (service, zone) = (present.service.clone(), present.zone);
        let other = self.start_upstream(&service, zone, COLD_FOR).await?;
        let leaving = std::mem::replace(&mut self.upstreams[position], other);
        self.register(&leaving, EntryState::Draining, Duration::ZERO)
            .await;
        let instance = leaving.instance.clone();
        if let Some(life) = self.world.instances.get_mut(&instance) {
            life.leaving = Some(soak_now());
        }
        self.leaving.push(leaving);
        Ok(Some(instance))
    }

    /// Ends an instance that left.
    pub(crate) async fn end_leaving(&mut self, instance: &str) {
        self.leaving
            .retain(|upstream| upstream.instance != instance);
        let key = upstream_key(instance);
        self.order_store(&StoreCommand::Remove(key)).await;
    }

    /// Publishes a configuration with a set of shards, which adds a route and drops an older one.
    pub(crate) async fn configure(&mut self, set: usize) {
        // Versions rise in uneven steps.
        self.version += 1 + self.version % 3;
        self.set = set;
        let version = self.version;
        let earlier = self.world.configurations.last();
        let mut added = earlier.map_or(Vec::new(), |last| last.added.clone());
        added.push(version);
        added.drain(..added.len().saturating_sub(ADDED_KEPT));
        let names = self.shard_set(SHARD_SETS[set]);
        let shard_names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut routes = vec![
            route(RouteKind::Idempotent, "/read/", DESK),
            route(RouteKind::NonIdempotent, "/book/", DESK),
            shard_route("/q/", &shard_names),
        ];
        routes.extend(
            added
                .iter()
                .map(|version| route(RouteKind::Idempotent, &format!("/added-{version}/"), DESK)),
        );
        let services = self.services();
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        let value = configuration(version, &routes, &services, COLD_RATE);
        let order = StoreCommand::Put(CONFIGURATION_KEY.to_owned(), value.to_string().into_bytes());
        self.order_store(&order).await;
        self.world.configurations.push(PublishedConfiguration {
            version,
            at: soak_now(),
            added,
            shards: names,
        });
    }

    /// Publishes a configuration with the same set of shards or the other one.
    pub(crate) async fn reconfigure(&mut self, other_set: bool) {
        let set = if other_set { 1 - self.set } else { self.set };
        self.configure(set).await;
    }

    /// Versions whose added routes callers ask for: those of the newest configuration and the one dropped last.
    pub(crate) fn asked_versions(&self) -> Vec<u64> {
        let newest = self.world.configurations.iter().rev();
        newest.take(ADDED_KEPT + 1).map(|c| c.version).collect()
    }

    /// Takes a zone out, or back in.
    pub(crate) async fn set_zone_out(&mut self, zone: &'static str, out: bool) {
        let key = evacuation_key(zone);
        if out {
            self.order_store(&StoreCommand::Put(key, b"{}".to_vec()))
                .await;
            let span = started();
            self.world.zones_out.push((zone.to_owned(), span));
            return;
        }
        let now = soak_now();
        for (_, span) in &mut self.world.zones_out {
            span.until.get_or_insert(now);
        }
        self.order_store(&StoreCommand::Remove(key)).await;
    }
}

/// A span that begins now.
pub(crate) fn started() -> Span {
    Span {
        from: soak_now(),
        until: None,
    }
}

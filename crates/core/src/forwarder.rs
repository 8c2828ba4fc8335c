//! Decisions about forwarded requests: replicas, hedges, retries and answers.

use crate::{
    crash_watch::CrashWatch,
    extra_load_budget::{ExtraLoadBudget, ExtraLoadLimits},
    forward_chart::{FlowEvent, FlowMachine},
    forward_flow::Flow,
    prelude::*,
    replica::Replica,
    reply_times::ReplyTimes,
    timers::Timers,
};
use std::collections::{BTreeSet, HashMap};

/// Share of the slack of a budget that the fleet uses. The rest covers nodes that restart and forget what they sent.
const SLACK_SHARE: f64 = 0.7;

/// Share of the ratio of a budget that a node uses, because its window and that of an observer differ.
const RATIO_SHARE: f64 = 0.85;

/// Share of an upstream's connections that the fleet holds.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections to an upstream that a node may always use at a time. Few of a large fleet's nodes use one upstream at the
/// same moment, so that this goes beyond their share of its connections without exceeding them.
const CONNECTIONS_IN_USE: u32 = 4;

/// Share of the rate of a cold upstream that the fleet sends.
const COLD_SHARE: f64 = 0.8;

/// Limits that the nodes share and what this node knows of itself.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Region of each zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Extra requests to a service for each primary one, over all nodes.
    pub extra_ratio: f64,
    /// Extra requests to a service in one window beyond the ratio, over all nodes.
    pub extra_slack: f64,
    /// Window of the two above.
    pub extra_window: Duration,
    /// Multiple of the rate of a cold upstream that it bears for one second.
    pub cold_excess: f64,
    /// Requests beyond that which a cold upstream bears in one second.
    pub cold_slack: f64,
    /// Share of the objective by which a replica in another zone counts as slower, because bytes between zones cost.
    pub cross_zone_cost: f64,
    /// Time that an answer takes to its caller and that its clock may be ahead.
    pub answer_margin: Duration,
    /// Nodes assumed until the fleet is known.
    pub initial_fleet_size: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// Decides about forwarded requests. Driven by events and the time only.
#[derive(Debug)]
pub struct Forwarder {
    pub(crate) settings: ForwarderSettings,
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) services: SlotMap<ServiceKey, ServicePool>,
    by_name: HashMap<Arc<str>, ServiceKey>,
    pub(crate) replicas: SlotMap<UpstreamKey, Replica>,
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    pub(crate) flows: SlotMap<FlowKey, Flow>,
    pub(crate) callers: HashMap<CallerKey, FlowKey>,
    pub(crate) attempts: SlotMap<AttemptKey, ForwardAttempt>,
    pub(crate) timers: Timers<FlowKey>,
    pub(crate) zones_out: BTreeSet<Arc<str>>,
    pub(crate) crashes: CrashWatch,
    pub(crate) fleet: u32,
    pub(crate) times: HashMap<Arc<str>, ReplyTimes>,
    /// Longest time that callers of a route wait, which shows how long a repeated request has waited.
    pub(crate) longest_wait: HashMap<Arc<str>, Duration>,
    /// What each part of a split is owed, by route.
    pub(crate) split_credit: HashMap<Arc<str>, Vec<f64>>,
    pub(crate) random: fastrand::Rng,
    pub(crate) flow_chart: Chart<FlowMachine>,
    pub(crate) replica_chart: Chart<ReplicaMachine>,
}

/// Replicas of one service and what was sent to it.
#[derive(Debug)]
pub(crate) struct ServicePool {
    pub(crate) name: Arc<str>,
    pub(crate) replicas: Vec<UpstreamKey>,
    pub(crate) extra: ExtraLoadBudget,
}

/// One attempt at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardAttempt {
    pub(crate) flow: FlowKey,
    /// Position in the shards of the flow.
    pub(crate) shard: usize,
    pub(crate) upstream: UpstreamKey,
    pub(crate) sent: Timestamp,
    /// Usual reply time when it was sent, in seconds.
    pub(crate) usual: f64,
}

impl Forwarder {
    /// Decisions of a node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// If an embedded chart is faulty.
    pub fn new(settings: ForwarderSettings) -> Result<Self, ChartError> {
        let random = fastrand::Rng::with_seed(settings.seed);
        Ok(Self {
            fleet: settings.initial_fleet_size.max(1),
            settings,
            table: None,
            services: SlotMap::with_key(),
            by_name: HashMap::new(),
            replicas: SlotMap::with_key(),
            by_instance: HashMap::new(),
            flows: SlotMap::with_key(),
            callers: HashMap::new(),
            attempts: SlotMap::with_key(),
            timers: Timers::default(),
            zones_out: BTreeSet::new(),
            crashes: CrashWatch::default(),
            times: HashMap::new(),
            longest_wait: HashMap::new(),
            split_credit: HashMap::new(),
            random,
            flow_chart: Chart::load()?,
            replica_chart: Chart::load()?,
        })
    }

    /// Takes one event at time `now`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ForwardEvent,
        commands: &mut Vec<ForwardCommand>,
    ) {
        match event {
            ForwardEvent::Configured(table) => self.configure(table, commands),
            ForwardEvent::UpstreamRegistered(entry) => self.register(now, entry, commands),
            ForwardEvent::UpstreamDeregistered(instance) => {
                self.deregister(now, &instance, commands);
            }
            ForwardEvent::ZonesOut(zones) => self.zones_out = zones,
            ForwardEvent::FleetSize(size) => self.fleet = size.max(1),
            ForwardEvent::QuarantinedElsewhere { digest, age } => {
                if self.crashes.told(now, digest, age) {
                    commands.push(ForwardCommand::Record(ForwardTelemetry::Quarantined {
                        digest,
                        from_peer: true,
                    }));
                }
            }
            ForwardEvent::RequestArrived { caller, request } => {
                self.admit(now, caller, request, commands);
            }
            ForwardEvent::CallerGone(caller) => {
                if let Some(&flow) = self.callers.get(&caller) {
                    self.step_flow(now, flow, FlowEvent::CallerGone, commands);
                }
            }
            ForwardEvent::AttemptEnded(end) => self.finished(now, end, commands),
            ForwardEvent::Wakeup => self.wake(now, commands),
        }
    }

    /// When [`ForwardEvent::Wakeup`] is wanted.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Requests that have no answer yet.
    pub fn running_requests(&self) -> usize {
        self.flows.len()
    }

    /// Whether requests can be answered: a configuration is in force and one of its services has an upstream.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.replicas.is_empty()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version)
    }

    /// Upstreams by what this node believes of them.
    pub fn upstream_state_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for replica in self.replicas.values() {
            *counts.entry(replica.state.name()).or_default() += 1;
        }
        counts
    }

    fn configure(&mut self, table: Arc<RoutingTable>, commands: &mut Vec<ForwardCommand>) {
        // A source that lags may offer an older configuration; the one in force stays.
        if self
            .config_version()
            .is_some_and(|version| version >= table.version)
        {
            return;
        }
        for route in table.routes() {
            for service in route.services() {
                self.service(&service);
            }
        }
        // What is known of routes that are gone is of no use.
        let names: BTreeSet<_> = table.routes().iter().map(|route| &route.name).collect();
        self.times.retain(|name, _| names.contains(name));
        self.longest_wait.retain(|name, _| names.contains(name));
        self.split_credit.retain(|name, _| names.contains(name));
        let (version, routes) = (table.version, table.routes().len());
        commands.push(ForwardCommand::Record(
            ForwardTelemetry::ConfigurationApplied { version, routes },
        ));
        self.table = Some(table);
    }

    /// Key of a service, which may not have any replica yet.
    pub(crate) fn service(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(ServicePool {
            name: Arc::clone(name),
            replicas: Vec::new(),
            extra: ExtraLoadBudget::new(),
        });
        self.by_name.insert(Arc::clone(name), key);
        key
    }

    fn register(
        &mut self,
        now: Timestamp,
        entry: RegisteredUpstream,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let service = self.service(&entry.service);
        let warm_up = self.terms(service).warm_up;
        if let Some(&key) = self.by_instance.get(&entry.instance) {
            let replica = &mut self.replicas[key];
            if replica.entry.address == entry.address && replica.service == service {
                if let Some(event) = replica.update(now, entry) {
                    let note = replica.step(&self.replica_chart, now, event, warm_up);
                    commands.extend(note.map(ForwardCommand::Record));
                    if event == ReplicaEvent::Restarted {
                        self.process_ended(now, key, commands);
                    }
                }
                return;
            }
            self.retire(now, key, commands);
        }
        let (instance, address) = (Arc::clone(&entry.instance), entry.address);
        let initial = match (entry.leaving, entry.cold_for.is_zero()) {
            (true, _) => ReplicaState::Leaving,
            (false, true) => self.replica_chart.initial(),
            (false, false) => ReplicaState::Cold,
        };
        let replica = Replica::new(now, entry, service, initial);
        let upstream = self.replicas.insert(replica);
        self.services[service].replicas.push(upstream);
        self.by_instance.insert(Arc::clone(&instance), upstream);
        commands.push(ForwardCommand::OpenUpstream {
            upstream,
            address,
            instance,
        });
    }

    fn deregister(
        &mut self,
        now: Timestamp,
        instance: &Arc<str>,
        commands: &mut Vec<ForwardCommand>,
    ) {
        if let Some(&key) = self.by_instance.get(instance) {
            self.retire(now, key, commands);
        }
    }

    /// Blames the requests that ran on an upstream whose process has ended, and tells which are barred.
    pub(crate) fn process_ended(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        if self.crashes.is_calm() {
            return;
        }
        for digest in self.crashes.ended(now, key) {
            commands.push(ForwardCommand::Record(ForwardTelemetry::Quarantined {
                digest,
                from_peer: false,
            }));
            commands.push(ForwardCommand::AnnounceQuarantine(digest));
        }
    }

    /// Gives a replica no new work and ends it once nothing runs on it.
    fn retire(&mut self, now: Timestamp, key: UpstreamKey, commands: &mut Vec<ForwardCommand>) {
        self.process_ended(now, key, commands);
        let replica = &mut self.replicas[key];
        replica.registered = false;
        let note = replica.step(
            &self.replica_chart,
            now,
            ReplicaEvent::Leave,
            Duration::ZERO,
        );
        commands.extend(note.map(ForwardCommand::Record));
        self.by_instance.remove(&replica.entry.instance);
        self.services[replica.service]
            .replicas
            .retain(|other| *other != key);
        self.end_if_idle(key, commands);
    }

    /// Ends a replica without an entry on which nothing runs.
    pub(crate) fn end_if_idle(&mut self, key: UpstreamKey, commands: &mut Vec<ForwardCommand>) {
        let ended = |replica: &Replica| !replica.registered && replica.is_idle();
        if self.replicas.get(key).is_some_and(ended) {
            self.replicas.remove(key);
            commands.push(ForwardCommand::CloseUpstream(key));
        }
    }

    /// Terms of a service in the configuration in force.
    pub(crate) fn terms(&self, service: ServiceKey) -> ServiceSettings {
        let name = &self.services[service].name;
        let known = self
            .table
            .as_ref()
            .and_then(|table| table.services.get(name));
        known.cloned().unwrap_or(ServiceSettings {
            max_connections: 8,
            warm_up: Duration::from_secs(3),
            cold_rate: Some(1.0),
        })
    }

    /// This node's part of the extra load.
    pub(crate) fn extra_terms(&self) -> ExtraLoadLimits {
        ExtraLoadLimits {
            window: self.settings.extra_window,
            ratio: self.settings.extra_ratio * RATIO_SHARE,
            slack: self.settings.extra_slack * SLACK_SHARE / f64::from(self.fleet),
        }
    }

    /// Connections to an upstream that this node may use at a time.
    pub(crate) fn connections(&self, terms: &ServiceSettings) -> u32 {
        let all = f64::from(terms.max_connections) * CONNECTION_SHARE;
        ((all / f64::from(self.fleet)) as u32).max(CONNECTIONS_IN_USE)
    }

    /// This node's part of the requests that a cold upstream gets in one second.
    pub(crate) fn cold_sends(&self, terms: &ServiceSettings) -> u32 {
        let Some(rate) = terms.cold_rate else {
            return u32::MAX;
        };
        let all = (rate * self.settings.cold_excess + self.settings.cold_slack) * COLD_SHARE;
        (all / f64::from(self.fleet)) as u32
    }
}

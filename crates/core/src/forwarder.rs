//! Decisions about forwarded requests: admission, attempts, hedges, retries and answers.

use crate::{
    extra_load_budget::{ExtraLoadBudget, ExtraLoadLimits},
    forward_admission::Arrival,
    forward_chart::{FlowEvent, FlowMachine},
    forward_flow::Flow,
    forward_quota::WaitingRequest,
    peer_load_sender::PeerLoadSender,
    prelude::*,
    replica::Replica,
    replica_draw::ReplicaDraw,
    reply_times::ReplyTimes,
    request_quarantine::RequestQuarantine,
    served_shares::ServedShares,
    timers::Timers,
    upstream_notice::AbsentUpstreams,
};
use std::collections::{BTreeSet, HashMap};

/// Share of the slack of the extra load that the fleet uses. The rest covers nodes that restart and lose their counts.
const EXTRA_SLACK_SHARE: f64 = 0.7;

/// Share of the ratio of the extra load that a node uses, because its window and that of an observer differ.
const EXTRA_RATIO_SHARE: f64 = 0.85;

/// Share of an upstream's connections that the fleet uses.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections to an upstream that a node may always use at a time. This exceeds a node's share in a large fleet, but few
/// nodes use the same upstream at the same moment.
const MIN_CONNECTIONS_IN_USE: u32 = 4;

/// The same in a fleet with more nodes than an upstream has connections for, which its nodes would exceed together while
/// it is paused.
const MIN_CONNECTIONS_IN_LARGE_FLEET: u32 = 2;

/// Share of a cold upstream's rate that the fleet uses.
const COLD_RATE_SHARE: f64 = 0.8;

/// Zone of this node and limits shared by all nodes.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Availability zone of this node.
    pub zone: Arc<str>,
    /// Region of each zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Limits shared by all nodes.
    pub limits: FleetLimits,
    /// Share of the latency objective added to the cost of a replica in another zone, because traffic between zones is
    /// charged for.
    pub cross_zone_cost: f64,
    /// Margin before the deadline for the way of an answer to its caller and for the caller's clock being ahead.
    pub answer_margin: Duration,
    /// Number of nodes assumed until the first [`ForwardEvent::FleetSize`].
    pub initial_fleet_size: u32,
    /// Time after the removal of a key from which no request with it may be admitted; `None` for no such bound.
    pub revoke_within: Option<Duration>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Limits on the load of upstreams that all nodes keep together.
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// Extra requests to a service for each primary one, over all nodes.
    pub extra_ratio: f64,
    /// Extra requests to a service in one window beyond `extra_ratio`, over all nodes.
    pub extra_slack: f64,
    /// Length of the window of `extra_ratio` and `extra_slack`.
    pub extra_window: Duration,
    /// Multiple of its rate that a cold upstream accepts within one second.
    pub cold_excess: f64,
    /// Requests beyond `cold_excess` that a cold upstream accepts within one second.
    pub cold_slack: f64,
    /// Limits of the quotas of workspaces; `None` if quotas are not enforced.
    pub quotas: Option<QuotaLimits>,
}

impl ForwarderSettings {
    /// Whether a zone is that of this node.
    pub(crate) fn is_own_zone(&self, zone: &Arc<str>) -> bool {
        *zone == self.zone
    }

    /// Whether a route's requests may be sent to upstreams in a zone.
    pub(crate) fn is_allowed(&self, route: &Route, zone: &Arc<str>) -> bool {
        if route.regions.is_empty() {
            return true;
        }
        let region = self.regions.get(zone);
        region.is_some_and(|region| route.regions.iter().any(|r| **r == **region))
    }
}

/// Decides how requests are forwarded, from events and the time alone; it does no I/O.
#[derive(Debug)]
pub struct Forwarder {
    pub(crate) settings: ForwarderSettings,
    pub(crate) table: Option<Arc<RoutingTable>>,
    /// Right to accept the keys of `table`.
    pub(crate) key_lease: KeyLease,
    pub(crate) services: SlotMap<ServiceKey, ServicePool>,
    services_by_name: HashMap<Arc<str>, ServiceKey>,
    pub(crate) replicas: SlotMap<UpstreamKey, Replica>,
    replicas_by_instance: HashMap<Arc<str>, UpstreamKey>,
    pub(crate) flows: SlotMap<FlowKey, Flow>,
    pub(crate) callers: HashMap<CallerKey, FlowKey>,
    pub(crate) attempts: SlotMap<AttemptKey, ForwardAttempt>,
    pub(crate) timers: Timers<FlowKey>,
    pub(crate) evacuated_zones: BTreeSet<Arc<str>>,
    pub(crate) quarantine: RequestQuarantine,
    absent_upstreams: AbsentUpstreams,
    /// Observations of upstreams for other nodes.
    pub(crate) peer_load: PeerLoadSender,
    pub(crate) fleet_size: u32,
    /// Set once the node shuts down.
    pub(crate) shutdown: Option<ShutdownSchedule>,
    pub(crate) reply_times: HashMap<Arc<str>, ReplyTimes>,
    /// Longest time left of any request of a route. A request with less has been repeated, and the difference is how
    /// long its caller has waited already.
    pub(crate) longest_wait: HashMap<Arc<str>, Duration>,
    /// Credit of each service of a split, by route; the service with the most credit gets the next request.
    pub(crate) split_credit: HashMap<Arc<str>, Vec<f64>>,
    /// Quotas of workspaces; `None` if they are not enforced.
    pub(crate) quotas: Option<WorkspaceQuotas>,
    /// Service of each workspace under overload.
    pub(crate) served_shares: ServedShares,
    /// Requests that wait for a reply about their quota, in the order of their arrival.
    pub(crate) waiting: Vec<WaitingRequest>,
    /// When the requests that wait are decided again.
    pub(crate) waiting_retry_at: Timestamp,
    pub(crate) random: fastrand::Rng,
    /// Buffer of the choice of a replica: those that accept an attempt.
    pub(crate) accepting: Vec<UpstreamKey>,
    /// Buffers of the draw among them.
    pub(crate) draw: ReplicaDraw,
    pub(crate) flow_chart: Arc<Chart<FlowMachine>>,
    pub(crate) replica_chart: Arc<Chart<ReplicaMachine>>,
}

/// Connections to one upstream that a node uses at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Number up to which a replica is preferred to those that have reached it.
    pub(crate) preferred: u32,
    /// Number that is not exceeded.
    pub(crate) most: u32,
}

/// Replicas of one service and the budget of its extra requests.
#[derive(Clone, Debug)]
pub(crate) struct ServicePool {
    pub(crate) name: Arc<str>,
    pub(crate) replicas: Vec<UpstreamKey>,
    pub(crate) extra: ExtraLoadBudget,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardAttempt {
    pub(crate) flow: FlowKey,
    /// Index into the shards of the flow.
    pub(crate) shard: usize,
    pub(crate) upstream: UpstreamKey,
    pub(crate) sent: Timestamp,
    /// Mean reply time of the route when the attempt was sent.
    pub(crate) usual_secs: f64,
}

impl Forwarder {
    /// A forwarder without configuration or upstreams.
    ///
    /// # Errors
    ///
    /// If an embedded state chart is invalid.
    pub fn new(settings: ForwarderSettings) -> Result<Self, ChartError> {
        let random = fastrand::Rng::with_seed(settings.seed);
        let peer_load = PeerLoadSender::new(settings.seed);
        let quotas = settings.limits.quotas;
        let quotas = quotas.map(|limits| WorkspaceQuotas::new(Timestamp::ZERO, limits));
        Ok(Self {
            fleet_size: settings.initial_fleet_size.max(1),
            key_lease: KeyLease::new(settings.revoke_within),
            settings,
            table: None,
            services: SlotMap::with_key(),
            services_by_name: HashMap::new(),
            replicas: SlotMap::with_key(),
            replicas_by_instance: HashMap::new(),
            flows: SlotMap::with_key(),
            callers: HashMap::new(),
            attempts: SlotMap::with_key(),
            timers: Timers::default(),
            evacuated_zones: BTreeSet::new(),
            quarantine: RequestQuarantine::default(),
            absent_upstreams: AbsentUpstreams::default(),
            peer_load,
            shutdown: None,
            reply_times: HashMap::new(),
            longest_wait: HashMap::new(),
            split_credit: HashMap::new(),
            quotas,
            served_shares: ServedShares::default(),
            waiting: Vec::new(),
            waiting_retry_at: Timestamp::ZERO,
            random,
            accepting: Vec::new(),
            draw: ReplicaDraw::default(),
            flow_chart: Arc::new(Chart::load()?),
            replica_chart: Arc::new(Chart::load()?),
        })
    }

    /// A copy that decides about a new request as this forwarder would, but has none of its requests in flight: their
    /// replies may take much memory.
    pub(crate) fn copy_without_requests(&self) -> Self {
        Self {
            settings: self.settings.clone(),
            table: self.table.clone(),
            key_lease: self.key_lease,
            services: self.services.clone(),
            services_by_name: self.services_by_name.clone(),
            replicas: self.replicas.clone(),
            replicas_by_instance: self.replicas_by_instance.clone(),
            flows: SlotMap::with_key(),
            callers: HashMap::new(),
            attempts: SlotMap::with_key(),
            timers: Timers::default(),
            evacuated_zones: self.evacuated_zones.clone(),
            quarantine: self.quarantine.clone(),
            absent_upstreams: self.absent_upstreams.clone(),
            fleet_size: self.fleet_size,
            shutdown: self.shutdown,
            reply_times: self.reply_times.clone(),
            longest_wait: self.longest_wait.clone(),
            split_credit: self.split_credit.clone(),
            quotas: self.quotas.clone(),
            served_shares: self.served_shares.clone(),
            waiting: Vec::new(),
            waiting_retry_at: self.waiting_retry_at,
            peer_load: self.peer_load.clone(),
            random: self.random.clone(),
            accepting: Vec::new(),
            draw: ReplicaDraw::default(),
            flow_chart: Arc::clone(&self.flow_chart),
            replica_chart: Arc::clone(&self.replica_chart),
        }
    }

    /// Handles an event at time `now` and appends the resulting commands.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ForwardEvent,
        commands: &mut Vec<ForwardCommand>,
    ) {
        match event {
            ForwardEvent::Configured(table) => self.configure(table, commands),
            ForwardEvent::ConfigurationConfirmed { version, at } => {
                // A configuration that this node has not applied says nothing about the one in force.
                if self.config_version() >= Some(version) {
                    self.key_lease.confirm(at);
                }
            }
            ForwardEvent::RevokeWithinChanged(bound) => self.key_lease.set_revoke_within(bound),
            ForwardEvent::UpstreamRegistered(entry) => self.register(now, entry, commands),
            ForwardEvent::UpstreamDeregistered(instance) => {
                self.deregister(now, &instance, commands);
            }
            ForwardEvent::ZonesEvacuated(zones) => self.evacuated_zones = zones,
            ForwardEvent::LimitsChanged(limits) => self.change_limits(now, limits),
            ForwardEvent::ShutdownBegan(schedule) => self.begin_shutdown(schedule),
            ForwardEvent::FleetSize(size) => self.fleet_size = size.max(1),
            ForwardEvent::FleetSighted(sighting) => {
                self.peer_load.update_members(&sighting);
                self.update_quota_fleet(now, &sighting);
            }
            ForwardEvent::Interrupted => {
                self.forget_peer_load(now);
                self.handle_interruption(now);
            }
            ForwardEvent::QuotaMessageReceived { from, message } => {
                self.handle_quota_message(now, from, &message, commands);
            }
            ForwardEvent::QuarantinedElsewhere { digest, age } => {
                if self.quarantine.quarantine_from_peer(now, digest, age) {
                    commands.push(ForwardCommand::Record(
                        ForwardTelemetry::RequestQuarantined {
                            digest,
                            from_peer: true,
                        },
                    ));
                }
            }
            ForwardEvent::UpstreamNoticed(notice) => {
                self.apply_peer_notice(now, notice, commands);
            }
            ForwardEvent::ObservationsReceived { from, observations } => {
                self.receive_peer_load(now, from, &observations, commands);
            }
            ForwardEvent::RequestArrived {
                caller,
                request,
                arrived_at,
            } => {
                let arrival = Arrival {
                    caller,
                    request,
                    arrived_at,
                };
                self.admit_request(now, &arrival, commands);
            }
            ForwardEvent::CallerGone(caller) => {
                self.remove_waiting(caller);
                if let Some(&flow) = self.callers.get(&caller) {
                    self.advance_flow(now, flow, FlowEvent::CallerGone, commands);
                }
            }
            ForwardEvent::AttemptEnded(end) => self.handle_attempt_end(now, end, commands),
            ForwardEvent::Wakeup => self.handle_wakeup(now, commands),
        }
    }

    /// Time at which [`ForwardEvent::Wakeup`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timers = self.timers.next_due();
        let waiting = self.next_waiting_retry().into_iter();
        let timers = timers.into_iter().chain(waiting);
        timers.chain(self.next_peer_load()).min()
    }

    /// Number of requests that have not been answered yet.
    pub fn running_requests(&self) -> usize {
        self.flows.len() + self.waiting.len()
    }

    /// Whether requests can be served: a configuration is in force and an upstream is registered.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.replicas.is_empty()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version)
    }

    /// Number of upstreams in each [`ReplicaState`], by its name.
    pub fn upstream_state_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for replica in self.replicas.values() {
            *counts.entry(replica.state.name()).or_default() += 1;
        }
        counts
    }

    fn configure(&mut self, table: Arc<RoutingTable>, commands: &mut Vec<ForwardCommand>) {
        // A source that lags behind may deliver an older configuration.
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
        // Drops the statistics of routes that no longer exist.
        let names: BTreeSet<_> = table.routes().iter().map(|route| &route.name).collect();
        self.reply_times.retain(|name, _| names.contains(name));
        self.longest_wait.retain(|name, _| names.contains(name));
        self.split_credit.retain(|name, _| names.contains(name));
        let (version, routes) = (table.version, table.routes().len());
        commands.push(ForwardCommand::Record(
            ForwardTelemetry::ConfigurationApplied { version, routes },
        ));
        self.table = Some(table);
        self.configure_quotas();
    }

    /// Key of a service that the configuration or the registry has named.
    pub(crate) fn service_key(&self, name: &Arc<str>) -> Option<ServiceKey> {
        self.services_by_name.get(name).copied()
    }

    /// Key of a service, which is added without replicas if it is not known yet.
    pub(crate) fn service(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(ServicePool {
            name: Arc::clone(name),
            replicas: Vec::new(),
            extra: ExtraLoadBudget::new(),
        });
        self.services_by_name.insert(Arc::clone(name), key);
        key
    }

    fn register(
        &mut self,
        now: Timestamp,
        entry: RegisteredUpstream,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let service = self.service(&entry.service);
        let warm_up = self.service_settings(service).warm_up;
        if let Some(&key) = self.replicas_by_instance.get(&entry.instance) {
            let replica = &self.replicas[key];
            if replica.entry.address == entry.address && replica.service == service {
                return self.update_replica(now, key, entry, warm_up, commands);
            }
            self.retire(now, key, commands);
        }
        self.add_replica(now, entry, service, commands);
    }

    /// Applies a later entry of a replica at the same address.
    fn update_replica(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        entry: RegisteredUpstream,
        warm_up: Duration,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let replica = &mut self.replicas[key];
        let digest = replica.digest;
        let event = replica.update_entry(now, entry);
        if replica.digest != digest {
            self.peer_load.remove(digest);
        }
        self.peer_load.insert(replica.digest, key);
        if let Some(event) = event {
            let change = replica.apply_event(&self.replica_chart, now, event, warm_up);
            commands.extend(change.map(ForwardCommand::Record));
            if event == ReplicaEvent::Restarted {
                self.report_process_end(now, key, commands);
            }
        }
    }

    fn add_replica(
        &mut self,
        now: Timestamp,
        entry: RegisteredUpstream,
        service: ServiceKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let (instance, address) = (Arc::clone(&entry.instance), entry.address);
        let initial = match (entry.leaving, entry.cold_for.is_zero()) {
            (true, _) => ReplicaState::Leaving,
            (false, true) => self.replica_chart.initial(),
            (false, false) => ReplicaState::Cold,
        };
        let absent_notice = self.absent_upstreams.take(&entry);
        let mut replica = Replica::new(now, entry, service, initial);
        if let Some(notice) = absent_notice {
            replica.apply_absent_notice(notice);
        }
        let digest = replica.digest;
        let upstream = self.replicas.insert(replica);
        self.peer_load.insert(digest, upstream);
        self.services[service].replicas.push(upstream);
        self.replicas_by_instance
            .insert(Arc::clone(&instance), upstream);
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
        if let Some(&key) = self.replicas_by_instance.get(instance) {
            self.retire(now, key, commands);
        }
    }

    /// Prefers other replicas to one that another node advises against.
    fn apply_peer_notice(
        &mut self,
        now: Timestamp,
        notice: UpstreamNotice,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let mut service = None;
        if let Some(&key) = self.replicas_by_instance.get(&notice.instance) {
            let replica = &mut self.replicas[key];
            if !replica.apply_peer_notice(now, &notice) {
                return;
            }
            service = Some(Arc::clone(&replica.entry.service));
        } else {
            self.absent_upstreams.note_peer(now, &notice);
        }
        commands.push(ForwardCommand::Record(ForwardTelemetry::UpstreamNoticed {
            notice,
            service,
            from_peer: true,
        }));
    }

    /// Reports the end of an upstream's process to the quarantine, and announces the requests that this quarantines.
    pub(crate) fn report_process_end(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        if self.quarantine.is_empty() {
            return;
        }
        for digest in self.quarantine.record_process_end(now, key) {
            commands.push(ForwardCommand::Record(
                ForwardTelemetry::RequestQuarantined {
                    digest,
                    from_peer: false,
                },
            ));
            commands.push(ForwardCommand::AnnounceQuarantine(digest));
        }
    }

    /// Stops sending to a replica and removes it once it is idle.
    fn retire(&mut self, now: Timestamp, key: UpstreamKey, commands: &mut Vec<ForwardCommand>) {
        self.report_process_end(now, key, commands);
        let replica = &mut self.replicas[key];
        replica.registered = false;
        self.peer_load.remove(replica.digest);
        if replica.has_announced_leaving() {
            self.absent_upstreams.note_left(now, &replica.entry);
        }
        let change = replica.apply_event(
            &self.replica_chart,
            now,
            ReplicaEvent::Leave,
            Duration::ZERO,
        );
        commands.extend(change.map(ForwardCommand::Record));
        self.replicas_by_instance.remove(&replica.entry.instance);
        self.services[replica.service]
            .replicas
            .retain(|other| *other != key);
        self.close_if_idle(key, commands);
    }

    /// Removes a replica that is no longer registered and has no attempts in flight.
    pub(crate) fn close_if_idle(&mut self, key: UpstreamKey, commands: &mut Vec<ForwardCommand>) {
        let ended = |replica: &Replica| !replica.registered && replica.is_idle();
        if self.replicas.get(key).is_some_and(ended) {
            self.replicas.remove(key);
            commands.push(ForwardCommand::CloseUpstream(key));
        }
    }

    /// Settings of a service in the configuration in force, or cautious defaults if it has none.
    pub(crate) fn service_settings(&self, service: ServiceKey) -> ServiceSettings {
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

    /// This node's share of the extra load.
    pub(crate) fn extra_load_limits(&self) -> ExtraLoadLimits {
        ExtraLoadLimits {
            window: self.settings.limits.extra_window,
            ratio: self.settings.limits.extra_ratio * EXTRA_RATIO_SHARE,
            slack: self.settings.limits.extra_slack * EXTRA_SLACK_SHARE
                / f64::from(self.fleet_size),
        }
    }

    /// Connections to one upstream that this node uses. In a fleet with more nodes than connections, replicas to which it has
    /// none are preferred.
    pub(crate) fn connection_limits(&self, settings: &ServiceSettings) -> ConnectionLimits {
        let all = f64::from(settings.max_connections) * CONNECTION_SHARE;
        let share = (all / f64::from(self.fleet_size)) as u32;
        if share == 0 {
            return ConnectionLimits {
                preferred: 1,
                most: MIN_CONNECTIONS_IN_LARGE_FLEET,
            };
        }
        let most = share.max(MIN_CONNECTIONS_IN_USE);
        ConnectionLimits {
            preferred: most,
            most,
        }
    }

    /// This node's share of the requests that a cold upstream receives in one window.
    pub(crate) fn max_cold_sends(&self, settings: &ServiceSettings) -> u32 {
        let Some(rate) = settings.cold_rate else {
            return u32::MAX;
        };
        let all = (rate * self.settings.limits.cold_excess + self.settings.limits.cold_slack)
            * COLD_RATE_SHARE;
        (all / f64::from(self.fleet_size)) as u32
    }
}

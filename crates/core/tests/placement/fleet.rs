//! A fleet of forwarders, each with its own view of the upstreams that all of them use.

use crate::{
    connections::Connections,
    event_queue::EventQueue,
    figures::Figures,
    forward_fixtures,
    upstream_model::{Disturbance, DisturbanceKind, Job, UpstreamModel},
};
use medlarpost_core::prelude::*;
use std::{
    collections::HashMap,
    fmt,
    net::{Ipv4Addr, SocketAddr},
};

const WARM_UP: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(15);
/// The same with many upstreams, which send as many replies in less time.
const MEASURED_WITH_MANY: Duration = Duration::from_secs(3);
const MANY_UPSTREAMS: usize = 20;
/// Length of a disturbance, which begins with the measurement.
const DISTURBED: Duration = Duration::from_secs(6);
/// Index of the upstream that is disturbed.
const DISTURBED_UPSTREAM: usize = 0;
/// Time measured after a disturbance.
const RECOVERY: Duration = Duration::from_secs(1);
/// Time of a message between a node and an upstream.
const NETWORK_DELAY: Duration = Duration::from_micros(400);
/// Time of a message between two nodes.
const NODE_DELAY: Duration = Duration::from_millis(2);
const SIGHTING_INTERVAL: Duration = Duration::from_secs(1);
/// Port of the first node's address.
const FIRST_PORT: u16 = 10_000;
/// Time to open a connection.
const CONNECT_DELAY: Duration = Duration::from_millis(6);
/// Share of the capacity of all upstreams that the callers use.
const LOAD_SHARE: f64 = 0.65;
/// The same in cases with a disturbance, so that the other upstreams can take the load.
const DISTURBED_LOAD_SHARE: f64 = 0.4;
/// Share of an upstream's capacity that is left beside slow spells and pauses.
const USABLE_CAPACITY: f64 = 0.87;
const SLOTS: [u32; 6] = [4, 3, 5, 2, 7, 4];
const SPEEDS: [f64; 3] = [1.0, 0.8, 1.3];
const MIN_OBJECTIVE: Duration = Duration::from_millis(120);
/// Share by which the traffic of an availability zone varies, and how fast.
const ZONE_SWING: f64 = 0.55;
const ZONE_SWING_SECS: f64 = 15.0;
const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// How nodes and upstreams are spread over availability zones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// All in one zone.
    OneZone,
    /// Nodes and upstreams in turn over three zones, whose traffic varies.
    ThreeZones,
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub nodes: usize,
    pub upstreams: usize,
    /// Mean time between two replies of an upstream to the same node, which decides the service time.
    pub report_age_ms: u64,
    pub layout: Layout,
    /// Connections that an upstream accepts from all nodes.
    pub max_connections: u32,
    /// Disturbance of one upstream.
    pub disturbance: Option<DisturbanceKind>,
    /// Whether nodes know each other and share observations.
    pub shares: bool,
}

impl Case {
    fn load_share(&self) -> f64 {
        match self.disturbance {
            Some(_) => DISTURBED_LOAD_SHARE,
            None => LOAD_SHARE,
        }
    }

    fn measured(&self) -> Duration {
        if self.disturbance.is_some() {
            DISTURBED + RECOVERY
        } else if self.upstreams < MANY_UPSTREAMS {
            MEASURED
        } else {
            MEASURED_WITH_MANY
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zones = match self.layout {
            Layout::OneZone => 1,
            Layout::ThreeZones => ZONES.len(),
        };
        write!(
            f,
            "{} nodes {} upstreams {} ms {zones} zones",
            self.nodes, self.upstreams, self.report_age_ms
        )?;
        if let Some(kind) = self.disturbance {
            write!(f, " {kind:?}")?;
        }
        f.write_str(if self.shares { " shared" } else { "" })
    }
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    AtUpstream(usize, usize),
    Finished(usize, usize),
    Resume(usize),
    AtNode(usize),
    Unanswered(usize, AttemptKey, NoReply),
    /// A message, by its index, arrives at a node.
    Observed(usize, usize),
    Sighting,
    Wakeup(usize),
}

/// Why an attempt ends without a reply.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum NoReply {
    Cancelled,
    TimedOut,
}

#[derive(Debug)]
struct Node {
    forwarder: Forwarder,
    zone: usize,
    /// Share of the callers, relative to other nodes.
    weight: f64,
    upstreams: HashMap<UpstreamKey, usize>,
    wakeup: Option<Timestamp>,
}

#[derive(Debug)]
struct Fleet {
    layout: Layout,
    now: Timestamp,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    upstreams: Vec<UpstreamModel>,
    jobs: Vec<Job>,
    /// Replies with the upstreams that wrote them.
    replies: Vec<(Job, usize, ReportedLoad)>,
    /// Messages with the nodes that sent them.
    messages: Vec<(usize, OutgoingObservations)>,
    connections: Connections,
    max_connections: u32,
    is_disturbed: bool,
    shares: bool,
    objective: Duration,
    callers: SlotMap<CallerKey, Timestamp>,
    gap_micros: f64,
    service_micros: f64,
    rng: fastrand::Rng,
    figures: Figures,
}

/// Runs a case and returns its figures, which depend on the seed only.
pub fn run(case: Case, seed: u64) -> Figures {
    let mut fleet = Fleet::new(case, seed);
    fleet.events.push(Timestamp::ZERO, Event::Arrival);
    if case.shares || case.disturbance.is_some() {
        fleet.events.push(Timestamp::ZERO, Event::Sighting);
    }
    let end = Timestamp::ZERO + WARM_UP + case.measured();
    while let Some((at, event)) = fleet.events.pop() {
        if at >= end {
            break;
        }
        if fleet.is_measuring() {
            let from = fleet.now;
            fleet.figures.add_period(from, at, &fleet.upstreams);
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.figures.finish();
    fleet.figures
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let models = |i: usize| {
            let rng = fastrand::Rng::with_seed(seed + i as u64);
            UpstreamModel::new(SLOTS[i % SLOTS.len()], SPEEDS[i % SPEEDS.len()], rng)
        };
        let mut upstreams: Vec<_> = (0..case.upstreams).map(models).collect();
        let from = Timestamp::ZERO + WARM_UP;
        if let Some(kind) = case.disturbance {
            let until = from + DISTURBED;
            upstreams[DISTURBED_UPSTREAM].disturb(Disturbance { kind, from, until });
        }
        let replies_per_sec =
            1_000.0 / case.report_age_ms as f64 * case.nodes as f64 * case.upstreams as f64;
        let capacity: f64 = (0..case.upstreams)
            .map(|i| f64::from(SLOTS[i % SLOTS.len()]) * SPEEDS[i % SPEEDS.len()])
            .sum();
        let service_secs = case.load_share() * USABLE_CAPACITY * capacity / replies_per_sec;
        let objective = MIN_OBJECTIVE.max(Duration::from_secs_f64(service_secs * 8.0));
        let nodes = (0..case.nodes).map(|i| new_node(case, i, objective, &mut rng));
        Self {
            layout: case.layout,
            now: Timestamp::ZERO,
            events: EventQueue::new(),
            nodes: nodes.collect(),
            upstreams,
            jobs: Vec::new(),
            replies: Vec::new(),
            messages: Vec::new(),
            connections: Connections::default(),
            max_connections: case.max_connections,
            is_disturbed: case.disturbance.is_some(),
            shares: case.shares,
            objective,
            callers: SlotMap::with_key(),
            gap_micros: 1e6 / replies_per_sec,
            service_micros: service_secs * 1e6,
            rng,
            figures: Figures::default(),
        }
    }

    fn is_measuring(&self) -> bool {
        self.now >= Timestamp::ZERO + WARM_UP
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtUpstream(upstream, job) => {
                let job = self.jobs[job];
                self.upstreams[upstream].queue.push_back(job);
                self.start_jobs(upstream);
            }
            Event::Finished(upstream, job) => self.finish(upstream, job),
            Event::Resume(upstream) => self.start_jobs(upstream),
            Event::AtNode(reply) => {
                let (job, upstream, load) = self.replies[reply];
                self.connections.give_back(self.now, job.node, upstream);
                let end = AttemptEnd {
                    attempt: job.attempt,
                    outcome: forward_fixtures::served_reply(b""),
                    report: UpstreamReport {
                        load: Some(load),
                        ..UpstreamReport::default()
                    },
                };
                self.tell(job.node, ForwardEvent::AttemptEnded(end));
            }
            Event::Unanswered(node, attempt, reason) => {
                let outcome = match reason {
                    NoReply::Cancelled => ForwardOutcome::Cancelled,
                    NoReply::TimedOut => ForwardOutcome::TimedOut,
                };
                let report = UpstreamReport::default();
                let end = AttemptEnd {
                    attempt,
                    outcome,
                    report,
                };
                self.tell(node, ForwardEvent::AttemptEnded(end));
            }
            Event::Observed(node, message) => {
                let (sender, message) = &self.messages[message];
                let event = ForwardEvent::ObservationsReceived {
                    from: address_of(*sender),
                    observations: message.observations.clone(),
                };
                self.tell(node, event);
            }
            Event::Sighting => self.sight_all(),
            Event::Wakeup(node) => {
                if self.nodes[node]
                    .wakeup
                    .take_if(|at| *at <= self.now)
                    .is_some()
                {
                    self.tell(node, ForwardEvent::Wakeup);
                }
            }
        }
    }

    /// Tells all nodes of each other if they share observations.
    fn sight_all(&mut self) {
        self.events
            .push(self.now + SIGHTING_INTERVAL, Event::Sighting);
        let nodes = if self.shares { self.nodes.len() } else { 0 };
        for node in 0..nodes {
            let others = (0..self.nodes.len()).filter(|other| *other != node);
            let members = others.map(|other| KnownMember {
                address: address_of(other),
                age: Duration::ZERO,
            });
            let sighting = FleetSighting {
                own: address_of(node),
                members: members.collect(),
                size: Some(self.nodes.len() as u32),
            };
            self.tell(node, ForwardEvent::FleetSighted(sighting));
        }
    }

    fn send_observations(&mut self, node: usize, message: OutgoingObservations) {
        let index = self.messages.len();
        if self.is_measuring() {
            let sent = message.to.len() * message.observations.len();
            self.figures.add_messages(message.to.len(), sent);
        }
        for to in &message.to {
            let event = Event::Observed(node_at(*to), index);
            self.events.push(self.now + NODE_DELAY, event);
        }
        self.messages.push((node, message));
    }

    fn arrive(&mut self) {
        let gap = -self.rng.f64().max(1e-12).ln() * self.gap_micros;
        self.events
            .push(self.now + Duration::from_micros(gap as u64), Event::Arrival);
        let node = self.pick_node();
        let caller = self.callers.insert(self.now);
        let request = Arc::new(request());
        let arrived_at = BootTime::default();
        self.tell(
            node,
            ForwardEvent::RequestArrived {
                caller,
                request,
                arrived_at,
            },
        );
    }

    fn pick_node(&mut self) -> usize {
        let secs = self.now.as_micros() as f64 / 1e6;
        let traffic = |node: &Node| {
            let phase = secs / ZONE_SWING_SECS + node.zone as f64 / ZONES.len() as f64;
            let swing = match self.layout {
                Layout::OneZone => 0.0,
                Layout::ThreeZones => ZONE_SWING * (phase * std::f64::consts::TAU).sin(),
            };
            node.weight * (1.0 + swing)
        };
        let total: f64 = self.nodes.iter().map(traffic).sum();
        let mut left = self.rng.f64() * total;
        let found = self.nodes.iter().position(|node| {
            left -= traffic(node);
            left <= 0.0
        });
        found.unwrap_or_default()
    }

    fn start_jobs(&mut self, upstream: usize) {
        self.upstreams[upstream].update(self.now);
        while let Some((job, end)) = self.upstreams[upstream].start_next(self.now) {
            self.jobs.push(job);
            self.events
                .push(end, Event::Finished(upstream, self.jobs.len() - 1));
        }
        let model = &self.upstreams[upstream];
        if model.is_paused(self.now) {
            self.events
                .push(model.paused_until, Event::Resume(upstream));
        }
    }

    fn finish(&mut self, upstream: usize, job: usize) {
        self.upstreams[upstream].running -= 1;
        self.start_jobs(upstream);
        let report = self.upstreams[upstream].report(self.now);
        self.replies.push((self.jobs[job], upstream, report));
        let reply = self.replies.len() - 1;
        self.events
            .push(self.now + NETWORK_DELAY, Event::AtNode(reply));
    }

    fn tell(&mut self, node: usize, event: ForwardEvent) {
        let mut commands = Vec::new();
        self.nodes[node]
            .forwarder
            .handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                ForwardCommand::SendAttempt {
                    attempt,
                    upstream,
                    deadline,
                    ..
                } => {
                    self.end_without_reply(deadline, node, attempt, NoReply::TimedOut);
                    self.send(node, attempt, upstream);
                }
                ForwardCommand::CancelAttempt { attempt, .. } => {
                    self.end_without_reply(self.now, node, attempt, NoReply::Cancelled);
                }
                ForwardCommand::SendObservations(message) => self.send_observations(node, message),
                ForwardCommand::Answer { caller, answer } => self.answer(caller, &answer),
                _ => {}
            }
        }
        let wakeup = self.nodes[node].forwarder.next_wakeup();
        if wakeup != self.nodes[node].wakeup {
            self.nodes[node].wakeup = wakeup;
            if let Some(at) = wakeup {
                self.events.push(at.max(self.now), Event::Wakeup(node));
            }
        }
    }

    /// Ends an attempt at a time unless a reply comes before. In cases without a disturbance all attempts have replies.
    fn end_without_reply(
        &mut self,
        at: Timestamp,
        node: usize,
        attempt: AttemptKey,
        reason: NoReply,
    ) {
        if self.is_disturbed {
            self.events
                .push(at, Event::Unanswered(node, attempt, reason));
        }
    }

    fn send(&mut self, node: usize, attempt: AttemptKey, upstream: UpstreamKey) {
        let upstream = self.nodes[node].upstreams[&upstream];
        if self.is_measuring() {
            self.figures.sent += 1;
            self.figures.sent_to_disturbed += usize::from(upstream == DISTURBED_UPSTREAM);
            let far = upstream % ZONES.len() != self.nodes[node].zone;
            self.figures.sent_to_other_zones +=
                usize::from(far && self.layout == Layout::ThreeZones);
        }
        let work_micros = self.service_micros * (0.4 + 1.2 * self.rng.f64());
        self.jobs.push(Job {
            node,
            attempt,
            work_micros,
        });
        let job = self.jobs.len() - 1;
        let is_new = self.connections.take(self.now, node, upstream);
        let mut delay = NETWORK_DELAY;
        if is_new {
            delay += CONNECT_DELAY;
            let open = self.connections.open(self.now, upstream);
            if self.is_measuring() {
                self.figures.add_opened(open, self.max_connections);
            }
        }
        self.events
            .push(self.now + delay, Event::AtUpstream(upstream, job));
    }

    fn answer(&mut self, caller: CallerKey, answer: &ForwardAnswer) {
        let Some(arrived) = self.callers.remove(caller) else {
            return;
        };
        if !self.is_measuring() {
            return;
        }
        match answer {
            ForwardAnswer::Reply(_) => {
                let latency = self.now.since(arrived);
                self.figures.add_latency(latency, self.objective);
            }
            _ => self.figures.refused += 1,
        }
    }
}

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + node as u16))
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

fn new_node(case: Case, index: usize, objective: Duration, rng: &mut fastrand::Rng) -> Node {
    let zone_of = |index: usize| match case.layout {
        Layout::OneZone => 0,
        Layout::ThreeZones => index % ZONES.len(),
    };
    let mut forwarder = Forwarder::new(settings(case, ZONES[zone_of(index)], rng.u64(..)))
        .expect("embedded charts are valid");
    let mut commands = Vec::new();
    let mut tell = |event| forwarder.handle(Timestamp::ZERO, event, &mut commands);
    tell(ForwardEvent::Configured(table(
        objective,
        case.max_connections,
    )));
    for upstream in 0..case.upstreams {
        let zone = ZONES[zone_of(upstream)];
        tell(ForwardEvent::UpstreamRegistered(entry(upstream, zone)));
    }
    let keys = commands.iter().filter_map(|command| match command {
        ForwardCommand::OpenUpstream { upstream, .. } => Some(*upstream),
        _ => None,
    });
    Node {
        upstreams: keys.zip(0..).collect(),
        zone: zone_of(index),
        weight: 0.2 - rng.f64().max(1e-3).ln(),
        wakeup: None,
        forwarder,
    }
}

fn settings(case: Case, zone: &str, seed: u64) -> ForwarderSettings {
    ForwarderSettings {
        zone: zone.into(),
        cross_zone_cost: 0.5,
        initial_fleet_size: case.nodes as u32,
        seed,
        ..forward_fixtures::settings()
    }
}

fn table(objective: Duration, max_connections: u32) -> Arc<RoutingTable> {
    let route = Route {
        timeout: objective * 6,
        objective,
        ..forward_fixtures::service_route("a")
    };
    let service = ServiceSettings {
        max_connections,
        warm_up: Duration::ZERO,
        cold_rate: None,
    };
    let services = BTreeMap::from([("desk".into(), service)]);
    Arc::new(RoutingTable::new(
        1,
        vec![route],
        services,
        CallerLimits::default(),
    ))
}

fn entry(index: usize, zone: &str) -> RegisteredUpstream {
    RegisteredUpstream {
        instance: format!("desk-{index}").into(),
        slots: SLOTS[index % SLOTS.len()],
        ..forward_fixtures::upstream("desk", zone)
    }
}

fn request() -> ForwardRequest {
    ForwardRequest {
        time_left: Duration::from_mins(1),
        ..forward_fixtures::request("/a/1")
    }
}

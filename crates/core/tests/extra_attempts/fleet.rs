//! A fleet of forwarders that share upstreams, some of which are disturbed for seconds.

use crate::{
    event_queue::EventQueue,
    figures::{KindFigures, ServiceArrivals},
    forward_fixtures,
    upstream_model::{Job, UpstreamModel},
};
use medlarpost_core::prelude::*;
use std::collections::HashMap;

const SHARDS: usize = 18;
const REPLICAS: usize = 3;
const SLOTS: u32 = 4;
const OBJECTIVE: Duration = Duration::from_millis(200);
const MIN_COVERAGE: f64 = 0.5;
const SERVICE_MICROS: f64 = 20_000.0;
const NETWORK_DELAY: Duration = Duration::from_micros(400);
const ZONE: &str = "z-a";
/// Time between two arrivals of any kind.
const MEAN_GAP_MICROS: f64 = 1_250.0;
/// Share of the requests that are gathered.
const GATHERED_SHARE: f64 = 0.2;
const DISTURBED_FROM: Timestamp = Timestamp::from_millis(4_000);
const DISTURBED_UNTIL: Timestamp = Timestamp::from_millis(9_000);
const END: Timestamp = Timestamp::from_millis(11_000);

/// Kinds of requests, by the name of their route.
pub const KINDS: [&str; 4] = [
    "gather-urgent",
    "gather-tolerant",
    "plain-urgent",
    "plain-tolerant",
];

/// What happens to the disturbed upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    None,
    /// They take four times as long.
    Slow,
    /// They do not reply.
    Hang,
    /// They answer each request with an error.
    Fail,
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub nodes: usize,
    pub disturbance: Disturbance,
    /// Disturbed replicas of each shard.
    pub replicas: usize,
    /// Every how many shards have disturbed replicas.
    pub shard_step: usize,
    /// Slack of the budget over all nodes.
    pub extra_slack: f64,
}

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Figures {
    /// By index into [`KINDS`].
    pub kinds: [KindFigures; KINDS.len()],
    pub sent: u32,
    pub extra: BTreeMap<&'static str, u32>,
    /// Extra attempts beyond the ratio, of the service with the most.
    pub most_beyond_ratio: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    AtUpstream(usize, usize),
    Finished(usize, usize),
    Resume(usize),
    AtNode(usize, usize),
    Wakeup(usize),
}

#[derive(Debug)]
struct Node {
    forwarder: Forwarder,
    upstreams: HashMap<UpstreamKey, usize>,
    wakeup: Option<Timestamp>,
}

#[derive(Debug)]
struct Fleet {
    case: Case,
    limits: FleetLimits,
    now: Timestamp,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    upstreams: Vec<UpstreamModel>,
    jobs: Vec<Job>,
    callers: SlotMap<CallerKey, (usize, Timestamp)>,
    arrivals: Vec<ServiceArrivals>,
    requests: [Arc<ForwardRequest>; KINDS.len()],
    rng: fastrand::Rng,
    figures: Figures,
}

/// Runs a case and returns its figures, which depend on the seed only.
pub fn run(case: Case, seed: u64) -> Figures {
    let mut fleet = Fleet::new(case, seed);
    fleet.events.push(Timestamp::ZERO, Event::Arrival);
    while let Some((at, event)) = fleet.events.pop() {
        if at >= END {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    let beyond = fleet.arrivals.iter().map(|a| a.most_beyond_ratio);
    fleet.figures.most_beyond_ratio = beyond.fold(0.0, f64::max);
    fleet.figures
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = FleetLimits {
            extra_slack: case.extra_slack,
            ..forward_fixtures::settings().limits
        };
        let models = (0..SHARDS * REPLICAS).map(|i| {
            let rng = fastrand::Rng::with_seed(seed * 1_000 + i as u64);
            UpstreamModel::new(SLOTS, 1.0, rng)
        });
        Self {
            case,
            limits,
            now: Timestamp::ZERO,
            events: EventQueue::new(),
            upstreams: models.collect(),
            nodes: (0..case.nodes)
                .map(|_| new_node(case, limits, rng.u64(..)))
                .collect(),
            jobs: Vec::new(),
            callers: SlotMap::with_key(),
            arrivals: (0..SHARDS).map(|_| ServiceArrivals::default()).collect(),
            requests: KINDS.map(|kind| Arc::new(forward_fixtures::request(&format!("/{kind}/1")))),
            rng,
            figures: Figures::default(),
        }
    }

    fn is_disturbed(&self, upstream: usize) -> bool {
        let (shard, replica) = (upstream / REPLICAS, upstream % REPLICAS);
        let is_chosen = shard.is_multiple_of(self.case.shard_step) && replica < self.case.replicas;
        is_chosen && (DISTURBED_FROM..DISTURBED_UNTIL).contains(&self.now)
    }

    fn has(&self, disturbance: Disturbance, upstream: usize) -> bool {
        self.case.disturbance == disturbance && self.is_disturbed(upstream)
    }

    /// Service time as a multiple of that without the disturbance.
    fn slowness(&self, upstream: usize) -> f64 {
        if self.has(Disturbance::Slow, upstream) {
            4.0
        } else {
            1.0
        }
    }

    fn is_measuring(&self) -> bool {
        self.now >= DISTURBED_FROM
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtUpstream(upstream, job) => {
                let job = self.jobs[job];
                self.upstreams[upstream].queue.push_back(job);
                self.start_jobs(upstream);
            }
            Event::Finished(upstream, job) => {
                self.upstreams[upstream].running -= 1;
                self.start_jobs(upstream);
                self.events
                    .push(self.now + NETWORK_DELAY, Event::AtNode(upstream, job));
            }
            Event::Resume(upstream) => self.start_jobs(upstream),
            Event::AtNode(upstream, job) => self.reply(upstream, job),
            Event::Wakeup(node) => {
                let wakeup = &mut self.nodes[node].wakeup;
                if wakeup.take_if(|at| *at <= self.now).is_some() {
                    self.tell(node, ForwardEvent::Wakeup);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let gap = -self.rng.f64().max(1e-12).ln() * MEAN_GAP_MICROS;
        self.events
            .push(self.now + Duration::from_micros(gap as u64), Event::Arrival);
        let gathered = self.rng.f64() < GATHERED_SHARE;
        let kind = usize::from(!gathered) * 2 + self.rng.usize(..2);
        let node = self.rng.usize(..self.nodes.len());
        let event = ForwardEvent::RequestArrived {
            caller: self.callers.insert((kind, self.now)),
            request: Arc::clone(&self.requests[kind]),
            arrived_at: BootTime::default(),
        };
        self.tell(node, event);
    }

    fn start_jobs(&mut self, upstream: usize) {
        self.upstreams[upstream].update(self.now);
        if self.has(Disturbance::Hang, upstream) {
            self.upstreams[upstream].paused_until = DISTURBED_UNTIL;
        }
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

    fn reply(&mut self, upstream: usize, job: usize) {
        let job = self.jobs[job];
        let slowness = self.slowness(upstream);
        let mut load = self.upstreams[upstream].report(self.now);
        load.service_percent = load
            .service_percent
            .map(|percent| (f64::from(percent) * slowness) as u32);
        let outcome = if self.has(Disturbance::Fail, upstream) {
            ForwardOutcome::Failed(forward_fixtures::reply(500, b""))
        } else {
            forward_fixtures::served_reply(b"")
        };
        let end = AttemptEnd {
            attempt: job.attempt,
            outcome,
            report: UpstreamReport {
                load: Some(load),
                ..UpstreamReport::default()
            },
        };
        self.tell(job.node, ForwardEvent::AttemptEnded(end));
    }

    fn tell(&mut self, node: usize, event: ForwardEvent) {
        let mut commands = Vec::new();
        let forwarder = &mut self.nodes[node].forwarder;
        forwarder.handle(self.now, event, &mut commands);
        let mut is_extra = false;
        for command in commands {
            match command {
                ForwardCommand::Record(ForwardTelemetry::ExtraAttempt { cause, .. }) => {
                    is_extra = true;
                    if self.is_measuring() {
                        *self.figures.extra.entry(cause).or_default() += 1;
                    }
                }
                ForwardCommand::SendAttempt {
                    attempt, upstream, ..
                } => self.send(node, attempt, upstream, std::mem::take(&mut is_extra)),
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

    fn send(&mut self, node: usize, attempt: AttemptKey, upstream: UpstreamKey, is_extra: bool) {
        let upstream = self.nodes[node].upstreams[&upstream];
        self.arrivals[upstream / REPLICAS].add(self.now, is_extra, &self.limits);
        if self.is_measuring() {
            self.figures.sent += 1;
        }
        let work = SERVICE_MICROS * (0.4 + 1.2 * self.rng.f64());
        self.jobs.push(Job {
            node,
            attempt,
            work_micros: work * self.slowness(upstream),
        });
        let event = Event::AtUpstream(upstream, self.jobs.len() - 1);
        self.events.push(self.now + NETWORK_DELAY, event);
    }

    fn answer(&mut self, caller: CallerKey, answer: &ForwardAnswer) {
        let Some((kind, arrived)) = self.callers.remove(caller) else {
            return;
        };
        if arrived < DISTURBED_FROM {
            return;
        }
        let coverage = match answer {
            ForwardAnswer::Reply(reply) if reply.status == 200 => 1.0,
            ForwardAnswer::Merged(merged) => 1.0 - f64::from(merged.missing) / SHARDS as f64,
            _ => 0.0,
        };
        let in_time = coverage > 0.0 && self.now.since(arrived) <= OBJECTIVE;
        self.figures.kinds[kind].add(coverage, in_time);
    }
}

fn new_node(case: Case, limits: FleetLimits, seed: u64) -> Node {
    let settings = ForwarderSettings {
        zone: ZONE.into(),
        limits,
        cross_zone_cost: 0.5,
        initial_fleet_size: case.nodes as u32,
        seed,
        ..forward_fixtures::settings()
    };
    let mut forwarder = Forwarder::new(settings).expect("embedded charts are valid");
    let mut commands = Vec::new();
    let mut tell = |event| forwarder.handle(Timestamp::ZERO, event, &mut commands);
    tell(ForwardEvent::Configured(table()));
    for upstream in 0..SHARDS * REPLICAS {
        tell(ForwardEvent::UpstreamRegistered(entry(upstream)));
    }
    let keys = commands.iter().filter_map(|command| match command {
        ForwardCommand::OpenUpstream { upstream, .. } => Some(*upstream),
        _ => None,
    });
    Node {
        upstreams: keys.zip(0..).collect(),
        wakeup: None,
        forwarder,
    }
}

fn service(shard: usize) -> Arc<str> {
    format!("shard-{shard}").into()
}

fn table() -> Arc<RoutingTable> {
    let gathered = Target::Shards(ShardTarget {
        services: (0..SHARDS).map(service).collect(),
        limit: 4,
        min_coverage: MIN_COVERAGE,
    });
    let plain = Target::Split((0..SHARDS).map(|shard| (service(shard), 1.0)).collect());
    let ranks = [0, 3, 0, 3];
    let targets = [gathered.clone(), gathered, plain.clone(), plain];
    let routes = KINDS.iter().zip(ranks).zip(targets);
    let routes = routes.map(|((kind, rank), target)| Route {
        objective: OBJECTIVE,
        max_attempts: 3,
        rank,
        ..forward_fixtures::route(kind, target)
    });
    let settings = |shard| {
        let settings = ServiceSettings {
            max_connections: 100_000,
            warm_up: Duration::ZERO,
            cold_rate: None,
        };
        (service(shard), settings)
    };
    let services = (0..SHARDS).map(settings).collect();
    let limits = CallerLimits::default();
    Arc::new(RoutingTable::new(1, routes.collect(), services, limits))
}

fn entry(upstream: usize) -> RegisteredUpstream {
    RegisteredUpstream {
        instance: format!("upstream-{upstream}").into(),
        slots: SLOTS,
        ..forward_fixtures::upstream(&service(upstream / REPLICAS), ZONE)
    }
}

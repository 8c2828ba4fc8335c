//! Fixtures: a forwarder with registered upstreams and a clock of its own.

use bytes::Bytes;
use medlarpost_core::prelude::*;
use std::collections::BTreeSet;

pub const OBJECTIVE: Duration = Duration::from_millis(120);
pub const TIMEOUT: Duration = Duration::from_millis(800);

pub const LOW: &[u8] = b"0000000000000001";
pub const HIGH: &[u8] = b"9000000000000001";

pub fn single(name: &str) -> Route {
    route(name, Target::Service("desk".into()))
}

pub fn booking() -> Route {
    Route {
        idempotent: false,
        ..single("book")
    }
}

/// A forwarder, the time, and what it asked for since the last look.
#[derive(Debug)]
pub struct Bench {
    pub forwarder: Forwarder,
    pub now: Timestamp,
    commands: Vec<ForwardCommand>,
    callers: SlotMap<CallerKey, ()>,
    opened: BTreeMap<String, UpstreamKey>,
    /// Caller of the last request with each id.
    asked: BTreeMap<Arc<str>, CallerKey>,
}

/// One attempt that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: AttemptKey,
    pub instance: String,
}

pub fn settings() -> ForwarderSettings {
    ForwarderSettings {
        zone: "z-a".into(),
        regions: [("z-a", "r-1"), ("z-b", "r-1"), ("z-c", "r-2")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
        extra_ratio: 0.2,
        extra_slack: 50.0,
        extra_window: Duration::from_secs(10),
        cold_excess: 1.5,
        cold_slack: 5.0,
        cross_zone_cost: 0.2,
        answer_margin: Duration::from_millis(10),
        initial_fleet_size: 1,
        seed: 1,
    }
}

pub fn route(name: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "search.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotent: true,
        timeout: TIMEOUT,
        objective: OBJECTIVE,
        max_attempts: 2,
        rank: 1,
        regions: Vec::new(),
        target,
    }
}

pub fn shards(count: usize, min_coverage: f64) -> Target {
    Target::Shards(ShardTarget {
        services: (0..count).map(|i| format!("shard-{i}").into()).collect(),
        limit: 4,
        min_coverage,
    })
}

pub fn table(version: u64, routes: Vec<Route>) -> Arc<RoutingTable> {
    let names: Vec<_> = routes.iter().flat_map(Route::services).collect();
    let services = names.into_iter().map(|name| {
        let terms = ServiceSettings {
            max_connections: 30,
            warm_up: Duration::from_secs(3),
            cold_rate: Some(4.0),
        };
        (name, terms)
    });
    Arc::new(RoutingTable::new(
        version,
        routes,
        services.collect(),
        CallerLimits::default(),
    ))
}

pub fn upstream(service: &str, zone: &str) -> RegisteredUpstream {
    RegisteredUpstream {
        instance: format!("{service}@{zone}").into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.into(),
        slots: 3,
        leaving: false,
        cold_for: Duration::ZERO,
        started_at_ms: 1,
    }
}

pub fn request(path: &str) -> ForwardRequest {
    ForwardRequest {
        id: "request-1".into(),
        host: "search.example".to_owned(),
        method: "GET".to_owned(),
        target: path.to_owned(),
        fields: Vec::new(),
        body: Bytes::new(),
        time_left: TIMEOUT,
    }
}

pub fn served(body: &'static [u8]) -> ForwardOutcome {
    ForwardOutcome::Served(reply(200, body))
}

pub fn reply(status: u16, body: &'static [u8]) -> UpstreamReply {
    UpstreamReply {
        status,
        fields: Vec::new(),
        proof: Some(Bytes::from_static(b"proof")),
        body: Bytes::from_static(body),
    }
}

/// A forwarder with this configuration and one upstream of each service in each zone.
pub fn bench(routes: Vec<Route>, zones: &[&str]) -> Bench {
    let services: BTreeSet<Arc<str>> = routes.iter().flat_map(Route::services).collect();
    let mut bench = Bench::new(settings());
    bench.event(ForwardEvent::Configured(table(1, routes)));
    for service in &services {
        for zone in zones {
            bench.event(ForwardEvent::UpstreamRegistered(upstream(service, zone)));
        }
    }
    bench
}

impl Bench {
    pub fn new(settings: ForwarderSettings) -> Self {
        Self {
            forwarder: Forwarder::new(settings).expect("embedded charts are valid"),
            now: Timestamp::from_millis(10_000),
            commands: Vec::new(),
            callers: SlotMap::with_key(),
            opened: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    pub fn event(&mut self, event: ForwardEvent) {
        let before = self.commands.len();
        self.forwarder.handle(self.now, event, &mut self.commands);
        for command in &self.commands[before..] {
            if let ForwardCommand::OpenUpstream {
                upstream, instance, ..
            } = command
            {
                self.opened.insert(instance.to_string(), *upstream);
            }
        }
    }

    pub fn ask(&mut self, request: ForwardRequest) -> CallerKey {
        let caller = self.callers.insert(());
        self.asked.insert(Arc::clone(&request.id), caller);
        let request = Arc::new(request);
        self.event(ForwardEvent::RequestArrived { caller, request });
        caller
    }

    pub fn finish(&mut self, sent: &Sent, outcome: ForwardOutcome) {
        self.finish_with(sent, outcome, None);
    }

    pub fn finish_with(
        &mut self,
        sent: &Sent,
        outcome: ForwardOutcome,
        load: Option<ReportedLoad>,
    ) {
        self.event(ForwardEvent::AttemptEnded(AttemptEnd {
            attempt: sent.attempt,
            outcome,
            load,
        }));
    }

    /// Lets time pass, with a wakeup whenever one is wanted.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.forwarder.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.event(ForwardEvent::Wakeup);
        }
        self.now = end;
    }

    /// Attempts that were sent since the last look.
    pub fn sent(&mut self) -> Vec<Sent> {
        self.sent_for().into_iter().map(|(_, sent)| sent).collect()
    }

    /// Attempts that were sent since the last look, with the caller that each is for.
    pub fn sent_for(&mut self) -> Vec<(CallerKey, Sent)> {
        let sent = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::SendAttempt {
                attempt,
                upstream,
                request,
                ..
            } => {
                let opened = self.opened.iter().find(|(_, key)| *key == upstream);
                let sent = Sent {
                    attempt: *attempt,
                    instance: opened.expect("an upstream is opened first").0.clone(),
                };
                Some((self.asked[&request.id], sent))
            }
            _ => None,
        });
        let sent = sent.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::SendAttempt { .. }));
        sent
    }

    /// Attempts that were cancelled since the last look.
    pub fn cancelled(&mut self) -> Vec<AttemptKey> {
        let cancelled = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::CancelAttempt { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let cancelled = cancelled.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::CancelAttempt { .. }));
        cancelled
    }

    /// Answers since the last look.
    pub fn answers(&mut self) -> Vec<(CallerKey, ForwardAnswer)> {
        let answers = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Answer { caller, answer } => Some((*caller, answer.clone())),
            _ => None,
        });
        let answers = answers.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::Answer { .. }));
        answers
    }

    /// The one answer since the last look.
    pub fn answer(&mut self) -> ForwardAnswer {
        let mut answers = self.answers();
        assert_eq!(answers.len(), 1, "answers");
        answers.remove(0).1
    }

    /// Why nothing more was sent for the shards that were given up, since the start.
    pub fn denials(&self) -> Vec<SendDenial> {
        let denials = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::ShardGivenUp { denial, .. }) => Some(*denial),
            _ => None,
        });
        denials.collect()
    }

    /// Requests that the other nodes are to be told of, since the start.
    pub fn bars(&self) -> Vec<Digest> {
        let bars = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::AnnounceQuarantine(digest) => Some(*digest),
            _ => None,
        });
        bars.collect()
    }

    /// Shards that were cut off since the start: who was asked and for how long.
    pub fn cut_off(&self) -> Vec<(String, Duration)> {
        let noted = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::ShardCutOff {
                instance, waited, ..
            }) => Some((instance.to_string(), *waited)),
            _ => None,
        });
        noted.collect()
    }

    /// Beliefs about upstreams that changed since the last look.
    pub fn beliefs(&mut self) -> Vec<(String, ReplicaState)> {
        let beliefs = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::UpstreamChanged { instance, to, .. }) => {
                Some((instance.to_string(), *to))
            }
            _ => None,
        });
        beliefs.collect()
    }
}

//! Processing time of a forwarded request by number of shards: the choice of a replica for each shard, with and without
//! load reports. There is no network.

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarpost_core::prelude::*;
use std::time::Instant;

/// Numbers of shards of the routes that are measured.
const SHARD_COUNTS: [usize; 3] = [1, 36, 54];

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Simulated time from a request to the replies of its shards.
const REPLY_TIME: Duration = Duration::from_millis(20);

struct Node {
    forwarder: Forwarder,
    now: Timestamp,
    callers: SlotMap<CallerKey, ()>,
    commands: Vec<ForwardCommand>,
    request: Arc<ForwardRequest>,
    load: Option<ReportedLoad>,
}

fn configured_node(shards: usize, load: Option<ReportedLoad>) -> Node {
    let route = route(shards);
    let services = route.services();
    let mut node = Node {
        forwarder: Forwarder::new(settings()).expect("the charts are valid"),
        now: Timestamp::from_millis(1),
        callers: SlotMap::with_key(),
        commands: Vec::new(),
        request: Arc::new(request()),
        load,
    };
    node.handle(ForwardEvent::Configured(table(route)));
    for service in &services {
        for zone in ZONES {
            node.handle(ForwardEvent::UpstreamRegistered(entry(service, zone)));
        }
    }
    node.commands.clear();
    for _ in 0..20 {
        node.run_request();
    }
    node
}

impl Node {
    fn handle(&mut self, event: ForwardEvent) {
        self.forwarder.handle(self.now, event, &mut self.commands);
    }

    /// Runs one request and returns the processing time of its arrival.
    fn run_request(&mut self) -> Duration {
        let caller = self.callers.insert(());
        let event = ForwardEvent::RequestArrived {
            caller,
            request: Arc::clone(&self.request),
            arrived_at: BootTime::default(),
        };
        let began = Instant::now();
        self.handle(event);
        let spent = began.elapsed();
        self.now = self.now + REPLY_TIME;
        for command in std::mem::take(&mut self.commands) {
            if let ForwardCommand::SendAttempt { attempt, .. } = command {
                let end = served(attempt, self.load);
                self.handle(ForwardEvent::AttemptEnded(end));
            }
        }
        self.commands.clear();
        self.callers.remove(caller);
        spent
    }
}

fn served(attempt: AttemptKey, load: Option<ReportedLoad>) -> AttemptEnd {
    AttemptEnd {
        attempt,
        outcome: ForwardOutcome::Served(UpstreamReply {
            status: 200,
            fields: Vec::new(),
            proof: Some(Bytes::from_static(b"proof")),
            body: Bytes::new(),
        }),
        report: UpstreamReport {
            load,
            ..UpstreamReport::default()
        },
    }
}

fn settings() -> ForwarderSettings {
    ForwarderSettings {
        zone: ZONES[0].into(),
        regions: ZONES.map(|zone| (zone.into(), "r-1".into())).into(),
        limits: FleetLimits {
            extra_ratio: 0.2,
            extra_slack: 50.0,
            extra_window: Duration::from_secs(10),
            cold_excess: 1.5,
            cold_slack: 5.0,
            quotas: None,
        },
        cross_zone_cost: 0.2,
        answer_margin: Duration::from_millis(10),
        initial_fleet_size: 1,
        revoke_within: None,
        seed: 1,
    }
}

fn route(shards: usize) -> Route {
    Route {
        name: "search".into(),
        host: "search.example".to_owned(),
        prefix: "/search/".to_owned(),
        idempotent: true,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(120),
        max_attempts: 2,
        rank: 1,
        public: false,
        regions: Vec::new(),
        target: Target::Shards(ShardTarget {
            services: (0..shards).map(|i| format!("shard-{i}").into()).collect(),
            limit: 10,
            min_coverage: 0.8,
        }),
    }
}

fn table(route: Route) -> Arc<RoutingTable> {
    let settings = |name| {
        let settings = ServiceSettings {
            max_connections: 30,
            warm_up: Duration::from_secs(3),
            cold_rate: Some(4.0),
        };
        (name, settings)
    };
    let services = route.services().into_iter().map(settings).collect();
    let limits = CallerLimits::default();
    Arc::new(RoutingTable::new(1, vec![route], services, limits))
}

fn entry(service: &str, zone: &str) -> RegisteredUpstream {
    RegisteredUpstream {
        instance: format!("{service}@{zone}").into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        zone: zone.into(),
        slots: 3,
        leaving: false,
        cold_for: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn request() -> ForwardRequest {
    ForwardRequest {
        id: "request-1".into(),
        host: "search.example".to_owned(),
        method: "GET".to_owned(),
        target: "/search/1".to_owned(),
        credential: Credential::Missing,
        fields: Vec::new(),
        body: Bytes::new(),
        time_left: Duration::from_millis(800),
    }
}

fn arrival(criterion: &mut Criterion) {
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
        slots: 3,
        service_percent: Some(100),
    };
    for (name, load) in [("arrival", None), ("arrival_with_reports", Some(load))] {
        let mut group = criterion.benchmark_group(name);
        for shards in SHARD_COUNTS {
            let mut node = configured_node(shards, load);
            group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
                bencher.iter_custom(|n| (0..n).map(|_| node.run_request()).sum());
            });
        }
        group.finish();
    }
}

criterion_group!(benches, arrival);
criterion_main!(benches);

//! Processing time of a forwarded request by number of shards: the choice of a replica for each shard, with and without
//! load reports. There is no network.

#[expect(dead_code, reason = "the bench uses a part of the fixtures")]
#[path = "../tests/forwarding/forward_fixtures.rs"]
mod forward_fixtures;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use forward_fixtures::{request, route, served_reply, settings, shards_target, table, upstream};
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
    let route = route("search", shards_target(shards, 0.8));
    let services = route.services();
    let mut node = Node {
        forwarder: Forwarder::new(settings()).expect("the charts are valid"),
        now: Timestamp::from_millis(1),
        callers: SlotMap::with_key(),
        commands: Vec::new(),
        request: Arc::new(request("/search/1")),
        load,
    };
    node.handle(ForwardEvent::Configured(table(1, vec![route])));
    for service in &services {
        for zone in ZONES {
            node.handle(ForwardEvent::UpstreamRegistered(upstream(service, zone)));
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
        outcome: served_reply(b""),
        report: UpstreamReport {
            load,
            ..UpstreamReport::default()
        },
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

//! Time of the fan-out, the merge and a whole query by number of shards, and of a configuration and a round of probes
//! by number of upstreams. Upstreams answer at once; there is no network.

#[path = "../tests/query_sim/mod.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
#[expect(unused_imports, reason = "the tests use the rest")]
mod query_sim;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarpost_core::{hit_merger::HitMerger, prelude::*};
use std::{fs, hint::black_box, time::Instant};

/// A quarter, a half and all of the shards that the system is designed for.
const SHARD_COUNTS: [u32; 3] = [58, 115, 230];

/// Numbers of upstreams in a bundle, up to the number that the system is designed for. Each shard has one upstream.
const UPSTREAM_COUNTS: [u32; 3] = [100, 500, 2_500];

/// Longer than the probe interval, so that each wakeup starts a round of probes.
const PROBE_ROUND_INTERVAL: Duration = Duration::from_millis(501);

/// Number of engines alive at once in the measurement of memory, so that the rounding to pages matters little.
const ENGINE_COUNT: usize = 20;

/// Size of the pages counted in `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

const HITS_PER_SHARD: u32 = 10;

/// Simulated latency of each query.
const QUERY_LATENCY: Duration = Duration::from_millis(5);

struct Node {
    engine: Engine,
    now: Timestamp,
    commands: Vec<Command>,
}

fn configured_node(shards: u32) -> Node {
    let mut node = Node {
        engine: Engine::new(&query_sim::engine_settings(PolicyMode::Adaptive))
            .expect("the charts are valid"),
        now: Timestamp::from_millis(1),
        commands: Vec::new(),
    };
    let bundle = query_sim::bundle(shards, 3, 3);
    let warm_up_owner_of = bundle.upstreams.iter().map(|u| u.name.clone()).collect();
    let view = FleetView {
        published_nodes: 1,
        warm_up_owner_of,
    };
    node.handle(Event::FleetChanged(view));
    node.handle(Event::FreshUntil(Timestamp::MAX));
    node.handle(Event::Configure(query_sim::sign_bundle(&bundle)));
    for upstream in &bundle.upstreams {
        node.handle(Event::News(query_sim::warm_news(&upstream.name)));
    }
    node.commands.clear();
    // The first queries are canaries and fill the latency histogram.
    for _ in 0..20 {
        node.run_query();
    }
    node
}

impl Node {
    fn handle(&mut self, event: Event) {
        self.engine.handle(self.now, event, &mut self.commands);
    }

    /// Runs one query and returns the processing time of the fan-out and of the whole query.
    fn run_query(&mut self) -> (Duration, Duration) {
        let request = query_sim::search_request("labs", "query", 500);
        let began = Instant::now();
        self.handle(Event::Search(request));
        let fan_out = began.elapsed();
        let mut spent = fan_out;
        self.now = self.now + QUERY_LATENCY;
        while !self.commands.is_empty() {
            let commands = std::mem::take(&mut self.commands);
            let replies: Vec<_> = commands.into_iter().filter_map(successful_reply).collect();
            let began = Instant::now();
            for reply in replies {
                self.handle(Event::Reply(reply));
            }
            spent += began.elapsed();
        }
        (fan_out, spent)
    }
}

fn successful_reply(command: Command) -> Option<Reply> {
    let Command::Send {
        attempt,
        upstream,
        request,
        ..
    } = command
    else {
        return None;
    };
    let SubRequest::Search {
        shard,
        index_version,
        ..
    } = request
    else {
        return None;
    };
    let hits = shard_hits(shard);
    Some(Reply {
        attempt,
        upstream,
        outcome: Outcome::Answered(ShardReply {
            index_version,
            hits,
        }),
        report: None,
    })
}

fn shard_hits(shard: u32) -> Vec<Hit> {
    let score = |n: u32| f64::from((shard * 7919 + n * 104_729) % 1_000);
    (0..HITS_PER_SHARD)
        .map(|n| query_sim::hit(&format!("s{shard}-{n}"), score(n), "labs"))
        .collect()
}

fn fan_out(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fan_out");
    for shards in SHARD_COUNTS {
        let mut node = configured_node(shards);
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            bencher.iter_custom(|n| (0..n).map(|_| node.run_query().0).sum());
        });
    }
    group.finish();
}

fn merge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge");
    for shards in SHARD_COUNTS {
        let replies: Vec<_> = (0..shards).map(shard_hits).collect();
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            bencher.iter_batched(
                || replies.clone(),
                |replies| {
                    let mut merge = HitMerger::new("request-1", 100);
                    for hits in replies {
                        merge.add_hits(hits);
                    }
                    black_box(merge.into_hits())
                },
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn query(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    for shards in SHARD_COUNTS {
        let mut node = configured_node(shards);
        group.bench_function(BenchmarkId::from_parameter(shards), |bencher| {
            bencher.iter_custom(|n| (0..n).map(|_| node.run_query().1).sum());
        });
    }
    group.finish();
}

/// A node that is steward of all upstreams of a bundle, and that bundle, which it has not been configured with.
fn steward_node(upstreams: u32) -> (Node, Arc<ApprovedBundle>) {
    let bundle = query_sim::bundle(upstreams, 1, 3);
    let mut node = Node {
        engine: Engine::new(&query_sim::engine_settings(PolicyMode::Adaptive))
            .expect("the charts are valid"),
        now: Timestamp::from_millis(1),
        commands: Vec::new(),
    };
    let view = FleetView {
        published_nodes: 1,
        warm_up_owner_of: bundle.upstreams.iter().map(|u| u.name.clone()).collect(),
    };
    node.handle(Event::FleetChanged(view));
    node.handle(Event::FreshUntil(Timestamp::MAX));
    (node, query_sim::sign_bundle(&bundle))
}

fn configure(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("configure");
    for upstreams in UPSTREAM_COUNTS {
        let (mut node, bundle) = steward_node(upstreams);
        node.handle(Event::Configure(bundle));
        // A change of one upstream, which is what most changes of a day are.
        let mut bundle = query_sim::bundle(upstreams, 1, 3);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter_custom(|n| (0..n).map(|_| reconfigure(&mut node, &mut bundle)).sum());
        });
    }
    group.finish();
}

/// Configures the next version of the bundle and returns the time that the engine took.
fn reconfigure(node: &mut Node, bundle: &mut Bundle) -> Duration {
    bundle.version += 1;
    bundle.upstreams[0].slots = 3 + (bundle.version % 2) as u32;
    let approved = query_sim::sign_bundle(bundle);
    node.commands.clear();
    let began = Instant::now();
    node.handle(Event::Configure(approved));
    began.elapsed()
}

/// Time to sign a whole bundle and to check its signatures and parts, which a node does before its engine gets it.
fn sign_bundle(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("approve");
    for upstreams in UPSTREAM_COUNTS {
        let bundle = query_sim::bundle(upstreams, 1, 3);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| black_box(query_sim::sign_bundle(&bundle)));
        });
    }
    group.finish();
}

/// All upstreams are unknown, have the same steward and never reply: the most that a round of probes can cost.
fn probe_round(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("probe_round");
    for upstreams in UPSTREAM_COUNTS {
        let (mut node, bundle) = steward_node(upstreams);
        node.handle(Event::Configure(bundle));
        let mut probes = 0;
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter_custom(|n| (0..n).map(|_| run_probes(&mut node, &mut probes)).sum());
        });
        println!("probe_round/{upstreams} probes in the last round: {probes}");
    }
    group.finish();
}

fn run_probes(node: &mut Node, probes: &mut usize) -> Duration {
    node.commands.clear();
    node.now = node.now + PROBE_ROUND_INTERVAL;
    let began = Instant::now();
    node.handle(Event::Wakeup);
    let spent = began.elapsed();
    let commands = node.commands.iter();
    *probes = commands
        .filter(|command| matches!(command, Command::Probe(_)))
        .count();
    spent
}

/// Prints the resident memory of an engine and its bundle. Criterion measures times only, so there are no statistics.
fn memory(_criterion: &mut Criterion) {
    for upstreams in UPSTREAM_COUNTS {
        let before = resident_bytes();
        let engines: Vec<_> = (0..ENGINE_COUNT)
            .map(|_| {
                let (mut node, bundle) = steward_node(upstreams);
                node.handle(Event::Configure(Arc::clone(&bundle)));
                node.commands = Vec::new();
                (node, bundle)
            })
            .collect();
        let kilobytes = resident_bytes().saturating_sub(before) / ENGINE_COUNT / 1_000;
        println!("memory/{upstreams} kB per engine with its bundle: {kilobytes}");
        drop(black_box(engines));
    }
}

/// Resident memory of this process; 0 where `/proc` doesn't exist.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

criterion_group!(
    benches,
    memory,
    fan_out,
    merge,
    query,
    configure,
    sign_bundle,
    probe_round
);
criterion_main!(benches);

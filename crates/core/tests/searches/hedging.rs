//! Guards against single slow sub-requests that determine the tail latency, and against unbounded extra load.

use crate::query_sim::{Behaviour, Simulation, bundle, search_request};
use medlarpost_core::prelude::*;

const SHARDS: u32 = 25;
const QUERIES: u64 = 4_000;

/// Service times of 4 to 6 ms; one sub-request in a hundred takes 20 times as long.
fn run_with_stragglers(policy: PolicyMode) -> Simulation {
    run_queries(policy, |rng| 4_000 + rng.u64(0..2_000))
}

/// Service times of 2 ms plus an exponential part with a mean of 3 ms; one in a hundred takes 20 times as long.
fn run_with_wide_latencies(policy: PolicyMode) -> Simulation {
    run_queries(policy, |rng| {
        2_000 + (-(1.0 - rng.f64()).ln() * 3_000.0) as u64
    })
}

/// Runs queries with service times from `usual_us`, in microseconds; one in a hundred takes 20 times as long.
fn run_queries(policy: PolicyMode, usual_us: fn(&mut fastrand::Rng) -> u64) -> Simulation {
    let bundle = bundle(SHARDS, 3, 3);
    let mut simulation = Simulation::new(policy, &bundle, move |rng, _, _| {
        let usual = usual_us(rng);
        let factor = if rng.u32(0..100) == 0 { 20 } else { 1 };
        Behaviour::Answer(Duration::from_micros(usual * factor))
    });
    for number in 0..QUERIES {
        let at = Timestamp::from_micros(number * 5_000);
        // Each text is queried twice.
        let text = format!("query {}", number / 2);
        simulation.search_at(at, search_request("labs", &text, 1_000));
    }
    simulation.run_until(Timestamp::from_millis(60_000));
    simulation
}

fn quantile(sorted: &[u64], q: f64) -> u64 {
    sorted[((sorted.len() - 1) as f64 * q) as usize]
}

fn requests_per_sub_query(statistics: &EngineStatistics) -> f64 {
    let extra = statistics.hedges + statistics.retries;
    1.0 + extra as f64 / statistics.primaries as f64
}

#[test]
fn adaptive_policy_halves_the_p99_with_stragglers() {
    let baseline = run_with_stragglers(PolicyMode::Baseline);
    let adaptive = run_with_stragglers(PolicyMode::Adaptive);

    assert_p99_is_halved(&baseline, &adaptive);
}

#[test]
fn adaptive_policy_halves_the_p99_of_wide_latencies() {
    let baseline = run_with_wide_latencies(PolicyMode::Baseline);
    let adaptive = run_with_wide_latencies(PolicyMode::Adaptive);

    assert_p99_is_halved(&baseline, &adaptive);
}

fn assert_p99_is_halved(baseline: &Simulation, adaptive: &Simulation) {
    let (before, after) = (baseline.latencies_us(), adaptive.latencies_us());
    let requests = requests_per_sub_query(&adaptive.engine.statistics());
    println!(
        "baseline p50 {} p99 {} us; adaptive p50 {} p99 {} us; requests per sub-query {requests:.4}",
        quantile(&before, 0.5),
        quantile(&before, 0.99),
        quantile(&after, 0.5),
        quantile(&after, 0.99)
    );
    assert_eq!(before.len() as u64, QUERIES);
    assert_eq!(after.len() as u64, QUERIES);
    assert!(quantile(&after, 0.99) * 2 <= quantile(&before, 0.99));
    assert!(requests <= 1.05, "{requests}");
}

#[test]
fn baseline_sends_no_hedges_and_no_canaries() {
    let simulation = run_with_stragglers(PolicyMode::Baseline);

    let statistics = simulation.engine.statistics();

    assert_eq!((statistics.hedges, statistics.canaries), (0, 0));
}

#[test]
fn outage_of_most_replicas_stays_within_the_extra_load() {
    let bundle = bundle(SHARDS, 3, 3);
    let share = bundle.policy.extra_load;
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, |_, name, _| {
        if name.ends_with("r0") {
            Behaviour::Answer(Duration::from_millis(5))
        } else {
            Behaviour::Hang
        }
    });
    for number in 0..400 {
        let at = Timestamp::from_millis(number * 10);
        simulation.search_at(at, search_request("labs", &format!("query {number}"), 200));
    }

    simulation.run_until(Timestamp::from_millis(60_000));

    let statistics = simulation.engine.statistics();
    let extra = (statistics.hedges + statistics.retries) as f64;
    assert!(extra > 0.0);
    assert!(
        extra <= share * statistics.primaries as f64,
        "{statistics:?}"
    );
}

#[test]
fn second_attempt_goes_to_another_upstream() {
    let simulation = run_with_stragglers(PolicyMode::Adaptive);
    let mut seen = std::collections::HashSet::new();

    let twice = simulation.sends.iter().filter(|(_, name, request)| {
        let SubRequest::Search { query, .. } = request else {
            return false;
        };
        // Two queries have the same text, so an upstream may be sent a text twice but not three times.
        !seen.insert((name.clone(), Arc::clone(query), 0))
            && !seen.insert((name.clone(), Arc::clone(query), 1))
    });

    assert_eq!(twice.count(), 0);
}

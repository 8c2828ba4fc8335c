//! Guards against a request that crashes each upstream that runs it and that its caller sends again.

use crate::query_sim::{Run, Simulation, Verdict, bundle, search_request};
use medlarpost_core::{
    prelude::*,
    quarantine::{Loss, Quarantine, Verdict as Judged},
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, proptest};
use std::collections::BTreeSet;

const LIFETIME: Duration = Duration::from_mins(10);

fn fragile() -> Simulation {
    Simulation::new(
        PolicyMode::Adaptive,
        &bundle(6, 3, 2),
        |_, _, request| match request {
            SubRequest::Search { query, .. } if query.starts_with("bad") => {
                Run::Crash(Duration::from_millis(2))
            }
            _ => Run::Answer(Duration::from_millis(5)),
        },
    )
}

fn digest() -> Digest {
    Digest::of(b"bad")
}

fn loss(upstream: &str) -> Loss {
    Loss {
        digest: digest(),
        shard: 0,
        upstream: upstream.to_owned(),
        trial: true,
    }
}

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn crashing_request_costs_two_upstreams_and_is_then_refused() {
    let mut simulation = fragile();
    let callers: Vec<_> = (1..8)
        .map(|n| simulation.search_at(seconds(n), search_request("labs", "bad", 500)))
        .collect();

    simulation.run_until(seconds(10));

    assert_eq!(simulation.crashed.len(), 2);
    let last = *callers.last().expect("there are several");
    assert_eq!(
        simulation.refusal(last),
        (RefusalKind::Quarantined, Execution::NotRun)
    );
    let Verdict::Answer(first) = simulation.result(callers[0]) else {
        panic!("the first request was sent, so that it is answered")
    };
    assert_eq!(first.coverage.answered, 0);
    assert!(
        matches!(simulation.shared.last(), Some(News::Crash { upstreams, .. }) if upstreams.len() == 2)
    );
}

#[test]
fn copies_at_the_same_moment_cost_two_upstreams() {
    let mut simulation = fragile();
    for _ in 0..20 {
        simulation.search_at(seconds(1), search_request("labs", "bad", 500));
    }

    simulation.run_until(seconds(3));

    assert_eq!(simulation.crashed.len(), 2);
}

#[test]
fn request_that_its_caller_gives_up_still_counts() {
    let mut simulation = fragile();
    for number in 1..8 {
        let caller = simulation.search_at(seconds(number), search_request("labs", "bad", 500));
        let gone = seconds(number) + Duration::from_millis(1);
        simulation.event_at(gone, Event::CallerGone(caller));
    }

    simulation.run_until(seconds(10));

    assert!(simulation.crashed.len() <= 2, "{:?}", simulation.crashed);
}

#[test]
fn quarantine_does_not_touch_other_requests_and_expires() {
    let mut simulation = fragile();
    simulation.search_at(seconds(1), search_request("labs", "bad", 500));
    let other = simulation.search_at(seconds(2), search_request("labs", "good", 500));
    let later = simulation.search_at(seconds(700), search_request("labs", "bad", 500));

    simulation.run_until(seconds(800));

    assert_eq!(simulation.answer(other).coverage.answered, 6);
    assert!(matches!(simulation.result(later), Verdict::Answer(_)));
}

#[test]
fn repeat_of_a_harmless_request_skips_the_canary() {
    let mut simulation = fragile();
    simulation.search_at(seconds(1), search_request("labs", "good", 500));
    let repeat = simulation.search_at(seconds(2), search_request("labs", "good", 500));

    simulation.run_until(seconds(3));

    assert_eq!(simulation.engine.statistics().canaries, 1);
    assert!(simulation.answer(repeat).total_time < Duration::from_millis(6));
}

#[test]
fn digest_that_a_peer_reported_is_refused_after_one_loss() {
    let mut simulation = fragile();
    let digest = Digest::of(format!("{}\nbad", crate::query_sim::SERVICE).as_bytes());
    let upstreams = vec!["s0r0".to_owned()];
    simulation.handle(Event::News(News::Crash { digest, upstreams }));
    let caller = simulation.search_at(seconds(1), search_request("labs", "bad", 500));

    simulation.run_until(seconds(2));

    assert_eq!(
        simulation.refusal(caller),
        (RefusalKind::Quarantined, Execution::NotRun)
    );
    assert!(simulation.sends.is_empty());
}

#[test]
fn success_after_the_loss_exonerates_and_an_older_one_does_not() {
    let mut quarantine = Quarantine::default();
    quarantine.lost(seconds(5), loss("s0r0"), LIFETIME);

    quarantine.succeeded(seconds(6), digest(), 1, seconds(4));
    let after_older = quarantine.verdict(seconds(6), digest(), 1);
    quarantine.succeeded(seconds(8), digest(), 1, seconds(7));
    let after_newer = quarantine.verdict(seconds(8), digest(), 1);

    assert_eq!(
        (after_older, after_newer),
        (Judged::Canary, Judged::Harmless)
    );
}

/// A failing zone or switch breaks many connections at once; popular requests must not be refused for it.
#[test]
fn simultaneous_losses_of_a_harmless_request_leave_it_a_canary() {
    let mut quarantine = Quarantine::default();
    quarantine.succeeded(seconds(2), digest(), 1, seconds(1));

    let news: Vec<_> = ["s0r0", "s1r0", "s2r0"]
        .into_iter()
        .filter_map(|upstream| {
            let loss = Loss {
                trial: false,
                ..loss(upstream)
            };
            quarantine.lost(seconds(3), loss, LIFETIME)
        })
        .collect();

    assert!(news.is_empty(), "{news:?}");
    assert_eq!(quarantine.verdict(seconds(3), digest(), 1), Judged::Canary);
}

#[test]
fn canary_lost_after_losses_of_a_harmless_request_is_told_and_quarantines() {
    let mut quarantine = Quarantine::default();
    quarantine.succeeded(seconds(2), digest(), 1, seconds(1));
    let earlier = Loss {
        trial: false,
        ..loss("s0r0")
    };
    quarantine.lost(seconds(3), earlier, LIFETIME);

    let news = quarantine.lost(seconds(4), loss("s1r0"), LIFETIME);

    assert!(matches!(news, Some(News::Crash { upstreams, .. }) if upstreams.len() == 2));
    assert_eq!(
        quarantine.verdict(seconds(4), digest(), 1),
        Judged::Quarantined
    );
}

#[test]
fn harmless_on_one_index_version_is_tried_on_another() {
    let mut quarantine = Quarantine::default();

    quarantine.succeeded(seconds(2), digest(), 1, seconds(1));

    assert_eq!(
        quarantine.verdict(seconds(3), digest(), 1),
        Judged::Harmless
    );
    assert_eq!(quarantine.verdict(seconds(3), digest(), 2), Judged::Canary);
}

/// Median latency of queries of which each is new (`true`) or a repeat.
fn median_us(new: bool) -> u64 {
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle(25, 3, 3), |rng, _, _| {
        Run::Answer(Duration::from_micros(4_000 + rng.u64(0..2_000)))
    });
    for number in 0..1_000 {
        let text = if new {
            format!("query {number}")
        } else {
            "query".to_owned()
        };
        let at = Timestamp::from_millis(1 + number * 10);
        simulation.search_at(at, search_request("labs", &text, 500));
    }
    simulation.run_until(seconds(20));
    let latencies = simulation.latencies_us();
    latencies[latencies.len() / 2]
}

#[test]
fn canary_costs_at_most_one_more_round() {
    let (with, without) = (median_us(true), median_us(false));

    println!("p50 with canary {with} us, without {without} us");
    assert!(with <= 2 * without);
}

/// Sends of one request through nodes 0 to 3, each followed by whether the caller gives up early.
fn routes() -> impl Strategy<Value = Vec<(usize, bool)>> {
    proptest::collection::vec((0..4_usize, any::<bool>()), 1..16)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_request_through_any_nodes_costs_two_upstreams(route in routes()) {
        let mut nodes: Vec<_> = (0..4).map(|_| fragile()).collect();
        let mut told = [0; 4];

        for (step, (node, gives_up)) in route.iter().enumerate() {
            let at = seconds(1 + step as u64);
            let caller = nodes[*node].search_at(at, search_request("labs", "bad", 500));
            if *gives_up {
                nodes[*node].event_at(at + Duration::from_millis(1), Event::CallerGone(caller));
            }
            for node in &mut nodes {
                node.run_until(at + Duration::from_millis(900));
            }
            let news = nodes[*node].shared[told[*node]..].to_vec();
            told[*node] = nodes[*node].shared.len();
            let peers = nodes.iter_mut().enumerate().filter(|(peer, _)| peer != node);
            for (_, peer) in peers {
                for news in &news {
                    peer.handle(Event::News(news.clone()));
                }
            }
        }

        let lost: BTreeSet<_> = nodes.iter().flat_map(|node| &node.crashed).collect();
        prop_assert!(lost.len() <= 2, "{:?}", lost);
    }
}

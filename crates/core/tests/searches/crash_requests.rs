//! Guards against a request that crashes every upstream that runs it, and that its caller or a peer sends again.

use crate::query_sim::{Behaviour, Response, Simulation, bundle, search_request};
use medlarpost_core::{
    prelude::*,
    search_quarantine::{Loss, SearchQuarantine, Verdict},
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, proptest};
use std::collections::BTreeSet;

const QUARANTINE_LIFETIME: Duration = Duration::from_mins(10);

fn simulation_with_crashing_request() -> Simulation {
    Simulation::new(
        PolicyMode::Adaptive,
        &bundle(6, 3, 2),
        |_, _, request| match request {
            SubRequest::Search { query, .. } if query.starts_with("bad") => {
                Behaviour::Crash(Duration::from_millis(2))
            }
            _ => Behaviour::Answer(Duration::from_millis(5)),
        },
    )
}

fn bad_digest() -> Digest {
    Digest::of(b"bad")
}

fn trial_loss(upstream: &str) -> Loss {
    Loss {
        digest: bad_digest(),
        shard: 0,
        upstream: upstream.to_owned(),
        trial: true,
    }
}

fn at_second(second: u64) -> Timestamp {
    Timestamp::from_millis(second * 1_000)
}

#[test]
fn crashing_request_costs_two_upstreams_and_is_then_refused() {
    let mut simulation = simulation_with_crashing_request();
    let callers: Vec<_> = (1..8)
        .map(|n| simulation.search_at(at_second(n), search_request("labs", "bad", 500)))
        .collect();

    simulation.run_until(at_second(10));

    assert_eq!(simulation.crashed.len(), 2);
    let last = *callers.last().expect("seven callers have searched");
    assert_eq!(
        simulation.refusal(last),
        (RefusalKind::Quarantined, Execution::NotRun)
    );
    let Response::Answer(first) = simulation.result(callers[0]) else {
        panic!("the first query is answered, because a sub-request was sent")
    };
    assert_eq!(first.coverage.answered, 0);
    assert!(
        matches!(simulation.shared_news.last(), Some(News::Crash { upstreams, .. }) if upstreams.len() == 2)
    );
}

#[test]
fn concurrent_copies_of_a_crashing_request_cost_two_upstreams() {
    let mut simulation = simulation_with_crashing_request();
    for _ in 0..20 {
        simulation.search_at(at_second(1), search_request("labs", "bad", 500));
    }

    simulation.run_until(at_second(3));

    assert_eq!(simulation.crashed.len(), 2);
}

#[test]
fn crashes_count_although_the_caller_gave_up() {
    let mut simulation = simulation_with_crashing_request();
    for number in 1..8 {
        let caller = simulation.search_at(at_second(number), search_request("labs", "bad", 500));
        let gone = at_second(number) + Duration::from_millis(1);
        simulation.event_at(gone, Event::CallerGone(caller));
    }

    simulation.run_until(at_second(10));

    assert!(simulation.crashed.len() <= 2, "{:?}", simulation.crashed);
}

#[test]
fn quarantine_does_not_affect_other_requests_and_expires() {
    let mut simulation = simulation_with_crashing_request();
    simulation.search_at(at_second(1), search_request("labs", "bad", 500));
    let other = simulation.search_at(at_second(2), search_request("labs", "good", 500));
    let later = simulation.search_at(at_second(700), search_request("labs", "bad", 500));

    simulation.run_until(at_second(800));

    assert_eq!(simulation.answer(other).coverage.answered, 6);
    assert!(matches!(simulation.result(later), Response::Answer(_)));
}

#[test]
fn repeat_of_a_harmless_request_skips_the_canary() {
    let mut simulation = simulation_with_crashing_request();
    simulation.search_at(at_second(1), search_request("labs", "good", 500));
    let repeat = simulation.search_at(at_second(2), search_request("labs", "good", 500));

    simulation.run_until(at_second(3));

    assert_eq!(simulation.engine.statistics().canaries, 1);
    assert!(simulation.answer(repeat).total_time < Duration::from_millis(6));
}

#[test]
fn request_reported_by_a_peer_is_refused_after_one_loss() {
    let mut simulation = simulation_with_crashing_request();
    let digest = Digest::of(format!("{}\nbad", crate::query_sim::SERVICE).as_bytes());
    let upstreams = vec!["s0r0".to_owned()];
    simulation.handle(Event::News(News::Crash { digest, upstreams }));
    let caller = simulation.search_at(at_second(1), search_request("labs", "bad", 500));

    simulation.run_until(at_second(2));

    assert_eq!(
        simulation.refusal(caller),
        (RefusalKind::Quarantined, Execution::NotRun)
    );
    assert!(simulation.sends.is_empty());
}

#[test]
fn only_a_success_sent_after_the_loss_clears_a_suspect() {
    let mut quarantine = SearchQuarantine::default();
    quarantine.record_loss(at_second(5), trial_loss("s0r0"), QUARANTINE_LIFETIME);

    quarantine.record_success(at_second(6), bad_digest(), 1, at_second(4));
    let after_older = quarantine.verdict(at_second(6), bad_digest(), 1);
    quarantine.record_success(at_second(8), bad_digest(), 1, at_second(7));
    let after_newer = quarantine.verdict(at_second(8), bad_digest(), 1);

    assert_eq!(
        (after_older, after_newer),
        (Verdict::Canary, Verdict::Harmless)
    );
}

/// When a zone or a switch fails, many connections break at once. Popular requests must not be refused for that.
#[test]
fn simultaneous_losses_of_a_harmless_request_do_not_quarantine_it() {
    let mut quarantine = SearchQuarantine::default();
    quarantine.record_success(at_second(2), bad_digest(), 1, at_second(1));

    let news: Vec<_> = ["s0r0", "s1r0", "s2r0"]
        .into_iter()
        .filter_map(|upstream| {
            let loss = Loss {
                trial: false,
                ..trial_loss(upstream)
            };
            quarantine.record_loss(at_second(3), loss, QUARANTINE_LIFETIME)
        })
        .collect();

    assert!(news.is_empty(), "{news:?}");
    assert_eq!(
        quarantine.verdict(at_second(3), bad_digest(), 1),
        Verdict::Canary
    );
}

#[test]
fn canary_lost_after_losses_of_a_harmless_request_is_shared_and_quarantines() {
    let mut quarantine = SearchQuarantine::default();
    quarantine.record_success(at_second(2), bad_digest(), 1, at_second(1));
    let earlier = Loss {
        trial: false,
        ..trial_loss("s0r0")
    };
    quarantine.record_loss(at_second(3), earlier, QUARANTINE_LIFETIME);

    let news = quarantine.record_loss(at_second(4), trial_loss("s1r0"), QUARANTINE_LIFETIME);

    assert!(matches!(news, Some(News::Crash { upstreams, .. }) if upstreams.len() == 2));
    assert_eq!(
        quarantine.verdict(at_second(4), bad_digest(), 1),
        Verdict::Quarantined
    );
}

#[test]
fn request_harmless_on_one_index_version_needs_a_canary_on_another() {
    let mut quarantine = SearchQuarantine::default();

    quarantine.record_success(at_second(2), bad_digest(), 1, at_second(1));

    assert_eq!(
        quarantine.verdict(at_second(3), bad_digest(), 1),
        Verdict::Harmless
    );
    assert_eq!(
        quarantine.verdict(at_second(3), bad_digest(), 2),
        Verdict::Canary
    );
}

/// Median latency of queries with distinct texts, or of repeats of one text.
fn median_latency_us(distinct: bool) -> u64 {
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle(25, 3, 3), |rng, _, _| {
        Behaviour::Answer(Duration::from_micros(4_000 + rng.u64(0..2_000)))
    });
    for number in 0..1_000 {
        let text = if distinct {
            format!("query {number}")
        } else {
            "query".to_owned()
        };
        let at = Timestamp::from_millis(1 + number * 10);
        simulation.search_at(at, search_request("labs", &text, 500));
    }
    simulation.run_until(at_second(20));
    let latencies = simulation.latencies_us();
    latencies[latencies.len() / 2]
}

#[test]
fn canary_at_most_doubles_the_median_latency() {
    let (with, without) = (median_latency_us(true), median_latency_us(false));

    println!("p50 with canary {with} us, without {without} us");
    assert!(with <= 2 * without);
}

/// A sequence of sends of one request: the node (0 to 3) it goes to, and whether the caller gives up early.
fn request_routes() -> impl Strategy<Value = Vec<(usize, bool)>> {
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
    fn crashing_request_sent_to_any_nodes_costs_at_most_two_upstreams(route in request_routes()) {
        let mut nodes: Vec<_> = (0..4).map(|_| simulation_with_crashing_request()).collect();
        let mut delivered = [0; 4];

        for (step, (node, gives_up)) in route.iter().enumerate() {
            let at = at_second(1 + step as u64);
            let caller = nodes[*node].search_at(at, search_request("labs", "bad", 500));
            if *gives_up {
                nodes[*node].event_at(at + Duration::from_millis(1), Event::CallerGone(caller));
            }
            for node in &mut nodes {
                node.run_until(at + Duration::from_millis(900));
            }
            let news = nodes[*node].shared_news[delivered[*node]..].to_vec();
            delivered[*node] = nodes[*node].shared_news.len();
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

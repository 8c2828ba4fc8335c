//! Guards against answers that mix index versions, show private fields to other firms or rank hits unfairly, and
//! against shards counted by the wrong version.

use crate::query_sim::{Behaviour, SERVICE, Simulation, bundle, hit, layout, search_request};
use medlarpost_core::{hit_merger::HitMerger, prelude::*};

fn requested_version(request: &SubRequest) -> u64 {
    match request {
        SubRequest::Search { index_version, .. } => *index_version,
        SubRequest::Booking { .. } => 0,
    }
}

fn bundle_with_layouts(layouts: Vec<ShardLayout>) -> Bundle {
    let mut bundle = bundle(6, 2, 2);
    bundle.services[0].layouts = layouts;
    bundle
}

fn answer_after(millis: u64) -> impl FnMut(&mut fastrand::Rng, &str, &SubRequest) -> Behaviour {
    move |_, _, _| Behaviour::Answer(Duration::from_millis(millis))
}

#[test]
fn query_keeps_its_index_version_while_the_bundle_lists_it() {
    let mut simulation = Simulation::new(
        PolicyMode::Adaptive,
        &bundle_with_layouts(vec![layout(1, 4, 2)]),
        answer_after(20),
    );
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );
    simulation.run_until(Timestamp::from_millis(5));
    let both = bundle_with_layouts(vec![layout(1, 4, 2), layout(2, 6, 2)]);
    simulation.handle(Event::Configure(crate::query_sim::sign_bundle(&both)));

    simulation.run_until(Timestamp::from_millis(1_000));

    let answer = simulation.answer(caller);
    assert_eq!(
        (
            answer.index_version,
            answer.coverage.asked,
            answer.coverage.answered
        ),
        (1, 4, 4)
    );
}

#[test]
fn query_restarts_once_when_its_version_leaves_the_bundle() {
    let mut simulation = Simulation::new(
        PolicyMode::Adaptive,
        &bundle_with_layouts(vec![layout(1, 4, 2)]),
        answer_after(20),
    );
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );
    simulation.run_until(Timestamp::from_millis(30));
    simulation.handle(Event::Configure(crate::query_sim::sign_bundle(
        &bundle_with_layouts(vec![layout(2, 6, 2)]),
    )));

    simulation.run_until(Timestamp::from_millis(1_000));

    let answer = simulation.answer(caller);
    assert_eq!(
        (
            answer.index_version,
            answer.coverage.asked,
            answer.coverage.answered
        ),
        (2, 6, 6)
    );
    assert!(answer.hits.iter().all(|hit| hit.id.starts_with("v2-")));
    assert_eq!(simulation.engine.statistics().restarts, 1);
}

#[test]
fn second_loss_of_the_version_leaves_shards_missing() {
    let mut simulation = Simulation::new(
        PolicyMode::Adaptive,
        &bundle_with_layouts(vec![layout(1, 4, 2)]),
        answer_after(20),
    );
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );
    for (at, version) in [(30, 2), (40, 3)] {
        let next = crate::query_sim::sign_bundle(&bundle_with_layouts(vec![layout(version, 6, 2)]));
        simulation.event_at(Timestamp::from_millis(at), Event::Configure(next));
    }

    simulation.run_until(Timestamp::from_millis(1_000));

    let answer = simulation.answer(caller);
    // The canary was running on version 2 when that version left the bundle; its reply still counts.
    assert_eq!(
        (
            answer.index_version,
            answer.coverage.asked,
            answer.coverage.answered
        ),
        (2, 6, 1)
    );
    let reasons: Vec<_> = answer.coverage.missing.iter().map(|m| m.reason).collect();
    assert!(
        reasons
            .iter()
            .all(|reason| *reason == MissingReason::VersionGone),
        "{reasons:?}"
    );
}

#[test]
fn version_gone_on_upstreams_restarts_on_the_newer_version() {
    let old = bundle_with_layouts(vec![layout(1, 4, 2)]);
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &old, |_, _, request| {
        if requested_version(request) == 1 {
            Behaviour::VersionGone
        } else {
            Behaviour::Answer(Duration::from_millis(5))
        }
    });
    let both =
        crate::query_sim::sign_bundle(&bundle_with_layouts(vec![layout(1, 4, 2), layout(2, 6, 2)]));
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );
    simulation.event_at(Timestamp::from_micros(1_100), Event::Configure(both));

    simulation.run_until(Timestamp::from_millis(1_000));

    let answer = simulation.answer(caller);
    assert_eq!((answer.index_version, answer.coverage.answered), (2, 6));
}

#[test]
fn version_gone_without_a_newer_version_leaves_the_shard_missing() {
    let mut simulation = Simulation::new(
        PolicyMode::Adaptive,
        &bundle_with_layouts(vec![layout(1, 4, 1)]),
        |_, name, _| {
            if name.starts_with("s2") {
                Behaviour::VersionGone
            } else {
                Behaviour::Answer(Duration::from_millis(5))
            }
        },
    );
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );

    simulation.run_until(Timestamp::from_millis(1_000));

    let missing = MissingShard {
        shard: 2,
        reason: MissingReason::VersionGone,
    };
    assert_eq!(simulation.answer(caller).coverage.missing, vec![missing]);
}

#[test]
fn private_fields_reach_only_the_workspace_of_the_firm() {
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle(2, 1, 1), answer_after(5));
    let own = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );
    let other = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("firms", "query", 500),
    );

    simulation.run_until(Timestamp::from_millis(1_000));

    assert!(
        simulation
            .answer(own)
            .hits
            .iter()
            .all(|hit| hit.private.is_some())
    );
    assert!(
        simulation
            .answer(other)
            .hits
            .iter()
            .all(|hit| hit.private.is_none())
    );
}

#[test]
fn bundle_limits_the_number_of_hits() {
    let mut bundle = bundle(6, 1, 1);
    bundle.limits.max_results = 3;
    bundle.services[0].name = SERVICE.to_owned();
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, answer_after(5));
    let caller = simulation.search_at(
        Timestamp::from_millis(1),
        search_request("labs", "query", 500),
    );

    simulation.run_until(Timestamp::from_millis(1_000));

    let scores: Vec<_> = simulation
        .answer(caller)
        .hits
        .iter()
        .map(|hit| hit.score)
        .collect();
    assert_eq!(scores, [5.0, 4.0, 3.0]);
}

#[test]
fn merge_equals_a_full_sort() {
    let mut rng = fastrand::Rng::with_seed(3);
    let hits: Vec<_> = (0..500)
        .map(|n| hit(&format!("hit-{n}"), f64::from(rng.u32(0..40)), "labs"))
        .collect();
    let (mut small, mut whole) = (HitMerger::new("r", 25), HitMerger::new("r", 500));
    for chunk in hits.chunks(20) {
        small.add_hits(chunk.to_vec());
    }
    whole.add_hits(hits);

    let (small, whole) = (small.into_hits(), whole.into_hits());

    assert!(whole.windows(2).all(|pair| pair[0].score >= pair[1].score));
    assert_eq!(small, whole[..25]);
}

#[test]
fn ties_favour_no_firm() {
    let mut first = [0; 4];
    for request in 0..4_000 {
        let mut merge = HitMerger::new(&format!("request-{request}"), 1);
        let firms = (0..4).map(|firm| hit(&format!("job-{firm}"), 1.0, &format!("firm-{firm}")));
        merge.add_hits(firms.collect());

        let best = merge.into_hits();
        let firm = best[0].id.as_bytes()[4] - b'0';
        first[usize::from(firm)] += 1;
    }

    // A fair share is 1,000, with a standard deviation of 27.
    assert!(
        first.iter().all(|count| (850..1_150).contains(count)),
        "{first:?}"
    );
}

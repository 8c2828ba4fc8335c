//! Guards against an overload that wastes capacity or lasts longer than its cause, and against unfair or untrue
//! refusals.

use crate::query_sim::{
    Behaviour, Response, SERVICE, Simulation, bundle, search_request, workspace,
};
use medlarpost_core::prelude::*;

/// Queries per second that the upstreams of [`simulation`] can run: 3 replicas of 3 slots, 10 ms each.
const CAPACITY_PER_S: f64 = 900.0;

fn simulation() -> Simulation {
    let mut bundle = bundle(8, 3, 3);
    bundle.workspaces.push(workspace("small", "wide"));
    Simulation::new(PolicyMode::Adaptive, &bundle, |rng, _, _| {
        Behaviour::Answer(Duration::from_micros(8_000 + rng.u64(0..4_000)))
    })
}

/// Schedules random arrivals at `rate` queries per second from `from` to `to`, in seconds.
fn offer_queries(simulation: &mut Simulation, (from, to): (f64, f64), rate: f64, workspace: &str) {
    let mut at = from;
    while at < to {
        let micros = Timestamp::from_micros((at * 1e6) as u64);
        let text = format!("query {}", simulation.rng.u32(0..100));
        simulation.search_at(micros, search_request(workspace, &text, 130));
        at -= (1.0 - simulation.rng.f64()).ln() / rate;
    }
}

/// Complete answers per second, among those given from `from` to `to`, in seconds.
fn goodput_per_s(simulation: &Simulation, (from, to): (f64, f64)) -> f64 {
    let results = simulation.results.values().flatten();
    let good = results.filter(|(_, ended, response)| {
        let at = ended.as_micros() as f64 / 1e6;
        let complete = matches!(response, Response::Answer(a) if a.coverage.missing.is_empty());
        (from..to).contains(&at) && complete
    });
    good.count() as f64 / (to - from)
}

#[test]
fn goodput_withstands_twice_the_capacity_and_recovers() {
    let mut simulation = simulation();
    let usual = CAPACITY_PER_S * 0.5;
    offer_queries(&mut simulation, (0.0, 2.0), usual, "labs");
    offer_queries(&mut simulation, (2.0, 7.0), CAPACITY_PER_S * 2.0, "labs");
    offer_queries(&mut simulation, (7.0, 12.0), usual, "labs");

    simulation.run_until(Timestamp::from_millis(13_000));

    let during = goodput_per_s(&simulation, (2.0, 7.0)) / CAPACITY_PER_S;
    let after = goodput_per_s(&simulation, (9.0, 12.0)) / usual;
    let before = goodput_per_s(&simulation, (0.5, 2.0)) / usual;
    println!(
        "goodput: before {before:.3} of offered, during {during:.3} of capacity, after {after:.3} of offered"
    );
    assert!(during >= 0.9, "{during}");
    assert!(after >= before * 0.95, "{after} {before}");
}

#[test]
fn every_overload_refusal_is_not_run_and_names_its_cause() {
    let mut simulation = simulation();
    offer_queries(&mut simulation, (0.0, 3.0), CAPACITY_PER_S * 3.0, "labs");

    simulation.run_until(Timestamp::from_millis(5_000));

    let refusals: Vec<_> = simulation
        .results
        .values()
        .flatten()
        .filter_map(|(.., response)| match response {
            Response::Refusal(refusal) => Some((refusal.kind, refusal.execution)),
            Response::Answer(_) => None,
        })
        .collect();
    assert!(!refusals.is_empty());
    assert!(refusals.iter().all(|(kind, execution)| {
        let expected = matches!(
            kind,
            RefusalKind::DeadlineUnreachable | RefusalKind::Overloaded
        );
        expected && *execution == Execution::NotRun
    }));
    assert_eq!(simulation.engine.statistics().queue_length, 0);
}

#[test]
fn small_workspace_keeps_its_share_beside_a_large_one() {
    let mut simulation = simulation();
    offer_queries(&mut simulation, (0.0, 4.0), CAPACITY_PER_S * 3.0, "labs");
    offer_queries(&mut simulation, (0.0, 4.0), CAPACITY_PER_S * 0.2, "small");

    simulation.run_until(Timestamp::from_millis(5_000));

    let results = simulation.results.values().flatten();
    let (mut answered, mut refused) = (0, 0);
    for (.., response) in results {
        match response {
            Response::Answer(answer) if answer.request_id.starts_with("small") => answered += 1,
            Response::Refusal(refusal) if refusal.request_id.starts_with("small") => refused += 1,
            _ => {}
        }
    }
    println!("small tenant: {answered} answered, {refused} refused");
    assert!(
        answered * 100 >= (answered + refused) * 90,
        "{answered} {refused}"
    );
}

#[test]
fn full_queue_displaces_queries_of_the_workspace_with_the_most() {
    let mut bundle = bundle(1, 1, 1);
    bundle.limits.queue_length = 4;
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, |_, _, _| {
        Behaviour::Answer(Duration::from_millis(50))
    });
    let at = Timestamp::from_millis(1);
    let large: Vec<_> = (0..10)
        .map(|n| simulation.search_at(at, search_request("labs", &format!("{SERVICE} {n}"), 2_000)))
        .collect();
    let small = simulation.search_at(at, search_request("firms", "other", 2_000));

    simulation.run_until(Timestamp::from_millis(5_000));

    let overloaded = large.iter().filter(|caller| {
        matches!(simulation.result(**caller), Response::Refusal(refusal) if refusal.kind == RefusalKind::Overloaded)
    });
    assert_eq!(overloaded.count(), 5);
    assert_eq!(simulation.answer(small).coverage.answered, 1);
}

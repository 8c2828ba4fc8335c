//! Guards against an overload that wastes capacity or that lasts longer than its cause.

use crate::query_sim::{Run, SERVICE, Simulation, Verdict, bundle, search_request, tenant};
use medlarpost_core::prelude::*;

/// Queries a second that the upstreams of [`loaded`] can run: 3 replicas of 3 slots, 10 ms each.
const CAPACITY: f64 = 900.0;

fn simulation() -> Simulation {
    let mut bundle = bundle(8, 3, 3);
    bundle.tenants.push(tenant("small", "wide"));
    Simulation::new(PolicyMode::Adaptive, &bundle, |rng, _, _| {
        Run::Answer(Duration::from_micros(8_000 + rng.u64(0..4_000)))
    })
}

/// Offers `rate` queries a second from `from` to `to` (seconds).
fn offer(simulation: &mut Simulation, (from, to): (f64, f64), rate: f64, tenant: &str) {
    let mut at = from;
    while at < to {
        let micros = Timestamp::from_micros((at * 1e6) as u64);
        let text = format!("query {}", simulation.rng.u32(0..100));
        simulation.search_at(micros, search_request(tenant, &text, 130));
        at -= (1.0 - simulation.rng.f64()).ln() / rate;
    }
}

/// Complete answers of a second, among the queries that arrived from `from` to `to`.
fn goodput(simulation: &Simulation, (from, to): (f64, f64)) -> f64 {
    let results = simulation.results.values().flatten();
    let good = results.filter(|(_, ended, verdict)| {
        let at = ended.as_micros() as f64 / 1e6;
        let complete = matches!(verdict, Verdict::Answer(a) if a.coverage.missing.is_empty());
        (from..to).contains(&at) && complete
    });
    good.count() as f64 / (to - from)
}

#[test]
fn twice_the_capacity_leaves_goodput_and_passes() {
    let mut simulation = simulation();
    let usual = CAPACITY * 0.5;
    offer(&mut simulation, (0.0, 2.0), usual, "labs");
    offer(&mut simulation, (2.0, 7.0), CAPACITY * 2.0, "labs");
    offer(&mut simulation, (7.0, 12.0), usual, "labs");

    simulation.run_until(Timestamp::from_millis(13_000));

    let during = goodput(&simulation, (2.0, 7.0)) / CAPACITY;
    let after = goodput(&simulation, (9.0, 12.0)) / usual;
    let before = goodput(&simulation, (0.5, 2.0)) / usual;
    println!(
        "goodput: before {before:.3} of offered, during {during:.3} of capacity, after {after:.3} of offered"
    );
    assert!(during >= 0.9, "{during}");
    assert!(after >= before * 0.95, "{after} {before}");
}

#[test]
fn every_refusal_of_an_overload_is_not_run_and_true() {
    let mut simulation = simulation();
    offer(&mut simulation, (0.0, 3.0), CAPACITY * 3.0, "labs");

    simulation.run_until(Timestamp::from_millis(5_000));

    let refusals: Vec<_> = simulation
        .results
        .values()
        .flatten()
        .filter_map(|(.., verdict)| match verdict {
            Verdict::Refusal(refusal) => Some((refusal.kind, refusal.execution)),
            Verdict::Answer(_) => None,
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
fn small_tenant_keeps_its_share_beside_a_large_one() {
    let mut simulation = simulation();
    offer(&mut simulation, (0.0, 4.0), CAPACITY * 3.0, "labs");
    offer(&mut simulation, (0.0, 4.0), CAPACITY * 0.2, "small");

    simulation.run_until(Timestamp::from_millis(5_000));

    let results = simulation.results.values().flatten();
    let (mut answered, mut refused) = (0, 0);
    for (.., verdict) in results {
        match verdict {
            Verdict::Answer(answer) if answer.request_id.starts_with("small") => answered += 1,
            Verdict::Refusal(refusal) if refusal.request_id.starts_with("small") => refused += 1,
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
fn queue_is_bounded_and_the_longest_tenant_gives_way() {
    let mut bundle = bundle(1, 1, 1);
    bundle.limits.queue_length = 4;
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, |_, _, _| {
        Run::Answer(Duration::from_millis(50))
    });
    let now = Timestamp::from_millis(1);
    let large: Vec<_> = (0..10)
        .map(|n| {
            simulation.search_at(
                now,
                search_request("labs", &format!("{SERVICE} {n}"), 2_000),
            )
        })
        .collect();
    let small = simulation.search_at(now, search_request("firms", "other", 2_000));

    simulation.run_until(Timestamp::from_millis(5_000));

    let overloaded = large.iter().filter(|caller| {
        matches!(simulation.result(**caller), Verdict::Refusal(refusal) if refusal.kind == RefusalKind::Overloaded)
    });
    assert_eq!(overloaded.count(), 5);
    assert_eq!(simulation.answer(small).coverage.answered, 1);
}

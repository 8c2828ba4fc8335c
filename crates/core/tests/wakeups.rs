//! Guards against an engine that asks to be woken at a time that has passed, which would keep a thread busy.

use medlarpost_core::prelude::*;

#[path = "query_sim/mod.rs"]
#[expect(dead_code, reason = "only the bundle and the settings are used here")]
#[expect(
    unused_imports,
    reason = "only the bundle and the settings are used here"
)]
mod query_sim;

const FRESH_UNTIL: Timestamp = Timestamp::from_millis(700);

/// An engine that is the steward of upstreams of which nothing is known.
fn engine() -> Engine {
    let mut engine =
        Engine::new(&query_sim::engine_settings(PolicyMode::Adaptive)).expect("valid charts");
    let bundle = query_sim::bundle(2, 2, 3);
    let view = FleetView {
        published: 1,
        warm_up_owner_of: bundle.upstreams.iter().map(|u| u.name.clone()).collect(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::Freshness(FRESH_UNTIL),
        Event::Configure(query_sim::approve(&bundle)),
    ] {
        engine.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    engine
}

/// Wakes the engine as often as it asks until `end`, at most 100 times, and returns how often it was.
fn wake_until(engine: &mut Engine, end: Timestamp) -> usize {
    let mut wakeups = 0;
    while let Some(at) = engine.next_wakeup().filter(|at| *at <= end) {
        engine.handle(end.max(at), Event::Wakeup, &mut Vec::new());
        wakeups += 1;
        if wakeups == 100 {
            break;
        }
    }
    wakeups
}

#[test]
fn lapsed_freshness_does_not_wake_the_engine_without_end() {
    let mut engine = engine();
    let after_the_lapse = FRESH_UNTIL + Duration::from_secs(1);

    let wakeups = wake_until(&mut engine, after_the_lapse);

    assert!(wakeups <= 2, "{wakeups}");
}

#[test]
fn renewed_freshness_starts_the_probes_again() {
    let mut engine = engine();
    let later = FRESH_UNTIL + Duration::from_secs(1);
    wake_until(&mut engine, later);
    let renewed = Event::Freshness(later + Duration::from_secs(2));

    engine.handle(later, renewed, &mut Vec::new());

    assert!(engine.next_wakeup().is_some());
}

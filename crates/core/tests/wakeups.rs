//! Guards against an engine that keeps asking for a wakeup in the past, which would make its thread spin.

use medlarpost_core::prelude::*;

#[path = "query_sim/mod.rs"]
#[expect(dead_code, reason = "only the bundle and the settings are used here")]
#[expect(
    unused_imports,
    reason = "only the bundle and the settings are used here"
)]
mod query_sim;

const FRESH_UNTIL: Timestamp = Timestamp::from_millis(700);

/// An engine that owns the warm-up of all upstreams, whose states are still unknown.
fn warm_up_owner() -> Engine {
    let mut engine =
        Engine::new(&query_sim::engine_settings(PolicyMode::Adaptive)).expect("valid charts");
    let bundle = query_sim::bundle(2, 2, 3);
    let view = FleetView {
        published_nodes: 1,
        warm_up_owner_of: bundle.upstreams.iter().map(|u| u.name.clone()).collect(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::FreshUntil(FRESH_UNTIL),
        Event::Configure(query_sim::sign_bundle(&bundle)),
    ] {
        engine.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    engine
}

/// Wakes the engine whenever it asks for a time until `end`, at most 100 times, and returns the number of wakeups.
fn count_wakeups_until(engine: &mut Engine, end: Timestamp) -> usize {
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
fn expired_freshness_does_not_cause_endless_wakeups() {
    let mut engine = warm_up_owner();
    let after_expiry = FRESH_UNTIL + Duration::from_secs(1);

    let wakeups = count_wakeups_until(&mut engine, after_expiry);

    assert!(wakeups <= 2, "{wakeups}");
}

#[test]
fn renewed_freshness_schedules_probes_again() {
    let mut engine = warm_up_owner();
    let after_expiry = FRESH_UNTIL + Duration::from_secs(1);
    count_wakeups_until(&mut engine, after_expiry);
    let renewed = Event::FreshUntil(after_expiry + Duration::from_secs(2));

    engine.handle(after_expiry, renewed, &mut Vec::new());

    assert!(engine.next_wakeup().is_some());
}

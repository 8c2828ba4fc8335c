//! Guards against shards that are given up too early, work that can't finish in time, and waiting against the
//! preference of the workspace's class.

use crate::query_sim::{Behaviour, Simulation, bundle, search_request};
use medlarpost_core::prelude::*;

/// All sub-requests take 5 ms; after the first 40 queries, shard 3 hangs on every replica.
fn simulation_with_silent_shard() -> Simulation {
    let mut bundle = bundle(20, 2, 4);
    bundle.policy.extra_load = 0.0;
    let mut sends_before_silence = 40 * 20;
    Simulation::new(PolicyMode::Adaptive, &bundle, move |_, name, _| {
        sends_before_silence -= 1;
        if sends_before_silence < 0 && name.starts_with("s3r") {
            return Behaviour::Hang;
        }
        Behaviour::Answer(Duration::from_millis(5))
    })
}

fn query_with_silent_shard(workspace: &str) -> (Simulation, CallerKey) {
    let mut simulation = simulation_with_silent_shard();
    for number in 0..40 {
        let at = Timestamp::from_millis(1 + number * 20);
        simulation.search_at(at, search_request(workspace, "warm up", 500));
    }
    let at = Timestamp::from_millis(2_000);
    let caller = simulation.search_at(at, search_request(workspace, "warm up", 500));
    simulation.run_until(Timestamp::from_millis(4_000));
    (simulation, caller)
}

#[test]
fn busy_shard_waits_and_is_answered() {
    let mut bundle = bundle(4, 1, 1);
    bundle.upstreams.iter_mut().for_each(|u| u.connections = 1);
    let mut simulation = Simulation::new(PolicyMode::Baseline, &bundle, |_, _, _| {
        Behaviour::Answer(Duration::from_millis(10))
    });
    let now = Timestamp::from_millis(1);
    let callers: Vec<_> = (0..5)
        .map(|n| simulation.search_at(now, search_request("labs", &format!("{n}"), 900)))
        .collect();

    simulation.run_until(Timestamp::from_millis(2_000));

    for caller in callers {
        assert_eq!(simulation.answer(caller).coverage.answered, 4);
    }
}

#[test]
fn sub_request_that_cannot_finish_is_not_sent() {
    let mut bundle = bundle(1, 1, 1);
    bundle.upstreams[0].connections = 1;
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, |_, _, _| {
        Behaviour::Answer(Duration::from_millis(40))
    });
    for number in 0..60 {
        let at = Timestamp::from_millis(1 + number * 50);
        simulation.search_at(at, search_request("labs", "known", 100));
    }
    let at = Timestamp::from_millis(5_000);
    simulation.search_at(at, search_request("labs", "known", 100));
    simulation.search_at(at, search_request("labs", "known", 50));

    simulation.run_until(Timestamp::from_millis(6_000));

    let late = simulation.sends.iter().filter(|(sent, ..)| *sent > at);
    assert_eq!(
        late.count(),
        0,
        "the second query could be sent only 10 ms before its deadline"
    );
}

#[test]
fn coverage_query_waits_until_the_reply_reserve() {
    let (simulation, caller) = query_with_silent_shard("labs");

    let answer = simulation.answer(caller);

    assert_eq!(answer.total_time, Duration::from_millis(495));
    let missing = MissingShard {
        shard: 3,
        reason: MissingReason::Timeout,
    };
    assert_eq!(answer.coverage.missing, vec![missing]);
}

#[test]
fn tail_query_answers_at_the_cut_off() {
    let (simulation, caller) = query_with_silent_shard("firms");

    let answer = simulation.answer(caller);

    println!("tail query answered after {:?}", answer.total_time);
    assert!(
        answer.total_time < Duration::from_millis(25),
        "{:?}",
        answer.total_time
    );
    assert_eq!((answer.coverage.asked, answer.coverage.answered), (20, 19));
    let missing = MissingShard {
        shard: 3,
        reason: MissingReason::Timeout,
    };
    assert_eq!(answer.coverage.missing, vec![missing]);
}

#[test]
fn tail_query_is_not_cut_off_with_many_shards_missing() {
    let mut bundle = bundle(20, 2, 4);
    bundle.policy.extra_load = 0.0;
    let mut sub_requests = 0;
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, move |_, name, _| {
        sub_requests += 1;
        let slow = sub_requests > 40 * 20 && name.as_bytes()[1] == b'1';
        Behaviour::Answer(Duration::from_millis(if slow { 100 } else { 5 }))
    });
    for number in 0..40 {
        let at = Timestamp::from_millis(1 + number * 20);
        simulation.search_at(at, search_request("firms", "warm up", 500));
    }
    let at = Timestamp::from_millis(2_000);
    let caller = simulation.search_at(at, search_request("firms", "warm up", 500));

    simulation.run_until(Timestamp::from_millis(4_000));

    // The shards 1 and 10 to 19 are slow, which is more than a tenth.
    assert!(simulation.answer(caller).coverage.answered >= 18);
}

#[test]
fn nothing_is_sent_after_freshness_lapses_until_it_returns() {
    let mut bundle = bundle(4, 2, 1);
    bundle.upstreams.iter_mut().for_each(|u| u.connections = 1);
    let mut simulation = Simulation::new(PolicyMode::Adaptive, &bundle, |_, _, _| {
        Behaviour::Answer(Duration::from_millis(20))
    });
    let (lapse, back) = (Timestamp::from_millis(30), Timestamp::from_millis(200));
    let callers: Vec<_> = (0..6)
        .map(|n| {
            simulation.search_at(
                Timestamp::from_millis(1),
                search_request("labs", &format!("{n}"), 900),
            )
        })
        .collect();
    simulation.event_at(Timestamp::ZERO, Event::FreshUntil(lapse));
    simulation.event_at(back, Event::FreshUntil(Timestamp::MAX));

    simulation.run_until(Timestamp::from_millis(2_000));

    assert!(
        simulation
            .sends
            .iter()
            .all(|(at, ..)| *at < lapse || *at >= back)
    );
    for caller in callers {
        assert_eq!(simulation.answer(caller).coverage.answered, 4);
    }
}

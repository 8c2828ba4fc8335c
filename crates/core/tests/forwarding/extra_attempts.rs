//! Which hedges are sent, by what they gain.

use crate::forward_harness::{
    Harness, OBJECTIVE, Sent, harness, request, route, served_reply, service_route, settings,
    shards_target, table, upstream,
};
use medlarpost_core::prelude::*;
use std::collections::BTreeSet;

const REPLY_TIME: Duration = Duration::from_millis(10);
/// Longer than the time after which a reply is late.
const HEDGE_TIME: Duration = Duration::from_millis(60);
const LONG_QUEUE: ReportedLoad = ReportedLoad {
    running: 3,
    waiting: 60,
    slots: 3,
    service_percent: Some(100),
};
const IDLE: ReportedLoad = ReportedLoad {
    running: 0,
    waiting: 0,
    ..LONG_QUEUE
};

fn second_replica() -> RegisteredUpstream {
    RegisteredUpstream {
        instance: "desk-2@z-a".into(),
        ..upstream("desk", "z-a")
    }
}

fn send_and_reply(harness: &mut Harness, load: impl Fn(&Sent) -> ReportedLoad) -> String {
    harness.send_request(request("/a/1"));
    let sent = harness.take_sent().remove(0);
    harness.advance(REPLY_TIME);
    harness.end_attempt_with_load(&sent, served_reply(b""), Some(load(&sent)));
    sent.instance
}

/// A node with two replicas of a shard, of which the second has just reported `load`. An answer may omit the shard.
fn node_with_second_replica(load: ReportedLoad) -> Harness {
    let target = ShardTarget {
        services: vec!["desk".into()],
        limit: 4,
        min_coverage: 0.0,
    };
    let mut harness = harness(vec![route("a", Target::Shards(target))], &["z-a"]);
    harness.handle(ForwardEvent::UpstreamRegistered(second_replica()));
    let report = |sent: &Sent| {
        if sent.instance == "desk-2@z-a" {
            load
        } else {
            IDLE
        }
    };
    while send_and_reply(&mut harness, report) != "desk-2@z-a" {}
    harness
}

/// A node with two replicas of each of two shards, of which the second ones have just reported a long queue. An answer needs
/// one shard.
fn node_with_late_second_replicas() -> Harness {
    let mut harness = harness(vec![route("a", shards_target(2, 0.5))], &["z-a"]);
    let mut unreported = BTreeSet::new();
    for service in ["shard-0", "shard-1"] {
        let instance = format!("{service}-2@z-a");
        harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
            instance: (*instance).into(),
            ..upstream(service, "z-a")
        }));
        unreported.insert(instance);
    }
    while !unreported.is_empty() {
        harness.send_request(request("/a/1"));
        let sent = harness.take_sent();
        harness.advance(REPLY_TIME);
        for sent in sent {
            let is_second = sent.instance.ends_with("-2@z-a");
            let load = if is_second { LONG_QUEUE } else { IDLE };
            harness.end_attempt_with_load(&sent, served_reply(b""), Some(load));
            unreported.remove(&sent.instance);
        }
    }
    harness
}

/// Attempts sent for a request that gets no reply until its hedge is due.
fn send_and_wait(harness: &mut Harness, path: &str) -> usize {
    harness.send_request(request(path));
    harness.advance(HEDGE_TIME);
    harness.take_sent().len()
}

/// Guards against spending the budget on a hedge that is known to come too late.
#[test]
fn hedge_that_would_be_late_is_not_sent() {
    let mut harness = node_with_second_replica(LONG_QUEUE);

    let sent = send_and_wait(&mut harness, "/a/1");

    assert_eq!(sent, 1);
}

/// Guards against withholding a hedge that can be in time.
#[test]
fn hedge_to_an_idle_replica_is_sent() {
    let mut harness = node_with_second_replica(IDLE);

    let sent = send_and_wait(&mut harness, "/a/1");

    assert_eq!(sent, 2);
}

/// Guards against latency-tolerant requests that leave no budget for the hedges of urgent ones.
#[test]
fn urgent_hedge_has_a_part_of_the_budget_to_itself() {
    let mut cfg = settings();
    cfg.limits.extra_slack = 10.0;
    let mut harness = Harness::new(cfg);
    let tolerant = Route {
        rank: 3,
        ..service_route("a")
    };
    let urgent = Route {
        rank: 0,
        ..service_route("u")
    };
    harness.handle(ForwardEvent::Configured(table(1, vec![tolerant, urgent])));
    for zone in ["z-a", "z-b", "z-c"] {
        harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
            slots: 30,
            ..upstream("desk", zone)
        }));
    }

    for _ in 0..40 {
        harness.send_request(request("/a/1"));
    }
    harness.advance(HEDGE_TIME);
    let for_tolerant = harness.take_sent().len();
    let for_urgent = send_and_wait(&mut harness, "/u/1");

    assert!((41..60).contains(&for_tolerant), "{for_tolerant}");
    assert_eq!(for_urgent, 2);
}

/// Guards against an answer that stays short of shards because a hedge that would have missed the objective is never sent.
#[test]
fn late_hedge_is_sent_at_the_objective_if_shards_are_missing() {
    let mut harness = node_with_late_second_replicas();
    harness.send_request(request("/a/1"));
    harness.advance(HEDGE_TIME);
    let before_objective = harness.take_sent().len();

    harness.advance(OBJECTIVE);
    let at_objective = harness.take_sent().len();

    // Two primary attempts, and the hedge of one shard, without which there would be no answer.
    assert_eq!((before_objective, at_objective), (3, 1));
}

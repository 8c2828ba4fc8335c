//! Which hedges are sent, by what they gain.

use crate::forward_harness::{
    Harness, Sent, harness, request, route, served_reply, service_route, settings, table, upstream,
};
use medlarpost_core::prelude::*;

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

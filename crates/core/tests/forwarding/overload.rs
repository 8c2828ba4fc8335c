//! Guards against late answers under more load than the upstreams carry, and against refusals without need.

use crate::forward_harness::{self, LOW, harness, request, route, served_reply, shards_target};
use medlarpost_core::prelude::*;

/// Reply time of an upstream that is not busy.
const USUAL_REPLY_TIME: Duration = Duration::from_millis(18);

/// Reports that each upstream of the shards has this many requests waiting.
fn report_waiting_requests(harness: &mut forward_harness::Harness, waiting: u32) {
    harness.send_request(request("/urgent/1"));
    let sent = harness.take_sent();
    harness.advance(USUAL_REPLY_TIME);
    for sent in sent {
        let load = ReportedLoad {
            running: 3,
            waiting,
            slots: 3,
        };
        harness.end_attempt_with_load(&sent, served_reply(LOW), Some(load));
    }
    harness.take_answers();
}

/// Guards against an overload in which each query gets some of its shards and none gets enough in time, and against less
/// urgent queries that take the place of urgent ones.
#[test]
fn queries_that_would_be_late_are_refused_at_once_and_urgent_ones_last() {
    let urgent = route("urgent", shards_target(4, 0.75));
    let later = Route {
        rank: 2,
        ..route("later", shards_target(4, 0.75))
    };
    let mut harness = harness(vec![urgent, later], &["z-a"]);
    for path in ["/urgent/0", "/later/0"] {
        harness.send_request(request(path));
        let sent = harness.take_sent();
        harness.advance(USUAL_REPLY_TIME);
        for sent in sent {
            harness.end_attempt(&sent, served_reply(LOW));
        }
    }
    harness.take_answers();
    let mut refused = |waiting, path| {
        report_waiting_requests(&mut harness, waiting);
        harness.send_request(request(path));
        let sent = harness.take_sent();
        if !sent.is_empty() {
            harness.advance(USUAL_REPLY_TIME);
        }
        for sent in sent {
            harness.end_attempt(&sent, served_reply(LOW));
        }
        matches!(
            harness.take_answer(),
            ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
        )
    };

    let (calm, busy, full) = (3, 12, 30);
    assert_eq!(
        [refused(calm, "/urgent/1"), refused(calm, "/later/1")],
        [false, false]
    );
    assert_eq!(
        [refused(busy, "/urgent/1"), refused(busy, "/later/1")],
        [false, true]
    );
    assert_eq!(
        [refused(full, "/urgent/1"), refused(full, "/later/1")],
        [true, true]
    );
}

/// Guards against refusals of queries whose upstreams are slow but have nothing to do: a late answer is better than none.
#[test]
fn slow_upstreams_with_empty_queues_are_no_overload() {
    let mut harness = harness(vec![route("q", shards_target(2, 1.0))], &["z-a"]);
    let ask = |harness: &mut forward_harness::Harness, time| {
        harness.send_request(request("/q/1"));
        let sent = harness.take_sent();
        harness.advance(time);
        for sent in &sent {
            harness.end_attempt(sent, served_reply(LOW));
        }
        harness.take_answers();
        sent.len()
    };
    for _ in 0..50 {
        ask(&mut harness, USUAL_REPLY_TIME);
    }

    for _ in 0..10 {
        ask(&mut harness, USUAL_REPLY_TIME * 12);
    }

    assert_eq!(
        ask(&mut harness, USUAL_REPLY_TIME),
        2,
        "both shards are asked"
    );
}

//! Refusals under overload: early enough to keep the other answers in time, and none without need.

use crate::forward_harness::{
    self, LOW, OBJECTIVE, harness, request, route, served_reply, shards_target,
};
use medlarpost_core::prelude::*;

/// Reply time of an idle upstream.
const USUAL_REPLY_TIME: Duration = Duration::from_millis(18);

/// Makes each upstream of the shards report this many waiting requests.
fn report_queued_requests(harness: &mut forward_harness::Harness, waiting: u32) {
    harness.send_request(request("/urgent/1"));
    let sent = harness.take_sent();
    harness.advance(USUAL_REPLY_TIME);
    for sent in sent {
        let load = ReportedLoad {
            running: 3,
            waiting,
            slots: 3,
            service_percent: None,
        };
        harness.end_attempt_with_load(&sent, served_reply(LOW), Some(load));
    }
    harness.take_answers();
}

/// Guards against an overload in which each query gets some of its shards but none enough of them in time, and against
/// less urgent queries that displace urgent ones.
#[test]
fn queries_that_would_be_late_are_refused_and_urgent_ones_last() {
    let urgent = route("urgent", shards_target(4, 0.75));
    let less_urgent = Route {
        rank: 2,
        ..route("later", shards_target(4, 0.75))
    };
    let mut harness = harness(vec![urgent, less_urgent], &["z-a"]);
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
        report_queued_requests(&mut harness, waiting);
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

    let (light, busy, full) = (3, 12, 30);
    assert_eq!(
        [refused(light, "/urgent/1"), refused(light, "/later/1")],
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

/// Guards against refusing queries because their upstreams are slow though idle: a late answer is better than none.
#[test]
fn slow_upstreams_with_empty_queues_cause_no_refusals() {
    let mut harness = harness(vec![route("q", shards_target(2, 1.0))], &["z-a"]);
    let send_and_answer = |harness: &mut forward_harness::Harness, time| {
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
        send_and_answer(&mut harness, USUAL_REPLY_TIME);
    }

    for _ in 0..10 {
        send_and_answer(&mut harness, USUAL_REPLY_TIME * 12);
    }

    assert_eq!(
        send_and_answer(&mut harness, USUAL_REPLY_TIME),
        2,
        "both shards are sent an attempt"
    );
}

/// Guards against a route that is refused for good because its upstreams, though idle, usually take longer than its
/// objective: no reply could then show that they have become faster.
#[test]
fn route_whose_usual_reply_time_exceeds_its_objective_is_not_refused() {
    let mut harness = harness(vec![route("q", shards_target(2, 1.0))], &["z-a"]);
    let usual = OBJECTIVE.mul_f64(1.5);

    for number in 0..100 {
        harness.send_request(request("/q/1"));
        let sent = harness.take_sent();
        assert_eq!(sent.len(), 2, "request {number} is refused");
        harness.advance(usual);
        for sent in sent {
            harness.end_attempt(&sent, served_reply(LOW));
        }
        harness.take_answers();
        harness.advance(Duration::from_millis(200));
    }
}

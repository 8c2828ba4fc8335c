//! Choice among the replicas of a service: slow, paused, shedding, dark and returning upstreams.

use crate::forward_harness::{self, OBJECTIVE, harness, request, served_reply, service_route};
use medlarpost_core::prelude::*;

/// Asks one request after the other, and answers each after `near` or `far`, depending on the zone it was sent to.
/// Returns how many went to the near replica.
fn send_sequentially(
    harness: &mut forward_harness::Harness,
    count: usize,
    near: Duration,
    far: Duration,
) -> usize {
    let mut near_sends = 0;
    for _ in 0..count {
        harness.send_request(request("/a/1"));
        let sent = harness.take_sent().remove(0);
        let is_near = sent.instance == "desk@z-a";
        near_sends += usize::from(is_near);
        harness.advance(if is_near { near } else { far });
        let hedges = harness.take_sent();
        harness.end_attempt(&sent, served_reply(b""));
        // Their replies come within the time that a cancelled attempt has.
        for hedge in hedges {
            harness.end_attempt(&hedge, served_reply(b""));
        }
        harness.advance(Duration::from_millis(20));
    }
    near_sends
}

/// Guards against a near upstream that is left for good after a slow time: bytes between zones cost.
#[test]
fn a_slow_upstream_is_left_and_gets_work_again_later() {
    let usual = Duration::from_millis(10);
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    send_sequentially(&mut harness, 100, usual, usual);

    send_sequentially(&mut harness, 10, usual * 8, usual);
    let while_slow = send_sequentially(&mut harness, 20, usual * 8, usual);
    harness.advance(Duration::from_secs(20));
    let afterwards = send_sequentially(&mut harness, 20, usual, usual);

    assert!(while_slow <= 2, "{while_slow} of 20 went to the slow one");
    assert_eq!(afterwards, 20);
}

/// Guards against a pause that is taken for a slow upstream because it held up several replies.
#[test]
fn replies_of_one_pause_count_as_one_slow_reply() {
    let usual = Duration::from_millis(10);
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    send_sequentially(&mut harness, 100, usual, usual);
    let paused: Vec<_> = (0..3)
        .flat_map(|_| {
            harness.send_request(request("/a/1"));
            harness.take_sent()
        })
        .collect();
    harness.advance(Duration::from_millis(150));
    harness.take_sent();

    for sent in &paused {
        harness.end_attempt(sent, served_reply(b""));
    }

    harness.send_request(request("/a/1"));
    assert_eq!(harness.take_sent()[0].instance, "desk@z-a");
}

/// Guards against retries that use up the budget though another replica takes everything.
#[test]
fn a_shedding_upstream_is_avoided_and_tried_again_later() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let shed = |sent: &forward_harness::Sent| sent.instance == "desk@z-a";
    for _ in 0..4 {
        harness.send_request(request("/a/1"));
        let mut sent = harness.take_sent();
        while let Some(attempt) = sent.pop() {
            let full = ForwardOutcome::NotRun(NotRunCause::Full);
            harness.end_attempt(
                &attempt,
                if shed(&attempt) {
                    full
                } else {
                    served_reply(b"")
                },
            );
            sent.extend(harness.take_sent());
        }
    }

    harness.send_request(request("/a/1"));
    let next = harness.take_sent().remove(0);
    harness.end_attempt(&next, served_reply(b""));
    harness.advance(Duration::from_secs(4));
    harness.send_request(request("/a/1"));

    assert_eq!(next.instance, "desk@z-b");
    assert_eq!(harness.take_sent()[0].instance, "desk@z-a");
}

/// Guards against a dark upstream that is asked again and again: the cancelled attempts of hedged requests leave no reply
/// by which it would be known.
#[test]
fn an_upstream_that_answers_nothing_is_avoided_after_its_attempts_were_cancelled() {
    let usual = Duration::from_millis(10);
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    send_sequentially(&mut harness, 100, usual, usual);
    for _ in 0..3 {
        harness.send_request(request("/a/1"));
        let dark = harness.take_sent().remove(0);
        harness.advance(OBJECTIVE / 2);
        for hedge in harness.take_sent() {
            harness.end_attempt(&hedge, served_reply(b""));
        }
        harness.advance(Duration::from_millis(150));
        harness.end_attempt(&dark, ForwardOutcome::Cancelled);
    }

    harness.send_request(request("/a/1"));

    assert_eq!(harness.take_sent()[0].instance, "desk@z-b");
}

/// Guards against an upstream that is back but gets no work, because the others take everything.
#[test]
fn a_suspect_is_tried_beside_a_working_upstream() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    harness.send_request(request("/a/1"));
    let refused = harness.take_sent().remove(0);
    harness.end_attempt(&refused, ForwardOutcome::NotSent);
    for sent in harness.take_sent() {
        harness.end_attempt(&sent, served_reply(b""));
    }
    harness.advance(Duration::from_secs(1));

    harness.send_request(request("/a/2"));

    let instances: Vec<_> = harness
        .take_sent()
        .into_iter()
        .map(|sent| sent.instance)
        .collect();
    assert_eq!(instances, ["desk@z-b", "desk@z-a"]);
}

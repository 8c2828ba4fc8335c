//! Choice among the replicas of a service when some are slow, paused, shedding load, unresponsive or back again.

use crate::forward_harness::{self, OBJECTIVE, harness, request, served_reply, service_route};
use medlarpost_core::prelude::*;

/// Sends requests one after the other, each answered after `near` or `far` depending on the zone it was sent to.
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
        // The replies of the hedges arrive within the time that a cancelled attempt is given.
        for hedge in hedges {
            harness.end_attempt(&hedge, served_reply(b""));
        }
        harness.advance(Duration::from_millis(20));
    }
    near_sends
}

/// Guards against avoiding a near upstream for good after it was slow: traffic between zones is charged for.
#[test]
fn slow_upstream_is_avoided_and_used_again_later() {
    let usual = Duration::from_millis(10);
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    send_sequentially(&mut harness, 100, usual, usual);

    send_sequentially(&mut harness, 10, usual * 8, usual);
    let while_slow = send_sequentially(&mut harness, 20, usual * 8, usual);
    harness.advance(Duration::from_secs(20));
    let afterwards = send_sequentially(&mut harness, 20, usual, usual);

    assert!(
        while_slow <= 2,
        "{while_slow} of 20 requests went to the slow upstream"
    );
    assert_eq!(afterwards, 20);
}

/// Guards against judging an upstream slow because a single pause delayed several replies.
#[test]
fn replies_delayed_by_one_pause_count_as_one_sample() {
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

/// Guards against spending the retry budget on an upstream that sheds load while another one accepts everything.
#[test]
fn shedding_upstream_is_avoided_and_used_again_later() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let is_shedding = |sent: &forward_harness::Sent| sent.instance == "desk@z-a";
    for _ in 0..4 {
        harness.send_request(request("/a/1"));
        let mut sent = harness.take_sent();
        while let Some(attempt) = sent.pop() {
            let full = ForwardOutcome::NotRun(NotRunCause::Full);
            harness.end_attempt(
                &attempt,
                if is_shedding(&attempt) {
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

/// Guards against choosing an unresponsive upstream again and again: when hedges win, its attempts are cancelled and
/// leave no reply to judge it by.
#[test]
fn unresponsive_upstream_is_avoided_after_cancelled_attempts() {
    let usual = Duration::from_millis(10);
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    send_sequentially(&mut harness, 100, usual, usual);
    for _ in 0..3 {
        harness.send_request(request("/a/1"));
        let unresponsive = harness.take_sent().remove(0);
        harness.advance(OBJECTIVE / 2);
        for hedge in harness.take_sent() {
            harness.end_attempt(&hedge, served_reply(b""));
        }
        harness.advance(Duration::from_millis(150));
        harness.end_attempt(&unresponsive, ForwardOutcome::Cancelled);
    }

    harness.send_request(request("/a/1"));

    assert_eq!(harness.take_sent()[0].instance, "desk@z-b");
}

/// Guards against an upstream that has recovered but is never used, because the others take every request.
#[test]
fn suspect_gets_a_trial_in_addition_to_the_primary_attempt() {
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

//! Requests that must not run twice, and what an answer may say about whether they ran.

use crate::forward_harness::{TIMEOUT, booking_route, harness, reply, request, served_reply};
use medlarpost_core::prelude::*;

/// Guards against a booking that runs twice: after a lost connection, the first attempt may have run.
#[test]
fn booking_that_may_have_run_is_not_sent_again() {
    let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    harness.end_attempt(&sent, ForwardOutcome::ConnectionLost);

    assert!(harness.take_sent().is_empty());
    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::OutcomeUnknown)
    );
}

/// Guards against giving up a booking though it is certain that it did not run.
#[test]
fn booking_that_did_not_run_is_sent_to_another_upstream() {
    for outcome in [
        ForwardOutcome::NotSent,
        ForwardOutcome::NotRun(NotRunCause::Full),
    ] {
        let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);
        harness.send_request(request("/book/1"));
        let sent = harness.take_sent().remove(0);

        harness.end_attempt(&sent, outcome);

        let again = harness.take_sent().remove(0);
        assert_eq!(again.instance, "desk@z-b");
        harness.end_attempt(&again, served_reply(b"booked"));
        assert!(matches!(harness.take_answer(), ForwardAnswer::Reply(_)));
    }
}

/// Guards against a refusal that states `not run` for a booking that may have run, and against one that does not state
/// it for a booking that did not run.
#[test]
fn answer_states_not_run_only_if_the_upstream_did() {
    let mut full = harness(vec![booking_route()], &["z-a"]);
    full.send_request(request("/book/1"));
    let sent = full.take_sent().remove(0);
    full.end_attempt(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    let mut uncertain = harness(vec![booking_route()], &["z-a"]);
    uncertain.send_request(request("/book/1"));
    let sent = uncertain.take_sent().remove(0);
    // The upstream does not state that the request did not run, so its 503 must not reach the caller.
    uncertain.end_attempt(&sent, ForwardOutcome::Failed(reply(503, b"")));

    assert!(matches!(
        full.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
    ));
    let ForwardAnswer::Reply(reply) = uncertain.take_answer() else {
        panic!("no reply");
    };
    assert_eq!((reply.status, reply.proof), (502, None));
}

/// Guards against a refusal that states `not run` after an attempt was cancelled, which may still run.
#[test]
fn booking_in_flight_at_the_deadline_is_not_refused_as_not_run() {
    let mut harness = harness(vec![booking_route()], &["z-a"]);
    harness.send_request(request("/book/1"));

    harness.advance(TIMEOUT);

    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::TimedOut)
    );
}

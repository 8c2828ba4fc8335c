//! Guards against bookings that run twice, and against refusals that promise more than is known.

use crate::forward_harness::{TIMEOUT, booking_route, harness, reply, request, served_reply};
use medlarpost_core::prelude::*;

/// Guards against a booking that runs twice: a reply that is lost says nothing.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
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

/// Guards against a booking that is lost though it certainly did not run.
#[test]
fn a_request_that_did_not_run_is_sent_elsewhere() {
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

/// Guards against a refusal that says `not run` of a booking that ran, and against one that is held back.
#[test]
fn a_refusal_promises_only_what_is_known() {
    let mut full = harness(vec![booking_route()], &["z-a"]);
    full.send_request(request("/book/1"));
    let sent = full.take_sent().remove(0);
    full.end_attempt(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    let mut doubtful = harness(vec![booking_route()], &["z-a"]);
    doubtful.send_request(request("/book/1"));
    let sent = doubtful.take_sent().remove(0);
    // The upstream does not say that the request did not run, so its status must not say so either.
    doubtful.end_attempt(&sent, ForwardOutcome::Failed(reply(503, b"")));

    assert!(matches!(
        full.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
    ));
    let ForwardAnswer::Reply(reply) = doubtful.take_answer() else {
        panic!("no reply");
    };
    assert_eq!((reply.status, reply.proof), (502, None));
}

/// Guards against a promise after a cancelled attempt, which may still run.
#[test]
fn a_running_booking_that_times_out_is_not_refused_as_not_run() {
    let mut harness = harness(vec![booking_route()], &["z-a"]);
    harness.send_request(request("/book/1"));

    harness.advance(TIMEOUT);

    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::TimedOut)
    );
}

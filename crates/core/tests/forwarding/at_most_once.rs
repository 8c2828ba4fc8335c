//! Guards against bookings that run twice, and against refusals that promise more than is known.

use crate::forward_bench::{TIMEOUT, bench, booking, reply, request, served};
use medlarpost_core::prelude::*;

/// Guards against a booking that runs twice: a reply that is lost says nothing.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let mut bench = bench(vec![booking()], &["z-a", "z-b"]);
    bench.ask(request("/book/1"));
    let sent = bench.sent().remove(0);

    bench.finish(&sent, ForwardOutcome::ConnectionLost);

    assert!(bench.sent().is_empty());
    assert_eq!(
        bench.answer(),
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
        let mut bench = bench(vec![booking()], &["z-a", "z-b"]);
        bench.ask(request("/book/1"));
        let sent = bench.sent().remove(0);

        bench.finish(&sent, outcome);

        let again = bench.sent().remove(0);
        assert_eq!(again.instance, "desk@z-b");
        bench.finish(&again, served(b"booked"));
        assert!(matches!(bench.answer(), ForwardAnswer::Reply(_)));
    }
}

/// Guards against a refusal that says `not run` of a booking that ran, and against one that is held back.
#[test]
fn a_refusal_promises_only_what_is_known() {
    let mut full = bench(vec![booking()], &["z-a"]);
    full.ask(request("/book/1"));
    let sent = full.sent().remove(0);
    full.finish(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    let mut doubtful = bench(vec![booking()], &["z-a"]);
    doubtful.ask(request("/book/1"));
    let sent = doubtful.sent().remove(0);
    // The upstream does not say that the request did not run, so its status must not say so either.
    doubtful.finish(&sent, ForwardOutcome::Failed(reply(503, b"")));

    assert!(matches!(
        full.answer(),
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
    ));
    let ForwardAnswer::Reply(reply) = doubtful.answer() else {
        panic!("no reply");
    };
    assert_eq!((reply.status, reply.proof), (502, None));
}

/// Guards against a promise after a cancelled attempt, which may still run.
#[test]
fn a_running_booking_that_times_out_is_not_refused_as_not_run() {
    let mut bench = bench(vec![booking()], &["z-a"]);
    bench.ask(request("/book/1"));

    bench.pass(TIMEOUT);

    assert_eq!(
        bench.answer(),
        ForwardAnswer::Refused(ForwardRefusal::TimedOut)
    );
}

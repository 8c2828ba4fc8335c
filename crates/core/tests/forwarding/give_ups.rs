//! Guards against a request that fails without a record of why nothing more was tried.

use crate::forward_bench::{
    Bench, TIMEOUT, bench, booking, reply, request, settings, single, table, upstream,
};
use medlarpost_core::prelude::*;

/// Lets every attempt of the one request end this way, and returns why no other was sent.
fn denial(bench: &mut Bench, path: &str, outcome: &ForwardOutcome) -> Vec<SendDenial> {
    bench.ask(request(path));
    loop {
        let sent = bench.sent();
        if sent.is_empty() {
            return bench.denials();
        }
        for sent in &sent {
            bench.finish(sent, outcome.clone());
        }
    }
}

#[test]
fn a_booking_that_may_have_run_is_given_up_because_it_runs_once() {
    let mut bench = bench(vec![booking()], &["z-a", "z-b"]);

    let denials = denial(&mut bench, "/book/1", &ForwardOutcome::ConnectionLost);

    assert_eq!(denials, [SendDenial::AtMostOnce]);
}

#[test]
fn a_request_is_given_up_because_its_route_allows_no_more_attempts() {
    let mut bench = bench(vec![single("desk")], &["z-a", "z-b", "z-d"]);

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = denial(&mut bench, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::MaxAttempts]);
}

#[test]
fn a_request_is_given_up_because_all_upstreams_were_tried() {
    let mut bench = bench(vec![single("desk")], &["z-a"]);

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = denial(&mut bench, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::NoUpstream]);
}

#[test]
fn a_request_is_given_up_because_the_budget_is_used_up() {
    let mut bench = Bench::new(ForwarderSettings {
        extra_ratio: 0.0,
        extra_slack: 0.0,
        ..settings()
    });
    bench.event(ForwardEvent::Configured(table(1, vec![single("desk")])));
    for zone in ["z-a", "z-b"] {
        bench.event(ForwardEvent::UpstreamRegistered(upstream("desk", zone)));
    }

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = denial(&mut bench, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::BudgetExhausted]);
}

#[test]
fn a_booking_that_did_not_run_is_given_up_because_too_little_time_is_left() {
    let mut bench = bench(vec![booking()], &["z-a", "z-b"]);
    bench.ask(request("/book/1"));
    let sent = bench.sent().remove(0);

    // The answer needs 10 ms to reach its caller.
    bench.pass(TIMEOUT.saturating_sub(Duration::from_millis(11)));
    bench.finish(&sent, ForwardOutcome::NotSent);

    assert_eq!(bench.denials(), [SendDenial::TooLittleTime]);
}

//! Guards against a request that fails without a record of why no further attempt was sent.

use crate::forward_harness::{
    Harness, TIMEOUT, booking_route, harness, reply, request, service_route, settings, table,
    upstream,
};
use medlarpost_core::prelude::*;

/// Sends a request, ends each of its attempts with `outcome` and returns why no more were sent.
fn give_up_denials(harness: &mut Harness, path: &str, outcome: &ForwardOutcome) -> Vec<SendDenial> {
    harness.send_request(request(path));
    loop {
        let sent = harness.take_sent();
        if sent.is_empty() {
            return harness.denials();
        }
        for sent in &sent {
            harness.end_attempt(sent, outcome.clone());
        }
    }
}

#[test]
fn booking_that_may_have_run_is_given_up_as_at_most_once() {
    let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);

    let denials = give_up_denials(&mut harness, "/book/1", &ForwardOutcome::ConnectionLost);

    assert_eq!(denials, [SendDenial::AtMostOnce]);
}

#[test]
fn request_is_given_up_at_the_maximum_of_attempts() {
    let mut harness = harness(vec![service_route("desk")], &["z-a", "z-b", "z-d"]);

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = give_up_denials(&mut harness, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::MaxAttempts]);
}

#[test]
fn request_is_given_up_when_all_upstreams_were_tried() {
    let mut harness = harness(vec![service_route("desk")], &["z-a"]);

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = give_up_denials(&mut harness, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::NoUpstream]);
}

#[test]
fn request_is_given_up_when_the_budget_is_exhausted() {
    let mut harness = Harness::new(ForwarderSettings {
        limits: FleetLimits {
            extra_ratio: 0.0,
            extra_slack: 0.0,
            ..settings().limits
        },
        ..settings()
    });
    harness.handle(ForwardEvent::Configured(table(
        1,
        vec![service_route("desk")],
    )));
    for zone in ["z-a", "z-b"] {
        harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", zone)));
    }

    let failed = ForwardOutcome::Failed(reply(500, b"oops"));
    let denials = give_up_denials(&mut harness, "/desk/1", &failed);

    assert_eq!(denials, [SendDenial::BudgetExhausted]);
}

#[test]
fn booking_is_given_up_when_too_little_time_is_left() {
    let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    // 11 ms are left, of which the answer needs 10 ms to reach its caller.
    harness.advance(TIMEOUT.saturating_sub(Duration::from_millis(11)));
    harness.end_attempt(&sent, ForwardOutcome::NotSent);

    assert_eq!(harness.denials(), [SendDenial::TooLittleTime]);
}

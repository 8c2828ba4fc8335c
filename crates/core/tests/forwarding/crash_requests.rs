//! Quarantine of requests that crash one upstream after the other, and of no others.

use crate::forward_harness::{HIGH, Harness, Sent, harness, request, served_reply, service_route};
use bytes::Bytes;
use medlarpost_core::prelude::*;

const CRASHING_PATH: &str = "/desk/poison";

/// A service with six upstreams in as many zones.
fn harness_with_six_upstreams() -> Harness {
    harness(
        vec![service_route("desk")],
        &["z-a", "z-b", "z-d", "z-e", "z-f", "z-g"],
    )
}

/// Crashes an upstream while a request runs on it: the connection is lost, and the registry entry goes.
fn crash(harness: &mut Harness, sent: &Sent) {
    harness.end_attempt(sent, ForwardOutcome::ConnectionLost);
    harness.advance(Duration::from_millis(50));
    let instance = Arc::from(sent.instance.as_str());
    harness.handle(ForwardEvent::UpstreamDeregistered(instance));
}

/// Sends a request and crashes the upstream of every attempt. Returns the number of crashes.
fn send_and_crash_all(harness: &mut Harness, path: &str) -> usize {
    harness.send_request(request(path));
    let mut crashed = 0;
    loop {
        let sent = harness.take_sent();
        if sent.is_empty() {
            return crashed;
        }
        for sent in &sent {
            crashed += 1;
            crash(harness, sent);
        }
        harness.advance(Duration::from_millis(50));
    }
}

fn is_refused(harness: &mut Harness, path: &str) -> bool {
    harness.take_answers();
    harness.send_request(request(path));
    let refused = matches!(
        harness.take_answers()[..],
        [(
            _,
            ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
        )]
    );
    harness.take_sent().is_empty() && refused
}

#[test]
fn request_that_crashed_two_upstreams_is_refused() {
    let mut harness = harness_with_six_upstreams();

    let crashed = send_and_crash_all(&mut harness, CRASHING_PATH);

    assert_eq!(crashed, 2);
    assert!(is_refused(&mut harness, CRASHING_PATH));
    assert!(!is_refused(&mut harness, "/desk/other"));
}

#[test]
fn quarantine_is_announced_to_other_nodes_once() {
    let mut harness = harness_with_six_upstreams();

    send_and_crash_all(&mut harness, CRASHING_PATH);

    assert_eq!(
        harness.announced_quarantines(),
        [request(CRASHING_PATH).digest(&CallerIdentity::Unchecked)]
    );
}

#[test]
fn request_quarantined_by_another_node_is_refused() {
    let mut harness = harness_with_six_upstreams();
    let digest = request(CRASHING_PATH).digest(&CallerIdentity::Unchecked);

    let age = Duration::from_secs(1);
    harness.handle(ForwardEvent::QuarantinedElsewhere { digest, age });

    assert!(is_refused(&mut harness, CRASHING_PATH));
    assert!(!is_refused(&mut harness, "/desk/other"));
}

/// Guards against a quarantine that never ends, and against one that ends for all repetitions at the same time.
#[test]
fn one_request_is_sent_when_the_quarantine_expires() {
    let mut harness = harness_with_six_upstreams();
    send_and_crash_all(&mut harness, CRASHING_PATH);

    harness.advance(Duration::from_mins(1));
    let first = is_refused(&mut harness, CRASHING_PATH);
    let second = is_refused(&mut harness, CRASHING_PATH);

    assert_eq!((first, second), (false, true));
}

/// Guards against quarantining a popular request because a zone with several upstreams failed while it ran.
#[test]
fn simultaneous_crashes_count_as_one() {
    let mut harness = harness_with_six_upstreams();
    for _ in 0..4 {
        harness.send_request(request(CRASHING_PATH));
    }
    let sent = harness.take_sent();

    for sent in &sent {
        harness.end_attempt(sent, ForwardOutcome::ConnectionLost);
    }
    for sent in &sent {
        let instance = Arc::from(sent.instance.as_str());
        harness.handle(ForwardEvent::UpstreamDeregistered(instance));
    }
    harness.advance(Duration::from_secs(1));

    assert_eq!(harness.announced_quarantines(), []);
    assert!(!is_refused(&mut harness, CRASHING_PATH));
}

/// Guards against quarantining a request because connections were reset while the upstream's process went on.
#[test]
fn lost_connections_without_a_crash_cause_no_quarantine() {
    let mut harness = harness_with_six_upstreams();

    for _ in 0..4 {
        harness.send_request(request(CRASHING_PATH));
        for sent in harness.take_sent() {
            harness.end_attempt(&sent, ForwardOutcome::ConnectionLost);
        }
        harness.advance(Duration::from_secs(1));
    }

    assert!(!is_refused(&mut harness, CRASHING_PATH));
}

#[test]
fn success_between_two_crashes_clears_the_request() {
    let mut harness = harness_with_six_upstreams();
    harness.send_request(request(CRASHING_PATH));
    let first = harness.take_sent().remove(0);
    crash(&mut harness, &first);

    let again = harness.take_sent().remove(0);
    harness.end_attempt(&again, served_reply(HIGH));
    harness.advance(Duration::from_millis(10));
    harness.send_request(request(CRASHING_PATH));
    let third = harness.take_sent().remove(0);
    crash(&mut harness, &third);

    assert_eq!(harness.announced_quarantines(), []);
}

/// Guards against a quarantine that hits other requests, or that misses a repetition.
#[test]
fn digest_depends_on_method_host_target_and_body_only() {
    let plain = request(CRASHING_PATH);
    let mut others = vec![plain.clone(); 4];
    others[0].method = "POST".to_owned();
    others[1].host = "other.example".to_owned();
    others[2].target = "/desk/poison?again".to_owned();
    others[3].body = Bytes::from_static(b"body");

    for other in &others {
        assert_ne!(
            other.digest(&CallerIdentity::Unchecked),
            plain.digest(&CallerIdentity::Unchecked)
        );
    }
    // Each repetition has an id of its own.
    let mut again = plain.clone();
    again.id = "request-2".into();
    assert_eq!(
        again.digest(&CallerIdentity::Unchecked),
        plain.digest(&CallerIdentity::Unchecked)
    );
}

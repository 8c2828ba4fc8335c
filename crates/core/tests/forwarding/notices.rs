//! What upstreams say of themselves in replies: that they are leaving, or want no requests for a while. Each test names
//! the failure that it guards against.

use crate::forward_harness::{
    Harness, LOW, OBJECTIVE, Sent, booking_route, harness, reply, request, route, served_reply,
    service_route, shards_target, upstream,
};
use medlarpost_core::prelude::*;

const REST: Duration = Duration::from_millis(1_500);

fn leaving() -> UpstreamReport {
    UpstreamReport {
        leaving: true,
        ..UpstreamReport::default()
    }
}

fn resting(time: Duration) -> UpstreamReport {
    UpstreamReport {
        rest: Some(time),
        ..UpstreamReport::default()
    }
}

fn full() -> ForwardOutcome {
    ForwardOutcome::NotRun(NotRunCause::Full)
}

fn notice(instance: &str, kind: NoticeKind) -> UpstreamNotice {
    UpstreamNotice {
        instance: instance.into(),
        started_at_ms: 1,
        kind,
        age: Duration::ZERO,
    }
}

/// Sends one request and returns its first attempt.
fn send_one(harness: &mut Harness) -> Sent {
    harness.send_request(request("/a/1"));
    harness.take_sent().remove(0)
}

/// Sends requests that are served at once; returns the instances that they went to.
fn instances_used(harness: &mut Harness, count: usize) -> Vec<String> {
    let sends = (0..count).map(|_| {
        let sent = send_one(harness);
        harness.end_attempt(&sent, served_reply(b""));
        harness.advance(Duration::from_millis(20));
        sent.instance
    });
    sends.collect()
}

/// A harness in which the near one of two upstreams has said that it is leaving.
fn harness_with_leaving_upstream() -> Harness {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let sent = send_one(&mut harness);
    assert_eq!(sent.instance, "desk@z-a", "the near upstream is preferred");
    harness.end_attempt_with_report(&sent, served_reply(b""), leaving());
    harness
}

/// Guards against new requests to an upstream that says that it is leaving while its entry still says ready, because
/// the entry is older or the registry is away.
#[test]
fn upstream_that_announces_its_leave_gets_no_new_requests() {
    let mut harness = harness_with_leaving_upstream();
    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        slots: 4,
        ..upstream("desk", "z-a")
    }));

    let used = instances_used(&mut harness, 20);

    assert_eq!(used, ["desk@z-b"; 20]);
    let announced = harness.announced_notices();
    assert_eq!(announced, [notice("desk@z-a", NoticeKind::Leaving)]);
}

/// Guards against a leave that is missed because the reply that told it was no longer wanted or no success.
#[test]
fn leave_is_noticed_in_every_reply() {
    let outcomes = [
        ForwardOutcome::Cancelled,
        ForwardOutcome::Failed(reply(500, b"")),
        full(),
        ForwardOutcome::Invalid,
    ];
    for outcome in outcomes {
        let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
        let sent = send_one(&mut harness);

        harness.end_attempt_with_report(&sent, outcome.clone(), leaving());
        harness.take_sent();

        let used = instances_used(&mut harness, 3);
        assert_eq!(used, ["desk@z-b"; 3], "{outcome:?}");
    }
}

/// Guards against an upstream that stays out of use after it has restarted under the same instance.
#[test]
fn new_start_ends_an_announced_leave() {
    let mut harness = harness_with_leaving_upstream();

    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        started_at_ms: 2,
        ..upstream("desk", "z-a")
    }));

    assert!(instances_used(&mut harness, 3).contains(&"desk@z-a".to_owned()));
}

/// Guards against an upstream that stays out of use although its drain was called off after the registry had shown it.
#[test]
fn drain_that_the_registry_calls_off_ends_an_announced_leave() {
    let mut harness = harness_with_leaving_upstream();

    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        leaving: true,
        ..upstream("desk", "z-a")
    }));
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-a")));

    assert!(instances_used(&mut harness, 3).contains(&"desk@z-a".to_owned()));
}

/// Guards against an upstream that is used again after its leave because its entry lapsed and came back.
#[test]
fn returned_entry_does_not_bring_back_an_upstream_that_left() {
    let mut harness = harness_with_leaving_upstream();

    harness.handle(ForwardEvent::UpstreamDeregistered("desk@z-a".into()));
    harness.advance(Duration::from_secs(3));
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-a")));

    assert_eq!(instances_used(&mut harness, 5), ["desk@z-b"; 5]);
}

/// Guards against requests to an upstream that has asked for rest, and against resting longer than it asked for.
#[test]
fn resting_upstream_gets_nothing_until_its_rest_is_over() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let sent = send_one(&mut harness);
    harness.end_attempt_with_report(&sent, full(), resting(REST));
    let retried = harness.take_sent().remove(0);
    harness.end_attempt(&retried, served_reply(b""));

    let during: Vec<_> = instances_used(&mut harness, 70);
    harness.advance(Duration::from_secs(5));
    let after = instances_used(&mut harness, 5);

    assert_eq!(retried.instance, "desk@z-b");
    assert_eq!(during, vec!["desk@z-b"; 70]);
    assert!(after.contains(&"desk@z-a".to_owned()), "{after:?}");
}

/// Guards against the trial of a suspect that has asked for rest.
#[test]
fn resting_suspect_gets_no_trial() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let sent = send_one(&mut harness);
    let other = send_one(&mut harness);
    harness.end_attempt_with_report(&sent, full(), resting(Duration::from_secs(10)));
    let retried = harness.take_sent().remove(0);
    harness.end_attempt(&retried, served_reply(b""));
    harness.end_attempt(&other, ForwardOutcome::NotSent);
    let resent = harness.take_sent().remove(0);
    harness.end_attempt(&resent, served_reply(b""));

    harness.advance(Duration::from_secs(4));

    assert_eq!(instances_used(&mut harness, 5), ["desk@z-b"; 5]);
}

/// Guards against callers that wait for nothing, or that are sent back too early, when all upstreams of a service have
/// asked for rest.
#[test]
fn request_is_refused_at_once_with_the_shortest_rest() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let sent = send_one(&mut harness);
    harness.end_attempt_with_report(&sent, full(), resting(REST));
    let retried = harness.take_sent().remove(0);
    harness.end_attempt_with_report(&retried, full(), resting(REST * 2));
    let first = harness.take_answer();

    harness.advance(Duration::from_millis(500));
    harness.send_request(request("/a/1"));

    let refused = |retry_after| ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after });
    assert_eq!(first, refused(REST));
    assert!(harness.take_sent().is_empty());
    assert_eq!(harness.take_answer(), refused(Duration::from_secs(1)));
}

/// Guards against a search that is sent to the other shards although too few of them can answer, so that the refusal
/// could no longer say that nothing ran.
#[test]
fn search_is_sent_only_if_enough_shards_take_requests() {
    let mut harness = harness(vec![route("a", shards_target(4, 0.75))], &["z-a"]);
    let rest_shards = |harness: &mut Harness, count: usize| {
        harness.send_request(request("/a/1"));
        let sent = harness.take_sent();
        for sent in &sent[..count] {
            harness.end_attempt_with_report(sent, full(), resting(REST));
        }
        for sent in &sent[count..] {
            harness.end_attempt(sent, served_reply(LOW));
        }
        harness.take_answers();
    };
    rest_shards(&mut harness, 1);
    harness.send_request(request("/a/1"));
    let with_one_resting = harness.take_sent();
    for sent in &with_one_resting {
        harness.end_attempt(sent, served_reply(LOW));
    }
    let merged = harness.take_answer();
    harness.advance(REST);

    rest_shards(&mut harness, 2);
    harness.send_request(request("/a/1"));

    assert_eq!(with_one_resting.len(), 3);
    assert!(matches!(merged, ForwardAnswer::Merged(merged) if merged.missing == 1));
    assert!(harness.take_sent().is_empty());
    let retry_after = REST;
    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after })
    );
}

/// Guards against an upstream that is out of use for as long as a faulty `Retry-After` says.
#[test]
fn rest_is_bounded() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let sent = send_one(&mut harness);
    harness.end_attempt_with_report(&sent, full(), resting(Duration::MAX));
    let retried = harness.take_sent().remove(0);
    harness.end_attempt(&retried, served_reply(b""));

    harness.advance(Duration::from_mins(6));

    assert!(instances_used(&mut harness, 5).contains(&"desk@z-a".to_owned()));
}

/// Guards against a booking that is lost because the first upstream refused it and asked for rest.
#[test]
fn refused_booking_goes_to_another_upstream() {
    let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    harness.end_attempt_with_report(&sent, full(), resting(REST));

    assert_eq!(harness.take_sent().remove(0).instance, "desk@z-b");
}

/// Guards against notices of other nodes that have no effect, that never end, or that take the only upstream of a
/// service out of use.
#[test]
fn other_replicas_are_preferred_to_one_that_another_node_advises_against() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    let told = notice("desk@z-a", NoticeKind::Leaving);

    harness.handle(ForwardEvent::UpstreamNoticed(told));
    let preferred = instances_used(&mut harness, 10);
    harness.handle(ForwardEvent::UpstreamDeregistered("desk@z-b".into()));
    let only = instances_used(&mut harness, 1);
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-b")));
    harness.advance(Duration::from_secs(10));
    let later = instances_used(&mut harness, 3);

    assert_eq!(preferred, ["desk@z-b"; 10]);
    assert_eq!(only, ["desk@z-a"]);
    assert!(later.contains(&"desk@z-a".to_owned()), "{later:?}");
}

/// Guards against notices that apply to an earlier start of an upstream, and against one that is lost because it
/// arrives before the entry.
#[test]
fn notice_applies_to_one_start_and_may_precede_the_entry() {
    let mut harness = harness(vec![service_route("a")], &["z-b"]);
    harness.handle(ForwardEvent::UpstreamNoticed(UpstreamNotice {
        started_at_ms: 7,
        ..notice("desk@z-a", NoticeKind::Leaving)
    }));

    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        started_at_ms: 7,
        ..upstream("desk", "z-a")
    }));
    let same_start = instances_used(&mut harness, 5);
    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        started_at_ms: 8,
        ..upstream("desk", "z-a")
    }));
    harness.handle(ForwardEvent::UpstreamNoticed(UpstreamNotice {
        started_at_ms: 7,
        ..notice("desk@z-a", NoticeKind::Resting { left: REST })
    }));
    harness.advance(OBJECTIVE);
    let next_start = instances_used(&mut harness, 5);

    assert_eq!(same_start, ["desk@z-b"; 5]);
    assert!(
        next_start.contains(&"desk@z-a".to_owned()),
        "{next_start:?}"
    );
}

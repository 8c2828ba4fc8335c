//! Routing, merging, hedging, retries and upstream states; each test names the failure that it guards against.

use crate::forward_harness::{
    self, HIGH, LOW, OBJECTIVE, TIMEOUT, booking_route, harness, reply, request, route,
    served_reply, service_route, shards_target, table, upstream,
};
use bytes::Bytes;
use medlarpost_core::prelude::*;
use std::collections::BTreeSet;

fn expect_merged(answer: ForwardAnswer) -> MergedAnswer {
    match answer {
        ForwardAnswer::Merged(merged) => merged,
        other => panic!("expected a merged answer, got {other:?}"),
    }
}

/// Guards against a route that hides one with a longer prefix, and against hosts that share routes.
#[test]
fn longest_prefix_of_the_host_wins() {
    let outer = service_route("a");
    let mut inner = service_route("inner");
    inner.prefix = "/a/b/".to_owned();
    let table = table(1, vec![outer, inner]);

    let found = |host, path| {
        table
            .find(host, path)
            .map(|i| table.route(i).name.to_string())
    };

    assert_eq!(found("search.example", "/a/b/c").as_deref(), Some("inner"));
    assert_eq!(found("SEARCH.example", "/a/x").as_deref(), Some("a"));
    assert_eq!(found("search.example", "/b/"), None);
    assert_eq!(found("other.example", "/a/x"), None);
}

/// Guards against an answer that lacks a record or is out of order.
#[test]
fn greatest_records_of_all_shards_are_merged_in_order() {
    let mut harness = harness(vec![route("q", shards_target(2, 1.0))], &["z-a"]);
    harness.send_request(request("/q/1"));
    let sent = harness.take_sent();

    harness.end_attempt(&sent[0], served_reply(LOW));
    harness.end_attempt(&sent[1], served_reply(b"9000000000000001short"));

    let merged = expect_merged(harness.take_answer());
    assert_eq!(merged.records, Bytes::from([HIGH, LOW].concat()));
    assert_eq!((merged.proofs.len(), merged.missing), (2, 0));
}

/// Guards against one slow shard that makes the whole answer miss the objective.
#[test]
fn sufficient_shards_are_answered_within_the_objective() {
    let mut harness = harness(vec![route("q", shards_target(10, 0.9))], &["z-a"]);
    harness.send_request(request("/q/1"));
    let sent = harness.take_sent();
    for sent in &sent[1..] {
        harness.end_attempt(sent, served_reply(LOW));
    }
    assert!(
        harness.take_answers().is_empty(),
        "no partial answer before the objective"
    );

    harness.advance(OBJECTIVE);

    let merged = expect_merged(harness.take_answer());
    assert_eq!((merged.proofs.len(), merged.missing), (9, 1));
    assert_eq!(harness.take_cancelled(), [sent[0].attempt]);
}

/// Guards against answers with less than the coverage that the route requires.
#[test]
fn insufficient_coverage_times_out() {
    let mut harness = harness(vec![route("q", shards_target(10, 0.9))], &["z-a"]);
    harness.send_request(request("/q/1"));
    let sent = harness.take_sent();
    for sent in &sent[2..] {
        harness.end_attempt(sent, served_reply(LOW));
    }

    harness.advance(TIMEOUT);

    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::TimedOut)
    );
}

/// Guards against waiting for a shard that has no upstream.
#[test]
fn shard_without_an_upstream_does_not_delay_the_answer() {
    let mut harness = harness(vec![route("q", shards_target(10, 0.9))], &["z-a"]);
    harness.handle(ForwardEvent::UpstreamDeregistered("shard-3@z-a".into()));
    harness.send_request(request("/q/1"));

    for sent in harness.take_sent() {
        harness.end_attempt(&sent, served_reply(LOW));
    }

    assert_eq!(expect_merged(harness.take_answer()).missing, 1);
}

/// Guards against a paused upstream that delays the answer.
#[test]
fn late_reply_is_hedged_and_the_loser_cancelled() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    harness.send_request(request("/a/1"));
    let first = harness.take_sent().remove(0);
    assert_eq!(
        first.instance, "desk@z-a",
        "the replica in the same zone is preferred"
    );

    harness.advance(OBJECTIVE / 2);
    let second = harness.take_sent().remove(0);
    harness.end_attempt(&second, served_reply(b"answer"));

    assert_eq!(second.instance, "desk@z-b");
    assert!(matches!(harness.take_answer(), ForwardAnswer::Reply(_)));
    assert_eq!(harness.take_cancelled(), [first.attempt]);
}

/// Guards against sending further requests to an upstream that is known to be paused.
#[test]
fn paused_upstream_is_avoided_by_later_requests() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b"]);
    harness.send_request(request("/a/1"));
    harness.advance(OBJECTIVE / 2);
    harness.take_sent();

    harness.send_request(request("/a/2"));

    assert_eq!(harness.take_sent()[0].instance, "desk@z-b");
}

/// Guards against sending requests to evacuated zones and draining upstreams.
#[test]
fn evacuated_zones_and_draining_upstreams_are_not_used() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b", "z-c"]);
    harness.handle(ForwardEvent::ZonesEvacuated(BTreeSet::from(["z-a".into()])));
    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        leaving: true,
        ..upstream("desk", "z-b")
    }));

    harness.send_request(request("/a/1"));

    assert_eq!(harness.take_sent()[0].instance, "desk@z-c");
}

/// Guards against using upstreams in regions that the route does not allow.
#[test]
fn only_upstreams_in_allowed_regions_are_used() {
    let mut near = service_route("a");
    near.regions = vec!["r-2".to_owned()];
    let mut harness = harness(vec![near], &["z-a", "z-b", "z-c"]);

    harness.send_request(request("/a/1"));

    assert_eq!(harness.take_sent()[0].instance, "desk@z-c");
}

/// Guards against going back to an older configuration when its source lags behind.
#[test]
fn older_configuration_does_not_replace_a_newer_one() {
    let mut harness = harness(vec![service_route("a")], &["z-a"]);
    harness.handle(ForwardEvent::Configured(table(7, vec![service_route("b")])));

    harness.handle(ForwardEvent::Configured(table(6, vec![service_route("a")])));

    assert_eq!(harness.forwarder.config_version(), Some(7));
    harness.send_request(request("/a/1"));
    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::NoRoute)
    );
}

/// Guards against `NoRoute` from a node that has no configuration yet.
#[test]
fn node_without_a_configuration_is_not_ready() {
    let mut harness = forward_harness::Harness::new(forward_harness::settings());

    harness.send_request(request("/a/1"));

    assert!(matches!(
        harness.take_answer(),
        ForwardAnswer::Refused(ForwardRefusal::NotReady { .. })
    ));
}

/// Guards against a traffic split that deviates from its weights.
#[test]
fn split_follows_its_weights() {
    let parts = vec![("old".into(), 3.0), ("new".into(), 1.0)];
    let mut harness = harness(vec![route("s", Target::Split(parts))], &["z-a"]);
    let mut counts = BTreeMap::new();

    for _ in 0..400 {
        harness.send_request(request("/s/1"));
        let sent = harness.take_sent().remove(0);
        *counts.entry(sent.instance.clone()).or_insert(0) += 1;
        harness.end_attempt(&sent, served_reply(b""));
    }

    assert!((299..=301).contains(&counts["old@z-a"]), "{counts:?}");
}

/// Guards against attempts that go on after their caller has disconnected.
#[test]
fn attempts_are_cancelled_when_the_caller_disconnects() {
    let mut harness = harness(vec![route("q", shards_target(3, 1.0))], &["z-a"]);
    let caller = harness.send_request(request("/q/1"));
    let sent = harness.take_sent();

    harness.handle(ForwardEvent::CallerGone(caller));

    let attempts: Vec<_> = sent.iter().map(|sent| sent.attempt).collect();
    assert_eq!(harness.take_cancelled(), attempts);
    assert!(harness.take_answers().is_empty());
    assert_eq!(harness.forwarder.running_requests(), 0);
}

/// Guards against a dead upstream to which every request is sent first, and against one that is never used again.
#[test]
fn unreachable_upstream_gets_one_trial_and_returns_cold() {
    let mut harness = harness(vec![service_route("a")], &["z-a"]);
    harness.send_request(request("/a/1"));
    let sent = harness.take_sent().remove(0);
    harness.end_attempt(&sent, ForwardOutcome::NotSent);
    harness.send_request(request("/a/2"));
    assert!(
        harness.take_sent().is_empty(),
        "no trial before the backoff has passed"
    );

    harness.advance(Duration::from_secs(1));
    harness.send_request(request("/a/3"));
    let trial = harness.take_sent().remove(0);
    harness.send_request(request("/a/4"));
    assert!(harness.take_sent().is_empty(), "only one trial in flight");
    harness.end_attempt(&trial, served_reply(b""));

    let states: Vec<_> = harness
        .state_changes()
        .into_iter()
        .map(|(_, state)| state)
        .collect();
    assert_eq!(
        states,
        [
            ReplicaState::Suspect,
            ReplicaState::Trial,
            ReplicaState::Cold
        ]
    );
}

/// Guards against overloading a cold upstream: its rate is shared by all nodes.
#[test]
fn cold_upstream_is_sent_no_more_than_its_rate() {
    let mut settings = forward_harness::settings();
    settings.initial_fleet_size = 2;
    let mut harness = forward_harness::Harness::new(settings);
    harness.handle(ForwardEvent::Configured(table(1, vec![service_route("a")])));
    harness.handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        cold_for: Duration::from_secs(3),
        ..upstream("desk", "z-a")
    }));

    let mut sent = 0;
    for _ in 0..50 {
        harness.send_request(request("/a/1"));
        for attempt in harness.take_sent() {
            sent += 1;
            harness.end_attempt(&attempt, served_reply(b""));
        }
        harness.advance(Duration::from_millis(20));
    }

    // Two nodes share 4 * 1.5 + 5 requests in one second.
    assert!(
        (1..=5).contains(&sent),
        "{sent} requests sent in one second"
    );
}

/// Guards against retries that sustain an overload: in an outage, the extra load must stay within its budget.
#[test]
fn extra_load_stays_within_its_budget() {
    let mut harness = harness(vec![service_route("a")], &["z-a", "z-b", "z-c"]);
    let (mut primary, mut extra) = (0_u32, 0_u32);

    for _ in 0..1_000 {
        harness.send_request(request("/a/1"));
        let sent = harness.take_sent();
        primary += sent.len() as u32;
        for sent in sent {
            harness.end_attempt(&sent, ForwardOutcome::Failed(reply(500, b"")));
        }
        for sent in harness.take_sent() {
            extra += 1;
            harness.end_attempt(&sent, ForwardOutcome::Failed(reply(500, b"")));
        }
        harness.advance(Duration::from_millis(5));
    }

    assert!(primary > 0);
    assert!(
        f64::from(extra) <= 0.2 * f64::from(primary) + 50.0,
        "{extra} extra requests for {primary} primary ones"
    );
}

/// Guards against sending requests to an address that another process has taken over.
#[test]
fn upstream_replaced_at_its_address_is_dropped_and_the_request_sent_elsewhere() {
    let mut harness = harness(vec![booking_route()], &["z-a", "z-b"]);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    harness.end_attempt(&sent, ForwardOutcome::NotRun(NotRunCause::OtherInstance));
    let again = harness.take_sent().remove(0);
    harness.end_attempt(&again, served_reply(b""));
    harness.send_request(request("/book/2"));

    assert_eq!(again.instance, "desk@z-b");
    assert_eq!(harness.take_sent()[0].instance, "desk@z-b");
}

/// Guards against changing the status or proof of an upstream's failure.
#[test]
fn upstream_failure_is_passed_on_unchanged() {
    let mut harness = harness(vec![booking_route()], &["z-a"]);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    harness.end_attempt(&sent, ForwardOutcome::Failed(reply(500, b"oops")));

    assert_eq!(
        harness.take_answer(),
        ForwardAnswer::Reply(reply(500, b"oops"))
    );
}

/// Guards against callers that retry before a service without upstreams can have got one.
#[test]
fn retry_after_is_longer_without_upstreams_than_with_full_ones() {
    let mut empty = harness(vec![booking_route()], &[]);
    empty.send_request(request("/book/1"));
    let mut full = harness(vec![booking_route()], &["z-a"]);
    full.send_request(request("/book/1"));
    let sent = full.take_sent().remove(0);
    full.end_attempt(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    let wait = |answer| match answer {
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after }) => retry_after,
        other => panic!("expected Unavailable, got {other:?}"),
    };
    assert_eq!(wait(empty.take_answer()), Duration::from_secs(1));
    assert!(wait(full.take_answer()) < OBJECTIVE);
}

/// Guards against an incomplete answer whose log does not show which upstream was slow and for how long.
#[test]
fn shard_cut_off_is_recorded_with_its_upstream_and_wait() {
    let mut harness = harness(vec![route("q", shards_target(10, 0.9))], &["z-a"]);
    harness.send_request(request("/q/1"));
    for sent in &harness.take_sent()[1..] {
        harness.end_attempt(sent, served_reply(LOW));
    }

    harness.advance(OBJECTIVE);

    let cut_off = harness.cut_off_shards();
    let waited = Duration::from_millis(110);
    assert_eq!(cut_off, [("shard-0@z-a".to_owned(), waited)]);
}

/// Guards against requiring one shard more than the route states, because its share is rounded up.
#[test]
fn needed_shards_do_not_depend_on_rounding() {
    let needed = |count, share| route("q", shards_target(count, share)).needed_shards();

    assert_eq!(needed(30, 0.1), 3);
    assert_eq!(needed(10, 0.75), 8);
    assert_eq!(needed(3, 1.0), 3);
    assert_eq!(service_route("a").needed_shards(), 1);
}

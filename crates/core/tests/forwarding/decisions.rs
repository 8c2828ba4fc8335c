//! Forwarded requests: which failure of the platform each decision guards against.

use crate::forward_bench::{
    self, HIGH, LOW, OBJECTIVE, TIMEOUT, bench, booking, reply, request, route, served, shards,
    single, table, upstream,
};
use bytes::Bytes;
use medlarpost_core::prelude::*;
use std::collections::BTreeSet;

fn merged(answer: ForwardAnswer) -> MergedAnswer {
    match answer {
        ForwardAnswer::Merged(merged) => merged,
        other => panic!("no merged answer: {other:?}"),
    }
}

/// Guards against a route that hides a longer one, and against hosts that share routes.
#[test]
fn the_longest_prefix_of_the_host_is_chosen() {
    let outer = single("a");
    let mut inner = single("inner");
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
fn the_greatest_records_of_all_shards_are_merged() {
    let mut bench = bench(vec![route("q", shards(2, 1.0))], &["z-a"]);
    bench.ask(request("/q/1"));
    let sent = bench.sent();

    bench.finish(&sent[0], served(LOW));
    bench.finish(&sent[1], served(b"9000000000000001short"));

    let merged = merged(bench.answer());
    assert_eq!(merged.records, Bytes::from([HIGH, LOW].concat()));
    assert_eq!((merged.proofs.len(), merged.missing), (2, 0));
}

/// Guards against one slow shard that makes a whole answer late.
#[test]
fn enough_shards_are_answered_before_the_objective() {
    let mut bench = bench(vec![route("q", shards(10, 0.9))], &["z-a"]);
    bench.ask(request("/q/1"));
    let sent = bench.sent();
    for sent in &sent[1..] {
        bench.finish(sent, served(LOW));
    }
    assert!(bench.answers().is_empty(), "all shards may still come");

    bench.pass(OBJECTIVE);

    let merged = merged(bench.answer());
    assert_eq!((merged.proofs.len(), merged.missing), (9, 1));
    assert_eq!(bench.cancelled(), [sent[0].attempt]);
}

/// Guards against an answer below the coverage that the route asks for.
#[test]
fn too_few_shards_are_no_success() {
    let mut bench = bench(vec![route("q", shards(10, 0.9))], &["z-a"]);
    bench.ask(request("/q/1"));
    let sent = bench.sent();
    for sent in &sent[2..] {
        bench.finish(sent, served(LOW));
    }

    bench.pass(TIMEOUT);

    assert_eq!(
        bench.answer(),
        ForwardAnswer::Refused(ForwardRefusal::TimedOut)
    );
}

/// Guards against waiting for shards that have no upstream: what can be answered is answered at once.
#[test]
fn a_shard_without_an_upstream_delays_nothing() {
    let mut bench = bench(vec![route("q", shards(10, 0.9))], &["z-a"]);
    bench.event(ForwardEvent::UpstreamDeregistered("shard-3@z-a".into()));
    bench.ask(request("/q/1"));

    for sent in bench.sent() {
        bench.finish(&sent, served(LOW));
    }

    assert_eq!(merged(bench.answer()).missing, 1);
}

/// Guards against a paused upstream that holds up a query.
#[test]
fn a_late_reply_is_hedged_elsewhere_and_the_loser_cancelled() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    bench.ask(request("/a/1"));
    let first = bench.sent().remove(0);
    assert_eq!(first.instance, "desk@z-a", "the near replica goes first");

    bench.pass(OBJECTIVE / 2);
    let second = bench.sent().remove(0);
    bench.finish(&second, served(b"answer"));

    assert_eq!(second.instance, "desk@z-b");
    assert!(matches!(bench.answer(), ForwardAnswer::Reply(_)));
    assert_eq!(bench.cancelled(), [first.attempt]);
}

/// Guards against the next requests waiting behind a pause that is already seen.
#[test]
fn a_silent_upstream_is_avoided_before_it_is_hedged() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    bench.ask(request("/a/1"));
    bench.pass(OBJECTIVE / 2);
    bench.sent();

    bench.ask(request("/a/2"));

    assert_eq!(bench.sent()[0].instance, "desk@z-b");
}

/// Guards against work in a zone that operators have taken out, and on upstreams that leave.
#[test]
fn zones_out_and_leaving_upstreams_get_nothing() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b", "z-c"]);
    bench.event(ForwardEvent::ZonesOut(BTreeSet::from(["z-a".into()])));
    bench.event(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        leaving: true,
        ..upstream("desk", "z-b")
    }));

    bench.ask(request("/a/1"));

    assert_eq!(bench.sent()[0].instance, "desk@z-c");
}

/// Guards against upstreams of regions in which the route may not run.
#[test]
fn routes_keep_to_their_regions() {
    let mut near = single("a");
    near.regions = vec!["r-2".to_owned()];
    let mut bench = bench(vec![near], &["z-a", "z-b", "z-c"]);

    bench.ask(request("/a/1"));

    assert_eq!(bench.sent()[0].instance, "desk@z-c");
}

/// Guards against a configuration that goes back when a source lags.
#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let mut bench = bench(vec![single("a")], &["z-a"]);
    bench.event(ForwardEvent::Configured(table(7, vec![single("b")])));

    bench.event(ForwardEvent::Configured(table(6, vec![single("a")])));

    assert_eq!(bench.forwarder.config_version(), Some(7));
    bench.ask(request("/a/1"));
    assert_eq!(
        bench.answer(),
        ForwardAnswer::Refused(ForwardRefusal::NoRoute)
    );
}

/// Guards against a 404 from a node that knows no configuration yet.
#[test]
fn a_node_without_a_configuration_says_that_it_is_not_ready() {
    let mut bench = forward_bench::Bench::new(forward_bench::settings());

    bench.ask(request("/a/1"));

    assert!(matches!(
        bench.answer(),
        ForwardAnswer::Refused(ForwardRefusal::NotReady { .. })
    ));
}

/// Guards against a part of a split that gets more or less than its weight.
#[test]
fn a_split_keeps_its_weights() {
    let parts = vec![("old".into(), 3.0), ("new".into(), 1.0)];
    let mut bench = bench(vec![route("s", Target::Split(parts))], &["z-a"]);
    let mut counts = BTreeMap::new();

    for _ in 0..400 {
        bench.ask(request("/s/1"));
        let sent = bench.sent().remove(0);
        *counts.entry(sent.instance.clone()).or_insert(0) += 1;
        bench.finish(&sent, served(b""));
    }

    assert!((299..=301).contains(&counts["old@z-a"]), "{counts:?}");
}

/// Guards against work that goes on for a caller that has left.
#[test]
fn a_caller_that_leaves_stops_its_attempts() {
    let mut bench = bench(vec![route("q", shards(3, 1.0))], &["z-a"]);
    let caller = bench.ask(request("/q/1"));
    let sent = bench.sent();

    bench.event(ForwardEvent::CallerGone(caller));

    let attempts: Vec<_> = sent.iter().map(|sent| sent.attempt).collect();
    assert_eq!(bench.cancelled(), attempts);
    assert!(bench.answers().is_empty());
    assert_eq!(bench.forwarder.running_requests(), 0);
}

/// Guards against a dead upstream that each request tries first, and against one that never gets work again.
#[test]
fn an_unreachable_upstream_gets_one_trial_and_comes_back_cold() {
    let mut bench = bench(vec![single("a")], &["z-a"]);
    bench.ask(request("/a/1"));
    let sent = bench.sent().remove(0);
    bench.finish(&sent, ForwardOutcome::NotSent);
    bench.ask(request("/a/2"));
    assert!(bench.sent().is_empty(), "it waits before the trial");

    bench.pass(Duration::from_secs(1));
    bench.ask(request("/a/3"));
    let trial = bench.sent().remove(0);
    bench.ask(request("/a/4"));
    assert!(bench.sent().is_empty(), "one trial at a time");
    bench.finish(&trial, served(b""));

    let states: Vec<_> = bench
        .beliefs()
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

/// Guards against a cold upstream that falls over: the rate holds over all nodes.
#[test]
fn a_cold_upstream_gets_no_more_than_its_rate() {
    let mut settings = forward_bench::settings();
    settings.initial_fleet_size = 2;
    let mut bench = forward_bench::Bench::new(settings);
    bench.event(ForwardEvent::Configured(table(1, vec![single("a")])));
    bench.event(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
        cold_for: Duration::from_secs(3),
        ..upstream("desk", "z-a")
    }));

    let mut sent = 0;
    for _ in 0..50 {
        bench.ask(request("/a/1"));
        for attempt in bench.sent() {
            sent += 1;
            bench.finish(&attempt, served(b""));
        }
        bench.pass(Duration::from_millis(20));
    }

    // 4 requests a second, times 1.5, and 5: this node's half of it.
    assert!((1..=5).contains(&sent), "{sent} in one second");
}

/// Guards against retries that sustain an overload: in an outage the extra load stays within its budget.
#[test]
fn extra_load_stays_within_its_budget() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b", "z-c"]);
    let (mut primary, mut extra) = (0_u32, 0_u32);

    for _ in 0..1_000 {
        bench.ask(request("/a/1"));
        let sent = bench.sent();
        primary += sent.len() as u32;
        for sent in sent {
            bench.finish(&sent, ForwardOutcome::Failed(reply(500, b"")));
        }
        for sent in bench.sent() {
            extra += 1;
            bench.finish(&sent, ForwardOutcome::Failed(reply(500, b"")));
        }
        bench.pass(Duration::from_millis(5));
    }

    assert!(primary > 0);
    assert!(
        f64::from(extra) <= 0.2 * f64::from(primary) + 50.0,
        "{extra} for {primary}"
    );
}

/// Guards against an address that another service uses now.
#[test]
fn another_instance_at_the_address_ends_the_belief_and_the_request_goes_on() {
    let mut bench = bench(vec![booking()], &["z-a", "z-b"]);
    bench.ask(request("/book/1"));
    let sent = bench.sent().remove(0);

    bench.finish(&sent, ForwardOutcome::NotRun(NotRunCause::OtherInstance));
    let again = bench.sent().remove(0);
    bench.finish(&again, served(b""));
    bench.ask(request("/book/2"));

    assert_eq!(again.instance, "desk@z-b");
    assert_eq!(bench.sent()[0].instance, "desk@z-b");
}

/// Guards against a failure whose status or proof is changed on the way.
#[test]
fn an_upstreams_own_failure_is_passed_on_unchanged() {
    let mut bench = bench(vec![booking()], &["z-a"]);
    bench.ask(request("/book/1"));
    let sent = bench.sent().remove(0);

    bench.finish(&sent, ForwardOutcome::Failed(reply(500, b"oops")));

    assert_eq!(bench.answer(), ForwardAnswer::Reply(reply(500, b"oops")));
}

/// Guards against callers that come back before a service without upstreams can have one.
#[test]
fn a_service_without_upstreams_asks_for_more_patience_than_a_full_one() {
    let mut empty = bench(vec![booking()], &[]);
    empty.ask(request("/book/1"));
    let mut full = bench(vec![booking()], &["z-a"]);
    full.ask(request("/book/1"));
    let sent = full.sent().remove(0);
    full.finish(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    let wait = |answer| match answer {
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after }) => retry_after,
        other => panic!("not refused: {other:?}"),
    };
    assert_eq!(wait(empty.answer()), Duration::from_secs(1));
    assert!(wait(full.answer()) < OBJECTIVE);
}

/// Guards against a missing shard of which the log does not say who was asked and for how long.
#[test]
fn a_shard_that_is_cut_off_is_noted_with_its_upstream() {
    let mut bench = bench(vec![route("q", shards(10, 0.9))], &["z-a"]);
    bench.ask(request("/q/1"));
    for sent in &bench.sent()[1..] {
        bench.finish(sent, served(LOW));
    }

    bench.pass(OBJECTIVE);

    let noted = bench.cut_off();
    let waited = Duration::from_millis(110);
    assert_eq!(noted, [("shard-0@z-a".to_owned(), waited)]);
}

//! Choice among the replicas of a service: slow, paused, shedding, dark and returning upstreams.

use crate::forward_bench::{self, OBJECTIVE, bench, request, served, single};
use medlarpost_core::prelude::*;

/// Asks one request after the other, and answers each after `near` or `far`, depending on the zone it was sent to.
/// Returns how many went to the near replica.
fn ask_in_turn(
    bench: &mut forward_bench::Bench,
    count: usize,
    near: Duration,
    far: Duration,
) -> usize {
    let mut near_sends = 0;
    for _ in 0..count {
        bench.ask(request("/a/1"));
        let sent = bench.sent().remove(0);
        let is_near = sent.instance == "desk@z-a";
        near_sends += usize::from(is_near);
        bench.pass(if is_near { near } else { far });
        let hedges = bench.sent();
        bench.finish(&sent, served(b""));
        // Their replies come within the time that a cancelled attempt has.
        for hedge in hedges {
            bench.finish(&hedge, served(b""));
        }
        bench.pass(Duration::from_millis(20));
    }
    near_sends
}

/// Guards against a near upstream that is left for good after a slow time: bytes between zones cost.
#[test]
fn a_slow_upstream_is_left_and_gets_work_again_later() {
    let usual = Duration::from_millis(10);
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    ask_in_turn(&mut bench, 100, usual, usual);

    ask_in_turn(&mut bench, 10, usual * 8, usual);
    let while_slow = ask_in_turn(&mut bench, 20, usual * 8, usual);
    bench.pass(Duration::from_secs(20));
    let afterwards = ask_in_turn(&mut bench, 20, usual, usual);

    assert!(while_slow <= 2, "{while_slow} of 20 went to the slow one");
    assert_eq!(afterwards, 20);
}

/// Guards against a pause that is taken for a slow upstream because it held up several replies.
#[test]
fn replies_of_one_pause_count_as_one_slow_reply() {
    let usual = Duration::from_millis(10);
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    ask_in_turn(&mut bench, 100, usual, usual);
    let paused: Vec<_> = (0..3)
        .flat_map(|_| {
            bench.ask(request("/a/1"));
            bench.sent()
        })
        .collect();
    bench.pass(Duration::from_millis(150));
    bench.sent();

    for sent in &paused {
        bench.finish(sent, served(b""));
    }

    bench.ask(request("/a/1"));
    assert_eq!(bench.sent()[0].instance, "desk@z-a");
}

/// Guards against retries that use up the budget though another replica takes everything.
#[test]
fn a_shedding_upstream_is_avoided_and_tried_again_later() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    let shed = |sent: &forward_bench::Sent| sent.instance == "desk@z-a";
    for _ in 0..4 {
        bench.ask(request("/a/1"));
        let mut sent = bench.sent();
        while let Some(attempt) = sent.pop() {
            let full = ForwardOutcome::NotRun(NotRunCause::Full);
            bench.finish(&attempt, if shed(&attempt) { full } else { served(b"") });
            sent.extend(bench.sent());
        }
    }

    bench.ask(request("/a/1"));
    let next = bench.sent().remove(0);
    bench.finish(&next, served(b""));
    bench.pass(Duration::from_secs(4));
    bench.ask(request("/a/1"));

    assert_eq!(next.instance, "desk@z-b");
    assert_eq!(bench.sent()[0].instance, "desk@z-a");
}

/// Guards against a dark upstream that is asked again and again: the cancelled attempts of hedged requests leave no reply
/// by which it would be known.
#[test]
fn an_upstream_that_answers_nothing_is_avoided_after_its_attempts_were_cancelled() {
    let usual = Duration::from_millis(10);
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    ask_in_turn(&mut bench, 100, usual, usual);
    for _ in 0..3 {
        bench.ask(request("/a/1"));
        let dark = bench.sent().remove(0);
        bench.pass(OBJECTIVE / 2);
        for hedge in bench.sent() {
            bench.finish(&hedge, served(b""));
        }
        bench.pass(Duration::from_millis(150));
        bench.finish(&dark, ForwardOutcome::Cancelled);
    }

    bench.ask(request("/a/1"));

    assert_eq!(bench.sent()[0].instance, "desk@z-b");
}

/// Guards against an upstream that is back but gets no work, because the others take everything.
#[test]
fn a_suspect_is_tried_beside_a_working_upstream() {
    let mut bench = bench(vec![single("a")], &["z-a", "z-b"]);
    bench.ask(request("/a/1"));
    let refused = bench.sent().remove(0);
    bench.finish(&refused, ForwardOutcome::NotSent);
    for sent in bench.sent() {
        bench.finish(&sent, served(b""));
    }
    bench.pass(Duration::from_secs(1));

    bench.ask(request("/a/2"));

    let instances: Vec<_> = bench.sent().into_iter().map(|sent| sent.instance).collect();
    assert_eq!(instances, ["desk@z-b", "desk@z-a"]);
}

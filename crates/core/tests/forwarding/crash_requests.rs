//! Guards against a request that crashes one upstream after the other, and against blaming requests for crashes that
//! have another cause.

use crate::forward_bench::{Bench, HIGH, Sent, bench, request, served, single};
use bytes::Bytes;
use medlarpost_core::prelude::*;

const PATH: &str = "/desk/poison";

/// One service with six upstreams.
fn desk() -> Bench {
    bench(
        vec![single("desk")],
        &["z-a", "z-b", "z-d", "z-e", "z-f", "z-g"],
    )
}

/// Lets the process of an upstream end while a request runs on it: the connection breaks, and the entry goes.
fn crash(bench: &mut Bench, sent: &Sent) {
    bench.finish(sent, ForwardOutcome::ConnectionLost);
    bench.pass(Duration::from_millis(50));
    let instance = Arc::from(sent.instance.as_str());
    bench.event(ForwardEvent::UpstreamDeregistered(instance));
}

/// Asks, and lets every attempt crash its upstream. Returns how many were sent.
fn ask_and_crash(bench: &mut Bench, path: &str) -> usize {
    bench.ask(request(path));
    let mut crashed = 0;
    loop {
        let sent = bench.sent();
        if sent.is_empty() {
            return crashed;
        }
        for sent in &sent {
            crashed += 1;
            crash(bench, sent);
        }
        bench.pass(Duration::from_millis(50));
    }
}

fn is_refused(bench: &mut Bench, path: &str) -> bool {
    bench.answers();
    bench.ask(request(path));
    let refused = matches!(
        bench.answers()[..],
        [(
            _,
            ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
        )]
    );
    bench.sent().is_empty() && refused
}

#[test]
fn a_request_that_crashed_two_upstreams_is_refused_at_once() {
    let mut bench = desk();

    let crashed = ask_and_crash(&mut bench, PATH);

    assert_eq!(crashed, 2);
    assert!(is_refused(&mut bench, PATH));
    assert!(!is_refused(&mut bench, "/desk/other"));
}

#[test]
fn the_other_nodes_are_told_once() {
    let mut bench = desk();

    ask_and_crash(&mut bench, PATH);

    assert_eq!(bench.bars(), [request(PATH).digest()]);
}

#[test]
fn a_request_that_another_node_has_barred_is_refused() {
    let mut bench = desk();
    let digest = request(PATH).digest();

    let age = Duration::from_secs(1);
    bench.event(ForwardEvent::QuarantinedElsewhere { digest, age });

    assert!(is_refused(&mut bench, PATH));
    assert!(!is_refused(&mut bench, "/desk/other"));
}

/// Guards against a bar that is never lifted, and against one that is lifted for every repetition at once.
#[test]
fn one_request_is_let_through_when_the_time_is_over() {
    let mut bench = desk();
    ask_and_crash(&mut bench, PATH);

    bench.pass(Duration::from_mins(1));
    let first = is_refused(&mut bench, PATH);
    let second = is_refused(&mut bench, PATH);

    assert_eq!((first, second), (false, true));
}

/// Guards against a popular request that is barred because a zone with several upstreams failed while it ran.
#[test]
fn upstreams_lost_at_the_same_time_count_as_one() {
    let mut bench = desk();
    for _ in 0..4 {
        bench.ask(request(PATH));
    }
    let sent = bench.sent();

    for sent in &sent {
        bench.finish(sent, ForwardOutcome::ConnectionLost);
    }
    for sent in &sent {
        let instance = Arc::from(sent.instance.as_str());
        bench.event(ForwardEvent::UpstreamDeregistered(instance));
    }
    bench.pass(Duration::from_secs(1));

    assert_eq!(bench.bars(), []);
    assert!(!is_refused(&mut bench, PATH));
}

/// Guards against a request that is blamed for resets: the process of the upstream goes on.
#[test]
fn broken_connections_without_a_crash_bar_nothing() {
    let mut bench = desk();

    for _ in 0..4 {
        bench.ask(request(PATH));
        for sent in bench.sent() {
            bench.finish(&sent, ForwardOutcome::ConnectionLost);
        }
        bench.pass(Duration::from_secs(1));
    }

    assert!(!is_refused(&mut bench, PATH));
}

#[test]
fn a_good_reply_between_two_crashes_clears_the_request() {
    let mut bench = desk();
    bench.ask(request(PATH));
    let first = bench.sent().remove(0);
    crash(&mut bench, &first);

    let again = bench.sent().remove(0);
    bench.finish(&again, served(HIGH));
    bench.pass(Duration::from_millis(10));
    bench.ask(request(PATH));
    let third = bench.sent().remove(0);
    crash(&mut bench, &third);

    assert_eq!(bench.bars(), []);
}

/// Guards against requests that are taken for one another.
#[test]
fn digests_differ_by_method_host_target_and_body() {
    let plain = request(PATH);
    let mut others = vec![plain.clone(); 4];
    others[0].method = "POST".to_owned();
    others[1].host = "other.example".to_owned();
    others[2].target = "/desk/poison?again".to_owned();
    others[3].body = Bytes::from_static(b"body");

    for other in &others {
        assert_ne!(other.digest(), plain.digest());
    }
    // The id differs with each repetition.
    let mut again = plain.clone();
    again.id = "request-2".into();
    assert_eq!(again.digest(), plain.digest());
}

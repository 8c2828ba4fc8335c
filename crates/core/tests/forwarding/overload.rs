//! Guards against late answers under more load than the upstreams carry, and against refusals without need.

use crate::forward_bench::{self, LOW, bench, request, route, served, shards};
use medlarpost_core::prelude::*;

/// Reply time of an upstream that is not busy.
const USUAL: Duration = Duration::from_millis(18);

/// Reports that each upstream of the shards has this many requests waiting.
fn report_waiting(bench: &mut forward_bench::Bench, waiting: u32) {
    bench.ask(request("/urgent/1"));
    let sent = bench.sent();
    bench.pass(USUAL);
    for sent in sent {
        let load = ReportedLoad {
            running: 3,
            waiting,
            slots: 3,
        };
        bench.finish_with(&sent, served(LOW), Some(load));
    }
    bench.answers();
}

/// Guards against an overload in which each query gets some of its shards and none gets enough in time, and against less
/// urgent queries that take the place of urgent ones.
#[test]
fn queries_that_would_be_late_are_refused_at_once_and_urgent_ones_last() {
    let urgent = route("urgent", shards(4, 0.75));
    let later = Route {
        rank: 2,
        ..route("later", shards(4, 0.75))
    };
    let mut bench = bench(vec![urgent, later], &["z-a"]);
    for path in ["/urgent/0", "/later/0"] {
        bench.ask(request(path));
        let sent = bench.sent();
        bench.pass(USUAL);
        for sent in sent {
            bench.finish(&sent, served(LOW));
        }
    }
    bench.answers();
    let mut refused = |waiting, path| {
        report_waiting(&mut bench, waiting);
        bench.ask(request(path));
        let sent = bench.sent();
        if !sent.is_empty() {
            bench.pass(USUAL);
        }
        for sent in sent {
            bench.finish(&sent, served(LOW));
        }
        matches!(
            bench.answer(),
            ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
        )
    };

    let (calm, busy, full) = (3, 12, 30);
    assert_eq!(
        [refused(calm, "/urgent/1"), refused(calm, "/later/1")],
        [false, false]
    );
    assert_eq!(
        [refused(busy, "/urgent/1"), refused(busy, "/later/1")],
        [false, true]
    );
    assert_eq!(
        [refused(full, "/urgent/1"), refused(full, "/later/1")],
        [true, true]
    );
}

/// Guards against refusals of queries whose upstreams are slow but have nothing to do: a late answer is better than none.
#[test]
fn slow_upstreams_with_empty_queues_are_no_overload() {
    let mut bench = bench(vec![route("q", shards(2, 1.0))], &["z-a"]);
    let ask = |bench: &mut forward_bench::Bench, time| {
        bench.ask(request("/q/1"));
        let sent = bench.sent();
        bench.pass(time);
        for sent in &sent {
            bench.finish(sent, served(LOW));
        }
        bench.answers();
        sent.len()
    };
    for _ in 0..50 {
        ask(&mut bench, USUAL);
    }

    for _ in 0..10 {
        ask(&mut bench, USUAL * 12);
    }

    assert_eq!(ask(&mut bench, USUAL), 2, "both shards are asked");
}

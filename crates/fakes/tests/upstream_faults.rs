//! Guards against fake upstreams whose faults don't do what they say.

mod common;

use common::{Bench, Reply};
use medlarpost_fakes::prelude::*;

#[actix_rt::test]
async fn a_hit_says_which_query_version_and_shard_it_answers() {
    let bench = Bench::start(|_| {});

    let Reply { status, body, .. } = bench.search("wing", 3, 1).await.expect("a reply");

    let expected = HitMark {
        query: "wing".to_owned(),
        limit: 100,
        index_version: 1,
        shard: 3,
    };
    let found: HitMark = serde_json::from_value(body["hits"][0]["fields"].clone()).expect("a mark");
    assert_eq!(status, 200);
    assert_eq!(found, expected);
}

#[actix_rt::test]
async fn a_version_that_was_dropped_is_gone() {
    let bench = Bench::start(|_| {});
    bench.upstream.order(UpstreamCommand::DropVersion(1));

    let old = bench.search("wing", 0, 1).await.expect("a reply");
    let new = bench.search("wing", 0, 2).await.expect("a reply");

    assert_eq!((old.status, new.status), (410, 200));
}

#[actix_rt::test]
async fn a_full_queue_is_shed_before_running() {
    let mut bench = Bench::start(|behaviour| behaviour.slots = 1);

    let replies = bench.search_many(20).await;

    let shed = replies.iter().flatten().filter(|reply| reply.not_run);
    let (shed, answered) = (shed.count(), replies.iter().flatten().count());
    assert_eq!(answered, 20);
    assert!(shed > 0);
    assert_eq!(bench.count(|deed| *deed == Deed::Shed), shed);
    assert_eq!(bench.count(is_run), answered - shed);
}

#[actix_rt::test]
async fn a_crash_text_crashes_and_the_upstream_comes_back_cold() {
    let mut bench = Bench::start(|_| {});
    let before = bench.search("wing", 0, 1).await.expect("a reply").start;

    let crashed = bench.search("crash 1", 0, 1).await;
    let back = bench.search_until_answered("wing").await;

    assert!(crashed.is_none());
    assert!(back.start > before);
    assert_eq!(bench.count(|deed| matches!(deed, Deed::Crashed { .. })), 1);
}

#[actix_rt::test]
async fn a_cold_upstream_falls_over_under_more_than_it_bears() {
    let mut bench = Bench::start(|_| {});
    bench.upstream.order(UpstreamCommand::Stop);
    bench.upstream.order(UpstreamCommand::Start);
    bench.search_until_answered("wing").await;

    let replies = bench.search_many(3).await;

    assert!(replies.iter().any(Option::is_none));
    assert!(bench.count(|deed| matches!(deed, Deed::ColdOverload { .. })) > 0);
}

#[actix_rt::test]
async fn a_cold_upstream_bears_its_cold_slots_and_becomes_warm() {
    let mut bench = Bench::start(|_| {});
    bench.upstream.order(UpstreamCommand::Stop);
    bench.upstream.order(UpstreamCommand::Start);
    bench.search_until_answered("wing").await;

    // More than 8 replies for each of the 2 slots that it lacks, one at a time.
    for _ in 0..40 {
        bench.search("wing", 0, 1).await.expect("a reply");
    }
    let replies = bench.search_many(3).await;

    assert!(replies.iter().all(Option::is_some));
    assert_eq!(
        bench.count(|deed| matches!(deed, Deed::ColdOverload { .. })),
        0
    );
}

#[actix_rt::test]
async fn a_silent_cold_start_shows_only_in_the_start_time() {
    let mut bench = Bench::start(|_| {});
    let before = bench.search("wing", 0, 1).await.expect("a reply").start;
    bench
        .upstream
        .order(UpstreamCommand::TurnCold { reset: false });

    let after = bench.search("wing", 0, 1).await.expect("a reply").start;

    assert!(after > before);
    assert_eq!(
        bench.count(|deed| matches!(deed, Deed::ColdOverload { .. })),
        0
    );
}

/// The excuse for a cold start that nobody could have seen ends with the detection time after its first reply.
#[actix_rt::test]
async fn a_silent_cold_start_that_a_reply_has_shown_counts_overload() {
    let mut bench = Bench::start(|_| {});
    bench
        .upstream
        .order(UpstreamCommand::TurnCold { reset: false });

    bench.search("wing", 0, 1).await.expect("a reply");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    bench.search_many(3).await;

    assert!(bench.count(|deed| matches!(deed, Deed::ColdOverload { .. })) > 0);
}

#[actix_rt::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let bench = Bench::start(|_| {});
    let old = Bench::client();
    bench
        .search_with(&old, "wing", 0, 1)
        .await
        .expect("a reply");
    bench.upstream.order(UpstreamCommand::SilenceConnections);
    // The order reaches the listener after the request below if that is sent at once; an answered request on a new
    // connection shows that it has arrived.
    bench.search_with(&Bench::client(), "wing", 0, 1).await;

    let silent = bench.search_with(&old, "wing", 0, 1).await;
    let new = bench.search_with(&Bench::client(), "wing", 0, 1).await;

    assert!(silent.is_none());
    assert!(new.is_some());
}

#[actix_rt::test]
async fn a_stopped_upstream_refuses_connections_until_it_is_started() {
    let bench = Bench::start(|_| {});
    bench.upstream.order(UpstreamCommand::Leave);
    bench.upstream.order(UpstreamCommand::Stop);
    bench.search_until_refused().await;
    bench.upstream.order(UpstreamCommand::Start);

    let back = bench.search_until_answered("wing").await;

    assert_eq!(back.status, 200);
}

#[actix_rt::test]
async fn a_connection_above_the_limit_is_closed() {
    let bench = Bench::start(|behaviour| behaviour.connections = 1);
    let first = Bench::client();
    bench
        .search_with(&first, "wing", 0, 1)
        .await
        .expect("a reply");

    let second = bench.search_with(&Bench::client(), "wing", 0, 1).await;

    assert!(second.is_none());
}

#[actix_rt::test]
async fn a_straggling_sub_request_is_cancelled_with_499() {
    let bench = Bench::start(|behaviour| behaviour.service_time = Duration::from_mins(1));

    let (cancelled, ()) = tokio::join!(bench.search("wing", 0, 1), bench.cancel());

    assert_eq!(cancelled.expect("a reply").status, 499);
}

#[actix_rt::test]
async fn a_booking_is_recorded_by_its_content() {
    let mut bench = Bench::start(|_| {});

    let booked = bench.book(r#"{"slot":7}"#).await.expect("a reply");

    let content: Arc<str> = r#"{"slot":7}"#.into();
    let reference = Digest::of(content.as_bytes()).to_string();
    assert_eq!(booked.body["reference"], serde_json::json!(reference));
    let ran = |deed: &Deed| matches!(deed, Deed::BookingRan { content: c, .. } if *c == content);
    assert_eq!(bench.count(ran), 1);
}

fn is_run(deed: &Deed) -> bool {
    matches!(deed, Deed::ShardStarted { .. })
}

#[actix_rt::test]
async fn the_trace_of_an_overload_says_what_the_upstream_bears() {
    let mut bench = Bench::start(|_| {});
    bench.upstream.order(UpstreamCommand::Stop);
    bench.upstream.order(UpstreamCommand::Start);
    bench.search_until_answered("wing").await;

    bench.search_many(3).await;

    let bears_one =
        |deed: &Deed| matches!(deed, Deed::ColdOverload { trace } if trace.contains("bears 1 "));
    assert!(bench.count(bears_one) > 0);
}

//! Guards against fake upstreams whose faults don't do what they say.

mod common;

use common::{Reply, UpstreamFixture};
use medlarpost_fakes::prelude::*;

#[actix_rt::test]
async fn a_hit_says_which_query_version_and_shard_it_answers() {
    let fixture = UpstreamFixture::start(|_| {});

    let Reply { status, body, .. } = fixture.search("wing", 3, 1).await.expect("a reply");

    let expected = HitOrigin {
        query: "wing".to_owned(),
        limit: 100,
        index_version: 1,
        shard: 3,
    };
    let found: HitOrigin =
        serde_json::from_value(body["hits"][0]["fields"].clone()).expect("a mark");
    assert_eq!(status, 200);
    assert_eq!(found, expected);
}

#[actix_rt::test]
async fn a_version_that_was_dropped_is_gone() {
    let fixture = UpstreamFixture::start(|_| {});
    fixture
        .upstream
        .send_command(UpstreamCommand::DropVersion(1));

    let old = fixture.search("wing", 0, 1).await.expect("a reply");
    let new = fixture.search("wing", 0, 2).await.expect("a reply");

    assert_eq!((old.status, new.status), (410, 200));
}

#[actix_rt::test]
async fn a_full_queue_is_shed_before_running() {
    let mut fixture = UpstreamFixture::start(|behaviour| behaviour.slots = 1);

    let replies = fixture.search_many(20).await;

    let shed = replies.iter().flatten().filter(|reply| reply.not_run);
    let (shed, answered) = (shed.count(), replies.iter().flatten().count());
    assert_eq!(answered, 20);
    assert!(shed > 0);
    assert_eq!(
        fixture.count(|event| *event == FakeUpstreamEvent::Shed),
        shed
    );
    assert_eq!(fixture.count(is_run), answered - shed);
}

#[actix_rt::test]
async fn a_crash_text_crashes_and_the_upstream_comes_back_cold() {
    let mut fixture = UpstreamFixture::start(|_| {});
    let before = fixture.search("wing", 0, 1).await.expect("a reply").start;

    let crashed = fixture.search("crash 1", 0, 1).await;
    let back = fixture.search_until_answered("wing").await;

    assert!(crashed.is_none());
    assert!(back.start > before);
    assert_eq!(
        fixture.count(|event| matches!(event, FakeUpstreamEvent::Crashed { .. })),
        1
    );
}

#[actix_rt::test]
async fn a_cold_upstream_falls_over_under_more_than_it_bears() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    let replies = fixture.search_many(3).await;

    assert!(replies.iter().any(Option::is_none));
    assert!(fixture.count(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })) > 0);
}

#[actix_rt::test]
async fn a_cold_upstream_bears_its_cold_slots_and_becomes_warm() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    // More than 8 replies for each of the 2 slots that it lacks, one at a time.
    for _ in 0..40 {
        fixture.search("wing", 0, 1).await.expect("a reply");
    }
    let replies = fixture.search_many(3).await;

    assert!(replies.iter().all(Option::is_some));
    assert_eq!(
        fixture.count(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })),
        0
    );
}

#[actix_rt::test]
async fn a_silent_cold_start_shows_only_in_the_start_time() {
    let mut fixture = UpstreamFixture::start(|_| {});
    let before = fixture.search("wing", 0, 1).await.expect("a reply").start;
    fixture
        .upstream
        .send_command(UpstreamCommand::TurnCold { reset: false });

    let after = fixture.search("wing", 0, 1).await.expect("a reply").start;

    assert!(after > before);
    assert_eq!(
        fixture.count(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })),
        0
    );
}

/// The excuse for a cold start that nobody could have seen ends with the detection time after its first reply.
#[actix_rt::test]
async fn a_silent_cold_start_that_a_reply_has_shown_counts_overload() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture
        .upstream
        .send_command(UpstreamCommand::TurnCold { reset: false });

    fixture.search("wing", 0, 1).await.expect("a reply");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fixture.search_many(3).await;

    assert!(fixture.count(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })) > 0);
}

#[actix_rt::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let fixture = UpstreamFixture::start(|_| {});
    let old = UpstreamFixture::client();
    fixture
        .search_with(&old, "wing", 0, 1)
        .await
        .expect("a reply");
    fixture
        .upstream
        .send_command(UpstreamCommand::SilenceConnections);
    // The order reaches the listener after the request below if that is sent at once; an answered request on a new
    // connection shows that it has arrived.
    fixture
        .search_with(&UpstreamFixture::client(), "wing", 0, 1)
        .await;

    let silent = fixture.search_with(&old, "wing", 0, 1).await;
    let new = fixture
        .search_with(&UpstreamFixture::client(), "wing", 0, 1)
        .await;

    assert!(silent.is_none());
    assert!(new.is_some());
}

#[actix_rt::test]
async fn a_stopped_upstream_refuses_connections_until_it_is_started() {
    let fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Leave);
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.search_until_refused().await;
    fixture.upstream.send_command(UpstreamCommand::Start);

    let back = fixture.search_until_answered("wing").await;

    assert_eq!(back.status, 200);
}

#[actix_rt::test]
async fn a_connection_above_the_limit_is_closed() {
    let fixture = UpstreamFixture::start(|behaviour| behaviour.connections = 1);
    let first = UpstreamFixture::client();
    fixture
        .search_with(&first, "wing", 0, 1)
        .await
        .expect("a reply");

    let second = fixture
        .search_with(&UpstreamFixture::client(), "wing", 0, 1)
        .await;

    assert!(second.is_none());
}

#[actix_rt::test]
async fn a_straggling_sub_request_is_cancelled_with_499() {
    let fixture =
        UpstreamFixture::start(|behaviour| behaviour.service_time = Duration::from_mins(1));

    let (cancelled, ()) = tokio::join!(fixture.search("wing", 0, 1), fixture.cancel());

    assert_eq!(cancelled.expect("a reply").status, 499);
}

#[actix_rt::test]
async fn a_booking_is_recorded_by_its_content() {
    let mut fixture = UpstreamFixture::start(|_| {});

    let booked = fixture.book(r#"{"slot":7}"#).await.expect("a reply");

    let content: Arc<str> = r#"{"slot":7}"#.into();
    let reference = Digest::of(content.as_bytes()).to_string();
    assert_eq!(booked.body["reference"], serde_json::json!(reference));
    let ran = |event: &FakeUpstreamEvent| matches!(event, FakeUpstreamEvent::BookingRan { content: c, .. } if *c == content);
    assert_eq!(fixture.count(ran), 1);
}

fn is_run(event: &FakeUpstreamEvent) -> bool {
    matches!(event, FakeUpstreamEvent::ShardStarted { .. })
}

#[actix_rt::test]
async fn the_trace_of_an_overload_says_what_the_upstream_bears() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    fixture.search_many(3).await;

    let bears_one = |event: &FakeUpstreamEvent| matches!(event, FakeUpstreamEvent::ColdOverload { trace } if trace.contains("bears 1 "));
    assert!(fixture.count(bears_one) > 0);
}

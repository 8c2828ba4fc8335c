//! Guards against fake upstreams that don't behave as their settings and commands say.

mod common;

use common::{Reply, UpstreamFixture};
use medlarpost_fakes::prelude::*;

#[actix_rt::test]
async fn a_hit_names_its_query_index_version_and_shard() {
    let fixture = UpstreamFixture::start(|_| {});

    let Reply { status, body, .. } = fixture
        .search("wing", 3, 1)
        .await
        .expect("the upstream replies");

    let expected = HitOrigin {
        query: "wing".to_owned(),
        limit: 100,
        index_version: 1,
        shard: 3,
    };
    let found: HitOrigin = serde_json::from_value(body["hits"][0]["fields"].clone())
        .expect("the fields hold the origin");
    assert_eq!(status, 200);
    assert_eq!(found, expected);
}

#[actix_rt::test]
async fn a_dropped_index_version_is_answered_with_410() {
    let fixture = UpstreamFixture::start(|_| {});
    fixture
        .upstream
        .send_command(UpstreamCommand::DropVersion(1));

    let old = fixture
        .search("wing", 0, 1)
        .await
        .expect("the upstream replies");
    let new = fixture
        .search("wing", 0, 2)
        .await
        .expect("the upstream replies");

    assert_eq!((old.status, new.status), (410, 200));
}

#[actix_rt::test]
async fn requests_beyond_the_queue_are_shed_without_running() {
    let mut fixture = UpstreamFixture::start(|behaviour| behaviour.slots = 1);

    let replies = fixture.search_concurrently(20).await;

    let shed = replies.iter().flatten().filter(|reply| reply.not_run);
    let (shed, answered) = (shed.count(), replies.iter().flatten().count());
    assert_eq!(answered, 20);
    assert!(shed > 0);
    assert_eq!(
        fixture.count_events(|event| *event == FakeUpstreamEvent::Shed),
        shed
    );
    assert_eq!(fixture.count_events(is_sub_request), answered - shed);
}

#[actix_rt::test]
async fn a_crash_query_crashes_the_upstream_and_it_restarts() {
    let mut fixture = UpstreamFixture::start(|_| {});
    let before = fixture
        .search("wing", 0, 1)
        .await
        .expect("the upstream replies")
        .start;

    let crashed = fixture.search("crash 1", 0, 1).await;
    let back = fixture.search_until_answered("wing").await;

    assert!(crashed.is_none());
    assert!(back.start > before);
    assert_eq!(
        fixture.count_events(|event| matches!(event, FakeUpstreamEvent::Crashed { .. })),
        1
    );
}

#[actix_rt::test]
async fn a_cold_upstream_crashes_under_more_requests_than_its_capacity() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    let replies = fixture.search_concurrently(3).await;

    assert!(replies.iter().any(Option::is_none));
    assert!(
        fixture.count_events(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })) > 0
    );
}

#[actix_rt::test]
async fn a_cold_upstream_serves_its_cold_slots_and_becomes_warm() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    // More than the 8 replies needed for each of the 2 missing slots, one at a time.
    for _ in 0..40 {
        fixture
            .search("wing", 0, 1)
            .await
            .expect("the upstream replies");
    }
    let replies = fixture.search_concurrently(3).await;

    assert!(replies.iter().all(Option::is_some));
    assert_eq!(
        fixture.count_events(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })),
        0
    );
}

#[actix_rt::test]
async fn a_silent_cold_start_changes_only_the_start_time() {
    let mut fixture = UpstreamFixture::start(|_| {});
    let before = fixture
        .search("wing", 0, 1)
        .await
        .expect("the upstream replies")
        .start;
    fixture
        .upstream
        .send_command(UpstreamCommand::TurnCold { reset: false });

    let after = fixture
        .search("wing", 0, 1)
        .await
        .expect("the upstream replies")
        .start;

    assert!(after > before);
    assert_eq!(
        fixture.count_events(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })),
        0
    );
}

/// Overload after a silent cold start is not counted until the detection time has passed since the first reply.
#[actix_rt::test]
async fn overload_counts_after_the_first_reply_of_a_silent_cold_start() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture
        .upstream
        .send_command(UpstreamCommand::TurnCold { reset: false });

    fixture
        .search("wing", 0, 1)
        .await
        .expect("the upstream replies");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fixture.search_concurrently(3).await;

    assert!(
        fixture.count_events(|event| matches!(event, FakeUpstreamEvent::ColdOverload { .. })) > 0
    );
}

#[actix_rt::test]
async fn silenced_connections_get_no_replies_while_new_ones_work() {
    let fixture = UpstreamFixture::start(|_| {});
    let old = UpstreamFixture::client();
    fixture
        .search_with(&old, "wing", 0, 1)
        .await
        .expect("the upstream replies");
    fixture
        .upstream
        .send_command(UpstreamCommand::SilenceConnections);
    // A request sent at once could overtake the command. An answered request on a new connection shows that the
    // listener task has received it.
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
async fn a_connection_beyond_the_limit_is_closed() {
    let fixture = UpstreamFixture::start(|behaviour| behaviour.max_connections = 1);
    let first = UpstreamFixture::client();
    fixture
        .search_with(&first, "wing", 0, 1)
        .await
        .expect("the upstream replies");

    let second = fixture
        .search_with(&UpstreamFixture::client(), "wing", 0, 1)
        .await;

    assert!(second.is_none());
}

#[actix_rt::test]
async fn a_cancelled_sub_request_is_answered_with_499() {
    let fixture =
        UpstreamFixture::start(|behaviour| behaviour.service_time = Duration::from_mins(1));

    let (cancelled, ()) = tokio::join!(fixture.search("wing", 0, 1), fixture.cancel());

    assert_eq!(cancelled.expect("the upstream replies").status, 499);
}

#[actix_rt::test]
async fn a_booking_is_recorded_with_its_content() {
    let mut fixture = UpstreamFixture::start(|_| {});

    let booked = fixture
        .book(r#"{"slot":7}"#)
        .await
        .expect("the upstream replies");

    let content: Arc<str> = r#"{"slot":7}"#.into();
    let reference = Digest::of(content.as_bytes()).to_string();
    assert_eq!(booked.body["reference"], serde_json::json!(reference));
    let ran = |event: &FakeUpstreamEvent| matches!(event, FakeUpstreamEvent::BookingRan { content: c, .. } if *c == content);
    assert_eq!(fixture.count_events(ran), 1);
}

fn is_sub_request(event: &FakeUpstreamEvent) -> bool {
    matches!(event, FakeUpstreamEvent::ShardStarted { .. })
}

#[actix_rt::test]
async fn an_overload_trace_contains_the_capacity() {
    let mut fixture = UpstreamFixture::start(|_| {});
    fixture.upstream.send_command(UpstreamCommand::Stop);
    fixture.upstream.send_command(UpstreamCommand::Start);
    fixture.search_until_answered("wing").await;

    fixture.search_concurrently(3).await;

    let has_capacity_one = |event: &FakeUpstreamEvent| matches!(event, FakeUpstreamEvent::ColdOverload { trace } if trace.contains("capacity 1,"));
    assert!(fixture.count_events(has_capacity_one) > 0);
}

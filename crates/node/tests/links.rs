//! Guards against links that stay open to a peer that is silent, unauthenticated, of another major version or too slow,
//! and against link queues that grow without bound.

mod common;

use bytes::Bytes;
use common::test_fleet::{FleetBuilder, run_test};
use medlarpost_core::prelude::*;
use medlarpost_node::{
    link::{Link, LinkInput},
    link_queue::{LinkQueue, PushOutcome},
};
use medlarpost_wire::prelude::*;
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

fn news(number: u64) -> Message {
    let id = NewsId {
        origin: "a".into(),
        start: 1,
        number,
    };
    let cold = News::Cold {
        upstream: "u".to_owned(),
        started_at_ms: number,
        round: 1,
    };
    Message::News(vec![(id, cold)])
}

fn part() -> Message {
    Message::Document(Document::Part(Bytes::from_static(b"part")))
}

fn heartbeat(version: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        version,
        sent: Timestamp::ZERO,
        echo: Timestamp::ZERO,
        interval: Duration::from_millis(50),
        answer_wanted: false,
    })
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address)
        .await
        .expect("the node accepts connections")
}

#[test]
fn peer_that_misses_heartbeats_loses_its_link() {
    run_test(async {
        let fleet = FleetBuilder::new().start().await;
        fleet.wait_for_metric(0, "medlarpost_links", 2).await;
        let stream = connect(fleet.link_address(0)).await;
        let hello = Hello::new("silent", 1, [1; 16]);
        let greeted = Link::new(stream, Side::Dialler).authenticate(FleetKey::new([1; 32]), &hello);
        let (_, mut link) = greeted.await.expect("the keys are the same");

        // The only heartbeat; it announces the next one after 50 ms.
        let writable = link.next_input(true).await;
        link.send(&heartbeat(1)).expect("a heartbeat is short");
        let end = loop {
            match link.next_input(false).await {
                Ok(LinkInput::Received(_) | LinkInput::Writable) => {}
                Err(fault) => break fault,
            }
        };

        assert!(matches!(writable, Ok(LinkInput::Writable)), "{writable:?}");
        assert!(
            matches!(end, WireError::Truncated | WireError::Socket { .. }),
            "{end:?}"
        );
        let lost = "medlarpost_links_lost_total{reason=\"silent\"}";
        fleet.wait_for_metric(0, lost, 1).await;
    });
}

#[test]
fn connection_that_sends_no_greeting_is_closed_and_counted() {
    run_test(async {
        let fleet = FleetBuilder::new().start().await;
        let mut garbage = connect(fleet.link_address(0)).await;
        let mut silent = connect(fleet.link_address(0)).await;
        let mut read = Vec::new();

        let sent = garbage.write_all(&[0xFF; 600]).await;
        // Reads until the connection is closed; an error means that it was reset.
        let _reset = garbage.read_to_end(&mut read).await;
        let _reset = silent.read_to_end(&mut read).await;

        assert!(sent.is_ok(), "{sent:?}");
        for reason in ["too_long", "timeout"] {
            let refused = format!("medlarpost_links_refused_total{{reason=\"{reason}\"}}");
            fleet.wait_for_metric(0, &refused, 1).await;
        }
    });
}

#[test]
fn peer_of_another_major_version_is_refused_and_counted() {
    run_test(async {
        let fleet = FleetBuilder::new().start().await;
        let stream = connect(fleet.link_address(0)).await;
        let hello = Hello {
            major: Hello::MAJOR + 1,
            ..Hello::new("newer", 1, [1; 16])
        };

        let greeting =
            Link::new(stream, Side::Dialler).authenticate(FleetKey::new([1; 32]), &hello);
        let greeted = greeting.await;

        assert!(
            matches!(
                greeted,
                Err(WireError::Truncated | WireError::Socket { .. })
            ),
            "{greeted:?}"
        );
        let refused = "medlarpost_links_refused_total{reason=\"major_version\"}";
        fleet.wait_for_metric(0, refused, 1).await;
    });
}

#[test]
fn full_queue_drops_the_oldest_news_and_nothing_else() {
    let mut queue = LinkQueue::new(3);

    let queued: Vec<_> = [part(), news(1), news(2), news(3), part(), part(), part()]
        .into_iter()
        .map(|message| queue.push(message))
        .collect();

    let (kept, dropped) = (PushOutcome::Queued, PushOutcome::DroppedNews);
    let expected = [
        kept,
        kept,
        kept,
        dropped,
        dropped,
        dropped,
        PushOutcome::Full,
    ];
    assert_eq!((queued.as_slice(), queue.len()), (expected.as_slice(), 3));
    assert!(std::iter::from_fn(|| queue.pop()).all(|message| message == part()));
}

#[test]
fn only_the_last_heartbeat_waits() {
    let mut queue = LinkQueue::new(3);

    for version in 1..=10 {
        queue.push(heartbeat(version));
    }

    assert_eq!((queue.len(), queue.pop()), (1, Some(heartbeat(10))));
}

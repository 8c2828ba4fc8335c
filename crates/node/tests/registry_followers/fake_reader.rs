//! A reader that follows the protocol, but whose view must not be trusted.

use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_core::prelude::*;
use medlarpost_wire::snapshot_codec::RelayServerCodec;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tokio_util::codec::Framed;

/// Replies of a fake reader to the polls that it gets.
#[derive(Clone, Copy)]
pub enum FakeReader {
    /// Replies to the first poll and is silent after it.
    FreezesAfterFirst,
    /// Tells no ages, as nodes do that don't know of followers.
    WithoutAges,
    /// Has fresh ages and a revision from before the follower's.
    OlderRevision,
    /// Its reads of the registry get older and older.
    Ageing,
}

/// Serves a fake reader, whose contents are an entry that the registry doesn't have.
pub fn start(listener: TcpListener, kind: FakeReader, revision: u64) {
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, kind, revision));
        }
    });
}

async fn serve(stream: TcpStream, kind: FakeReader, revision: u64) {
    let mut framed = Framed::new(stream, RelayServerCodec::default());
    let started = Instant::now();
    let mut polls = 0;
    while let Some(Ok(RelayRequest::Poll(poll))) = framed.next().await {
        polls += 1;
        if matches!(kind, FakeReader::FreezesAfterFirst) && polls > 1 {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(poll.wait.min(Duration::from_millis(200))).await;
        let view_ms = match kind {
            FakeReader::FreezesAfterFirst | FakeReader::OlderRevision => Some(0),
            FakeReader::Ageing => Some(started.elapsed().as_millis() as i64),
            FakeReader::WithoutAges => None,
        };
        let is_old = matches!(kind, FakeReader::OlderRevision);
        let entry = PublishedItem {
            key: "i-outdated".into(),
            value: bytes::Bytes::from_static(b"desk 1"),
        };
        let reply = RegistryReply {
            snapshot: Snapshot {
                revision: if is_old { revision - 1 } else { revision },
                current: true,
                items: if is_old { vec![entry] } else { Vec::new() },
            },
            changes_only: !is_old,
            removals: Vec::new(),
            ages: RelayAges {
                view_ms,
                ..RelayAges::default()
            },
        };
        if framed.send(reply).await.is_err() {
            return;
        }
    }
}

//! Exchange of registry contents between nodes: snapshots for a node that can't read the registry, and polls of the nodes
//! that follow this one.

use crate::{boot_clock::BootClock, known_items::KnownItems, prelude::*};
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_wire::snapshot_codec::{RelayServerCodec, SnapshotClientCodec};
use std::io;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use tokio_util::codec::Framed;

/// Time limit for one exchange, including the connection. A node that is down or unreachable uses up all of it.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Concurrent exchanges to answer. When a fleet restarts, many nodes ask at once; those turned away ask again.
const MAX_CONCURRENT_EXCHANGES: usize = 16;

/// Followers to serve at a time. Those turned away follow another node or read the registry.
const MAX_FOLLOWERS: usize = 64;

/// Time after a reply within which a follower must send its next poll.
const MAX_POLL_PAUSE: Duration = Duration::from_secs(2);

/// Longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type Requests = Framed<TcpStream, RelayServerCodec>;

/// Answers the requests of other nodes.
#[derive(Debug)]
pub(crate) struct RelayServer {
    pub(crate) known: watch::Receiver<KnownItems>,
    /// Number of nodes that follow this one.
    pub(crate) followers: watch::Sender<u32>,
    pub(crate) clock: BootClock,
    pub(crate) log: Logger,
}

/// Counts a follower while it is served.
struct FollowerCount(watch::Sender<u32>);

impl FollowerCount {
    fn add(followers: &watch::Sender<u32>) -> Self {
        followers.send_modify(|count| *count += 1);
        Self(followers.clone())
    }
}

impl Drop for FollowerCount {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl RelayServer {
    /// Answers requests for the life of the process.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let exchanges = Arc::new(Semaphore::new(MAX_CONCURRENT_EXCHANGES));
        let followers = Arc::new(Semaphore::new(MAX_FOLLOWERS));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(fault) => {
                    warn!(self.log, "snapshot_accept_failed"; "fault" => %fault);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&exchanges).try_acquire_owned() else {
                continue;
            };
            let connection = RelayConnection {
                framed: Framed::new(stream, RelayServerCodec::default()),
                known: self.known.clone(),
                clock: self.clock,
            };
            let (log, count) = (self.log.clone(), self.followers.clone());
            let followers = Arc::clone(&followers);
            actix_rt::spawn(async move {
                let answered = connection.answer(permit, &followers, &count).await;
                if let Err(fault) = answered {
                    debug!(log, "snapshot_not_sent"; "fault" => %fault);
                }
            });
        }
    }
}

/// Connection of another node, which requests one snapshot or follows this node.
struct RelayConnection {
    framed: Requests,
    known: watch::Receiver<KnownItems>,
    clock: BootClock,
}

impl RelayConnection {
    async fn answer(
        mut self,
        permit: OwnedSemaphorePermit,
        followers: &Arc<Semaphore>,
        count: &watch::Sender<u32>,
    ) -> io::Result<()> {
        match self.next_request(EXCHANGE_TIMEOUT).await? {
            None => Ok(()),
            Some(RelayRequest::Snapshot(request)) => {
                let snapshot = self.known.borrow().snapshot_after(request.after);
                let reply = RegistryReply {
                    snapshot,
                    ..RegistryReply::default()
                };
                self.send(reply).await
            }
            Some(RelayRequest::Poll(poll)) => {
                drop(permit);
                let Ok(_permit) = Arc::clone(followers).try_acquire_owned() else {
                    return Ok(());
                };
                let _count = FollowerCount::add(count);
                self.serve_follower(poll).await
            }
        }
    }

    /// Answers the polls of a follower until it closes the connection or falls silent.
    async fn serve_follower(mut self, mut poll: RegistryPoll) -> io::Result<()> {
        loop {
            let arrived_at = self.clock.now();
            if !poll.wait.is_zero() {
                tokio::select! {
                    changed = self.known.changed() => if changed.is_err() {
                        return Ok(());
                    },
                    () = tokio::time::sleep(poll.wait.min(MAX_POLL_WAIT)) => {}
                    // A follower sends nothing while its poll waits, so that it has closed the connection.
                    _closed = self.framed.next() => return Ok(()),
                }
            }
            let known = self.known.borrow_and_update();
            let reply = known.reply_after(poll.after, arrived_at);
            drop(known);
            self.send(reply).await?;
            match self.next_request(MAX_POLL_PAUSE).await? {
                Some(RelayRequest::Poll(next)) => poll = next,
                _ => return Ok(()),
            }
        }
    }

    async fn next_request(&mut self, time: Duration) -> io::Result<Option<RelayRequest>> {
        within(time, async { self.framed.next().await.transpose() }).await
    }

    async fn send(&mut self, reply: RegistryReply) -> io::Result<()> {
        within(EXCHANGE_TIMEOUT, self.framed.send(reply)).await
    }
}

/// Limits an exchange with another node in time.
///
/// # Errors
///
/// If the exchange fails, or has not ended within `limit`.
pub(crate) async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let result = timeout(limit, exchange).await;
    result.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Requests a snapshot from a node; its revision is 0 if that node knows nothing later than `after`.
///
/// # Errors
///
/// If the node does not answer in time or violates the protocol.
pub(crate) async fn request_snapshot(node: SocketAddr, after: u64) -> io::Result<Snapshot> {
    let exchange = async {
        let stream = TcpStream::connect(node).await?;
        let mut framed = Framed::new(stream, SnapshotClientCodec::default());
        framed.send(SnapshotRequest { after }).await?;
        let answer = framed.next().await.transpose()?;
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        answer.ok_or_else(ended)
    };
    within(EXCHANGE_TIMEOUT, exchange).await
}

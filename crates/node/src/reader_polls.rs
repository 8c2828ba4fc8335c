//! The task that polls the reader that this node follows.

use crate::{
    boot_clock::BootClock,
    prelude::*,
    snapshot_exchange::{EXCHANGE_TIMEOUT, within},
};
use actix_rt::task::JoinHandle;
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_wire::snapshot_codec::FollowerCodec;
use std::io;
use tokio::{net::TcpStream, time::Instant};
use tokio_util::codec::Framed;

/// Shortest time between two polls, which bounds the polls of a reader that answers without waiting.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A reply with the times of its poll.
#[derive(Debug)]
pub(crate) struct PolledReply {
    pub(crate) reply: RegistryReply,
    pub(crate) timing: PollTiming,
}

/// State of a connection without a poll.
struct Idle;

/// State of a connection whose poll has no reply yet.
struct Polling {
    sent_at: BootTime,
    /// When the reply counts as lost.
    deadline: Instant,
}

/// Connection to a reader; the type parameter is its state.
struct PollConnection<State> {
    framed: Framed<TcpStream, FollowerCodec>,
    clock: BootClock,
    state: State,
}

impl PollConnection<Idle> {
    async fn connect(reader: SocketAddr, clock: BootClock) -> io::Result<Self> {
        let stream = within(EXCHANGE_TIMEOUT, TcpStream::connect(reader)).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            framed: Framed::new(stream, FollowerCodec::default()),
            clock,
            state: Idle,
        })
    }

    async fn send(mut self, poll: RegistryPoll) -> io::Result<PollConnection<Polling>> {
        let state = Polling {
            sent_at: self.clock.now(),
            deadline: Instant::now() + poll.wait + EXCHANGE_TIMEOUT,
        };
        within(EXCHANGE_TIMEOUT, self.framed.send(poll)).await?;
        Ok(PollConnection {
            framed: self.framed,
            clock: self.clock,
            state,
        })
    }
}

impl PollConnection<Polling> {
    async fn reply(mut self) -> io::Result<(PollConnection<Idle>, PolledReply)> {
        let time_left = self
            .state
            .deadline
            .saturating_duration_since(Instant::now());
        let reply = within(time_left, async { self.framed.next().await.transpose() }).await?;
        let reply = reply.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let timing = PollTiming {
            sent_at: self.state.sent_at,
            answered_at: self.clock.now(),
        };
        let connection = PollConnection {
            framed: self.framed,
            clock: self.clock,
            state: Idle,
        };
        Ok((connection, PolledReply { reply, timing }))
    }
}

/// Polls a reader once, for a reply at once.
///
/// # Errors
///
/// If the reader does not answer in time or violates the protocol.
pub(crate) async fn poll_once(
    reader: SocketAddr,
    after: u64,
    clock: BootClock,
) -> io::Result<PolledReply> {
    let connection = PollConnection::connect(reader, clock).await?;
    let wait = Duration::ZERO;
    let polling = connection.send(RegistryPoll { after, wait }).await?;
    let (_connection, reply) = polling.reply().await?;
    Ok(reply)
}

/// Handle of the task that polls a reader. Dropping it ends the task and closes the connection.
#[derive(Debug)]
pub(crate) struct ReaderPolls {
    polls: mpsc::UnboundedSender<RegistryPoll>,
    replies: mpsc::UnboundedReceiver<io::Result<PolledReply>>,
    task: JoinHandle<()>,
}

impl ReaderPolls {
    /// Starts the task, which connects to the reader.
    pub(crate) fn start(reader: SocketAddr, clock: BootClock) -> Self {
        let (polls, polls_rx) = mpsc::unbounded_channel();
        let (replies_tx, replies) = mpsc::unbounded_channel();
        let task = actix_rt::spawn(async move {
            let ended = run(reader, clock, polls_rx, &replies_tx).await;
            // The receiver ends only with the handle.
            let _ended = replies_tx.send(Err(ended));
        });
        Self {
            polls,
            replies,
            task,
        }
    }

    /// Sends a poll. It must be the first one, or the reply to the one before must have been received.
    pub(crate) fn send(&self, poll: RegistryPoll) {
        // If the task has ended, its fault is in the replies.
        let _ended = self.polls.send(poll);
    }

    /// Waits for the reply to the last poll.
    ///
    /// # Errors
    ///
    /// If the connection failed, or the reader did not answer in time or violated the protocol.
    pub(crate) async fn next_reply(&mut self) -> io::Result<PolledReply> {
        let reply = self.replies.recv().await;
        reply.unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::UnexpectedEof)))
    }
}

impl Drop for ReaderPolls {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Polls the reader until the connection fails; returns the fault.
async fn run(
    reader: SocketAddr,
    clock: BootClock,
    mut polls: mpsc::UnboundedReceiver<RegistryPoll>,
    replies: &mpsc::UnboundedSender<io::Result<PolledReply>>,
) -> io::Error {
    let mut connection = match PollConnection::connect(reader, clock).await {
        Ok(connection) => connection,
        Err(fault) => return fault,
    };
    let mut earliest = Instant::now();
    while let Some(poll) = polls.recv().await {
        tokio::time::sleep_until(earliest).await;
        earliest = Instant::now() + MIN_POLL_INTERVAL;
        let exchange = async { connection.send(poll).await?.reply().await };
        let reply = match exchange.await {
            Ok((idle, reply)) => {
                connection = idle;
                reply
            }
            Err(fault) => return fault,
        };
        // The receiver ends only with the handle.
        let _ended = replies.send(Ok(reply));
    }
    io::Error::from(io::ErrorKind::NotConnected)
}

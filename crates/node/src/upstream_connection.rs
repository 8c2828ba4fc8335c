//! One connection to a registered upstream, with one request at a time. It is reused only after a reply whose end is
//! certain and which no further bytes follow.

use crate::{
    dialect::Dialect,
    forward_task::{ForwardMessage, ForwardSender},
    http_stream::HttpStream,
    prelude::*,
    upstream_reply::{CompleteReply, GrowthReporter, ReplyReader},
};
use actix_http::{
    ServiceConfig,
    body::BodySize,
    h1::{ClientCodec, Message},
};
use bytes::BytesMut;
use slotmap::new_key_type;
use tokio::{net::TcpStream, time::Instant};
use tokio_util::codec::Encoder as _;

new_key_type! {
    /// A connection of one pool.
    pub struct UpstreamConnectionKey;
}

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a cancelled attempt may still be answered before its connection is closed. Most connections survive
/// this way, and an upstream that takes longer notices the close and stops its work.
const CANCEL_GRACE: Duration = Duration::from_millis(150);

/// Message from the pool to a connection task.
#[derive(Debug)]
pub(crate) enum ConnectionCommand {
    /// Send a request and read its reply.
    Run(ForwardJob),
    /// The reply to this attempt is no longer wanted.
    Cancel(AttemptKey),
    /// Stop reading the reply to this attempt at once, because replies hold too much memory.
    EndReply(AttemptKey),
}

/// One attempt at a request.
#[derive(Clone, Debug)]
pub(crate) struct ForwardJob {
    pub(crate) attempt: AttemptKey,
    pub(crate) request: Arc<ForwardRequest>,
    pub(crate) identity: CallerIdentity,
    pub(crate) deadline: Timestamp,
}

/// What a connection task needs from its pool and its node.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionParts<D> {
    pub(crate) key: UpstreamConnectionKey,
    pub(crate) upstream: UpstreamKey,
    pub(crate) address: SocketAddr,
    pub(crate) instance: Arc<str>,
    pub(crate) dialect: D,
    pub(crate) forward: ForwardSender,
    pub(crate) clock: Clock,
    pub(crate) config: ServiceConfig,
}

/// Message from a connection task to the forward task, after an attempt or at the end of an idle connection.
#[derive(Debug)]
pub(crate) struct ConnectionReport {
    pub(crate) upstream: UpstreamKey,
    pub(crate) connection: UpstreamConnectionKey,
    /// The attempt that ended; `None` if the connection closed while idle.
    pub(crate) end: Option<AttemptEnd>,
    /// Whether the connection can take another request.
    pub(crate) reusable: bool,
    /// Idle time after which the upstream closes the connection, from its `Keep-Alive` header.
    pub(crate) keep_alive: Option<Duration>,
}

struct UpstreamConnection<D> {
    parts: ConnectionParts<D>,
    rx: mpsc::UnboundedReceiver<ConnectionCommand>,
    stream: Option<HttpStream>,
}

/// Result of one request and reply.
struct ExchangeResult {
    outcome: ForwardOutcome,
    report: UpstreamReport,
    reusable: bool,
    keep_alive: Option<Duration>,
}

impl ExchangeResult {
    fn failed(outcome: ForwardOutcome) -> Self {
        Self {
            outcome,
            report: UpstreamReport::default(),
            reusable: false,
            keep_alive: None,
        }
    }
}

/// Runs a connection task. The connection opens with the first job; the task ends with the connection or when the pool
/// drops the sender.
pub(crate) async fn run<D: Dialect>(
    parts: ConnectionParts<D>,
    rx: mpsc::UnboundedReceiver<ConnectionCommand>,
) {
    let mut connection = UpstreamConnection {
        parts,
        rx,
        stream: None,
    };
    while let Some(job) = connection.next_job().await {
        let mut exchange = connection.exchange(&job).await;
        exchange.reusable &= !connection.rx.is_closed();
        let reusable = exchange.reusable;
        connection.report_exchange(job.attempt, exchange);
        if !reusable {
            return;
        }
    }
    connection.send_report(None, false, None);
}

impl<D: Dialect> UpstreamConnection<D> {
    /// Waits for the next job; `None` if the connection or the channel closes first.
    async fn next_job(&mut self) -> Option<ForwardJob> {
        loop {
            let command = match &mut self.stream {
                None => self.rx.recv().await,
                Some(stream) => tokio::select! {
                    biased;
                    command = self.rx.recv() => command,
                    // The upstream closed the connection or sent bytes without a request. The channel takes no more
                    // commands; a job that is already queued gets a new connection.
                    _filled = stream.fill() => {
                        self.stream = None;
                        self.rx.close();
                        continue;
                    }
                },
            };
            match command? {
                ConnectionCommand::Run(job) => return Some(job),
                // The attempt ended before the command arrived.
                ConnectionCommand::Cancel(_) | ConnectionCommand::EndReply(_) => {}
            }
        }
    }

    async fn exchange(&mut self, job: &ForwardJob) -> ExchangeResult {
        let deadline = self.parts.clock.instant(job.deadline);
        let Some(mut stream) = self.usable_stream(deadline).await else {
            return ExchangeResult::failed(ForwardOutcome::NotSent);
        };
        let mut codec = ClientCodec::new(self.parts.config.clone());
        if !self.encode_request(job, &mut codec, &mut stream) {
            return ExchangeResult::failed(ForwardOutcome::NotSent);
        }
        let outcome = self.await_reply(job, deadline, &mut stream, codec).await;
        match outcome {
            Ok(reply) => {
                let keep_alive = reply.keep_alive();
                let reusable = reply.reusable && stream.input.is_empty();
                let (outcome, report) =
                    self.parts
                        .dialect
                        .parse_upstream_reply(&job.request, &reply.head, reply.body);
                let reusable = reusable && outcome != ForwardOutcome::Invalid;
                if reusable {
                    stream.release_buffers();
                    self.stream = Some(stream);
                }
                ExchangeResult {
                    outcome,
                    report,
                    reusable,
                    keep_alive,
                }
            }
            Err(outcome) => ExchangeResult::failed(outcome),
        }
    }

    /// Reads the reply until the deadline. Cancellation shortens the deadline to [`CANCEL_GRACE`] from then on.
    async fn await_reply(
        &mut self,
        job: &ForwardJob,
        deadline: Instant,
        stream: &mut HttpStream,
        codec: ClientCodec,
    ) -> Result<CompleteReply, ForwardOutcome> {
        let mut until = deadline;
        let (mut cancelled, mut commands_ended) = (false, false);
        let reporter = GrowthReporter {
            forward: self.parts.forward.clone(),
            upstream: self.parts.upstream,
            attempt: job.attempt,
        };
        let (dialect, config) = (&self.parts.dialect, &self.parts.config);
        let reply = ReplyReader::new(stream, reporter).exchange(
            codec,
            || ClientCodec::new(config.clone()),
            // The codec of a further reply would expect a body in one to HEAD.
            |head| job.request.method == "HEAD" || dialect.is_reply_to(&job.request, head),
        );
        tokio::pin!(reply);
        loop {
            tokio::select! {
                biased;
                reply = &mut reply => break reply,
                command = self.rx.recv(), if !commands_ended => match command {
                    Some(ConnectionCommand::Cancel(attempt) | ConnectionCommand::EndReply(attempt))
                        if attempt != job.attempt => {}
                    Some(ConnectionCommand::EndReply(_)) => break Err(ForwardOutcome::Invalid),
                    // The pool drops a busy connection only when its upstream is removed.
                    ended_or_cancelled => {
                        commands_ended = ended_or_cancelled.is_none();
                        cancelled = true;
                        until = until.min(Instant::now() + CANCEL_GRACE);
                    }
                },
                () = tokio::time::sleep_until(until) => break Err(if cancelled {
                    ForwardOutcome::Cancelled
                } else {
                    ForwardOutcome::TimedOut
                }),
            }
        }
    }

    /// The open connection if it can be reused, or else a new one. `None` if it can't be opened in time.
    async fn usable_stream(&mut self, deadline: Instant) -> Option<HttpStream> {
        if let Some(mut stream) = self.stream.take()
            && stream.is_reusable()
        {
            return Some(stream);
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opened = tokio::time::timeout_at(until, TcpStream::connect(self.parts.address)).await;
        Some(HttpStream::new(opened.ok()?.ok()?))
    }

    fn encode_request(
        &self,
        job: &ForwardJob,
        codec: &mut ClientCodec,
        stream: &mut HttpStream,
    ) -> bool {
        let time_left = job.deadline.since(self.parts.clock.now());
        let head = self.parts.dialect.encode_upstream_request(
            &job.request,
            &job.identity,
            &self.parts.instance,
            time_left,
        );
        let Some(head) = head else {
            return false;
        };
        let body = &job.request.body;
        let size = if body.is_empty() {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let out = &mut stream.output;
        let mut encoded = codec.encode(Message::Item((head.into(), size)), out);
        remove_date(out);
        if !body.is_empty() {
            encoded = encoded
                .and_then(|()| codec.encode(Message::Chunk(Some(body.clone())), out))
                .and_then(|()| codec.encode(Message::Chunk(None), out));
        }
        encoded.is_ok()
    }

    fn report_exchange(&self, attempt: AttemptKey, exchange: ExchangeResult) {
        let end = AttemptEnd {
            attempt,
            outcome: exchange.outcome,
            report: exchange.report,
        };
        self.send_report(Some(end), exchange.reusable, exchange.keep_alive);
    }

    fn send_report(&self, end: Option<AttemptEnd>, reusable: bool, keep_alive: Option<Duration>) {
        let report = ConnectionReport {
            upstream: self.parts.upstream,
            connection: self.parts.key,
            end,
            reusable,
            keep_alive,
        };
        // The receiver ends only with the process.
        let _ended = self.parts.forward.send(ForwardMessage::Connection(report));
    }
}

/// Removes the date that the codec adds to each head. Requests need none, and a search has one request for each shard.
fn remove_date(output: &mut BytesMut) {
    const FIELD: &[u8] = b"\r\ndate: ";
    let head_end = find(output, b"\r\n\r\n").unwrap_or(output.len());
    let Some(start) = find(&output[..head_end], FIELD) else {
        return;
    };
    let value = start + FIELD.len();
    let end = find(&output[value..], b"\r\n").map_or(output.len(), |length| value + length);
    let rest = output.split_off(end);
    output.truncate(start);
    output.unsplit(rest);
}

/// Position of the first occurrence of `pattern`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

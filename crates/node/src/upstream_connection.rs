//! One connection to a registered upstream, with one request at a time. It is reused only after a reply whose end is
//! certain and which no further bytes follow.

use crate::{
    dialect::Dialect,
    forward_task::{ForwardMessage, ForwardSender},
    http_stream::HttpStream,
    prelude::*,
};
use actix_http::{
    ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header,
};
use bytes::BytesMut;
use slotmap::new_key_type;
use tokio::{net::TcpStream, time::Instant};
use tokio_util::codec::{Decoder as _, Encoder as _};

new_key_type! {
    /// A connection of one pool.
    pub struct UpstreamConnectionKey;
}

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a cancelled attempt may still be answered before its connection is closed. Most connections survive
/// this way, and an upstream that takes longer notices the close and stops its work.
const CANCEL_GRACE: Duration = Duration::from_millis(150);

/// Longest body of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Longest head of a reply, in bytes.
const MAX_REPLY_HEAD_BYTES: usize = 32 * 1024;

/// Message from the pool to a connection task.
#[derive(Debug)]
pub(crate) enum ConnectionCommand {
    /// Send a request and read its reply.
    Run(ForwardJob),
    /// The reply to this attempt is no longer wanted.
    Cancel(AttemptKey),
}

/// One attempt at a request.
#[derive(Clone, Debug)]
pub(crate) struct ForwardJob {
    pub(crate) attempt: AttemptKey,
    pub(crate) request: Arc<ForwardRequest>,
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
                // The attempt ended before its cancellation arrived.
                ConnectionCommand::Cancel(_) => {}
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
    ) -> Result<UpstreamReply, ForwardOutcome> {
        let mut until = deadline;
        let mut cancelled = false;
        let reply = read_reply(stream, codec);
        tokio::pin!(reply);
        loop {
            tokio::select! {
                biased;
                reply = &mut reply => break reply,
                command = self.rx.recv(), if !cancelled => match command {
                    Some(ConnectionCommand::Cancel(attempt)) if attempt != job.attempt => {}
                    // The pool drops a busy connection only when its upstream is removed.
                    Some(ConnectionCommand::Cancel(_) | ConnectionCommand::Run(_)) | None => {
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

/// A complete reply, and whether the connection can be reused after it.
struct UpstreamReply {
    head: ResponseHead,
    body: Bytes,
    reusable: bool,
}

impl UpstreamReply {
    /// Value of `timeout` in the `Keep-Alive` header.
    fn keep_alive(&self) -> Option<Duration> {
        let value = self.head.headers.get("keep-alive")?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
        seconds.parse().ok().map(Duration::from_secs)
    }
}

/// Sends the encoded request and reads its reply.
async fn read_reply(
    stream: &mut HttpStream,
    mut codec: ClientCodec,
) -> Result<UpstreamReply, ForwardOutcome> {
    let Ok(mut reusable) = stream.flush_or_fill().await else {
        return Err(ForwardOutcome::ConnectionLost);
    };
    let head = loop {
        match codec.decode(&mut stream.input) {
            Ok(Some(head)) if head.status.is_informational() => {}
            Ok(Some(head)) => break head,
            Ok(None) if stream.input.len() > MAX_REPLY_HEAD_BYTES => {
                return Err(ForwardOutcome::Invalid);
            }
            Ok(None) => read_more(stream).await?,
            Err(_) => return Err(ForwardOutcome::Invalid),
        }
    };
    reusable &= codec.keep_alive();
    let ambiguous = head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH);
    if ambiguous {
        return Err(ForwardOutcome::Invalid);
    }
    let body = if codec.message_type() != MessageType::None {
        read_framed(stream, codec.into_payload_codec()).await?
    } else if is_bodiless(&head) {
        Bytes::new()
    } else {
        // Without a length the body ends with the connection.
        reusable = false;
        read_to_end(stream).await?
    };
    Ok(UpstreamReply {
        head,
        body,
        reusable,
    })
}

fn is_bodiless(head: &ResponseHead) -> bool {
    let empty = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    empty || head.headers.contains_key(header::CONTENT_LENGTH)
}

async fn read_more(stream: &mut HttpStream) -> Result<(), ForwardOutcome> {
    match stream.fill().await {
        Ok(0) | Err(_) => Err(ForwardOutcome::ConnectionLost),
        Ok(_) => Ok(()),
    }
}

async fn read_framed(
    stream: &mut HttpStream,
    mut codec: ClientPayloadCodec,
) -> Result<Bytes, ForwardOutcome> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(&mut stream.input) {
            Ok(Some(Some(chunk))) if body.len() + chunk.len() > MAX_REPLY_BYTES => {
                return Err(ForwardOutcome::Invalid);
            }
            Ok(Some(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(None)) => return Ok(body.freeze()),
            Ok(None) => read_more(stream).await?,
            Err(_) => return Err(ForwardOutcome::Invalid),
        }
    }
}

async fn read_to_end(stream: &mut HttpStream) -> Result<Bytes, ForwardOutcome> {
    loop {
        if stream.input.len() > MAX_REPLY_BYTES {
            return Err(ForwardOutcome::Invalid);
        }
        match stream.fill().await {
            Ok(0) => return Ok(stream.input.split().freeze()),
            Ok(_) => {}
            // After a reset the body may be incomplete.
            Err(_) => return Err(ForwardOutcome::ConnectionLost),
        }
    }
}

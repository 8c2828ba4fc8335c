//! Serves one caller connection: strict HTTP/1.1, one request at a time.

use crate::{
    dialect::{Dialect, HttpAnswer},
    forward_task::{CallerMessage, ForwardMessage, ForwardSender},
    http_stream::HttpStream,
    prelude::*,
};
use actix_http::{
    ConnectionType, Request, Response, ServiceConfig, StatusCode,
    body::BodySize,
    error::ParseError,
    h1::{Codec, Message},
};
use bytes::BytesMut;
use tokio::{net::TcpStream, time::Instant};
use tokio_util::codec::{Decoder as _, Encoder as _};

/// Longest time for writing an answer; a caller that does not read it within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that an idle connection has at the end of a drain to deliver a request that is on its way.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(20);

/// Interim response to a request with `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a caller connection needs from its node.
#[derive(Clone, Debug)]
pub(crate) struct CallerParts<D> {
    pub(crate) dialect: D,
    pub(crate) forward: ForwardSender,
    /// Size and time limits for requests; they follow the configuration.
    pub(crate) limits: watch::Receiver<CallerLimits>,
    pub(crate) phase: watch::Receiver<ListenerPhase>,
    pub(crate) clock: Clock,
    pub(crate) config: ServiceConfig,
    pub(crate) log: Logger,
}

/// How caller connections are treated while the node serves or shuts down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ListenerPhase {
    /// Connections stay open between requests.
    #[default]
    Open,
    /// Each connection closes after its next answer.
    Closing(ShutdownSchedule),
    /// Idle connections close at once, the others after their answer.
    Ending(ShutdownSchedule),
}

impl ListenerPhase {
    /// Schedule of the shutdown, if it has begun.
    fn shutdown(self) -> Option<ShutdownSchedule> {
        match self {
            Self::Open => None,
            Self::Closing(schedule) | Self::Ending(schedule) => Some(schedule),
        }
    }
}

struct CallerConnection<D> {
    parts: CallerParts<D>,
    stream: HttpStream,
    codec: Codec,
    tx: mpsc::UnboundedSender<CallerMessage>,
    rx: mpsc::UnboundedReceiver<CallerMessage>,
}

/// Why no request was read.
enum ReadError {
    /// The caller closed the connection, it was idle for too long, or the node is stopping.
    Closed,
    /// The request is malformed, too large or too slow: the caller gets this status, and its connection is closed.
    Rejected(StatusCode),
    /// The node exits before the request could be answered: the caller is told that it has not run.
    Stopping(ShutdownSchedule),
}

/// Serves a caller connection until either side closes it.
pub(crate) async fn run<D: Dialect>(stream: TcpStream, parts: CallerParts<D>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let codec = Codec::new(parts.config.clone());
    let mut connection = CallerConnection {
        parts,
        stream: HttpStream::new(stream),
        codec,
        tx,
        rx,
    };
    while connection.serve_request().await {
        connection.stream.release_buffers();
    }
}

impl<D: Dialect> CallerConnection<D> {
    /// Reads one request and answers it. Returns whether the connection stays open.
    async fn serve_request(&mut self) -> bool {
        let (head, body) = match self.read_request().await {
            Ok(read) => read,
            Err(ReadError::Closed) => return false,
            Err(ReadError::Rejected(status)) => {
                debug!(self.parts.log, "request_rejected"; "status" => status.as_u16());
                return self.write_answer(HttpAnswer::empty(status), true).await;
            }
            Err(ReadError::Stopping(schedule)) => return self.refuse_unread(schedule).await,
        };
        let request = match self.parts.dialect.parse_request(head.head(), body) {
            Ok(request) => Arc::new(request),
            Err(fault) => {
                debug!(self.parts.log, "request_rejected"; "status" => fault.status.as_u16(), "reason" => fault.reason);
                return self
                    .write_answer(HttpAnswer::empty(fault.status), false)
                    .await;
            }
        };
        let Some(answer) = self.forward(request).await else {
            return false;
        };
        let answer = self.parts.dialect.encode_answer(answer);
        self.write_answer(answer, false).await
    }

    /// Refuses a request that has not arrived completely in time, because the node exits.
    async fn refuse_unread(&mut self, schedule: ShutdownSchedule) -> bool {
        info!(self.parts.log, "refused_unread");
        let retry_after = schedule.retry_after(self.parts.clock.now());
        let refusal = ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after });
        let answer = self.parts.dialect.encode_answer(refusal);
        self.write_answer(answer, true).await
    }

    async fn read_request(&mut self) -> Result<(Request, Bytes), ReadError> {
        let limits = *self.parts.limits.borrow();
        let mut deadline = None;
        let (req, head_bytes) = loop {
            let before = self.stream.input.len();
            match self.codec.decode(&mut self.stream.input) {
                Ok(Some(Message::Item(req))) => break (req, before - self.stream.input.len()),
                Ok(Some(Message::Chunk(_))) => {
                    return Err(ReadError::Rejected(StatusCode::BAD_REQUEST));
                }
                Ok(None) if before > limits.max_head_bytes => {
                    return Err(ReadError::Rejected(
                        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    ));
                }
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    return Err(ReadError::Rejected(
                        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    ));
                }
                Err(_) => return Err(ReadError::Rejected(StatusCode::BAD_REQUEST)),
            }
            if before == 0 {
                self.await_first_byte(limits.idle_timeout).await?;
                continue;
            }
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + limits.head_timeout);
            self.fill_until(deadline).await?;
        };
        if head_bytes > limits.max_head_bytes {
            return Err(ReadError::Rejected(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ));
        }
        let body = self.read_body(&req, limits).await?;
        Ok((req, body))
    }

    /// Waits for the first byte of a request. Fails once the connection is idle for too long or the node stops.
    async fn await_first_byte(&mut self, idle_timeout: Duration) -> Result<(), ReadError> {
        loop {
            let ending = matches!(*self.parts.phase.borrow(), ListenerPhase::Ending(_));
            let idle_timeout = if ending {
                LAST_REQUEST_GRACE
            } else {
                idle_timeout
            };
            tokio::select! {
                filled = self.stream.fill() => return match filled {
                    Ok(0) | Err(_) => Err(ReadError::Closed),
                    Ok(_) => Ok(()),
                },
                changed = self.parts.phase.changed() => if changed.is_err() {
                    return Err(ReadError::Closed);
                },
                () = tokio::time::sleep(idle_timeout) => return Err(ReadError::Closed),
            }
        }
    }

    async fn read_body(&mut self, req: &Request, limits: CallerLimits) -> Result<Bytes, ReadError> {
        if self.codec.message_type() == actix_http::h1::MessageType::None {
            return Ok(Bytes::new());
        }
        if req.head().expect() {
            self.stream.output.extend_from_slice(CONTINUE_RESPONSE);
            if self.stream.flush().await.is_err() {
                return Err(ReadError::Closed);
            }
        }
        let deadline = Instant::now() + limits.head_timeout;
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.stream.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    if body.len() + chunk.len() > limits.max_body_bytes {
                        return Err(ReadError::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(None) => self.fill_until(deadline).await?,
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(ReadError::Rejected(StatusCode::BAD_REQUEST));
                }
            }
        }
    }

    async fn fill_until(&mut self, deadline: Instant) -> Result<(), ReadError> {
        loop {
            let shutdown = self.parts.phase.borrow_and_update().shutdown();
            let read_until =
                shutdown.map(|schedule| self.parts.clock.instant(schedule.answer_by()));
            let now = Instant::now();
            if let Some(schedule) = shutdown.filter(|_| read_until <= Some(now)) {
                return Err(ReadError::Stopping(schedule));
            }
            let until = read_until.map_or(deadline, |at| at.min(deadline));
            tokio::select! {
                biased;
                filled = self.stream.fill() => return match filled {
                    Ok(0) | Err(_) => Err(ReadError::Closed),
                    Ok(_) => Ok(()),
                },
                changed = self.parts.phase.changed() => if changed.is_err() {
                    return Err(ReadError::Closed);
                },
                // The request is incomplete and has not been forwarded.
                () = tokio::time::sleep_until(until) => if until == deadline {
                    return Err(ReadError::Rejected(StatusCode::REQUEST_TIMEOUT));
                },
            }
        }
    }

    /// Sends a request to the forward task and waits for the answer; `None` if the caller disconnects first.
    async fn forward(&mut self, request: Arc<ForwardRequest>) -> Option<ForwardAnswer> {
        let reply = self.tx.clone();
        self.parts
            .forward
            .send(ForwardMessage::Request { request, reply })
            .ok()?;
        let mut caller = None;
        loop {
            let may_fill = self.stream.input.len() < self.parts.limits.borrow().max_body_bytes;
            tokio::select! {
                biased;
                message = self.rx.recv() => match message? {
                    CallerMessage::Accepted(key) => caller = Some(key),
                    CallerMessage::Answer(answer) => return Some(answer),
                },
                filled = self.stream.fill(), if may_fill => if matches!(filled, Ok(0) | Err(_)) {
                    // The forward task knows the request only by its key: wait for the key before reporting the
                    // disconnect.
                    while caller.is_none() {
                        match self.rx.recv().await? {
                            CallerMessage::Accepted(key) => caller = Some(key),
                            CallerMessage::Answer(_) => return None,
                        }
                    }
                    let gone = ForwardEvent::CallerGone(caller?);
                    self.parts.forward.send(ForwardMessage::Event(gone)).ok()?;
                    return None;
                },
            }
        }
    }

    /// Whether the caller has sent more than it has been answered.
    fn has_further_input(&self) -> bool {
        let mut input = self.stream.input.iter();
        input.any(|byte| !byte.is_ascii_whitespace())
    }

    /// Writes an answer, and asks the caller to close the connection if `close` is set or the node is shutting down and
    /// has read nothing of a further request. Returns whether the connection stays open.
    async fn write_answer(&mut self, answer: HttpAnswer, close: bool) -> bool {
        let stopping = self.parts.phase.borrow().shutdown().is_some();
        let closing = close || (stopping && !self.has_further_input());
        let mut res = Response::with_body(answer.status, ());
        *res.headers_mut() = answer.headers;
        if closing {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = BodySize::Sized(answer.body.len() as u64);
        let out = &mut self.stream.output;
        let mut encoded = self.codec.encode(Message::Item((res, size)), out);
        if !answer.body.is_empty() {
            encoded =
                encoded.and_then(|()| self.codec.encode(Message::Chunk(Some(answer.body)), out));
        }
        encoded = encoded.and_then(|()| self.codec.encode(Message::Chunk(None), out));
        if let Err(fault) = encoded {
            warn!(self.parts.log, "answer_not_encoded"; "fault" => %fault);
            return false;
        }
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.flush()).await;
        matches!(written, Ok(Ok(()))) && !closing && self.codec.keep_alive()
    }
}

//! Reads one reply of an upstream, within limits on what the upstream may send.

use crate::{
    forward_task::{ForwardMessage, ForwardSender},
    http_stream::HttpStream,
    prelude::*,
    reply_memory::{REPORT_STEP_BYTES, ReplySize},
};
use actix_http::{
    ResponseHead, StatusCode,
    h1::{ClientCodec, ClientPayloadCodec, MessageType},
    header,
};
use bytes::BytesMut;
use tokio_util::codec::Decoder as _;

/// Longest body of a reply, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Most bytes of a reply on the wire, with interim replies and the overhead of chunks.
const MAX_RECEIVED_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Most replies to earlier requests that are skipped on one connection.
const MAX_STALE_REPLIES: u32 = 2;

/// Most interim replies (status 1xx) before a final one.
const MAX_INTERIM_REPLIES: u32 = 8;

/// A complete reply, and whether the connection can be reused after it.
pub(crate) struct CompleteReply {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    pub(crate) reusable: bool,
}

impl CompleteReply {
    /// Value of `timeout` in the `Keep-Alive` header.
    pub(crate) fn keep_alive(&self) -> Option<Duration> {
        let value = self.head.headers.get("keep-alive")?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
        seconds.parse().ok().map(Duration::from_secs)
    }
}

/// Reports the growth of a reply to the forward task, which bounds what all replies hold together.
#[derive(Debug)]
pub(crate) struct GrowthReporter {
    pub(crate) forward: ForwardSender,
    pub(crate) upstream: UpstreamKey,
    pub(crate) attempt: AttemptKey,
}

/// Reads one reply from a stream.
pub(crate) struct ReplyReader<'a> {
    stream: &'a mut HttpStream,
    reporter: GrowthReporter,
    received_bytes: usize,
    reported_bytes: usize,
}

impl<'a> ReplyReader<'a> {
    pub(crate) fn new(stream: &'a mut HttpStream, reporter: GrowthReporter) -> Self {
        Self {
            stream,
            reporter,
            received_bytes: 0,
            reported_bytes: 0,
        }
    }

    /// Sends the encoded request and reads its reply. A second copy of an earlier reply may arrive first: complete
    /// replies that `is_own` rejects are skipped. The connection is not reused after one.
    pub(crate) async fn exchange(
        mut self,
        codec: ClientCodec,
        new_codec: impl Fn() -> ClientCodec,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<CompleteReply, ForwardOutcome> {
        let Ok(all_written) = self.stream.flush_or_fill().await else {
            return Err(ForwardOutcome::ConnectionLost);
        };
        let mut reply = self.read_reply(codec).await?;
        let mut stale_replies = 0;
        while !is_own(&reply.head) {
            stale_replies += 1;
            if !all_written || !reply.reusable || stale_replies > MAX_STALE_REPLIES {
                return Err(ForwardOutcome::Invalid);
            }
            reply = self.read_reply(new_codec()).await?;
        }
        reply.reusable &= all_written && stale_replies == 0;
        Ok(reply)
    }

    async fn read_reply(
        &mut self,
        mut codec: ClientCodec,
    ) -> Result<CompleteReply, ForwardOutcome> {
        let head = self.read_head(&mut codec).await?;
        let mut reusable = codec.keep_alive();
        let ambiguous = head.headers.contains_key(header::TRANSFER_ENCODING)
            && head.headers.contains_key(header::CONTENT_LENGTH);
        if ambiguous {
            return Err(ForwardOutcome::Invalid);
        }
        let body = if codec.message_type() != MessageType::None {
            self.read_framed(codec.into_payload_codec()).await?
        } else if is_bodiless(&head) {
            Bytes::new()
        } else {
            // Without a length the body ends with the connection.
            reusable = false;
            self.read_to_end().await?
        };
        Ok(CompleteReply {
            head,
            body,
            reusable,
        })
    }

    /// Reads the head of the final reply; interim ones are skipped.
    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, ForwardOutcome> {
        let mut interim_replies = 0;
        loop {
            match codec.decode(&mut self.stream.input) {
                Ok(Some(head)) if head.status.is_informational() => {
                    interim_replies += 1;
                    if interim_replies > MAX_INTERIM_REPLIES {
                        return Err(ForwardOutcome::Invalid);
                    }
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) if self.stream.input.len() > MAX_HEAD_BYTES => {
                    return Err(ForwardOutcome::Invalid);
                }
                Ok(None) => self.read_more(0).await?,
                Err(_) => return Err(ForwardOutcome::Invalid),
            }
        }
    }

    async fn read_framed(
        &mut self,
        mut codec: ClientPayloadCodec,
    ) -> Result<Bytes, ForwardOutcome> {
        let mut body = BytesMut::new();
        loop {
            match codec.decode(&mut self.stream.input) {
                Ok(Some(Some(chunk))) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                    return Err(ForwardOutcome::Invalid);
                }
                Ok(Some(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Some(None)) => return Ok(body.freeze()),
                Ok(None) => self.read_more(body.len()).await?,
                Err(_) => return Err(ForwardOutcome::Invalid),
            }
        }
    }

    async fn read_to_end(&mut self) -> Result<Bytes, ForwardOutcome> {
        loop {
            if self.stream.input.len() > MAX_BODY_BYTES {
                return Err(ForwardOutcome::Invalid);
            }
            match self.stream.fill().await {
                Ok(0) => return Ok(self.stream.input.split().freeze()),
                Ok(read) => self.count(read, 0)?,
                // After a reset the body may be incomplete.
                Err(_) => return Err(ForwardOutcome::ConnectionLost),
            }
        }
    }

    /// Reads into the input buffer. `body_bytes` is the size of the body so far.
    async fn read_more(&mut self, body_bytes: usize) -> Result<(), ForwardOutcome> {
        match self.stream.fill().await {
            Ok(0) | Err(_) => Err(ForwardOutcome::ConnectionLost),
            Ok(read) => self.count(read, body_bytes),
        }
    }

    /// Counts received bytes, and reports the size of the reply if it has grown by a step.
    fn count(&mut self, read: usize, body_bytes: usize) -> Result<(), ForwardOutcome> {
        self.received_bytes += read;
        if self.received_bytes > MAX_RECEIVED_BYTES {
            return Err(ForwardOutcome::Invalid);
        }
        let bytes = body_bytes + self.stream.input.len();
        if bytes >= self.reported_bytes + REPORT_STEP_BYTES {
            self.reported_bytes = bytes;
            let GrowthReporter {
                forward,
                upstream,
                attempt,
            } = &self.reporter;
            let upstream = *upstream;
            // The receiver ends only with the process.
            let _ended = forward.send(ForwardMessage::ReplyGrew {
                attempt: *attempt,
                size: ReplySize { upstream, bytes },
            });
        }
        Ok(())
    }
}

fn is_bodiless(head: &ResponseHead) -> bool {
    let empty = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    empty || head.headers.contains_key(header::CONTENT_LENGTH)
}

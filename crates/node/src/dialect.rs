//! Translation between HTTP/1.1 messages and the request and answer types of the forwarder.

use crate::prelude::*;
use actix_http::{RequestHead, ResponseHead, StatusCode, header::HeaderMap};

/// The HTTP messages of one platform's callers and upstreams. An implementation only translates; it makes no decisions.
pub trait Dialect: Clone + 'static {
    /// Parses a caller's request.
    ///
    /// # Errors
    ///
    /// If the request lacks something that the platform requires.
    fn parse_request(
        &self,
        head: &RequestHead,
        body: Bytes,
    ) -> Result<ForwardRequest, RequestError>;

    /// Encodes the answer for a caller.
    fn encode_answer(&self, answer: ForwardAnswer) -> HttpAnswer;

    /// Encodes the head of a request on behalf of `identity` to the upstream `instance`, which has `time_left` to reply.
    /// `None` if the request can't be encoded; it is then not sent.
    fn encode_upstream_request(
        &self,
        request: &ForwardRequest,
        identity: &CallerIdentity,
        instance: &str,
        time_left: Duration,
    ) -> Option<RequestHead>;

    /// Whether a reply may be the one to this request. One that names another request is a second copy of an earlier
    /// reply on the connection.
    fn is_reply_to(&self, request: &ForwardRequest, head: &ResponseHead) -> bool;

    /// Parses an upstream's complete reply to a request: its outcome and what the upstream says of itself.
    fn parse_upstream_reply(
        &self,
        request: &ForwardRequest,
        head: &ResponseHead,
        body: Bytes,
    ) -> (ForwardOutcome, UpstreamReport);
}

/// Why a caller's request was rejected before it was forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Status of the answer to the caller.
    pub status: StatusCode,
    /// Reason for the log.
    pub reason: &'static str,
}

/// An HTTP answer for a caller, with its whole body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code of the answer.
    pub status: StatusCode,
    /// Header fields, without those for framing and connection handling, which the connection adds.
    pub headers: HeaderMap,
    /// Body; may be empty.
    pub body: Bytes,
}

impl HttpAnswer {
    /// An answer that consists of a status only.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

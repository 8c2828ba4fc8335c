//! Translation between HTTP messages and the types of the decisions.

use crate::prelude::*;
use actix_http::{RequestHead, ResponseHead, StatusCode, header::HeaderMap};

/// What callers and upstreams of one platform speak over HTTP/1.1. It translates and decides nothing.
pub trait Dialect: Clone + 'static {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// The request lacks something that the platform's callers always send.
    fn parse_request(
        &self,
        head: &RequestHead,
        body: Bytes,
    ) -> Result<ForwardRequest, RequestError>;

    /// Writes the answer to a caller.
    fn encode_answer(&self, answer: ForwardAnswer) -> HttpAnswer;

    /// Writes the head of a request to an upstream, which must be run by `instance` and within `time_left`.
    fn encode_upstream_request(
        &self,
        request: &ForwardRequest,
        instance: &str,
        time_left: Duration,
    ) -> Option<RequestHead>;

    /// Reads a complete reply of an upstream to a request.
    fn parse_upstream_reply(
        &self,
        request: &ForwardRequest,
        head: &ResponseHead,
        body: Bytes,
    ) -> (ForwardOutcome, Option<ReportedLoad>);
}

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Status that tells the caller.
    pub status: StatusCode,
    /// What is wrong, for logs.
    pub reason: &'static str,
}

/// An answer with a complete body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

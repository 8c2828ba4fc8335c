//! Token of the administrators, which protects pages that show more than metrics.

use crate::prelude::*;
use actix_http::StatusCode;
use serde_json::json;

/// Shortest administrators' token that is accepted, in bytes.
pub const MIN_ADMIN_TOKEN_BYTES: usize = 16;

/// Digest of the administrators' token; without one, no request is accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdminToken(Option<Digest>);

impl AdminToken {
    /// Accepts requests with this token.
    pub fn for_token(token: Option<&str>) -> Self {
        Self(token.map(|token| Digest::of(token.as_bytes())))
    }

    /// Whether a token is set.
    pub fn is_set(&self) -> bool {
        self.0.is_some()
    }

    /// Checks the bearer token. Comparing digests makes the time independent of the token's length and content.
    pub(crate) fn accepts(&self, req: &HttpRequest) -> bool {
        let given = Digest::of(req.bearer_token().as_bytes());
        self.0
            .is_some_and(|token| token.is_equal_in_constant_time(&given))
    }
}

/// Refusal of a request without the token.
pub(crate) fn unauthorized() -> HttpReply {
    let body = json!({
        "type": "urn:medlarpost:refusal:unauthenticated",
        "title": "unauthenticated",
        "status": 401,
        "detail": "the bearer token is missing or is not the administrators' token",
        "remedy": "send the value of --admin-token as a bearer token in the Authorization header",
    });
    let mut reply = HttpReply::json(StatusCode::UNAUTHORIZED, &body);
    reply.content_type = "application/problem+json";
    reply.header("www-authenticate", "Bearer")
}

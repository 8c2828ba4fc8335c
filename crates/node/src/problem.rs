//! Refusals as RFC 9457 problem details.

use crate::prelude::*;
use actix_http::StatusCode;

/// A problem details object of RFC 9457 with the members of this service.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// URN of the kind of refusal: `urn:medlarpost:refusal:CODE`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short name of the kind.
    pub title: String,
    /// HTTP status code of the reply.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: String,
    /// Whether anything ran: `not run` or `unknown`.
    pub execution: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// Id that the caller sent or the node generated.
    pub request_id: String,
}

/// HTTP status code of a kind of refusal.
pub fn status(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::Malformed
        | RefusalKind::DeadlineMissing
        | RefusalKind::DeadlineInvalid
        | RefusalKind::TicketInvalid => StatusCode::BAD_REQUEST,
        RefusalKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalKind::Unauthenticated => StatusCode::UNAUTHORIZED,
        RefusalKind::UnknownService => StatusCode::NOT_FOUND,
        RefusalKind::TicketExpired | RefusalKind::TicketStartGone => StatusCode::GONE,
        RefusalKind::TicketMismatch => StatusCode::CONFLICT,
        RefusalKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::DeadlinePassed | RefusalKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::DeadlineUnreachable
        | RefusalKind::Overloaded
        | RefusalKind::NotConfigured
        | RefusalKind::NotFresh
        | RefusalKind::Draining
        | RefusalKind::NoUpstream
        | RefusalKind::TicketsExhausted => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Renders a refusal as a reply with a problem details object.
pub fn reply(refusal: &Refusal) -> HttpReply {
    let status = status(refusal.kind);
    let problem = Problem {
        kind: format!("urn:medlarpost:refusal:{}", refusal.kind.name()),
        title: refusal.kind.name().replace('-', " "),
        status: status.as_u16(),
        detail: refusal.detail.clone(),
        execution: refusal.execution.name().to_owned(),
        remedy: refusal.kind.remedy().to_owned(),
        request_id: refusal.request_id.to_string(),
    };
    let mut reply = HttpReply::json(status, &problem);
    reply.content_type = "application/problem+json";
    reply
}

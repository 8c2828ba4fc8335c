//! The page of a forwarding node with its metrics, which also answers what the node would do with a request.

use crate::{
    admin_token::{self, AdminToken},
    forward_task::{ForwardMessage, ForwardSender},
    prelude::*,
    where_json::{WhereRequest, WhereResult},
};
use actix_http::{Method, StatusCode};
use prometheus::TextEncoder;
use tokio::time::timeout;

/// Time limit for the answer of the forward task to `/v1/where`.
const WHERE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the metrics as Prometheus text, and `/v1/where` if there is a token.
#[derive(Clone, Debug)]
pub(crate) struct MetricsHandler {
    pub(crate) registry: prometheus::Registry,
    /// Without a token, `/v1/where` does not exist.
    pub(crate) admin_token: AdminToken,
    pub(crate) forward: ForwardSender,
}

impl Handler for MetricsHandler {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        if req.path == "/v1/where" && self.admin_token.is_set() {
            return self.where_reply(&req).await;
        }
        if req.method != Method::GET || req.path != "/metrics" {
            return HttpReply::text(StatusCode::NOT_FOUND, "metrics are at /metrics");
        }
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => HttpReply::text(StatusCode::OK, text),
            Err(fault) => HttpReply::text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
        }
    }
}

impl MetricsHandler {
    /// Answers what the node would do with the request in the body.
    async fn where_reply(&self, req: &HttpRequest) -> HttpReply {
        if !self.admin_token.accepts(req) {
            return admin_token::unauthorized();
        }
        if req.method != Method::POST {
            return HttpReply::text(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
        }
        let body = req.body.as_deref().unwrap_or_default();
        let request = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return HttpReply::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        match timeout(WHERE_TIMEOUT, self.dry_run(request)).await {
            Ok(Some(Ok(reply))) => HttpReply::json(StatusCode::OK, &reply),
            Ok(Some(Err(error))) => {
                HttpReply::text(StatusCode::UNPROCESSABLE_ENTITY, format!("{error}\n"))
            }
            Ok(None) | Err(_) => HttpReply::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "the node is too busy or is stopping; retry later\n",
            ),
        }
    }

    /// Asks the forward task; `None` if it has ended.
    async fn dry_run(&self, request: WhereRequest) -> Option<WhereResult> {
        let (tx, rx) = oneshot::channel();
        self.forward
            .send(ForwardMessage::DryRun(request, tx))
            .ok()?;
        rx.await.ok()
    }
}

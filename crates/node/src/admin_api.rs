//! HTTP interface for administrators: health, readiness, metrics and status. It is read-only.

use crate::{
    admin_token::{self, AdminToken},
    control_parts::ControlCommand,
    prelude::*,
    status_json::StatusReply,
};
use actix_http::{Method, StatusCode};

/// Time limit for the status reports of the engine and the control task.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of the administrators' listener.
#[derive(Clone, Debug)]
pub(crate) struct AdminApi {
    pub(crate) node: Arc<str>,
    pub(crate) zone: Arc<str>,
    /// Without a token, every status request is refused.
    pub(crate) token: AdminToken,
    pub(crate) engine: EngineSender,
    pub(crate) control: mpsc::Sender<ControlCommand>,
    pub(crate) metrics: Metrics,
    pub(crate) ready: watch::Receiver<bool>,
}

impl Handler for AdminApi {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        match (&req.method, req.path.as_str()) {
            (&Method::GET, "/healthz") => HttpReply::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") if *self.ready.borrow() => {
                HttpReply::text(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/readyz") => {
                HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
            (&Method::GET, "/metrics") => self.metrics_reply().await,
            (&Method::GET, "/v1/status") if self.token.accepts(&req) => self.status_reply().await,
            (&Method::GET, "/v1/status") => admin_token::unauthorized(),
            _ => HttpReply::text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

impl AdminApi {
    /// Renders the metrics. Those read from the status keep their last value if it is not reported in time.
    async fn metrics_reply(&self) -> HttpReply {
        if let Ok(Some(status)) = actix_rt::time::timeout(STATUS_TIMEOUT, self.read_status()).await
        {
            self.metrics.observe_status(&status);
        }
        HttpReply::text(StatusCode::OK, self.metrics.render())
    }

    async fn status_reply(&self) -> HttpReply {
        match actix_rt::time::timeout(STATUS_TIMEOUT, self.read_status()).await {
            Ok(Some(status)) => HttpReply::json(StatusCode::OK, &status),
            Ok(None) | Err(_) => HttpReply::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "the node is too busy or is stopping; retry later\n",
            ),
        }
    }

    async fn read_status(&self) -> Option<StatusReply> {
        let (engine_tx, engine_rx) = oneshot::channel();
        let (control_tx, control_rx) = oneshot::channel();
        self.engine
            .send(EngineMessage::Status(engine_tx))
            .await
            .ok()?;
        self.control
            .send(ControlCommand::Status(control_tx))
            .await
            .ok()?;
        Some(StatusReply {
            node: self.node.to_string(),
            zone: self.zone.to_string(),
            control: control_rx.await.ok()?,
            report: engine_rx.await.ok()?,
        })
    }
}

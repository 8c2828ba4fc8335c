//! HTTP interface of a fake upstream.

use crate::{
    prelude::*,
    upstream_listener::ConnectionMode,
    upstream_task::{TaskMessage, Work, WorkKind, WorkReply},
};
use actix_http::{Method, StatusCode};
use serde_json::value::RawValue;
use std::time::Instant;

/// Handler for the requests on one connection.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamApi {
    tx: mpsc::UnboundedSender<TaskMessage>,
    behaviour: Arc<UpstreamBehaviour>,
    mode: watch::Receiver<ConnectionMode>,
}

#[derive(Deserialize)]
struct SearchBody {
    query: Arc<str>,
    limit: u32,
}

#[derive(Deserialize)]
struct BookingBody {
    booking_id: String,
    booking: Box<RawValue>,
}

impl UpstreamApi {
    pub(crate) fn new(
        tx: mpsc::UnboundedSender<TaskMessage>,
        behaviour: Arc<UpstreamBehaviour>,
    ) -> Self {
        let (_, mode) = watch::channel(ConnectionMode::Serve);
        Self {
            tx,
            behaviour,
            mode,
        }
    }

    pub(crate) fn with_connection_mode(self, mode: watch::Receiver<ConnectionMode>) -> Self {
        Self { mode, ..self }
    }

    /// One-way network delay between the node that sent this attempt and the upstream.
    fn network_delay(&self, attempt: &str) -> Duration {
        // An attempt id consists of the node's name, its start and the attempt's number, joined by hyphens.
        let node = attempt.rsplitn(3, '-').nth(2).unwrap_or_default();
        match self.behaviour.node_zones.get(node) {
            Some(zone) if *zone != self.behaviour.zone => self.behaviour.zone_delay,
            _ => Duration::ZERO,
        }
    }

    async fn handle(&self, req: &HttpRequest) -> HttpReply {
        if req.path == "/v1/health" {
            return self.handle_health().await;
        }
        if let Some(id) = req.path.strip_prefix("/v1/cancel/") {
            actix_rt::time::sleep(self.network_delay(id)).await;
            let _ended = self.tx.send(TaskMessage::Cancel(id.to_owned()));
            return HttpReply::text(StatusCode::OK, "");
        }
        let Some((id, kind)) = parse_work(req) else {
            return HttpReply::text(StatusCode::BAD_REQUEST, "");
        };
        let delay = self.network_delay(&id);
        let time_left = req
            .header("x-deadline-ms")
            .and_then(|time_left| time_left.parse().ok())
            .map_or(Duration::from_mins(1), Duration::from_millis);
        actix_rt::time::sleep(delay).await;
        let (tx, rx) = oneshot::channel();
        let arrived = Instant::now();
        let work = Work {
            id,
            kind,
            arrived,
            deadline: arrived + time_left,
            reply: tx,
        };
        let _ended = self.tx.send(TaskMessage::Arrived(work));
        let Ok(reply) = rx.await else {
            // The upstream crashed, so its listener task is about to close this connection.
            return std::future::pending().await;
        };
        actix_rt::time::sleep(delay).await;
        match reply {
            WorkReply::Done(reply) => reply,
            WorkReply::Shed => {
                HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "").header("x-not-run", "1")
            }
            WorkReply::Cancelled => HttpReply::text(cancelled_status(), ""),
        }
    }

    async fn handle_health(&self) -> HttpReply {
        let (tx, rx) = oneshot::channel();
        let _ended = self.tx.send(TaskMessage::Health(tx));
        match rx.await {
            Ok(reply) => reply,
            Err(_crashed) => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
        }
    }
}

impl Handler for UpstreamApi {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        let reply = self.handle(&req).await;
        if *self.mode.borrow() == ConnectionMode::Serve {
            return reply;
        }
        std::future::pending().await
    }
}

fn cancelled_status() -> StatusCode {
    StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST)
}

fn parse_work(req: &HttpRequest) -> Option<(String, WorkKind)> {
    let body = req.body.as_ref().filter(|_| req.method == Method::POST)?;
    let id = req.header("x-attempt-id")?.to_owned();
    if req.path == "/v1/bookings" {
        let body: BookingBody = serde_json::from_slice(body).ok()?;
        let kind = WorkKind::Booking {
            booking_id: body.booking_id,
            content: Arc::from(body.booking.get()),
        };
        return Some((id, kind));
    }
    let shard = req
        .path
        .strip_prefix("/v1/shards/")?
        .strip_suffix("/search")?
        .parse()
        .ok()?;
    let index_version = req.header("x-index-version")?.parse().ok()?;
    let SearchBody { query, limit } = serde_json::from_slice(body).ok()?;
    let kind = WorkKind::Search {
        shard,
        index_version,
        query,
        limit,
    };
    Some((id, kind))
}

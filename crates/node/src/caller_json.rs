//! JSON bodies of the callers' interface.

use crate::prelude::*;
use serde_json::value::RawValue;

/// Body of `POST /v1/search`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct SearchBody {
    /// Name of the caller's workspace; the bearer token has to be one of this workspace's.
    #[serde(rename = "tenant")]
    pub workspace: String,
    /// Name of the search service.
    pub service: String,
    /// Query text, passed to the upstreams unchanged.
    pub query: String,
    /// Time limit in milliseconds, counted from the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// Most results to return; the bundle sets an upper bound.
    pub limit: Option<u32>,
}

/// Body of `POST /v1/tickets`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct TicketBody {
    /// Name of the caller's workspace; the bearer token has to be one of this workspace's.
    #[serde(rename = "tenant")]
    pub workspace: String,
}

/// Body of `POST /v1/bookings`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct BookingBody {
    /// Name of the caller's workspace; the bearer token has to be one of this workspace's.
    #[serde(rename = "tenant")]
    pub workspace: String,
    /// Name of the booking service.
    pub service: String,
    /// Ticket from `POST /v1/tickets`.
    pub ticket: String,
    /// The booking, passed to the upstream unchanged.
    pub booking: Box<RawValue>,
    /// Time limit in milliseconds, counted from the arrival of the request.
    pub deadline_ms: Option<u64>,
}

/// Reply to `POST /v1/tickets`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct TicketReply {
    /// Ticket for one booking.
    pub ticket: String,
    /// Time until it expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// Reply to `POST /v1/bookings`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct BookingAnswer {
    /// Id that the node gave the booking.
    pub booking_id: String,
    /// Whether the upstream accepted the booking.
    pub accepted: bool,
    /// Reference that the upstream gave the booking.
    pub upstream_reference: String,
    /// Whether the booking ran on an earlier request and this is the recorded outcome.
    pub replayed: bool,
}

/// Reply to `POST /v1/search`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct SearchAnswer {
    /// Id that the caller sent or the node generated.
    pub request_id: String,
    /// Index version that all results come from.
    pub index_version: u64,
    /// Results by descending score.
    pub results: Vec<ResultJson>,
    /// Shards that contributed to the results.
    pub coverage: CoverageJson,
    /// Time that the search took.
    pub timing: TimingJson,
}

/// One search result.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct ResultJson {
    /// Id of the document.
    pub id: String,
    /// Relevance; higher is better.
    pub score: f64,
    /// Firm that owns the document.
    pub owner: String,
    /// Fields that every workspace gets.
    pub fields: Box<RawValue>,
    /// Fields that only workspaces which list the owner among their firms get.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub private: Option<Box<RawValue>>,
}

/// Shards that contributed to an answer.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct CoverageJson {
    /// Number of shards of the index version.
    pub asked: u32,
    /// Number of shards that answered.
    pub answered: u32,
    /// The shards that did not answer.
    pub missing: Vec<MissingShardJson>,
}

/// A shard that did not contribute to the answer.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct MissingShardJson {
    /// Index of the shard in its layout, from 0.
    pub shard: u32,
    /// Code of a `MissingReason`.
    pub reason: String,
}

/// Time that a search took, in milliseconds.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct TimingJson {
    /// Time from the arrival of the request to its answer.
    pub total_ms: f64,
    /// Part of the total spent waiting for admission.
    pub queue_ms: f64,
}

impl From<Answer> for SearchAnswer {
    fn from(answer: Answer) -> Self {
        let Coverage {
            asked,
            answered,
            missing,
        } = answer.coverage;
        let missing = missing
            .into_iter()
            .map(|MissingShard { shard, reason }| MissingShardJson {
                shard,
                reason: reason.name().to_owned(),
            })
            .collect();
        Self {
            request_id: answer.request_id.to_string(),
            index_version: answer.index_version,
            results: answer
                .hits
                .into_iter()
                .filter_map(ResultJson::from_hit)
                .collect(),
            coverage: CoverageJson {
                asked,
                answered,
                missing,
            },
            timing: TimingJson {
                total_ms: millis(answer.total_time),
                queue_ms: millis(answer.queue_time),
            },
        }
    }
}

impl ResultJson {
    /// Converts a hit. Its fields are valid JSON, because they were checked when the upstream's reply was read.
    fn from_hit(hit: Hit) -> Option<Self> {
        let raw = |text: &Arc<str>| RawValue::from_string(text.to_string()).ok();
        Some(Self {
            fields: raw(&hit.fields)?,
            private: hit.private.as_ref().and_then(raw),
            id: hit.id,
            score: hit.score,
            owner: hit.owner,
        })
    }
}

/// Converts a duration to milliseconds with their fraction.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

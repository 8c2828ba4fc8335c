//! JSON of the callers' interface.

use crate::prelude::*;
use serde_json::value::RawValue;

/// Body of `POST /v1/search`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct SearchBody {
    /// Tenant that the token proves.
    pub tenant: String,
    /// Name of a search service.
    pub service: String,
    /// Query text.
    pub query: String,
    /// Time that the caller gives, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Results wanted.
    pub limit: Option<u32>,
}

/// Body of `POST /v1/tickets`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct TicketBody {
    /// Tenant that the token proves.
    pub tenant: String,
}

/// Body of `POST /v1/bookings`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct BookingBody {
    /// Tenant that the token proves.
    pub tenant: String,
    /// Name of a booking service.
    pub service: String,
    /// Ticket from `POST /v1/tickets`.
    pub ticket: String,
    /// The booking, passed on as it is.
    pub booking: Box<RawValue>,
    /// Time that the caller gives, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// Reply to `POST /v1/tickets`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct TicketReply {
    /// Ticket for one booking.
    pub ticket: String,
    /// Time that it can be redeemed for, in milliseconds.
    pub expires_in_ms: u64,
}

/// Reply to `POST /v1/bookings`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct BookingAnswer {
    /// Id of the booking.
    pub booking_id: String,
    /// Whether the upstream took the booking.
    pub accepted: bool,
    /// The upstream's reference.
    pub upstream_reference: String,
    /// Whether the booking had run earlier and this is its recorded outcome.
    pub replayed: bool,
}

/// Reply to `POST /v1/search`.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct SearchAnswer {
    /// Id that the caller sent or the node made.
    pub request_id: String,
    /// The one index version that every result comes from.
    pub index_version: u64,
    /// Results, best first.
    pub results: Vec<ResultJson>,
    /// Which shards the results were drawn from.
    pub coverage: CoverageJson,
    /// Times.
    pub timing: TimingJson,
}

/// One result.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct ResultJson {
    /// Id of the document.
    pub id: String,
    /// Higher is better.
    pub score: f64,
    /// Firm that the document belongs to.
    pub owner: String,
    /// Public fields.
    pub fields: Box<RawValue>,
    /// Fields that only a tenant which speaks for the owner gets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub private: Option<Box<RawValue>>,
}

/// Which shards an answer was drawn from.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct CoverageJson {
    /// Shards of the index version.
    pub asked: u32,
    /// Shards that answered.
    pub answered: u32,
    /// Every other shard.
    pub missing: Vec<MissingShardJson>,
}

/// A shard that is not in the answer.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct MissingShardJson {
    /// Number of the shard.
    pub shard: u32,
    /// Code of the reason.
    pub reason: String,
}

/// Times of an answer, in milliseconds.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct TimingJson {
    /// From arrival to answer.
    pub total_ms: f64,
    /// Part spent waiting for admission.
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
    /// The hit as JSON. Fields were checked to be JSON when the upstream's reply was read.
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

/// A duration as milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

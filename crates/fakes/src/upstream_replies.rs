//! Replies of a fake upstream. Each hit names the query, index version and shard that it comes from.

use crate::prelude::*;
use actix_http::StatusCode;
use serde_json::json;

/// Maximum number of hits in a shard's reply.
const MAX_HITS: u32 = 3;

/// Origin of a hit, which a fake upstream writes into the hit's public fields.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HitOrigin {
    /// Query text that the hit answers.
    pub query: String,
    /// Maximum number of hits that the query asked for.
    pub limit: u32,
    /// Index version that the hit comes from.
    pub index_version: u64,
    /// Shard that the hit comes from.
    pub shard: u32,
}

pub(crate) fn search_reply(shard: u32, index_version: u64, query: &str, limit: u32) -> HttpReply {
    let origin = HitOrigin {
        query: query.to_owned(),
        limit,
        index_version,
        shard,
    };
    let hits: Vec<_> = (0..limit.min(MAX_HITS))
        .map(|n| {
            json!({
                "id": format!("v{index_version}-s{shard}-{n}"),
                "score": f64::from(n + 1) / f64::from(shard + 2),
                "owner": format!("firm-{}", shard % 3),
                "fields": origin,
                "private": {"margin": n},
            })
        })
        .collect();
    HttpReply::json(StatusCode::OK, &json!({ "hits": hits }))
        .header("x-index-version", index_version.to_string())
}

pub(crate) fn version_gone_reply() -> HttpReply {
    HttpReply::text(StatusCode::GONE, "")
}

/// The reference is the digest of the content, so that callers can check which booking was answered.
pub(crate) fn booking_reply(content: &str) -> HttpReply {
    HttpReply::json(
        StatusCode::OK,
        &json!({"accepted": true, "reference": Digest::of(content.as_bytes()).to_string()}),
    )
}

pub(crate) fn health_reply((in_flight, slots): (usize, u32)) -> HttpReply {
    HttpReply::json(
        StatusCode::OK,
        &json!({"in_flight": in_flight, "slots": slots}),
    )
}

//! Status of an engine for operators, serialised under the names of its fields.

use crate::prelude::*;

/// Snapshot of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStatus {
    /// Version of the bundle in force; `None` before the first one.
    pub version: Option<u64>,
    /// Digest of the signed manifest of the bundle in force.
    pub digest: Option<Digest>,
    /// Time until new work is refused unless the configuration is confirmed again, in milliseconds.
    pub fresh_for_ms: u64,
    /// Whether new work is refused because the node is shutting down.
    pub draining: bool,
    /// Queries and bookings that have not ended.
    pub running: RunningStatus,
    /// Replies since the start that arrived after their query or booking had ended.
    pub late_replies: u64,
    /// Zones in the order of the bundle; empty before the first bundle.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams of the bundle, ordered by name.
    pub upstreams: Vec<UpstreamStatus>,
    /// Counts since the start and current sizes.
    pub statistics: EngineStatistics,
    /// Remaining retry budget of each search service in requests, under `retry SERVICE`, and the share of primary
    /// sub-requests that is added to it, from 0 to 1, under `retry_share`.
    pub budgets: BTreeMap<String, f64>,
}

/// Numbers of running queries, bookings and attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunningStatus {
    /// Queries, queued ones included.
    pub queries: usize,
    /// Bookings without an outcome.
    pub bookings: usize,
    /// Sub-requests at upstreams, including cancelled ones whose reply has not arrived.
    pub attempts: usize,
}

/// Whether one availability zone is in use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ZoneStatus {
    /// Name of the zone in the bundle.
    pub name: String,
    /// Whether the upstreams of the zone take new work.
    pub state: ZoneState,
}

/// Health, limits and load of one upstream, as this node sees them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream in the bundle.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of the state in `charts/upstream.toml`.
    pub state: String,
    /// Reason for the state; `None` for the usual state.
    pub reason: Option<String>,
    /// Maximum number of requests that the owner of its warm-up may run there while it is cold; `None` if it is not cold.
    pub allowance: Option<u32>,
    /// Maximum number of requests that this node may run there.
    pub limit: u32,
    /// Requests of this node that run there.
    pub running: u32,
    /// Smoothed reply time, in milliseconds, with time-outs counted at their length; `None` before the first.
    pub latency_ms: Option<f64>,
}

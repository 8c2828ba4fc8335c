//! Counters and sizes of the engine.

use crate::prelude::*;

/// Counts since the engine's start, and current sizes, for metrics and the administration page.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStatistics {
    /// Replies that arrived after their attempt, query or booking had ended.
    pub late_replies: u64,
    /// Hedges: further sub-requests sent while an earlier one for the same shard still ran.
    pub hedges: u64,
    /// Retries: sub-requests sent for a shard after one had failed.
    pub retries: u64,
    /// First sub-requests for each shard of a query, including canaries.
    pub primaries: u64,
    /// Primary sub-requests sent ahead of the others, because the request was not yet known not to crash upstreams.
    pub canaries: u64,
    /// Attempts cancelled because their result was no longer needed.
    pub cancelled: u64,
    /// Queries restarted on a newer index version.
    pub restarts: u64,
    /// Requests that this node put in quarantine.
    pub quarantined: u64,
    /// Queries currently waiting for admission.
    pub queue_length: u32,
    /// Queries currently running.
    pub running: u32,
    /// Sub-requests currently waiting for an upstream with capacity.
    pub waiting_shards: u32,
}

//! Counters of the engine.

use crate::prelude::*;

/// Counts since the engine's start, and present sizes, for metrics and the administration page.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStatistics {
    /// Replies whose attempt or query was out of use.
    pub late_replies: u64,
    /// Hedged sub-requests sent.
    pub hedges: u64,
    /// Sub-requests sent after a failed one.
    pub retries: u64,
    /// First sub-requests for a shard of a query, canaries included.
    pub primaries: u64,
    /// Primary sub-requests that were sent alone because their request was not known to be harmless.
    pub canaries: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Queries that began again on a newer index version.
    pub restarts: u64,
    /// Requests put in quarantine by this node.
    pub quarantined: u64,
    /// Queries that wait for admission.
    pub queue_length: u32,
    /// Queries that run.
    pub running: u32,
    /// Sub-requests that wait for an upstream.
    pub waiting_shards: u32,
}

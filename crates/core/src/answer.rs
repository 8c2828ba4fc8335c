//! What a caller gets for a query.

use crate::prelude::*;

/// The merged answer to one query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Id that the caller sent or the node made.
    pub request_id: Arc<str>,
    /// The one index version that every hit comes from.
    pub index_version: u64,
    /// Hits, best first; at most as many as the caller asked for.
    pub hits: Vec<Hit>,
    /// Which shards the hits were drawn from.
    pub coverage: Coverage,
    /// Time from arrival to answer.
    pub total_time: Duration,
    /// Part of `total_time` spent waiting for admission.
    pub queue_time: Duration,
}

/// Shards asked and answered. `asked == answered + missing.len()`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Coverage {
    /// Shards of the pinned index version.
    pub asked: u32,
    /// Shards whose reply was merged.
    pub answered: u32,
    /// Every other shard, in order.
    pub missing: Vec<MissingShard>,
}

/// A shard that is not in the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingShard {
    /// Number of the shard in its index version.
    pub shard: u32,
    /// Why it is missing.
    pub reason: MissingReason,
}

vocabulary! {
    /// Why a shard is not in an answer.
    pub enum MissingReason {
        /// No reply in time.
        Timeout = "timeout",
        /// No replica is configured or can be reached.
        NoReplica = "no_replica",
        /// All replicas refused the work.
        Shed = "shed",
        /// Connections were lost after sending.
        Broken = "broken",
        /// The index version is no longer served.
        VersionGone = "version_gone",
        /// All replicas are cold and their allowance is used up.
        Cold = "cold",
        /// All replicas are in zones that are out, or leaving.
        ZoneOut = "zone_out",
        /// The request is suspected to crash upstreams.
        Quarantined = "quarantined",
    }
}

/// One result.
#[derive(Clone, Debug, PartialEq)]
pub struct Hit {
    /// Id of the document.
    pub id: String,
    /// Higher is better.
    pub score: f64,
    /// Firm that the document belongs to.
    pub owner: String,
    /// Public fields, as encoded by the upstream.
    pub fields: Arc<str>,
    /// Fields that only the owner's tenant may see, as encoded by the upstream.
    pub private: Option<Arc<str>>,
}

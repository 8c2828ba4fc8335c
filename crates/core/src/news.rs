//! Gossip between nodes about upstreams and requests.

use crate::prelude::*;

/// A change that one node reports to the others. Upstreams are given by name, because keys differ between nodes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum News {
    /// Upstreams were lost while they ran this request.
    Crash {
        /// Digest of the service and the query.
        digest: Digest,
        /// Names of the upstreams lost so far.
        upstreams: Vec<String>,
    },
    /// An upstream was found cold.
    Cold {
        /// Name of the upstream.
        upstream: String,
        /// Start time of its process in milliseconds since the Unix epoch; 0 if unknown.
        started_at_ms: u64,
        /// How often the upstream has been found cold, this time included.
        round: u64,
    },
    /// The owner of the warm-up found the upstream warm.
    Warm {
        /// Name of the upstream.
        upstream: String,
        /// Start time of its process in milliseconds since the Unix epoch.
        started_at_ms: u64,
        /// The cold round that ends. News of an earlier round than the receiver knows is stale.
        round: u64,
    },
}

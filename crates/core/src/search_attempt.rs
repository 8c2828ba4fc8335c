//! What is remembered of a sub-request until its reply, also after its query has ended.

use crate::prelude::*;

/// A sub-request of a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearchAttempt {
    pub(crate) service: ServiceKey,
    pub(crate) digest: Digest,
    pub(crate) index_version: u64,
    pub(crate) shard: u32,
    /// Whether the request was not known to be harmless.
    pub(crate) trial: bool,
    pub(crate) sent_at: Timestamp,
}

//! Record of a sub-request that is kept until its reply, even if the query has ended before.

use crate::prelude::*;

/// What the engine learns from when the reply to a sub-request of a search arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearchAttempt {
    pub(crate) service: ServiceKey,
    pub(crate) digest: Digest,
    pub(crate) index_version: u64,
    pub(crate) shard: u32,
    /// Whether the request was not known to be harmless when it was sent.
    pub(crate) trial: bool,
    pub(crate) sent_at: Timestamp,
}

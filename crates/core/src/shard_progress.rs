//! Progress of one shard of a query.

use crate::prelude::*;

/// Attempts, wait states and result of one shard.
#[derive(Debug, Default)]
pub(crate) struct ShardProgress {
    /// Attempts without a reply.
    pub(crate) running_attempts: Vec<AttemptKey>,
    /// Upstreams queried so far; none is queried twice.
    pub(crate) tried_upstreams: Vec<UpstreamKey>,
    pub(crate) last_sent_at: Timestamp,
    /// Reason of the last failed attempt.
    pub(crate) last_failure: Option<MissingReason>,
    /// Whether the shard is in the wait queue, because all of its upstreams are busy.
    pub(crate) awaits_upstream: bool,
    /// Whether the shard waits because too many trials of the request are running.
    pub(crate) awaits_verdict: bool,
    /// Whether a retry of the shard waits for the retry budget.
    pub(crate) awaits_budget: bool,
    pub(crate) result: Option<Result<(), MissingReason>>,
}

impl ShardProgress {
    /// The result, or the reason to report if the query ended now.
    pub(crate) fn outcome(&self) -> Result<(), MissingReason> {
        if let Some(result) = self.result {
            return result;
        }
        let reason = self.last_failure.unwrap_or(
            if self.running_attempts.is_empty() && self.awaits_upstream {
                MissingReason::Shed
            } else {
                MissingReason::Timeout
            },
        );
        Err(reason)
    }
}

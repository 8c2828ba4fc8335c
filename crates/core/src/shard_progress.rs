//! What has become of one shard of a query.

use crate::prelude::*;

/// Attempts for one shard and their result.
#[derive(Debug, Default)]
pub(crate) struct ShardProgress {
    /// Attempts that are still running.
    pub(crate) running_attempts: Vec<AttemptKey>,
    /// Upstreams asked so far; none is asked twice.
    pub(crate) tried_upstreams: Vec<UpstreamKey>,
    /// Time of the last send.
    pub(crate) last_sent_at: Timestamp,
    /// Why the last attempt failed.
    pub(crate) last_failure: Option<MissingReason>,
    /// Whether the shard waits in the queue for an upstream.
    pub(crate) awaits_upstream: bool,
    /// Whether the shard waits until the request is known to be harmless.
    pub(crate) awaits_verdict: bool,
    /// Whether the shard waits for the retry budget.
    pub(crate) awaits_budget: bool,
    pub(crate) result: Option<Result<(), MissingReason>>,
}

impl ShardProgress {
    /// The result, or the reason that applies when the query ends now.
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

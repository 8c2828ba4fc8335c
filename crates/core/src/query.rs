//! State of one query, and the states, events, guards and actions of its state chart.

use crate::{hit_merger::HitMerger, prelude::*, shard_progress::ShardProgress};

vocabulary! {
    /// States of `charts/query.toml`.
    pub enum QueryState {
        /// Waits for admission.
        Queued = "queued",
        /// The canary shard is queried, until the request is known to be harmless.
        Probing = "probing",
        /// All shards are queried.
        Running = "running",
        /// The answer was returned, complete or partial.
        Answered = "answered",
        /// Refused before any sub-request was sent.
        Refused = "refused",
        /// The caller has closed its connection.
        Abandoned = "abandoned",
    }
}

vocabulary! {
    /// Events of `charts/query.toml`.
    pub enum QueryEvent {
        /// Admission control lets the query start.
        Admitted = "admitted",
        /// The request is known to be harmless.
        CanaryPassed = "canary_passed",
        /// Every shard has answered or was given up.
        Settled = "settled",
        /// A tail query has enough shards, and its cut-off time has passed.
        CutOff = "cut_off",
        /// The time reserved for merging and the reply has begun.
        DeadlinePassed = "deadline_passed",
        /// The deadline can no longer be met, and the query has not started.
        Unreachable = "unreachable",
        /// The queue is full, and a workspace with fewer queued queries takes the query's place.
        Displaced = "displaced",
        /// An upstream or the bundle no longer lists the pinned index version.
        VersionGone = "version_gone",
        /// The request has crashed too many upstreams.
        Quarantined = "quarantined",
        /// The caller has closed its connection.
        CallerGone = "caller_gone",
    }
}

vocabulary! {
    /// Guards of `charts/query.toml`.
    pub enum QueryGuard {
        /// A newer index version is configured, the query has not restarted yet, and enough time is left.
        CanRestart = "can_restart",
        /// No sub-request was sent for any index version.
        NothingSent = "nothing_sent",
    }
}

vocabulary! {
    /// Actions of `charts/query.toml`.
    pub enum QueryAction {
        /// Query the canary shard, or go on if the request is known to be harmless.
        SendCanary = "send_canary",
        /// Query the shards that have not been queried.
        FanOut = "fan_out",
        /// Query another replica of the shard whose last attempt failed.
        RetryShard = "retry_shard",
        /// Pin the newest index version and discard all replies.
        Restart = "restart",
        /// Record the open shards as quarantined.
        GiveUp = "give_up",
        /// Merge the hits and answer the caller.
        Answer = "answer",
        /// Refuse the query; it was not run.
        Refuse = "refuse",
        /// Cancel the running attempts.
        CancelAttempts = "cancel_attempts",
    }
}

/// State machine of one query.
#[derive(Debug)]
pub enum QueryMachine {}

impl Machine for QueryMachine {
    type Action = QueryAction;
    type Event = QueryEvent;
    type Guard = QueryGuard;
    type State = QueryState;

    const SOURCE: &'static str = include_str!("../charts/query.toml");
}

/// A query that is queued or running.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) state: QueryState,
    pub(crate) request: SearchRequest,
    pub(crate) service: ServiceKey,
    /// Digest of service and query.
    pub(crate) digest: Digest,
    pub(crate) preference: LateShardPreference,
    pub(crate) arrived_at: Timestamp,
    pub(crate) started_at: Timestamp,
    /// The caller's deadline less the time reserved for merging and the reply.
    pub(crate) answer_by: Timestamp,
    /// Time at which all shards were queried; the start or the last restart until then.
    pub(crate) fanned_out_at: Timestamp,
    /// Time from which a tail query is answered without its last shards; `None` while the service's latency is unknown.
    pub(crate) cut_off_at: Option<Timestamp>,
    /// Next time at which hedges and deferred retries are considered.
    pub(crate) next_check: Option<Timestamp>,
    /// Time of the query's entry in `Searches::timers`.
    pub(crate) timer_at: Option<Timestamp>,
    /// Version that every merged reply comes from; changes only on a restart.
    pub(crate) index_version: u64,
    /// Incremented on each restart, so that wait queue entries for the previous version become stale.
    pub(crate) epoch: u32,
    /// One entry for each shard of the pinned version.
    pub(crate) shards: Vec<ShardProgress>,
    /// Number of shards that are neither answered nor given up.
    pub(crate) open_shards: u32,
    /// Number of shards whose reply was merged.
    pub(crate) answered_shards: u32,
    /// Time from the fan-out until half of the shards had answered; a sample for the concurrency limit.
    pub(crate) time_to_half: Option<Duration>,
    /// Shard queried before the others; `None` until a canary is needed.
    pub(crate) canary_shard: Option<u32>,
    /// Shard without a running attempt whose last attempt failed.
    pub(crate) shard_to_retry: Option<u32>,
    /// Whether any sub-request was sent, for this index version or an earlier one.
    pub(crate) sent_any: bool,
    pub(crate) merger: HitMerger,
}

impl Query {
    /// Number of hits to return: the caller's limit, capped by the bundle.
    pub(crate) fn max_hits(&self, bundle: &Bundle) -> u32 {
        self.request.limit.min(bundle.limits.max_results)
    }

    /// Whether the query was admitted and has not ended.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, QueryState::Probing | QueryState::Running)
    }

    /// Whether the query is in a final state.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(
            self.state,
            QueryState::Answered | QueryState::Refused | QueryState::Abandoned
        )
    }

    /// Pins an index version and discards all replies from another version.
    pub(crate) fn pin_layout(&mut self, layout: &ShardLayout, limit: u32) {
        self.index_version = layout.index_version;
        self.shards.clear();
        self.shards
            .resize_with(layout.shards.len(), ShardProgress::default);
        self.open_shards = layout.shards.len() as u32;
        self.answered_shards = 0;
        self.time_to_half = None;
        self.canary_shard = None;
        self.shard_to_retry = None;
        self.merger = HitMerger::new(&self.request.request_id, limit as usize);
    }

    /// Sets the result of a shard unless it has one already. Returns whether it was set.
    pub(crate) fn settle_shard(&mut self, shard: u32, result: Result<(), MissingReason>) -> bool {
        let progress = &mut self.shards[shard as usize];
        if progress.result.is_some() {
            return false;
        }
        progress.result = Some(result);
        progress.awaits_verdict = false;
        self.open_shards -= 1;
        true
    }

    /// Coverage of the answer if it were given now.
    pub(crate) fn coverage(&self) -> Coverage {
        Coverage::from_results(self.shards.iter().map(ShardProgress::outcome))
    }
}

//! A running query.

use crate::{hit_merger::HitMerger, prelude::*, shard_progress::ShardProgress};

vocabulary! {
    /// States of `charts/query.toml`.
    pub enum QueryState {
        /// Waits for admission.
        Queued = "queued",
        /// One shard is asked first, until the request is known to be harmless.
        Probing = "probing",
        /// Sub-requests are running.
        Running = "running",
        /// The answer has been given.
        Answered = "answered",
        /// Refused before anything was sent.
        Refused = "refused",
        /// The caller has gone.
        Abandoned = "abandoned",
    }
}

vocabulary! {
    /// Events of `charts/query.toml`.
    pub enum QueryEvent {
        /// Admission lets the query start.
        Admitted = "admitted",
        /// The request is known to be harmless.
        CanaryPassed = "canary_passed",
        /// Every shard has answered or is given up.
        Settled = "settled",
        /// Waiting for the remaining shards is no longer worth the time.
        CutOff = "cut_off",
        /// The time to answer has come.
        DeadlinePassed = "deadline_passed",
        /// The query can no longer be answered in time, and has not been started.
        Unreachable = "unreachable",
        /// A tenant with a shorter queue takes the place of the query.
        Displaced = "displaced",
        /// An upstream or the bundle no longer has the pinned index version.
        VersionGone = "version_gone",
        /// The request has crashed too many upstreams.
        Quarantined = "quarantined",
        /// The caller's connection closed.
        CallerGone = "caller_gone",
    }
}

vocabulary! {
    /// Guards of `charts/query.toml`.
    pub enum QueryGuard {
        /// A newer index version is configured, the query has not restarted, and there is time for it.
        CanRestart = "can_restart",
        /// No sub-request was sent.
        NothingSent = "nothing_sent",
    }
}

vocabulary! {
    /// Actions of `charts/query.toml`.
    pub enum QueryAction {
        /// Ask one shard, or go on if the request is known to be harmless.
        SendCanary = "send_canary",
        /// Ask the shards that have not been asked.
        FanOut = "fan_out",
        /// Ask another replica of the shard that has lost the index version.
        RetryShard = "retry_shard",
        /// Pin the newest index version and forget all replies.
        Restart = "restart",
        /// Mark the open shards as quarantined.
        GiveUp = "give_up",
        /// Merge and answer.
        Answer = "answer",
        /// Refuse as not run.
        Refuse = "refuse",
        /// Cancel the running attempts.
        CancelAttempts = "cancel_attempts",
    }
}

/// Machine of one query.
#[derive(Debug)]
pub enum QueryMachine {}

impl Machine for QueryMachine {
    type Action = QueryAction;
    type Event = QueryEvent;
    type Guard = QueryGuard;
    type State = QueryState;

    const SOURCE: &'static str = include_str!("../charts/query.toml");
}

/// A query from its arrival to its answer.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) state: QueryState,
    pub(crate) request: SearchRequest,
    pub(crate) service: ServiceKey,
    /// Digest of service and query.
    pub(crate) digest: Digest,
    pub(crate) prefer: LateShardPreference,
    pub(crate) arrived: Timestamp,
    pub(crate) started: Timestamp,
    /// The caller's deadline less the reserve for merging and the reply.
    pub(crate) answer_by: Timestamp,
    /// Time of the fan-out.
    pub(crate) fanned_out: Timestamp,
    /// Time from which a tail query answers without its last shards; `None` while the latency is not known.
    pub(crate) cut_off_at: Option<Timestamp>,
    /// Next time at which hedges and retries are looked at.
    pub(crate) next_check: Option<Timestamp>,
    /// Entry in the timers.
    pub(crate) timer: Option<Timestamp>,
    /// Pinned before the fan-out; every merged reply comes from this version.
    pub(crate) index_version: u64,
    /// Rises with each restart, so that waiting entries of the version before are not used.
    pub(crate) epoch: u32,
    /// One entry a shard of the pinned version.
    pub(crate) shards: Vec<ShardProgress>,
    /// Shards that are neither answered nor given up.
    pub(crate) open_shards: u32,
    /// Shards whose reply was merged.
    pub(crate) answered: u32,
    /// Time from the fan-out until half of the shards had answered.
    pub(crate) half: Option<Duration>,
    /// Shard that is asked first.
    pub(crate) canary: Option<u32>,
    /// Shard that has lost the index version and may ask another replica.
    pub(crate) retry: Option<u32>,
    /// Whether any sub-request was sent, also for an earlier index version.
    pub(crate) sent_any: bool,
    pub(crate) merge: HitMerger,
}

impl Query {
    /// Most hits to return, as asked and as the bundle permits.
    pub(crate) fn limit(&self, bundle: &Bundle) -> u32 {
        self.request.limit.min(bundle.limits.max_results)
    }

    /// Whether the query has been admitted and not answered.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, QueryState::Probing | QueryState::Running)
    }

    /// Whether nothing more will happen to the query.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(
            self.state,
            QueryState::Answered | QueryState::Refused | QueryState::Abandoned
        )
    }

    /// Pins an index version and forgets what was gathered from another.
    pub(crate) fn pin(&mut self, layout: &ShardLayout, limit: u32) {
        self.index_version = layout.index_version;
        self.shards.clear();
        self.shards
            .resize_with(layout.shards.len(), ShardProgress::default);
        self.open_shards = layout.shards.len() as u32;
        self.answered = 0;
        self.half = None;
        self.canary = None;
        self.retry = None;
        self.merge = HitMerger::new(&self.request.request_id, limit as usize);
    }

    /// Records what became of a shard; only the first result counts. Returns whether this was the first.
    pub(crate) fn settle(&mut self, shard: u32, result: Result<(), MissingReason>) -> bool {
        let progress = &mut self.shards[shard as usize];
        if progress.result.is_some() {
            return false;
        }
        progress.result = Some(result);
        progress.held = false;
        self.open_shards -= 1;
        true
    }

    /// Which shards were merged, and why the others are missing.
    pub(crate) fn coverage(&self) -> Coverage {
        Coverage::from_results(self.shards.iter().map(ShardProgress::outcome))
    }
}

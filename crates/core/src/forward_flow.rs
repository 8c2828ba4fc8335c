//! State of one forwarded request.

use crate::{forward_chart::FlowState, prelude::*, record_merge::RecordMerge};
use bytes::Bytes;

/// A forwarded request between its arrival and its answer.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) state: FlowState,
    pub(crate) caller: CallerKey,
    pub(crate) request: Arc<ForwardRequest>,
    pub(crate) identity: CallerIdentity,
    /// Configuration in force when the request arrived. All parts of an answer come from the same one.
    pub(crate) table: Arc<RoutingTable>,
    pub(crate) route: RouteIndex,
    pub(crate) started_at: Timestamp,
    /// When a partial answer is preferred to a complete one that would miss the latency objective.
    pub(crate) accept_partial_at: Timestamp,
    pub(crate) deadline: AnswerDeadline,
    /// Rank under overload.
    pub(crate) rank: u32,
    /// Whether `accept_partial_at` has passed and sufficient coverage completes the request.
    pub(crate) accepts_partial: bool,
    pub(crate) shards: Vec<ShardAttempts>,
    pub(crate) merge: Option<ShardMerge>,
    /// Whether an attempt may have run on an upstream.
    pub(crate) may_have_run: bool,
    /// Last reply of an upstream that ran the request and failed.
    pub(crate) failure: Option<UpstreamReply>,
    pub(crate) reply: Option<UpstreamReply>,
    /// Entry of this flow in the timers.
    pub(crate) timer: Option<Timestamp>,
}

/// Merged records of the shards that have answered, with their proofs.
#[derive(Debug)]
pub(crate) struct ShardMerge {
    pub(crate) records: RecordMerge,
    pub(crate) proofs: Vec<Bytes>,
}

/// Attempts for one shard, or for the one service of a request that is not sharded.
#[derive(Debug)]
pub(crate) struct ShardAttempts {
    pub(crate) service: ServiceKey,
    pub(crate) status: ShardStatus,
    /// Attempts in flight.
    pub(crate) running: Vec<(AttemptKey, UpstreamKey)>,
    /// Upstreams that an attempt was sent to, in order.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Attempts that ran or may have run; those known not to have run are subtracted.
    pub(crate) possible_runs: u32,
    /// When a hedge is due.
    pub(crate) hedge_at: Option<Timestamp>,
    /// Outcome of the last attempt, for logs.
    pub(crate) last_outcome: &'static str,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShardStatus {
    Pending,
    Answered,
    GivenUp,
}

impl ShardAttempts {
    pub(crate) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            status: ShardStatus::Pending,
            running: Vec::new(),
            tried: Vec::new(),
            possible_runs: 0,
            hedge_at: None,
            last_outcome: "no_upstream",
        }
    }
}

impl Flow {
    pub(crate) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    pub(crate) fn answered_shards(&self) -> usize {
        let answered = |shard: &&ShardAttempts| shard.status == ShardStatus::Answered;
        self.shards.iter().filter(answered).count()
    }

    pub(crate) fn pending_shards(&self) -> usize {
        let pending = |shard: &&ShardAttempts| shard.status == ShardStatus::Pending;
        self.shards.iter().filter(pending).count()
    }

    /// Whether an answer from this many shards is a success.
    pub(crate) fn is_sufficient(&self, shards: usize) -> bool {
        shards > 0 && shards >= self.route().needed_shards()
    }

    /// Shards that are expected to answer without a further attempt for `shard`: those that have answered, and those whose
    /// attempts are not late or have been hedged.
    pub(crate) fn expected_shards(&self, now: Timestamp, shard: usize) -> usize {
        let expected = |(index, other): &(usize, &ShardAttempts)| match other.status {
            ShardStatus::Answered => true,
            ShardStatus::GivenUp => false,
            ShardStatus::Pending => {
                // A hedge that is due only at the objective was postponed.
                let is_on_time = |at: Timestamp| {
                    at > now && (at < self.accept_partial_at || self.accepts_partial)
                };
                *index != shard
                    && (other.hedge_at.is_some_and(is_on_time) || other.running.len() > 1)
            }
        };
        self.shards.iter().enumerate().filter(expected).count()
    }

    /// Time left to the latency objective, or to the deadline if the objective has passed.
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        if now < self.accept_partial_at {
            self.accept_partial_at.since(now)
        } else {
            self.deadline.at().since(now)
        }
    }

    /// Next time at which a hedge, the objective or the deadline is due.
    pub(crate) fn next_due(&self) -> Timestamp {
        let completion_due = if self.accepts_partial || self.merge.is_none() {
            self.deadline.at()
        } else {
            self.accept_partial_at.min(self.deadline.at())
        };
        let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
        hedges.fold(completion_due, Timestamp::min)
    }
}

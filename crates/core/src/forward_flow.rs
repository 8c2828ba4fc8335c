//! One running forwarded request.

use crate::{forward_chart::FlowState, prelude::*, record_merge::RecordMerge};
use bytes::Bytes;

/// A caller's request between its arrival and its answer.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) state: FlowState,
    pub(crate) caller: CallerKey,
    pub(crate) request: Arc<ForwardRequest>,
    /// Configuration that named the shards; all parts of an answer come from it.
    pub(crate) table: Arc<RoutingTable>,
    pub(crate) route: RouteIndex,
    pub(crate) started_at: Timestamp,
    /// When a partial answer is better than a complete one that is late.
    pub(crate) accept_partial_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Whether the objective is so close that enough shards are as good as all.
    pub(crate) accepts_partial: bool,
    pub(crate) shards: Vec<ShardAttempts>,
    pub(crate) merge: Option<ShardMerge>,
    /// Whether an attempt may have run somewhere.
    pub(crate) may_have_run: bool,
    /// Last complete reply of an upstream that ran the request and failed.
    pub(crate) failure: Option<UpstreamReply>,
    pub(crate) reply: Option<UpstreamReply>,
    /// Time in the timers.
    pub(crate) timer: Option<Timestamp>,
}

/// Records and proofs of the shards that have answered.
#[derive(Debug)]
pub(crate) struct ShardMerge {
    pub(crate) records: RecordMerge,
    pub(crate) proofs: Vec<Bytes>,
    pub(crate) min_coverage: f64,
}

/// What was tried for one shard, or for the one service of a request.
#[derive(Debug)]
pub(crate) struct ShardAttempts {
    pub(crate) service: ServiceKey,
    pub(crate) status: ShardStatus,
    /// Attempts that run.
    pub(crate) running: Vec<(AttemptKey, UpstreamKey)>,
    /// Upstreams that it was sent to.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Sends that may have run.
    pub(crate) possible_runs: u32,
    /// When a second attempt is worth it.
    pub(crate) hedge_at: Option<Timestamp>,
    /// Last outcome, for logs.
    pub(crate) last_outcome: &'static str,
}

/// Whether a shard has answered.
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

    /// Shards that have answered.
    pub(crate) fn answered_shards(&self) -> usize {
        let done = |shard: &&ShardAttempts| shard.status == ShardStatus::Answered;
        self.shards.iter().filter(done).count()
    }

    /// Shards that can still answer.
    pub(crate) fn pending_shards(&self) -> usize {
        let open = |shard: &&ShardAttempts| shard.status == ShardStatus::Pending;
        self.shards.iter().filter(open).count()
    }

    /// Whether so many shards are a success.
    pub(crate) fn is_sufficient(&self, shards: usize) -> bool {
        let min = self.merge.as_ref().map_or(1.0, |merge| merge.min_coverage);
        shards > 0 && shards as f64 >= min * self.shards.len() as f64 - 1e-9
    }

    /// When it wants to be looked at next.
    pub(crate) fn next_due(&self) -> Timestamp {
        let settle = if self.accepts_partial || self.merge.is_none() {
            self.deadline
        } else {
            self.accept_partial_at.min(self.deadline)
        };
        let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
        hedges.fold(settle, Timestamp::min)
    }
}

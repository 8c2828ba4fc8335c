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
    pub(crate) started: Timestamp,
    /// When a partial answer is better than a complete one that is late.
    pub(crate) settle_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Whether the objective is so close that enough shards are as good as all.
    pub(crate) settling: bool,
    pub(crate) shards: Vec<ShardTry>,
    pub(crate) merge: Option<Merge>,
    /// Whether an attempt may have run somewhere.
    pub(crate) may_have_run: bool,
    /// Last complete reply of an upstream that ran the request and failed.
    pub(crate) failure: Option<UpstreamReply>,
    pub(crate) reply: Option<UpstreamReply>,
    /// Time in the timers.
    pub(crate) due: Option<Timestamp>,
}

/// Records and proofs of the shards that have answered.
#[derive(Debug)]
pub(crate) struct Merge {
    pub(crate) records: RecordMerge,
    pub(crate) proofs: Vec<Bytes>,
    pub(crate) min_coverage: f64,
}

/// What was tried for one shard, or for the one service of a request.
#[derive(Debug)]
pub(crate) struct ShardTry {
    pub(crate) service: ServiceKey,
    pub(crate) progress: Progress,
    /// Attempts that run.
    pub(crate) running: Vec<(AttemptKey, UpstreamKey)>,
    /// Upstreams that it was sent to.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// When a second attempt is worth it.
    pub(crate) hedge_at: Option<Timestamp>,
    /// Last outcome, for logs.
    pub(crate) last: &'static str,
}

/// Whether a shard has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    Open,
    Answered,
    GivenUp,
}

impl ShardTry {
    pub(crate) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            progress: Progress::Open,
            running: Vec::new(),
            tried: Vec::new(),
            runs: 0,
            hedge_at: None,
            last: "no_upstream",
        }
    }
}

impl Flow {
    pub(crate) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    /// Shards that have answered.
    pub(crate) fn answered(&self) -> usize {
        let done = |shard: &&ShardTry| shard.progress == Progress::Answered;
        self.shards.iter().filter(done).count()
    }

    /// Shards that can still answer.
    pub(crate) fn open(&self) -> usize {
        let open = |shard: &&ShardTry| shard.progress == Progress::Open;
        self.shards.iter().filter(open).count()
    }

    /// Whether so many shards are a success.
    pub(crate) fn is_success(&self, shards: usize) -> bool {
        let min = self.merge.as_ref().map_or(1.0, |merge| merge.min_coverage);
        shards > 0 && shards as f64 >= min * self.shards.len() as f64 - 1e-9
    }

    /// When it wants to be looked at next.
    pub(crate) fn next_due(&self) -> Timestamp {
        let settle = if self.settling || self.merge.is_none() {
            self.deadline
        } else {
            self.settle_at.min(self.deadline)
        };
        let hedges = self.shards.iter().filter_map(|shard| shard.hedge_at);
        hedges.fold(settle, Timestamp::min)
    }
}

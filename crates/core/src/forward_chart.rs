//! Names of the state chart of a forwarded request.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/forward.toml`.
    pub enum FlowState {
        /// At least one shard is not settled.
        Running = "running",
        /// The caller has its answer.
        Answered = "answered",
        /// The caller left before there was an answer.
        Abandoned = "abandoned",
    }
}

vocabulary! {
    /// Events of `charts/forward.toml`.
    pub enum FlowEvent {
        /// Every shard is answered or given up.
        Complete = "complete",
        /// A shard answered after the latency objective came close.
        Enough = "enough",
        /// The latency objective is close.
        ObjectiveDue = "objective_due",
        /// The caller stops waiting soon.
        DeadlineDue = "deadline_due",
        /// Too few shards can still answer.
        Hopeless = "hopeless",
        /// The caller left.
        CallerGone = "caller_gone",
    }
}

vocabulary! {
    /// Guards of `charts/forward.toml`.
    pub enum FlowGuard {
        /// The share of shards that answered is a success.
        Covered = "covered",
    }
}

vocabulary! {
    /// Actions of `charts/forward.toml`.
    pub enum FlowAction {
        /// Answer with what has come.
        Answer = "answer",
        /// Answer as soon as the share of shards is a success.
        SettleForEnough = "settle_for_enough",
        /// Stop the attempts that still run.
        CancelAttempts = "cancel_attempts",
        /// Tell the caller that the time is over.
        TimeOut = "time_out",
        /// Tell the caller why it gets nothing.
        Refuse = "refuse",
    }
}

/// Machine of one forwarded request.
#[derive(Debug)]
pub enum FlowMachine {}

impl Machine for FlowMachine {
    type Action = FlowAction;
    type Event = FlowEvent;
    type Guard = FlowGuard;
    type State = FlowState;

    const SOURCE: &'static str = include_str!("../charts/forward.toml");
}

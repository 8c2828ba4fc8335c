//! States, events, guards and actions of the state chart `charts/forward.toml`: one forwarded request.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/forward.toml`.
    pub enum FlowState {
        /// At least one shard has neither answered nor been given up.
        Running = "running",
        /// The caller has received its answer.
        Answered = "answered",
        /// The caller disconnected before there was an answer.
        Abandoned = "abandoned",
    }
}

vocabulary! {
    /// Events of `charts/forward.toml`.
    pub enum FlowEvent {
        /// Every shard has answered or been given up, and the coverage is sufficient.
        Complete = "complete",
        /// A shard ended while partial answers are accepted.
        Enough = "enough",
        /// The latency objective is about to be missed.
        ObjectiveDue = "objective_due",
        /// The deadline of the request, less the margin for its answer, has passed.
        DeadlineDue = "deadline_due",
        /// The remaining shards can no longer reach sufficient coverage.
        Hopeless = "hopeless",
        /// The caller disconnected.
        CallerGone = "caller_gone",
    }
}

vocabulary! {
    /// Guards of `charts/forward.toml`.
    pub enum FlowGuard {
        /// The shards that have answered are sufficient for a success.
        Covered = "covered",
    }
}

vocabulary! {
    /// Actions of `charts/forward.toml`.
    pub enum FlowAction {
        /// Answers with the replies received so far.
        Answer = "answer",
        /// Accepts a partial answer from now on.
        SettleForEnough = "settle_for_enough",
        /// Cancels the attempts in flight.
        CancelAttempts = "cancel_attempts",
        /// Answers that the deadline has passed.
        TimeOut = "time_out",
        /// Answers with the upstream's failure or a refusal.
        Refuse = "refuse",
    }
}

/// State machine of one forwarded request.
#[derive(Debug)]
pub enum FlowMachine {}

impl Machine for FlowMachine {
    type Action = FlowAction;
    type Event = FlowEvent;
    type Guard = FlowGuard;
    type State = FlowState;

    const SOURCE: &'static str = include_str!("../charts/forward.toml");
}

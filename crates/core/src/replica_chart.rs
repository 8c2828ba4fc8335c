//! States, events, guards and actions of the state chart `charts/replica.toml`: one registered upstream.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/replica.toml`.
    pub enum ReplicaState {
        /// Accepts requests up to its connection limit.
        Warm = "warm",
        /// Warming up: accepts requests at a limited rate.
        Cold = "cold",
        /// Receives nothing until its backoff has passed, then a single trial request.
        Suspect = "suspect",
        /// The trial request is in flight.
        Trial = "trial",
        /// Draining: receives no new requests.
        Leaving = "leaving",
    }
}

vocabulary! {
    /// Events of `charts/replica.toml`.
    pub enum ReplicaEvent {
        /// The registry shows a new start of the process.
        Restarted = "restarted",
        /// The warm-up time has passed.
        Warmed = "warmed",
        /// A connection was lost with a request in flight, or a trial got no reply.
        Broken = "broken",
        /// No connection could be opened, or the upstream sent nothing before the deadline.
        Unreachable = "unreachable",
        /// The trial request of a suspect was sent.
        TrialSent = "trial_sent",
        /// A complete reply arrived, whether a success or not.
        Answered = "answered",
        /// The registry shows that it drains, its entry has gone, or another process has its address.
        Leave = "leave",
        /// The upstream says in a reply that it is leaving.
        LeaveAnnounced = "leave_announced",
        /// The registry shows that it accepts requests again, or a new start of the process.
        Stay = "stay",
    }
}

vocabulary! {
    /// Guards of `charts/replica.toml`.
    pub enum ReplicaGuard {
        /// Several connections in a row were lost.
        RunOfBreaks = "run_of_breaks",
        /// Contact was lost, so the process may have restarted.
        MayHaveRestarted = "may_have_restarted",
    }
}

vocabulary! {
    /// Actions of `charts/replica.toml`.
    pub enum ReplicaAction {
        /// Starts the warm-up, during which the rate of a cold upstream applies.
        BeginWarmUp = "begin_warm_up",
        /// Treats the next reply as the first one of a new process.
        ExpectRestart = "expect_restart",
        /// Schedules the next trial and doubles the backoff.
        BackOff = "back_off",
    }
}

/// State machine of one registered upstream.
#[derive(Debug)]
pub enum ReplicaMachine {}

impl Machine for ReplicaMachine {
    type Action = ReplicaAction;
    type Event = ReplicaEvent;
    type Guard = ReplicaGuard;
    type State = ReplicaState;

    const SOURCE: &'static str = include_str!("../charts/replica.toml");
}

//! Names of the state chart of a registered upstream.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/replica.toml`.
    pub enum ReplicaState {
        /// Takes work up to its slots and connections.
        Warm = "warm",
        /// Takes work within the rate of a cold upstream.
        Cold = "cold",
        /// Takes nothing until its back-off is over, then one trial request.
        Suspect = "suspect",
        /// The trial request is running.
        Trial = "trial",
        /// Takes no new work.
        Leaving = "leaving",
    }
}

vocabulary! {
    /// Events of `charts/replica.toml`.
    pub enum ReplicaEvent {
        /// The registry or a reply shows a new start.
        Restarted = "restarted",
        /// The warm-up time is over.
        Warmed = "warmed",
        /// A connection broke while a request was on it.
        Broken = "broken",
        /// No connection opened, or nothing came within the deadline.
        Unreachable = "unreachable",
        /// The one request of a suspect was sent.
        TrialSent = "trial_sent",
        /// It answered.
        Answered = "answered",
        /// The registry says that it leaves.
        Leave = "leave",
        /// The registry says that it takes work again.
        Stay = "stay",
    }
}

vocabulary! {
    /// Guards of `charts/replica.toml`.
    pub enum ReplicaGuard {
        /// Several connections in a row broke.
        RunOfBreaks = "run_of_breaks",
        /// Contact was lost for long enough to restart.
        MayHaveRestarted = "may_have_restarted",
    }
}

vocabulary! {
    /// Actions of `charts/replica.toml`.
    pub enum ReplicaAction {
        /// Hold the rate of a cold upstream for the warm-up time.
        BeginWarmUp = "begin_warm_up",
        /// Take the next reply as one of a new start.
        ExpectRestart = "expect_restart",
        /// Wait longer before the next trial.
        BackOff = "back_off",
    }
}

/// Machine of one registered upstream.
#[derive(Debug)]
pub enum ReplicaMachine {}

impl Machine for ReplicaMachine {
    type Action = ReplicaAction;
    type Event = ReplicaEvent;
    type Guard = ReplicaGuard;
    type State = ReplicaState;

    const SOURCE: &'static str = include_str!("../charts/replica.toml");
}

//! State machine of `charts/node.toml`: the life cycle of a node's process.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/node.toml`.
    pub enum NodeState {
        /// No configuration is in force.
        Starting = "starting",
        /// A configuration is in force, but new work is not accepted yet.
        Joining = "joining",
        /// Accepts new work, but too few upstreams are known to be warm to be ready.
        Warming = "warming",
        /// Accepts new work and is ready.
        Serving = "serving",
        /// Refuses new work until the configuration is confirmed again.
        Lapsed = "lapsed",
        /// Refuses new work and finishes running work.
        Draining = "draining",
        /// Running work has ended; the process can exit.
        Stopped = "stopped",
    }
}

impl NodeState {
    /// Reason why a node in this state is ready or not, shown to operators.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Starting => "no approved bundle has been received",
            Self::Joining => "the bundle has not been confirmed since the start",
            Self::Warming => "too few upstreams are known to be warm",
            Self::Serving => "ready",
            Self::Lapsed => "the bundle in force has not been confirmed recently",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        }
    }
}

vocabulary! {
    /// Events of `charts/node.toml`.
    pub enum NodeEvent {
        /// A bundle has come into force.
        Configured = "configured",
        /// The configuration was confirmed, so new work may be accepted.
        Granted = "granted",
        /// The engine issued [`Command::CanServe`].
        Able = "able",
        /// The engine issued [`Command::CannotServe`], because it no longer knows which upstreams are warm.
        Unable = "unable",
        /// The last confirmation of the configuration has expired.
        Lapsed = "lapsed",
        /// The process has been asked to stop.
        Drain = "drain",
        /// The engine issued [`Command::Drained`].
        Drained = "drained",
    }
}

vocabulary! {
    /// Actions of `charts/node.toml`.
    pub enum NodeAction {
        /// Pass the readiness check.
        Ready = "ready",
        /// Fail the readiness check.
        Unready = "unready",
        /// Report that running work has ended.
        Stop = "stop",
    }
}

/// State machine of a node's process.
#[derive(Debug)]
pub enum NodeMachine {}

impl Machine for NodeMachine {
    type Action = NodeAction;
    type Event = NodeEvent;
    type Guard = Nothing;
    type State = NodeState;

    const SOURCE: &'static str = include_str!("../charts/node.toml");
}

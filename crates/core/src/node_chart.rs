//! Machine of `charts/node.toml`.

use crate::prelude::*;

vocabulary! {
    /// Phase of a node's process.
    pub enum NodeState {
        /// No configuration in force.
        Starting = "starting",
        /// A configuration is in force; the fleet has not been heard.
        Joining = "joining",
        /// Accepts new work, but too few upstreams are known to be warm.
        Warming = "warming",
        /// Accepts new work.
        Serving = "serving",
        /// Refuses new work until the configuration is confirmed.
        Lapsed = "lapsed",
        /// Finishes running work.
        Draining = "draining",
        /// Nothing runs.
        Stopped = "stopped",
    }
}

impl NodeState {
    /// Why a node in this state is ready or not, for operators.
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
        /// A bundle came into force.
        Configured = "configured",
        /// New work may be accepted.
        Granted = "granted",
        /// The engine can answer.
        Able = "able",
        /// The engine no longer knows which upstreams are warm.
        Unable = "unable",
        /// The confirmation ran out.
        Lapsed = "lapsed",
        /// The process is asked to end.
        Drain = "drain",
        /// Running work has ended.
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
        /// Report that nothing runs any more.
        Stop = "stop",
    }
}

/// Machine of a node's process.
#[derive(Debug)]
pub enum NodeMachine {}

impl Machine for NodeMachine {
    type Action = NodeAction;
    type Event = NodeEvent;
    type Guard = Nothing;
    type State = NodeState;

    const SOURCE: &'static str = include_str!("../charts/node.toml");
}

//! State machine of `charts/shutdown.toml`: the graceful shutdown of a node that forwards requests.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/shutdown.toml`.
    pub enum ShutdownState {
        /// No shutdown has been requested.
        Serving = "serving",
        /// The readiness check fails, and the balancer may still send new connections.
        LeavingRotation = "leaving_rotation",
        /// The listener is closed, and open connections finish their requests.
        Finishing = "finishing",
        /// The process exits.
        Stopped = "stopped",
    }
}

vocabulary! {
    /// Events of `charts/shutdown.toml`.
    pub enum ShutdownEvent {
        /// The process was asked to stop.
        StopRequested = "stop_requested",
        /// The balancer no longer sends new connections.
        RotationLeft = "rotation_left",
        /// The listener and all connections of callers are closed.
        ConnectionsClosed = "connections_closed",
        /// The process must exit now.
        TimeOver = "time_over",
    }
}

vocabulary! {
    /// Actions of `charts/shutdown.toml`.
    pub enum ShutdownAction {
        /// Fail the readiness check.
        FailReadiness = "fail_readiness",
        /// Apply the schedule of the shutdown to all requests, running and new ones.
        BoundRequests = "bound_requests",
        /// Close each connection after its next answer.
        CloseAfterAnswers = "close_after_answers",
        /// Close the listener for callers, and connections that have no request.
        StopListening = "stop_listening",
    }
}

/// State machine of a graceful shutdown.
#[derive(Debug)]
pub enum ShutdownMachine {}

impl Machine for ShutdownMachine {
    type Action = ShutdownAction;
    type Event = ShutdownEvent;
    type Guard = Nothing;
    type State = ShutdownState;

    const SOURCE: &'static str = include_str!("../charts/shutdown.toml");
}

//! Vocabulary of the state chart `charts/link.toml`.

use crate::prelude::*;
use medlarpost_core::vocabulary;

vocabulary! {
    /// States of `charts/link.toml`.
    pub enum LinkState {
        /// Handshake: both sides prove that they hold the fleet key.
        Greeting = "greeting",
        /// The peer is authenticated; messages are exchanged.
        Up = "up",
        /// The connection has ended; the final state.
        Closed = "closed",
    }
}

vocabulary! {
    /// Events of `charts/link.toml`.
    pub enum LinkEvent {
        /// The peer proved that it holds the fleet key.
        Greeted = "greeted",
        /// The peer failed the handshake or has the name of this node.
        Refused = "refused",
        /// The control task dropped the link or has ended.
        Retired = "retired",
        /// The peer missed too many heartbeats, or did not complete the handshake in time.
        Silent = "silent",
        /// The connection ended or carried an invalid frame, or its queue overflowed.
        Broken = "broken",
    }
}

vocabulary! {
    /// Actions of `charts/link.toml`.
    pub enum LinkAction {
        /// Count the link as up.
        Announce = "announce",
        /// Send a heartbeat.
        Beat = "beat",
        /// Count and log the refused connection.
        CountRefusal = "count_refusal",
        /// Count and log the lost link.
        CountLoss = "count_loss",
        /// Report the end of the link to the control task.
        Report = "report",
    }
}

/// State machine of one link.
#[derive(Debug)]
pub enum LinkMachine {}

impl Machine for LinkMachine {
    type Action = LinkAction;
    type Event = LinkEvent;
    type Guard = Nothing;
    type State = LinkState;

    const SOURCE: &'static str = include_str!("../charts/link.toml");
}

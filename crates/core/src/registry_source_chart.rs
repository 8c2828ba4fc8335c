//! State machine of `charts/registry_source.toml`: from where a node takes the contents of the registry.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/registry_source.toml`.
    pub enum RegistrySourceState {
        /// The node has not read the store yet.
        Starting = "starting",
        /// The node reads the store itself.
        Reading = "reading",
        /// The node polls a reader.
        Following = "following",
        /// The view of a follower is too old, so that it reads the store itself.
        Overdue = "overdue",
    }
}

vocabulary! {
    /// Events of `charts/registry_source.toml`.
    pub enum RegistrySourceEvent {
        /// The node has read the store, or a relayed read counts as one.
        Read = "read",
        /// There is a reader to follow.
        Assigned = "assigned",
        /// The node or its reader has another role now, so that the node stops following it.
        Unassigned = "unassigned",
        /// The view is too old, or the reader does not confirm it.
        Expired = "expired",
    }
}

vocabulary! {
    /// Actions of `charts/registry_source.toml`.
    pub enum RegistrySourceAction {
        /// Don't follow the reader for some time.
        AvoidReader = "avoid_reader",
    }
}

/// State machine of the source of the registry's contents.
#[derive(Debug)]
pub enum RegistrySourceMachine {}

impl Machine for RegistrySourceMachine {
    type Action = RegistrySourceAction;
    type Event = RegistrySourceEvent;
    type Guard = Nothing;
    type State = RegistrySourceState;

    const SOURCE: &'static str = include_str!("../charts/registry_source.toml");
}

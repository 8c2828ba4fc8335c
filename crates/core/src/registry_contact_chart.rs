//! State machine of `charts/registry_contact.toml`: whether the registry can be read.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/registry_contact.toml`.
    pub enum RegistryState {
        /// The last read succeeded.
        Steady = "steady",
        /// A watch was cut or a read failed; a short read on a new connection shows whether the registry is there.
        Checking = "checking",
        /// Several reads in a row failed: the registry is taken to be down.
        Away = "away",
    }
}

vocabulary! {
    /// Events of `charts/registry_contact.toml`.
    pub enum RegistryContactEvent {
        /// A read succeeded.
        Read = "read",
        /// The connection of a waiting watch was closed before any reply.
        Cut = "cut",
        /// A read failed in any other way.
        Failed = "failed",
    }
}

vocabulary! {
    /// Guards of `charts/registry_contact.toml`.
    pub enum RegistryContactGuard {
        /// Enough reads failed in a row to call it an outage.
        Repeated = "repeated",
    }
}

vocabulary! {
    /// Actions of `charts/registry_contact.toml`.
    pub enum RegistryContactAction {
        /// Begin the grace period of entries that expired during the outage.
        BeginGrace = "begin_grace",
    }
}

/// State machine of the contact with the registry.
#[derive(Debug)]
pub enum RegistryContactMachine {}

impl Machine for RegistryContactMachine {
    type Action = RegistryContactAction;
    type Event = RegistryContactEvent;
    type Guard = RegistryContactGuard;
    type State = RegistryState;

    const SOURCE: &'static str = include_str!("../charts/registry_contact.toml");
}

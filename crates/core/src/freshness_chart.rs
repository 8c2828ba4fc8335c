//! Machine of `charts/freshness.toml`.

use crate::prelude::*;

vocabulary! {
    /// Whether new work may be accepted.
    pub enum FreshnessState {
        /// A fresh start that has not heard enough of the fleet.
        Joining = "joining",
        /// Confirmed recently enough.
        Fresh = "fresh",
        /// The last confirmation is too old.
        Lapsed = "lapsed",
    }
}

vocabulary! {
    /// Events of `charts/freshness.toml`.
    pub enum FreshnessEvent {
        /// The version in force has a confirmation that is recent enough.
        Confirmed = "confirmed",
        /// It has none.
        Expired = "expired",
    }
}

vocabulary! {
    /// Guards of `charts/freshness.toml`.
    pub enum FreshnessGuard {
        /// Enough of the fleet has been heard, or waited for.
        Joined = "joined",
    }
}

vocabulary! {
    /// Actions of `charts/freshness.toml`.
    pub enum FreshnessAction {
        /// Extend the time until which new work is accepted.
        Grant = "grant",
        /// Report that new work is refused.
        Lapse = "lapse",
    }
}

/// Machine of freshness.
#[derive(Debug)]
pub enum FreshnessMachine {}

impl Machine for FreshnessMachine {
    type Action = FreshnessAction;
    type Event = FreshnessEvent;
    type Guard = FreshnessGuard;
    type State = FreshnessState;

    const SOURCE: &'static str = include_str!("../charts/freshness.toml");
}

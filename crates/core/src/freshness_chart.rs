//! State machine of `charts/freshness.toml`: whether the configuration is confirmed recently enough.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/freshness.toml`, which decide whether new work may be accepted.
    pub enum FreshnessState {
        /// Started, but too few peers have reported their configuration yet; new work is refused.
        Joining = "joining",
        /// Confirmed recently enough; new work is accepted.
        Fresh = "fresh",
        /// The last confirmation has expired; new work is refused.
        Lapsed = "lapsed",
    }
}

vocabulary! {
    /// Events of `charts/freshness.toml`.
    pub enum FreshnessEvent {
        /// The version in force has a confirmation that has not expired.
        Confirmed = "confirmed",
        /// The version in force has no such confirmation.
        Expired = "expired",
    }
}

vocabulary! {
    /// Guards of `charts/freshness.toml`.
    pub enum FreshnessGuard {
        /// Enough peers have reported their configuration, or the join wait is over.
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

/// State machine of the freshness of the configuration.
#[derive(Debug)]
pub enum FreshnessMachine {}

impl Machine for FreshnessMachine {
    type Action = FreshnessAction;
    type Event = FreshnessEvent;
    type Guard = FreshnessGuard;
    type State = FreshnessState;

    const SOURCE: &'static str = include_str!("../charts/freshness.toml");
}

//! How long a node may accept API keys without a confirmation by the registry that they are still valid.

use crate::prelude::*;

/// Share of the bound on revocation that is not used, because the clocks of two machines run at slightly different rates
/// and a registry may end a watch a little early.
const MARGIN_SHARE: f64 = 0.05;

/// Right to accept the keys of the configuration in force, which each successful read of the registry extends.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyLease {
    /// Time after the removal of a key from which no request with it may be admitted; `None` for no such bound.
    revoke_within: Option<Duration>,
    /// Latest time at which the registry is known to have held the configuration in force. It never decreases.
    confirmed_at: Option<BootTime>,
}

/// A watch of the registry that got a reply.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// When the watch was sent.
    pub sent_at: BootTime,
    /// How long the registry was asked to wait for changes.
    pub wait: Duration,
    /// When its reply had arrived.
    pub answered_at: BootTime,
    /// Whether the reply contained changes.
    pub found_changes: bool,
}

impl KeyLease {
    /// A lease that has not been confirmed yet.
    pub fn new(revoke_within: Option<Duration>) -> Self {
        Self {
            revoke_within,
            confirmed_at: None,
        }
    }

    /// Changes the bound. It applies to the last confirmation too.
    pub fn set_revoke_within(&mut self, revoke_within: Option<Duration>) {
        self.revoke_within = revoke_within;
    }

    /// Records that the registry held the configuration in force at this time.
    pub fn confirm(&mut self, at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether a request that has arrived may be admitted by its key.
    pub fn is_valid(&self, now: BootTime) -> bool {
        self.time_left(now).is_none_or(|left| !left.is_zero())
    }

    /// Time until keys are no longer accepted unless the configuration is confirmed again; `None` for no limit.
    pub fn time_left(&self, now: BootTime) -> Option<Duration> {
        let usable = self.duration()?;
        let age = self.age(now);
        Some(age.map_or(Duration::ZERO, |age| usable.saturating_sub(age)))
    }

    /// Latest time at which the registry is known to have held the configuration in force; `None` if it never was.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmed_at
    }

    /// Time since the configuration was confirmed; `None` if it never was.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Time for which one confirmation holds; `None` for no limit.
    pub fn duration(&self) -> Option<Duration> {
        self.revoke_within
            .map(|bound| bound.mul_f64(1.0 - MARGIN_SHARE))
    }
}

impl WatchTiming {
    /// Latest time at which the registry is known to have had no change beyond those in the reply.
    pub fn confirmed_at(&self) -> BootTime {
        // A registry replies as soon as there is a change and not before the wait has passed otherwise, so that an empty
        // reply after the full wait covers the wait.
        // Other replies may have been in transit for most of the time.
        let waited = self.answered_at.since(self.sent_at);
        if self.found_changes || waited < self.wait {
            self.sent_at
        } else {
            self.sent_at + self.wait
        }
    }
}

//! Time since the VM booted, which also counts the time for which the VM was suspended.

use crate::prelude::*;
use std::ops::Add;

/// Time on a clock that keeps running while the VM is suspended, unlike that of a [`Timestamp`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Time `since_boot` after the origin of the clock.
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Time `duration` earlier; `None` if that is before the origin.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// Duration from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

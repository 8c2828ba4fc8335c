//! Clock that also advances while the VM is suspended.

use crate::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Gives the [`BootTime`]s of the core.
#[derive(Clone, Copy, Debug)]
pub enum BootClock {
    /// The system's `CLOCK_BOOTTIME`. `CLOCK_MONOTONIC`, which timers run on, stands still while the VM is suspended.
    System,
    /// The runtime's clock, which can be simulated, counted from this origin.
    Runtime(Instant),
}

impl BootClock {
    /// Current time.
    pub fn now(self) -> BootTime {
        let since_boot = match self {
            // Neither part of this clock's time is negative.
            Self::System => {
                Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
            }
            Self::Runtime(origin) => origin.elapsed(),
        };
        BootTime::new(since_boot)
    }
}

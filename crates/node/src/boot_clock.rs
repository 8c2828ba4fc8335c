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
            Self::System => read(ClockId::Boottime),
            Self::Runtime(origin) => origin.elapsed(),
        };
        BootTime::new(since_boot)
    }
}

/// Time for which the VM was suspended since it was started. The two clocks are not read at the same moment.
pub(crate) fn time_suspended() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    // Neither part of these clocks' times is negative.
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}

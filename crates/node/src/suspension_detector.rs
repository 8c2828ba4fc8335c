//! Detects that the VM was suspended.

use crate::{boot_clock::time_suspended, prelude::*};

/// Suspension that is not reported: the two clocks are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the clock that counts suspensions with the one that does not.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    /// Time for which the VM was suspended since it was started, up to the last check.
    suspended: Duration,
}

impl SuspensionDetector {
    /// A detector that counts from now.
    pub(crate) fn start() -> Self {
        Self {
            suspended: time_suspended(),
        }
    }

    /// Whether the VM was suspended since the last check.
    pub(crate) fn was_suspended(&mut self) -> bool {
        let suspended = time_suspended();
        let grew = suspended.saturating_sub(self.suspended) >= MIN_SUSPENSION;
        if grew {
            self.suspended = suspended;
        }
        grew
    }
}

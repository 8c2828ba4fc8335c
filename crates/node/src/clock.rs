//! Monotonic clock that gives the [`Timestamp`]s of the core.

use crate::prelude::*;
use tokio::time::Instant;

/// Converts between the runtime's monotonic clock and [`Timestamp`]s, which count from the start of this clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at [`Timestamp::ZERO`].
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Current time, in whole microseconds.
    pub fn now(self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp for use in timers. Times more than a year after the start are clamped to a year.
    pub fn instant(self, at: Timestamp) -> Instant {
        const YEAR: Duration = Duration::from_hours(365 * 24);
        let since = at.since(Timestamp::ZERO).min(YEAR);
        self.origin + since
    }
}

/// Waits until a time; forever without one.
pub(crate) async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

//! Usual reply time of a route's upstreams.

use crate::prelude::*;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Deviations above the mean after which a reply is late.
const LATE_DEVIATIONS: f64 = 3.0;

/// Shares of the objective that bound the time after which a reply is late.
const LATE_OBJECTIVE_SHARES: (f64, f64) = (0.35, 0.5);

/// Share of the objective that is taken as the mean before the first reply.
const INITIAL_MEAN_SHARE: f64 = 0.15;

/// Moving mean and deviation of the reply times of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    objective_secs: f64,
    /// Seconds.
    mean_secs: f64,
    /// Mean absolute deviation, in seconds.
    deviation_secs: f64,
}

impl ReplyTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        let objective_secs = objective.as_secs_f64();
        let mean_secs = objective_secs * INITIAL_MEAN_SHARE;
        Self {
            objective_secs,
            mean_secs,
            deviation_secs: mean_secs / 2.0,
        }
    }

    /// Adds a reply time.
    pub(crate) fn add(&mut self, time: Duration) {
        // One very late reply moves the mean no further than one that took twice the usual time, so that a slow upstream
        // doesn't become the measure of itself.
        let difference = (time.as_secs_f64() - self.mean_secs).min(self.mean_secs);
        self.mean_secs += SAMPLE_WEIGHT * difference;
        self.deviation_secs += SAMPLE_WEIGHT * (difference.abs() - self.deviation_secs);
    }

    /// Latency objective of the route in seconds.
    pub(crate) fn objective_secs(&self) -> f64 {
        self.objective_secs
    }

    /// Mean in seconds.
    pub(crate) fn mean_secs(&self) -> f64 {
        self.mean_secs
    }

    /// Time after which a reply is late.
    pub(crate) fn late_after(&self) -> Duration {
        let late = self.mean_secs + LATE_DEVIATIONS * self.deviation_secs;
        let (min_share, max_share) = LATE_OBJECTIVE_SHARES;
        Duration::from_secs_f64(late.clamp(
            min_share * self.objective_secs,
            max_share * self.objective_secs,
        ))
    }
}

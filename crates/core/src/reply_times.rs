//! Usual reply time of a route's upstreams.

use crate::prelude::*;

/// Weight of a new sample in the averages.
const WEIGHT: f64 = 0.05;

/// Deviations above the mean after which a reply is late.
const LATE_DEVIATIONS: f64 = 3.0;

/// Shares of the objective that bound the time after which a reply is late.
const LATE_BOUNDS: (f64, f64) = (0.35, 0.5);

/// Share of the objective that is taken as the mean before the first reply.
const FIRST_MEAN: f64 = 0.15;

/// Moving mean and deviation of the reply times of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    objective: f64,
    /// Seconds.
    mean: f64,
    /// Mean absolute deviation, in seconds.
    deviation: f64,
}

impl ReplyTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        let mean = objective * FIRST_MEAN;
        Self {
            objective,
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Adds a reply time.
    pub(crate) fn add(&mut self, time: Duration) {
        // One very late reply moves the mean no further than one that took twice the usual time, so that a slow upstream
        // doesn't become the measure of itself.
        let off = (time.as_secs_f64() - self.mean).min(self.mean);
        self.mean += WEIGHT * off;
        self.deviation += WEIGHT * (off.abs() - self.deviation);
    }

    /// Latency objective of the route in seconds.
    pub(crate) fn objective(&self) -> f64 {
        self.objective
    }

    /// Mean in seconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Time after which a reply is late.
    pub(crate) fn late(&self) -> Duration {
        let late = self.mean + LATE_DEVIATIONS * self.deviation;
        let (least, most) = LATE_BOUNDS;
        Duration::from_secs_f64(late.clamp(least * self.objective, most * self.objective))
    }
}

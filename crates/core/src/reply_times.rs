//! Moving average of the reply times of a route's upstreams.

use crate::prelude::*;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the recent mean.
const RECENT_SAMPLE_WEIGHT: f64 = 0.2;

/// Mean absolute deviations above the mean after which a reply is late.
const LATE_DEVIATIONS: f64 = 3.0;

/// Bounds of the time after which a reply is late, as shares of the latency objective.
const LATE_OBJECTIVE_SHARES: (f64, f64) = (0.35, 0.5);

/// Mean assumed before the first reply, as a share of the latency objective.
const INITIAL_MEAN_SHARE: f64 = 0.15;

/// Moving mean and mean absolute deviation of the reply times of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    /// Latency objective of the route, in seconds.
    objective: f64,
    /// Seconds.
    mean: f64,
    /// Mean absolute deviation, in seconds.
    deviation: f64,
    /// Mean of the last few replies, in seconds. Slow replies count in full, so that it shows what upstreams need now.
    recent_mean: f64,
}

impl ReplyTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        let mean = objective * INITIAL_MEAN_SHARE;
        Self {
            objective,
            mean,
            deviation: mean / 2.0,
            recent_mean: mean,
        }
    }

    /// Adds the time of one reply.
    pub(crate) fn add(&mut self, time: Duration) {
        let recent_difference = time.as_secs_f64() - self.recent_mean;
        self.recent_mean += RECENT_SAMPLE_WEIGHT * recent_difference;
        // A sample above the mean counts as at most twice the mean, so that a slow upstream does not raise the mean by
        // which it is judged.
        let difference = (time.as_secs_f64() - self.mean).min(self.mean);
        self.mean += SAMPLE_WEIGHT * difference;
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
    }

    pub(crate) fn objective_secs(&self) -> f64 {
        self.objective
    }

    pub(crate) fn mean_secs(&self) -> f64 {
        self.mean
    }

    /// Mean of the last few replies.
    pub(crate) fn recent_mean(&self) -> Duration {
        Duration::from_secs_f64(self.recent_mean)
    }

    /// Time after which a reply is late and a hedge is sent.
    pub(crate) fn late_after(&self) -> Duration {
        let late = self.mean + LATE_DEVIATIONS * self.deviation;
        let (min_share, max_share) = LATE_OBJECTIVE_SHARES;
        Duration::from_secs_f64(late.clamp(min_share * self.objective, max_share * self.objective))
    }
}

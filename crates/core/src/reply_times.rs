//! Moving average of the reply times of a route's upstreams.

use crate::prelude::*;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the averages of the last few replies.
const RECENT_SAMPLE_WEIGHT: f64 = 0.2;

/// Deviation assumed after the first reply, as a share of its time.
const FIRST_DEVIATION_SHARE: f64 = 0.25;

/// Mean absolute deviations above the recent mean within which nearly all replies come.
const SAFE_DEVIATIONS: f64 = 2.0;

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
    /// `None` before the first reply.
    recent: Option<RecentReplies>,
}

/// Averages over the last few replies, in seconds. Slow replies count in full, so that they show what upstreams need now.
#[derive(Clone, Copy, Debug)]
struct RecentReplies {
    mean: f64,
    /// Mean absolute deviation.
    deviation: f64,
}

impl RecentReplies {
    /// Averages after the first reply.
    fn first(secs: f64) -> Self {
        Self {
            mean: secs,
            deviation: FIRST_DEVIATION_SHARE * secs,
        }
    }

    fn add(&mut self, secs: f64) {
        let difference = secs - self.mean;
        self.mean += RECENT_SAMPLE_WEIGHT * difference;
        self.deviation += RECENT_SAMPLE_WEIGHT * (difference.abs() - self.deviation);
    }
}

impl ReplyTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        let mean = objective * INITIAL_MEAN_SHARE;
        Self {
            objective,
            mean,
            deviation: mean / 2.0,
            recent: None,
        }
    }

    /// Adds the time of one reply.
    pub(crate) fn add(&mut self, time: Duration) {
        let secs = time.as_secs_f64();
        match &mut self.recent {
            Some(recent) => recent.add(secs),
            None => self.recent = Some(RecentReplies::first(secs)),
        }
        // A sample above the mean counts as at most twice the mean, so that a slow upstream does not raise the mean by
        // which it is judged.
        let difference = (secs - self.mean).min(self.mean);
        self.mean += SAMPLE_WEIGHT * difference;
        self.deviation += SAMPLE_WEIGHT * (difference.abs() - self.deviation);
    }

    pub(crate) fn objective_secs(&self) -> f64 {
        self.objective
    }

    pub(crate) fn mean_secs(&self) -> f64 {
        self.mean
    }

    /// Time in which half of the replies may be expected.
    pub(crate) fn usual_time(&self) -> Duration {
        Duration::from_secs_f64(self.recent.map_or(self.mean, |recent| recent.mean))
    }

    /// Time in which nearly all replies may be expected: the objective before the first one.
    pub(crate) fn safe_time(&self) -> Duration {
        let safe = |recent: RecentReplies| recent.mean + SAFE_DEVIATIONS * recent.deviation;
        Duration::from_secs_f64(self.recent.map_or(self.objective, safe))
    }

    /// Time after which a reply is late and a hedge is sent.
    pub(crate) fn late_after(&self) -> Duration {
        let late = self.mean + LATE_DEVIATIONS * self.deviation;
        let (min_share, max_share) = LATE_OBJECTIVE_SHARES;
        Duration::from_secs_f64(late.clamp(min_share * self.objective, max_share * self.objective))
    }
}

//! Times of a graceful shutdown.

use crate::prelude::*;

/// Time before the exit in which the last answers are written.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Largest part of a short shutdown that is kept for [`WRITE_TIME`].
const MAX_WRITE_SHARE: f64 = 0.25;

/// Shortest time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Times of a graceful shutdown, fixed when it begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSchedule {
    /// Never later than `answer_by`.
    rotation_left_at: Timestamp,
    /// Earlier than `exit_at` by the time that writing an answer takes.
    answer_by: Timestamp,
    exit_at: Timestamp,
}

impl ShutdownSchedule {
    /// Schedule of a shutdown that was requested at `now`. The balancer may send connections for `balancer_lag`, and the
    /// process must exit after `stop_within`.
    pub fn new(now: Timestamp, balancer_lag: Duration, stop_within: Duration) -> Self {
        let write_time = WRITE_TIME.min(stop_within.mul_f64(MAX_WRITE_SHARE));
        let exit_at = now + stop_within;
        let answer_by = exit_at - write_time;
        Self {
            rotation_left_at: answer_by.min(now + balancer_lag),
            answer_by,
            exit_at,
        }
    }

    /// When the balancer no longer sends new connections.
    pub fn rotation_left_at(self) -> Timestamp {
        self.rotation_left_at
    }

    /// When all requests must have been answered. Requests are read until then.
    pub fn answer_by(self) -> Timestamp {
        self.answer_by
    }

    /// When the process exits, whatever still runs.
    pub fn exit_at(self) -> Timestamp {
        self.exit_at
    }

    /// Time after which the balancer gives a refused caller another node.
    pub fn retry_after(self, now: Timestamp) -> Duration {
        self.rotation_left_at.since(now).max(MIN_RETRY_AFTER)
    }
}

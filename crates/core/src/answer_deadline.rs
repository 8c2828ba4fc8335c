//! Time by which a forwarded request must be answered.

use crate::prelude::*;

/// Time by which a forwarded request must be answered.
///
/// A shutdown of the node may end it early. Running requests hold this type instead of a [`Timestamp`], so that code which
/// starts or continues one has to say whether the node is shutting down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerDeadline {
    at: Timestamp,
    /// Whether the shutdown ends before the time that the caller and the route allow.
    is_cut_short: bool,
}

impl AnswerDeadline {
    /// Deadline of a request that may take until `allowed`; `shutdown` is that of the node, if it has begun.
    pub fn new(allowed: Timestamp, shutdown: Option<ShutdownSchedule>) -> Self {
        let mut deadline = Self {
            at: allowed,
            is_cut_short: false,
        };
        if let Some(schedule) = shutdown {
            deadline.apply_shutdown(schedule);
        }
        deadline
    }

    /// Applies the schedule of a shutdown to a running request.
    pub fn apply_shutdown(&mut self, schedule: ShutdownSchedule) {
        if schedule.answer_by() < self.at {
            self.at = schedule.answer_by();
            self.is_cut_short = true;
        }
    }

    /// The time.
    pub fn at(self) -> Timestamp {
        self.at
    }

    /// Whether an attempt whose reply takes `reply_time` may be sent at `now`. Always, unless a shutdown cuts the request
    /// short: another node has more time for it then. `reply_time` is called only in that case.
    pub fn allows_attempt(self, now: Timestamp, reply_time: impl FnOnce() -> Duration) -> bool {
        !self.is_cut_short || (now < self.at && reply_time() <= self.at.since(now))
    }
}

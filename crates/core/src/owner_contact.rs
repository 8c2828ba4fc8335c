//! Whether the owner of a workspace answers.

use crate::prelude::*;

/// Unanswered requests in a row after which an owner is contacted less often.
const MAX_UNANSWERED: u32 = 4;

/// Interval of requests to an owner that does not answer, to notice when it is there again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What a node remembers of its exchange with one owner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnerContact {
    /// Requests since its last reply.
    unanswered: u32,
    last_request_at: Timestamp,
    /// Pause that its last reply asked for.
    pause: Duration,
    paused_until: Timestamp,
}

impl OwnerContact {
    /// Whether the owner may be asked now.
    pub(crate) fn accepts_requests(&self, now: Timestamp) -> bool {
        let is_probe_due = now.since(self.last_request_at) >= PROBE_INTERVAL;
        self.paused_until <= now && (self.unanswered < MAX_UNANSWERED || is_probe_due)
    }

    /// Records that the owner was asked.
    pub(crate) fn record_request(&mut self, now: Timestamp) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.last_request_at = now;
    }

    /// Records a reply, with the pause that it asks for.
    pub(crate) fn record_reply(&mut self, now: Timestamp, pause: Duration) {
        self.unanswered = 0;
        self.pause = pause;
        self.paused_until = now + pause;
    }

    /// Pause that its last reply asked for, and that the next one probably will.
    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    /// Whether it has not been asked for this time.
    pub(crate) fn is_idle(&self, now: Timestamp, time: Duration) -> bool {
        now.since(self.last_request_at) > time
    }
}

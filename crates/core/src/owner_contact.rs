//! Whether the owner of a workspace, or a delegate, answers.

use crate::prelude::*;

/// Unanswered requests in a row after which an owner is contacted less often.
const MAX_UNANSWERED: u32 = 4;

/// Interval of requests to an owner that does not answer, to notice when it is there again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a reply after which a delegate counts as silent.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a silent delegate is not asked.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Time for which a delegate is not asked after it had nothing to hand on. It has asked for more by then.
const DECLINED_TIME: Duration = Duration::from_millis(50);

/// Time for which a node is not asked that does not act as a delegate, as one with an earlier version.
const UNABLE_TIME: Duration = Duration::from_secs(30);

/// Time for which the number of an owner's delegates is used after the last reply that stated it.
const DELEGATION_TIME: Duration = Duration::from_secs(30);

/// What a node remembers of its exchange with one owner or delegate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnerContact {
    /// Requests since its last reply.
    unanswered: u32,
    last_request_at: Timestamp,
    /// Pause that its last reply asked for.
    pause: Duration,
    paused_until: Timestamp,
    /// Time before which it is not asked as a delegate, because it had nothing to hand on.
    declined_until: Timestamp,
    /// Time before which it is not asked as a delegate, because it is none.
    unable_until: Timestamp,
    /// Delegates that it has as an owner, up to `delegates_until`.
    delegates: u32,
    delegates_until: Timestamp,
    /// Requests that this node has served as its delegate since the last message to it.
    served: u32,
}

impl OwnerContact {
    /// Whether the owner may be asked now.
    pub(crate) fn accepts_requests(&self, now: Timestamp) -> bool {
        let is_probe_due = now.since(self.last_request_at) >= PROBE_INTERVAL;
        self.paused_until <= now && (self.unanswered < MAX_UNANSWERED || is_probe_due)
    }

    /// Whether it may be asked now as a delegate. One that does not reply at once is given up sooner than an owner,
    /// because others can be asked.
    pub(crate) fn accepts_as_delegate(&self, now: Timestamp) -> bool {
        self.declined_until <= now && self.is_delegate(now)
    }

    /// Whether it is expected to act as a delegate, now or in a moment.
    pub(crate) fn is_delegate(&self, now: Timestamp) -> bool {
        let silence = now.since(self.last_request_at);
        let is_silent = self.unanswered > 0 && (DELEGATE_TIMEOUT..SILENT_TIME).contains(&silence);
        !is_silent && self.unable_until <= now && self.paused_until <= now
    }

    /// Whether it acts as a delegate, although it may not be asked now.
    pub(crate) fn is_present(&self, now: Timestamp) -> bool {
        self.unable_until <= now && (self.declined_until > now || self.paused_until > now)
    }

    /// Records that a delegate had nothing to hand on.
    pub(crate) fn record_decline(&mut self, now: Timestamp) {
        self.declined_until = now + DECLINED_TIME;
    }

    /// Records that it does not act as a delegate.
    pub(crate) fn record_inability(&mut self, now: Timestamp) {
        self.unable_until = now + UNABLE_TIME;
    }

    /// Records the number of its delegates, as a reply has stated it.
    pub(crate) fn set_delegates(&mut self, now: Timestamp, delegates: u32) {
        self.delegates = delegates;
        self.delegates_until = now + DELEGATION_TIME;
    }

    /// Delegates that it has as an owner.
    pub(crate) fn delegates(&self, now: Timestamp) -> u32 {
        if now < self.delegates_until {
            self.delegates
        } else {
            0
        }
    }

    /// Counts a request that this node has served as its delegate.
    pub(crate) fn count_served(&mut self) {
        self.served = self.served.saturating_add(1);
    }

    /// Takes the number of requests served since the last call.
    pub(crate) fn take_served(&mut self) -> u32 {
        std::mem::take(&mut self.served)
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
        now.since(self.last_request_at) > time && now >= self.delegates_until
    }
}

//! Decides how and when a node reads the registry, and for how long it keeps entries that disappear.

use crate::{
    prelude::*,
    registry_contact_chart::{RegistryContactAction, RegistryContactGuard, RegistryContactMachine},
};

/// Reads that fail in a row during an outage. A connection that went silent fails one, and the next one is on a new
/// connection.
const OUTAGE_FAILURES: u32 = 2;

/// Wait of a watch after a cut or failed read. The reply shows at once whether the registry is there, and a watch that
/// hardly waits is not cut.
pub(crate) const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Longest pause between watches while missing entries may return.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Number and share of entries above which removals in one read count as expired leases: both must be exceeded.
const MASS_LAPSE_THRESHOLD: (usize, f64) = (2, 0.1);

/// Times of one watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchTimes {
    /// Time that the registry waits for a change.
    pub wait: Duration,
    /// Time beyond the wait after which the reply counts as lost.
    pub reply_timeout: Duration,
}

/// A read of the registry by another node that a follower learns of.
#[derive(Clone, Copy, Debug)]
pub struct RelayedRead {
    /// When the registry was read.
    pub read_at: Timestamp,
    /// End of the other node's grace period after an outage; in the past if there is none.
    pub recovery_until: Timestamp,
}

/// Contact of a node with the registry, as its reads show it.
#[derive(Debug)]
pub struct RegistryContact {
    chart: Chart<RegistryContactMachine>,
    state: RegistryState,
    /// Reads that failed since the last successful one.
    failures: u32,
    /// Time of the last read. That of a relayed one is when the reader made it.
    last_read: Timestamp,
    /// Whether the last read was relayed.
    is_following: bool,
    /// When the first of the failures in a row was noticed.
    failing_since: Timestamp,
    /// End of the grace period after the last outage.
    recovery_until: Timestamp,
    /// End of the grace period of entries that vanished together in the last read.
    lapse_until: Timestamp,
}

impl RegistryContact {
    /// Contact of a node that starts at `now` and has read nothing.
    ///
    /// # Errors
    ///
    /// If the embedded state chart is invalid.
    pub fn new(now: Timestamp) -> Result<Self, ChartError> {
        let chart = Chart::load()?;
        Ok(Self {
            state: chart.initial(),
            chart,
            failures: 0,
            last_read: now,
            is_following: false,
            failing_since: now,
            recovery_until: now,
            lapse_until: now,
        })
    }

    /// State after the last read.
    pub fn state(&self) -> RegistryState {
        self.state
    }

    /// End of the grace period after the last outage. No entry is kept beyond it that was missing before.
    pub fn recovery_until(&self) -> Timestamp {
        self.recovery_until
    }

    /// Applies the result of a read. Returns the new state if it differs.
    pub fn apply(
        &mut self,
        now: Timestamp,
        event: RegistryContactEvent,
        limits: &RegistryLimits,
    ) -> Option<RegistryState> {
        if event == RegistryContactEvent::Read {
            self.record_read(now, limits);
        } else if event == RegistryContactEvent::Failed || self.state != RegistryState::Steady {
            if self.failures == 0 {
                self.failing_since = now;
            }
            self.failures = self.failures.saturating_add(1);
        }
        self.step(now, event, limits)
    }

    /// Whether the last read was relayed by a reader.
    pub fn is_following(&self) -> bool {
        self.is_following
    }

    /// Whether a read at this time shows that an outage seen by this node is over.
    pub fn is_after_failures(&self, read_at: Timestamp) -> bool {
        self.failures == 0 || read_at > self.failing_since
    }

    /// Applies a read that a reader relayed. Entries that have vanished since the last read keep the grace periods that
    /// the reader gives them, within the follower's own bounds.
    pub fn apply_relayed(
        &mut self,
        now: Timestamp,
        read: RelayedRead,
        limits: &RegistryLimits,
    ) -> Option<RegistryState> {
        let latest = self.last_read + limits.relayed_vanished_limit;
        let lapse_end = now + limits.lapse_grace.saturating_sub(limits.relay_time);
        self.lapse_until = lapse_end.min(latest);
        self.recovery_until = self.recovery_until.max(read.recovery_until.min(latest));
        self.failures = 0;
        self.last_read = self.last_read.max(read.read_at);
        self.is_following = true;
        self.step(now, RegistryContactEvent::Read, limits)
    }

    fn step(
        &mut self,
        now: Timestamp,
        event: RegistryContactEvent,
        limits: &RegistryLimits,
    ) -> Option<RegistryState> {
        let from = self.state;
        let step = self.chart.step(from, event, |guard| match guard {
            RegistryContactGuard::Repeated => self.failures >= OUTAGE_FAILURES,
        });
        for action in step.actions {
            match action {
                RegistryContactAction::BeginGrace => {
                    self.recovery_until = now + limits.recovery_grace;
                }
            }
        }
        self.state = step.next;
        (self.state != from).then_some(self.state)
    }

    fn record_read(&mut self, now: Timestamp, limits: &RegistryLimits) {
        let undisturbed_end = now + limits.lapse_grace;
        self.lapse_until = if self.is_following {
            undisturbed_end.min(self.last_read + limits.relayed_vanished_limit)
        } else if self.failures == 0 {
            undisturbed_end
        } else {
            // The entries may have vanished at any time since the last read.
            undisturbed_end.min(self.last_read + limits.vanished_limit)
        };
        self.failures = 0;
        self.is_following = false;
        self.last_read = now;
    }

    /// Times of the next watch, which ends no later than the grace period of a missing entry.
    pub fn watch_times(
        &self,
        now: Timestamp,
        grace_end: Option<Timestamp>,
        limits: &RegistryLimits,
    ) -> WatchTimes {
        if self.state != RegistryState::Steady {
            return WatchTimes {
                wait: PROBE_WAIT,
                reply_timeout: limits.call_timeout.saturating_sub(PROBE_WAIT),
            };
        }
        let left = grace_end.map_or(Duration::MAX, |end| end.since(now));
        WatchTimes {
            wait: limits.max_wait.min(left),
            reply_timeout: limits.reply_timeout,
        }
    }

    /// Times of a read by a follower whose view is too old. It does not wait for changes.
    pub fn overdue_read_times(&self, limits: &RegistryLimits) -> WatchTimes {
        let timeout = if self.state == RegistryState::Steady {
            limits.reply_timeout
        } else {
            limits.call_timeout
        };
        WatchTimes {
            wait: PROBE_WAIT,
            reply_timeout: timeout.saturating_sub(PROBE_WAIT),
        }
    }

    /// Pause before the next read after a successful one.
    pub fn pause(&self, now: Timestamp, any_missing: bool, limits: &RegistryLimits) -> Duration {
        if any_missing || now < self.recovery_until {
            limits.interval.min(RECOVERY_INTERVAL)
        } else {
            limits.interval
        }
    }

    /// Delay before the next read after one that was cut or failed and took `elapsed`. Watches that are cut cost no more
    /// calls than watches that end with changes.
    pub fn retry_delay(&self, elapsed: Duration, limits: &RegistryLimits) -> Duration {
        if self.failures == 0 {
            let rest = limits.interval.saturating_sub(elapsed);
            return rest.max(limits.first_retry_delay);
        }
        let doublings = (self.failures - 1).min(16);
        let delay = limits.first_retry_delay.saturating_mul(1 << doublings);
        delay.min(limits.max_retry_delay)
    }

    /// Whether `gone` of `known` entries are so many that the registry may have been down between two reads.
    pub fn is_mass_lapse(gone: usize, known: usize) -> bool {
        let (count, share) = MASS_LAPSE_THRESHOLD;
        gone > count && gone as f64 > share * known as f64
    }

    /// End of the grace period of `gone` of `known` entries that are missing from what was just read, from the registry
    /// or during an outage from another node. It is in the past or at `now` if there is no grace period.
    pub fn grace_end(
        &self,
        now: Timestamp,
        gone: usize,
        known: usize,
        limits: &RegistryLimits,
    ) -> Timestamp {
        if self.state == RegistryState::Away {
            return now + limits.recovery_grace.max(limits.lapse_grace);
        }
        if Self::is_mass_lapse(gone, known) {
            self.recovery_until.max(self.lapse_until)
        } else {
            self.recovery_until
        }
    }
}

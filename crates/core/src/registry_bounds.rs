//! Time limits of the stages between a change in the registry and the moment at which a node acts on it.

use crate::{prelude::*, registry_contact::PROBE_WAIT};

/// Shortest bound that the limits are derived from. Shorter ones would let a node read the registry without a pause.
const MIN_BOUND: Duration = Duration::from_millis(100);

/// Longest time that a read takes while the registry works.
const MAX_READ_TIME: Duration = Duration::from_millis(300);

/// Longest time beyond the wait of a watch after which its reply counts as lost.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest first delay after a failed read.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time limit of a call after a failed one, and longest delay between such calls.
const MAX_RETRY_TIME: Duration = Duration::from_secs(1);

/// Longest time for which entries that expired during an outage are kept. Upstreams renew them within 2 s, and the
/// next read needs a little more.
const MAX_GRACE: Duration = Duration::from_millis(2_300);

/// Longest time that a reply of a reader takes to reach a follower while the link works.
const MAX_RELAY_TIME: Duration = Duration::from_millis(100);

/// Bounds within which a node must act on what the registry publishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryBounds {
    /// Time after the end of a disturbance within which the other bounds must hold again.
    pub contact: Duration,
    /// Time after which an upstream that is leaving or gone must get no requests.
    pub drain: Duration,
    /// Time within which a configuration must be in force.
    pub config_apply: Duration,
    /// Time after which an evacuated zone must get no requests.
    pub evacuate: Duration,
    /// Time after the removal of a key from which no request with it may be admitted; `None` for no such bound.
    pub revoke: Option<Duration>,
}

/// Limits of the stages. Each sequence of stages that a change can pass through ends before its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryLimits {
    /// Longest wait of one watch.
    pub max_wait: Duration,
    /// Time beyond the wait of a watch after which its reply counts as lost.
    pub reply_timeout: Duration,
    /// Time limit of a listing's page, and of each call between a failed read and the next successful one.
    pub call_timeout: Duration,
    /// Delay after the first failed read; doubles with each further one.
    pub first_retry_delay: Duration,
    /// Longest delay after a failed read.
    pub max_retry_delay: Duration,
    /// Pause between watches. It batches changes, so that many of them cost few reads.
    pub interval: Duration,
    /// Time after the end of an outage for which missing entries are kept.
    pub recovery_grace: Duration,
    /// Time for which entries are kept that vanish together although no outage was seen.
    pub lapse_grace: Duration,
    /// Time from the last read before a failed one after which no entry that has vanished since is kept.
    pub vanished_limit: Duration,
    /// Time that a read takes while the registry works.
    pub read_time: Duration,
    /// Time that a reply of a reader takes to reach a follower while the link works.
    pub relay_time: Duration,
    /// Age of a follower's view at which it reads the store itself. It replaces the pause, the wait and the time until a
    /// lost reply is noticed.
    pub max_view_age: Duration,
    /// Time from a follower's last confirmed view after which no entry that has vanished since is kept, unless the
    /// follower itself saw an outage: one that only its reader saw does not exempt the follower from its bounds.
    pub relayed_vanished_limit: Duration,
    /// Time for which keys are accepted without a confirmation of the configuration; `None` for no limit.
    pub revoke_within: Option<Duration>,
}

impl RegistryBounds {
    /// The tightest of all bounds.
    pub fn tightest(&self) -> Duration {
        self.tightest_change().min(self.contact()).max(MIN_BOUND)
    }

    /// The tightest bound for a change that an undisturbed node reads.
    pub fn tightest_change(&self) -> Duration {
        self.drain
            .min(self.config_apply)
            .min(self.evacuate)
            .max(MIN_BOUND)
    }

    /// Time left for requests that were on their way when the node acted.
    pub fn in_flight(&self) -> Duration {
        self.tightest() / 10
    }

    fn contact(&self) -> Duration {
        self.contact.max(MIN_BOUND)
    }

    /// Limits of the stages for these bounds.
    pub fn limits(&self) -> RegistryLimits {
        let (tightest, contact) = (self.tightest(), self.contact());
        let tenth = tightest / 10;
        let in_flight = self.in_flight();
        let read_time = tenth.min(MAX_READ_TIME);
        let reply_timeout = tenth.min(MAX_REPLY_TIMEOUT);

        // A watch whose reply is lost delays a change by the pause before it, its whole wait and these stages.
        let first_retry_delay = (tightest / 30).min(MAX_FIRST_RETRY_DELAY);
        let after_wait = reply_timeout + first_retry_delay + read_time + in_flight;
        let interval =
            (self.tightest_change() / 5).min(contact.saturating_sub(contact / 2 + after_wait));
        let max_wait = (contact / 2).min(contact.saturating_sub(interval + after_wait));

        // A follower's own read may first meet a connection that went silent while it was not used.
        let own_read = reply_timeout + first_retry_delay + read_time;
        let mut max_view_age = tightest.saturating_sub(own_read + in_flight);
        max_view_age = max_view_age.min(interval + max_wait + reply_timeout);
        if let Some(lease) = KeyLease::new(self.revoke).duration() {
            max_view_age = max_view_age.min(lease.saturating_sub(own_read));
        }

        // A call that began just before the end of an outage uses up its time limit; a delay, a read and the grace
        // period follow.
        let recovery = contact.saturating_sub(read_time + in_flight);
        let recovery_grace = (recovery * 7 / 10).min(MAX_GRACE);
        let retry = recovery.saturating_sub(recovery_grace);

        let max_retry_delay = (retry * 2 / 5).min(MAX_RETRY_TIME);
        // The last fifth is for a read and for requests on their way.
        let lapse_grace = (self.tightest_change() * 4 / 5).saturating_sub(interval);
        RegistryLimits {
            max_wait,
            reply_timeout,
            call_timeout: (retry * 3 / 5).min(MAX_RETRY_TIME),
            first_retry_delay: first_retry_delay.min(max_retry_delay),
            max_retry_delay,
            interval,
            recovery_grace,
            lapse_grace: lapse_grace.min(MAX_GRACE),
            vanished_limit: contact.saturating_sub(in_flight),
            read_time,
            relay_time: (tenth / 2).min(MAX_RELAY_TIME),
            max_view_age,
            relayed_vanished_limit: self.tightest_change().saturating_sub(in_flight + read_time),
            revoke_within: self.revoke,
        }
    }
}

impl RegistryLimits {
    /// Whether a reader can keep the views of its followers young enough without reading much more often than it does
    /// without followers.
    pub fn allows_following(&self) -> bool {
        let cycle = self.interval + self.read_time + self.relay_time;
        self.shortest_view_age() >= cycle + self.interval / 2
    }

    /// Age of its view at which a follower reads the store, for its random number from 0 to 1. When all readers fall silent at
    /// once, the followers must not all call the store at the same moment.
    pub fn view_age_limit(&self, random: f64) -> Duration {
        self.max_view_age
            .saturating_sub(self.relay_time.mul_f64(random))
    }

    fn shortest_view_age(&self) -> Duration {
        self.view_age_limit(1.0)
    }

    /// Wait of a watch by a node whose view is this old and that has followers: the reply must reach them before their
    /// views are too old. In whole milliseconds, to which registries cut the wait.
    pub fn relaying_wait(&self, view_age: Duration) -> Duration {
        let used = view_age + self.read_time + self.relay_time;
        let wait = self.shortest_view_age().saturating_sub(used);
        Duration::from_millis(wait.as_millis() as u64).max(PROBE_WAIT)
    }
}

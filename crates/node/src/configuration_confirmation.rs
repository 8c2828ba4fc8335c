//! What the registry watcher knows about the age of the configuration in force.

use crate::{boot_clock::BootClock, prelude::*, registry::RegistryDocument};

/// Time that a read of a sound registry may take, which the wait of a watch leaves before the lease of keys ends.
const READ_TIME: Duration = Duration::from_millis(300);

/// Share of the lease that the pause between watches may take.
const MAX_INTERVAL_SHARE: f64 = 0.25;

/// Shortest pause between watches that a short lease leads to.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Follows which reads show that the registry holds the configuration in force, and paces reads so that a sound registry
/// confirms it in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigurationConfirmation {
    clock: BootClock,
    lease: KeyLease,
    held: HeldConfiguration,
}

/// What the registry is known to hold as the configuration.
#[derive(Clone, Copy, Debug)]
enum HeldConfiguration {
    /// Not read from the registry itself. Another node's snapshot does not tell, because nodes don't pass on a configuration
    /// that they can't read.
    Unread,
    /// None.
    Missing,
    /// One that can't be read.
    Unreadable,
    /// One of this version.
    Version(u64),
}

impl ConfigurationConfirmation {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            lease: KeyLease::default(),
            held: HeldConfiguration::Unread,
        }
    }

    pub(crate) fn now(&self) -> BootTime {
        self.clock.now()
    }

    pub(crate) fn set_revoke_within(&mut self, revoke_within: Option<Duration>) {
        self.lease.set_revoke_within(revoke_within);
    }

    /// Records what a document says about the configuration that the registry holds.
    pub(crate) fn record_document(&mut self, document: &RegistryDocument) {
        match document {
            RegistryDocument::Configuration(table) => {
                self.held = HeldConfiguration::Version(table.version);
            }
            RegistryDocument::UnreadableConfiguration { .. } => {
                self.held = HeldConfiguration::Unreadable;
            }
            _ => {}
        }
    }

    /// Records that the registry holds no configuration, as far as its documents have been applied.
    pub(crate) fn record_none(&mut self) {
        self.held = HeldConfiguration::Missing;
    }

    /// Records that reads continue from the revision of another node's snapshot.
    pub(crate) fn record_peer_snapshot(&mut self) {
        self.held = HeldConfiguration::Unread;
    }

    /// Whether keys are accepted only while the configuration is confirmed.
    pub(crate) fn is_required(&self) -> bool {
        self.lease.duration().is_some()
    }

    /// Whether the next read must be a listing: a watch would not show a configuration that has not changed. A node that
    /// others follow (`is_relayed`) must know it, too.
    pub(crate) fn needs_listing(&self, is_relayed: bool) -> bool {
        (self.is_required() || is_relayed) && matches!(self.held, HeldConfiguration::Unread)
    }

    /// Whether followers may rely on this node's view. They might be able to read a configuration that this node can't.
    pub(crate) fn allows_relaying(&self) -> bool {
        match self.held {
            HeldConfiguration::Missing | HeldConfiguration::Version(_) => true,
            HeldConfiguration::Unread | HeldConfiguration::Unreadable => false,
        }
    }

    /// Time of the last confirmation of the configuration that the registry holds.
    pub(crate) fn confirmed_at(&self) -> Option<BootTime> {
        let is_known = matches!(self.held, HeldConfiguration::Version(_));
        self.lease.confirmed_at().filter(|_| is_known)
    }

    pub(crate) fn clock(&self) -> BootClock {
        self.clock
    }

    /// Event for a read that shows the registry's configuration at time `at`; `None` if it has none that is known.
    pub(crate) fn confirm(&mut self, at: BootTime) -> Option<ForwardEvent> {
        let HeldConfiguration::Version(version) = self.held else {
            return None;
        };
        self.lease.confirm(at);
        Some(ForwardEvent::ConfigurationConfirmed { version, at })
    }

    /// Wait of a watch, at most `wait`, that ends before the lease does. In whole milliseconds, to which registries cut
    /// the wait: a reply that seems early would confirm less.
    pub(crate) fn limit_wait(&self, wait: Duration) -> Duration {
        match self.lease.time_left(self.now()) {
            Some(left) if matches!(self.held, HeldConfiguration::Version(_)) => {
                let wait = wait.min(left.saturating_sub(READ_TIME));
                Duration::from_millis(wait.as_millis() as u64)
            }
            _ => wait,
        }
    }

    /// Pause between watches, at most `interval`, that leaves most of the lease to the watches. It is short if the lease has
    /// ended although the registry answers, as after a suspension of the VM.
    pub(crate) fn limit_interval(&self, interval: Duration) -> Duration {
        let (Some(lease), Some(left)) = (self.lease.duration(), self.lease.time_left(self.now()))
        else {
            return interval;
        };
        let mut longest = lease.mul_f64(MAX_INTERVAL_SHARE);
        if matches!(self.held, HeldConfiguration::Version(_)) {
            longest = longest.min(left.saturating_sub(READ_TIME));
        }
        interval.min(longest.max(MIN_INTERVAL))
    }
}

//! The task that follows a registry and sends its changes to the forward task.

use crate::{
    boot_clock::BootClock,
    configuration_confirmation::ConfigurationConfirmation,
    forward_task::{ForwardMessage, ForwardSender},
    known_items::KnownItems,
    prelude::*,
    registry::{Change, Changes, Registry, RegistryDocument, RegistryError, Removal},
    snapshot_exchange,
};
use std::collections::{BTreeSet, HashSet};
use tokio::time::Instant;

/// First delay after a failed read; doubled after each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay after failed reads.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay after failed reads while the node has read nothing and so can't answer any request.
const MAX_RETRY_DELAY_BEFORE_FIRST_READ: Duration = Duration::from_millis(200);

/// Wait of the first watch after a failure. It is short so that a return of the registry is noticed soon: if a long
/// watch got lost as well, the return would go unnoticed for as long as that watch waits.
const RECOVERY_PROBE_WAIT: Duration = Duration::from_millis(100);

/// Time that the first listing may take before other nodes are asked too, and the pause between such attempts.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(200);

/// Longest interval between watches while lapsed entries may return after a failure or a start.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Number and share of entries above which removals in one read count as lapsed leases: both must be exceeded.
const MASS_LAPSE_THRESHOLD: (usize, f64) = (2, 0.1);

/// How the registry is watched.
#[derive(Clone, Copy, Debug)]
pub struct WatchSettings {
    /// Longest wait of one watch. A dead connection is noticed a little later than this.
    pub max_wait: Duration,
    /// Pause between watches. It batches changes, so that many of them cost few reads.
    pub interval: Duration,
    /// Time after the registry's return within which entries that lapsed during its failure are renewed.
    pub recovery_grace: Duration,
    /// Time for which entries that vanish together are kept although no read failed. With the interval and the time of
    /// a read it must stay below the bound for upstreams that are gone.
    pub lapse_grace: Duration,
    /// Time after the removal of a key from which no request with it may be admitted; `None` for no such bound.
    pub revoke_within: Option<Duration>,
}

/// Follows a registry, and falls back to the snapshots of other nodes while it fails.
#[derive(Debug)]
pub struct RegistryWatcher<R> {
    registry: R,
    /// Read anew before each use, because it can change.
    settings: watch::Receiver<WatchSettings>,
    forward: ForwardSender,
    log: Logger,
    /// Nodes to ask for a snapshot while the registry fails.
    contacts: watch::Receiver<Vec<SocketAddr>>,
    /// Items that this node passes on to others.
    items: watch::Sender<KnownItems>,
    /// Key of each registered instance's item, by instance.
    entry_keys: HashMap<Arc<str>, Arc<str>>,
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Instances whose entries disappeared and may return, with the end of each one's grace period.
    missing: HashMap<Arc<str>, Instant>,
    /// End of the grace period after the registry's return.
    recovery_until: Instant,
    /// Revision to watch from; `None` before the first listing and after the history was lost.
    revision: Option<u64>,
    failing: bool,
    confirmation: ConfigurationConfirmation,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing yet. `contacts` are nodes to ask for a snapshot while the registry fails.
    pub fn new(
        registry: R,
        settings: watch::Receiver<WatchSettings>,
        forward: ForwardSender,
        contacts: watch::Receiver<Vec<SocketAddr>>,
        log: Logger,
    ) -> Self {
        Self {
            registry,
            settings,
            forward,
            log,
            contacts,
            items: watch::Sender::default(),
            entry_keys: HashMap::new(),
            evacuated_zones: BTreeSet::new(),
            missing: HashMap::new(),
            recovery_until: Instant::now(),
            revision: None,
            failing: false,
            confirmation: ConfigurationConfirmation::new(BootClock::System),
        }
    }

    /// Measures the age of the configuration with this clock instead of the system's.
    #[must_use]
    pub fn with_boot_clock(self, clock: BootClock) -> Self {
        Self {
            confirmation: ConfigurationConfirmation::new(clock),
            ..self
        }
    }

    fn settings(&self) -> WatchSettings {
        *self.settings.borrow()
    }

    /// Items that this node passes on to others.
    pub(crate) fn items(&self) -> watch::Receiver<KnownItems> {
        self.items.subscribe()
    }

    /// Follows the registry for the life of the process.
    pub async fn run(mut self) {
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            let wait = match self.read_registry().await {
                Ok(()) => {
                    retry_delay = INITIAL_RETRY_DELAY;
                    self.poll_interval()
                }
                Err(fault @ (RegistryError::HistoryLost | RegistryError::TooLarge))
                    if self.revision.is_some() =>
                {
                    warn!(self.log, "registry_history_lost"; "revision" => self.revision, "fault" => %fault);
                    self.revision = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    self.record_failure(&fault);
                    if let Some(snapshot) = self.ask_contact().await {
                        self.apply_peer_snapshot(snapshot);
                    }
                    let delay = retry_delay;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    if self.entry_keys.is_empty() {
                        delay.min(MAX_RETRY_DELAY_BEFORE_FIRST_READ)
                    } else {
                        delay
                    }
                }
            };
            self.sleep(wait).await;
        }
    }

    /// Waits before the next read. Entries whose grace period ends meanwhile are deregistered at its end, unless the
    /// registry fails: they may have returned unseen.
    async fn sleep(&mut self, wait: Duration) {
        let until = Instant::now() + wait;
        while let Some(end) = self.next_grace_end().filter(|end| *end < until)
            && !self.failing
        {
            tokio::time::sleep_until(end).await;
            self.deregister_expired();
        }
        tokio::time::sleep_until(until).await;
    }

    fn next_grace_end(&self) -> Option<Instant> {
        self.missing.values().copied().min()
    }

    async fn read_registry(&mut self) -> Result<(), RegistryError> {
        let revoke_within = self.settings().revoke_within;
        self.confirmation.set_revoke_within(revoke_within);
        if self.confirmation.needs_listing() {
            self.revision = None;
        }
        match self.revision {
            None if self.entry_keys.is_empty() => self.first_read().await?,
            None => {
                let sent_at = self.confirmation.now();
                let listing = self.registry.list().await?;
                self.record_success();
                self.apply_listing(listing);
                self.confirm_configuration(sent_at);
            }
            Some(revision) => {
                let wait = self.confirmation.limit_wait(self.watch_wait());
                let sent_at = self.confirmation.now();
                let changes = self.registry.watch(revision, wait).await?;
                let timing = WatchTiming {
                    sent_at,
                    wait,
                    answered_at: self.confirmation.now(),
                    found_changes: !changes.changes.is_empty(),
                };
                self.record_success();
                self.apply_changes(changes);
                self.confirm_configuration(timing.confirmed_at());
            }
        }
        self.deregister_expired();
        Ok(())
    }

    /// Reads the registry for the first time, or takes another node's snapshot if that arrives first.
    async fn first_read(&mut self) -> Result<(), RegistryError> {
        let sent_at = self.confirmation.now();
        tokio::select! {
            listing = self.registry.list() => {
                let listing = listing?;
                self.record_success();
                self.apply_listing(listing);
                self.confirm_configuration(sent_at);
            }
            snapshot = self.await_peer_snapshot() => {
                let reason = "another node answered before the first listing".to_owned();
                self.record_failure(&RegistryError::Unavailable { reason });
                self.apply_peer_snapshot(snapshot);
            }
        }
        Ok(())
    }

    /// Asks other nodes for a snapshot, from [`PEER_FALLBACK_DELAY`] on, until one has read anything.
    async fn await_peer_snapshot(&self) -> Snapshot {
        loop {
            tokio::time::sleep(PEER_FALLBACK_DELAY).await;
            if let Some(snapshot) = self.ask_contact().await
                && snapshot.revision > 0
            {
                return snapshot;
            }
        }
    }

    /// Asks a random other node for a snapshot that is newer than what this node has read.
    async fn ask_contact(&self) -> Option<Snapshot> {
        let contact = {
            let contacts = self.contacts.borrow();
            fastrand::choice(contacts.iter()).copied()?
        };
        let known = self.items.borrow().revision();
        match snapshot_exchange::request_snapshot(contact, known).await {
            Ok(snapshot) => {
                if snapshot.revision > known {
                    info!(self.log, "registry_relayed"; "by" => %contact, "from" => known,
                        "revision" => snapshot.revision, "items" => snapshot.items.len(),
                        "current" => snapshot.current);
                }
                Some(snapshot)
            }
            Err(fault) => {
                debug!(self.log, "snapshot_not_received"; "by" => %contact, "fault" => %fault);
                None
            }
        }
    }

    /// Applies another node's snapshot if it is newer. Entries that are missing from it have the grace period to
    /// return; they are deregistered only if the other node currently reads the registry.
    fn apply_peer_snapshot(&mut self, snapshot: Snapshot) {
        let current = snapshot.current;
        if snapshot.revision > self.items.borrow().revision() {
            let (revision, confirmation) = (self.revision, self.confirmation);
            self.apply_listing(snapshot);
            self.confirmation = confirmation;
            if self.confirmation.is_required() {
                // Nodes don't pass on a configuration that they can't read. Changes since this node's own last read show it.
                self.revision = revision;
            } else {
                self.confirmation.record_peer_snapshot();
            }
        }
        if current {
            self.deregister_expired();
        }
    }

    fn poll_interval(&self) -> Duration {
        let may_return = !self.missing.is_empty() || Instant::now() < self.recovery_until;
        let interval = self.confirmation.limit_interval(self.settings().interval);
        if may_return {
            interval.min(RECOVERY_INTERVAL)
        } else {
            interval
        }
    }

    /// Wait of the next watch: short after a failure, and no longer than the grace period of a missing entry.
    fn watch_wait(&self) -> Duration {
        if self.failing {
            return RECOVERY_PROBE_WAIT;
        }
        let Some(end) = self.next_grace_end() else {
            return self.settings().max_wait;
        };
        let left = end.saturating_duration_since(Instant::now());
        left.min(self.settings().max_wait)
    }

    fn record_failure(&mut self, fault: &RegistryError) {
        if !self.failing {
            warn!(self.log, "registry_lost"; "fault" => %fault, "revision" => self.revision);
        }
        self.failing = true;
        self.items.send_modify(|items| items.set_current(false));
    }

    fn record_success(&mut self) {
        self.items.send_modify(|items| items.set_current(true));
        if self.failing {
            info!(self.log, "registry_regained"; "revision" => self.revision);
            self.failing = false;
            self.recovery_until = Instant::now() + self.settings().recovery_grace;
            for end in self.missing.values_mut() {
                *end = self.recovery_until.max(*end);
            }
        }
    }

    fn apply_listing(&mut self, listing: Snapshot) {
        self.record_revision(listing.revision);
        self.confirmation.record_none();
        let mut seen = HashSet::new();
        let mut keys = HashSet::new();
        let mut evacuated_zones = BTreeSet::new();
        for item in listing.items {
            let Some(document) = self.registry.parse_item(&item) else {
                continue;
            };
            match &document {
                RegistryDocument::Upstream(entry) => {
                    seen.insert(Arc::clone(&entry.instance));
                }
                RegistryDocument::EvacuatedZone(zone) => {
                    evacuated_zones.insert(Arc::clone(zone));
                }
                _ => {}
            }
            keys.insert(Arc::clone(&item.key));
            self.apply_write(item, document);
        }
        if evacuated_zones != self.evacuated_zones {
            self.set_evacuated_zones(evacuated_zones);
        }
        let gone = self
            .entry_keys
            .keys()
            .filter(|instance| !seen.contains(*instance));
        let gone: Vec<_> = gone.map(Arc::clone).collect();
        let missing = gone.iter().filter(|gone| !self.missing.contains_key(*gone));
        let grace_until = self.grace_end(missing.count());
        for instance in gone {
            self.handle_missing_entry(instance, grace_until);
        }
        self.items.send_modify(|items| items.retain(&keys));
    }

    fn apply_changes(&mut self, changes: Changes) {
        self.record_revision(changes.revision);
        let gone = |change: &&Change| {
            let removed = match change {
                Change::Removed(key) => self.registry.parse_removal(key),
                Change::Written(_) => None,
            };
            matches!(removed, Some(Removal::UpstreamRemoved(_)))
        };
        let grace_until = self.grace_end(changes.changes.iter().filter(gone).count());
        for change in changes.changes {
            match change {
                Change::Written(item) => {
                    if let Some(document) = self.registry.parse_item(&item) {
                        self.apply_write(item, document);
                    }
                }
                Change::Removed(key) => self.apply_removal(&key, grace_until),
            }
        }
    }

    /// End of the grace period of entries of which so many disappear in one read. If they are many, the registry may
    /// have failed between two reads, and their leases may have expired meanwhile.
    fn grace_end(&self, gone: usize) -> Instant {
        let (count, share) = MASS_LAPSE_THRESHOLD;
        if gone <= count || gone as f64 <= share * self.entry_keys.len() as f64 {
            return self.recovery_until;
        }
        warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => self.entry_keys.len());
        // While reads fail, a peer's snapshot shows what vanished; the registry's return comes after that.
        let grace = if self.failing {
            self.settings().recovery_grace
        } else {
            self.settings().lapse_grace
        };
        self.recovery_until.max(Instant::now() + grace)
    }

    fn record_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.items
            .send_modify(|items| items.record_revision(revision));
    }

    fn apply_removal(&mut self, key: &str, grace_until: Instant) {
        match self.registry.parse_removal(key) {
            Some(Removal::UpstreamRemoved(instance)) => {
                self.handle_missing_entry(instance, grace_until);
            }
            Some(Removal::ZoneRestored(zone)) => {
                self.items.send_modify(|items| items.remove(key));
                let mut zones = self.evacuated_zones.clone();
                zones.remove(&zone);
                self.set_evacuated_zones(zones);
            }
            Some(Removal::ConfigurationRemoved) => {
                warn!(self.log, "configuration_removed");
                self.confirmation.record_none();
            }
            None => {}
        }
    }

    fn apply_write(&mut self, item: PublishedItem, document: RegistryDocument) {
        let key = Arc::clone(&item.key);
        self.confirmation.record_document(&document);
        if !matches!(
            document,
            RegistryDocument::UnreadableUpstream { .. }
                | RegistryDocument::UnreadableConfiguration { .. }
        ) {
            self.items.send_modify(|items| items.insert(item));
        }
        match document {
            RegistryDocument::Configuration(table) => {
                self.send_event(ForwardEvent::Configured(table));
            }
            RegistryDocument::EvacuatedZone(zone) => {
                let mut zones = self.evacuated_zones.clone();
                if zones.insert(zone) {
                    self.set_evacuated_zones(zones);
                }
            }
            RegistryDocument::Upstream(entry) => {
                self.entry_keys.insert(Arc::clone(&entry.instance), key);
                self.missing.remove(&entry.instance);
                self.send_event(ForwardEvent::UpstreamRegistered(entry));
            }
            RegistryDocument::UnreadableUpstream { instance, reason } => {
                warn!(self.log, "entry_unreadable"; "instance" => &*instance, "reason" => reason);
                self.handle_missing_entry(instance, self.recovery_until);
            }
            RegistryDocument::UnreadableConfiguration { reason } => {
                error!(self.log, "configuration_unreadable"; "reason" => reason);
            }
        }
    }

    /// Deregisters an instance whose entry disappeared, or notes it as missing during the grace period: its lease may
    /// just have expired while the registry failed. One that is missing already keeps its grace period.
    fn handle_missing_entry(&mut self, instance: Arc<str>, grace_until: Instant) {
        let Some(key) = self.entry_keys.get(&instance) else {
            return;
        };
        // Not passed on: a node that takes over the snapshot applies a grace period of its own.
        self.items.send_modify(|items| items.remove(key));
        if Instant::now() < grace_until {
            self.missing.entry(instance).or_insert(grace_until);
        } else if !self.missing.contains_key(&instance) {
            self.deregister(&instance);
        }
    }

    fn deregister_expired(&mut self) {
        let now = Instant::now();
        let expired = self.missing.iter().filter(|(_, end)| **end <= now);
        let expired: Vec<_> = expired.map(|(instance, _)| Arc::clone(instance)).collect();
        for instance in expired {
            self.missing.remove(&instance);
            self.deregister(&instance);
        }
    }

    fn deregister(&mut self, instance: &Arc<str>) {
        self.entry_keys.remove(instance);
        self.send_event(ForwardEvent::UpstreamDeregistered(Arc::clone(instance)));
    }

    fn set_evacuated_zones(&mut self, zones: BTreeSet<Arc<str>>) {
        let names: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
        info!(self.log, "zones_out_changed"; "zones" => names.join(","));
        self.evacuated_zones.clone_from(&zones);
        self.send_event(ForwardEvent::ZonesEvacuated(zones));
    }

    /// Reports that the registry held the configuration in force at time `at`, unless it holds one that is not known.
    fn confirm_configuration(&mut self, at: BootTime) {
        if let Some(event) = self.confirmation.confirm(at) {
            self.send_event(event);
        }
    }

    fn send_event(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

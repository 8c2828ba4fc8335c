//! The task that follows a registry and tells the decisions what changes.

use crate::{
    forward_task::{ForwardMessage, ForwardSender},
    known_items::KnownItems,
    prelude::*,
    registry::{Change, Changes, Registry, RegistryDocument, RegistryError, Removal},
    snapshot_exchange,
};
use std::collections::{BTreeSet, HashSet};
use tokio::time::Instant;

/// First wait after a failed read.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait after failed reads.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait after failed reads of a node that has read nothing yet and therefore answers nothing.
const MAX_RETRY_DELAY_BEFORE_FIRST_READ: Duration = Duration::from_millis(200);

/// Wait of the first watch after a failure. It must show soon whether the registry answers again; a long one that is lost
/// as well would hide its return.
const RECOVERY_PROBE_WAIT: Duration = Duration::from_millis(100);

/// Time that the registry has for the first listing of a node before other nodes are asked as well.
const FIRST_LISTING_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time between two watches while entries come back after a failure or a start.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Entries that vanish together and are taken as lapsed: more than this many, and more than this share of all.
const MASS_LAPSE_THRESHOLD: (usize, f64) = (2, 0.1);

/// How the registry is followed.
#[derive(Clone, Copy, Debug)]
pub struct WatchSettings {
    /// Longest wait of one watch. A connection that has gone silent is noticed a little later.
    pub max_wait: Duration,
    /// Time between two watches, so that many changes cost few reads.
    pub interval: Duration,
    /// Time after the registry's return within which entries that lapsed meanwhile come back.
    pub recovery_grace: Duration,
}

/// Follows a registry.
#[derive(Debug)]
pub struct RegistryWatcher<R> {
    registry: R,
    settings: WatchSettings,
    forward: ForwardSender,
    log: Logger,
    /// Nodes to ask while the registry gives nothing.
    contacts: watch::Receiver<Vec<SocketAddr>>,
    /// What this node passes on.
    items: watch::Sender<KnownItems>,
    /// Instances with an entry, and the keys of the entries.
    entry_keys: HashMap<Arc<str>, Arc<str>>,
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Instances whose entries were missing when the registry returned from a failure.
    missing: HashSet<Arc<str>>,
    /// When they are taken as gone.
    grace_until: Instant,
    /// Revision to watch from; `None` before the first listing and after a lost history.
    revision: Option<u64>,
    failing: bool,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing. It asks the nodes `contacts` while the registry gives nothing.
    pub fn new(
        registry: R,
        settings: WatchSettings,
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
            missing: HashSet::new(),
            grace_until: Instant::now(),
            revision: None,
            failing: false,
        }
    }

    /// What this node passes on to others.
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
                Err(RegistryError::HistoryLost) => {
                    warn!(self.log, "registry_history_lost"; "revision" => self.revision);
                    self.revision = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    self.record_failure(&fault);
                    if let Some(snapshot) = self.ask_contact().await {
                        self.apply_peer_snapshot(snapshot);
                    }
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    if self.entry_keys.is_empty() {
                        retry_delay.min(MAX_RETRY_DELAY_BEFORE_FIRST_READ)
                    } else {
                        retry_delay
                    }
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    async fn read_registry(&mut self) -> Result<(), RegistryError> {
        match self.revision {
            None if self.entry_keys.is_empty() => self.first_read().await?,
            None => {
                let listing = self.registry.list().await?;
                self.record_success();
                self.apply_listing(listing);
            }
            Some(revision) => {
                let wait = self.watch_wait();
                let changes = self.registry.watch(revision, wait).await?;
                self.record_success();
                self.apply_changes(changes);
            }
        }
        self.deregister_expired();
        Ok(())
    }

    /// Reads the registry, or what another node has read of it if that comes first.
    async fn first_read(&mut self) -> Result<(), RegistryError> {
        tokio::select! {
            listing = self.registry.list() => {
                let listing = listing?;
                self.record_success();
                self.apply_listing(listing);
            }
            snapshot = self.await_peer_snapshot() => {
                let reason = "another node answered before the first listing".to_owned();
                self.record_failure(&RegistryError::Unavailable { reason });
                self.apply_peer_snapshot(snapshot);
            }
        }
        Ok(())
    }

    /// Asks other nodes for what they know until one knows something, after the registry has had its time.
    async fn await_peer_snapshot(&self) -> Snapshot {
        loop {
            tokio::time::sleep(FIRST_LISTING_TIMEOUT).await;
            if let Some(snapshot) = self.ask_contact().await
                && snapshot.revision > 0
            {
                return snapshot;
            }
        }
    }

    /// Asks one other node for what it has read later than this one.
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

    /// Takes over what another node has read later than this one. Entries that it no longer has, and that don't return,
    /// are gone once it reads the registry.
    fn apply_peer_snapshot(&mut self, snapshot: Snapshot) {
        let current = snapshot.current;
        if snapshot.revision > self.items.borrow().revision() {
            self.apply_listing(snapshot);
        }
        if current {
            self.deregister_expired();
        }
    }

    fn poll_interval(&self) -> Duration {
        let returning = Instant::now() < self.grace_until;
        if returning {
            self.settings.interval.min(RECOVERY_INTERVAL)
        } else {
            self.settings.interval
        }
    }

    /// Waits no longer than until missing entries are taken as gone, and shortly after a failure.
    fn watch_wait(&self) -> Duration {
        if self.failing {
            return RECOVERY_PROBE_WAIT;
        }
        if self.missing.is_empty() {
            return self.settings.max_wait;
        }
        let left = self.grace_until.saturating_duration_since(Instant::now());
        left.min(self.settings.max_wait)
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
            self.grace_until = Instant::now() + self.settings.recovery_grace;
        }
    }

    fn apply_listing(&mut self, listing: Snapshot) {
        self.record_revision(listing.revision);
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
        if self.failing {
            let missing = gone.iter().filter(|gone| !self.missing.contains(*gone));
            self.start_grace_on_mass_lapse(missing.count());
        }
        for instance in gone {
            self.handle_missing_entry(instance);
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
        self.start_grace_on_mass_lapse(changes.changes.iter().filter(gone).count());
        for change in changes.changes {
            match change {
                Change::Written(item) => {
                    if let Some(document) = self.registry.parse_item(&item) {
                        self.apply_write(item, document);
                    }
                }
                Change::Removed(key) => self.apply_removal(&key),
            }
        }
    }

    /// Gives entries that vanish together time to return: the registry may have been away without a failed read, and
    /// many entries lapsed meanwhile.
    fn start_grace_on_mass_lapse(&mut self, gone: usize) {
        let (count, share) = MASS_LAPSE_THRESHOLD;
        if gone > count && gone as f64 > share * self.entry_keys.len() as f64 {
            warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => self.entry_keys.len());
            self.grace_until = Instant::now() + self.settings.recovery_grace;
        }
    }

    fn record_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.items
            .send_modify(|items| items.record_revision(revision));
    }

    fn apply_removal(&mut self, key: &str) {
        match self.registry.parse_removal(key) {
            Some(Removal::UpstreamRemoved(instance)) => self.handle_missing_entry(instance),
            Some(Removal::ZoneRestored(zone)) => {
                self.items.send_modify(|items| items.remove(key));
                let mut zones = self.evacuated_zones.clone();
                zones.remove(&zone);
                self.set_evacuated_zones(zones);
            }
            None => {}
        }
    }

    fn apply_write(&mut self, item: PublishedItem, document: RegistryDocument) {
        let key = Arc::clone(&item.key);
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
                self.handle_missing_entry(instance);
            }
            RegistryDocument::UnreadableConfiguration { reason } => {
                error!(self.log, "configuration_unreadable"; "reason" => reason);
            }
        }
    }

    /// Takes an entry as gone, unless the registry has just come back: then it may only have lapsed.
    fn handle_missing_entry(&mut self, instance: Arc<str>) {
        let Some(key) = self.entry_keys.get(&instance) else {
            return;
        };
        // Another node that takes it over has its own time for the return.
        self.items.send_modify(|items| items.remove(key));
        if Instant::now() < self.grace_until {
            self.missing.insert(instance);
        } else {
            self.deregister(&instance);
        }
    }

    fn deregister_expired(&mut self) {
        if Instant::now() < self.grace_until {
            return;
        }
        for instance in std::mem::take(&mut self.missing) {
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

    fn send_event(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

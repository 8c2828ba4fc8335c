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
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest wait after failed reads.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Longest wait after failed reads of a node that has read nothing yet and therefore answers nothing.
const MAX_FIRST_RETRY: Duration = Duration::from_millis(200);

/// Wait of the first watch after a failure. It must show soon whether the registry answers again; a long one that is lost
/// as well would hide its return.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Time that the registry has for the first listing of a node before other nodes are asked as well.
const FIRST_LISTING: Duration = Duration::from_millis(200);

/// Longest time between two watches while entries come back after a failure or a start.
const RETURN_PACE: Duration = Duration::from_millis(250);

/// Entries that vanish together and are taken as lapsed: more than this many, and more than this share of all.
const LAPSED_TOGETHER: (usize, f64) = (2, 0.1);

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
    helpers: watch::Receiver<Vec<SocketAddr>>,
    /// What this node passes on.
    items: watch::Sender<KnownItems>,
    /// Instances with an entry, and the keys of the entries.
    known: HashMap<Arc<str>, Arc<str>>,
    zones_out: BTreeSet<Arc<str>>,
    /// Instances whose entries were missing when the registry returned from a failure.
    missing: HashSet<Arc<str>>,
    /// When they are taken as gone.
    missing_until: Instant,
    /// Revision to watch from; `None` before the first listing and after a lost history.
    revision: Option<u64>,
    failing: bool,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing. It asks the nodes `helpers` while the registry gives nothing.
    pub fn new(
        registry: R,
        settings: WatchSettings,
        forward: ForwardSender,
        helpers: watch::Receiver<Vec<SocketAddr>>,
        log: Logger,
    ) -> Self {
        Self {
            registry,
            settings,
            forward,
            log,
            helpers,
            items: watch::Sender::default(),
            known: HashMap::new(),
            zones_out: BTreeSet::new(),
            missing: HashSet::new(),
            missing_until: Instant::now(),
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
        let mut retry = FIRST_RETRY;
        loop {
            let wait = match self.read().await {
                Ok(()) => {
                    retry = FIRST_RETRY;
                    self.poll_interval()
                }
                Err(RegistryError::HistoryLost) => {
                    warn!(self.log, "registry_history_lost"; "revision" => self.revision);
                    self.revision = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    self.failed(&fault);
                    if let Some(snapshot) = self.ask_helper().await {
                        self.relayed(snapshot);
                    }
                    retry = (retry * 2).min(MAX_RETRY);
                    if self.known.is_empty() {
                        retry.min(MAX_FIRST_RETRY)
                    } else {
                        retry
                    }
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    async fn read(&mut self) -> Result<(), RegistryError> {
        match self.revision {
            None if self.known.is_empty() => self.first_read().await?,
            None => {
                let listing = self.registry.list().await?;
                self.regained();
                self.listed(listing);
            }
            Some(revision) => {
                let wait = self.next_wait();
                let changes = self.registry.watch(revision, wait).await?;
                self.regained();
                self.changed(changes);
            }
        }
        self.drop_missing();
        Ok(())
    }

    /// Reads the registry, or what another node has read of it if that comes first.
    async fn first_read(&mut self) -> Result<(), RegistryError> {
        tokio::select! {
            listing = self.registry.list() => {
                let listing = listing?;
                self.regained();
                self.listed(listing);
            }
            snapshot = self.first_snapshot() => {
                let reason = "another node answered before the first listing".to_owned();
                self.failed(&RegistryError::Unavailable { reason });
                self.relayed(snapshot);
            }
        }
        Ok(())
    }

    /// Asks other nodes for what they know until one knows something, after the registry has had its time.
    async fn first_snapshot(&self) -> Snapshot {
        loop {
            tokio::time::sleep(FIRST_LISTING).await;
            if let Some(snapshot) = self.ask_helper().await
                && snapshot.revision > 0
            {
                return snapshot;
            }
        }
    }

    /// Asks one other node for what it has read later than this one.
    async fn ask_helper(&self) -> Option<Snapshot> {
        let helper = {
            let helpers = self.helpers.borrow();
            fastrand::choice(helpers.iter()).copied()?
        };
        let known = self.items.borrow().revision();
        match snapshot_exchange::ask(helper, known).await {
            Ok(snapshot) => {
                if snapshot.revision > known {
                    info!(self.log, "registry_relayed"; "by" => %helper, "from" => known,
                        "revision" => snapshot.revision, "items" => snapshot.items.len(),
                        "current" => snapshot.current);
                }
                Some(snapshot)
            }
            Err(fault) => {
                debug!(self.log, "snapshot_not_received"; "by" => %helper, "fault" => %fault);
                None
            }
        }
    }

    /// Takes over what another node has read later than this one. Entries that it no longer has, and that don't return,
    /// are gone once it reads the registry.
    fn relayed(&mut self, snapshot: Snapshot) {
        let current = snapshot.current;
        if snapshot.revision > self.items.borrow().revision() {
            self.listed(snapshot);
        }
        if current {
            self.drop_missing();
        }
    }

    fn poll_interval(&self) -> Duration {
        let returning = Instant::now() < self.missing_until;
        if returning {
            self.settings.interval.min(RETURN_PACE)
        } else {
            self.settings.interval
        }
    }

    /// Waits no longer than until missing entries are taken as gone, and shortly after a failure.
    fn next_wait(&self) -> Duration {
        if self.failing {
            return FIRST_WAIT;
        }
        if self.missing.is_empty() {
            return self.settings.max_wait;
        }
        let left = self.missing_until.saturating_duration_since(Instant::now());
        left.min(self.settings.max_wait)
    }

    fn failed(&mut self, fault: &RegistryError) {
        if !self.failing {
            warn!(self.log, "registry_lost"; "fault" => %fault, "revision" => self.revision);
        }
        self.failing = true;
        self.items.send_modify(|items| items.set_current(false));
    }

    fn regained(&mut self) {
        self.items.send_modify(|items| items.set_current(true));
        if self.failing {
            info!(self.log, "registry_regained"; "revision" => self.revision);
            self.failing = false;
            self.missing_until = Instant::now() + self.settings.recovery_grace;
        }
    }

    fn listed(&mut self, listing: Snapshot) {
        self.read_up_to(listing.revision);
        let mut seen = HashSet::new();
        let mut keys = HashSet::new();
        let mut zones_out = BTreeSet::new();
        for item in listing.items {
            let Some(document) = self.registry.parse_item(&item) else {
                continue;
            };
            match &document {
                RegistryDocument::Upstream(entry) => {
                    seen.insert(Arc::clone(&entry.instance));
                }
                RegistryDocument::EvacuatedZone(zone) => {
                    zones_out.insert(Arc::clone(zone));
                }
                _ => {}
            }
            keys.insert(Arc::clone(&item.key));
            self.written(item, document);
        }
        if zones_out != self.zones_out {
            self.set_zones(zones_out);
        }
        let gone = self
            .known
            .keys()
            .filter(|instance| !seen.contains(*instance));
        let gone: Vec<_> = gone.map(Arc::clone).collect();
        if self.failing {
            let missing = gone.iter().filter(|gone| !self.missing.contains(*gone));
            self.await_return(missing.count());
        }
        for instance in gone {
            self.entry_gone(instance);
        }
        self.items.send_modify(|items| items.retain(&keys));
    }

    fn changed(&mut self, changes: Changes) {
        self.read_up_to(changes.revision);
        let gone = |change: &&Change| {
            let removed = match change {
                Change::Removed(key) => self.registry.parse_removal(key),
                Change::Written(_) => None,
            };
            matches!(removed, Some(Removal::UpstreamRemoved(_)))
        };
        self.await_return(changes.changes.iter().filter(gone).count());
        for change in changes.changes {
            match change {
                Change::Written(item) => {
                    if let Some(document) = self.registry.parse_item(&item) {
                        self.written(item, document);
                    }
                }
                Change::Removed(key) => self.removed(&key),
            }
        }
    }

    /// Gives entries that vanish together time to return: the registry may have been away without a failed read, and
    /// many entries lapsed meanwhile.
    fn await_return(&mut self, gone: usize) {
        let (count, share) = LAPSED_TOGETHER;
        if gone > count && gone as f64 > share * self.known.len() as f64 {
            warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => self.known.len());
            self.missing_until = Instant::now() + self.settings.recovery_grace;
        }
    }

    fn read_up_to(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.items.send_modify(|items| items.read(revision));
    }

    fn removed(&mut self, key: &str) {
        match self.registry.parse_removal(key) {
            Some(Removal::UpstreamRemoved(instance)) => self.entry_gone(instance),
            Some(Removal::ZoneRestored(zone)) => {
                self.items.send_modify(|items| items.remove(key));
                let mut zones = self.zones_out.clone();
                zones.remove(&zone);
                self.set_zones(zones);
            }
            None => {}
        }
    }

    fn written(&mut self, item: PublishedItem, document: RegistryDocument) {
        let key = Arc::clone(&item.key);
        if !matches!(
            document,
            RegistryDocument::UnreadableUpstream { .. }
                | RegistryDocument::UnreadableConfiguration { .. }
        ) {
            self.items.send_modify(|items| items.insert(item));
        }
        match document {
            RegistryDocument::Configuration(table) => self.tell(ForwardEvent::Configured(table)),
            RegistryDocument::EvacuatedZone(zone) => {
                let mut zones = self.zones_out.clone();
                if zones.insert(zone) {
                    self.set_zones(zones);
                }
            }
            RegistryDocument::Upstream(entry) => {
                self.known.insert(Arc::clone(&entry.instance), key);
                self.missing.remove(&entry.instance);
                self.tell(ForwardEvent::UpstreamRegistered(entry));
            }
            RegistryDocument::UnreadableUpstream { instance, reason } => {
                warn!(self.log, "entry_unreadable"; "instance" => &*instance, "reason" => reason);
                self.entry_gone(instance);
            }
            RegistryDocument::UnreadableConfiguration { reason } => {
                error!(self.log, "configuration_unreadable"; "reason" => reason);
            }
        }
    }

    /// Takes an entry as gone, unless the registry has just come back: then it may only have lapsed.
    fn entry_gone(&mut self, instance: Arc<str>) {
        let Some(key) = self.known.get(&instance) else {
            return;
        };
        // Another node that takes it over has its own time for the return.
        self.items.send_modify(|items| items.remove(key));
        if Instant::now() < self.missing_until {
            self.missing.insert(instance);
        } else {
            self.forget(&instance);
        }
    }

    fn drop_missing(&mut self) {
        if Instant::now() < self.missing_until {
            return;
        }
        for instance in std::mem::take(&mut self.missing) {
            self.forget(&instance);
        }
    }

    fn forget(&mut self, instance: &Arc<str>) {
        self.known.remove(instance);
        self.tell(ForwardEvent::UpstreamDeregistered(Arc::clone(instance)));
    }

    fn set_zones(&mut self, zones: BTreeSet<Arc<str>>) {
        let names: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
        info!(self.log, "zones_out_changed"; "zones" => names.join(","));
        self.zones_out.clone_from(&zones);
        self.tell(ForwardEvent::ZonesEvacuated(zones));
    }

    fn tell(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

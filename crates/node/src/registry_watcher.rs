//! The task that follows a registry and sends its changes to the forward task.

use crate::{
    boot_clock::BootClock,
    configuration_confirmation::ConfigurationConfirmation,
    forward_metrics::ForwardMetrics,
    forward_task::{ForwardMessage, ForwardSender},
    known_items::{KnownItems, KnownView},
    prelude::*,
    registry::{Change, Changes, Registry, RegistryDocument, RegistryError, Removal},
    snapshot_exchange::{self, RelayServer},
};
use std::collections::{BTreeSet, HashSet};
use tokio::{net::TcpListener, time::Instant};

/// Longest delay after failed reads while the node has read nothing and so can't answer any request.
const MAX_RETRY_DELAY_BEFORE_FIRST_READ: Duration = Duration::from_millis(200);

/// Time limit of a call while the node has read nothing. No bound applies to a node that can't answer any request.
const CALL_TIMEOUT_BEFORE_FIRST_READ: Duration = Duration::from_secs(1);

/// Time that the first listing may take before other nodes are asked too, and the pause between such attempts.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(200);

/// From where a node has items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ContentSource {
    /// The registry itself.
    Registry,
    /// A reader, which has checked the entries against earlier ones and tells the age of what it says.
    Reader,
    /// A snapshot of any node. It doesn't tell which configuration the registry holds, because nodes don't pass on one that
    /// they can't read.
    Snapshot,
}

/// Follows a registry, and falls back to the snapshots of other nodes while it fails.
#[derive(Debug)]
pub struct RegistryWatcher<R> {
    pub(crate) registry: R,
    /// Read anew before each use, because it can change.
    limits: watch::Receiver<RegistryLimits>,
    forward: ForwardSender,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) log: Logger,
    /// Nodes to ask for a snapshot while the registry fails.
    contacts: watch::Receiver<Vec<SocketAddr>>,
    /// Items that this node passes on to others.
    pub(crate) items: watch::Sender<KnownItems>,
    /// Number of nodes that follow this one.
    followers: watch::Sender<u32>,
    /// The fleet; `None` before the first heartbeat.
    pub(crate) fleet: watch::Receiver<Option<RegistryFleet>>,
    pub(crate) readers: RegistryReaders,
    /// Registered entries, by instance.
    entries: HashMap<Arc<str>, RegisteredUpstream>,
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Instances whose entries disappeared and may return, with the end of each one's grace period. It is never moved
    /// later.
    missing: HashMap<Arc<str>, Timestamp>,
    pub(crate) histories: EntryHistories,
    pub(crate) contact: RegistryContact,
    pub(crate) clock: Clock,
    /// Revision to watch from; `None` before the first listing and after the history was lost.
    pub(crate) revision: Option<u64>,
    pub(crate) confirmation: ConfigurationConfirmation,
    /// Latest time as of which the items are confirmed, by reads of this node or relayed ones. It never decreases.
    view_at: Option<BootTime>,
    /// When this node last read the registry itself.
    pub(crate) last_own_read: Timestamp,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing yet. `contacts` are nodes to ask for a snapshot while the registry fails.
    ///
    /// # Errors
    ///
    /// If an embedded state chart is invalid.
    pub fn new(
        registry: R,
        limits: watch::Receiver<RegistryLimits>,
        forward: ForwardSender,
        contacts: watch::Receiver<Vec<SocketAddr>>,
        metrics: ForwardMetrics,
        log: Logger,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            registry,
            limits,
            forward,
            metrics,
            log,
            contacts,
            items: watch::Sender::default(),
            followers: watch::Sender::default(),
            fleet: watch::channel(None).1,
            readers: RegistryReaders::new()?,
            entries: HashMap::new(),
            evacuated_zones: BTreeSet::new(),
            missing: HashMap::new(),
            histories: EntryHistories::default(),
            contact: RegistryContact::new(Timestamp::ZERO)?,
            clock: Clock::start(),
            revision: None,
            confirmation: ConfigurationConfirmation::new(BootClock::System),
            view_at: None,
            last_own_read: Timestamp::ZERO,
        })
    }

    /// Follows a reader when the fleet is large enough. Without a fleet, the node always reads the registry itself.
    #[must_use]
    pub fn with_fleet(self, fleet: watch::Receiver<Option<RegistryFleet>>) -> Self {
        Self { fleet, ..self }
    }

    /// Answers nodes that ask for snapshots and nodes that follow this one, for the life of the process.
    pub fn serve_nodes(&self, listener: TcpListener) -> impl Future<Output = ()> + use<R> {
        let server = RelayServer {
            known: self.items.subscribe(),
            followers: self.followers.clone(),
            clock: self.confirmation.clock(),
            log: self.log.clone(),
        };
        server.serve(listener)
    }

    /// Measures the age of the configuration with this clock instead of the system's.
    #[must_use]
    pub fn with_boot_clock(self, clock: BootClock) -> Self {
        Self {
            confirmation: ConfigurationConfirmation::new(clock),
            ..self
        }
    }

    pub(crate) fn limits(&self) -> RegistryLimits {
        *self.limits.borrow()
    }

    /// Follows the registry for the life of the process.
    pub async fn run(mut self) {
        loop {
            self.update_fleet();
            match self.next_source() {
                RegistrySource::Reader(reader) => self.follow(reader).await,
                RegistrySource::Store => {
                    let wait = self.read_store().await;
                    if self.next_source() == RegistrySource::Store {
                        self.sleep(wait).await;
                    }
                }
            }
        }
    }

    pub(crate) fn update_fleet(&mut self) {
        let limits = self.limits();
        let fleet = self.fleet.borrow_and_update();
        self.readers.update_fleet(fleet.as_ref(), &limits);
    }

    /// Where to take the contents of the registry from next. A node whose entries may return after an outage goes on reading,
    /// because a reader that has just failed too would delay their return beyond the grace period.
    fn next_source(&mut self) -> RegistrySource {
        let now = self.clock.now();
        let is_recovering = !self.missing.is_empty() && now < self.contact.recovery_until();
        if is_recovering && self.readers.state() == RegistrySourceState::Reading {
            return RegistrySource::Store;
        }
        self.readers.next_source(now)
    }

    /// Reads the registry once. Returns the time until the next read.
    async fn read_store(&mut self) -> Duration {
        let sent = self.clock.now();
        let result = self.read_registry().await;
        self.metrics.record_registry_read(&result);
        match result {
            Ok(()) => {
                let any_missing = !self.missing.is_empty();
                let pause = self
                    .contact
                    .pause(self.clock.now(), any_missing, &self.limits());
                self.confirmation.limit_interval(pause)
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
                let elapsed = self.clock.now().since(sent);
                self.ask_contact_during(self.retry_delay(elapsed)).await
            }
        }
    }

    /// Time since the items were confirmed; `None` if they never were.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        self.view_at.map(|at| self.confirmation.now().since(at))
    }

    /// Records that the items are those of the registry as of this time, and tells this to the followers.
    pub(crate) fn confirm_view(&mut self, at: BootTime) {
        if let Some(age) = self.view_age() {
            self.metrics.record_registry_view_age(age);
        }
        self.view_at = self.view_at.max(Some(at));
        let recovery_left = self.contact.recovery_until().since(self.clock.now());
        let recovery_until = Some(self.confirmation.now() + recovery_left);
        let view = self.view_at.filter(|_| self.confirmation.allows_relaying());
        let view = view.map(|read_at| KnownView {
            read_at,
            configuration_at: self.confirmation.confirmed_at(),
            recovery_until: recovery_until.filter(|_| !recovery_left.is_zero()),
        });
        self.items.send_modify(|items| {
            items.set_current(true);
            items.set_view(view);
        });
    }

    /// Records a read by this node itself, which shows the registry as of time `at`.
    fn confirm_own_read(&mut self, at: BootTime) {
        self.confirm_configuration(at);
        self.confirm_view(at);
    }

    fn retry_delay(&self, elapsed: Duration) -> Duration {
        let delay = self.contact.retry_delay(elapsed, &self.limits());
        if self.entries.is_empty() {
            delay.min(MAX_RETRY_DELAY_BEFORE_FIRST_READ)
        } else {
            delay
        }
    }

    fn call_timeout(&self) -> Duration {
        if self.entries.is_empty() {
            CALL_TIMEOUT_BEFORE_FIRST_READ
        } else {
            self.limits().call_timeout
        }
    }

    /// Asks another node during an outage, for no longer than the delay before the next read. Returns what is left of
    /// the delay.
    async fn ask_contact_during(&mut self, delay: Duration) -> Duration {
        let until = Instant::now() + delay;
        if !self.readers.readers().is_empty() {
            // Leaves time to ask other nodes, if the reader does not answer.
            let polled = tokio::time::timeout(delay / 2, self.poll_any_reader()).await;
            if polled == Ok(true) {
                return Duration::ZERO;
            }
        }
        if self.contact.state() == RegistryState::Away || self.entries.is_empty() {
            let answer = tokio::time::timeout_at(until, self.ask_contact()).await;
            if let Ok(Some(snapshot)) = answer {
                self.apply_peer_snapshot(snapshot);
            }
        }
        until.saturating_duration_since(Instant::now())
    }

    /// Waits before the next read. Entries whose grace period ends meanwhile are deregistered at its end, unless the
    /// last read failed: they may have returned unseen.
    pub(crate) async fn sleep(&mut self, wait: Duration) {
        let until = self.clock.now() + wait;
        while let Some(end) = self.next_grace_end().filter(|end| *end < until)
            && self.contact.state() == RegistryState::Steady
        {
            tokio::time::sleep_until(self.clock.instant(end)).await;
            self.deregister_expired();
        }
        tokio::time::sleep_until(self.clock.instant(until)).await;
    }

    pub(crate) fn next_grace_end(&self) -> Option<Timestamp> {
        self.missing.values().copied().min()
    }

    async fn read_registry(&mut self) -> Result<(), RegistryError> {
        let revoke_within = self.limits().revoke_within;
        self.confirmation.set_revoke_within(revoke_within);
        let is_relayed = self.readers.is_relaying_fleet();
        if self.confirmation.needs_listing(is_relayed) {
            self.revision = None;
        }
        match self.revision {
            None if self.entries.is_empty() => self.first_read().await?,
            None => {
                let sent_at = self.confirmation.now();
                let listing = self.registry.list(self.call_timeout()).await?;
                self.record_success();
                self.apply_own_listing(listing);
                self.confirm_own_read(sent_at);
            }
            Some(revision) => {
                let times = self.watch_times();
                let sent_at = self.confirmation.now();
                let changes = self.registry.watch(revision, times).await?;
                let timing = WatchTiming {
                    sent_at,
                    wait: times.wait,
                    answered_at: self.confirmation.now(),
                    found_changes: !changes.changes.is_empty(),
                };
                self.record_success();
                self.apply_changes(changes);
                self.confirm_own_read(timing.confirmed_at());
            }
        }
        self.deregister_expired();
        Ok(())
    }

    /// Times of the next watch.
    fn watch_times(&self) -> WatchTimes {
        let limits = self.limits();
        if self.contact.is_following() {
            return self.contact.overdue_read_times(&limits);
        }
        let now = self.clock.now();
        let mut times = self
            .contact
            .watch_times(now, self.next_grace_end(), &limits);
        times.wait = self.confirmation.limit_wait(times.wait);
        let has_followers = self.readers.is_reader() || *self.followers.borrow() > 0;
        if has_followers && limits.allows_following() {
            let age = self.view_age().unwrap_or_default();
            times.wait = times.wait.min(limits.relaying_wait(age));
        }
        times
    }

    /// Reads the registry for the first time, or takes another node's snapshot if that arrives first.
    async fn first_read(&mut self) -> Result<(), RegistryError> {
        let sent_at = self.confirmation.now();
        tokio::select! {
            listing = self.registry.list(self.call_timeout()) => {
                let listing = listing?;
                self.record_success();
                self.apply_own_listing(listing);
                self.confirm_own_read(sent_at);
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

    /// Applies another node's snapshot if it is newer. Entries whose grace period has ended are deregistered only if the
    /// other node currently reads the registry.
    fn apply_peer_snapshot(&mut self, snapshot: Snapshot) {
        let current = snapshot.current;
        if snapshot.revision > self.items.borrow().revision() {
            let revision = self.revision;
            // Its instances don't tell which ones the registry has: nodes don't pass on entries that they refused.
            let _instances = self.apply_listing(snapshot, ContentSource::Snapshot);
            if self.confirmation.is_required() || self.readers.is_relaying_fleet() {
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

    fn record_failure(&mut self, fault: &RegistryError) {
        let event = match fault {
            // The first read of a follower does not wait, so that one that is cut has failed.
            RegistryError::Cut if !self.contact.is_following() => RegistryContactEvent::Cut,
            _ => RegistryContactEvent::Failed,
        };
        let change = self.contact.apply(self.clock.now(), event, &self.limits());
        if change == Some(RegistryState::Away) {
            warn!(self.log, "registry_lost"; "fault" => %fault, "revision" => self.revision);
        } else {
            debug!(self.log, "registry_read_failed"; "fault" => %fault, "revision" => self.revision);
        }
        // A cut watch alone says nothing about the registry, but other nodes must not trust one that reads nothing.
        let is_away = self.contact.state() == RegistryState::Away;
        if event == RegistryContactEvent::Failed || is_away {
            self.items.send_modify(|items| items.set_current(false));
        }
    }

    fn record_success(&mut self) {
        let before = self.contact.state();
        let now = self.clock.now();
        self.contact
            .apply(now, RegistryContactEvent::Read, &self.limits());
        self.handle_regained_contact(before);
        self.readers.handle_read(now);
        self.last_own_read = now;
    }

    /// Limits the grace periods of entries that were missing before an outage, if this read has ended one.
    pub(crate) fn handle_regained_contact(&mut self, before: RegistryState) {
        if before == RegistryState::Away {
            info!(self.log, "registry_regained"; "revision" => self.revision);
            let latest = self.contact.recovery_until();
            for end in self.missing.values_mut() {
                *end = latest.min(*end);
            }
        }
    }

    /// Applies what the registry itself lists.
    fn apply_own_listing(&mut self, listing: Snapshot) {
        let instances = self.apply_listing(listing, ContentSource::Registry);
        self.histories.retain(&instances);
    }

    /// Applies a complete set of items. Returns the instances that have an entry in it, readable or not.
    pub(crate) fn apply_listing(
        &mut self,
        listing: Snapshot,
        source: ContentSource,
    ) -> HashSet<Arc<str>> {
        self.revision = Some(listing.revision);
        self.items
            .send_modify(|items| items.record_listing(listing.revision));
        if source != ContentSource::Snapshot {
            self.confirmation.record_none();
        }
        let mut seen = HashSet::new();
        let mut unreadable = HashSet::new();
        let mut keys = HashSet::new();
        let mut evacuated_zones = BTreeSet::new();
        for item in listing.items {
            let Some(document) = self.registry.parse_item(&item) else {
                continue;
            };
            match &document {
                RegistryDocument::Upstream(entry) => {
                    seen.insert(Arc::clone(&entry.upstream.instance));
                }
                RegistryDocument::UnreadableUpstream { instance, .. } => {
                    unreadable.insert(Arc::clone(instance));
                }
                RegistryDocument::EvacuatedZone(zone) => {
                    evacuated_zones.insert(Arc::clone(zone));
                }
                _ => {}
            }
            keys.insert(Arc::clone(&item.key));
            self.apply_write(item, document, source);
        }
        if evacuated_zones != self.evacuated_zones {
            self.set_evacuated_zones(evacuated_zones);
        }
        let gone = self
            .entries
            .keys()
            .filter(|instance| !seen.contains(*instance));
        let gone: Vec<_> = gone.map(Arc::clone).collect();
        let missing = gone.iter().filter(|gone| !self.missing.contains_key(*gone));
        let grace_until = self.grace_end(missing.count());
        for instance in gone {
            self.handle_missing_entry(instance, grace_until);
        }
        self.items.send_modify(|items| items.retain(&keys));
        seen.extend(unreadable);
        seen
    }

    fn apply_changes(&mut self, changes: Changes) {
        self.record_revision(changes.revision);
        let grace_until = self.grace_end(self.count_vanished(&changes.changes));
        for change in changes.changes {
            match change {
                Change::Written(item) => {
                    if let Some(document) = self.registry.parse_item(&item) {
                        self.apply_write(item, document, ContentSource::Registry);
                    }
                }
                Change::Removed(key) => self.apply_removal(&key, grace_until),
            }
        }
    }

    /// Number of registered entries that these changes remove for good.
    fn count_vanished(&self, changes: &[Change]) -> usize {
        let mut vanished = HashSet::new();
        for change in changes {
            match change {
                Change::Written(item) => {
                    vanished.remove(&item.key);
                }
                Change::Removed(key) => {
                    let removal = self.registry.parse_removal(key);
                    if let Some(Removal::UpstreamRemoved(instance)) = removal
                        && self.is_registered_and_present(&instance)
                    {
                        vanished.insert(key);
                    }
                }
            }
        }
        vanished.len()
    }

    pub(crate) fn is_registered_and_present(&self, instance: &str) -> bool {
        self.entries.contains_key(instance) && !self.missing.contains_key(instance)
    }

    /// End of the grace period of entries of which so many disappear in one read.
    pub(crate) fn grace_end(&self, gone: usize) -> Timestamp {
        let known = self.entries.len();
        if RegistryContact::is_mass_lapse(gone, known) {
            warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => known);
        }
        self.contact
            .grace_end(self.clock.now(), gone, known, &self.limits())
    }

    pub(crate) fn record_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.items
            .send_modify(|items| items.record_revision(revision));
    }

    pub(crate) fn apply_removal(&mut self, key: &str, grace_until: Timestamp) {
        let removal = self.registry.parse_removal(key);
        if removal.is_some() {
            // Entries that are missing are not passed on: a node that takes over the snapshot applies a grace period of its
            // own.
            self.items.send_modify(|items| items.remove(key));
        }
        match removal {
            Some(Removal::UpstreamRemoved(instance)) => {
                self.histories.forget(&instance);
                self.handle_missing_entry(instance, grace_until);
            }
            Some(Removal::ZoneRestored(zone)) => {
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

    pub(crate) fn apply_write(
        &mut self,
        item: PublishedItem,
        document: RegistryDocument,
        source: ContentSource,
    ) {
        if source != ContentSource::Snapshot {
            self.confirmation.record_document(&document);
        }
        match document {
            RegistryDocument::Configuration(table) => {
                self.pass_on(item, false);
                self.send_event(ForwardEvent::Configured(table));
            }
            RegistryDocument::EvacuatedZone(zone) => {
                self.pass_on(item, false);
                let mut zones = self.evacuated_zones.clone();
                if zones.insert(zone) {
                    self.set_evacuated_zones(zones);
                }
            }
            RegistryDocument::Upstream(registration) => {
                self.apply_entry(item, registration, source);
            }
            RegistryDocument::UnreadableUpstream {
                instance,
                field,
                reason,
            } => {
                self.report_refusal(&item.key, &instance, field, &reason);
                self.withdraw(&item, &instance);
            }
            RegistryDocument::UnreadableConfiguration { reason } => {
                error!(self.log, "configuration_unreadable"; "reason" => reason);
            }
        }
    }

    fn apply_entry(
        &mut self,
        item: PublishedItem,
        registration: UpstreamRegistration,
        source: ContentSource,
    ) {
        let checked = if source == ContentSource::Reader {
            self.histories.record_accepted(&registration);
            Ok(())
        } else {
            self.histories.check(&registration)
        };
        let upstream = registration.upstream;
        match checked {
            Ok(()) => {}
            Err(conflict @ EntryConflict::OtherService) => {
                let reason = "another service than that of an earlier entry of the same start";
                self.report_refusal(&item.key, &upstream.instance, conflict.field(), reason);
                self.withdraw(&item, &upstream.instance);
                return;
            }
            Err(conflict @ EntryConflict::Outdated) => {
                // Not logged: after a listing of several pages, a watch repeats changes.
                self.metrics.record_refused_entry(conflict.field());
                return;
            }
        }
        let instance = Arc::clone(&upstream.instance);
        self.missing.remove(&instance);
        let earlier = self.entries.insert(instance, upstream.clone());
        let is_unchanged = earlier.is_some_and(|earlier| earlier == upstream);
        self.pass_on(item, is_unchanged);
        self.send_event(ForwardEvent::UpstreamRegistered(upstream));
    }

    /// Keeps an item for the nodes that ask for it. If it is unchanged, the followers have it already.
    fn pass_on(&self, item: PublishedItem, is_unchanged: bool) {
        self.items
            .send_modify(|items| items.insert(item, is_unchanged));
    }

    /// Counts an entry that is not used, and logs the first one of each key.
    fn report_refusal(
        &mut self,
        key: &str,
        instance: &Arc<str>,
        field: &'static str,
        reason: &str,
    ) {
        self.metrics.record_refused_entry(field);
        if self.histories.note_refusal(instance) {
            warn!(self.log, "entry_refused"; "key" => key, "field" => field, "reason" => reason);
        }
    }

    /// Deregisters an instance whose entry was overwritten by one that names no upstream. Its key exists, so its lease
    /// has not expired and there is no grace period.
    pub(crate) fn withdraw(&mut self, item: &PublishedItem, instance: &Arc<str>) {
        self.missing.remove(instance);
        self.items.send_modify(|items| items.refuse(item));
        if self.entries.contains_key(instance) {
            self.deregister(instance);
        }
    }

    /// Deregisters an instance whose entry disappeared, or notes it as missing during the grace period: its lease may
    /// just have expired while the registry failed. One that is missing already keeps its grace period.
    fn handle_missing_entry(&mut self, instance: Arc<str>, grace_until: Timestamp) {
        if !self.entries.contains_key(&instance) {
            return;
        }
        if self.clock.now() < grace_until {
            self.missing.entry(instance).or_insert(grace_until);
        } else if !self.missing.contains_key(&instance) {
            self.deregister(&instance);
        }
    }

    pub(crate) fn deregister_expired(&mut self) {
        let now = self.clock.now();
        let expired = self.missing.iter().filter(|(_, end)| **end <= now);
        let expired: Vec<_> = expired.map(|(instance, _)| Arc::clone(instance)).collect();
        for instance in expired {
            self.missing.remove(&instance);
            self.deregister(&instance);
        }
    }

    fn deregister(&mut self, instance: &Arc<str>) {
        self.entries.remove(instance);
        self.send_event(ForwardEvent::UpstreamDeregistered(Arc::clone(instance)));
    }

    fn set_evacuated_zones(&mut self, zones: BTreeSet<Arc<str>>) {
        let names: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
        info!(self.log, "zones_out_changed"; "zones" => names.join(","));
        self.evacuated_zones.clone_from(&zones);
        self.send_event(ForwardEvent::ZonesEvacuated(zones));
    }

    /// Reports that the registry held the configuration in force at time `at`, unless it holds one that is not known.
    pub(crate) fn confirm_configuration(&mut self, at: BootTime) {
        if let Some(event) = self.confirmation.confirm(at) {
            self.send_event(event);
        }
    }

    fn send_event(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

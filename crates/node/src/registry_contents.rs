//! What the registry holds, as far as this node knows: applies it to the forward task and keeps it for other nodes.

use crate::{
    boot_clock::BootClock,
    configuration_confirmation::ConfigurationConfirmation,
    forward_metrics::ForwardMetrics,
    forward_task::{ForwardMessage, ForwardSender},
    known_items::{KnownItems, KnownView},
    prelude::*,
    registry::{Change, Changes, Registry, RegistryDocument, Removal},
};
use medlarpost_core::registry_entries::{EntryChange, RegistryEntries};
use std::collections::{BTreeSet, HashSet};

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

/// What determines the grace periods of entries that disappear in one read.
#[derive(Clone, Copy)]
pub(crate) struct GraceRules<'contact> {
    now: Timestamp,
    contact: &'contact RegistryContact,
    limits: RegistryLimits,
}

impl<'contact> GraceRules<'contact> {
    /// Rules for a read that `contact` has recorded.
    pub(crate) fn new(
        now: Timestamp,
        contact: &'contact RegistryContact,
        limits: RegistryLimits,
    ) -> Self {
        Self {
            now,
            contact,
            limits,
        }
    }
}

/// What a complete set of items names, as far as it can be parsed.
#[derive(Debug, Default)]
struct ListedKeys {
    keys: HashSet<Arc<str>>,
    /// Instances with a readable entry.
    registered: HashSet<Arc<str>>,
    /// Instances with an entry that can't be read.
    unreadable: HashSet<Arc<str>>,
    evacuated_zones: BTreeSet<Arc<str>>,
}

impl ListedKeys {
    fn record(&mut self, key: &Arc<str>, document: &RegistryDocument) {
        self.keys.insert(Arc::clone(key));
        match document {
            RegistryDocument::Upstream(registration) => {
                let instance = Arc::clone(&registration.upstream.instance);
                self.registered.insert(instance);
            }
            RegistryDocument::UnreadableUpstream { instance, .. } => {
                self.unreadable.insert(Arc::clone(instance));
            }
            RegistryDocument::EvacuatedZone(zone) => {
                self.evacuated_zones.insert(Arc::clone(zone));
            }
            RegistryDocument::Configuration(_)
            | RegistryDocument::UnreadableConfiguration { .. } => {}
        }
    }
}

/// Contents of the registry and what was made of them.
#[derive(Debug)]
pub(crate) struct RegistryContents<R> {
    pub(crate) registry: R,
    forward: ForwardSender,
    metrics: ForwardMetrics,
    log: Logger,
    /// Items that this node passes on to others.
    pub(crate) items: watch::Sender<KnownItems>,
    pub(crate) entries: RegistryEntries,
    evacuated_zones: BTreeSet<Arc<str>>,
    /// Revision to watch from; `None` before the first listing and after the history was lost.
    pub(crate) revision: Option<u64>,
    pub(crate) confirmation: ConfigurationConfirmation,
    /// Latest time as of which the items are confirmed, by reads of this node or relayed ones. It never decreases.
    view_at: Option<BootTime>,
}

impl<R: Registry> RegistryContents<R> {
    /// Contents of which nothing is known.
    pub(crate) fn new(
        registry: R,
        forward: ForwardSender,
        metrics: ForwardMetrics,
        log: Logger,
    ) -> Self {
        Self {
            registry,
            forward,
            metrics,
            log,
            items: watch::Sender::default(),
            entries: RegistryEntries::default(),
            evacuated_zones: BTreeSet::new(),
            revision: None,
            confirmation: ConfigurationConfirmation::new(BootClock::System),
            view_at: None,
        }
    }

    /// Latest revision that was read, by this node or another one; 0 before the first read.
    pub(crate) fn latest_revision(&self) -> u64 {
        self.items.borrow().revision()
    }

    /// Time since the contents were confirmed; `None` if they never were.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        self.view_at.map(|at| self.confirmation.now().since(at))
    }

    /// Records that the contents are those of the registry as of this time, and tells this to the followers, with the rest
    /// of the grace period after an outage.
    pub(crate) fn confirm_view(&mut self, at: BootTime, recovery_left: Duration) {
        if let Some(age) = self.view_age() {
            self.metrics.record_registry_view_age(age);
        }
        self.view_at = self.view_at.max(Some(at));
        let recovery_until = self.confirmation.now() + recovery_left;
        let view = self.view_at.filter(|_| self.confirmation.allows_relaying());
        let view = view.map(|read_at| KnownView {
            read_at,
            configuration_at: self.confirmation.confirmed_at(),
            recovery_until: (!recovery_left.is_zero()).then_some(recovery_until),
        });
        // Two nodes that follow each other must not answer each other for ever.
        self.items.send_if_modified(|items| items.confirm(view));
    }

    /// Reports that the registry held the configuration in force at time `at`, unless it holds one that is not known.
    pub(crate) fn confirm_configuration(&mut self, at: BootTime) {
        if let Some(event) = self.confirmation.confirm(at) {
            self.send_event(event);
        }
    }

    /// Applies what the registry itself lists.
    pub(crate) fn apply_own_listing(&mut self, listing: Snapshot, rules: GraceRules<'_>) {
        let instances = self.apply_listing(listing, Vec::new(), ContentSource::Registry, rules);
        self.entries.retain_histories(&instances);
    }

    /// Applies another node's snapshot, which confirms nothing. Its instances don't tell which ones the registry has: nodes
    /// don't pass on entries that they refused.
    pub(crate) fn apply_snapshot(&mut self, snapshot: Snapshot, rules: GraceRules<'_>) {
        let _instances = self.apply_listing(snapshot, Vec::new(), ContentSource::Snapshot, rules);
    }

    /// Applies a complete set of items, and the items that the source has refused. Returns the instances that have an entry
    /// in the set, readable or not.
    fn apply_listing(
        &mut self,
        listing: Snapshot,
        refused: Vec<RelayedRemoval>,
        source: ContentSource,
        rules: GraceRules<'_>,
    ) -> HashSet<Arc<str>> {
        self.revision = Some(listing.revision);
        self.items
            .send_modify(|items| items.record_listing(listing.revision));
        if source != ContentSource::Snapshot {
            self.confirmation.record_none();
        }
        let mut listed = ListedKeys::default();
        for item in listing.items {
            let Some(document) = self.registry.parse_item(&item) else {
                continue;
            };
            listed.record(&item.key, &document);
            self.apply_write(item, document, source);
        }
        // Before the absent entries are counted: a refused one has not vanished.
        for removal in refused {
            listed.keys.insert(Arc::clone(&removal.key));
            self.apply_relayed_removal(removal, rules.now, rules);
        }
        let ListedKeys {
            keys,
            registered,
            unreadable,
            evacuated_zones,
        } = listed;
        if evacuated_zones != self.evacuated_zones {
            self.set_evacuated_zones(evacuated_zones);
        }
        self.remove_absent_entries(&registered, rules);
        self.items.send_modify(|items| items.retain(&keys));
        &registered | &unreadable
    }

    fn remove_absent_entries(&mut self, listed: &HashSet<Arc<str>>, rules: GraceRules<'_>) {
        let absent = self.entries.absent_from(listed);
        let present = absent
            .iter()
            .filter(|instance| self.entries.is_present(instance));
        let grace_until = self.grace_end(present.count(), rules);
        for instance in &absent {
            if self
                .entries
                .handle_missing(rules.now, instance, grace_until)
            {
                self.deregister(instance);
            }
        }
    }

    /// Applies the changes that a watch of this node has found.
    pub(crate) fn apply_changes(&mut self, changes: Changes, rules: GraceRules<'_>) {
        self.record_revision(changes.revision);
        let grace_until = self.grace_end(self.count_vanished(&changes.changes), rules);
        for change in changes.changes {
            match change {
                Change::Written(item) => self.apply_item(item, ContentSource::Registry),
                Change::Removed(key) => self.apply_removal(&key, grace_until, rules),
            }
        }
    }

    /// Applies what a reader has read.
    pub(crate) fn apply_reply(&mut self, reply: RegistryReply, rules: GraceRules<'_>) {
        let RegistryReply {
            snapshot, removals, ..
        } = reply;
        if !reply.changes_only {
            // With all items, a reader names only refused entries.
            let _instances = self.apply_listing(snapshot, removals, ContentSource::Reader, rules);
            return;
        }
        self.record_revision(snapshot.revision);
        let grace_until = self.grace_end(self.count_relayed_removals(&removals), rules);
        for removal in removals {
            self.apply_relayed_removal(removal, grace_until, rules);
        }
        for item in snapshot.items {
            self.apply_item(item, ContentSource::Reader);
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
                Change::Removed(key) if self.removes_entry(key) => {
                    vanished.insert(key);
                }
                Change::Removed(_) => {}
            }
        }
        vanished.len()
    }

    fn count_relayed_removals(&self, removals: &[RelayedRemoval]) -> usize {
        let gone = removals
            .iter()
            .filter(|removal| removal.refused.is_none() && self.removes_entry(&removal.key));
        gone.count()
    }

    fn removes_entry(&self, key: &str) -> bool {
        match self.registry.parse_removal(key) {
            Some(Removal::UpstreamRemoved(instance)) => self.entries.is_present(&instance),
            _ => false,
        }
    }

    /// End of the grace period of entries of which so many disappear in one read.
    fn grace_end(&self, gone: usize, rules: GraceRules<'_>) -> Timestamp {
        let known = self.entries.len();
        if RegistryContact::is_mass_lapse(gone, known) {
            warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => known);
        }
        let GraceRules {
            now,
            contact,
            limits,
        } = rules;
        contact.grace_end(now, gone, known, &limits)
    }

    fn record_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.items.send_if_modified(|items| {
            let is_changed = items.revision() != revision;
            items.record_revision(revision);
            is_changed
        });
    }

    fn apply_removal(&mut self, key: &str, grace_until: Timestamp, rules: GraceRules<'_>) {
        match self.registry.parse_removal(key) {
            Some(Removal::UpstreamRemoved(instance)) => {
                // A missing entry is not passed on: a node that takes over the snapshot applies a grace period of its own.
                self.items.send_modify(|items| items.remove(key));
                let now = rules.now;
                let is_over = self.entries.handle_removal(now, &instance, grace_until);
                if is_over {
                    self.deregister(&instance);
                }
            }
            Some(Removal::ZoneRestored(zone)) => {
                self.items.send_modify(|items| items.remove(key));
                let mut zones = self.evacuated_zones.clone();
                zones.remove(&zone);
                self.set_evacuated_zones(zones);
            }
            Some(Removal::ConfigurationRemoved) => {
                warn!(self.log, "configuration_removed");
                self.items.send_modify(|items| items.mark_deleted(key));
                self.confirmation.record_none();
            }
            None => {}
        }
    }

    /// Applies the removal of an item as the reader did: a refused entry has no grace period.
    fn apply_relayed_removal(
        &mut self,
        removal: RelayedRemoval,
        grace_until: Timestamp,
        rules: GraceRules<'_>,
    ) {
        let RelayedRemoval { key, refused } = removal;
        let Some(value) = refused else {
            self.apply_removal(&key, grace_until, rules);
            return;
        };
        let item = PublishedItem { key, value };
        match self.registry.parse_item(&item) {
            Some(RegistryDocument::Upstream(registration)) => {
                self.entries.record_refused(&registration);
                self.withdraw(&item, &registration.upstream.instance);
            }
            Some(RegistryDocument::UnreadableUpstream { instance, .. }) => {
                self.withdraw(&item, &instance);
            }
            _ => {}
        }
    }

    fn apply_item(&mut self, item: PublishedItem, source: ContentSource) {
        if let Some(document) = self.registry.parse_item(&item) {
            self.apply_write(item, document, source);
        }
    }

    fn apply_write(
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
                self.pass_on(item, EntryChange::Changed);
                self.send_event(ForwardEvent::Configured(table));
            }
            RegistryDocument::EvacuatedZone(zone) => {
                self.pass_on(item, EntryChange::Changed);
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
        let registered = if source == ContentSource::Reader {
            Ok(self.entries.register_checked(&registration))
        } else {
            self.entries.register(&registration)
        };
        let upstream = registration.upstream;
        match registered {
            Ok(change) => {
                self.pass_on(item, change);
                self.send_event(ForwardEvent::UpstreamRegistered(upstream));
            }
            Err(conflict @ EntryConflict::OtherService) => {
                let reason = "another service than that of an earlier entry of the same start";
                self.report_refusal(&item.key, &upstream.instance, conflict.field(), reason);
                self.withdraw(&item, &upstream.instance);
            }
            Err(conflict @ EntryConflict::Outdated) => {
                // Not logged: after a listing of several pages, a watch repeats changes.
                self.metrics.record_refused_entry(conflict.field());
            }
        }
    }

    /// Keeps an item for the nodes that ask for it. If it is unchanged, the followers have it already.
    fn pass_on(&self, item: PublishedItem, change: EntryChange) {
        let is_unchanged = change == EntryChange::Unchanged;
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
        if self.entries.note_refusal(instance) {
            warn!(self.log, "entry_refused"; "key" => key, "field" => field, "reason" => reason);
        }
    }

    /// Deregisters an instance whose entry was overwritten by one that names no upstream.
    fn withdraw(&mut self, item: &PublishedItem, instance: &Arc<str>) {
        self.items.send_modify(|items| items.refuse(item));
        if self.entries.withdraw(instance) {
            self.deregister(instance);
        }
    }

    /// Deregisters the instances whose grace period has ended.
    pub(crate) fn deregister_expired(&mut self, now: Timestamp) {
        for instance in self.entries.remove_expired(now) {
            self.deregister(&instance);
        }
    }

    fn deregister(&self, instance: &Arc<str>) {
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

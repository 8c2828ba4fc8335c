//! Registry items that this node applies, kept so that it can pass them on to other nodes.

use crate::prelude::*;
use std::collections::HashSet;

/// Most removed or refused items to remember. A follower that lacks older ones gets all items.
const MAX_REMOVALS: usize = 1024;

/// The items that this node applies, with the latest revision that it has read.
#[derive(Debug, Default)]
pub(crate) struct KnownItems {
    /// Never decreases.
    revision: u64,
    /// Whether the last read was of an earlier revision than `revision`, as after a reset of the registry.
    is_behind: bool,
    /// Whether the last read of the registry succeeded.
    current: bool,
    items: BTreeMap<Arc<str>, KnownItem>,
    removals: BTreeMap<Arc<str>, KnownRemoval>,
    /// Revision since which all changes are known.
    history_start: u64,
    view: Option<KnownView>,
}

#[derive(Clone, Debug)]
struct KnownItem {
    value: Bytes,
    /// Revision with which the last change arrived that matters to nodes.
    changed_at: u64,
    /// Whether the registry no longer has it. Only nodes that can't read the registry still get it.
    is_deleted: bool,
}

#[derive(Clone, Debug)]
struct KnownRemoval {
    /// Value that this node refused; `None` if the key is gone.
    refused: Option<Bytes>,
    removed_at: u64,
}

/// As of which times the items are confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct KnownView {
    pub(crate) read_at: BootTime,
    pub(crate) configuration_at: Option<BootTime>,
    /// End of the grace period after an outage.
    pub(crate) recovery_until: Option<BootTime>,
}

impl KnownItems {
    /// Latest revision that was read; 0 before the first read.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the revision of a watch or of relayed changes, which continue from the last revision.
    pub(crate) fn record_revision(&mut self, revision: u64) {
        if revision < self.revision {
            self.is_behind = true;
            return;
        }
        self.revision = revision;
        if std::mem::take(&mut self.is_behind) {
            self.forget_history();
        }
    }

    /// Records the revision of a complete set of items. Keys that came and went since the last revision are unknown.
    pub(crate) fn record_listing(&mut self, revision: u64) {
        self.record_revision(revision);
        self.forget_history();
    }

    fn forget_history(&mut self) {
        self.history_start = self.revision;
    }

    /// Records that the last read of the registry failed.
    pub(crate) fn record_failure(&mut self) {
        self.current = false;
    }

    /// Records as of which time the items are confirmed; `None` if this node can't vouch for them. Returns whether that
    /// is news to followers.
    pub(crate) fn confirm(&mut self, view: Option<KnownView>) -> bool {
        let times =
            |view: Option<KnownView>| view.map(|view| (view.read_at, view.configuration_at));
        let is_news = !self.current || times(self.view) != times(view);
        self.current = true;
        self.view = view;
        is_news
    }

    /// Adds or replaces an item. If what nodes use of it is unchanged, it is not relayed again.
    pub(crate) fn insert(&mut self, item: PublishedItem, is_unchanged: bool) {
        self.removals.remove(&item.key);
        match self.items.get_mut(&item.key) {
            Some(known) if is_unchanged && !known.is_deleted => known.value = item.value,
            _ => {
                let known = KnownItem {
                    value: item.value,
                    changed_at: self.revision,
                    is_deleted: false,
                };
                self.items.insert(item.key, known);
            }
        }
    }

    /// Removes an item whose key is gone, also if it is not known: a follower may know it.
    pub(crate) fn remove(&mut self, key: &str) {
        self.record_removal(key, None);
    }

    /// Notes that the registry no longer has an item that stays in force.
    pub(crate) fn mark_deleted(&mut self, key: &str) {
        let kept = self.items.get(key).cloned();
        self.record_removal(key, None);
        if let Some(mut kept) = kept {
            kept.is_deleted = true;
            self.items.insert(key.into(), kept);
        }
    }

    /// Removes an item whose new value this node refused.
    pub(crate) fn refuse(&mut self, item: &PublishedItem) {
        self.record_removal(&item.key, Some(item.value.clone()));
    }

    fn record_removal(&mut self, key: &str, refused: Option<Bytes>) {
        self.items.remove(key);
        let removal = KnownRemoval {
            refused,
            removed_at: self.revision,
        };
        self.removals.insert(key.into(), removal);
        if self.removals.len() > MAX_REMOVALS {
            self.forget_oldest_removals();
        }
    }

    fn forget_oldest_removals(&mut self) {
        let revisions = self.removals.values().map(|removal| removal.removed_at);
        if let Some(oldest) = revisions.min() {
            self.removals
                .retain(|_, removal| removal.removed_at > oldest);
            self.history_start = self.history_start.max(oldest);
        }
    }

    /// Removes all items whose keys are not in the set, except those that stay in force without one.
    pub(crate) fn retain(&mut self, keys: &HashSet<Arc<str>>) {
        self.items
            .retain(|key, item| item.is_deleted || keys.contains(key));
        self.removals.retain(|key, _| keys.contains(key));
    }

    /// Snapshot for a node that knows everything up to `revision`: all items, or none if there is nothing newer.
    pub(crate) fn snapshot_after(&self, revision: u64) -> Snapshot {
        let current = self.current;
        if self.revision <= revision {
            return Snapshot {
                current,
                ..Snapshot::default()
            };
        }
        let items = self.items.iter();
        Snapshot {
            revision: self.revision,
            current,
            items: items.map(published_item).collect(),
        }
    }

    /// Reply to a follower that knows everything up to `after` and whose poll has arrived at `arrived_at`.
    pub(crate) fn reply_after(&self, after: u64, arrived_at: BootTime) -> RegistryReply {
        let changes_only = after >= self.history_start;
        let since = if changes_only { after } else { 0 };
        let removals = self.removals.iter().filter(|(_, removal)| {
            removal.removed_at > since && (changes_only || removal.refused.is_some())
        });
        let removals = removals.map(|(key, removal)| RelayedRemoval {
            key: Arc::clone(key),
            refused: removal.refused.clone(),
        });
        RegistryReply {
            snapshot: Snapshot {
                revision: self.revision,
                current: self.current,
                items: self.items_after(since),
            },
            changes_only,
            removals: removals.collect(),
            ages: self.ages(arrived_at),
        }
    }

    fn items_after(&self, since: u64) -> Vec<PublishedItem> {
        let items = self.items.iter();
        let changed = items.filter(|(_, item)| item.changed_at > since && !item.is_deleted);
        changed.map(published_item).collect()
    }

    fn ages(&self, arrived_at: BootTime) -> RelayAges {
        let Some(view) = self.view.filter(|_| !self.is_behind) else {
            return RelayAges::default();
        };
        let age = |at| RelayAges::age_ms(arrived_at, at);
        let recovery = view
            .recovery_until
            .map(|until| until.since(arrived_at).as_millis());
        RelayAges {
            view_ms: Some(age(view.read_at)),
            configuration_ms: view.configuration_at.map(age),
            recovery_ms: u32::try_from(recovery.unwrap_or(0)).unwrap_or(u32::MAX),
        }
    }
}

fn published_item((key, item): (&Arc<str>, &KnownItem)) -> PublishedItem {
    PublishedItem {
        key: Arc::clone(key),
        value: item.value.clone(),
    }
}

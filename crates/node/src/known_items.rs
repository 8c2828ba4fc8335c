//! Registry items that this node applies, kept so that it can pass them on to other nodes.

use crate::prelude::*;
use std::collections::HashSet;

/// The items that this node applies, with the latest revision that it has read.
#[derive(Debug, Default)]
pub(crate) struct KnownItems {
    revision: u64,
    /// Whether the last read of the registry succeeded.
    current: bool,
    items: BTreeMap<Arc<str>, Bytes>,
}

impl KnownItems {
    /// Latest revision that was read; 0 before the first read.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the revision of a listing, a watch or another node's snapshot. The revision never decreases.
    pub(crate) fn record_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    pub(crate) fn set_current(&mut self, current: bool) {
        self.current = current;
    }

    /// Adds or replaces an item.
    pub(crate) fn insert(&mut self, item: PublishedItem) {
        self.items.insert(item.key, item.value);
    }

    /// Removes an item that no longer applies.
    pub(crate) fn remove(&mut self, key: &str) {
        self.items.remove(key);
    }

    /// Removes all items whose keys are not in the set.
    pub(crate) fn retain(&mut self, keys: &HashSet<Arc<str>>) {
        self.items.retain(|key, _| keys.contains(key));
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
        let items = self.items.iter().map(|(key, value)| PublishedItem {
            key: Arc::clone(key),
            value: value.clone(),
        });
        Snapshot {
            revision: self.revision,
            current,
            items: items.collect(),
        }
    }
}

//! The published items that a node goes by, as it passes them on.

use crate::prelude::*;
use std::collections::HashSet;

/// The newest revision that a node has read and the items that it goes by.
#[derive(Debug, Default)]
pub(crate) struct KnownItems {
    revision: u64,
    /// Whether the last read succeeded.
    current: bool,
    items: BTreeMap<Arc<str>, Bytes>,
}

impl KnownItems {
    /// Revision of the last read; 0 before the first.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the revision of a read, of the registry or of what another node passed on. It never falls.
    pub(crate) fn record_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records whether the last read of the registry succeeded.
    pub(crate) fn set_current(&mut self, current: bool) {
        self.current = current;
    }

    /// Records an item that decides something from now on.
    pub(crate) fn insert(&mut self, item: PublishedItem) {
        self.items.insert(item.key, item.value);
    }

    /// Forgets an item that decides nothing any more.
    pub(crate) fn remove(&mut self, key: &str) {
        self.items.remove(key);
    }

    /// Forgets all items but those with these keys.
    pub(crate) fn retain(&mut self, keys: &HashSet<Arc<str>>) {
        self.items.retain(|key, _| keys.contains(key));
    }

    /// What a node is told that knows everything up to a revision: all items, or nothing if there is nothing later.
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

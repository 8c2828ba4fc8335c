//! The entries of upstreams in the registry that a node uses, and for how long it keeps those that disappear.

use crate::prelude::*;
use std::collections::{HashMap, HashSet};

/// Whether an entry that registers an upstream says anything new.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryChange {
    /// The upstream is new, or something of its entry has changed that nodes use.
    Changed,
    /// The entry says what the last one said.
    Unchanged,
}

/// Entries by instance. The registry has at most one of each instance, because the instance is its key.
#[derive(Debug, Default)]
pub struct RegistryEntries {
    /// Last entry of each registered instance, the missing ones included.
    registered: HashMap<Arc<str>, RegisteredUpstream>,
    /// Registered instances whose entries disappeared and may return, with the end of each one's grace period. It is
    /// never moved later.
    missing: HashMap<Arc<str>, Timestamp>,
    histories: EntryHistories,
}

impl RegistryEntries {
    /// Number of registered instances, the missing ones included.
    pub fn len(&self) -> usize {
        self.registered.len()
    }

    /// Whether no instance is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Whether the instance is registered and its entry has not disappeared.
    pub fn is_present(&self, instance: &str) -> bool {
        self.registered.contains_key(instance) && !self.missing.contains_key(instance)
    }

    /// Whether an entry has disappeared and may return.
    pub fn any_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Earliest end of a grace period.
    pub fn next_grace_end(&self) -> Option<Timestamp> {
        self.missing.values().copied().min()
    }

    /// Registers an upstream by an entry that this node has read itself.
    ///
    /// # Errors
    ///
    /// If the entry conflicts with earlier ones and must not be used. The upstream stays as it is registered.
    pub fn register(
        &mut self,
        registration: &UpstreamRegistration,
    ) -> Result<EntryChange, EntryConflict> {
        self.histories.check(registration)?;
        Ok(self.insert(&registration.upstream))
    }

    /// Registers an upstream by an entry that a reader has checked against earlier ones.
    pub fn register_checked(&mut self, registration: &UpstreamRegistration) -> EntryChange {
        self.histories.record_accepted(registration);
        self.insert(&registration.upstream)
    }

    fn insert(&mut self, upstream: &RegisteredUpstream) -> EntryChange {
        let instance = Arc::clone(&upstream.instance);
        self.missing.remove(&instance);
        match self.registered.insert(instance, upstream.clone()) {
            Some(earlier) if earlier == *upstream => EntryChange::Unchanged,
            _ => EntryChange::Changed,
        }
    }

    /// Notes that an entry of the instance was refused. Returns whether it is the first one under its key.
    pub fn note_refusal(&mut self, instance: &Arc<str>) -> bool {
        self.histories.note_refusal(instance)
    }

    /// Records an entry that a reader has refused.
    pub fn record_refused(&mut self, registration: &UpstreamRegistration) {
        self.histories.record_refused(registration);
    }

    /// Removes an instance whose entry was overwritten by one that names no upstream. Its key exists, so its lease has not
    /// expired and there is no grace period. Returns whether it was registered.
    pub fn withdraw(&mut self, instance: &str) -> bool {
        self.missing.remove(instance);
        self.registered.remove(instance).is_some()
    }

    /// Handles an entry whose key is gone, as [`Self::handle_missing`].
    pub fn handle_removal(
        &mut self,
        now: Timestamp,
        instance: &Arc<str>,
        grace_until: Timestamp,
    ) -> bool {
        self.histories.forget(instance);
        self.handle_missing(now, instance, grace_until)
    }

    /// Removes an instance whose entry disappeared, or notes it as missing during the grace period: its lease may just have
    /// expired while the registry failed. One that is missing already keeps its grace period. Returns whether it was
    /// removed.
    pub fn handle_missing(
        &mut self,
        now: Timestamp,
        instance: &Arc<str>,
        grace_until: Timestamp,
    ) -> bool {
        if !self.is_present(instance) {
            return false;
        }
        if now < grace_until {
            self.missing.insert(Arc::clone(instance), grace_until);
            return false;
        }
        self.registered.remove(instance).is_some()
    }

    /// Registered instances that are not in a complete set of entries.
    pub fn absent_from(&self, listed: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
        let instances = self.registered.keys();
        let absent = instances.filter(|instance| !listed.contains(*instance));
        absent.map(Arc::clone).collect()
    }

    /// Forgets the earlier entries of all instances whose keys are not in the set.
    pub fn retain_histories(&mut self, present: &HashSet<Arc<str>>) {
        self.histories.retain(present);
    }

    /// Ends all grace periods by this time.
    pub fn limit_grace(&mut self, latest: Timestamp) {
        for end in self.missing.values_mut() {
            *end = latest.min(*end);
        }
    }

    /// Removes the instances whose grace period has ended, and returns them.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let expired = self.missing.iter().filter(|(_, end)| **end <= now);
        let expired: Vec<_> = expired.map(|(instance, _)| Arc::clone(instance)).collect();
        for instance in &expired {
            self.missing.remove(instance);
            self.registered.remove(instance);
        }
        expired
    }
}

//! Times at which queries and flows want to be looked at.

use crate::prelude::*;
use std::collections::BTreeSet;

/// One time a key, in order, so that a wakeup touches only the keys that are due.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    by_time: BTreeSet<(Timestamp, K)>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self {
            by_time: BTreeSet::new(),
        }
    }
}

impl<K: Copy + Ord> Timers<K> {
    /// Replaces the time `old` of a key by `new`.
    pub(crate) fn reschedule(&mut self, key: K, old: Option<Timestamp>, new: Option<Timestamp>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.by_time.remove(&(old, key));
        }
        if let Some(new) = new {
            self.by_time.insert((new, key));
        }
    }

    /// Earliest time.
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Takes out a key whose time has come.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<K> {
        let &(at, key) = self.by_time.first()?;
        if at > now {
            return None;
        }
        self.by_time.pop_first();
        Some(key)
    }
}

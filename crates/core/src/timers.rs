//! Timers of queries and flows.

use crate::prelude::*;
use std::collections::BTreeSet;

/// At most one timer per key, ordered by time, so that a wakeup visits only keys that are due.
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
    /// Moves the timer of a key from `old` to `new`. `old` must be the time it was last set to; `None` means no timer.
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

    /// Time of the earliest timer.
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes and returns a key whose timer is due.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<K> {
        let &(at, key) = self.by_time.first()?;
        if at > now {
            return None;
        }
        self.by_time.pop_first();
        Some(key)
    }
}

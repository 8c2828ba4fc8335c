//! Counts of the refusals of the last one to two minutes, by kind.

use crate::prelude::*;

/// Length of a counting window.
const WINDOW: Duration = Duration::from_mins(1);

/// Counts refusals by kind in the current and the previous window. Its size is bounded by the number of kinds.
#[derive(Clone, Debug, Default)]
pub struct RecentRefusals {
    started: Timestamp,
    current: BTreeMap<RefusalKind, u64>,
    previous: BTreeMap<RefusalKind, u64>,
}

impl RecentRefusals {
    /// Counts a refusal at time `now`.
    pub fn record(&mut self, now: Timestamp, kind: RefusalKind) {
        self.rotate_windows(now);
        *self.current.entry(kind).or_default() += 1;
    }

    /// Sums of both windows, by the code of the kind.
    pub fn counts_by_kind(&mut self, now: Timestamp) -> BTreeMap<String, u64> {
        self.rotate_windows(now);
        let mut counts = BTreeMap::new();
        for (kind, count) in self.current.iter().chain(&self.previous) {
            *counts.entry(kind.name().to_owned()).or_default() += count;
        }
        counts
    }

    fn rotate_windows(&mut self, now: Timestamp) {
        let age = now.since(self.started);
        if age < WINDOW {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * WINDOW {
            self.previous.clear();
        }
        self.started = now;
    }
}

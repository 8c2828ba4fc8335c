//! Queue of the sub-requests that wait for a busy upstream.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Number of sub-requests that may wait on one node: with 230 shards, about 70 queries of which every shard waits.
const MAX_WAITING: u32 = 16_384;

/// Number of entries of one upstream above which stale entries are removed.
const STALE_SWEEP_LENGTH: usize = 4 * MAX_WAITING as usize;

/// A waiting sub-request, listed under each upstream that it may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Waiter {
    pub(crate) query: QueryKey,
    pub(crate) epoch: u32,
    pub(crate) shard: u32,
}

/// Waiting sub-requests of each upstream, in order of arrival. Entries of sub-requests that no longer wait are stale;
/// they stay until they reach the front or [`WaitQueue::drop_stale`] removes them.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    by_upstream: HashMap<UpstreamKey, VecDeque<Waiter>>,
    waiting: u32,
}

impl WaitQueue {
    /// Number of waiting sub-requests.
    pub(crate) fn len(&self) -> u32 {
        self.waiting
    }

    /// Whether another sub-request may wait.
    pub(crate) fn has_room(&self) -> bool {
        self.waiting < MAX_WAITING
    }

    /// Adds a sub-request that waits for any of the given upstreams.
    pub(crate) fn push(&mut self, upstreams: impl Iterator<Item = UpstreamKey>, waiter: Waiter) {
        self.waiting += 1;
        for upstream in upstreams {
            self.by_upstream
                .entry(upstream)
                .or_default()
                .push_back(waiter);
        }
    }

    /// Decrements the number of waiting sub-requests; the entries of the sub-request become stale.
    pub(crate) fn record_removal(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.by_upstream.clear();
        }
    }

    /// First entry of an upstream.
    pub(crate) fn front(&self, upstream: UpstreamKey) -> Option<Waiter> {
        self.by_upstream.get(&upstream)?.front().copied()
    }

    /// Removes the first entry of an upstream if it is `waiter`.
    pub(crate) fn drop_front(&mut self, upstream: UpstreamKey, waiter: Waiter) {
        if let Some(queue) = self.by_upstream.get_mut(&upstream)
            && queue.front() == Some(&waiter)
        {
            queue.pop_front();
        }
    }

    /// Upstreams that sub-requests wait for, sorted by key so that the order is reproducible.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamKey> {
        let mut keys: Vec<_> = self.by_upstream.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Removes the stale entries of upstreams with more than [`STALE_SWEEP_LENGTH`] entries.
    pub(crate) fn drop_stale(&mut self, is_waiting: impl Fn(&Waiter) -> bool) {
        for queue in self.by_upstream.values_mut() {
            if queue.len() > STALE_SWEEP_LENGTH {
                queue.retain(&is_waiting);
            }
        }
        self.by_upstream.retain(|_, queue| !queue.is_empty());
    }
}

//! Merge of the hits of all shards.

use crate::prelude::*;
use std::{
    cmp::Ordering,
    collections::BinaryHeap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
};

/// A hit with its sort key: score, then a hash that differs between requests, then the id.
#[derive(Debug)]
struct RankedHit {
    hit: Hit,
    tie_break: u64,
}

impl Ord for RankedHit {
    /// A better hit compares as less, so that the top of the heap is the worst hit.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = other.hit.score.total_cmp(&self.hit.score);
        by_score
            .then(self.tie_break.cmp(&other.tie_break))
            .then_with(|| self.hit.id.cmp(&other.hit.id))
    }
}

impl PartialOrd for RankedHit {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedHit {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedHit {}

/// Keeps the best `limit` hits of all shards in a bounded heap.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    tie_seed: DefaultHasher,
    best: BinaryHeap<RankedHit>,
}

impl HitMerger {
    /// An empty merger for one request. Hits with equal scores are ordered by a hash over the request id, so that no
    /// firm is always first.
    pub fn new(request_id: &str, limit: usize) -> Self {
        let mut tie_seed = DefaultHasher::new();
        request_id.hash(&mut tie_seed);
        Self {
            limit,
            tie_seed,
            best: BinaryHeap::new(),
        }
    }

    /// Adds the hits of one shard; they need not be sorted.
    pub fn add_hits(&mut self, hits: Vec<Hit>) {
        for hit in hits {
            self.add_hit(hit);
        }
    }

    fn add_hit(&mut self, hit: Hit) {
        if self.best.len() < self.limit {
            let tie_break = self.tie_break(&hit.id);
            self.best.push(RankedHit { hit, tie_break });
            return;
        }
        let Some(worst) = self.best.peek() else {
            return;
        };
        if hit.score.total_cmp(&worst.hit.score) == Ordering::Less {
            return;
        }
        let tie_break = self.tie_break(&hit.id);
        let ranked = RankedHit { hit, tie_break };
        if let Some(mut worst) = self.best.peek_mut()
            && ranked < *worst
        {
            *worst = ranked;
        }
    }

    /// The kept hits, best first.
    pub fn into_hits(self) -> Vec<Hit> {
        let sorted = self.best.into_sorted_vec();
        sorted.into_iter().map(|ranked| ranked.hit).collect()
    }

    fn tie_break(&self, id: &str) -> u64 {
        let mut hasher = self.tie_seed.clone();
        id.hash(&mut hasher);
        hasher.finish()
    }
}

//! Merge of the shards' hits.

use crate::prelude::*;
use std::{
    cmp::Ordering,
    collections::BinaryHeap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
};

/// A hit with its place in the order: score first, then a hash that differs between requests, then the id.
#[derive(Debug)]
struct RankedHit {
    hit: Hit,
    tie_break: u64,
}

impl Ord for RankedHit {
    /// Better hits are less, so that the worst one is on top of a heap.
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

/// The best hits of all shards, kept in a heap of at most `limit` hits.
#[derive(Debug)]
pub struct HitMerger {
    limit: usize,
    tie_seed: DefaultHasher,
    best: BinaryHeap<RankedHit>,
}

impl HitMerger {
    /// An empty merge. The order of hits with equal scores depends on the request's id, so that no firm is always
    /// first.
    pub fn new(request_id: &str, limit: usize) -> Self {
        let mut tie_seed = DefaultHasher::new();
        request_id.hash(&mut tie_seed);
        Self {
            limit,
            tie_seed,
            best: BinaryHeap::new(),
        }
    }

    /// Adds the hits of one shard, in any order.
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

    /// Hits, best first.
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

//! Query texts with repeats.

use crate::query_key::QueryKey;
use medlarpost_fakes::prelude::*;

/// Texts that are asked again and again.
const TEXTS: usize = 200;

/// Share of queries with a text that was never asked.
const NEW_SHARE: f64 = 0.1;

/// Smallest number of hits wanted; more than all shards together return.
const MIN_LIMIT: u32 = 100;

/// Uses of one text that are told apart by the number of hits wanted.
const LIMITS: u32 = 900;

/// Texts whose frequency falls with their rank (Zipf, exponent 1).
#[derive(Debug)]
pub(crate) struct QueryGenerator {
    rng: fastrand::Rng,
    /// Sum of the weights up to each rank.
    sums: Vec<f64>,
    uses: HashMap<usize, u32>,
    new_texts: u64,
}

impl QueryGenerator {
    pub(crate) fn new(seed: u64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=TEXTS)
            .map(|rank| {
                sum += 1.0 / rank as f64;
                sum
            })
            .collect();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            sums,
            uses: HashMap::new(),
            new_texts: 0,
        }
    }

    pub(crate) fn next_query(&mut self) -> QueryKey {
        if self.rng.f64() < NEW_SHARE {
            self.new_texts += 1;
            return QueryKey {
                text: format!("new {}", self.new_texts).into(),
                limit: MIN_LIMIT,
            };
        }
        let total = self.sums.last().copied().unwrap_or_default();
        let point = self.rng.f64() * total;
        let rank = self.sums.partition_point(|sum| *sum < point);
        let uses = self.uses.entry(rank).or_default();
        let asked = QueryKey {
            text: format!("query {rank} {}", *uses / LIMITS).into(),
            limit: MIN_LIMIT + *uses % LIMITS,
        };
        *uses += 1;
        asked
    }
}

//! Generates the queries of the demonstration, most of them with repeated texts.

use crate::query_key::QueryKey;
use medlarpost_fakes::prelude::*;

/// Number of texts that are repeated.
const REPEATED_TEXTS: usize = 200;

/// Share of queries with a text of their own.
const NEW_TEXT_SHARE: f64 = 0.1;

/// Smallest number of hits wanted; more than all shards return together.
const MIN_LIMIT: u32 = 100;

/// Uses of one text that differ by the number of hits wanted; after them the text gets another suffix.
const LIMITS_PER_TEXT: u32 = 900;

/// Draws queries whose texts follow a Zipf distribution with exponent 1, so that the frequency of a text falls with its
/// rank.
#[derive(Debug)]
pub(crate) struct QueryGenerator {
    rng: fastrand::Rng,
    /// Sum of the weights up to each rank.
    cumulative_weights: Vec<f64>,
    uses_by_rank: HashMap<usize, u32>,
    new_texts: u64,
}

impl QueryGenerator {
    pub(crate) fn new(seed: u64) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=REPEATED_TEXTS)
            .map(|rank| {
                sum += 1.0 / rank as f64;
                sum
            })
            .collect();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            cumulative_weights,
            uses_by_rank: HashMap::new(),
            new_texts: 0,
        }
    }

    pub(crate) fn next_query(&mut self) -> QueryKey {
        if self.rng.f64() < NEW_TEXT_SHARE {
            self.new_texts += 1;
            return QueryKey {
                text: format!("new {}", self.new_texts).into(),
                limit: MIN_LIMIT,
            };
        }
        let total = self.cumulative_weights.last().copied().unwrap_or_default();
        let point = self.rng.f64() * total;
        let rank = self.cumulative_weights.partition_point(|sum| *sum < point);
        let uses = self.uses_by_rank.entry(rank).or_default();
        let query = QueryKey {
            text: format!("query {rank} {}", *uses / LIMITS_PER_TEXT).into(),
            limit: MIN_LIMIT + *uses % LIMITS_PER_TEXT,
        };
        *uses += 1;
        query
    }
}

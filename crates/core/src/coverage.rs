//! Coverage of an answer, computed from the results of its shards.

use crate::prelude::*;

impl Coverage {
    /// Counts shard results, which are given in ascending order of the shard number.
    pub fn from_results(results: impl IntoIterator<Item = Result<(), MissingReason>>) -> Self {
        let mut coverage = Self::default();
        for result in results {
            let shard = coverage.asked;
            coverage.asked += 1;
            match result {
                Ok(()) => coverage.answered += 1,
                Err(reason) => coverage.missing.push(MissingShard { shard, reason }),
            }
        }
        coverage
    }
}

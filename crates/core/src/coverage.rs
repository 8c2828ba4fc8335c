//! Statement of coverage from the shards' results.

use crate::prelude::*;

impl Coverage {
    /// Coverage by the result of each shard, in the order of the shards.
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

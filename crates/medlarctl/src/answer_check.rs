//! Checks a search answer against the query, index version and shard that the fake upstreams write into each hit.

use crate::query_key::QueryKey;
use medlarpost_fakes::prelude::*;
use medlarpost_node::caller_json::{ResultJson, SearchAnswer};
use std::collections::BTreeSet;

/// Invariants that one search answer violates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerViolations {
    /// A hit belongs to another query or can't be parsed, or the answer has another request id.
    pub misdelivered: bool,
    /// A hit comes from another index version than the answer states.
    pub mixed_versions: bool,
    /// The stated coverage does not match the shards whose hits are in the answer.
    pub wrong_coverage: bool,
}

/// Checks an answer to `key`. `shards` maps each published index version to its number of shards.
pub fn check(
    key: &QueryKey,
    request_id: &str,
    answer: &SearchAnswer,
    shards: &BTreeMap<u64, u32>,
) -> AnswerViolations {
    let origins: Option<Vec<HitOrigin>> = answer.results.iter().map(parse_origin).collect();
    let Some(origins) = origins else {
        return AnswerViolations {
            misdelivered: true,
            ..AnswerViolations::default()
        };
    };
    let mismatched = |origin: &HitOrigin| *origin.query != *key.text || origin.limit != key.limit;
    AnswerViolations {
        misdelivered: answer.request_id != request_id || origins.iter().any(mismatched),
        mixed_versions: origins
            .iter()
            .any(|origin| origin.index_version != answer.index_version),
        wrong_coverage: !coverage_is_correct(answer, &origins, shards),
    }
}

fn parse_origin(result: &ResultJson) -> Option<HitOrigin> {
    serde_json::from_str(result.fields.get()).ok()
}

fn coverage_is_correct(
    answer: &SearchAnswer,
    origins: &[HitOrigin],
    shards: &BTreeMap<u64, u32>,
) -> bool {
    let coverage = &answer.coverage;
    let missing: BTreeSet<u32> = coverage
        .missing
        .iter()
        .map(|missing| missing.shard)
        .collect();
    let stated: BTreeSet<u32> = (0..coverage.asked)
        .filter(|shard| !missing.contains(shard))
        .collect();
    let with_hits: BTreeSet<u32> = origins.iter().map(|origin| origin.shard).collect();
    shards.get(&answer.index_version) == Some(&coverage.asked)
        && missing.len() == coverage.missing.len()
        && stated.len() == coverage.answered as usize
        && stated == with_hits
}

//! Guards against an answer check that overlooks hits of another query, mixed index versions or wrong coverage. Each
//! test but the first feeds it one answer with one such error.

use medlarctl::{
    answer_check::{self, AnswerViolations},
    query_key::QueryKey,
};
use medlarpost_fakes::prelude::*;
use medlarpost_node::caller_json::SearchAnswer;
use serde_json::{Value, json};

#[test]
fn a_consistent_answer_violates_nothing() {
    let answer = answer(&[hit(0, 1, TEXT), hit(2, 1, TEXT)], &[1]);

    let violations = check(&answer);

    assert_eq!(violations, AnswerViolations::default());
}

#[test]
fn a_hit_for_another_query_is_misdelivered() {
    let answer = answer(&[hit(0, 1, "another"), hit(1, 1, TEXT)], &[2]);

    let violations = check(&answer);

    assert!(violations.misdelivered);
}

#[test]
fn an_answer_with_another_request_id_is_misdelivered() {
    let mut answer = answer(&[hit(0, 1, TEXT)], &[1, 2]);
    answer["request_id"] = json!("query-8");

    let violations = check(&answer);

    assert!(violations.misdelivered);
}

#[test]
fn a_hit_from_another_index_version_mixes_versions() {
    let answer = answer(&[hit(0, 1, TEXT), hit(1, 2, TEXT)], &[2]);

    let violations = check(&answer);

    assert!(violations.mixed_versions);
}

#[test]
fn coverage_that_counts_a_shard_without_hits_is_wrong() {
    let answer = answer(&[hit(0, 1, TEXT)], &[1]);

    let violations = check(&answer);

    assert!(violations.wrong_coverage);
}

#[test]
fn coverage_that_lists_a_shard_with_hits_as_missing_is_wrong() {
    let answer = answer(&[hit(0, 1, TEXT), hit(1, 1, TEXT)], &[1, 2]);

    let violations = check(&answer);

    assert!(violations.wrong_coverage);
}

#[test]
fn coverage_with_another_shard_count_than_the_index_version_is_wrong() {
    let mut answer = answer(&[hit(0, 1, TEXT), hit(1, 1, TEXT)], &[]);
    answer["coverage"]["asked"] = json!(2);

    let violations = check(&answer);

    assert!(violations.wrong_coverage);
}

const TEXT: &str = "query 3 0";
const SHARDS: u32 = 3;

/// An answer to `query-7` from index version 1 whose coverage lists these shards as missing.
fn answer(hits: &[Value], missing: &[u32]) -> Value {
    let missing: Vec<_> = missing
        .iter()
        .map(|shard| json!({"shard": shard, "reason": "timeout"}))
        .collect();
    json!({
        "request_id": "query-7",
        "index_version": 1,
        "results": hits,
        "coverage": {
            "asked": SHARDS,
            "answered": SHARDS as usize - missing.len(),
            "missing": missing,
        },
        "timing": {"total_ms": 1.0, "queue_ms": 0.0},
    })
}

fn hit(shard: u32, index_version: u64, query: &str) -> Value {
    let origin = HitOrigin {
        query: query.to_owned(),
        limit: 100,
        index_version,
        shard,
    };
    json!({"id": format!("s{shard}"), "score": 0.5, "owner": "firm-0", "fields": origin})
}

fn check(answer: &Value) -> AnswerViolations {
    let text = answer.to_string();
    let answer: SearchAnswer = serde_json::from_str(&text).expect("the fixture is an answer");
    let key = QueryKey {
        text: TEXT.into(),
        limit: 100,
    };
    answer_check::check(&key, "query-7", &answer, &BTreeMap::from([(1, SHARDS)]))
}

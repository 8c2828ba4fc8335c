//! Guards against invariant checks that can't fail: each test but the counterexamples feeds a record that violates one
//! invariant.

use medlarctl::{
    answer_check::AnswerViolations,
    invariant_violations::{InvariantViolations, PROPAGATION_BOUND},
    observation::{
        BookingAttempt, BookingObservation, BookingOutcome, ConfigObservation, Loss,
        ObservedRefusal, QueryObservation, QueryOutcome,
    },
    query_id::QueryId,
    run_record::{Exclusion, ExclusionReason, RunRecord},
};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

#[test]
fn a_record_without_faults_violates_nothing() {
    let mut record = record();
    let outcome = QueryOutcome::Answered {
        shards: 25,
        answered: 25,
        violations: AnswerViolations::default(),
    };
    record.queries.push(query(record.start, outcome));
    record
        .events
        .push(recorded(record.start, shard_started(record.start)));
    record
        .events
        .push(recorded(record.start, booking_ran(record.start)));
    let reference = Digest::of(CONTENT.as_bytes()).to_string();
    record.bookings.push(booking(vec![(
        record.start,
        BookingOutcome::Booked(reference),
    )]));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations, InvariantViolations::default());
    assert!(violations.violated_invariants().is_empty());
}

#[test]
fn violations_of_answers_are_counted() {
    let mut record = record();
    let outcome = QueryOutcome::Answered {
        shards: 25,
        answered: 25,
        violations: AnswerViolations {
            misdelivered: true,
            mixed_versions: true,
            wrong_coverage: true,
        },
    };
    record.queries.push(query(record.start, outcome));

    let violations = InvariantViolations::from_record(&record);

    let expected = ["snapshot_mixed", "coverage_untrue", "answers_misdelivered"];
    assert_eq!(violations.violated_invariants(), expected);
}

#[test]
fn an_overload_of_a_cold_upstream_is_counted() {
    let mut record = record();
    record.events.push(recorded(
        record.start,
        FakeUpstreamEvent::ColdOverload {
            trace: String::new(),
        },
    ));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.violated_invariants(), ["cold_overload"]);
}

#[test]
fn work_during_an_exclusion_counts_only_after_the_bound_and_before_its_end() {
    let mut record = record();
    let from = record.start;
    record.exclusions = [ExclusionReason::ZoneOut, ExclusionReason::Leaving]
        .map(|reason| Exclusion {
            reason,
            upstreams: vec![UPSTREAM.into()],
            from: Some(from),
            until: Some(from + 2 * PROPAGATION_BOUND),
        })
        .into();
    for after in [
        PROPAGATION_BOUND / 2,
        PROPAGATION_BOUND + PROPAGATION_BOUND / 2,
        3 * PROPAGATION_BOUND,
    ] {
        record
            .events
            .push(recorded(from + after, shard_started(from + after)));
    }

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.work_after_zone_out, 1);
    assert_eq!(violations.work_after_leaving, 1);
}

#[test]
fn a_query_that_ran_although_refused_as_not_run_is_counted() {
    let mut record = record();
    record
        .queries
        .push(query(record.start, QueryOutcome::Refused(refused(true))));
    record
        .events
        .push(recorded(record.start, shard_started(record.start)));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.violated_invariants(), ["refusals_untrue"]);
}

#[test]
fn a_refusal_with_unknown_outcome_is_true_for_a_query_that_ran() {
    let mut record = record();
    record
        .queries
        .push(query(record.start, QueryOutcome::Refused(refused(false))));
    record
        .events
        .push(recorded(record.start, shard_started(record.start)));

    let violations = InvariantViolations::from_record(&record);

    assert!(violations.violated_invariants().is_empty());
}

#[test]
fn a_booking_that_ran_twice_is_counted() {
    let mut record = record();
    record.events = vec![recorded(record.start, booking_ran(record.start)); 2];

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.violated_invariants(), ["bookings_run_twice"]);
}

#[test]
fn a_booking_that_ran_although_every_attempt_was_refused_as_not_run_is_lost() {
    let mut record = record();
    let refusal = BookingOutcome::Refused(refused(true));
    record.bookings.push(booking(vec![(record.start, refusal)]));
    record
        .events
        .push(recorded(record.start, booking_ran(record.start)));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(
        violations.violated_invariants(),
        ["refusals_untrue", "bookings_lost"]
    );
}

#[test]
fn a_refused_booking_that_ran_at_a_later_attempt_violates_nothing() {
    let mut record = record();
    let later = record.start + Duration::from_millis(200);
    let reference = Digest::of(CONTENT.as_bytes()).to_string();
    record.bookings.push(booking(vec![
        (record.start, BookingOutcome::Refused(refused(true))),
        (later, BookingOutcome::Booked(reference)),
    ]));
    record.events.push(recorded(later, booking_ran(later)));

    let violations = InvariantViolations::from_record(&record);

    assert!(violations.violated_invariants().is_empty());
}

#[test]
fn a_confirmation_of_another_booking_is_misdelivered() {
    let mut record = record();
    let foreign = BookingOutcome::Booked("of another booking".to_owned());
    record.bookings.push(booking(vec![(record.start, foreign)]));
    record
        .events
        .push(recorded(record.start, booking_ran(record.start)));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.violated_invariants(), ["answers_misdelivered"]);
}

#[test]
fn queries_and_bookings_that_were_cut_off_are_counted() {
    let mut record = record();
    record
        .queries
        .push(query(record.start, QueryOutcome::Lost(Loss::CutOff)));
    record.bookings.push(booking(vec![(
        record.start,
        BookingOutcome::Lost(Loss::CutOff),
    )]));

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.requests_cut_off, 2);
}

#[test]
fn late_unpropagated_and_reverted_configuration_is_counted() {
    let mut record = record();
    record.config = ConfigObservation {
        max_propagation: 2 * PROPAGATION_BOUND,
        reverts: 1,
        unpropagated: 1,
    };

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.config_reverts, 1);
    assert_eq!(violations.config_late, 2);
}

#[test]
fn hidden_configuration_may_be_late_but_must_not_revert() {
    let mut record = record();
    record.configuration_hidden = true;
    record.config = ConfigObservation {
        max_propagation: 2 * PROPAGATION_BOUND,
        reverts: 1,
        unpropagated: 1,
    };

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.violated_invariants(), ["config_reverts"]);
}

#[test]
fn a_request_that_crashes_three_upstreams_exceeds_the_bound_by_one() {
    let mut record = record();
    let crashed = FakeUpstreamEvent::Crashed {
        query: "crash 1".into(),
    };
    record.events = vec![recorded(record.start, crashed); 3];

    let violations = InvariantViolations::from_record(&record);

    assert_eq!(violations.crashes_over_bound, 1);
}

const UPSTREAM: &str = "slot-search-0-0";
const TEXT: &str = "query 1 0";
const CONTENT: &str = r#"{"slot":1}"#;

fn record() -> RunRecord {
    let start = Instant::now();
    RunRecord {
        start,
        end: start + 4 * PROPAGATION_BOUND,
        queries: Vec::new(),
        bookings: Vec::new(),
        events: Vec::new(),
        exclusions: Vec::new(),
        config: ConfigObservation::default(),
        configuration_hidden: false,
        overload: None,
    }
}

fn query(intended_start: Instant, outcome: QueryOutcome) -> QueryObservation {
    QueryObservation {
        workspace: "tunelix",
        id: query_id(),
        intended_start,
        latency: Duration::from_millis(40),
        outcome,
    }
}

fn query_id() -> QueryId {
    QueryId {
        text: TEXT.into(),
        limit: 100,
    }
}

fn booking(attempts: Vec<(Instant, BookingOutcome)>) -> BookingObservation {
    BookingObservation {
        content: CONTENT.into(),
        attempts: attempts
            .into_iter()
            .map(|(sent, outcome)| BookingAttempt { sent, outcome })
            .collect(),
    }
}

fn refused(not_run: bool) -> ObservedRefusal {
    ObservedRefusal {
        kind: "overloaded".to_owned(),
        not_run,
    }
}

fn recorded(at: Instant, event: FakeUpstreamEvent) -> RecordedEvent {
    RecordedEvent {
        at,
        upstream: UPSTREAM.into(),
        event,
    }
}

fn shard_started(arrived: Instant) -> FakeUpstreamEvent {
    FakeUpstreamEvent::ShardStarted {
        arrived,
        query: TEXT.into(),
        limit: 100,
    }
}

fn booking_ran(arrived: Instant) -> FakeUpstreamEvent {
    FakeUpstreamEvent::BookingRan {
        arrived,
        booking_id: "node-0-1-1".to_owned(),
        content: CONTENT.into(),
    }
}

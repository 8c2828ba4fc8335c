//! Counts violated invariants of a run from the records of callers and fakes, never from the nodes' own counters.

use crate::{
    observation::{BookingAttempt, BookingObservation, BookingOutcome, Loss, QueryOutcome},
    query_key::QueryKey,
    run_record::{Exclusion, ExclusionReason, RunRecord},
};
use medlarpost_fakes::prelude::*;
use std::{collections::HashSet, time::Instant};

/// Stated bound on the time until a published bundle is in force and excluded upstreams receive no more work.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(3);

/// Stated bound on the upstreams that one request may crash.
const MAX_CRASHES_PER_REQUEST: u64 = 2;

/// Number of violations of each invariant; the field names are those of the report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InvariantViolations {
    /// Answers with a hit of another index version than they state.
    pub snapshot_mixed: u64,
    /// Answers whose stated coverage does not match the shards of their hits.
    pub coverage_untrue: u64,
    /// Answers that belong to another request, and bookings confirmed although no upstream ran them.
    pub answers_misdelivered: u64,
    /// Times that a cold upstream received more work than its cold capacity.
    pub cold_overload: u64,
    /// Requests that reached a zone more than [`PROPAGATION_BOUND`] after it was published as out.
    pub work_after_zone_out: u64,
    /// Requests that reached an upstream more than [`PROPAGATION_BOUND`] after it was published as leaving.
    pub work_after_leaving: u64,
    /// Refusals that state `not run` for a request that ran.
    pub refusals_untrue: u64,
    /// Bookings that ran more than once.
    pub bookings_run_twice: u64,
    /// Bookings that ran although every attempt was refused as `not run`.
    pub bookings_lost: u64,
    /// Requests whose connection closed without a complete reply.
    pub requests_cut_off: u64,
    /// Times that a node went back to an older bundle.
    pub config_reverts: u64,
    /// Bundles that never reached all nodes, plus one if the slowest other bundle took more than
    /// [`PROPAGATION_BOUND`]; 0 while the run hides the configuration from nodes.
    pub config_late: u64,
    /// Upstreams crashed beyond the bound of 2 by the request that crashed the most.
    pub crashes_over_bound: u64,
}

impl InvariantViolations {
    /// Counts the violations in the record of a run.
    pub fn from_record(record: &RunRecord) -> Self {
        let ran = BookingRuns::from_events(&record.events);
        let mut violations = Self {
            cold_overload: count_events(&record.events, |event| {
                matches!(event, FakeUpstreamEvent::ColdOverload { .. })
            }),
            work_after_zone_out: count_late_requests(record, ExclusionReason::ZoneOut),
            work_after_leaving: count_late_requests(record, ExclusionReason::Leaving),
            bookings_run_twice: ran.count_repeated(),
            config_reverts: record.config.reverts,
            crashes_over_bound: max_crashes_per_query(&record.events)
                .saturating_sub(MAX_CRASHES_PER_REQUEST),
            ..Self::default()
        };
        if !record.configuration_hidden {
            let slow = record.config.max_propagation > PROPAGATION_BOUND;
            violations.config_late = record.config.unpropagated + u64::from(slow);
        }
        violations.add_queries(record);
        for booking in &record.bookings {
            violations.add_booking(booking, &ran);
        }
        violations
    }

    /// Report name and number of violations of each invariant, in the order of the report.
    pub fn by_name(&self) -> [(&'static str, u64); 13] {
        [
            ("snapshot_mixed", self.snapshot_mixed),
            ("coverage_untrue", self.coverage_untrue),
            ("answers_misdelivered", self.answers_misdelivered),
            ("cold_overload", self.cold_overload),
            ("work_after_zone_out", self.work_after_zone_out),
            ("work_after_leaving", self.work_after_leaving),
            ("refusals_untrue", self.refusals_untrue),
            ("bookings_run_twice", self.bookings_run_twice),
            ("bookings_lost", self.bookings_lost),
            ("requests_cut_off", self.requests_cut_off),
            ("config_reverts", self.config_reverts),
            ("config_late", self.config_late),
            ("crashes_over_bound", self.crashes_over_bound),
        ]
    }

    /// Report names of the invariants that were violated at least once.
    pub fn violated_invariants(&self) -> Vec<&'static str> {
        let violated = self.by_name().into_iter().filter(|(_, number)| *number > 0);
        violated.map(|(name, _)| name).collect()
    }

    fn add_queries(&mut self, record: &RunRecord) {
        let ran: HashSet<QueryKey> = record.events.iter().filter_map(started_query).collect();
        for query in &record.queries {
            match &query.outcome {
                QueryOutcome::Answered { violations, .. } => {
                    self.snapshot_mixed += u64::from(violations.mixed_versions);
                    self.coverage_untrue += u64::from(violations.wrong_coverage);
                    self.answers_misdelivered += u64::from(violations.misdelivered);
                }
                QueryOutcome::Refused(refusal) => {
                    let untrue = refusal.not_run && ran.contains(&query.key);
                    self.refusals_untrue += u64::from(untrue);
                }
                QueryOutcome::Lost(loss) => {
                    self.requests_cut_off += u64::from(*loss == Loss::CutOff);
                }
            }
        }
    }

    fn add_booking(&mut self, booking: &BookingObservation, ran: &BookingRuns) {
        let expected = Digest::of(booking.content.as_bytes()).to_string();
        for attempt in &booking.attempts {
            match &attempt.outcome {
                BookingOutcome::Booked(reference) => {
                    let wrong_reply =
                        *reference != expected || ran.first_run(&booking.content).is_none();
                    self.answers_misdelivered += u64::from(wrong_reply);
                }
                BookingOutcome::Lost(loss) => {
                    self.requests_cut_off += u64::from(*loss == Loss::CutOff);
                }
                BookingOutcome::Refused(_) => {}
            }
        }
        self.refusals_untrue += count_untrue_refusals(booking, ran);
        let lost = booking
            .attempts
            .iter()
            .all(|attempt| is_refused_as_not_run(&attempt.outcome));
        let ran = !booking.attempts.is_empty() && ran.first_run(&booking.content).is_some();
        self.bookings_lost += u64::from(lost && ran);
    }
}

/// Times at which each booking ran, by the booking's exact text.
struct BookingRuns<'a> {
    runs: HashMap<&'a str, Vec<Instant>>,
}

impl<'a> BookingRuns<'a> {
    fn from_events(events: &'a [RecordedEvent]) -> Self {
        let mut runs: HashMap<&str, Vec<Instant>> = HashMap::new();
        for recorded in events {
            if let FakeUpstreamEvent::BookingRan { content, .. } = &recorded.event {
                runs.entry(content).or_default().push(recorded.at);
            }
        }
        Self { runs }
    }

    fn first_run(&self, content: &str) -> Option<Instant> {
        self.runs.get(content)?.first().copied()
    }

    fn count_repeated(&self) -> u64 {
        self.runs.values().filter(|runs| runs.len() > 1).count() as u64
    }
}

/// Returns 1 if the booking ran during its first attempts that were refused as `not run`, otherwise 0. Attempts after
/// one with another outcome are not judged, because that one may have run late.
fn count_untrue_refusals(booking: &BookingObservation, ran: &BookingRuns<'_>) -> u64 {
    let Some(at) = ran.first_run(&booking.content) else {
        return 0;
    };
    let refused_count = booking
        .attempts
        .iter()
        .take_while(|attempt| is_refused_as_not_run(&attempt.outcome))
        .count();
    let next = booking.attempts.get(refused_count);
    let ran_after = |attempt: &BookingAttempt| at >= attempt.sent;
    let before_next = next.is_none_or(|next| at < next.sent);
    u64::from(refused_count > 0 && before_next && booking.attempts.first().is_some_and(ran_after))
}

fn is_refused_as_not_run(outcome: &BookingOutcome) -> bool {
    matches!(outcome, BookingOutcome::Refused(refusal) if refusal.not_run)
}

fn started_query(recorded: &RecordedEvent) -> Option<QueryKey> {
    match &recorded.event {
        FakeUpstreamEvent::ShardStarted { query, limit, .. } => Some(QueryKey {
            text: Arc::clone(query),
            limit: *limit,
        }),
        _ => None,
    }
}

/// Number of recorded events whose event matches `wanted`.
pub fn count_events(events: &[RecordedEvent], wanted: impl Fn(&FakeUpstreamEvent) -> bool) -> u64 {
    events
        .iter()
        .filter(|recorded| wanted(&recorded.event))
        .count() as u64
}

/// Number of upstreams crashed by the query that crashed the most.
pub fn max_crashes_per_query(events: &[RecordedEvent]) -> u64 {
    let mut crashes: HashMap<&str, u64> = HashMap::new();
    for recorded in events {
        if let FakeUpstreamEvent::Crashed { query } = &recorded.event {
            *crashes.entry(query).or_default() += 1;
        }
    }
    crashes.into_values().max().unwrap_or_default()
}

fn count_late_requests(record: &RunRecord, reason: ExclusionReason) -> u64 {
    let exclusions = record
        .exclusions
        .iter()
        .filter(|exclusion| exclusion.reason == reason);
    exclusions
        .map(|exclusion| {
            let late = |recorded: &&RecordedEvent| is_late(recorded, exclusion);
            record.events.iter().filter(late).count() as u64
        })
        .sum()
}

fn is_late(recorded: &RecordedEvent, exclusion: &Exclusion) -> bool {
    let arrived = match &recorded.event {
        FakeUpstreamEvent::ShardStarted { arrived, .. }
        | FakeUpstreamEvent::BookingRan { arrived, .. } => *arrived,
        FakeUpstreamEvent::Shed => recorded.at,
        _ => return false,
    };
    exclusion
        .from
        .is_some_and(|from| arrived > from + PROPAGATION_BOUND)
        && exclusion.until.is_none_or(|until| arrived < until)
        && exclusion.upstreams.contains(&recorded.upstream)
}

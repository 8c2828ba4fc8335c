//! Invariants of a run, counted from what callers and fakes saw, never from the nodes' own counters.

use crate::{
    observation::{BookingEnd, BookingObservation, BookingTry, Loss, QueryEnd},
    query_key::QueryKey,
    run_record::{Exclusion, ExclusionReason, RunRecord},
};
use medlarpost_fakes::prelude::*;
use std::{collections::HashSet, time::Instant};

/// Time after which a published closure must hold and a published bundle must be in force: the stated bound.
pub const BOUND: Duration = Duration::from_secs(3);

/// Upstreams that one request may crash: the stated bound.
const CRASH_BOUND: u64 = 2;

/// Violations of each invariant.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Checks {
    /// Answers with hits of several index versions, or of another one than stated.
    pub snapshot_mixed: u64,
    /// Answers whose coverage is not that of the shards in them.
    pub coverage_untrue: u64,
    /// Answers to another request, and booked bookings that never ran.
    pub answers_misdelivered: u64,
    /// Times that a cold upstream got more work than it bears.
    pub cold_overload: u64,
    /// Requests that reached a zone later than [`BOUND`] after it was published as out.
    pub work_after_zone_out: u64,
    /// Requests that reached an upstream later than [`BOUND`] after it was published as leaving.
    pub work_after_leaving: u64,
    /// Refusals that promise `not run` for a request that ran.
    pub refusals_untrue: u64,
    /// Bookings that ran more than once.
    pub bookings_run_twice: u64,
    /// Bookings that ran although every reply to their caller said `not run`.
    pub bookings_lost: u64,
    /// Requests whose connection closed without a reply.
    pub requests_cut_off: u64,
    /// Times that a node returned to an older bundle.
    pub config_reverts: u64,
    /// Bundles that were not in force everywhere within [`BOUND`].
    pub config_late: u64,
    /// Upstreams that the worst request crashed, above the bound.
    pub crashes_over_bound: u64,
}

impl Checks {
    /// Counts the violations of a run.
    pub fn of(record: &RunRecord) -> Self {
        let ran = BookingRuns::of(&record.ledger);
        let mut checks = Self {
            cold_overload: count(&record.ledger, |deed| {
                matches!(deed, Deed::ColdOverload { .. })
            }),
            work_after_zone_out: late_work(record, ExclusionReason::ZoneOut),
            work_after_leaving: late_work(record, ExclusionReason::Leaving),
            bookings_run_twice: ran.twice(),
            config_reverts: record.config.reverts,
            crashes_over_bound: most_crashes(&record.ledger).saturating_sub(CRASH_BOUND),
            ..Self::default()
        };
        if !record.configuration_hidden {
            let slow = record.config.slowest > BOUND;
            checks.config_late = record.config.unfinished + u64::from(slow);
        }
        checks.add_queries(record);
        for booking in &record.bookings {
            checks.add_booking(booking, &ran);
        }
        checks
    }

    /// Name and number of each invariant.
    pub fn named(&self) -> [(&'static str, u64); 13] {
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

    /// Names of the violated invariants.
    pub fn violated(&self) -> Vec<&'static str> {
        let violated = self.named().into_iter().filter(|(_, number)| *number > 0);
        violated.map(|(name, _)| name).collect()
    }

    fn add_queries(&mut self, record: &RunRecord) {
        let ran: HashSet<QueryKey> = record.ledger.iter().filter_map(asked).collect();
        for query in &record.queries {
            match &query.end {
                QueryEnd::Answered { faults, .. } => {
                    self.snapshot_mixed += u64::from(faults.mixed);
                    self.coverage_untrue += u64::from(faults.coverage_untrue);
                    self.answers_misdelivered += u64::from(faults.misdelivered);
                }
                QueryEnd::Refused(refusal) => {
                    let untrue = refusal.not_run && ran.contains(&query.asked);
                    self.refusals_untrue += u64::from(untrue);
                }
                QueryEnd::Lost(loss) => self.requests_cut_off += u64::from(*loss == Loss::CutOff),
            }
        }
    }

    fn add_booking(&mut self, booking: &BookingObservation, ran: &BookingRuns) {
        let expected = Digest::of(booking.content.as_bytes()).to_string();
        for attempt in &booking.tries {
            match &attempt.end {
                BookingEnd::Booked(reference) => {
                    let foreign = *reference != expected || ran.first(&booking.content).is_none();
                    self.answers_misdelivered += u64::from(foreign);
                }
                BookingEnd::Lost(loss) => self.requests_cut_off += u64::from(*loss == Loss::CutOff),
                BookingEnd::Refused(_) => {}
            }
        }
        self.refusals_untrue += untrue_promises(booking, ran);
        let lost = booking
            .tries
            .iter()
            .all(|attempt| said_not_run(&attempt.end));
        let ran = !booking.tries.is_empty() && ran.first(&booking.content).is_some();
        self.bookings_lost += u64::from(lost && ran);
    }
}

/// When each booking ran, by its content.
struct BookingRuns<'a> {
    runs: HashMap<&'a str, Vec<Instant>>,
}

impl<'a> BookingRuns<'a> {
    fn of(ledger: &'a [LedgerEntry]) -> Self {
        let mut runs: HashMap<&str, Vec<Instant>> = HashMap::new();
        for entry in ledger {
            if let Deed::BookingRan { content, .. } = &entry.deed {
                runs.entry(content).or_default().push(entry.at);
            }
        }
        Self { runs }
    }

    fn first(&self, content: &str) -> Option<Instant> {
        self.runs.get(content)?.first().copied()
    }

    fn twice(&self) -> u64 {
        self.runs.values().filter(|runs| runs.len() > 1).count() as u64
    }
}

/// Refusals that promised `not run` for a try in whose time the booking ran. A try after one with an unknown outcome
/// is not judged, because the earlier one may have run late.
fn untrue_promises(booking: &BookingObservation, ran: &BookingRuns<'_>) -> u64 {
    let Some(at) = ran.first(&booking.content) else {
        return 0;
    };
    let promised = booking
        .tries
        .iter()
        .take_while(|attempt| said_not_run(&attempt.end))
        .count();
    let next = booking.tries.get(promised);
    let in_time = |attempt: &BookingTry| at >= attempt.sent;
    let before_next = next.is_none_or(|next| at < next.sent);
    u64::from(promised > 0 && before_next && booking.tries.first().is_some_and(in_time))
}

fn said_not_run(end: &BookingEnd) -> bool {
    matches!(end, BookingEnd::Refused(refusal) if refusal.not_run)
}

fn asked(entry: &LedgerEntry) -> Option<QueryKey> {
    match &entry.deed {
        Deed::ShardStarted { query, limit, .. } => Some(QueryKey {
            text: Arc::clone(query),
            limit: *limit,
        }),
        _ => None,
    }
}

/// Number of ledger entries with such a deed.
pub fn count(ledger: &[LedgerEntry], wanted: impl Fn(&Deed) -> bool) -> u64 {
    ledger.iter().filter(|entry| wanted(&entry.deed)).count() as u64
}

/// Upstreams that the worst request crashed.
pub fn most_crashes(ledger: &[LedgerEntry]) -> u64 {
    let mut crashes: HashMap<&str, u64> = HashMap::new();
    for entry in ledger {
        if let Deed::Crashed { query } = &entry.deed {
            *crashes.entry(query).or_default() += 1;
        }
    }
    crashes.into_values().max().unwrap_or_default()
}

fn late_work(record: &RunRecord, reason: ExclusionReason) -> u64 {
    let exclusions = record
        .exclusions
        .iter()
        .filter(|exclusion| exclusion.reason == reason);
    exclusions
        .map(|exclusion| {
            let late = |entry: &&LedgerEntry| is_late(entry, exclusion);
            record.ledger.iter().filter(late).count() as u64
        })
        .sum()
}

fn is_late(entry: &LedgerEntry, exclusion: &Exclusion) -> bool {
    let arrived = match &entry.deed {
        Deed::ShardStarted { arrived, .. } | Deed::BookingRan { arrived, .. } => *arrived,
        Deed::Shed => entry.at,
        _ => return false,
    };
    exclusion.from.is_some_and(|from| arrived > from + BOUND)
        && exclusion.until.is_none_or(|until| arrived < until)
        && exclusion.upstreams.contains(&entry.upstream)
}

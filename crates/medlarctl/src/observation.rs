//! Outcomes of requests as the callers observed them.

use crate::{answer_check::AnswerViolations, query_id::QueryId};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// One query and its outcome.
#[derive(Clone, Debug)]
pub struct QueryObservation {
    /// Workspace on whose behalf the query was sent.
    pub workspace: &'static str,
    /// Text and limit, unique in a run.
    pub id: QueryId,
    /// Time at which the load schedule starts the query; the real start may be later.
    pub intended_start: Instant,
    /// Time from the intended start to the outcome, so that a late start counts as latency.
    pub latency: Duration,
    /// Answer, refusal or loss.
    pub outcome: QueryOutcome,
}

/// How a query ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The node answered, possibly with partial coverage.
    Answered {
        /// Number of shards of the index version, as the answer states it.
        shards: u32,
        /// Number of shards that answered, as the answer states it.
        answered: u32,
        /// Invariants that the answer violates.
        violations: AnswerViolations,
    },
    /// The node refused the query.
    Refused(ObservedRefusal),
    /// The caller received neither an answer nor a refusal.
    Lost(Loss),
}

/// A refusal, read from the problem document that the caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRefusal {
    /// Code of the refusal, for example `overloaded`.
    pub kind: String,
    /// Whether it states that the request did not run.
    pub not_run: bool,
}

/// Why a caller received neither an answer nor a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection closed after the request was sent, or the reply can't be read.
    CutOff,
    /// No node accepted the connection.
    NotReached,
    /// No reply came within the caller's time-out.
    Unanswered,
}

/// One booking and the outcome of each attempt.
#[derive(Clone, Debug)]
pub struct BookingObservation {
    /// Exact JSON text of the booking; unique in a run.
    pub content: Arc<str>,
    /// Attempts in the order of sending; empty if no ticket was issued.
    pub attempts: Vec<BookingAttempt>,
}

/// One attempt to book.
#[derive(Clone, Debug)]
pub struct BookingAttempt {
    /// Time just before the attempt was sent.
    pub sent: Instant,
    /// Confirmation, refusal or loss.
    pub outcome: BookingOutcome,
}

/// How one attempt to book ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingOutcome {
    /// Confirmed, with the upstream's reference.
    Booked(String),
    /// The node refused the booking.
    Refused(ObservedRefusal),
    /// The caller received neither a confirmation nor a refusal.
    Lost(Loss),
}

/// Propagation of bundles to the nodes, observed by callers with a token of each bundle's own workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigObservation {
    /// Longest time from a publication until it or a later one was in force on all nodes in service.
    pub max_propagation: Duration,
    /// Times that a node refused the token of a bundle that it had accepted before.
    pub reverts: u64,
    /// Publications that were not in force on all nodes in service at the end of the run.
    pub unpropagated: u64,
}

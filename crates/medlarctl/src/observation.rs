//! What callers saw.

use crate::{answer_check::AnswerViolations, query_key::QueryKey};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// What became of one query.
#[derive(Clone, Debug)]
pub struct QueryObservation {
    /// Tenant that asked.
    pub tenant: &'static str,
    /// What was asked.
    pub key: QueryKey,
    /// When the query was to start.
    pub intended_start: Instant,
    /// From the intended start, so that a late start counts as latency.
    pub latency: Duration,
    /// How it ended.
    pub outcome: QueryOutcome,
}

/// How a query ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// An answer came.
    Answered {
        /// Shards of the index version, as stated.
        shards: u32,
        /// Shards in the answer, as stated.
        answered: u32,
        /// Untruths of the answer.
        violations: AnswerViolations,
    },
    /// A refusal came.
    Refused(ObservedRefusal),
    /// Nothing came.
    Lost(Loss),
}

/// A refusal as its caller reads it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRefusal {
    /// Code of the kind.
    pub kind: String,
    /// Whether it promises that nothing ran.
    pub not_run: bool,
}

/// A request without an answer and without a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection closed after the request was sent.
    CutOff,
    /// No node accepted the connection.
    NotReached,
    /// Nothing came within the caller's patience.
    Unanswered,
}

/// What became of one booking.
#[derive(Clone, Debug)]
pub struct BookingObservation {
    /// Exact text of the booking; unique in a run.
    pub content: Arc<str>,
    /// Each time that it was sent, in order.
    pub attempts: Vec<BookingAttempt>,
}

/// One sending of a booking.
#[derive(Clone, Debug)]
pub struct BookingAttempt {
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub outcome: BookingOutcome,
}

/// How one sending of a booking ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingOutcome {
    /// Booked, with the upstream's reference.
    Booked(String),
    /// A refusal came.
    Refused(ObservedRefusal),
    /// Nothing came.
    Lost(Loss),
}

/// What callers with a token of a new bundle saw of its spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigObservation {
    /// Longest time from a publication until all nodes in service followed it.
    pub max_propagation: Duration,
    /// Times that a node that had followed a bundle refused its token again.
    pub reverts: u64,
    /// Publications that were never followed by all nodes in service.
    pub unpropagated: u64,
}

//! What callers saw.

use crate::{answer_check::AnswerFaults, query_key::QueryKey};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// What became of one query.
#[derive(Clone, Debug)]
pub struct QueryObservation {
    /// Tenant that asked.
    pub tenant: &'static str,
    /// What was asked.
    pub asked: QueryKey,
    /// When the query was to start.
    pub intended: Instant,
    /// From the intended start, so that a late start counts as latency.
    pub latency: Duration,
    /// How it ended.
    pub end: QueryEnd,
}

/// How a query ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEnd {
    /// An answer came.
    Answered {
        /// Shards of the index version, as stated.
        shards: u32,
        /// Shards in the answer, as stated.
        answered: u32,
        /// Untruths of the answer.
        faults: AnswerFaults,
    },
    /// A refusal came.
    Refused(RefusalSeen),
    /// Nothing came.
    Lost(Loss),
}

/// A refusal as its caller reads it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalSeen {
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
    pub tries: Vec<BookingTry>,
}

/// One sending of a booking.
#[derive(Clone, Debug)]
pub struct BookingTry {
    /// When it was sent.
    pub sent: Instant,
    /// How it ended.
    pub end: BookingEnd,
}

/// How one sending of a booking ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingEnd {
    /// Booked, with the upstream's reference.
    Booked(String),
    /// A refusal came.
    Refused(RefusalSeen),
    /// Nothing came.
    Lost(Loss),
}

/// What callers with a token of a new bundle saw of its spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigObservation {
    /// Longest time from a publication until all nodes in service followed it.
    pub slowest: Duration,
    /// Times that a node that had followed a bundle refused its token again.
    pub reverts: u64,
    /// Publications that were never followed by all nodes in service.
    pub unfinished: u64,
}

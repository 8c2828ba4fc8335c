//! Record of one run of the demonstration.

use crate::observation::{BookingObservation, ConfigObservation, QueryObservation};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// Why upstreams must receive no new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExclusionReason {
    /// Their zone is out.
    ZoneOut,
    /// They are marked as leaving, which precedes their stop.
    Leaving,
}

/// A time in which upstreams must receive no new requests. It counts once the propagation bound has passed since its
/// start.
#[derive(Clone, Debug)]
pub struct Exclusion {
    /// Decides which invariant a late request violates.
    pub reason: ExclusionReason,
    /// Names of the excluded upstreams.
    pub upstreams: Vec<Arc<str>>,
    /// When it was published. If the platform was down or stale then: when the platform showed it, `None` if it never
    /// did.
    pub from: Option<Instant>,
    /// When its end was published; `None` if it lasted to the end of the run.
    pub until: Option<Instant>,
}

/// What callers and fakes observed in one run; input of the checks and of the report.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Start of the measured time; the checks also cover the time before.
    pub start: Instant,
    /// End of the load.
    pub end: Instant,
    /// All queries, those before `start` included.
    pub queries: Vec<QueryObservation>,
    /// All bookings, each with its tries.
    pub bookings: Vec<BookingObservation>,
    /// What the upstreams did, in order of time.
    pub events: Vec<RecordedEvent>,
    /// Times in which upstreams must receive no new requests.
    pub exclusions: Vec<Exclusion>,
    /// How fast published bundles reached the nodes.
    pub config: ConfigObservation,
    /// Whether a fault kept new bundles from nodes, so that late configuration is no violation.
    pub configuration_hidden: bool,
    /// Start and end of the time with more load than capacity.
    pub overload: Option<(Instant, Instant)>,
}

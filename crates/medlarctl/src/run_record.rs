//! Everything that callers and fakes saw in one run.

use crate::observation::{BookingObservation, ConfigObservation, QueryObservation};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// Why upstreams must receive no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExclusionReason {
    /// Their zone is out.
    ZoneOut,
    /// They are about to stop.
    Leaving,
}

/// A time in which upstreams must receive no new work, once the bound has passed.
#[derive(Clone, Debug)]
pub struct Exclusion {
    /// Why.
    pub reason: ExclusionReason,
    /// Names of the upstreams.
    pub upstreams: Vec<Arc<str>>,
    /// When it was published; if the platform was down or stale then, when it showed it, or never.
    pub from: Option<Instant>,
    /// When its end was published.
    pub until: Option<Instant>,
}

/// Everything that callers and fakes saw in one run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Start of the measured time; checks also cover the time before.
    pub start: Instant,
    /// End of the load.
    pub end: Instant,
    /// Every query.
    pub queries: Vec<QueryObservation>,
    /// Every booking.
    pub bookings: Vec<BookingObservation>,
    /// What upstreams did, in the order of time.
    pub events: Vec<RecordedEvent>,
    /// Times without new work.
    pub exclusions: Vec<Exclusion>,
    /// Spread of the configuration.
    pub config: ConfigObservation,
    /// Whether nodes were cut off from news of the configuration.
    pub configuration_hidden: bool,
    /// Time with more load than capacity.
    pub overload: Option<(Instant, Instant)>,
}

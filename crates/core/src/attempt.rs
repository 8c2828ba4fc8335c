//! Attempts: single sub-requests to single upstreams.

use crate::prelude::*;

/// An attempt whose reply has not arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) purpose: AttemptPurpose,
    pub(crate) upstream: UpstreamKey,
    /// Time at which the send command was issued.
    pub(crate) sent_at: Timestamp,
}

/// Owner of an attempt's reply.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AttemptPurpose {
    /// One shard of a query.
    Shard { query: QueryKey, shard: u32 },
    /// A booking.
    Booking(BookingKey),
    /// Cancelled. The reply only shows that the upstream has finished.
    Abandoned,
}

//! One sub-request to one upstream.

use crate::prelude::*;

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// What it was sent for.
    pub(crate) purpose: AttemptPurpose,
    /// Upstream that was asked.
    pub(crate) upstream: UpstreamKey,
    /// Time of the command to send.
    pub(crate) sent_at: Timestamp,
}

/// What an attempt was sent for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AttemptPurpose {
    /// One shard of a query.
    Shard {
        /// The query.
        query: QueryKey,
        /// Number of the shard.
        shard: u32,
    },
    /// A booking.
    Booking(BookingKey),
    /// Nothing any more; its reply only tells that the upstream has finished.
    Abandoned,
}

//! What the fakes saw, for the checks of a run.

use crate::prelude::*;
use std::time::Instant;

/// Collects what fakes did. Fakes send entries; the owner of the run reads them.
#[derive(Clone, Debug)]
pub struct EventRecorder {
    tx: mpsc::UnboundedSender<RecordedEvent>,
}

/// One thing that a fake upstream did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedEvent {
    /// When.
    pub at: Instant,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// What.
    pub event: FakeUpstreamEvent,
}

/// What a fake upstream did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FakeUpstreamEvent {
    /// Started to run a sub-request.
    ShardStarted {
        /// When the sub-request arrived.
        arrived: Instant,
        /// Query text.
        query: Arc<str>,
        /// Hits wanted, which callers of the demonstration use to tell repeats of one text apart.
        limit: u32,
    },
    /// Ran a booking.
    BookingRan {
        /// When the booking arrived.
        arrived: Instant,
        /// Id that the node gave to the booking.
        booking_id: String,
        /// Exact text of the booking.
        content: Arc<str>,
    },
    /// Refused work before running it.
    Shed,
    /// Fell over under more work than it bears.
    ColdOverload {
        /// Ids of the attempts in hand, with their age, and what it bears; to find out who sent too much.
        trace: String,
    },
    /// Was crashed by a request.
    Crashed {
        /// Query text.
        query: Arc<str>,
    },
    /// Had a reply that nobody waited for any more.
    ReplyUnwanted,
}

impl EventRecorder {
    /// A ledger and the end from which its entries are read.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<RecordedEvent>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Adds an entry of this moment.
    pub fn record(&self, upstream: &Arc<str>, event: FakeUpstreamEvent) {
        let entry = RecordedEvent {
            at: Instant::now(),
            upstream: Arc::clone(upstream),
            event,
        };
        // A run that has ended reads no more entries.
        let _ended = self.tx.send(entry);
    }
}

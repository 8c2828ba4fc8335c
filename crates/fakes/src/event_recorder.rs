//! Events of fake upstreams, recorded for the checks of a test run.

use crate::prelude::*;
use std::time::Instant;

/// Records events of fake upstreams. Clones write to the same channel, which the owner of the run reads.
#[derive(Clone, Debug)]
pub struct EventRecorder {
    tx: mpsc::UnboundedSender<RecordedEvent>,
}

/// An event of a fake upstream, with its time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedEvent {
    /// Time of the event.
    pub at: Instant,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// What happened.
    pub event: FakeUpstreamEvent,
}

/// Event in a fake upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FakeUpstreamEvent {
    /// It started to run a sub-request.
    ShardStarted {
        /// When the sub-request arrived.
        arrived: Instant,
        /// Query text.
        query: Arc<str>,
        /// Maximum number of hits. Callers of the demonstration vary it to tell queries with the same text apart.
        limit: u32,
    },
    /// It ran a booking.
    BookingRan {
        /// When the booking arrived.
        arrived: Instant,
        /// Id that the node assigned to the booking.
        booking_id: String,
        /// JSON text of the booking, byte for byte.
        content: Arc<str>,
    },
    /// It rejected a request without running it.
    Shed,
    /// It crashed because it had more requests than its capacity while cold.
    ColdOverload {
        /// Capacity, and ids and ages of the attempts in hand, which show the nodes that sent too much.
        trace: String,
    },
    /// It was crashed by a query.
    Crashed {
        /// Query text.
        query: Arc<str>,
    },
    /// It finished a request for whose reply nobody waited any more.
    ReplyUnwanted,
}

impl EventRecorder {
    /// Creates a recorder and the receiver of its events.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<RecordedEvent>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Records an event that happened now.
    pub fn record(&self, upstream: &Arc<str>, event: FakeUpstreamEvent) {
        let entry = RecordedEvent {
            at: Instant::now(),
            upstream: Arc::clone(upstream),
            event,
        };
        // After the end of a run, nobody reads the events.
        let _ended = self.tx.send(entry);
    }
}

//! Messages of an authenticated link.

use crate::prelude::*;

/// A message of an authenticated link.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Which configuration is in force.
    Heartbeat(Heartbeat),
    /// Asks for documents.
    DocumentRequest(DocumentRequest),
    /// A document; the sender is not trusted.
    Document(Document),
    /// News with its ids.
    News(Vec<(NewsId, News)>),
    /// A booking for the receiver's ticket.
    Redeem(Redeem),
    /// What became of a booking.
    Redeemed(Redeemed),
}

/// Says which configuration is in force, and that the link works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Version in force at the sender; 0 if none.
    pub version: u64,
    /// The sender's time.
    pub sent: Timestamp,
    /// Newest `sent` that the sender has received on this link, in the receiver's time; zero if none.
    pub echo: Timestamp,
    /// Time to the sender's next heartbeat.
    pub interval: Duration,
    /// Whether the sender wants an answer at once.
    pub answer_wanted: bool,
}

/// Asks for documents.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentRequest {
    /// Whether the envelope in force is wanted.
    pub envelope: bool,
    /// Parts of a bundle that are wanted.
    pub parts: Vec<Digest>,
    /// Whether the published list is wanted.
    pub nodes: bool,
    /// Whether the states of all upstreams are wanted, as news.
    pub upstream_states: bool,
}

impl DocumentRequest {
    /// Asks for the envelope in force.
    pub fn for_envelope() -> Self {
        Self {
            envelope: true,
            ..Self::default()
        }
    }

    /// Asks for the states of all upstreams.
    pub fn for_upstream_states() -> Self {
        Self {
            upstream_states: true,
            ..Self::default()
        }
    }
}

/// A document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Document {
    /// Text of an envelope, not verified.
    Envelope(Bytes),
    /// Bytes of one part, named by their digest.
    Part(Bytes),
    /// The last published list that the sender knows.
    Nodes(Vec<FleetNode>),
}

/// A booking for the receiver's ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Redeem {
    /// Names the call in the answer; chosen by the sender.
    pub call: u64,
    /// Id of the caller's request.
    pub request_id: Arc<str>,
    /// The caller's token; never logged.
    pub token: Arc<str>,
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Ticket text.
    pub ticket: Arc<str>,
    /// Booking, as encoded by the caller.
    pub booking: Arc<str>,
    /// Time left, from arrival; `None` if the caller gave none.
    pub deadline: Option<Duration>,
}

/// What became of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Redeemed {
    /// As in the [`Redeem`].
    pub call: u64,
    /// What became of it.
    pub outcome: RedeemOutcome,
}

/// What became of a booking that was handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RedeemOutcome {
    /// It ran.
    Booked {
        /// Id of the booking.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether it ran earlier.
        replayed: bool,
    },
    /// It was refused.
    Refused {
        /// Kind of refusal; one that this version doesn't know is [`RefusalKind::OutcomeUnknown`].
        kind: RefusalKind,
        /// Whether it ran.
        execution: Execution,
        /// What was found.
        detail: String,
    },
}

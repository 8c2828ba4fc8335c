//! Messages that nodes exchange on an authenticated link.

use crate::prelude::*;

/// A message on an authenticated link.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Keeps the link alive and announces the configuration in force at the sender.
    Heartbeat(Heartbeat),
    /// Asks the peer for configuration documents or upstream states.
    DocumentRequest(DocumentRequest),
    /// A requested document. The link authenticates only the sender: the receiver has to verify the content.
    Document(Document),
    /// Gossip items, each with the id by which duplicates are recognised.
    News(Vec<(NewsId, News)>),
    /// Forwards a booking to the node that issued its ticket.
    Redeem(Redeem),
    /// The outcome of a forwarded booking.
    Redeemed(Redeemed),
}

/// Keeps the link alive, measures it, and announces the configuration in force at the sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Configuration version in force at the sender; 0 if there is none.
    pub version: u64,
    /// Clock of the sender at the time of sending.
    pub sent: Timestamp,
    /// Latest `sent` that the sender has received on this link, so in the receiver's clock; zero if there is none.
    pub echo: Timestamp,
    /// Time until the sender's next heartbeat.
    pub interval: Duration,
    /// Whether the receiver should send a heartbeat at once instead of at its next interval.
    pub answer_wanted: bool,
}

/// Asks for any combination of documents; by default for none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentRequest {
    /// Whether to send the envelope in force.
    pub envelope: bool,
    /// Digests of the bundle parts to send.
    pub parts: Vec<Digest>,
    /// Whether to send the latest published node list.
    pub nodes: bool,
    /// Whether to send the states of all upstreams, as [`Message::News`].
    pub upstream_states: bool,
}

impl DocumentRequest {
    /// Creates a request for only the envelope in force.
    pub fn for_envelope() -> Self {
        Self {
            envelope: true,
            ..Self::default()
        }
    }

    /// Creates a request for only the states of all upstreams.
    pub fn for_upstream_states() -> Self {
        Self {
            upstream_states: true,
            ..Self::default()
        }
    }
}

/// A configuration document, as answer to a [`DocumentRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Document {
    /// Text of a signed envelope; its signatures are not verified yet.
    Envelope(Bytes),
    /// Content of one bundle part; its digest identifies it.
    Part(Bytes),
    /// The latest published node list that the sender has.
    Nodes(Vec<FleetNode>),
}

/// A booking, forwarded to the node that issued its ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Redeem {
    /// Correlation id that the sender chooses; the answer repeats it.
    pub call: u64,
    /// Id of the caller's request.
    pub request_id: Arc<str>,
    /// The caller's bearer token; must never be logged.
    pub token: Arc<str>,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Text of the ticket to redeem.
    pub ticket: Arc<str>,
    /// Encoded booking, exactly as the caller sent it.
    pub booking: Arc<str>,
    /// Time left, counted from the arrival of this message; `None` if the caller gave no deadline.
    pub deadline: Option<Duration>,
}

/// The outcome of a forwarded booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Redeemed {
    /// Correlation id of the [`Redeem`] that this answers.
    pub call: u64,
    /// What the issuing node did with the booking.
    pub outcome: RedeemOutcome,
}

/// What the node that issued the ticket did with the booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RedeemOutcome {
    /// The upstream ran the booking and replied.
    Booked {
        /// Id of the booking.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether `reply` is a stored one: the ticket had been redeemed before.
        replayed: bool,
    },
    /// The booking was refused; `execution` says whether it may have run.
    Refused {
        /// Kind of refusal; a kind unknown to this version is decoded as [`RefusalKind::OutcomeUnknown`].
        kind: RefusalKind,
        /// Whether the booking certainly did not run, or may have.
        execution: Execution,
        /// Explanation of the refusal.
        detail: String,
    },
}

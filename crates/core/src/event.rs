//! What the engine is told.

use crate::prelude::*;

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An approved bundle is in force.
    Configure(Arc<ApprovedBundle>),
    /// The fleet's published list or this node's place in it has changed.
    FleetChanged(FleetView),
    /// New work may be accepted until this time.
    Freshness(Timestamp),
    /// A caller's query.
    Search(SearchRequest),
    /// A caller asks for a booking ticket.
    Ticket(TicketRequest),
    /// A caller's booking.
    Book(BookRequest),
    /// A caller's connection closed before its answer.
    CallerGone(CallerKey),
    /// The end of an attempt.
    Reply(Reply),
    /// What an upstream said about itself to a probe; `None` if it did not answer.
    Probed(UpstreamKey, Option<LoadReport>),
    /// News from a peer.
    News(News),
    /// A time returned by `Engine::next_wakeup` has come.
    Wakeup,
    /// Accept no new work and finish what runs.
    Drain,
}

/// The fleet as this node sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// Nodes on the published list, this one included; at least 1.
    pub published: u32,
    /// Names of the upstreams whose steward this node is.
    pub warm_up_owner_of: Vec<String>,
}

/// A caller's query.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Whom to answer.
    pub caller: CallerKey,
    /// Id that the caller sent or the node made.
    pub request_id: Arc<str>,
    /// Token from the caller; never logged.
    pub token: Arc<str>,
    /// Tenant that the caller claims to be.
    pub tenant: Arc<str>,
    /// Name of a search service.
    pub service: Arc<str>,
    /// Query text.
    pub query: Arc<str>,
    /// Hits wanted.
    pub limit: u32,
    /// Time that the caller gives, from arrival; `None` if the caller gave none.
    pub deadline: Option<Duration>,
}

/// A caller's request for a booking ticket.
#[derive(Clone, Debug)]
pub struct TicketRequest {
    /// Whom to answer.
    pub caller: CallerKey,
    /// Id that the caller sent or the node made.
    pub request_id: Arc<str>,
    /// Token from the caller; never logged.
    pub token: Arc<str>,
    /// Tenant that the caller claims to be.
    pub tenant: Arc<str>,
}

/// A caller's booking.
#[derive(Clone, Debug)]
pub struct BookRequest {
    /// Whom to answer.
    pub caller: CallerKey,
    /// Id that the caller sent or the node made.
    pub request_id: Arc<str>,
    /// Token from the caller; never logged.
    pub token: Arc<str>,
    /// Tenant that the caller claims to be.
    pub tenant: Arc<str>,
    /// Name of a booking service.
    pub service: Arc<str>,
    /// Ticket text, as issued.
    pub ticket: Arc<str>,
    /// Booking, as encoded by the caller.
    pub booking: Arc<str>,
    /// Time that the caller gives, from arrival; `None` if the caller gave none.
    pub deadline: Option<Duration>,
    /// Whether a peer forwarded the booking; a forwarded one is never forwarded again.
    pub forwarded: bool,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Attempt that ended; its key may be out of use.
    pub attempt: AttemptKey,
    /// Upstream that was asked.
    pub upstream: UpstreamKey,
    /// How it ended.
    pub outcome: Outcome,
    /// What the reply said about the upstream; `None` without a reply.
    pub report: Option<LoadReport>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A shard answered.
    Answered(ShardReply),
    /// A booking upstream answered.
    Booked(BookingReply),
    /// The upstream refused before running it.
    Shed,
    /// No connection was opened, or the send came too late; certainly not run.
    NotSent,
    /// The connection was lost after sending.
    Broken,
    /// No reply in time; the connection has been closed.
    Silent,
    /// The upstream no longer serves the index version.
    VersionGone,
    /// The upstream confirmed the cancellation.
    Cancelled,
    /// The upstream answered with something that is no valid reply.
    Invalid,
}

/// Reply of one shard.
#[derive(Clone, Debug)]
pub struct ShardReply {
    /// Index version that the hits come from.
    pub index_version: u64,
    /// Hits, best first.
    pub hits: Vec<Hit>,
}

/// Reply of a booking upstream. Either way the booking has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BookingReply {
    /// Whether the upstream took the booking.
    pub accepted: bool,
    /// The upstream's reference for the booking.
    pub reference: String,
}

/// What an upstream says about itself with a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Age of its process, in milliseconds; `None` if the upstream does not say.
    pub uptime_ms: Option<u64>,
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

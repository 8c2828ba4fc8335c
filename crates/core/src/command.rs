//! What the engine wants done.

use crate::prelude::*;

/// Output of the engine.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start the task of an upstream.
    OpenUpstream {
        /// Key that later commands use.
        upstream: UpstreamKey,
        /// Address and limits.
        spec: Upstream,
        /// Connections that this node may hold.
        connections: u32,
    },
    /// End the task of an upstream once its running attempts have ended.
    RetireUpstream(UpstreamKey),
    /// Send one sub-request.
    Send {
        /// Attempt to name in the reply.
        attempt: AttemptKey,
        /// Upstream to ask.
        upstream: UpstreamKey,
        /// What to ask.
        request: SubRequest,
        /// Time after which the reply is of no use.
        deadline: Timestamp,
        /// Time after which it must not be sent; the reply is then `NotSent`.
        not_after: Timestamp,
    },
    /// The result of an attempt is no longer wanted.
    Cancel {
        /// Attempt, already out of use.
        attempt: AttemptKey,
        /// Upstream that was asked.
        upstream: UpstreamKey,
    },
    /// Ask an upstream for its health, which is no work for it.
    Probe(UpstreamKey),
    /// Answer a query.
    AnswerQuery {
        /// Whom to answer.
        caller: CallerKey,
        /// Tenant and class for metrics.
        tenant: Arc<str>,
        /// The answer.
        answer: Answer,
    },
    /// Answer a request for a ticket.
    AnswerTicket {
        /// Whom to answer.
        caller: CallerKey,
        /// Ticket text.
        ticket: String,
        /// Time that it can be redeemed for.
        expires_in: Duration,
    },
    /// Answer a booking that ran.
    AnswerBooking {
        /// Whom to answer.
        caller: CallerKey,
        /// Tenant, for metrics.
        tenant: Arc<str>,
        /// Id of the booking, the same for each repeat of it.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether the outcome was recorded earlier and the booking not run again.
        replayed: bool,
    },
    /// Hand a booking to the node that its ticket names.
    ForwardBooking {
        /// Name of the node.
        node: String,
        /// The booking.
        request: BookingRequest,
    },
    /// Refuse a request.
    Refuse {
        /// Whom to answer.
        caller: CallerKey,
        /// Tenant, for metrics; empty when it is not proved.
        tenant: Arc<str>,
        /// The refusal.
        refusal: Refusal,
    },
    /// Tell all peers.
    Broadcast(News),
    /// Each service can be answered by warm upstreams, or the longest wait for that has passed. Given once after
    /// the start and after each [`Command::CannotServe`].
    CanServe,
    /// News of peers was missed, so that no upstream is known to be warm.
    CannotServe,
    /// Draining is complete: nothing runs any more.
    Drained,
}

/// One sub-request.
#[derive(Clone, Debug)]
pub enum SubRequest {
    /// Ask one shard.
    Search {
        /// Number of the shard in its index version.
        shard: u32,
        /// Index version that the reply must come from.
        index_version: u64,
        /// Name of the service.
        service: Arc<str>,
        /// Query text.
        query: Arc<str>,
        /// Hits wanted.
        limit: u32,
    },
    /// Run a booking.
    Booking {
        /// Name of the service.
        service: Arc<str>,
        /// Id that names the booking to the upstream.
        booking_id: Arc<str>,
        /// Booking, as encoded by the caller.
        booking: Arc<str>,
    },
}

//! Output of the engine, carried out by a front end.

use crate::prelude::*;

/// What the front end has to do after an event.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start the task that holds the connections to an upstream.
    OpenUpstream {
        /// Key of the upstream in later commands.
        upstream: UpstreamKey,
        /// Address and limits.
        spec: Upstream,
        /// Maximum number of connections of this node to the upstream.
        connections: u32,
    },
    /// End the task of an upstream once its running attempts are done.
    RetireUpstream(UpstreamKey),
    /// Send a sub-request to an upstream.
    Send {
        /// Attempt that the [`Reply`] must name.
        attempt: AttemptKey,
        /// Upstream to send the sub-request to.
        upstream: UpstreamKey,
        /// Content of the sub-request.
        request: SubRequest,
        /// Time after which a reply is no longer of use.
        deadline: Timestamp,
        /// Time after which it must not be sent any more; the outcome is then [`Outcome::NotSent`].
        not_after: Timestamp,
    },
    /// Cancel an attempt whose result is no longer needed.
    Cancel {
        /// Attempt to cancel. It still ends with a [`Reply`].
        attempt: AttemptKey,
        /// Upstream that it was sent to.
        upstream: UpstreamKey,
    },
    /// Don't write the sub-requests to an upstream that were commanded before and are not written yet, because it has
    /// ceased to be warm. Their outcome is [`Outcome::NotSent`].
    WithdrawUnsent(UpstreamKey),
    /// Probe the health of an upstream, which does not count as work there.
    Probe(UpstreamKey),
    /// Answer a search query.
    AnswerQuery {
        /// Caller to answer.
        caller: CallerKey,
        /// Workspace, for metrics.
        workspace: Arc<str>,
        /// Merged hits and their coverage.
        answer: Answer,
    },
    /// Answer a request for a ticket.
    AnswerTicket {
        /// Caller to answer.
        caller: CallerKey,
        /// Ticket in its text form.
        ticket: String,
        /// Time for which the ticket can be redeemed.
        expires_in: Duration,
    },
    /// Answer a booking that ran.
    AnswerBooking {
        /// Caller to answer.
        caller: CallerKey,
        /// Workspace, for metrics.
        workspace: Arc<str>,
        /// Id of the booking, the same for every repeat.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether this is the recorded reply of a booking that ran earlier.
        replayed: bool,
    },
    /// Forward a booking to the node that issued its ticket.
    ForwardBooking {
        /// Name of the node that issued the ticket.
        node: String,
        /// Request of the caller, who still waits at this node.
        request: BookingRequest,
    },
    /// Refuse a request.
    Refuse {
        /// Caller to answer.
        caller: CallerKey,
        /// Workspace, for metrics; empty if the caller is not authenticated.
        workspace: Arc<str>,
        /// Reason, and whether anything ran.
        refusal: Refusal,
    },
    /// Send an update to all peers.
    Broadcast(News),
    /// Every service has warm upstreams, or the maximum wait for them is over. Issued once after the start and once
    /// after each [`Command::CannotServe`].
    CanServe,
    /// Updates from peers may have been missed during a lapse, so no upstream is known to be warm.
    CannotServe,
    /// Draining is complete: no query and no booking runs any more.
    Drained,
}

/// Content of a sub-request to an upstream.
#[derive(Clone, Debug)]
pub enum SubRequest {
    /// Search one shard.
    Search {
        /// Number of the shard in its index version.
        shard: u32,
        /// Index version that the reply must come from.
        index_version: u64,
        /// Name of the service.
        service: Arc<str>,
        /// Query text.
        query: Arc<str>,
        /// Maximum number of hits.
        limit: u32,
    },
    /// Run a booking.
    Booking {
        /// Name of the service.
        service: Arc<str>,
        /// Id under which the upstream knows the booking.
        booking_id: Arc<str>,
        /// Body of the booking, passed on as the caller sent it.
        booking: Arc<str>,
    },
}

//! Bookings that were forwarded to other nodes and have no answer yet.

use crate::{engine_task::CallResult, prelude::*};
use medlarpost_wire::prelude::{Redeem, RedeemOutcome, Redeemed};

/// Time after the booking's deadline for which the answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time to wait for a booking without a deadline, which the other node refuses at once.
const TIMEOUT_WITHOUT_DEADLINE: Duration = Duration::from_secs(1);

/// A booking to forward to the node that issued its ticket.
#[derive(Debug)]
pub struct ForwardedBooking {
    /// Name of that node.
    pub node: String,
    /// The booking with its ticket.
    pub request: BookingRequest,
    /// Where the caller waits for the result.
    pub result: oneshot::Sender<CallResult>,
}

#[derive(Debug)]
struct PendingCall {
    peer: PeerKey,
    request_id: Arc<str>,
    expires_at: Timestamp,
    result: oneshot::Sender<CallResult>,
}

/// Forwarded bookings, by the call number that correlates request and answer on the link.
#[derive(Debug, Default)]
pub(crate) struct ForwardedCalls {
    last_number: u64,
    calls: BTreeMap<u64, PendingCall>,
}

impl ForwardedCalls {
    /// Registers a call and returns the message to send to the peer.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        peer: PeerKey,
        booking: ForwardedBooking,
    ) -> Redeem {
        let ForwardedBooking {
            request, result, ..
        } = booking;
        self.last_number += 1;
        let call = PendingCall {
            peer,
            request_id: Arc::clone(&request.request_id),
            expires_at: now + request.deadline.unwrap_or(TIMEOUT_WITHOUT_DEADLINE) + ANSWER_GRACE,
            result,
        };
        self.calls.insert(self.last_number, call);
        Redeem {
            call: self.last_number,
            request_id: request.request_id,
            token: request.token,
            workspace: request.workspace,
            service: request.service,
            ticket: request.ticket,
            booking: request.booking,
            deadline: request.deadline,
        }
    }

    /// Answers the caller with the peer's outcome. An answer from any other peer is ignored.
    pub(crate) fn complete(&mut self, peer: PeerKey, redeemed: Redeemed) {
        let expected = self.calls.get(&redeemed.call).map(|call| call.peer);
        if expected != Some(peer) {
            return;
        }
        let Some(call) = self.calls.remove(&redeemed.call) else {
            return;
        };
        let result = match redeemed.outcome {
            RedeemOutcome::Booked {
                booking_id,
                reply,
                replayed,
            } => CallResult::Booked {
                booking_id,
                reply,
                replayed,
            },
            RedeemOutcome::Refused {
                kind,
                execution,
                detail,
            } => CallResult::Refused(Refusal {
                request_id: call.request_id,
                kind,
                execution,
                detail,
            }),
        };
        // The caller may have disconnected.
        let _gone = call.result.send(result);
    }

    /// Refuses a call that the link did not take.
    pub(crate) fn refuse_unsent(&mut self, number: u64) {
        if let Some(call) = self.calls.remove(&number) {
            let detail = "the link to the node that the ticket names is full";
            refuse(
                call.result,
                call.request_id,
                RefusalKind::OutcomeUnknown,
                detail,
            );
        }
    }

    /// Refuses all calls to a peer whose link was lost; their outcome is unknown.
    pub(crate) fn refuse_for_lost_peer(&mut self, peer: PeerKey) {
        let detail = "the link to the node that the ticket names was lost";
        for (_, call) in self.calls.extract_if(.., |_, call| call.peer == peer) {
            refuse(
                call.result,
                call.request_id,
                RefusalKind::OutcomeUnknown,
                detail,
            );
        }
    }

    /// Refuses calls that have no answer in time; their outcome is unknown.
    pub(crate) fn refuse_expired(&mut self, now: Timestamp) {
        let detail = "the node that the ticket names gave no answer in time";
        for (_, call) in self.calls.extract_if(.., |_, call| call.expires_at <= now) {
            refuse(
                call.result,
                call.request_id,
                RefusalKind::OutcomeUnknown,
                detail,
            );
        }
    }

    /// Time at which the next call expires.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.calls.values().map(|call| call.expires_at).min()
    }
}

/// Refuses a booking for a node to which there is no link.
pub(crate) fn refuse_unreachable(booking: ForwardedBooking) {
    let detail = format!(
        "the ticket names node {}, which this node can't reach",
        booking.node
    );
    let request_id = booking.request.request_id;
    refuse(
        booking.result,
        request_id,
        RefusalKind::TicketStartGone,
        &detail,
    );
}

fn refuse(
    result: oneshot::Sender<CallResult>,
    request_id: Arc<str>,
    kind: RefusalKind,
    detail: &str,
) {
    let refusal = Refusal {
        request_id,
        kind,
        execution: Execution::Unknown,
        detail: detail.to_owned(),
    };
    // The caller may have disconnected.
    let _gone = result.send(CallResult::Refused(refusal));
}

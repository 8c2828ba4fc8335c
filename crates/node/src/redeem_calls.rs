//! Bookings that peers forward to this node, because their tickets name it.

use crate::{
    engine_task::{CallId, CallRequest, CallResult},
    prelude::*,
};
use medlarpost_wire::prelude::{Redeem, RedeemOutcome, Redeemed};

/// Queue of outcomes, each with the peer that forwarded the booking.
pub(crate) type RedeemedSender = mpsc::UnboundedSender<(PeerKey, Redeemed)>;

/// Starts a task that hands a peer's booking to the engine and sends its outcome to `outcomes`. The caller has to bound
/// the number of these tasks.
pub(crate) fn start(peer: PeerKey, redeem: Redeem, engine: EngineSender, outcomes: RedeemedSender) {
    let call = redeem.call;
    actix_rt::spawn(async move {
        let outcome = run(redeem, engine).await;
        // Fails only if the control task has ended.
        let _ended = outcomes.send((peer, Redeemed { call, outcome }));
    });
}

/// Outcome of a booking that is refused without asking the engine. Whether it ran is unknown, because it may repeat a
/// booking that ran.
pub(crate) fn overloaded_outcome(redeem: &Redeem) -> Redeemed {
    Redeemed {
        call: redeem.call,
        outcome: RedeemOutcome::Refused {
            kind: RefusalKind::Overloaded,
            execution: Execution::Unknown,
            detail:
                "the node that the ticket names has too many unfinished bookings from other nodes"
                    .to_owned(),
        },
    }
}

async fn run(redeem: Redeem, engine: EngineSender) -> RedeemOutcome {
    let (result, result_rx) = oneshot::channel();
    let request = CallRequest::Booking(BookingRequest {
        caller: CallerKey::default(),
        request_id: redeem.request_id,
        token: redeem.token,
        workspace: redeem.workspace,
        service: redeem.service,
        ticket: redeem.ticket,
        booking: redeem.booking,
        deadline: redeem.deadline,
        forwarded: true,
    });
    let message = EngineMessage::Call {
        call: CallId::next(),
        request,
        result,
    };
    let _ended = engine.send(message).await;
    match result_rx.await {
        Ok(CallResult::Booked {
            booking_id,
            reply,
            replayed,
        }) => RedeemOutcome::Booked {
            booking_id,
            reply,
            replayed,
        },
        Ok(CallResult::Refused(refusal)) => RedeemOutcome::Refused {
            kind: refusal.kind,
            execution: refusal.execution,
            detail: refusal.detail,
        },
        Ok(CallResult::Answer(_) | CallResult::Ticket { .. }) | Err(_) => RedeemOutcome::Refused {
            kind: RefusalKind::OutcomeUnknown,
            execution: Execution::Unknown,
            detail: "the node stopped before the booking was completed".to_owned(),
        },
    }
}

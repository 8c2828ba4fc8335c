//! Booking load: callers that book with a ticket and resend some bookings, which may reach another node.

use crate::{
    balancer::{Target, Targets},
    caller::{self, Call, CallOutcome},
    observation::{BookingAttempt, BookingObservation, BookingOutcome, Loss},
    search_load::pick_target,
};
use medlarpost_fakes::prelude::*;
use medlarpost_node::caller_json::{BookingAnswer, TicketReply};
use serde_json::{json, value::RawValue};
use std::time::Instant;

/// Mean rate; the intervals are exponentially distributed.
const BOOKINGS_PER_SECOND: f64 = 10.0;

/// Share of answered bookings that are sent again with the same ticket.
const RESEND_SHARE: f64 = 0.3;

const MAX_ATTEMPTS: usize = 4;

const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Parameters of the booking load.
#[derive(Clone, Debug)]
pub(crate) struct BookingLoad {
    pub(crate) service: &'static str,
    pub(crate) workspaces: &'static [&'static str],
    pub(crate) caller_delay: Duration,
    pub(crate) end: Instant,
    pub(crate) seed: u64,
}

/// The caller of one booking.
struct BookingCaller {
    targets: Targets,
    workspace: &'static str,
    service: &'static str,
    caller_delay: Duration,
    content: Arc<str>,
    resend: bool,
    rng: fastrand::Rng,
}

impl BookingLoad {
    /// Sends bookings until `end` and waits until all of them have ended.
    pub(crate) async fn run(self, targets: Targets) -> Vec<BookingObservation> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut bookings = Vec::new();
        while Instant::now() < self.end {
            let number = bookings.len();
            let content = json!({"slot": number, "crew": rng.u32(..1_000)});
            let booking_caller = BookingCaller {
                targets: targets.clone(),
                workspace: self.workspaces[rng.usize(..self.workspaces.len())],
                service: self.service,
                caller_delay: self.caller_delay,
                content: content.to_string().into(),
                resend: rng.f64() < RESEND_SHARE,
                rng: rng.fork(),
            };
            bookings.push(actix_rt::spawn(booking_caller.run()));
            let pause = Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / BOOKINGS_PER_SECOND);
            actix_rt::time::sleep(pause).await;
        }
        let mut observations = Vec::with_capacity(bookings.len());
        for booking in bookings {
            observations.extend(booking.await.ok());
        }
        observations
    }
}

impl BookingCaller {
    async fn run(mut self) -> BookingObservation {
        let mut attempts: Vec<BookingAttempt> = Vec::new();
        let mut ticket = None;
        while attempts.len() < MAX_ATTEMPTS {
            if ticket.is_none() {
                ticket = self.request_ticket().await;
            }
            let Some(text) = &ticket else { break };
            let attempt = self.send_booking(text).await;
            let outcome = attempt.outcome.clone();
            attempts.push(attempt);
            match outcome {
                BookingOutcome::Booked(_) if self.resend => self.resend = false,
                BookingOutcome::Booked(_) => break,
                // A new ticket is safe only if no attempt so far can have run.
                BookingOutcome::Refused(refusal) if refusal.not_run && never_ran(&attempts) => {
                    ticket = None;
                }
                BookingOutcome::Refused(refusal) if !refusal.not_run => break,
                BookingOutcome::Refused(_) | BookingOutcome::Lost(_) => {}
            }
            actix_rt::time::sleep(RESEND_DELAY).await;
        }
        BookingObservation {
            content: self.content,
            attempts,
        }
    }

    async fn request_ticket(&mut self) -> Option<String> {
        let target = self.pick_target()?;
        let call = Call {
            path: "/v1/tickets",
            workspace: self.workspace,
            request_id: None,
            body: json!({"tenant": self.workspace}),
            delay: self.caller_delay,
        };
        match caller::send::<TicketReply>(&target, call).await {
            CallOutcome::Reply(reply) => Some(reply.ticket),
            CallOutcome::Refused(_) | CallOutcome::Lost(_) => None,
        }
    }

    async fn send_booking(&mut self, ticket: &str) -> BookingAttempt {
        let sent = Instant::now();
        let booking = RawValue::from_string(self.content.to_string()).ok();
        let call = Call {
            path: "/v1/bookings",
            workspace: self.workspace,
            request_id: None,
            body: json!({
                "tenant": self.workspace,
                "service": self.service,
                "ticket": ticket,
                "booking": booking,
                "deadline_ms": 2_000,
            }),
            delay: self.caller_delay,
        };
        let received = match self.pick_target() {
            Some(target) => caller::send::<BookingAnswer>(&target, call).await,
            None => CallOutcome::Lost(Loss::NotReached),
        };
        let outcome = match received {
            CallOutcome::Reply(answer) => BookingOutcome::Booked(answer.upstream_reference),
            CallOutcome::Refused(refusal) => BookingOutcome::Refused(refusal),
            CallOutcome::Lost(loss) => BookingOutcome::Lost(loss),
        };
        BookingAttempt { sent, outcome }
    }

    fn pick_target(&mut self) -> Option<Target> {
        pick_target(&self.targets, self.rng.usize(..))
    }
}

fn never_ran(attempts: &[BookingAttempt]) -> bool {
    attempts.iter().all(|attempt| match &attempt.outcome {
        BookingOutcome::Refused(refusal) => refusal.not_run,
        BookingOutcome::Lost(loss) => *loss == Loss::NotReached,
        BookingOutcome::Booked(_) => false,
    })
}

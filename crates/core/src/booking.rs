//! A running booking and its state machine.

use crate::{
    prelude::*,
    ticket::{Authentic, Ticket},
};

vocabulary! {
    /// States of `charts/booking.toml`.
    pub enum BookingState {
        /// Sent to one upstream and waiting for its reply.
        Sending = "sending",
        /// An upstream ran the booking.
        Booked = "booked",
        /// An upstream may have run the booking.
        Unknown = "unknown",
        /// No upstream ran the booking.
        NotRun = "not_run",
    }
}

vocabulary! {
    /// Events of `charts/booking.toml`.
    pub enum BookingEvent {
        /// The upstream replied that it ran the booking.
        Replied = "replied",
        /// The upstream certainly did not run the booking, or no upstream is left to ask.
        Refused = "refused",
        /// The connection was lost, went silent or gave no valid reply.
        Lost = "lost",
        /// The caller's deadline has passed.
        DeadlinePassed = "deadline_passed",
    }
}

vocabulary! {
    /// Guards of `charts/booking.toml`.
    pub enum BookingGuard {
        /// The deadline has not passed, the configuration is fresh, and an upstream that was not tried takes work.
        AnotherUpstream = "another_upstream",
    }
}

vocabulary! {
    /// Actions of `charts/booking.toml`.
    pub enum BookingAction {
        /// Send to an upstream that was not tried.
        Send = "send",
        /// Record the reply, so that repeats get the same one.
        RecordReply = "record_reply",
        /// Record that the outcome is unknown, so that repeats do not run the booking again.
        RecordUnknown = "record_unknown",
        /// Make the ticket redeemable again.
        Forget = "forget",
        /// Answer all waiting callers with the upstream's reply.
        Answer = "answer",
        /// Refuse all waiting callers: the booking did not run.
        RefuseNotRun = "refuse_not_run",
        /// Refuse all waiting callers: the booking may have run.
        RefuseUnknown = "refuse_unknown",
    }
}

/// State machine of one booking.
#[derive(Debug)]
pub enum BookingMachine {}

impl Machine for BookingMachine {
    type Action = BookingAction;
    type Event = BookingEvent;
    type Guard = BookingGuard;
    type State = BookingState;

    const SOURCE: &'static str = include_str!("../charts/booking.toml");
}

/// A booking between the redemption of its ticket and its outcome.
#[derive(Debug)]
pub(crate) struct Booking {
    pub(crate) state: BookingState,
    pub(crate) ticket: Ticket<Authentic>,
    pub(crate) workspace: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) body: Arc<str>,
    pub(crate) deadline: Timestamp,
    /// Upstreams tried so far. Each but the last certainly did not run the booking.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Latest attempt; `None` before the first send.
    pub(crate) attempt: Option<AttemptKey>,
    /// Callers that wait for the outcome, with their request ids: the first one and those that repeated its request.
    pub(crate) waiting: Vec<(CallerKey, Arc<str>)>,
}

//! A running booking.

use crate::{
    prelude::*,
    ticket::{Authentic, Ticket},
};

vocabulary! {
    /// States of `charts/booking.toml`.
    pub enum BookingState {
        /// One upstream has been asked.
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
        /// The booking certainly did not run.
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
        /// An upstream that has not been asked takes work, and the configuration is fresh.
        AnotherUpstream = "another_upstream",
    }
}

vocabulary! {
    /// Actions of `charts/booking.toml`.
    pub enum BookingAction {
        /// Send to an upstream that has not been asked.
        Send = "send",
        /// Keep the reply for repeats.
        RecordReply = "record_reply",
        /// Keep that the outcome is unknown.
        RecordUnknown = "record_unknown",
        /// Make the ticket redeemable again.
        Forget = "forget",
        /// Answer the callers.
        Answer = "answer",
        /// Refuse as not run.
        RefuseNotRun = "refuse_not_run",
        /// Refuse as unknown.
        RefuseUnknown = "refuse_unknown",
    }
}

/// Machine of one booking.
#[derive(Debug)]
pub enum BookingMachine {}

impl Machine for BookingMachine {
    type Action = BookingAction;
    type Event = BookingEvent;
    type Guard = BookingGuard;
    type State = BookingState;

    const SOURCE: &'static str = include_str!("../charts/booking.toml");
}

/// A booking from its redemption to its outcome.
#[derive(Debug)]
pub(crate) struct Booking {
    pub(crate) state: BookingState,
    pub(crate) ticket: Ticket<Authentic>,
    pub(crate) tenant: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) body: Arc<str>,
    pub(crate) deadline: Timestamp,
    /// Upstreams asked so far; each but the last certainly did not run the booking.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Attempt that is running.
    pub(crate) attempt: Option<AttemptKey>,
    /// Callers that wait, with their request ids. A repeat joins the first.
    pub(crate) waiting: Vec<(CallerKey, Arc<str>)>,
}

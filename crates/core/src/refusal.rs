//! Refusals and what they promise.

use crate::prelude::*;

/// Why a request got no answer, and whether it ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Id that the caller sent or the node made.
    pub request_id: Arc<str>,
    /// Kind of refusal.
    pub kind: RefusalKind,
    /// Whether anything ran. `NotRun` is a promise.
    pub execution: Execution,
    /// What was found, for people.
    pub detail: String,
}

vocabulary! {
    /// What is known about the execution of a refused request.
    pub enum Execution {
        /// Nothing of the request ran or will run.
        NotRun = "not run",
        /// The request may have run.
        Unknown = "unknown",
    }
}

vocabulary! {
    /// Kinds of refusal, by their code.
    pub enum RefusalKind {
        /// Not valid JSON of the expected form.
        Malformed = "malformed",
        /// Body over the limit.
        TooLarge = "too-large",
        /// Token missing, unknown or of another tenant.
        Unauthenticated = "unauthenticated",
        /// No service of this name and kind.
        UnknownService = "unknown-service",
        /// No deadline given.
        DeadlineMissing = "deadline-missing",
        /// Deadline of zero or over the limit.
        DeadlineInvalid = "deadline-invalid",
        /// Deadline passed before the work began.
        DeadlinePassed = "deadline-passed",
        /// The deadline can't be met under the present load.
        DeadlineUnreachable = "deadline-unreachable",
        /// The queue is full.
        Overloaded = "overloaded",
        /// No configuration has been received yet.
        NotConfigured = "not-configured",
        /// The configuration has not been confirmed recently.
        NotFresh = "not-fresh",
        /// The node is shutting down.
        Draining = "draining",
        /// The request is suspected to crash upstreams.
        Quarantined = "quarantined",
        /// No upstream can take the work.
        NoUpstream = "no-upstream",
        /// Not a ticket, or one of another tenant.
        TicketInvalid = "ticket-invalid",
        /// The ticket expired before it was redeemed.
        TicketExpired = "ticket-expired",
        /// The node start that the ticket names is gone.
        TicketStartGone = "ticket-start-gone",
        /// The ticket was redeemed with another booking.
        TicketMismatch = "ticket-mismatch",
        /// Too many tickets are in use.
        TicketsExhausted = "tickets-exhausted",
        /// The booking was sent, and its outcome is not known.
        OutcomeUnknown = "outcome-unknown",
    }
}

impl RefusalKind {
    /// What the caller can do.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "send a JSON object of the documented form",
            Self::TooLarge => "send a body of at most 65536 bytes",
            Self::Unauthenticated => {
                "send a valid token of the named tenant in the Authorization header"
            }
            Self::UnknownService => "name a service of the kind that this path serves",
            Self::DeadlineMissing => "add deadline_ms",
            Self::DeadlineInvalid => "set deadline_ms from 1 to the limit of the bundle",
            Self::DeadlinePassed => "send again with a later deadline",
            Self::DeadlineUnreachable | Self::Overloaded => {
                "send again after a second, or with a later deadline"
            }
            Self::NotConfigured | Self::NotFresh | Self::Draining => {
                "send again; another node may answer"
            }
            Self::Quarantined => "change the request; this one is suspected to crash upstreams",
            Self::NoUpstream => "send again later; the operators see this in the status",
            Self::TicketInvalid | Self::TicketExpired => {
                "get a new ticket and send the booking with it"
            }
            Self::TicketStartGone | Self::OutcomeUnknown => {
                "look up the booking before you send it with a new ticket"
            }
            Self::TicketMismatch => "use one ticket for one booking",
            Self::TicketsExhausted => "send again after a few seconds",
        }
    }
}

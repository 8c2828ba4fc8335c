//! Issues booking tickets and records the outcome of each redeemed one.

use crate::{
    prelude::*,
    ticket::{Authentic, Presented, Ticket},
};
use std::collections::{HashMap, VecDeque};

/// Time after its issue for which a ticket can be redeemed.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(2);

/// Time for which the outcome of a booking is kept after its ticket has expired.
pub const RECORD_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of issued tickets within their lifetime and retention; bounds the memory of the registry.
pub const MAX_TICKETS: usize = 200_000;

/// Tickets issued by one start of a node. Each runs at most one booking.
#[derive(Debug)]
pub struct TicketRegistry {
    node: String,
    start: u64,
    key: [u8; 32],
    next_number: u64,
    /// Records by ticket number; only redeemed tickets have one.
    records: HashMap<u64, Record>,
    /// Issued tickets with the time at which they are evicted, in that order.
    issued: VecDeque<(Timestamp, u64)>,
}

/// State of the booking of a redeemed ticket. `content` tells repeats from other bookings.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Record {
    Running {
        booking: BookingKey,
        content: Digest,
    },
    Ran {
        reply: BookingReply,
        content: Digest,
    },
    Unknown {
        content: Digest,
    },
}

/// Result of redeeming a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Redemption {
    /// The booking has to run now; no other request may run it.
    Granted(Ticket<Authentic>),
    /// The booking is already running.
    InProgress(BookingKey),
    /// The booking has run.
    Completed {
        /// Id of the booking.
        booking_id: String,
        /// Recorded reply of the upstream.
        reply: BookingReply,
    },
    /// The booking was sent, and its outcome is unknown.
    OutcomeUnknown,
    /// Only the named node can redeem the ticket.
    OtherNode(String),
    /// The ticket cannot be redeemed; the [`Execution`] says whether the booking may have run.
    Refused(RefusalKind, Execution),
}

impl TicketRegistry {
    /// Creates the registry of one start of `node`. Tickets are authenticated with `key`.
    pub fn new(node: &str, start: u64, key: [u8; 32]) -> Self {
        let (records, issued) = (HashMap::new(), VecDeque::new());
        Self {
            node: node.to_owned(),
            start,
            key,
            next_number: 0,
            records,
            issued,
        }
    }

    /// Issues a ticket, or `None` if [`MAX_TICKETS`] are in use.
    pub fn issue(&mut self, now: Timestamp, workspace: &str) -> Option<Ticket<Authentic>> {
        self.evict_expired(now);
        if self.issued.len() >= MAX_TICKETS {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let expires = now + TICKET_LIFETIME;
        self.issued.push_back((expires + RECORD_RETENTION, number));
        Some(Ticket::issue(
            &self.key,
            (&self.node, self.start),
            number,
            expires,
            workspace,
        ))
    }

    /// Decides what a presented ticket allows. `content` is the digest of the booking, so that a ticket is good for one
    /// booking only. After [`Redemption::Granted`], the caller must either call [`TicketRegistry::record_running`] or
    /// not run the booking.
    pub fn redeem(
        &mut self,
        now: Timestamp,
        text: &str,
        workspace: &str,
        content: Digest,
    ) -> Redemption {
        self.evict_expired(now);
        let Some(ticket) = Ticket::parse(text) else {
            return Redemption::Refused(RefusalKind::TicketInvalid, Execution::NotRun);
        };
        if ticket.node() != self.node {
            return Redemption::OtherNode(ticket.node().to_owned());
        }
        if ticket.start() != self.start {
            return Redemption::Refused(RefusalKind::TicketStartGone, Execution::Unknown);
        }
        match ticket.verify(&self.key, workspace) {
            Some(ticket) => self.redeem_authentic(now, ticket, content),
            None => Redemption::Refused(RefusalKind::TicketInvalid, Execution::NotRun),
        }
    }

    fn redeem_authentic(
        &self,
        now: Timestamp,
        ticket: Ticket<Authentic>,
        content: Digest,
    ) -> Redemption {
        let Some(record) = self.records.get(&ticket.number()) else {
            return match now {
                _ if now < ticket.expires() => Redemption::Granted(ticket),
                _ if now < ticket.expires() + RECORD_RETENTION => {
                    Redemption::Refused(RefusalKind::TicketExpired, Execution::NotRun)
                }
                // The record is evicted by now, if there was one, so the booking may have run.
                _ => Redemption::Refused(RefusalKind::TicketExpired, Execution::Unknown),
            };
        };
        if record.content() != content {
            return Redemption::Refused(RefusalKind::TicketMismatch, Execution::NotRun);
        }
        match record {
            Record::Running { booking, .. } => Redemption::InProgress(*booking),
            Record::Ran { reply, .. } => Redemption::Completed {
                booking_id: ticket.booking_id(),
                reply: reply.clone(),
            },
            Record::Unknown { .. } => Redemption::OutcomeUnknown,
        }
    }

    /// Records that the booking of a ticket is running.
    pub fn record_running(
        &mut self,
        ticket: &Ticket<Authentic>,
        booking: BookingKey,
        content: Digest,
    ) {
        self.records
            .insert(ticket.number(), Record::Running { booking, content });
    }

    /// Records the reply of the upstream, which repeats of the request get.
    pub fn record_reply(&mut self, ticket: &Ticket<Authentic>, reply: BookingReply) {
        if let Some(record) = self.records.get_mut(&ticket.number()) {
            *record = Record::Ran {
                reply,
                content: record.content(),
            };
        }
    }

    /// Records that the outcome of the booking is unknown.
    pub fn record_unknown(&mut self, ticket: &Ticket<Authentic>) {
        if let Some(record) = self.records.get_mut(&ticket.number()) {
            *record = Record::Unknown {
                content: record.content(),
            };
        }
    }

    /// Makes a ticket redeemable again. The booking must certainly not have run.
    pub fn reset(&mut self, ticket: &Ticket<Authentic>) {
        self.records.remove(&ticket.number());
    }

    /// Number of redeemed tickets with a record.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn evict_expired(&mut self, now: Timestamp) {
        while let Some(&(evict_at, number)) = self.issued.front()
            && evict_at <= now
        {
            self.issued.pop_front();
            self.records.remove(&number);
        }
    }
}

impl Record {
    fn content(&self) -> Digest {
        match self {
            Self::Running { content, .. }
            | Self::Ran { content, .. }
            | Self::Unknown { content } => *content,
        }
    }
}

impl Ticket<Presented> {
    /// Name of the issuing node in a ticket text; `None` if the text is not a ticket. Verifies nothing.
    pub fn node_of(text: &str) -> Option<String> {
        Self::parse(text).map(|ticket| ticket.node().to_owned())
    }
}

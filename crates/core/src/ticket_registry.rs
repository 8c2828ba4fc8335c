//! Issues tickets and remembers what became of each.

use crate::{
    prelude::*,
    ticket::{Authentic, Presented, Ticket},
};
use std::collections::{HashMap, VecDeque};

/// Time that a ticket can be redeemed for.
pub const TICKET_LIFETIME: Duration = Duration::from_mins(2);

/// Time that the outcome of a booking is kept after its ticket has expired.
pub const RECORD_RETENTION: Duration = Duration::from_mins(10);

/// Tickets that may be issued and not yet forgotten; bounds the memory of the desk.
pub const MAX_TICKETS: usize = 200_000;

/// Issues tickets and remembers what became of each.
#[derive(Debug)]
pub struct TicketRegistry {
    node: String,
    start: u64,
    key: [u8; 32],
    next_number: u64,
    /// Only redeemed tickets have a record.
    records: HashMap<u64, Record>,
    /// Issued tickets in the order in which they are forgotten.
    issued: VecDeque<(Timestamp, u64)>,
}

/// What became of a redeemed ticket.
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

/// What the desk says of a presented ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Redemption {
    /// The booking may run now, and nobody else may run it.
    Granted(Ticket<Authentic>),
    /// The booking is running.
    InProgress(BookingKey),
    /// The booking ran.
    Completed {
        /// Id of the booking.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
    },
    /// The booking was sent, and its outcome is not known.
    OutcomeUnknown,
    /// Another node may redeem the ticket.
    OtherNode(String),
    /// Refused for this reason.
    Refused(RefusalKind, Execution),
}

impl TicketRegistry {
    /// A desk for one start of a node.
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

    /// Issues a ticket, or none if too many are in use.
    pub fn issue(&mut self, now: Timestamp, tenant: &str) -> Option<Ticket<Authentic>> {
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
            tenant,
        ))
    }

    /// Decides what a presented ticket allows. A ticket that may run must then be recorded with
    /// [`TicketRegistry::record_running`].
    pub fn redeem(
        &mut self,
        now: Timestamp,
        text: &str,
        tenant: &str,
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
        match ticket.verify(&self.key, tenant) {
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
                // The record of a redeemed ticket would be forgotten by now.
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

    /// Records that the booking of a ticket runs.
    pub fn record_running(
        &mut self,
        ticket: &Ticket<Authentic>,
        booking: BookingKey,
        content: Digest,
    ) {
        self.records
            .insert(ticket.number(), Record::Running { booking, content });
    }

    /// Records the upstream's reply.
    pub fn record_reply(&mut self, ticket: &Ticket<Authentic>, reply: BookingReply) {
        if let Some(record) = self.records.get_mut(&ticket.number()) {
            *record = Record::Ran {
                reply,
                content: record.content(),
            };
        }
    }

    /// Records that the outcome is not known.
    pub fn record_unknown(&mut self, ticket: &Ticket<Authentic>) {
        if let Some(record) = self.records.get_mut(&ticket.number()) {
            *record = Record::Unknown {
                content: record.content(),
            };
        }
    }

    /// Makes a ticket redeemable again, because its booking certainly did not run.
    pub fn reset(&mut self, ticket: &Ticket<Authentic>) {
        self.records.remove(&ticket.number());
    }

    /// Redeemed tickets that are remembered.
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
    /// Name of the node in a ticket text, if it is one.
    pub fn node_of(text: &str) -> Option<String> {
        Self::parse(text).map(|ticket| ticket.node().to_owned())
    }
}

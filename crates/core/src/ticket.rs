//! Tickets that name the node and start which may run a booking.

use crate::prelude::*;
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use std::{
    fmt::{self, Display, Formatter},
    marker::PhantomData,
};

/// Bytes of the authentication code that a ticket carries.
const MAC_BYTES: usize = 16;

/// Longest ticket text that is read, in bytes.
const MAX_TICKET_TEXT_BYTES: usize = 256;

/// State of a ticket that a caller presented.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presented {}

/// State of a ticket that this start of this node issued to the tenant that presents it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authentic {}

/// Permission to run one booking on one start of one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket<S> {
    node: String,
    start: u64,
    /// Unique among the tickets of the start.
    number: u64,
    /// In the time of the start.
    expires: Timestamp,
    mac: [u8; MAC_BYTES],
    state: PhantomData<S>,
}

impl<S> Ticket<S> {
    /// Name of the node that may redeem the ticket.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Number of the start that may redeem the ticket.
    pub fn start(&self) -> u64 {
        self.start
    }
}

impl Ticket<Presented> {
    /// Reads a ticket from its text.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() > MAX_TICKET_TEXT_BYTES {
            return None;
        }
        let mut fields = text.rsplitn(5, '.');
        let mac = parse_mac(fields.next()?)?;
        let mut number = || u64::from_str_radix(fields.next()?, 16).ok();
        let (expires, number, start) = (Timestamp::from_micros(number()?), number()?, number()?);
        let node = fields.next().filter(|node| !node.is_empty())?.to_owned();
        Some(Self {
            node,
            start,
            number,
            expires,
            mac,
            state: PhantomData,
        })
    }

    /// Checks that the holder of `key` issued the ticket to `tenant`.
    pub fn verify(self, key: &[u8; 32], tenant: &str) -> Option<Ticket<Authentic>> {
        use subtle::ConstantTimeEq as _;
        let mac = compute_mac(
            key,
            &self.node,
            self.start,
            self.number,
            self.expires,
            tenant,
        );
        let Self {
            node,
            start,
            number,
            expires,
            ..
        } = self;
        let authentic = bool::from(mac.ct_eq(&self.mac));
        authentic.then_some(Ticket {
            node,
            start,
            number,
            expires,
            mac,
            state: PhantomData,
        })
    }
}

impl Ticket<Authentic> {
    /// Issues a ticket.
    pub(crate) fn issue(
        key: &[u8; 32],
        (node, start): (&str, u64),
        number: u64,
        expires: Timestamp,
        tenant: &str,
    ) -> Self {
        let mac = compute_mac(key, node, start, number, expires, tenant);
        Self {
            node: node.to_owned(),
            start,
            number,
            expires,
            mac,
            state: PhantomData,
        }
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn expires(&self) -> Timestamp {
        self.expires
    }

    /// Id of the booking that the ticket allows; the same for each repeat.
    pub(crate) fn booking_id(&self) -> String {
        format!("{}-{:x}-{:x}", self.node, self.start, self.number)
    }
}

impl<S> Display for Ticket<S> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            node,
            start,
            number,
            ..
        } = self;
        write!(
            f,
            "{node}.{start:x}.{number:x}.{:x}.",
            self.expires.as_micros()
        )?;
        self.mac.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn parse_mac(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != 2 * MAC_BYTES || !text.is_ascii() {
        return None;
    }
    let mut mac = [0; MAC_BYTES];
    for (i, byte) in mac.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(mac)
}

fn compute_mac(
    key: &[u8; 32],
    node: &str,
    start: u64,
    number: u64,
    expires: Timestamp,
    tenant: &str,
) -> [u8; MAC_BYTES] {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    // Lengths come first, so that no two tickets share an input.
    for text in [node, tenant] {
        hmac.update(&(text.len() as u64).to_be_bytes());
        hmac.update(text.as_bytes());
    }
    for number in [start, number, expires.as_micros()] {
        hmac.update(&number.to_be_bytes());
    }
    let full = hmac.finalize().into_bytes();
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&full[..MAC_BYTES]);
    mac
}

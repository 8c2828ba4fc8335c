//! Booking tickets. Each names the node, and the start of its process, that alone may run the booking.

use crate::{hex, prelude::*};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use std::{
    fmt::{self, Display, Formatter},
    marker::PhantomData,
};

/// Length of the message authentication code of a ticket, in bytes; HMAC-SHA-256 truncated to 128 bits.
const MAC_BYTES: usize = 16;

/// Maximum length of a ticket text, in bytes. Longer ones are rejected unread.
const MAX_TICKET_TEXT_BYTES: usize = 256;

/// State of a ticket that was parsed from a request, but not verified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presented {}

/// State of a ticket that this process issued to the workspace that presents it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authentic {}

/// Permission to run one booking on one node, limited to one start of its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket<S> {
    node: String,
    start: u64,
    /// Unique among the tickets of the same start.
    number: u64,
    /// Expiry, on the clock of the issuing process.
    expires: Timestamp,
    mac: [u8; MAC_BYTES],
    state: PhantomData<S>,
}

impl<S> Ticket<S> {
    /// Name of the node that may redeem the ticket.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Number of the start of that node that may redeem the ticket.
    pub fn start(&self) -> u64 {
        self.start
    }
}

impl Ticket<Presented> {
    /// Parses the text form of a ticket: node, start, number, expiry and authentication code, separated by dots.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() > MAX_TICKET_TEXT_BYTES {
            return None;
        }
        let mut fields = text.rsplitn(5, '.');
        let mac = hex::parse_bytes(fields.next()?)?;
        let mut number = || hex::parse_number(fields.next()?);
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

    /// Returns the ticket as authentic if the holder of `key` issued it to `workspace`. Compares in constant time.
    pub fn verify(self, key: &[u8; 32], workspace: &str) -> Option<Ticket<Authentic>> {
        use subtle::ConstantTimeEq as _;
        let mac = compute_mac(
            key,
            &self.node,
            self.start,
            self.number,
            self.expires,
            workspace,
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
    /// Creates a ticket for `workspace`, authenticated with `key`.
    pub(crate) fn issue(
        key: &[u8; 32],
        (node, start): (&str, u64),
        number: u64,
        expires: Timestamp,
        workspace: &str,
    ) -> Self {
        let mac = compute_mac(key, node, start, number, expires, workspace);
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

    /// Id of the booking that the ticket allows, the same for each repeat of the request.
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

fn compute_mac(
    key: &[u8; 32],
    node: &str,
    start: u64,
    number: u64,
    expires: Timestamp,
    workspace: &str,
) -> [u8; MAC_BYTES] {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    // Length prefixes keep the texts apart, so that no two tickets have the same input.
    for text in [node, workspace] {
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

//! The secret key that all nodes of a fleet share.

use crate::prelude::*;
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use std::fmt::{self, Formatter};

/// A secret that authenticates the nodes of one fleet to each other. `Debug` doesn't print it.
#[derive(Clone, Eq, PartialEq)]
pub struct FleetKey([u8; 32]);

pub(crate) type HmacSha256 = Hmac<Sha256>;

impl FleetKey {
    /// Creates a key from its 32 raw bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Parses 64 hexadecimal digits; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        Digest::from_hex(text).map(|digest| Self(digest.0))
    }

    pub(crate) fn mac(&self) -> HmacSha256 {
        hmac_with_key(&self.0)
    }
}

impl Debug for FleetKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Starts an HMAC computation with a key of any length.
pub(crate) fn hmac_with_key(key: &[u8]) -> HmacSha256 {
    HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length")
}

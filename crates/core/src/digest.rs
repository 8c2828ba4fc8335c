//! SHA-256 digests.

use crate::{hex, prelude::*};
use serde::{Deserializer, Serializer, de::Error as _};
use sha2::{Digest as _, Sha256};
use std::fmt::{self, Display, Formatter};
use subtle::{Choice, ConstantTimeEq as _};

/// A SHA-256 digest; its text form is 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Hashes `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Compares with the digest of a secret, in a time that does not depend on how many bytes agree.
    pub fn is_equal_in_constant_time(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Whether one of the digests of secrets is equal. All of them are compared, each in constant time.
    pub fn is_any_of(&self, secrets: &[Self]) -> bool {
        let none = Choice::from(0);
        secrets
            .iter()
            .fold(none, |found, secret| found | secret.0.ct_eq(&self.0))
            .into()
    }

    /// Parses exactly 64 hexadecimal digits in either case.
    pub fn from_hex(text: &str) -> Option<Self> {
        hex::parse_bytes(text).map(Self)
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::from_hex(&text)
            .ok_or_else(|| D::Error::custom("expected 64 hexadecimal digits of a SHA-256 digest"))
    }
}

//! A complete registry entry of an upstream, with the fields that order it among the entries of the same key.

use crate::prelude::*;

/// A registry entry that has all its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRegistration {
    /// What requests are sent by.
    pub upstream: RegisteredUpstream,
    /// Version of the upstream's software.
    pub version: Arc<str>,
    /// Number of the entry among those of the same start; rises with each one that the upstream writes.
    pub seq: u64,
}

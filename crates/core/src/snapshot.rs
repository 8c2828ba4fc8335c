//! Registry contents, encoded as nodes pass them on to each other.

use crate::prelude::*;
use bytes::Bytes;

/// One registry entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedItem {
    /// Key in the registry.
    pub key: Arc<str>,
    /// Encoded value; only the platform's adapter decodes it.
    pub value: Bytes,
}

/// All registry entries at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision of the registry; 0 if it was never read.
    pub revision: u64,
    /// Whether the sending node's last read of the registry succeeded.
    pub current: bool,
    /// Entries in no particular order.
    pub items: Vec<PublishedItem>,
}

/// Request for a snapshot newer than the one that the requesting node has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotRequest {
    /// Revision that the requesting node has; 0 for none.
    pub after: u64,
}

//! What a registry has published, unread, as one node passes it on to another.

use crate::prelude::*;
use bytes::Bytes;

/// One published item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedItem {
    /// Its key.
    pub key: Arc<str>,
    /// Its value, which only the platform's adapter reads.
    pub value: Bytes,
}

/// All items that were published at a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision of the registry; 0 for nothing.
    pub revision: u64,
    /// Whether the last read of the registry succeeded at the node that passes this on.
    pub current: bool,
    /// The items, in no order.
    pub items: Vec<PublishedItem>,
}

/// A question for a snapshot that is later than what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotRequest {
    /// Revision of what is known; 0 for nothing.
    pub after: u64,
}

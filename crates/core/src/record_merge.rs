//! Merge of fixed-size records in descending order.

use bytes::{Bytes, BytesMut};

/// Size of one record in bytes. A shorter remainder at the end of a reply is dropped.
pub const RECORD_BYTES: usize = 16;

/// Keeps the greatest records of several replies, ordered byte by byte.
#[derive(Clone, Debug)]
pub struct RecordMerge {
    limit: usize,
    /// In descending order, at most `limit`.
    records: Vec<[u8; RECORD_BYTES]>,
}

impl RecordMerge {
    /// An empty merge that keeps at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: Vec::new(),
        }
    }

    /// Adds the records of one reply. Duplicates are kept.
    pub fn add(&mut self, body: &[u8]) {
        self.records.extend(body.as_chunks().0);
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.limit);
    }

    /// The records kept so far, concatenated in descending order.
    pub fn bytes(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(self.records.len() * RECORD_BYTES);
        for record in &self.records {
            bytes.extend_from_slice(record);
        }
        bytes.freeze()
    }
}

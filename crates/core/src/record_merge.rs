//! Merge of fixed-size records, greatest first.

use bytes::{Bytes, BytesMut};

/// Bytes of one record. A shorter remainder is not a record.
pub const RECORD_BYTES: usize = 16;

/// Keeps the greatest records of several replies, compared byte by byte.
#[derive(Clone, Debug)]
pub struct RecordMerge {
    limit: usize,
    /// Greatest first, at most `limit`.
    records: Vec<[u8; RECORD_BYTES]>,
}

impl RecordMerge {
    /// A merge of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: Vec::new(),
        }
    }

    /// Adds the records of one reply. Equal records all count.
    pub fn add(&mut self, body: &[u8]) {
        self.records.extend(body.as_chunks().0);
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.limit);
    }

    /// The greatest records, greatest first.
    pub fn bytes(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(self.records.len() * RECORD_BYTES);
        for record in &self.records {
            bytes.extend_from_slice(record);
        }
        bytes.freeze()
    }
}

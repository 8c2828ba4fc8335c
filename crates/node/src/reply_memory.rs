//! Decides which replies of upstreams are ended when all of them together hold too much memory.

use crate::prelude::*;

/// Bytes by which a reply grows between two reports. Most replies are shorter and are never reported.
pub const REPORT_STEP_BYTES: usize = 32 * 1024;

/// Sizes of the large replies that are being read. Their sum stays below a limit, so that upstreams whose replies have
/// no end can't use up the memory of the VM.
#[derive(Debug)]
pub struct ReplyMemory {
    limit: usize,
    /// Sum of `sizes`.
    total: usize,
    sizes: HashMap<AttemptKey, ReplySize>,
}

/// Size of a reply that is being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplySize {
    /// Upstream that sends it.
    pub upstream: UpstreamKey,
    /// Bytes that it holds.
    pub bytes: usize,
}

impl ReplyMemory {
    /// A memory of `limit` bytes for all replies together.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            sizes: HashMap::new(),
        }
    }

    /// Records that a reply holds so many bytes now. Returns the replies to end so that the sum falls below the limit,
    /// the largest first; they no longer count.
    pub fn grow(&mut self, attempt: AttemptKey, size: ReplySize) -> Vec<(AttemptKey, ReplySize)> {
        self.release(attempt);
        self.total += size.bytes;
        self.sizes.insert(attempt, size);
        let mut ended = Vec::new();
        while self.total > self.limit
            && let Some((&largest, &size)) = self.sizes.iter().max_by_key(|(_, size)| size.bytes)
        {
            self.release(largest);
            ended.push((largest, size));
        }
        ended
    }

    /// Records that an attempt has ended, so that its reply no longer counts.
    pub fn release(&mut self, attempt: AttemptKey) {
        if let Some(size) = self.sizes.remove(&attempt) {
            self.total -= size.bytes;
        }
    }
}

//! What a node that reads the registry tells the nodes that follow it, and as of which time.

use crate::prelude::*;
use bytes::Bytes;

/// Poll of a reader by a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryPoll {
    /// Revision that the follower has; 0 for none.
    pub after: u64,
    /// Time that the reader waits for a read later than those in its last reply; zero for a reply at once.
    pub wait: Duration,
}

/// A request to a node that has registry contents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayRequest {
    /// For one snapshot.
    Snapshot(SnapshotRequest),
    /// For what has changed, on a connection that stays open.
    Poll(RegistryPoll),
}

/// An item that a reader no longer applies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedRemoval {
    /// Key in the registry.
    pub key: Arc<str>,
    /// Value that the reader refused; `None` if the key is gone. A refused entry has no grace period.
    pub refused: Option<Bytes>,
}

/// What a reader knows about the age of its view. All times are relative to the arrival of the poll, so that neither the
/// wait nor the transit of the reply makes the view look newer than it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayAges {
    /// Milliseconds from the last confirmed read to the arrival of the poll; negative for a later read. `None` if the
    /// reader can't vouch for its view.
    pub view_ms: Option<i64>,
    /// The same for the last read that confirmed the configuration.
    pub configuration_ms: Option<i64>,
    /// Milliseconds from the arrival of the poll to the end of the grace period after an outage; 0 for none.
    pub recovery_ms: u32,
}

/// Reply to a [`RegistryPoll`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryReply {
    /// All items, or those written since the revision of the poll.
    pub snapshot: Snapshot,
    /// Whether items and removals are only the changes since the revision of the poll.
    pub changes_only: bool,
    /// Items that are gone or refused.
    pub removals: Vec<RelayedRemoval>,
    /// Ages of what the reader has read.
    pub ages: RelayAges,
}

impl RelayAges {
    /// Age of a read made at `at` when the poll arrived, rounded to the older side.
    pub fn age_ms(arrived_at: BootTime, at: BootTime) -> i64 {
        let (older, newer) = (arrived_at.since(at), at.since(arrived_at));
        let older_ms = older.as_micros().div_ceil(1_000) as i64;
        older_ms - newer.as_millis() as i64
    }
}

/// Times of a poll on the follower's own clock.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// When the poll was sent.
    pub sent_at: BootTime,
    /// When its reply had arrived.
    pub answered_at: BootTime,
}

impl PollTiming {
    /// Time at which a read was made, from its age at the arrival of the poll. The poll was sent before it arrived, so
    /// that the time is never too late. `None` for a read from before the follower's VM booted.
    pub fn time_of(&self, age_ms: i64) -> Option<BootTime> {
        let age = Duration::from_millis(age_ms.unsigned_abs());
        if age_ms > 0 {
            self.sent_at.checked_sub(age)
        } else {
            Some((self.sent_at + age).min(self.answered_at))
        }
    }
}

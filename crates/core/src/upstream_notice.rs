//! What upstreams say of themselves in replies, in the form in which nodes pass it on.

use crate::prelude::*;
use std::collections::HashMap;

/// Time for which another node's notice holds. After it the node finds out by a request of its own, so that a wrong
/// notice does not keep an upstream out of use.
pub(crate) const PEER_NOTICE_TIME: Duration = Duration::from_secs(10);

/// Notices kept of upstreams that are not registered. The oldest is dropped first.
const MAX_ABSENT: usize = 256;

/// Something that an upstream said of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// Instance of the upstream.
    pub instance: Arc<str>,
    /// Start of its process in milliseconds since the Unix epoch. The notice does not apply to a later start.
    pub started_at_ms: u64,
    /// What it said.
    pub kind: NoticeKind,
    /// Time since it said so.
    pub age: Duration,
}

/// Content of a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeKind {
    /// It is leaving and takes no new requests.
    Leaving,
    /// It wants no requests.
    Resting {
        /// Time for which it still wants none.
        left: Duration,
    },
}

impl NoticeKind {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Resting { .. } => "resting",
        }
    }
}

impl UpstreamNotice {
    /// Time for which a node that hears of the notice from another one acts on it.
    pub(crate) fn holds_for(&self) -> Duration {
        let longest = PEER_NOTICE_TIME.saturating_sub(self.age);
        match self.kind {
            NoticeKind::Leaving => longest,
            NoticeKind::Resting { left } => left.min(longest),
        }
    }
}

/// What is known of upstreams without an entry in the registry, for the case that their entry appears or returns.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbsentUpstreams {
    notices: HashMap<Arc<str>, AbsentNotice>,
}

/// What applies to an upstream if it is registered again with the same start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbsentNotice {
    pub(crate) started_at_ms: u64,
    /// It told this node that it is leaving.
    pub(crate) leaving: bool,
    /// Time until which other upstreams are preferred, because another node said so.
    pub(crate) avoid_until: Timestamp,
    noted_at: Timestamp,
}

impl AbsentUpstreams {
    /// Notes that an upstream which told this node that it is leaving has lost its entry.
    pub(crate) fn note_left(&mut self, now: Timestamp, entry: &RegisteredUpstream) {
        let notice = AbsentNotice {
            started_at_ms: entry.started_at_ms,
            leaving: true,
            avoid_until: Timestamp::ZERO,
            noted_at: now,
        };
        self.insert(Arc::clone(&entry.instance), notice);
    }

    /// Notes what another node says of an upstream that is not registered here.
    pub(crate) fn note_peer(&mut self, now: Timestamp, notice: &UpstreamNotice) {
        let already_left = self
            .notices
            .get(&notice.instance)
            .is_some_and(|known| known.leaving && known.started_at_ms == notice.started_at_ms);
        if already_left {
            return;
        }
        let absent = AbsentNotice {
            started_at_ms: notice.started_at_ms,
            leaving: false,
            avoid_until: now + notice.holds_for(),
            noted_at: now,
        };
        self.insert(Arc::clone(&notice.instance), absent);
    }

    /// Removes and returns what applies to an upstream that is registered now.
    pub(crate) fn take(&mut self, entry: &RegisteredUpstream) -> Option<AbsentNotice> {
        let notice = self.notices.remove(&entry.instance)?;
        (notice.started_at_ms == entry.started_at_ms).then_some(notice)
    }

    fn insert(&mut self, instance: Arc<str>, notice: AbsentNotice) {
        if self.notices.len() >= MAX_ABSENT && !self.notices.contains_key(&instance) {
            let oldest = self.notices.iter().min_by_key(|(_, known)| known.noted_at);
            if let Some(oldest) = oldest.map(|(instance, _)| Arc::clone(instance)) {
                self.notices.remove(&oldest);
            }
        }
        self.notices.insert(instance, notice);
    }
}

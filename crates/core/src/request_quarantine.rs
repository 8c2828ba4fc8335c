//! Quarantine of forwarded requests that crash the upstreams which run them.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Upstreams that one request may crash before it is quarantined. Without this limit, repetitions by the caller and
/// retries would take it to every upstream of the service.
const CRASHES_BEFORE_QUARANTINE: usize = 2;

/// Time for which a request is refused. One copy is then sent to find out whether it still crashes upstreams.
const QUARANTINE_DURATION: Duration = Duration::from_mins(1);

/// A lost connection counts as a crash if the upstream's process is found to have ended within this time.
const CRASH_CONFIRMATION_WINDOW: Duration = Duration::from_secs(5);

/// Lost connections kept while they wait for confirmation; the oldest is dropped first.
const MAX_UNCONFIRMED_LOSSES: usize = 256;

/// Requests kept as suspects; the one with the oldest crash is dropped first.
const MAX_SUSPECTS: usize = 1_024;

/// Suspect requests by digest. Empty as long as nothing crashes, so that no digests are computed in normal operation.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQuarantine {
    /// Connections lost while a request ran, with no known cause yet.
    unconfirmed_losses: VecDeque<ConnectionLoss>,
    suspects: HashMap<Digest, SuspectRequest>,
}

#[derive(Clone, Debug)]
struct ConnectionLoss {
    digest: Digest,
    upstream: UpstreamKey,
    sent_at: Timestamp,
    lost_at: Timestamp,
}

#[derive(Clone, Debug)]
struct SuspectRequest {
    /// Upstreams that crashed one after the other. Crashes at the same time count as one, because the failure of a zone
    /// or a switch takes down many upstreams at once.
    crashed_upstreams: Vec<UpstreamKey>,
    last_crash: Timestamp,
    quarantined_until: Timestamp,
}

impl RequestQuarantine {
    /// Whether there are no suspects and no lost connections, so that digests need not be computed.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.unconfirmed_losses.is_empty()
    }

    /// Whether a request must be refused. Once the quarantine has expired, one copy is let through and it starts again.
    pub(crate) fn must_refuse(&mut self, now: Timestamp, digest: Digest) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return false;
        };
        if suspect.crashed_upstreams.len() < CRASHES_BEFORE_QUARANTINE
            && suspect.quarantined_until == Timestamp::ZERO
        {
            return false;
        }
        let quarantined = now < suspect.quarantined_until;
        if !quarantined {
            suspect.quarantined_until = now + QUARANTINE_DURATION;
        }
        quarantined
    }

    /// Records that a connection was lost while a request sent at `sent_at` ran.
    pub(crate) fn record_connection_loss(
        &mut self,
        now: Timestamp,
        digest: Digest,
        upstream: UpstreamKey,
        sent_at: Timestamp,
    ) {
        if self.unconfirmed_losses.len() == MAX_UNCONFIRMED_LOSSES {
            self.unconfirmed_losses.pop_front();
        }
        let lost_at = now;
        self.unconfirmed_losses.push_back(ConnectionLoss {
            digest,
            upstream,
            sent_at,
            lost_at,
        });
    }

    /// Records that the process of an upstream has ended. Returns the requests that are now quarantined.
    pub(crate) fn record_process_end(
        &mut self,
        now: Timestamp,
        upstream: UpstreamKey,
    ) -> Vec<Digest> {
        let mut quarantined = Vec::new();
        for loss in std::mem::take(&mut self.unconfirmed_losses) {
            if now.since(loss.lost_at) >= CRASH_CONFIRMATION_WINDOW {
                continue;
            }
            if loss.upstream != upstream {
                self.unconfirmed_losses.push_back(loss);
            } else if self.record_crash(now, &loss) {
                quarantined.push(loss.digest);
            }
        }
        quarantined
    }

    /// Records that a request sent at `sent_at` succeeded. It is cleared only if it was sent after its last crash.
    pub(crate) fn record_success(&mut self, digest: Digest, sent_at: Timestamp) {
        let harmless = |suspect: &SuspectRequest| sent_at >= suspect.last_crash;
        if self.suspects.get(&digest).is_some_and(harmless) {
            self.suspects.remove(&digest);
        }
        self.unconfirmed_losses
            .retain(|loss| loss.digest != digest || loss.lost_at >= sent_at);
    }

    /// Applies a quarantine that another node started `age` ago. Returns whether this node did not have it yet.
    pub(crate) fn quarantine_from_peer(
        &mut self,
        now: Timestamp,
        digest: Digest,
        age: Duration,
    ) -> bool {
        let remaining = QUARANTINE_DURATION.saturating_sub(age);
        let existing = self.suspects.get(&digest);
        if remaining.is_zero() || existing.is_some_and(|suspect| suspect.quarantined_until > now) {
            return false;
        }
        let suspect = self.suspect_mut(now, digest);
        suspect.last_crash = now;
        suspect.quarantined_until = now + remaining;
        true
    }

    /// Counts a confirmed crash against the request. Returns whether this one puts it into quarantine.
    fn record_crash(&mut self, now: Timestamp, loss: &ConnectionLoss) -> bool {
        let suspect = self.suspect_mut(now, loss.digest);
        let sent_after_last_crash =
            suspect.crashed_upstreams.is_empty() || loss.sent_at >= suspect.last_crash;
        if !sent_after_last_crash || suspect.crashed_upstreams.contains(&loss.upstream) {
            return false;
        }
        suspect.crashed_upstreams.push(loss.upstream);
        suspect.last_crash = loss.lost_at;
        let quarantined = suspect.crashed_upstreams.len() >= CRASHES_BEFORE_QUARANTINE;
        if quarantined {
            suspect.quarantined_until = now + QUARANTINE_DURATION;
        }
        quarantined
    }

    fn suspect_mut(&mut self, now: Timestamp, digest: Digest) -> &mut SuspectRequest {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&digest) {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash);
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                self.suspects.remove(&oldest);
            }
        }
        self.suspects
            .entry(digest)
            .or_insert_with(|| SuspectRequest {
                crashed_upstreams: Vec::new(),
                last_crash: now,
                quarantined_until: Timestamp::ZERO,
            })
    }
}

//! Forwarded requests that crash the upstreams which run them.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Upstreams that one request may cost. Its caller repeats it, and retries would spread it over the service.
const LOSSES_ALLOWED: usize = 2;

/// Time for which a request is barred, and then one more try shows whether it still crashes upstreams.
const BARRED_FOR: Duration = Duration::from_mins(1);

/// Time after a broken connection within which the end of the upstream's process shows that it crashed.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(5);

/// Broken connections that wait for confirmation; the oldest is dropped first.
const BREAKS_KEPT: usize = 256;

/// Requests that are remembered; the one whose loss is oldest is dropped first.
const SUSPECTS_KEPT: usize = 1_024;

/// What is remembered of requests by their digest. Empty while nothing crashes, so that no digest is worked out then.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    /// Connections that broke while a request ran.
    breaks: VecDeque<Break>,
    suspects: HashMap<Digest, Suspect>,
}

#[derive(Debug)]
struct Break {
    digest: Digest,
    upstream: UpstreamKey,
    /// When the request was sent there.
    sent: Timestamp,
    at: Timestamp,
}

#[derive(Debug)]
struct Suspect {
    /// Upstreams lost one after the other; those lost at the same time count as one, because a zone or a switch that
    /// fails takes many at once.
    lost: Vec<UpstreamKey>,
    last_loss: Timestamp,
    barred_until: Timestamp,
}

impl CrashWatch {
    /// Whether nothing is suspected, so that requests need not be looked at.
    pub(crate) fn is_calm(&self) -> bool {
        self.suspects.is_empty() && self.breaks.is_empty()
    }

    /// Whether a request must not be sent. One whose time is over is let through once.
    pub(crate) fn bars(&mut self, now: Timestamp, digest: Digest) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return false;
        };
        if suspect.lost.len() < LOSSES_ALLOWED && suspect.barred_until == Timestamp::ZERO {
            return false;
        }
        let barred = now < suspect.barred_until;
        if !barred {
            suspect.barred_until = now + BARRED_FOR;
        }
        barred
    }

    /// Records that a connection broke while a request ran.
    pub(crate) fn broke(
        &mut self,
        now: Timestamp,
        digest: Digest,
        upstream: UpstreamKey,
        sent: Timestamp,
    ) {
        if self.breaks.len() == BREAKS_KEPT {
            self.breaks.pop_front();
        }
        let at = now;
        self.breaks.push_back(Break {
            digest,
            upstream,
            sent,
            at,
        });
    }

    /// Records that the process of an upstream has ended. Returns the requests that are barred from now on.
    pub(crate) fn ended(&mut self, now: Timestamp, upstream: UpstreamKey) -> Vec<Digest> {
        let mut barred = Vec::new();
        for found in std::mem::take(&mut self.breaks) {
            if now.since(found.at) >= CONFIRMED_WITHIN {
                continue;
            }
            if found.upstream != upstream {
                self.breaks.push_back(found);
            } else if self.lost(now, &found) {
                barred.push(found.digest);
            }
        }
        barred
    }

    /// Records a good reply to a request sent at `sent`. Only one sent after the last loss shows that it is harmless.
    pub(crate) fn succeeded(&mut self, digest: Digest, sent: Timestamp) {
        let harmless = |suspect: &Suspect| sent >= suspect.last_loss;
        if self.suspects.get(&digest).is_some_and(harmless) {
            self.suspects.remove(&digest);
        }
        self.breaks
            .retain(|found| found.digest != digest || found.at >= sent);
    }

    /// Takes over that another node has barred a request some time ago. Returns whether that is news.
    pub(crate) fn told(&mut self, now: Timestamp, digest: Digest, age: Duration) -> bool {
        let left = BARRED_FOR.saturating_sub(age);
        let known = self.suspects.get(&digest);
        if left.is_zero() || known.is_some_and(|suspect| suspect.barred_until > now) {
            return false;
        }
        let suspect = self.suspect(now, digest);
        suspect.last_loss = now;
        suspect.barred_until = now + left;
        true
    }

    /// Returns whether the request is barred by this loss.
    fn lost(&mut self, now: Timestamp, found: &Break) -> bool {
        let suspect = self.suspect(now, found.digest);
        let after_the_last = suspect.lost.is_empty() || found.sent >= suspect.last_loss;
        if !after_the_last || suspect.lost.contains(&found.upstream) {
            return false;
        }
        suspect.lost.push(found.upstream);
        suspect.last_loss = found.at;
        let barred = suspect.lost.len() >= LOSSES_ALLOWED;
        if barred {
            suspect.barred_until = now + BARRED_FOR;
        }
        barred
    }

    fn suspect(&mut self, now: Timestamp, digest: Digest) -> &mut Suspect {
        if self.suspects.len() >= SUSPECTS_KEPT && !self.suspects.contains_key(&digest) {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_loss);
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                self.suspects.remove(&oldest);
            }
        }
        self.suspects.entry(digest).or_insert_with(|| Suspect {
            lost: Vec::new(),
            last_loss: now,
            barred_until: Timestamp::ZERO,
        })
    }
}

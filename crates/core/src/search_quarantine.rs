//! Quarantine of search requests that crash upstreams.
//!
//! A request is identified by the digest of its service and query. It starts as unknown and is sent to one shard first,
//! as a canary. A good reply marks it harmless for its index version; lost upstreams make it a suspect and finally
//! quarantine it. Attempts that are sent while the request is not known to be harmless are called trials.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Number of harmless requests remembered, at about 100 bytes each.
const MAX_HARMLESS: usize = 16_384;

/// Time after which a harmless request needs a canary again.
const HARMLESS_LIFETIME: Duration = Duration::from_mins(10);

/// Number of suspects remembered; the oldest is dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Number of upstreams that one request may crash; at this number it is quarantined.
const MAX_LOST_UPSTREAMS: usize = 2;

/// How a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Known to be harmless: sent to all shards at once.
    Harmless,
    /// Not known to be harmless: sent to one shard first.
    Canary,
    /// Not sent at all.
    Quarantined,
}

/// Requests known to be harmless, suspects, and running trials, by digest.
#[derive(Debug, Default)]
pub struct SearchQuarantine {
    /// Index version on which the request proved harmless, and the time at which that expires.
    harmless: HashMap<Digest, (u64, Timestamp)>,
    harmless_order: VecDeque<(Timestamp, Digest)>,
    suspects: HashMap<Digest, Suspect>,
    suspect_order: VecDeque<(Timestamp, Digest)>,
    /// Number of running trials of each request.
    running_trials: HashMap<Digest, usize>,
}

#[derive(Debug)]
struct Suspect {
    upstreams: Vec<String>,
    /// Shard of the last lost upstream; the next canary goes there.
    lost_shard: Option<u32>,
    /// Whether a peer has reported a loss.
    peer_reported: bool,
    last_loss: Timestamp,
    until: Timestamp,
}

impl SearchQuarantine {
    /// How a request may be sent on an index version.
    pub fn verdict(&self, now: Timestamp, digest: Digest, version: u64) -> Verdict {
        match self.active_suspect(now, digest) {
            Some(suspect) if suspect.is_quarantined() => Verdict::Quarantined,
            None if self.is_harmless(now, digest, version) => Verdict::Harmless,
            Some(_) | None => Verdict::Canary,
        }
    }

    /// Shard whose upstream was lost last, which the next canary should ask; `None` if this node has seen no loss.
    pub fn suspected_shard(&self, now: Timestamp, digest: Digest) -> Option<u32> {
        self.active_suspect(now, digest)
            .and_then(|suspect| suspect.lost_shard)
    }

    /// Whether another trial would keep the losses within the limit even if every running trial lost its upstream.
    pub fn allows_trial(&self, now: Timestamp, digest: Digest) -> bool {
        let lost = self
            .active_suspect(now, digest)
            .map_or(0, |s| s.upstreams.len());
        lost + self.running_trials.get(&digest).copied().unwrap_or(0) < MAX_LOST_UPSTREAMS
    }

    /// Counts a trial as running.
    pub fn record_trial_start(&mut self, digest: Digest) {
        *self.running_trials.entry(digest).or_default() += 1;
    }

    /// Removes a trial from the count; to be called once for each [`SearchQuarantine::record_trial_start`].
    pub fn record_trial_end(&mut self, digest: Digest) {
        if let Some(running) = self.running_trials.get_mut(&digest) {
            *running -= 1;
            if *running == 0 {
                self.running_trials.remove(&digest);
            }
        }
    }

    /// Records a good reply to an attempt that was sent at `sent`. It clears a suspect that is not quarantined, but
    /// only if the attempt was sent after the last loss.
    pub fn record_success(
        &mut self,
        now: Timestamp,
        digest: Digest,
        version: u64,
        sent: Timestamp,
    ) {
        if let Some(suspect) = self.suspects.get(&digest) {
            if sent <= suspect.last_loss || suspect.is_quarantined() {
                return;
            }
            self.suspects.remove(&digest);
        }
        if self.is_harmless(now, digest, version) {
            return;
        }
        let until = now + HARMLESS_LIFETIME;
        self.harmless.insert(digest, (version, until));
        self.harmless_order.push_back((until, digest));
        self.expire(now);
    }

    /// Records the loss of an upstream and returns the news to share with peers.
    ///
    /// Losses of attempts that were sent while the request was known to be harmless are more likely faults of the
    /// upstreams: when a zone or a switch fails, a popular request loses many of them at once. Together they count as
    /// one loss and are not shared; the canary that follows decides.
    pub fn record_loss(&mut self, now: Timestamp, loss: Loss, lifetime: Duration) -> Option<News> {
        let Loss {
            digest,
            shard,
            upstream,
            trial,
        } = loss;
        self.harmless.remove(&digest);
        let suspect = self.mark_suspect(now, digest, lifetime);
        suspect.lost_shard = Some(shard);
        let counts = trial || suspect.upstreams.is_empty();
        if counts && !suspect.upstreams.contains(&upstream) {
            suspect.upstreams.push(upstream);
        }
        let upstreams = suspect.upstreams.clone();
        trial.then_some(News::Crash { digest, upstreams })
    }

    /// Records the losses that a peer reports. The request is quarantined at once.
    pub fn record_reported_losses(
        &mut self,
        now: Timestamp,
        digest: Digest,
        upstreams: &[String],
        lifetime: Duration,
    ) {
        self.harmless.remove(&digest);
        let suspect = self.mark_suspect(now, digest, lifetime);
        suspect.peer_reported = true;
        for upstream in upstreams.iter().take(MAX_LOST_UPSTREAMS) {
            if !suspect.upstreams.contains(upstream) {
                suspect.upstreams.push(upstream.clone());
            }
        }
    }

    fn mark_suspect(&mut self, now: Timestamp, digest: Digest, lifetime: Duration) -> &mut Suspect {
        self.expire(now);
        let until = now + lifetime;
        self.suspect_order.push_back((until, digest));
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            upstreams: Vec::new(),
            lost_shard: None,
            peer_reported: false,
            last_loss: now,
            until,
        });
        suspect.last_loss = now;
        suspect.until = until;
        suspect
    }

    fn active_suspect(&self, now: Timestamp, digest: Digest) -> Option<&Suspect> {
        self.suspects
            .get(&digest)
            .filter(|suspect| suspect.until > now)
    }

    fn is_harmless(&self, now: Timestamp, digest: Digest, version: u64) -> bool {
        let known = self.harmless.get(&digest);
        known.is_some_and(|(on, until)| *on == version && *until > now)
    }

    fn expire(&mut self, now: Timestamp) {
        let (harmless, suspects) = (&mut self.harmless, &mut self.suspects);
        drop_expired_and_oldest(
            &mut self.harmless_order,
            now,
            MAX_HARMLESS,
            |digest, until| {
                if harmless.get(digest).is_some_and(|(_, kept)| *kept <= until) {
                    harmless.remove(digest);
                }
            },
        );
        drop_expired_and_oldest(
            &mut self.suspect_order,
            now,
            MAX_SUSPECTS,
            |digest, until| {
                if suspects
                    .get(digest)
                    .is_some_and(|suspect| suspect.until <= until)
                {
                    suspects.remove(digest);
                }
            },
        );
    }
}

impl Suspect {
    /// Quarantined after the second loss, or after the first one if a peer reported it, because the peer may send the
    /// request again itself.
    fn is_quarantined(&self) -> bool {
        self.peer_reported || self.upstreams.len() >= MAX_LOST_UPSTREAMS
    }
}

/// Loss of an upstream while it ran a request.
#[derive(Clone, Debug)]
pub struct Loss {
    /// Digest of the request's service and query.
    pub digest: Digest,
    /// Shard that the sub-request was for.
    pub shard: u32,
    /// Name of the upstream in the bundle.
    pub upstream: String,
    /// Whether the attempt was a trial: sent while the request was not known to be harmless.
    pub trial: bool,
}

fn drop_expired_and_oldest(
    order: &mut VecDeque<(Timestamp, Digest)>,
    now: Timestamp,
    max_len: usize,
    mut forget: impl FnMut(&Digest, Timestamp),
) {
    while let Some(&(until, digest)) = order.front() {
        if until > now && order.len() <= max_len {
            break;
        }
        order.pop_front();
        forget(&digest, until);
    }
}

//! What this node and others have observed of one upstream lately.

use crate::{decay::decay, peer_load::MAX_OBSERVATION_AGE, prelude::*};
use std::net::SocketAddr;

/// Observers whose latest observation is kept.
const MAX_OBSERVERS: usize = 8;

/// Recent observers that agree, from which on this node's own observation is not sent. As many bring the weight of an
/// upstream in the draw near zero.
const ENOUGH_OBSERVERS: usize = 3;

/// Age up to which an observation makes a further one of the same kind unnecessary, and the shortest time between two
/// messages with the same observation of this node.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Difference up to which two observations of a node and of the same kind count as one: ages are rounded and the way takes
/// time.
const CLOCK_ERROR: Duration = Duration::from_millis(20);

/// Half-life of the weight of an observation. Well under the duration of a disturbance, so that an upstream that has
/// recovered receives requests again.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Half-life of an observed queue, which is served within a few service times.
const QUEUE_HALF_LIFE: Duration = Duration::from_millis(100);

/// Most that one observer can add to the expected time, as a multiple of the usual reply time. A node that is wrong
/// lowers the share of an upstream in the draw, but can't bring it to nothing.
const MAX_EXCESS_PER_OBSERVER: f64 = 1.0;

/// Latest observations of one upstream, at most one of each node.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerEvidence {
    /// Unordered; at most [`MAX_OBSERVERS`].
    observations: Vec<Observed>,
    /// The observation of its own that this node last sent.
    last_own_send: Option<OwnSend>,
}

#[derive(Clone, Copy, Debug)]
struct OwnSend {
    at: Timestamp,
    is_unusual: bool,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    /// `None` for this node.
    observer: Option<SocketAddr>,
    at: Timestamp,
    load: ObservedLoad,
    /// Whether it is still to be passed on.
    is_pending: bool,
}

/// What a new observation changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvidenceChange {
    /// It was known already or says nothing.
    None,
    /// It counts, but enough nodes know as much.
    Counted,
    /// It counts and is to be passed on.
    News,
}

impl PeerEvidence {
    /// Adds an observation; `observer` is `None` for this node.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        observer: Option<SocketAddr>,
        at: Timestamp,
        load: ObservedLoad,
    ) -> EvidenceChange {
        self.observations
            .retain(|known| now.since(known.at) <= MAX_OBSERVATION_AGE);
        let is_unusual = load.is_unusual();
        // A usual reply says something only where there was a disturbance.
        if !is_unusual && !self.is_disturbed() {
            return EvidenceChange::None;
        }
        let known = self
            .observations
            .iter()
            .position(|k| k.observer == observer);
        if known.is_some_and(|index| !self.observations[index].is_older_than(at, is_unusual)) {
            return EvidenceChange::None;
        }
        let is_news = if observer.is_some() {
            self.is_first_report(now, is_unusual)
        } else {
            self.has_few_reports(now, is_unusual) && self.try_send_own(now, is_unusual)
        };
        if let Some(index) = known {
            self.observations.swap_remove(index);
        }
        self.make_room();
        self.observations.push(Observed {
            observer,
            at,
            load,
            is_pending: is_news,
        });
        if is_news {
            EvidenceChange::News
        } else {
            EvidenceChange::Counted
        }
    }

    /// Forgets everything, for example because the upstream has started anew.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes the observations to pass on.
    pub(crate) fn take_pending(
        &mut self,
        now: Timestamp,
        upstream: UpstreamDigest,
    ) -> Vec<LoadObservation> {
        let mut pending = Vec::new();
        for known in &mut self.observations {
            if std::mem::take(&mut known.is_pending) {
                pending.push(LoadObservation {
                    upstream,
                    observer: known.observer,
                    age: now.since(known.at),
                    load: known.load,
                });
            }
        }
        pending
    }

    /// Seconds that other nodes' observations add to `own_secs`, the time to a reply that this node expects by itself.
    /// Only those later than the last reply to this node at `own_reply_at` count. `usual_secs` is the usual reply time.
    pub(crate) fn excess_secs(
        &self,
        now: Timestamp,
        usual_secs: f64,
        own_secs: f64,
        own_reply_at: Timestamp,
    ) -> f64 {
        if self.observations.is_empty() {
            return 0.0;
        }
        let last_reply = self.last_reply();
        let (mut weights, mut weighted_secs) = (0.0, 0.0);
        for known in &self.observations {
            let age = now.since(known.at);
            let is_outdated = known.at <= own_reply_at || age > MAX_OBSERVATION_AGE;
            let Some(secs) = known.expected_secs(age, usual_secs, last_reply) else {
                continue;
            };
            if known.observer.is_some() && !is_outdated {
                let weight = decay(age, EVIDENCE_HALF_LIFE);
                weights += weight;
                weighted_secs += weight * secs;
            }
        }
        if weights == 0.0 {
            return 0.0;
        }
        let excess = (weighted_secs / weights - own_secs).max(0.0);
        excess.min(weights * MAX_EXCESS_PER_OBSERVER * usual_secs)
    }

    /// Whether an observation of another node is the first recent one of its kind. Passing on only these keeps the traffic
    /// in proportion to the observations that nodes make themselves.
    fn is_first_report(&self, now: Timestamp, is_unusual: bool) -> bool {
        self.agreeing(now, is_unusual, |_| true) == 0
    }

    /// Whether fewer than [`ENOUGH_OBSERVERS`] other nodes have lately made an observation of this kind.
    fn has_few_reports(&self, now: Timestamp, is_unusual: bool) -> bool {
        let is_other = |known: &Observed| known.observer.is_some();
        self.agreeing(now, is_unusual, is_other) < ENOUGH_OBSERVERS
    }

    /// Number of recent observations of the same kind among those that `counts` selects.
    fn agreeing(
        &self,
        now: Timestamp,
        is_unusual: bool,
        counts: impl Fn(&Observed) -> bool,
    ) -> usize {
        let agrees = |known: &&Observed| {
            known.load.is_unusual() == is_unusual
                && now.since(known.at) < REPEAT_INTERVAL
                && counts(known)
        };
        self.observations.iter().filter(agrees).count()
    }

    /// Notes that an observation of this node is sent, unless one of the same kind was within the [`REPEAT_INTERVAL`].
    /// Returns whether it is.
    fn try_send_own(&mut self, now: Timestamp, is_unusual: bool) -> bool {
        let is_repeated = self.last_own_send.is_some_and(|last| {
            last.is_unusual == is_unusual && now.since(last.at) < REPEAT_INTERVAL
        });
        if !is_repeated {
            self.last_own_send = Some(OwnSend {
                at: now,
                is_unusual,
            });
        }
        !is_repeated
    }

    fn is_disturbed(&self) -> bool {
        self.observations
            .iter()
            .any(|known| known.load.is_unusual())
    }

    /// Time of the latest reply among the observations; [`Timestamp::ZERO`] without one.
    fn last_reply(&self) -> Timestamp {
        let replies = self
            .observations
            .iter()
            .filter(|known| matches!(known.load, ObservedLoad::Replied { .. }));
        let latest = replies.map(|known| known.at).max();
        latest.unwrap_or(Timestamp::ZERO)
    }

    /// Drops the oldest observation if there are as many as may be kept.
    fn make_room(&mut self) {
        if self.observations.len() < MAX_OBSERVERS {
            return;
        }
        let observations = self.observations.iter().enumerate();
        let oldest = observations.min_by_key(|(_, known)| known.at);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.observations.swap_remove(index);
        }
    }
}

impl Observed {
    /// Whether it is older than an observation of the same node at this time.
    fn is_older_than(&self, at: Timestamp, is_unusual: bool) -> bool {
        if self.load.is_unusual() == is_unusual {
            at > self.at + CLOCK_ERROR
        } else {
            at > self.at
        }
    }

    /// Expected time to a reply in seconds; `None` if a later reply has ended the silence.
    fn expected_secs(&self, age: Duration, usual_secs: f64, last_reply: Timestamp) -> Option<f64> {
        match self.load {
            ObservedLoad::Replied {
                service_percent,
                queue_percent,
            } => {
                let rounds = f64::from(queue_percent) / 100.0 * decay(age, QUEUE_HALF_LIFE);
                Some(usual_secs * f64::from(service_percent) / 100.0 * (1.0 + rounds))
            }
            ObservedLoad::Silent { elapsed } => {
                // A silence that has lasted for some time is expected to last as long again.
                let silent = (elapsed + age).as_secs_f64();
                (self.at >= last_reply).then_some(usual_secs + silent)
            }
        }
    }
}

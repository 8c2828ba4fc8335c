//! Observations of upstreams that nodes share: what this node observes, sends and receives.

use crate::{
    forwarder::ForwardAttempt,
    peer_evidence::EvidenceChange,
    peer_load::{MAX_QUEUE_PERCENT, MAX_SILENCE, SERVICE_PERCENT},
    prelude::*,
    replica::SHARED_LATE_RATIO,
};
use std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr};

/// Service time of an upstream that works as usual, in percent.
const USUAL_PERCENT: u32 = 100;

impl Forwarder {
    /// Forgets what was observed before an interruption, whose age is not known.
    pub(crate) fn forget_peer_load(&mut self, now: Timestamp) {
        self.peer_load.interrupt(now);
        for replica in self.replicas.values_mut() {
            replica.peers.clear();
        }
    }

    /// When observations are to be made or sent next.
    pub(crate) fn next_peer_load(&self) -> Option<Timestamp> {
        self.peer_load.next_due(!self.attempts.is_empty())
    }

    /// Notes what the end of an attempt shows of its upstream.
    pub(crate) fn observe_attempt_end(
        &mut self,
        now: Timestamp,
        attempt: &ForwardAttempt,
        end: &AttemptEnd,
    ) {
        let reported = end.report.load.and_then(ReportedLoad::checked);
        if reported.is_some_and(|load| load.service_percent.is_some()) {
            self.peer_load.note_service_time();
        }
        if !self.peer_load.is_enabled() {
            return;
        }
        let elapsed = now.since(attempt.sent);
        let load = match &end.outcome {
            ForwardOutcome::Served(_) => reported.map(observed_reply),
            // Counts as a reply that is long overdue, however quickly a connection was refused.
            ForwardOutcome::NotSent | ForwardOutcome::TimedOut => {
                let overdue = Duration::from_secs_f64(attempt.usual_secs * SHARED_LATE_RATIO);
                let elapsed = elapsed.max(overdue);
                let replica = &self.replicas[attempt.upstream];
                let is_judged = replica.report_age(now).is_some();
                is_judged.then_some(silent_for(elapsed))
            }
            _ => None,
        };
        if let Some(load) = load {
            self.record_own_observation(now, attempt.upstream, load);
        }
    }

    /// Notes silent upstreams and sends observations that are due.
    pub(crate) fn share_peer_load(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        if let Some(judges_from) = self.peer_load.start_check(now) {
            self.observe_silence(now, judges_from);
        }
        let pending = self.peer_load.take_pending(now);
        if pending.is_empty() {
            return;
        }
        let mut observations = Vec::new();
        for key in pending {
            if let Some(replica) = self.replicas.get_mut(key) {
                observations.extend(replica.peers.take_pending(now, replica.digest));
            }
        }
        observations.sort_by_key(|observation| Reverse(importance(observation)));
        let message = self.peer_load.message(now, observations);
        commands.extend(message.map(ForwardCommand::SendObservations));
    }

    /// Applies the observations of another node.
    pub(crate) fn receive_peer_load(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        observations: &[LoadObservation],
        commands: &mut Vec<ForwardCommand>,
    ) {
        if !self.peer_load.is_enabled() {
            return;
        }
        for observation in observations.iter().filter(|o| o.is_usable()) {
            let observer = observation.observer.unwrap_or(from);
            if self.peer_load.is_own(observer) {
                continue;
            }
            let Some(key) = self.peer_load.replica(observation.upstream) else {
                continue;
            };
            let replica = &mut self.replicas[key];
            let at = now - observation.age;
            let change = replica
                .peers
                .record(now, Some(observer), at, observation.load);
            if change == EvidenceChange::None {
                continue;
            }
            if change == EvidenceChange::News {
                self.peer_load.mark_pending(key);
            }
            commands.push(ForwardCommand::Record(ForwardTelemetry::LoadObserved {
                instance: Arc::clone(&replica.entry.instance),
                observer,
                age: observation.age,
                load: observation.load,
            }));
        }
    }

    fn observe_silence(&mut self, now: Timestamp, judges_from: Timestamp) {
        let in_use: BTreeSet<_> = self.attempts.values().map(|a| a.upstream).collect();
        let overdue = |key: UpstreamKey| {
            let replica = self.replicas.get(key)?;
            let oldest = self.attempts.get(replica.oldest_attempt()?)?;
            let elapsed = replica.overdue(now, oldest.usual_secs, judges_from)?;
            Some((key, elapsed))
        };
        let silent: Vec<_> = in_use.into_iter().filter_map(overdue).collect();
        for (key, elapsed) in silent {
            self.record_own_observation(now, key, silent_for(elapsed));
        }
    }

    fn record_own_observation(&mut self, now: Timestamp, key: UpstreamKey, load: ObservedLoad) {
        let replica = &mut self.replicas[key];
        let change = replica.peers.record(now, None, now, load);
        if change == EvidenceChange::News {
            self.peer_load.mark_pending(key);
        }
    }
}

/// What a reply shows. If it does not state the service time, that counts as usual: single reply times vary too much by
/// chance, and a fleet would report slow upstreams all the time.
fn observed_reply(load: ReportedLoad) -> ObservedLoad {
    let service_percent = load.service_percent.unwrap_or(USUAL_PERCENT);
    let queue = f64::from(load.waiting) / f64::from(load.slots) * 100.0;
    ObservedLoad::Replied {
        service_percent: service_percent.clamp(*SERVICE_PERCENT.start(), *SERVICE_PERCENT.end()),
        queue_percent: (queue as u32).min(MAX_QUEUE_PERCENT),
    }
}

/// A silence, of at most the length that other nodes accept.
fn silent_for(elapsed: Duration) -> ObservedLoad {
    ObservedLoad::Silent {
        elapsed: elapsed.min(MAX_SILENCE),
    }
}

/// Silence first, then the largest multiple of the usual time.
fn importance(observation: &LoadObservation) -> u64 {
    match observation.load {
        ObservedLoad::Silent { .. } => u64::MAX,
        ObservedLoad::Replied {
            service_percent,
            queue_percent,
        } => u64::from(service_percent) * (100 + u64::from(queue_percent)),
    }
}

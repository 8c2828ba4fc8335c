//! Choice of the replica that an attempt is sent to.

use crate::{
    forward_sends::SendCause,
    prelude::*,
    replica::Replica,
    replica_draw::{self, DrawTimes},
    reply_times::ReplyTimes,
};

/// Attempts beyond the route's maximum, allowed because upstreams state that they did not run the request.
const MAX_NOT_RUN_SENDS: usize = 2;

/// Differences of expected times below which the choice is random.
const TIE_BREAK_SECS: f64 = 1e-4;

/// Where an attempt is sent, and what is known about that upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) upstream: UpstreamKey,
    /// Whether the attempt is the trial of a suspect.
    pub(crate) is_trial: bool,
    /// Expected time to the reply.
    pub(crate) expected: Duration,
    /// Age of the load report; `None` if the upstream has sent none.
    pub(crate) report_age: Option<Duration>,
}

impl Forwarder {
    /// Chooses the replica for an attempt.
    pub(crate) fn choose_replica(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        times: &ReplyTimes,
        cause: SendCause,
    ) -> Result<Placement, SendDenial> {
        let attempts = &self.flows[flow].shards[shard];
        let max_attempts = self.flows[flow].route().max_attempts;
        let max_sends = max_attempts as usize + MAX_NOT_RUN_SENDS;
        if attempts.possible_runs >= max_attempts || attempts.tried.len() >= max_sends {
            return Err(SendDenial::MaxAttempts);
        }
        let allowed = self.allowed_replicas(flow, shard);
        self.end_warm_ups(now, &allowed);
        let due = |key: &&UpstreamKey| self.replicas[**key].trial_due(now);
        let trial = allowed.iter().rfind(due).copied();
        let chosen = if cause == SendCause::Trial {
            None
        } else {
            self.choose_accepting(now, self.flows[flow].shards[shard].service, &allowed, times)
        };
        let (upstream, is_trial) = match (chosen, trial) {
            (Some(key), _) => (key, false),
            (None, Some(key)) => (key, true),
            (None, None) => return Err(SendDenial::NoUpstream),
        };
        let replica = &self.replicas[upstream];
        Ok(Placement {
            upstream,
            is_trial,
            expected: replica.expected_reply(now, times),
            report_age: replica.report_age(now),
        })
    }

    /// Replicas of a shard's service that have not been tried yet and that the route may use.
    fn allowed_replicas(&self, flow: FlowKey, shard: usize) -> Vec<UpstreamKey> {
        let flow = &self.flows[flow];
        let (shard, route) = (&flow.shards[shard], flow.route());
        let is_allowed = |key: &&UpstreamKey| {
            let zone = &self.replicas[**key].entry.zone;
            !shard.tried.contains(key)
                && !self.evacuated_zones.contains(zone)
                && self.settings.is_allowed(route, zone)
        };
        let replicas = self.services[shard.service].replicas.iter();
        replicas.filter(is_allowed).copied().collect()
    }

    fn end_warm_ups(&mut self, now: Timestamp, replicas: &[UpstreamKey]) {
        for key in replicas {
            let replica = &mut self.replicas[*key];
            if replica.is_warmed(now) {
                // Not recorded: the time of this change follows from the start of the warm-up.
                let _change = replica.apply_event(
                    &self.replica_chart,
                    now,
                    ReplicaEvent::Warmed,
                    Duration::ZERO,
                );
            }
        }
    }

    /// A replica that accepts work: drawn if any of them reports its load, otherwise the one with the lowest cost.
    fn choose_accepting(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
        allowed: &[UpstreamKey],
        times: &ReplyTimes,
    ) -> Option<UpstreamKey> {
        let settings = self.service_settings(service);
        let cold_sends = self.max_cold_sends(&settings);
        let accepting_with = |connections: u32| -> Vec<_> {
            let replicas = allowed.iter().map(|key| (*key, &self.replicas[*key]));
            replicas
                .filter(|(_, replica)| replica.accepts_work(now, connections, cold_sends))
                .collect()
        };
        let limits = self.connection_limits(&settings);
        let mut accepting = accepting_with(limits.preferred);
        if accepting.is_empty() {
            accepting = accepting_with(limits.most);
        }
        let zone_cost = self.settings.cross_zone_cost * times.objective_secs();
        let in_own_zone = |replica: &Replica| replica.entry.zone == self.settings.zone;
        if accepting
            .iter()
            .any(|(_, replica)| replica.report_age(now).is_some())
        {
            let candidates: Vec<_> = accepting
                .iter()
                .map(|(key, replica)| replica.candidate(now, *key, in_own_zone(replica), times))
                .collect();
            let times = DrawTimes {
                objective: times.objective_secs(),
                usual: times.mean_secs(),
                zone_cost,
            };
            let drawn = replica_draw::draw(&candidates, times, &mut self.random);
            return drawn.map(|candidate| candidate.upstream);
        }
        let random = &mut self.random;
        let costs = accepting.iter().map(|(key, replica)| {
            let zone_cost = if in_own_zone(replica) { 0.0 } else { zone_cost };
            let cost = replica.expected_reply_secs(now, times) + zone_cost;
            (cost + random.f64() * TIE_BREAK_SECS, *key)
        });
        let lowest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        lowest.map(|(_, key)| key)
    }
}

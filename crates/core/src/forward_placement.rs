//! Choice of the replica that an attempt is sent to.

use crate::{forward_sends::SendCause, prelude::*, reply_times::ReplyTimes};

/// Attempts beyond the route's maximum, allowed because upstreams state that they did not run the request.
const MAX_NOT_RUN_SENDS: usize = 2;

impl Forwarder {
    /// Replica with the lowest expected reply time, and whether the attempt is its trial.
    pub(crate) fn choose_replica(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        times: &ReplyTimes,
        cause: SendCause,
    ) -> Result<(UpstreamKey, bool), SendDenial> {
        let flow = &self.flows[flow];
        let (shard, route) = (&flow.shards[shard], flow.route());
        let max_sends = route.max_attempts as usize + MAX_NOT_RUN_SENDS;
        if shard.possible_runs >= route.max_attempts || shard.tried.len() >= max_sends {
            return Err(SendDenial::MaxAttempts);
        }
        let service = shard.service;
        let settings = self.service_settings(service);
        let (connections, cold_sends) = (
            self.max_connections_in_use(&settings),
            self.max_cold_sends(&settings),
        );
        let zone_cost = self.settings.cross_zone_cost * times.objective_secs();
        let mut best: Option<(f64, UpstreamKey)> = None;
        let mut trial = None;
        for &key in &self.services[service].replicas {
            let replica = &mut self.replicas[key];
            let zone = &replica.entry.zone;
            let excluded = shard.tried.contains(&key)
                || self.evacuated_zones.contains(zone)
                || !self.settings.is_allowed(route, zone);
            if excluded {
                continue;
            }
            if replica.is_warmed(now) {
                // Not recorded: the time of this change follows from the start of the warm-up.
                let _change = replica.apply_event(
                    &self.replica_chart,
                    now,
                    ReplicaEvent::Warmed,
                    Duration::ZERO,
                );
            }
            if replica.trial_due(now) {
                trial = Some(key);
            }
            if !replica.accepts_work(now, connections, cold_sends) {
                continue;
            }
            let zone_penalty = if replica.entry.zone == self.settings.zone {
                0.0
            } else {
                zone_cost
            };
            let cost =
                replica.expected_reply_secs(now, times) + zone_penalty + self.random.f64() * 1e-4;
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, key));
            }
        }
        let trial = trial.map(|key| (key, true));
        let chosen = if cause == SendCause::Trial {
            trial
        } else {
            best.map(|(_, key)| (key, false)).or(trial)
        };
        chosen.ok_or(SendDenial::NoUpstream)
    }
}

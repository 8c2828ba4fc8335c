//! Choice of the replica that an attempt is sent to.

use crate::{
    forward_flow::Flow, forward_sends::SendCause, forwarder::ConnectionLimits, prelude::*,
    replica_draw::DrawTimes, reply_times::ReplyTimes,
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
    /// Expected time to the reply, with the cost of a likely failure.
    pub(crate) expected: Duration,
    /// Expected time to the reply alone.
    pub(crate) reply_time: Duration,
    /// Age of the load report; `None` if the upstream has sent none.
    pub(crate) report_age: Option<Duration>,
}

/// Limits on the work of one replica that follow from the settings of its service.
#[derive(Clone, Copy, Debug)]
struct WorkLimits {
    connections: ConnectionLimits,
    /// Requests that a cold replica may be sent in one window.
    cold_sends: u32,
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
        self.check_attempts(flow, shard)?;
        let chosen = match cause {
            SendCause::Trial => None,
            _ => self.choose_accepting(now, flow, shard, times),
        };
        let upstream = chosen
            .or_else(|| self.due_suspect(now, flow, shard))
            .ok_or(SendDenial::NoUpstream)?;
        let replica = &self.replicas[upstream];
        let reply_time = replica.reply_time(now, times);
        Ok(Placement {
            upstream,
            is_trial: chosen.is_none(),
            expected: reply_time.saturating_add(replica.failure_cost(now, times)),
            reply_time,
            report_age: replica.report_age(now),
        })
    }

    /// Checks that the route allows another attempt for a shard.
    fn check_attempts(&self, flow: FlowKey, shard: usize) -> Result<(), SendDenial> {
        let flow = &self.flows[flow];
        let (attempts, max_attempts) = (&flow.shards[shard], flow.route().max_attempts);
        let max_sends = max_attempts as usize + MAX_NOT_RUN_SENDS;
        if attempts.possible_runs >= max_attempts || attempts.tried.len() >= max_sends {
            return Err(SendDenial::MaxAttempts);
        }
        Ok(())
    }

    /// The last registered suspect of a shard whose trial is due.
    pub(crate) fn due_suspect(
        &self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
    ) -> Option<UpstreamKey> {
        let flow = &self.flows[flow];
        let replicas = self.services[flow.shards[shard].service].replicas.iter();
        let is_due = |key: &UpstreamKey| {
            self.replicas[*key].trial_due(now) && self.is_allowed(flow, shard, *key)
        };
        replicas.copied().rfind(is_due)
    }

    /// Whether a replica has not been tried yet for a shard and may be used by the route.
    fn is_allowed(&self, flow: &Flow, shard: usize, key: UpstreamKey) -> bool {
        let zone = &self.replicas[key].entry.zone;
        !flow.shards[shard].tried.contains(&key) && self.zone_obstacle(flow.route(), zone).is_none()
    }

    /// A replica that accepts work: drawn if any of them reports its load, otherwise the one with the lowest cost.
    fn choose_accepting(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        times: &ReplyTimes,
    ) -> Option<UpstreamKey> {
        let service = self.flows[flow].shards[shard].service;
        self.end_warm_ups(now, flow, shard);
        let settings = self.service_settings(service);
        let limits = WorkLimits {
            connections: self.connection_limits(&settings),
            cold_sends: self.max_cold_sends(&settings),
        };
        let mut accepting = std::mem::take(&mut self.accepting);
        self.collect_accepting(now, (flow, shard), limits, &mut accepting);
        let reports = |key: &UpstreamKey| self.replicas[*key].report_age(now).is_some();
        let chosen = if accepting.iter().any(reports) {
            self.draw_replica(now, &accepting, times)
        } else {
            self.lowest_cost(now, &accepting, times)
        };
        self.accepting = accepting;
        chosen
    }

    /// Ends the warm-ups of a shard's replicas whose time has passed.
    fn end_warm_ups(&mut self, now: Timestamp, flow: FlowKey, shard: usize) {
        let service = self.flows[flow].shards[shard].service;
        for index in 0..self.services[service].replicas.len() {
            let key = self.services[service].replicas[index];
            let ends =
                self.replicas[key].is_warmed(now) && self.is_allowed(&self.flows[flow], shard, key);
            if ends {
                // Not recorded: the time of this change follows from the start of the warm-up.
                let _change = self.replicas[key].apply_event(
                    &self.replica_chart,
                    now,
                    ReplicaEvent::Warmed,
                    Duration::ZERO,
                );
            }
        }
    }

    /// Replaces `accepting` by the replicas that accept an attempt for a shard: those within the preferred number of
    /// connections, or within the highest one if there are none.
    fn collect_accepting(
        &self,
        now: Timestamp,
        (flow, shard): (FlowKey, usize),
        limits: WorkLimits,
        accepting: &mut Vec<UpstreamKey>,
    ) {
        let flow = &self.flows[flow];
        let replicas = &self.services[flow.shards[shard].service].replicas;
        let ConnectionLimits { preferred, most } = limits.connections;
        let accepts = |key: &UpstreamKey, connections| {
            let replica = &self.replicas[*key];
            replica.accepts_work(now, connections, limits.cold_sends)
                && self.is_allowed(flow, shard, *key)
        };
        accepting.clear();
        accepting.extend(replicas.iter().filter(|key| accepts(key, preferred)));
        if accepting.is_empty() && most > preferred {
            accepting.extend(replicas.iter().filter(|key| accepts(key, most)));
        }
    }

    /// Draws one of the replicas, judged by their reports.
    fn draw_replica(
        &mut self,
        now: Timestamp,
        accepting: &[UpstreamKey],
        times: &ReplyTimes,
    ) -> Option<UpstreamKey> {
        let draw_times = DrawTimes {
            objective: times.objective_secs(),
            usual: times.mean_secs(),
            zone_cost: self.zone_cost_secs(times),
        };
        let candidates = accepting.iter().map(|key| {
            let replica = &self.replicas[*key];
            let in_own_zone = self.settings.is_own_zone(&replica.entry.zone);
            replica.candidate(now, *key, in_own_zone, times)
        });
        self.draw.candidates.clear();
        self.draw.candidates.extend(candidates);
        let drawn = self.draw.draw(draw_times, &mut self.random);
        drawn.map(|candidate| candidate.upstream)
    }

    /// The replica with the lowest cost, for replicas that send no reports.
    fn lowest_cost(
        &mut self,
        now: Timestamp,
        accepting: &[UpstreamKey],
        times: &ReplyTimes,
    ) -> Option<UpstreamKey> {
        let zone_cost = self.zone_cost_secs(times);
        let costs = accepting.iter().map(|key| {
            let replica = &self.replicas[*key];
            let zone_cost = if self.settings.is_own_zone(&replica.entry.zone) {
                0.0
            } else {
                zone_cost
            };
            let cost = replica.expected_reply_secs(now, times) + zone_cost;
            (cost + self.random.f64() * TIE_BREAK_SECS, *key)
        });
        let lowest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        lowest.map(|(_, key)| key)
    }

    fn zone_cost_secs(&self, times: &ReplyTimes) -> f64 {
        self.settings.cross_zone_cost * times.objective_secs()
    }
}

//! Admission of requests, choice of replicas and sending of attempts.

use crate::{
    forward_chart::{FlowEvent, FlowState},
    forward_flow::{Flow, ShardAttempts, ShardMerge, ShardStatus},
    forwarder::ForwardAttempt,
    prelude::*,
    record_merge::RecordMerge,
    reply_times::ReplyTimes,
};

/// Share of a route's latency objective after which a refused caller should retry.
const RETRY_AFTER_OBJECTIVE_SHARE: f64 = 0.25;

/// Retry time given to the caller of a quarantined request.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Retry time given to a caller when the node has no configuration or the service has no upstream.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the extra load that hedges and trials leave for retries.
const HEDGE_RESERVE_SHARE: f64 = 0.15;

/// Attempts beyond the route's maximum, allowed because upstreams state that they did not run the request.
const MAX_NOT_RUN_SENDS: usize = 2;

/// Time left before the deadline below which no attempt is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Share of the latency objective that the queues of upstreams may take before requests are refused, for urgent routes
/// and for all others. A request that would be late uses slots that another one needs to be in time.
const MAX_QUEUE_SHARES: (f64, f64) = (1.0, 0.7);

/// Rank up to which a route is urgent, so that its requests are refused last.
const MAX_URGENT_RANK: u32 = 1;

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendCause {
    Primary,
    /// Replaces an attempt that reached no upstream and is therefore not charged to the budget.
    Resend,
    Retry,
    Hedge,
    Trial,
}

impl SendCause {
    fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Resend => "resend",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Trial => "trial",
        }
    }
}

impl Forwarder {
    pub(crate) fn handle_request(
        &mut self,
        now: Timestamp,
        caller: CallerKey,
        request: Arc<ForwardRequest>,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let refuse = |refusal| ForwardCommand::Answer {
            caller,
            answer: ForwardAnswer::Refused(refusal),
        };
        let Some(table) = self.table.clone() else {
            let retry_after = NOT_READY_RETRY_AFTER;
            return commands.push(refuse(ForwardRefusal::NotReady { retry_after }));
        };
        let Some(index) = table.find(&request.host, request.path()) else {
            return commands.push(refuse(ForwardRefusal::NoRoute));
        };
        let route = table.route(index);
        if let Some(digest) = self.quarantined_digest(now, &request) {
            commands.push(ForwardCommand::Record(
                ForwardTelemetry::RefusedQuarantined {
                    request: Arc::clone(&request.id),
                    digest,
                },
            ));
            let retry_after = QUARANTINE_RETRY_AFTER;
            return commands.push(refuse(ForwardRefusal::Unavailable { retry_after }));
        }
        let shards = self.new_shards(route);
        if let Some(retry_after) = self.rest_of_all_replicas(now, route, &shards) {
            commands.push(ForwardCommand::Record(ForwardTelemetry::RefusedResting {
                request: Arc::clone(&request.id),
                route: Arc::clone(&route.name),
                retry_after,
            }));
            return commands.push(refuse(ForwardRefusal::Unavailable { retry_after }));
        }
        if !self.fits_objective(now, route, &shards) {
            commands.push(ForwardCommand::Record(
                ForwardTelemetry::RefusedOverloaded {
                    request: Arc::clone(&request.id),
                    route: Arc::clone(&route.name),
                    rank: route.rank,
                },
            ));
            let retry_after = route.objective.mul_f64(RETRY_AFTER_OBJECTIVE_SHARE);
            return commands.push(refuse(ForwardRefusal::Unavailable { retry_after }));
        }
        let merge = match &route.target {
            Target::Shards(target) => Some(ShardMerge {
                records: RecordMerge::new(target.limit),
                proofs: Vec::with_capacity(target.services.len()),
                min_coverage: target.min_coverage,
            }),
            Target::Service(_) | Target::Split(_) => None,
        };
        let longest = self
            .longest_wait
            .entry(Arc::clone(&route.name))
            .or_default();
        *longest = (*longest).max(request.time_left);
        // The objective counts from the caller's first attempt at this request.
        let waited = longest.saturating_sub(request.time_left);
        let margin = self.settings.answer_margin;
        let objective = route.objective.saturating_sub(waited + margin);
        let wait = request.time_left.saturating_sub(margin).min(route.timeout);
        let flow = self.flows.insert(Flow {
            state: self.flow_chart.initial(),
            caller,
            started_at: now,
            accept_partial_at: now + objective,
            deadline: now + wait,
            accepts_partial: false,
            shards,
            merge,
            may_have_run: false,
            failure: None,
            reply: None,
            timer: None,
            table: Arc::clone(&table),
            route: index,
            request,
        });
        self.callers.insert(caller, flow);
        for shard in 0..self.flows[flow].shards.len() {
            self.start_shard(now, flow, shard, commands);
        }
        self.check_completion(now, flow, commands);
    }

    /// Digest of the request if it is quarantined.
    fn quarantined_digest(&mut self, now: Timestamp, request: &ForwardRequest) -> Option<Digest> {
        if self.quarantine.is_empty() {
            return None;
        }
        let digest = request.digest();
        self.quarantine.must_refuse(now, digest).then_some(digest)
    }

    /// Time after which enough shards have a replica that takes requests again, if too few have one now because all of
    /// theirs want none. `None` if the request can be sent.
    fn rest_of_all_replicas(
        &self,
        now: Timestamp,
        route: &Route,
        shards: &[ShardAttempts],
    ) -> Option<Duration> {
        let mut rests: Vec<Duration> = shards
            .iter()
            .filter_map(|shard| self.service_rest_left(now, route, shard.service))
            .collect();
        let min_coverage = match &route.target {
            Target::Shards(target) => target.min_coverage,
            Target::Service(_) | Target::Split(_) => 1.0,
        };
        let needed = (min_coverage * shards.len() as f64 - 1e-9).ceil() as usize;
        let missing = needed.saturating_sub(shards.len() - rests.len());
        rests.sort();
        missing
            .checked_sub(1)
            .and_then(|last| rests.get(last).copied())
    }

    /// Time until the first replica of a service takes requests again; `None` if one does now, or if there is none that
    /// will.
    fn service_rest_left(
        &self,
        now: Timestamp,
        route: &Route,
        service: ServiceKey,
    ) -> Option<Duration> {
        let mut shortest = None;
        for key in &self.services[service].replicas {
            let replica = &self.replicas[*key];
            let zone = &replica.entry.zone;
            let excluded = replica.state == ReplicaState::Leaving
                || self.evacuated_zones.contains(zone)
                || !self.settings.is_allowed(route, zone);
            if excluded {
                continue;
            }
            let left = replica.rest_left(now)?;
            shortest = Some(shortest.map_or(left, |other: Duration| other.min(left)));
        }
        shortest
    }

    /// Whether enough shards can answer within the objective, judged by the queues of their upstreams. Shards without a
    /// warm upstream are assumed to fit, as nothing is known about their queues.
    fn fits_objective(&self, now: Timestamp, route: &Route, shards: &[ShardAttempts]) -> bool {
        let Some(times) = self.reply_times.get(&route.name) else {
            return true;
        };
        let (urgent, others) = MAX_QUEUE_SHARES;
        let share = if route.rank <= MAX_URGENT_RANK {
            urgent
        } else {
            others
        };
        let max_queue_secs = times.objective_secs() * share;
        let min_coverage = match &route.target {
            Target::Shards(target) => target.min_coverage,
            Target::Service(_) | Target::Split(_) => 1.0,
        };
        let fitting = shards.iter().filter(|shard| {
            let replicas = self.services[shard.service].replicas.iter();
            let replicas = replicas.map(|key| &self.replicas[*key]);
            let mut warm = replicas
                .filter(|replica| replica.state == ReplicaState::Warm)
                .peekable();
            warm.peek().is_none()
                || warm.any(|replica| replica.answers_within(now, times, max_queue_secs))
        });
        fitting.count() as f64 >= min_coverage * shards.len() as f64 - 1e-9
    }

    fn start_shard(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let limits = self.extra_load_limits();
        let service = self.flows[flow].shards[shard].service;
        self.services[service].extra.count_primary(now, &limits);
        if let Err(denial) = self.send_attempt(now, flow, shard, SendCause::Primary, commands) {
            return self.give_up_shard(flow, shard, denial, commands);
        }
        // The trial of a suspect is sent in addition, so that the caller does not have to wait for it.
        if self.flows[flow].route().idempotent {
            let _untried = self.send_attempt(now, flow, shard, SendCause::Trial, commands);
        }
    }

    fn new_shards(&mut self, route: &Route) -> Vec<ShardAttempts> {
        let services = match &route.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(parts) => vec![self.next_split_service(&route.name, parts)],
            Target::Shards(target) => target.services.clone(),
        };
        let shards = services
            .iter()
            .map(|name| ShardAttempts::new(self.service(name)));
        shards.collect()
    }

    /// Service of a split with the most credit. A request that it can't take is not moved to another service.
    fn next_split_service(&mut self, route: &Arc<str>, parts: &[(Arc<str>, f64)]) -> Arc<str> {
        let random = &mut self.random;
        let credit = self
            .split_credit
            .entry(Arc::clone(route))
            .or_insert_with(|| parts.iter().map(|_| random.f64()).collect());
        credit.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        for (credit, (_, weight)) in credit.iter_mut().zip(parts) {
            *credit += weight / total.max(f64::MIN_POSITIVE);
        }
        let highest = (0..parts.len())
            .max_by(|a, b| credit[*a].total_cmp(&credit[*b]))
            .unwrap_or_default();
        credit[highest] -= 1.0;
        Arc::clone(&parts[highest].0)
    }

    /// Sends an attempt for a shard to the best available replica.
    pub(crate) fn send_attempt(
        &mut self,
        now: Timestamp,
        flow_key: FlowKey,
        shard: usize,
        cause: SendCause,
        commands: &mut Vec<ForwardCommand>,
    ) -> Result<(), SendDenial> {
        let flow = &self.flows[flow_key];
        if flow.deadline.since(now) < MIN_TIME_LEFT {
            return Err(SendDenial::TooLittleTime);
        }
        let (route, table) = (flow.route, Arc::clone(&flow.table));
        let route = table.route(route);
        let service = flow.shards[shard].service;
        let objective = route.objective;
        let times = *self
            .reply_times
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| ReplyTimes::new(objective));
        let (upstream, is_trial) = self.choose_replica(now, flow_key, shard, &times, cause)?;
        if !matches!(cause, SendCause::Primary | SendCause::Resend) {
            let limits = self.extra_load_limits();
            let pool = &mut self.services[service];
            let reserve = match cause {
                SendCause::Hedge | SendCause::Trial => {
                    pool.extra.allowance(&limits) * HEDGE_RESERVE_SHARE
                }
                _ => 0.0,
            };
            if !pool.extra.try_spend(now, &limits, reserve) {
                return Err(SendDenial::BudgetExhausted);
            }
            commands.push(ForwardCommand::Record(ForwardTelemetry::ExtraAttempt {
                request: Arc::clone(&self.flows[flow_key].request.id),
                service: Arc::clone(&pool.name),
                instance: Arc::clone(&self.replicas[upstream].entry.instance),
                cause: cause.name(),
                budget_left: pool.extra.remaining(now, &limits),
            }));
        }
        let attempt = self.attempts.insert(ForwardAttempt {
            flow: flow_key,
            shard,
            upstream,
            sent: now,
            usual_secs: times.mean_secs(),
        });
        let replica = &mut self.replicas[upstream];
        replica.record_send(now, attempt);
        if is_trial {
            let change = replica.apply_event(
                &self.replica_chart,
                now,
                ReplicaEvent::TrialSent,
                Duration::ZERO,
            );
            commands.extend(change.map(ForwardCommand::Record));
        }
        let flow = &mut self.flows[flow_key];
        let shard = &mut flow.shards[shard];
        shard.running.push((attempt, upstream));
        shard.tried.push(upstream);
        shard.possible_runs += 1;
        let may_hedge = route.idempotent && shard.possible_runs < route.max_attempts;
        if cause != SendCause::Trial {
            shard.hedge_at = may_hedge.then(|| now + times.late_after());
        }
        commands.push(ForwardCommand::SendAttempt {
            attempt,
            upstream,
            request: Arc::clone(&flow.request),
            deadline: flow.deadline,
            at_most_once: !route.idempotent,
        });
        Ok(())
    }

    /// Replica with the lowest expected reply time, and whether the attempt is its trial.
    fn choose_replica(
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

    /// Answers the request if the state of its shards decides it.
    pub(crate) fn check_completion(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let (answered, pending) = (flow.answered_shards(), flow.pending_shards());
        let event = if pending == 0 && flow.is_sufficient(answered) {
            FlowEvent::Complete
        } else if !flow.is_sufficient(answered + pending) {
            FlowEvent::Hopeless
        } else if flow.accepts_partial {
            FlowEvent::Enough
        } else {
            return self.reschedule(key);
        };
        self.advance_flow(now, key, event, commands);
        self.reschedule(key);
    }

    /// Updates the timer of a flow.
    pub(crate) fn reschedule(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.get_mut(key) {
            let due = (flow.state == FlowState::Running).then(|| flow.next_due());
            self.timers.reschedule(key, flow.timer, due);
            flow.timer = due;
        }
    }

    /// Handles the flows whose timers have expired.
    pub(crate) fn handle_wakeup(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        while let Some(key) = self.timers.pop_due(now) {
            let Some(flow) = self.flows.get_mut(key) else {
                continue;
            };
            flow.timer = None;
            let objective_due =
                flow.merge.is_some() && !flow.accepts_partial && flow.accept_partial_at <= now;
            if flow.deadline <= now {
                self.advance_flow(now, key, FlowEvent::DeadlineDue, commands);
            } else if objective_due {
                self.advance_flow(now, key, FlowEvent::ObjectiveDue, commands);
            }
            self.send_due_hedges(now, key, commands);
            self.reschedule(key);
        }
    }

    fn send_due_hedges(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let due = |shard: &ShardAttempts| {
            shard.status == ShardStatus::Pending && shard.hedge_at.is_some_and(|at| at <= now)
        };
        let due: Vec<usize> = (0..flow.shards.len())
            .filter(|i| due(&flow.shards[*i]))
            .collect();
        for shard in due {
            self.flows[key].shards[shard].hedge_at = None;
            // Without a hedge, the late attempt may still succeed.
            let _unhedged = self.send_attempt(now, key, shard, SendCause::Hedge, commands);
        }
    }

    /// Time after which a refused caller should retry.
    pub(crate) fn retry_after(&self, now: Timestamp, key: FlowKey) -> Duration {
        let Some(flow) = self.flows.get(key) else {
            return NOT_READY_RETRY_AFTER;
        };
        if let Some(rest) = self.rest_of_all_replicas(now, flow.route(), &flow.shards) {
            return rest;
        }
        let is_empty = |shard: &ShardAttempts| self.services[shard.service].replicas.is_empty();
        if flow.shards.iter().any(is_empty) {
            return NOT_READY_RETRY_AFTER;
        }
        flow.route().objective.mul_f64(RETRY_AFTER_OBJECTIVE_SHARE)
    }
}

//! Admission, choice of replicas and sending of forwarded requests.

use crate::{
    forward_chart::{FlowEvent, FlowState},
    forward_flow::{Flow, Merge, Progress, ShardTry},
    forwarder::ForwardAttempt,
    prelude::*,
    record_merge::RecordMerge,
    reply_times::ReplyTimes,
};

/// Share of a route's objective after which a refused caller should come back.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Wait that a caller is told whose request crashes upstreams.
const BARRED_WAIT: Duration = Duration::from_mins(1);

/// Wait that a caller is told when the node has no configuration yet, or no upstream of the service.
const NOT_READY_WAIT: Duration = Duration::from_secs(1);

/// Share of the allowed extra load that hedges leave for retries.
const HEDGE_RESERVE: f64 = 0.15;

/// Sends to upstreams that state that they did not run the request, beyond the attempts of the route.
const NOT_RUN_TRIES: usize = 2;

/// Least time for which an attempt is worth sending.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// Share of the objective that the queues of upstreams may take before requests are refused, by rank: the most urgent
/// ones, and all others. A request that would be late uses slots that another one needs to be in time.
const QUEUE_SHARES: (f64, f64) = (1.0, 0.7);

/// Most urgent rank that is refused last.
const URGENT_RANK: u32 = 1;

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendCause {
    Primary,
    /// After an attempt that reached no upstream, so that it is no extra load.
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
    pub(crate) fn admit(
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
            let retry_after = NOT_READY_WAIT;
            return commands.push(refuse(ForwardRefusal::NotReady { retry_after }));
        };
        let Some(index) = table.find(&request.host, request.path()) else {
            return commands.push(refuse(ForwardRefusal::NoRoute));
        };
        let route = table.route(index);
        if let Some(digest) = self.barred(now, &request) {
            commands.push(ForwardCommand::Record(
                ForwardTelemetry::RefusedQuarantined {
                    request: Arc::clone(&request.id),
                    digest,
                },
            ));
            let retry_after = BARRED_WAIT;
            return commands.push(refuse(ForwardRefusal::Unavailable { retry_after }));
        }
        let shards = self.shards(route);
        if !self.fits(now, route, &shards) {
            commands.push(ForwardCommand::Record(
                ForwardTelemetry::RefusedOverloaded {
                    request: Arc::clone(&request.id),
                    route: Arc::clone(&route.name),
                    rank: route.rank,
                },
            ));
            let retry_after = route.objective.mul_f64(RETRY_AFTER_SHARE);
            return commands.push(refuse(ForwardRefusal::Unavailable { retry_after }));
        }
        let merge = match &route.target {
            Target::Shards(target) => Some(Merge {
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
        // The objective counts from the caller's first attempt.
        let waited = longest.saturating_sub(request.time_left);
        let margin = self.settings.answer_margin;
        let objective = route.objective.saturating_sub(waited + margin);
        let wait = request.time_left.saturating_sub(margin).min(route.timeout);
        let flow = self.flows.insert(Flow {
            state: self.flow_chart.initial(),
            caller,
            started: now,
            settle_at: now + objective,
            deadline: now + wait,
            settling: false,
            shards,
            merge,
            may_have_run: false,
            failure: None,
            reply: None,
            due: None,
            table: Arc::clone(&table),
            route: index,
            request,
        });
        self.callers.insert(caller, flow);
        for shard in 0..self.flows[flow].shards.len() {
            self.start_shard(now, flow, shard, commands);
        }
        self.settle(now, flow, commands);
    }

    /// Digest of a request that must not be sent because it crashes upstreams.
    fn barred(&mut self, now: Timestamp, request: &ForwardRequest) -> Option<Digest> {
        if self.crashes.is_calm() {
            return None;
        }
        let digest = request.digest();
        self.crashes.bars(now, digest).then_some(digest)
    }

    /// Whether enough shards can answer within the objective as far as the queues of their upstreams show. Shards without
    /// any upstream to judge by count as ones that can.
    fn fits(&self, now: Timestamp, route: &Route, shards: &[ShardTry]) -> bool {
        let Some(times) = self.times.get(&route.name) else {
            return true;
        };
        let (urgent, others) = QUEUE_SHARES;
        let share = if route.rank <= URGENT_RANK {
            urgent
        } else {
            others
        };
        let most = times.objective() * share;
        let min_coverage = match &route.target {
            Target::Shards(target) => target.min_coverage,
            Target::Service(_) | Target::Split(_) => 1.0,
        };
        let fitting = shards.iter().filter(|shard| {
            let replicas = self.services[shard.service].replicas.iter();
            let replicas = replicas.map(|key| &self.replicas[*key]);
            let mut usable = replicas
                .filter(|replica| replica.state == ReplicaState::Warm)
                .peekable();
            usable.peek().is_none() || usable.any(|replica| replica.queue_time(now, times) <= most)
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
        let terms = self.extra_terms();
        let service = self.flows[flow].shards[shard].service;
        self.services[service].extra.count_primary(now, &terms);
        if let Err(denial) = self.send(now, flow, shard, SendCause::Primary, commands) {
            return self.give_up_shard(flow, shard, denial, commands);
        }
        // A suspect is tried with a second copy, so that the caller does not wait for it.
        if self.flows[flow].route().idempotent {
            let _untried = self.send(now, flow, shard, SendCause::Trial, commands);
        }
    }

    fn shards(&mut self, route: &Route) -> Vec<ShardTry> {
        let services = match &route.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(parts) => vec![self.next_part(&route.name, parts)],
            Target::Shards(target) => target.services.clone(),
        };
        let tries = services
            .iter()
            .map(|name| ShardTry::new(self.service(name)));
        tries.collect()
    }

    /// The part of a split that is owed most. Requests that find no room there are not moved to another part.
    fn next_part(&mut self, route: &Arc<str>, parts: &[(Arc<str>, f64)]) -> Arc<str> {
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
        let most = (0..parts.len())
            .max_by(|a, b| credit[*a].total_cmp(&credit[*b]))
            .unwrap_or_default();
        credit[most] -= 1.0;
        Arc::clone(&parts[most].0)
    }

    /// Sends one attempt for a shard to the best replica that takes it, or says why not.
    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        flow_key: FlowKey,
        shard: usize,
        cause: SendCause,
        commands: &mut Vec<ForwardCommand>,
    ) -> Result<(), SendDenial> {
        let flow = &self.flows[flow_key];
        if flow.deadline.since(now) < LEAST_TIME {
            return Err(SendDenial::TooLittleTime);
        }
        let (route, table) = (flow.route, Arc::clone(&flow.table));
        let route = table.route(route);
        let service = flow.shards[shard].service;
        let objective = route.objective;
        let times = *self
            .times
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| ReplyTimes::new(objective));
        let (upstream, is_trial) = self.choose(now, flow_key, shard, &times, cause)?;
        if !matches!(cause, SendCause::Primary | SendCause::Resend) {
            let terms = self.extra_terms();
            let pool = &mut self.services[service];
            let reserve = match cause {
                SendCause::Hedge | SendCause::Trial => pool.extra.allowed(&terms) * HEDGE_RESERVE,
                _ => 0.0,
            };
            if !pool.extra.spend(now, &terms, reserve) {
                return Err(SendDenial::BudgetExhausted);
            }
            commands.push(ForwardCommand::Record(ForwardTelemetry::ExtraAttempt {
                request: Arc::clone(&self.flows[flow_key].request.id),
                service: Arc::clone(&pool.name),
                instance: Arc::clone(&self.replicas[upstream].entry.instance),
                cause: cause.name(),
                budget_left: pool.extra.left(now, &terms),
            }));
        }
        let attempt = self.attempts.insert(ForwardAttempt {
            flow: flow_key,
            shard,
            upstream,
            sent: now,
            usual: times.mean(),
        });
        let replica = &mut self.replicas[upstream];
        replica.sent(now, attempt);
        if is_trial {
            let note = replica.step(
                &self.replica_chart,
                now,
                ReplicaEvent::TrialSent,
                Duration::ZERO,
            );
            commands.extend(note.map(ForwardCommand::Record));
        }
        let flow = &mut self.flows[flow_key];
        let shard = &mut flow.shards[shard];
        shard.running.push((attempt, upstream));
        shard.tried.push(upstream);
        shard.runs += 1;
        let may_hedge = route.idempotent && shard.runs < route.max_attempts;
        if cause != SendCause::Trial {
            shard.hedge_at = may_hedge.then(|| now + times.late());
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

    /// The replica with the earliest expected reply, and whether this is its trial.
    fn choose(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        times: &ReplyTimes,
        cause: SendCause,
    ) -> Result<(UpstreamKey, bool), SendDenial> {
        let flow = &self.flows[flow];
        let (shard, route) = (&flow.shards[shard], flow.route());
        let most_sends = route.max_attempts as usize + NOT_RUN_TRIES;
        if shard.runs >= route.max_attempts || shard.tried.len() >= most_sends {
            return Err(SendDenial::MaxAttempts);
        }
        let service = shard.service;
        let terms = self.terms(service);
        let (connections, cold_sends) = (self.connections(&terms), self.cold_sends(&terms));
        let zone_cost = self.settings.cross_zone_cost * times.objective();
        let mut best: Option<(f64, UpstreamKey)> = None;
        let mut trial = None;
        for &key in &self.services[service].replicas {
            let replica = &mut self.replicas[key];
            let zone = &replica.entry.zone;
            if shard.tried.contains(&key) || self.zones_out.contains(zone) {
                continue;
            }
            let region = self.settings.regions.get(zone);
            let allowed = route.regions.is_empty()
                || region.is_some_and(|region| route.regions.iter().any(|r| **r == **region));
            if !allowed {
                continue;
            }
            if replica.is_warmed(now) {
                // The note of this change is of no use to a reader: the time was known.
                let _note = replica.step(
                    &self.replica_chart,
                    now,
                    ReplicaEvent::Warmed,
                    Duration::ZERO,
                );
            }
            if replica.trial_due(now) {
                trial = Some(key);
            }
            if !replica.takes_work(now, connections, cold_sends) {
                continue;
            }
            let away = if replica.entry.zone == self.settings.zone {
                0.0
            } else {
                zone_cost
            };
            let cost = replica.expected(now, times) + away + self.random.f64() * 1e-4;
            if best.is_none_or(|(least, _)| cost < least) {
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

    /// Takes account of what has come: answers, or gives up what can't be reached.
    pub(crate) fn settle(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let (answered, open) = (flow.answered(), flow.open());
        let event = if open == 0 && flow.is_success(answered) {
            FlowEvent::Complete
        } else if !flow.is_success(answered + open) {
            FlowEvent::Hopeless
        } else if flow.settling {
            FlowEvent::Enough
        } else {
            return self.reschedule(key);
        };
        self.step_flow(now, key, event, commands);
        self.reschedule(key);
    }

    /// Sets the timer of a flow that still runs.
    pub(crate) fn reschedule(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.get_mut(key) {
            let due = (flow.state == FlowState::Running).then(|| flow.next_due());
            self.timers.set(key, flow.due, due);
            flow.due = due;
        }
    }

    /// Looks at the flows whose time has come.
    pub(crate) fn wake(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        while let Some(key) = self.timers.pop_due(now) {
            let Some(flow) = self.flows.get_mut(key) else {
                continue;
            };
            flow.due = None;
            let settle_due = flow.merge.is_some() && !flow.settling && flow.settle_at <= now;
            if flow.deadline <= now {
                self.step_flow(now, key, FlowEvent::DeadlineDue, commands);
            } else if settle_due {
                self.step_flow(now, key, FlowEvent::ObjectiveDue, commands);
            }
            self.hedge(now, key, commands);
            self.reschedule(key);
        }
    }

    fn hedge(&mut self, now: Timestamp, key: FlowKey, commands: &mut Vec<ForwardCommand>) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let due = |shard: &ShardTry| {
            shard.progress == Progress::Open && shard.hedge_at.is_some_and(|at| at <= now)
        };
        let due: Vec<usize> = (0..flow.shards.len())
            .filter(|i| due(&flow.shards[*i]))
            .collect();
        for shard in due {
            self.flows[key].shards[shard].hedge_at = None;
            // The attempt that is late still runs.
            let _unhedged = self.send(now, key, shard, SendCause::Hedge, commands);
        }
    }

    /// When a caller of this flow that got nothing should come back.
    pub(crate) fn retry_after(&self, key: FlowKey) -> Duration {
        let Some(flow) = self.flows.get(key) else {
            return NOT_READY_WAIT;
        };
        let is_empty = |shard: &ShardTry| self.services[shard.service].replicas.is_empty();
        if flow.shards.iter().any(is_empty) {
            return NOT_READY_WAIT;
        }
        flow.route().objective.mul_f64(RETRY_AFTER_SHARE)
    }
}

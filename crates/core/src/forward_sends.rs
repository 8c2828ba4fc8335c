//! Sending of attempts, and completion of requests.

use crate::{
    forward_chart::{FlowEvent, FlowState},
    forwarder::ForwardAttempt,
    prelude::*,
    reply_times::ReplyTimes,
};

/// Share of the extra load that hedges and trials leave for retries.
const HEDGE_RESERVE_SHARE: f64 = 0.15;

/// Time left before the deadline below which no attempt is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

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
    pub(crate) fn start_shard(
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
        if flow.deadline.at().since(now) < MIN_TIME_LEFT {
            return Err(SendDenial::TooLittleTime);
        }
        let (route, table) = (flow.route, Arc::clone(&flow.table));
        let route = table.route(route);
        let service = flow.shards[shard].service;
        if !flow
            .deadline
            .allows_attempt(now, || self.needed_reply_time(route))
        {
            return Err(SendDenial::TooLittleTime);
        }
        let objective = route.objective;
        let times = *self
            .reply_times
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| ReplyTimes::new(objective));
        let placement = self.choose_replica(now, flow_key, shard, &times, cause)?;
        let upstream = placement.upstream;
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
                expected: placement.expected,
                report_age: placement.report_age,
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
        if placement.is_trial {
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
            identity: flow.identity.clone(),
            deadline: flow.deadline.at(),
            at_most_once: !route.idempotent,
            report_age: placement.report_age,
        });
        Ok(())
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
}

//! Sending of attempts, and completion of requests.

use crate::{
    attempt_gain::ExtraAttempt,
    forward_admission::is_urgent,
    forward_chart::{FlowEvent, FlowState},
    forward_placement::Placement,
    forwarder::ForwardAttempt,
    prelude::*,
    reply_times::ReplyTimes,
};

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
    /// Whether the attempt is charged to the budget of extra requests.
    fn is_extra(self) -> bool {
        !matches!(self, Self::Primary | Self::Resend)
    }

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

/// An extra attempt that the budget allows.
#[derive(Clone, Copy, Debug)]
struct GrantedExtra {
    gain: AttemptGain,
    /// Extra requests left in the budget afterwards.
    budget_left: f64,
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
        if self.flows[flow].route().idempotent && self.due_suspect(now, flow, shard).is_some() {
            let _untried = self.send_attempt(now, flow, shard, SendCause::Trial, commands);
        }
    }

    /// Sends an attempt for a shard to the best available replica.
    pub(crate) fn send_attempt(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        shard: usize,
        cause: SendCause,
        commands: &mut Vec<ForwardCommand>,
    ) -> Result<(), SendDenial> {
        self.check_time_left(now, flow)?;
        let times = self.reply_times_of(flow);
        let placement = self.choose_replica(now, flow, shard, &times, cause)?;
        if cause.is_extra() {
            let service = self.flows[flow].shards[shard].service;
            let granted = self.spend_extra(now, (flow, shard), placement, cause)?;
            let attempt = self.extra_attempt(flow, service, placement, cause, granted);
            commands.push(ForwardCommand::Record(attempt));
        }
        let attempt = self.attempts.insert(ForwardAttempt {
            flow,
            shard,
            upstream: placement.upstream,
            sent: now,
            usual_secs: times.mean_secs(),
        });
        self.record_send(now, attempt, placement, commands);
        let hedge_at = now + times.late_after();
        let command = self.start_attempt((flow, shard), attempt, placement, cause, hedge_at);
        commands.push(command);
        Ok(())
    }

    /// Checks that an attempt can still end before the deadline.
    fn check_time_left(&self, now: Timestamp, flow: FlowKey) -> Result<(), SendDenial> {
        let flow = &self.flows[flow];
        let allows_attempt = flow
            .deadline
            .allows_attempt(now, || self.needed_reply_time(flow.route()));
        if flow.deadline.at().since(now) < MIN_TIME_LEFT || !allows_attempt {
            return Err(SendDenial::TooLittleTime);
        }
        Ok(())
    }

    /// Reply times of a request's route.
    fn reply_times_of(&mut self, flow: FlowKey) -> ReplyTimes {
        let route = self.flows[flow].route();
        if let Some(times) = self.reply_times.get(&route.name) {
            return *times;
        }
        let times = ReplyTimes::new(route.objective);
        self.reply_times.insert(Arc::clone(&route.name), times);
        times
    }

    /// Takes one extra request out of a service's budget, unless what is left must remain for attempts that gain
    /// more.
    fn spend_extra(
        &mut self,
        now: Timestamp,
        (flow, shard): (FlowKey, usize),
        placement: Placement,
        cause: SendCause,
    ) -> Result<GrantedExtra, SendDenial> {
        let flow = &self.flows[flow];
        let attempts = &flow.shards[shard];
        let attempt = ExtraAttempt {
            cause,
            is_urgent: is_urgent(flow.rank),
            expected_shards: flow.expected_shards(now, shard),
            needed_shards: flow.merge.is_some().then(|| flow.route().needed_shards()),
            time_left: flow.time_left(now),
            reply_time: placement.reply_time,
            is_reported: placement.report_age.is_some(),
        };
        let gain = attempt.gain()?;
        let limits = self.extra_load_limits();
        let extra = &mut self.services[attempts.service].extra;
        let reserve = extra.allowance(&limits) * gain.reserve_share();
        if !extra.try_spend(now, &limits, reserve) {
            return Err(SendDenial::BudgetExhausted);
        }
        Ok(GrantedExtra {
            gain,
            budget_left: extra.remaining(now, &limits),
        })
    }

    fn extra_attempt(
        &self,
        flow: FlowKey,
        service: ServiceKey,
        placement: Placement,
        cause: SendCause,
        granted: GrantedExtra,
    ) -> ForwardTelemetry {
        ForwardTelemetry::ExtraAttempt {
            request: Arc::clone(&self.flows[flow].request.id),
            service: Arc::clone(&self.services[service].name),
            instance: Arc::clone(&self.replicas[placement.upstream].entry.instance),
            cause: cause.name(),
            gain: granted.gain,
            budget_left: granted.budget_left,
            expected: placement.expected,
            report_age: placement.report_age,
        }
    }

    /// Records an attempt with its replica.
    fn record_send(
        &mut self,
        now: Timestamp,
        attempt: AttemptKey,
        placement: Placement,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let replica = &mut self.replicas[placement.upstream];
        replica.record_send(now, attempt);
        if placement.is_trial {
            let event = ReplicaEvent::TrialSent;
            let change = replica.apply_event(&self.replica_chart, now, event, Duration::ZERO);
            commands.extend(change.map(ForwardCommand::Record));
        }
    }

    /// Records an attempt with its shard and returns the command that sends it.
    fn start_attempt(
        &mut self,
        (flow, shard): (FlowKey, usize),
        attempt: AttemptKey,
        placement: Placement,
        cause: SendCause,
        hedge_at: Timestamp,
    ) -> ForwardCommand {
        let flow = &mut self.flows[flow];
        let (idempotent, max_attempts) = (flow.route().idempotent, flow.route().max_attempts);
        let shard = &mut flow.shards[shard];
        shard.running.push((attempt, placement.upstream));
        shard.tried.push(placement.upstream);
        shard.possible_runs += 1;
        if cause != SendCause::Trial {
            let may_hedge = idempotent && shard.possible_runs < max_attempts;
            shard.hedge_at = may_hedge.then_some(hedge_at);
        }
        ForwardCommand::SendAttempt {
            attempt,
            upstream: placement.upstream,
            request: Arc::clone(&flow.request),
            identity: flow.identity.clone(),
            deadline: flow.deadline.at(),
            at_most_once: !idempotent,
            report_age: placement.report_age,
        }
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

//! Handling of ended attempts, and the answers to callers that follow from them.

use crate::{
    forward_chart::{FlowAction, FlowEvent, FlowGuard, FlowState},
    forward_flow::{Flow, ShardStatus},
    forward_sends::SendCause,
    forwarder::ForwardAttempt,
    prelude::*,
};

/// Statuses by which a node promises that a request did not run. An upstream that sends one without stating that it did
/// not run the request may have run it.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Status that replaces those, as it promises nothing.
const BAD_GATEWAY: u16 = 502;

impl Forwarder {
    pub(crate) fn handle_attempt_end(
        &mut self,
        now: Timestamp,
        end: AttemptEnd,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(attempt) = self.attempts.remove(end.attempt) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(attempt.upstream) {
            let event = replica.record_attempt_end(now, &end, attempt.usual_secs);
            let service = replica.service;
            self.observe_attempt_end(now, &attempt, &end);
            let warm_up = self.service_settings(service).warm_up;
            if let Some(event) = event {
                let change = self.replicas[attempt.upstream].apply_event(
                    &self.replica_chart,
                    now,
                    event,
                    warm_up,
                );
                commands.extend(change.map(ForwardCommand::Record));
            }
            self.apply_report(now, attempt.upstream, &end.report, commands);
            if end.outcome == ForwardOutcome::NotSent {
                self.report_process_end(now, attempt.upstream, commands);
            }
            self.close_if_idle(attempt.upstream, commands);
        }
        self.update_quarantine(now, &attempt, &end.outcome);
        let Some(flow) = self.flows.get_mut(attempt.flow) else {
            return;
        };
        let shard = &mut flow.shards[attempt.shard];
        shard.running.retain(|(key, _)| *key != end.attempt);
        shard.last_outcome = end.outcome.name();
        if shard.status == ShardStatus::Answered {
            return;
        }
        match end.outcome {
            ForwardOutcome::Served(reply) => {
                let route = Arc::clone(&flow.route().name);
                self.handle_served(attempt.flow, attempt.shard, reply, commands);
                if let Some(times) = self.reply_times.get_mut(&route) {
                    times.add(now.since(attempt.sent));
                }
            }
            outcome => self.handle_unserved(now, attempt.flow, attempt.shard, outcome, commands),
        }
        self.check_completion(now, attempt.flow, commands);
    }

    /// Applies what an upstream says of itself, and tells the other nodes.
    fn apply_report(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        report: &UpstreamReport,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let replica = &mut self.replicas[key];
        let mut kinds = Vec::new();
        if report.leaving && replica.state != ReplicaState::Leaving {
            replica.announce_leaving();
            let event = ReplicaEvent::LeaveAnnounced;
            let change = replica.apply_event(&self.replica_chart, now, event, Duration::ZERO);
            commands.extend(change.map(ForwardCommand::Record));
            kinds.push(NoticeKind::Leaving);
        }
        if let Some(rest) = report.rest {
            let left = replica.rest(now, rest);
            kinds.push(NoticeKind::Resting { left });
        }
        for kind in kinds {
            let notice = UpstreamNotice {
                instance: Arc::clone(&replica.entry.instance),
                started_at_ms: replica.entry.started_at_ms,
                kind,
                age: Duration::ZERO,
            };
            commands.push(ForwardCommand::AnnounceNotice(notice.clone()));
            commands.push(ForwardCommand::Record(ForwardTelemetry::UpstreamNoticed {
                notice,
                service: Some(Arc::clone(&replica.entry.service)),
                from_peer: false,
            }));
        }
    }

    /// Updates the quarantine from the end of an attempt.
    fn update_quarantine(
        &mut self,
        now: Timestamp,
        attempt: &ForwardAttempt,
        outcome: &ForwardOutcome,
    ) {
        let connection_lost = *outcome == ForwardOutcome::ConnectionLost;
        let served = matches!(outcome, ForwardOutcome::Served(_));
        if !connection_lost && (!served || self.quarantine.is_empty()) {
            return;
        }
        let Some(flow) = self.flows.get(attempt.flow) else {
            return;
        };
        let digest = flow.request.digest(&flow.identity);
        if connection_lost {
            self.quarantine
                .record_connection_loss(now, digest, attempt.upstream, attempt.sent);
        } else {
            self.quarantine.record_success(digest, attempt.sent);
        }
    }

    fn handle_served(
        &mut self,
        key: FlowKey,
        shard: usize,
        reply: UpstreamReply,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let flow = &mut self.flows[key];
        let status = &mut flow.shards[shard].status;
        match (&mut flow.merge, &reply.proof) {
            (Some(merge), Some(proof)) => {
                merge.records.add(&reply.body);
                merge.proofs.push(proof.clone());
                *status = ShardStatus::Answered;
            }
            // A reply without a proof can't be part of a merged answer.
            (Some(_), None) => *status = ShardStatus::GivenUp,
            (None, _) => {
                flow.reply = Some(reply);
                *status = ShardStatus::Answered;
            }
        }
        flow.shards[shard].hedge_at = None;
        // The other attempts for this shard are no longer needed.
        for &(attempt, upstream) in &flow.shards[shard].running {
            commands.push(ForwardCommand::CancelAttempt { attempt, upstream });
        }
    }

    fn handle_unserved(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        shard: usize,
        outcome: ForwardOutcome,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let flow = &mut self.flows[key];
        let not_run = matches!(outcome, ForwardOutcome::NotRun(_) | ForwardOutcome::NotSent);
        let not_sent = outcome == ForwardOutcome::NotSent;
        if not_run {
            flow.shards[shard].possible_runs -= 1;
        } else {
            flow.may_have_run = true;
        }
        if let ForwardOutcome::Failed(reply) = outcome {
            flow.failure = Some(reply);
        }
        let may_repeat = not_run || flow.route().idempotent;
        let shard_attempts = &flow.shards[shard];
        if shard_attempts.status == ShardStatus::GivenUp {
            return;
        }
        let cause = if not_sent {
            SendCause::Resend
        } else {
            SendCause::Retry
        };
        let sent = if may_repeat {
            self.send_attempt(now, key, shard, cause, commands)
        } else {
            Err(SendDenial::AtMostOnce)
        };
        if let Err(denial) = sent
            && self.flows[key].shards[shard].running.is_empty()
        {
            self.give_up_shard(key, shard, denial, commands);
        }
    }

    pub(crate) fn give_up_shard(
        &mut self,
        key: FlowKey,
        shard: usize,
        denial: SendDenial,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let flow = &mut self.flows[key];
        let shard = &mut flow.shards[shard];
        shard.status = ShardStatus::GivenUp;
        shard.hedge_at = None;
        let last_replica = shard.tried.last().and_then(|key| self.replicas.get(*key));
        commands.push(ForwardCommand::Record(ForwardTelemetry::ShardGivenUp {
            request: Arc::clone(&flow.request.id),
            service: Arc::clone(&self.services[shard.service].name),
            instance: last_replica.map(|replica| Arc::clone(&replica.entry.instance)),
            cause: shard.last_outcome,
            denial,
            sent: shard.tried.len() as u32,
        }));
    }

    /// Records the attempts still in flight when the caller is answered.
    fn report_cut_off_shards(
        &self,
        now: Timestamp,
        key: FlowKey,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let pending = flow
            .shards
            .iter()
            .filter(|shard| shard.status == ShardStatus::Pending);
        for (attempt, upstream) in pending.flat_map(|shard| &shard.running) {
            let (Some(attempt), Some(replica)) =
                (self.attempts.get(*attempt), self.replicas.get(*upstream))
            else {
                continue;
            };
            commands.push(ForwardCommand::Record(ForwardTelemetry::ShardCutOff {
                request: Arc::clone(&flow.request.id),
                service: Arc::clone(&replica.entry.service),
                instance: Arc::clone(&replica.entry.instance),
                waited: now.since(attempt.sent),
            }));
        }
    }

    pub(crate) fn advance_flow(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        event: FlowEvent,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let step = self
            .flow_chart
            .step(flow.state, event, |guard| match guard {
                FlowGuard::Covered => flow.is_sufficient(flow.answered_shards()),
            });
        if step.next == FlowState::Answered {
            self.report_cut_off_shards(now, key, commands);
        }
        let retry_after = if step.actions.contains(&FlowAction::Refuse) {
            self.retry_after(now, key)
        } else {
            Duration::ZERO
        };
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.state = step.next;
        for action in step.actions {
            match action {
                FlowAction::SettleForEnough => flow.accepts_partial = true,
                FlowAction::CancelAttempts => cancel_attempts(flow, commands),
                FlowAction::Answer => {
                    let success = success_answer(flow);
                    push_answer(now, flow, success, commands);
                }
                FlowAction::TimeOut => {
                    let refusal = timeout_answer(flow);
                    push_answer(now, flow, refusal, commands);
                }
                FlowAction::Refuse => {
                    let refusal = refusal_answer(flow, retry_after);
                    push_answer(now, flow, refusal, commands);
                }
            }
        }
        if flow.state != FlowState::Running {
            self.timers.reschedule(key, flow.timer, None);
            self.callers.remove(&flow.caller);
            self.flows.remove(key);
        }
    }
}

fn cancel_attempts(flow: &mut Flow, commands: &mut Vec<ForwardCommand>) {
    for shard in &mut flow.shards {
        for (attempt, upstream) in shard.running.drain(..) {
            flow.may_have_run = true;
            commands.push(ForwardCommand::CancelAttempt { attempt, upstream });
        }
    }
}

fn success_answer(flow: &mut Flow) -> ForwardAnswer {
    let missing = (flow.shards.len() - flow.answered_shards()) as u32;
    if let Some(merge) = &mut flow.merge {
        return ForwardAnswer::Merged(MergedAnswer {
            proofs: std::mem::take(&mut merge.proofs),
            missing,
            records: merge.records.bytes(),
        });
    }
    match flow.reply.take() {
        Some(reply) => ForwardAnswer::Reply(reply),
        None => ForwardAnswer::Refused(ForwardRefusal::OutcomeUnknown),
    }
}

/// Answer when no further reply can make the request a success.
fn refusal_answer(flow: &mut Flow, retry_after: Duration) -> ForwardAnswer {
    if !flow.may_have_run && flow.answered_shards() == 0 {
        return ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after });
    }
    upstream_failure(flow).unwrap_or(ForwardAnswer::Refused(ForwardRefusal::OutcomeUnknown))
}

fn timeout_answer(flow: &mut Flow) -> ForwardAnswer {
    upstream_failure(flow).unwrap_or(ForwardAnswer::Refused(ForwardRefusal::TimedOut))
}

/// The upstream's failure reply. A status that promises that the request did not run is replaced.
fn upstream_failure(flow: &mut Flow) -> Option<ForwardAnswer> {
    if flow.merge.is_some() {
        return None;
    }
    let mut reply = flow.failure.take()?;
    if NOT_RUN_STATUSES.contains(&reply.status) {
        reply = UpstreamReply {
            status: BAD_GATEWAY,
            fields: Vec::new(),
            proof: None,
            body: bytes::Bytes::new(),
        };
    }
    Some(ForwardAnswer::Reply(reply))
}

fn push_answer(
    now: Timestamp,
    flow: &mut Flow,
    answer: ForwardAnswer,
    commands: &mut Vec<ForwardCommand>,
) {
    let outcome = match &answer {
        ForwardAnswer::Reply(reply) if reply.status >= 400 => "failure",
        ForwardAnswer::Reply(_) => "reply",
        ForwardAnswer::Merged(_) => "merged",
        ForwardAnswer::Refused(refusal) => refusal.name(),
    };
    commands.push(ForwardCommand::Record(ForwardTelemetry::Answered {
        request: Arc::clone(&flow.request.id),
        route: Arc::clone(&flow.route().name),
        outcome,
        covered: flow.answered_shards() as u32,
        shards: flow.shards.len() as u32,
        elapsed: now.since(flow.started_at),
        version: flow.table.version,
    }));
    commands.push(ForwardCommand::Answer {
        caller: flow.caller,
        answer,
    });
}

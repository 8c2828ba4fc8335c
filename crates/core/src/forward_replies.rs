//! Replies to forwarded requests, and answers to callers.

use crate::{
    forward_chart::{FlowAction, FlowEvent, FlowGuard, FlowState},
    forward_flow::{Flow, Progress},
    forward_sends::SendCause,
    forwarder::ForwardAttempt,
    prelude::*,
};

/// Statuses that promise that a request did not run. An upstream that gives one without saying so may have run it.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Status of a failure that promises nothing.
const BAD_GATEWAY: u16 = 502;

impl Forwarder {
    pub(crate) fn finished(
        &mut self,
        now: Timestamp,
        end: AttemptEnd,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(attempt) = self.attempts.remove(end.attempt) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(attempt.upstream) {
            let event = replica.finished(now, &end, attempt.usual);
            let service = replica.service;
            let warm_up = self.terms(service).warm_up;
            if let Some(event) = event {
                let note =
                    self.replicas[attempt.upstream].step(&self.replica_chart, now, event, warm_up);
                commands.extend(note.map(ForwardCommand::Record));
            }
            if end.outcome == ForwardOutcome::NotSent {
                self.process_ended(now, attempt.upstream, commands);
            }
            self.end_if_idle(attempt.upstream, commands);
        }
        self.watch_crashes(now, &attempt, &end.outcome);
        let Some(flow) = self.flows.get_mut(attempt.flow) else {
            return;
        };
        let shard = &mut flow.shards[attempt.shard];
        shard.running.retain(|(key, _)| *key != end.attempt);
        shard.last = end.outcome.name();
        if shard.progress == Progress::Answered {
            return;
        }
        match end.outcome {
            ForwardOutcome::Served(reply) => {
                let route = Arc::clone(&flow.route().name);
                self.served(attempt.flow, attempt.shard, reply, commands);
                if let Some(times) = self.times.get_mut(&route) {
                    times.add(now.since(attempt.sent));
                }
            }
            outcome => self.unserved(now, attempt.flow, attempt.shard, outcome, commands),
        }
        self.settle(now, attempt.flow, commands);
    }

    /// Takes account of what the end of an attempt shows about its request.
    fn watch_crashes(
        &mut self,
        now: Timestamp,
        attempt: &ForwardAttempt,
        outcome: &ForwardOutcome,
    ) {
        let broken = *outcome == ForwardOutcome::ConnectionLost;
        let served = matches!(outcome, ForwardOutcome::Served(_));
        if !broken && (!served || self.crashes.is_calm()) {
            return;
        }
        let Some(flow) = self.flows.get(attempt.flow) else {
            return;
        };
        let digest = flow.request.digest();
        if broken {
            self.crashes
                .broke(now, digest, attempt.upstream, attempt.sent);
        } else {
            self.crashes.succeeded(digest, attempt.sent);
        }
    }

    fn served(
        &mut self,
        key: FlowKey,
        shard: usize,
        reply: UpstreamReply,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let flow = &mut self.flows[key];
        let progress = &mut flow.shards[shard].progress;
        match (&mut flow.merge, &reply.proof) {
            (Some(merge), Some(proof)) => {
                merge.records.add(&reply.body);
                merge.proofs.push(proof.clone());
                *progress = Progress::Answered;
            }
            // Without a proof it can't be part of an answer.
            (Some(_), None) => *progress = Progress::GivenUp,
            (None, _) => {
                flow.reply = Some(reply);
                *progress = Progress::Answered;
            }
        }
        flow.shards[shard].hedge_at = None;
        // The caller's answer is settled for this shard; other attempts run for nothing.
        for &(attempt, upstream) in &flow.shards[shard].running {
            commands.push(ForwardCommand::CancelAttempt { attempt, upstream });
        }
    }

    fn unserved(
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
            flow.shards[shard].runs -= 1;
        } else {
            flow.may_have_run = true;
        }
        if let ForwardOutcome::Failed(reply) = outcome {
            flow.failure = Some(reply);
        }
        let may_repeat = not_run || flow.route().idempotent;
        let shard_try = &flow.shards[shard];
        if shard_try.progress == Progress::GivenUp {
            return;
        }
        let cause = if not_sent {
            SendCause::Resend
        } else {
            SendCause::Retry
        };
        let sent = if may_repeat {
            self.send(now, key, shard, cause, commands)
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
        shard.progress = Progress::GivenUp;
        shard.hedge_at = None;
        let last = shard.tried.last().and_then(|key| self.replicas.get(*key));
        commands.push(ForwardCommand::Record(ForwardTelemetry::ShardGivenUp {
            request: Arc::clone(&flow.request.id),
            service: Arc::clone(&self.services[shard.service].name),
            instance: last.map(|replica| Arc::clone(&replica.entry.instance)),
            cause: shard.last,
            denial,
            sent: shard.tried.len() as u32,
        }));
    }

    /// Records the attempts that still run when an answer is due.
    fn note_cut_off(&self, now: Timestamp, key: FlowKey, commands: &mut Vec<ForwardCommand>) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let open = flow
            .shards
            .iter()
            .filter(|shard| shard.progress == Progress::Open);
        for (attempt, upstream) in open.flat_map(|shard| &shard.running) {
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

    pub(crate) fn step_flow(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        event: FlowEvent,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let retry_after = self.retry_after(key);
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        let step = self
            .flow_chart
            .step(flow.state, event, |guard| match guard {
                FlowGuard::Covered => flow.is_success(flow.answered()),
            });
        if step.next == FlowState::Answered {
            self.note_cut_off(now, key, commands);
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        flow.state = step.next;
        for action in step.actions {
            match action {
                FlowAction::SettleForEnough => flow.settling = true,
                FlowAction::CancelAttempts => cancel(flow, commands),
                FlowAction::Answer => {
                    let success = success(flow);
                    answer(now, flow, success, commands);
                }
                FlowAction::TimeOut => {
                    let timed_out = timed_out(flow);
                    answer(now, flow, timed_out, commands);
                }
                FlowAction::Refuse => {
                    let refusal = refusal(flow, retry_after);
                    answer(now, flow, refusal, commands);
                }
            }
        }
        if flow.state != FlowState::Running {
            self.timers.set(key, flow.due, None);
            self.callers.remove(&flow.caller);
            self.flows.remove(key);
        }
    }
}

/// Stops the attempts that still run.
fn cancel(flow: &mut Flow, commands: &mut Vec<ForwardCommand>) {
    for shard in &mut flow.shards {
        for (attempt, upstream) in shard.running.drain(..) {
            flow.may_have_run = true;
            commands.push(ForwardCommand::CancelAttempt { attempt, upstream });
        }
    }
}

fn success(flow: &mut Flow) -> ForwardAnswer {
    let missing = (flow.shards.len() - flow.answered()) as u32;
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

/// What a caller gets when nothing more can come.
fn refusal(flow: &mut Flow, retry_after: Duration) -> ForwardAnswer {
    if !flow.may_have_run && flow.answered() == 0 {
        return ForwardAnswer::Refused(ForwardRefusal::Unavailable { retry_after });
    }
    failure(flow).unwrap_or(ForwardAnswer::Refused(ForwardRefusal::OutcomeUnknown))
}

fn timed_out(flow: &mut Flow) -> ForwardAnswer {
    failure(flow).unwrap_or(ForwardAnswer::Refused(ForwardRefusal::TimedOut))
}

/// The upstream's own failure, unless its status promises more than is known.
fn failure(flow: &mut Flow) -> Option<ForwardAnswer> {
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

fn answer(
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
        covered: flow.answered() as u32,
        shards: flow.shards.len() as u32,
        elapsed: now.since(flow.started),
        version: flow.table.version,
    }));
    commands.push(ForwardCommand::Answer {
        caller: flow.caller,
        answer,
    });
}

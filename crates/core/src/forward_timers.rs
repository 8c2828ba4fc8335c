//! Timers of running requests: deadlines, objectives and hedges.

use crate::{
    forward_chart::FlowEvent,
    forward_flow::{ShardAttempts, ShardStatus},
    forward_sends::SendCause,
    prelude::*,
};

impl Forwarder {
    /// Handles the flows whose timers have expired.
    pub(crate) fn handle_wakeup(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        self.retry_waiting(now, commands);
        self.share_peer_load(now, commands);
        while let Some(key) = self.timers.pop_due(now) {
            let Some(flow) = self.flows.get_mut(key) else {
                continue;
            };
            flow.timer = None;
            let objective_due =
                flow.merge.is_some() && !flow.accepts_partial && flow.accept_partial_at <= now;
            if flow.deadline.at() <= now {
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
            let sent = self.send_attempt(now, key, shard, SendCause::Hedge, commands);
            if let Err(denial) = sent {
                self.postpone_hedge(now, key, shard, denial);
                commands.push(ForwardCommand::Record(
                    self.denied_hedge(key, shard, denial),
                ));
            }
        }
    }

    /// Postpones a hedge whose reply would miss the objective. A flow that is not answered by then has too few shards, and
    /// a late reply may complete it.
    fn postpone_hedge(&mut self, now: Timestamp, key: FlowKey, shard: usize, denial: SendDenial) {
        let flow = &mut self.flows[key];
        if denial == SendDenial::TooLittleTime && now < flow.accept_partial_at {
            flow.shards[shard].hedge_at = Some(flow.accept_partial_at);
        }
    }

    fn denied_hedge(&self, key: FlowKey, shard: usize, denial: SendDenial) -> ForwardTelemetry {
        let flow = &self.flows[key];
        let service = flow.shards[shard].service;
        ForwardTelemetry::HedgeDenied {
            request: Arc::clone(&flow.request.id),
            service: Arc::clone(&self.services[service].name),
            denial,
        }
    }
}

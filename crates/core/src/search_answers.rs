//! Last steps of a query: cancelling its attempts and answering the caller.

use crate::{engine::Shared, hit_merger::HitMerger, prelude::*, searches::Searches};

impl Searches {
    pub(crate) fn cancel_attempts(
        &mut self,
        cx: &mut Shared,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let shards = self.queries[key].shards.iter_mut();
        let running: Vec<_> = shards.flat_map(|p| p.running_attempts.drain(..)).collect();
        self.send_cancellations(cx, running, commands);
    }

    pub(crate) fn send_cancellations(
        &mut self,
        cx: &mut Shared,
        attempts: Vec<AttemptKey>,
        commands: &mut Vec<Command>,
    ) {
        self.statistics.cancelled += attempts.len() as u64;
        for attempt in attempts {
            cx.cancel_attempt(attempt, commands);
        }
    }

    /// Records the open shards as quarantined.
    pub(crate) fn give_up_open_shards(&mut self, key: QueryKey) {
        for shard in 0..self.queries[key].shards.len() as u32 {
            self.settle_shard(key, shard, Err(MissingReason::Quarantined));
        }
    }

    pub(crate) fn answer_query(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let merger = std::mem::replace(&mut query.merger, HitMerger::new("", 0));
        let mut hits = merger.into_hits();
        let workspace = cx
            .workspaces
            .values()
            .find(|workspace| workspace.name == *query.request.workspace);
        let firms = workspace.map_or(&[][..], |workspace| &workspace.firms);
        for hit in &mut hits {
            if !firms.contains(&hit.owner) {
                hit.private = None;
            }
        }
        let answer = Answer {
            request_id: Arc::clone(&query.request.request_id),
            index_version: query.index_version,
            hits,
            coverage: query.coverage(),
            total_time: now.since(query.arrived_at),
            queue_time: query.started_at.since(query.arrived_at),
        };
        commands.push(Command::AnswerQuery {
            caller: query.request.caller,
            workspace: Arc::clone(&query.request.workspace),
            answer,
        });
    }
}

//! Last steps of a query: cancelling what runs, and the answer.

use crate::{engine::Shared, hit_merger::HitMerger, prelude::*, searches::Searches};

impl Searches {
    pub(crate) fn cancel_attempts(
        &mut self,
        cx: &mut Shared,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let shards = self.queries[key].shards.iter_mut();
        let running: Vec<_> = shards.flat_map(|p| p.attempts.drain(..)).collect();
        self.cancel(cx, running, commands);
    }

    pub(crate) fn cancel(
        &mut self,
        cx: &mut Shared,
        attempts: Vec<AttemptKey>,
        commands: &mut Vec<Command>,
    ) {
        self.statistics.cancelled += attempts.len() as u64;
        for attempt in attempts {
            cx.cancel(attempt, commands);
        }
    }

    /// Marks the open shards as quarantined.
    pub(crate) fn give_up(&mut self, key: QueryKey) {
        for shard in 0..self.queries[key].shards.len() as u32 {
            self.settle(key, shard, Err(MissingReason::Quarantined));
        }
    }

    pub(crate) fn answer(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let merge = std::mem::replace(&mut query.merge, HitMerger::new("", 0));
        let mut hits = merge.into_hits();
        let tenant = cx
            .tenants
            .values()
            .find(|tenant| tenant.name == *query.request.tenant);
        let firms = tenant.map_or(&[][..], |tenant| &tenant.firms);
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
            total_time: now.since(query.arrived),
            queue_time: query.started.since(query.arrived),
        };
        commands.push(Command::Answer {
            caller: query.request.caller,
            tenant: Arc::clone(&query.request.tenant),
            answer,
        });
    }
}

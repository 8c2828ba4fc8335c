//! Handling of the replies of upstreams to a query.

use crate::{
    attempt::{Attempt, AttemptPurpose},
    engine::Shared,
    prelude::*,
    query::{QueryEvent, QueryState},
    search_attempt::SearchAttempt,
    search_quarantine::{Loss, Verdict},
    searches::{Searches, newest_layout, quarantine_lifetime},
};

/// Percentage of the shards that must have answered before a tail query is cut off.
const CUT_OFF_PERCENT: u32 = 90;

impl Searches {
    /// Updates statistics and quarantine after an attempt, and hands the reply to its query.
    pub(crate) fn handle_attempt_end(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        attempt: &Attempt,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let upstream = reply.upstream;
        if let Some(record) = self.take_attempt(reply.attempt, attempt) {
            self.record_attempt_outcome(cx, now, &record, &reply, commands);
            if let AttemptPurpose::Shard { query, shard } = attempt.purpose {
                self.handle_reply(cx, now, (query, shard), reply, commands);
            }
            if record.trial {
                self.resume_queries(cx, now, record.digest, commands);
            }
        }
        self.retry_waiting_for(cx, now, upstream, commands);
        self.start_queued_queries(cx, now, commands);
    }

    /// Records the latency, overload or loss that an attempt has shown, whether or not its query still exists.
    fn record_attempt_outcome(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        record: &SearchAttempt,
        reply: &Reply,
        commands: &mut Vec<Command>,
    ) {
        if record.trial {
            self.quarantine.record_trial_end(record.digest);
        }
        let service = &mut self.services[record.service];
        match &reply.outcome {
            Outcome::Answered(_) => {
                service.latency.record(now.since(record.sent_at));
                if cx.policy == PolicyMode::Adaptive {
                    self.quarantine.record_success(
                        now,
                        record.digest,
                        record.index_version,
                        record.sent_at,
                    );
                }
            }
            Outcome::Shed => service.admission.record_shed(),
            Outcome::Broken => self.record_loss(cx, now, record, reply.upstream, commands),
            _ => {}
        }
    }

    fn record_loss(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        record: &SearchAttempt,
        upstream: UpstreamKey,
        commands: &mut Vec<Command>,
    ) {
        let Some(bundle) = cx
            .bundle
            .as_ref()
            .filter(|_| cx.policy == PolicyMode::Adaptive)
        else {
            return;
        };
        // Connections of an upstream that the bundle no longer lists are closed on purpose, so they are no losses.
        let known = bundle
            .upstreams
            .iter()
            .find(|u| cx.upstreams.key(&u.name) == Some(upstream));
        let Some(known) = known else {
            return;
        };
        let loss = Loss {
            digest: record.digest,
            shard: record.shard,
            upstream: known.name.clone(),
            trial: record.trial,
        };
        if let Some(news) = self
            .quarantine
            .record_loss(now, loss, quarantine_lifetime(cx))
        {
            commands.push(Command::Broadcast(news));
        }
        let verdict = self
            .quarantine
            .verdict(now, record.digest, record.index_version);
        if verdict == Verdict::Quarantined {
            self.statistics.quarantined += 1;
        }
    }

    fn handle_reply(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let progress = &mut query.shards[shard as usize];
        progress
            .running_attempts
            .retain(|attempt| *attempt != reply.attempt);
        let pinned = query.index_version;
        let reason = match reply.outcome {
            Outcome::Answered(answer) if answer.index_version == pinned => {
                self.merge_reply(cx, now, (key, shard), answer.hits, commands);
                return;
            }
            Outcome::Answered(_) | Outcome::VersionGone => MissingReason::VersionGone,
            Outcome::Shed => MissingReason::Shed,
            Outcome::Silent | Outcome::Cancelled => MissingReason::Timeout,
            Outcome::NotSent => MissingReason::NoReplica,
            Outcome::Broken | Outcome::Invalid | Outcome::Booked(_) => MissingReason::Broken,
        };
        self.handle_failed_attempt(cx, now, (key, shard), reason, commands);
    }

    fn merge_reply(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        hits: Vec<Hit>,
        commands: &mut Vec<Command>,
    ) {
        if self.settle_shard(key, shard, Ok(())) {
            let query = &mut self.queries[key];
            query.merger.add_hits(hits);
            query.answered_shards += 1;
            if query.time_to_half.is_none()
                && query.answered_shards * 2 >= query.shards.len() as u32
            {
                query.time_to_half = Some(now.since(query.fanned_out_at));
            }
        }
        let cancelled =
            std::mem::take(&mut self.queries[key].shards[shard as usize].running_attempts);
        // Cancelled attempts took at least this long; without these samples the latencies would lack slow attempts.
        let latency = &mut self.services[self.queries[key].service].latency;
        for attempt in cancelled
            .iter()
            .filter_map(|attempt| self.attempts.get(*attempt))
        {
            latency.record(now.since(attempt.sent_at));
        }
        self.send_cancellations(cx, cancelled, commands);
        self.advance_if_settled(cx, now, key, commands);
        self.check_cut_off(cx, now, key, commands);
    }

    fn handle_failed_attempt(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        reason: MissingReason,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let progress = &mut query.shards[shard as usize];
        progress.last_failure = Some(reason);
        if progress.running_attempts.is_empty() {
            query.shard_to_retry = Some(shard);
        }
        if reason == MissingReason::VersionGone {
            self.on_event(cx, now, key, QueryEvent::VersionGone, commands);
        } else if query.shard_to_retry.is_some() {
            self.retry_shard(cx, now, key, commands);
        }
        self.advance_if_settled(cx, now, key, commands);
    }

    /// Sets the result of a shard unless it has one already. Returns whether it was set.
    pub(crate) fn settle_shard(
        &mut self,
        key: QueryKey,
        shard: u32,
        result: Result<(), MissingReason>,
    ) -> bool {
        self.stop_waiting(key, shard);
        self.queries[key].settle_shard(shard, result)
    }

    /// Ends a query without open shards. Picks the next canary if the last one settled without a verdict.
    pub(crate) fn advance_if_settled(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let Some(query) = self.queries.get(key).filter(|query| query.is_running()) else {
            return;
        };
        if query.open_shards == 0 {
            return self.on_event(cx, now, key, QueryEvent::Settled, commands);
        }
        let canary = query
            .canary_shard
            .map(|shard| &query.shards[shard as usize]);
        let is_over = canary.is_some_and(|progress| progress.result.is_some());
        if query.state == QueryState::Probing && is_over {
            self.send_canary(cx, now, key, commands);
        }
    }

    /// Cuts off a tail query whose cut-off time has passed, if enough shards have answered.
    pub(crate) fn check_cut_off(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if query.cut_off_at.is_none_or(|at| at > now) {
            return;
        }
        if query.answered_shards * 100 >= query.shards.len() as u32 * CUT_OFF_PERCENT {
            self.on_event(cx, now, key, QueryEvent::CutOff, commands);
        }
    }

    /// Whether a newer index version is configured, the query has not restarted yet, and enough time is left.
    pub(crate) fn can_restart(&mut self, cx: &Shared, now: Timestamp, key: QueryKey) -> bool {
        let query = &self.queries[key];
        let newest = cx
            .bundle
            .as_ref()
            .and_then(|bundle| newest_layout(bundle, &query.request.service));
        let is_newer = newest.is_some_and(|layout| layout.index_version > query.index_version);
        let needed = self.services[query.service].min_sub_request_time();
        is_newer && query.epoch == 0 && now + needed < query.answer_by
    }

    /// Pins the newest index version and resets the times of the query.
    pub(crate) fn restart_on_newest_layout(&mut self, cx: &Shared, now: Timestamp, key: QueryKey) {
        self.leave_wait_queue(key);
        let Some(bundle) = &cx.bundle else {
            return;
        };
        let query = &mut self.queries[key];
        let Some(layout) = newest_layout(bundle, &query.request.service) else {
            return;
        };
        query.pin_layout(layout, query.max_hits(bundle));
        query.epoch += 1;
        query.fanned_out_at = now;
        query.cut_off_at = None;
        query.next_check = None;
        self.statistics.restarts += 1;
    }
}

//! Steps of a query that follow from replies.

use crate::{
    attempt::{Attempt, AttemptPurpose},
    engine::Shared,
    prelude::*,
    quarantine::{Loss, Verdict},
    query::{QueryEvent, QueryState},
    search_attempt::SearchAttempt,
    searches::{Searches, newest_layout, quarantine_lifetime},
};

/// Share of the shards, in percent, that must have answered before a tail query is cut off.
const CUT_OFF_PERCENT: u32 = 90;

impl Searches {
    /// Learns from the end of an attempt and hands the reply to its query.
    pub(crate) fn handle_attempt_end(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        attempt: &Attempt,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        let upstream = reply.upstream;
        if let Some(sent) = self.take_sent(reply.attempt, attempt) {
            self.learn(cx, now, &sent, &reply, commands);
            if let AttemptPurpose::Shard { query, shard } = attempt.purpose {
                self.reply(cx, now, (query, shard), reply, commands);
            }
            if sent.trial {
                self.resume(cx, now, sent.digest, commands);
            }
        }
        self.upstream_freed(cx, now, upstream, commands);
        self.admit_waiting(cx, now, commands);
    }

    /// Records latency, load and harm of an attempt, whether or not its query still exists.
    fn learn(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        sent: &SearchAttempt,
        reply: &Reply,
        commands: &mut Vec<Command>,
    ) {
        if sent.trial {
            self.quarantine.trial_ended(sent.digest);
        }
        let service = &mut self.services[sent.service];
        match &reply.outcome {
            Outcome::Answered(_) => {
                service.latency.record(now.since(sent.sent_at));
                if cx.policy == PolicyMode::Adaptive {
                    self.quarantine
                        .succeeded(now, sent.digest, sent.index_version, sent.sent_at);
                }
            }
            Outcome::Shed => service.admission.record_shed(),
            Outcome::Broken => self.implicate(cx, now, sent, reply.upstream, commands),
            _ => {}
        }
    }

    fn implicate(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        sent: &SearchAttempt,
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
        // The connections of an upstream that the bundle no longer names are closed on purpose.
        let known = bundle
            .upstreams
            .iter()
            .find(|u| cx.upstreams.key(&u.name) == Some(upstream));
        let Some(known) = known else {
            return;
        };
        let loss = Loss {
            digest: sent.digest,
            shard: sent.shard,
            upstream: known.name.clone(),
            trial: sent.trial,
        };
        if let Some(news) = self.quarantine.lost(now, loss, quarantine_lifetime(cx)) {
            commands.push(Command::Share(news));
        }
        let verdict = self
            .quarantine
            .verdict(now, sent.digest, sent.index_version);
        if verdict == Verdict::Quarantined {
            self.statistics.quarantined += 1;
        }
    }

    fn reply(
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
            .attempts
            .retain(|attempt| *attempt != reply.attempt);
        let pinned = query.index_version;
        let reason = match reply.outcome {
            Outcome::Answered(answer) if answer.index_version == pinned => {
                self.merge(cx, now, (key, shard), answer.hits, commands);
                return;
            }
            Outcome::Answered(_) | Outcome::VersionGone => MissingReason::VersionGone,
            Outcome::Shed => MissingReason::Shed,
            Outcome::Silent | Outcome::Cancelled => MissingReason::Timeout,
            Outcome::NotSent => MissingReason::NoReplica,
            Outcome::Broken | Outcome::Invalid | Outcome::Booked(_) => MissingReason::Broken,
        };
        self.failed(cx, now, (key, shard), reason, commands);
    }

    fn merge(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        hits: Vec<Hit>,
        commands: &mut Vec<Command>,
    ) {
        if self.settle(key, shard, Ok(())) {
            let query = &mut self.queries[key];
            query.merge.add_hits(hits);
            query.answered += 1;
            if query.half.is_none() && query.answered * 2 >= query.shards.len() as u32 {
                query.half = Some(now.since(query.fanned_out));
            }
        }
        let losers = std::mem::take(&mut self.queries[key].shards[shard as usize].attempts);
        // A loser took at least this long. Without it the slow ones would be missing from the window.
        let latency = &mut self.services[self.queries[key].service].latency;
        for loser in losers.iter().filter_map(|loser| self.sent.get(*loser)) {
            latency.record(now.since(loser.sent_at));
        }
        self.cancel(cx, losers, commands);
        self.settle_if_done(cx, now, key, commands);
        self.check_cut_off(cx, now, key, commands);
    }

    fn failed(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        reason: MissingReason,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let progress = &mut query.shards[shard as usize];
        progress.failed = Some(reason);
        if progress.attempts.is_empty() {
            query.retry = Some(shard);
        }
        if reason == MissingReason::VersionGone {
            self.step(cx, now, key, QueryEvent::VersionGone, commands);
        } else if query.retry.is_some() {
            self.retry_shard(cx, now, key, commands);
        }
        self.settle_if_done(cx, now, key, commands);
    }

    /// Records what became of a shard. Returns whether this was its first result.
    pub(crate) fn settle(
        &mut self,
        key: QueryKey,
        shard: u32,
        result: Result<(), MissingReason>,
    ) -> bool {
        self.stop_waiting(key, shard);
        self.queries[key].settle(shard, result)
    }

    /// Ends a query without open shards, or sends the next canary when the last one brought no reply.
    pub(crate) fn settle_if_done(
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
            return self.step(cx, now, key, QueryEvent::Settled, commands);
        }
        let canary = query.canary.map(|shard| &query.shards[shard as usize]);
        let is_over = canary.is_some_and(|progress| progress.result.is_some());
        if query.state == QueryState::Probing && is_over {
            self.send_canary(cx, now, key, commands);
        }
    }

    /// Ends a tail query that has waited long enough for its last shards.
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
        if query.answered * 100 >= query.shards.len() as u32 * CUT_OFF_PERCENT {
            self.step(cx, now, key, QueryEvent::CutOff, commands);
        }
    }

    /// Whether a newer index version is configured and can still be asked.
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

    /// Pins the newest index version.
    pub(crate) fn restart(&mut self, cx: &Shared, now: Timestamp, key: QueryKey) {
        self.leave_wait_queue(key);
        let Some(bundle) = &cx.bundle else {
            return;
        };
        let query = &mut self.queries[key];
        let Some(layout) = newest_layout(bundle, &query.request.service) else {
            return;
        };
        query.pin(layout, query.limit(bundle));
        query.epoch += 1;
        query.fanned_out = now;
        query.cut_off_at = None;
        query.next_check = None;
        self.statistics.restarts += 1;
    }
}

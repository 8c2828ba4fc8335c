//! Steps of a query that send sub-requests: canary, fan-out, hedges, retries and the wait queue.

use crate::{
    attempt::AttemptPurpose,
    engine::Shared,
    prelude::*,
    query::{Query, QueryEvent, QueryState},
    search_attempt::SearchAttempt,
    search_quarantine::Verdict,
    searches::{Searches, find_layout},
    upstreams::{ReplicaCandidates, Unavailable},
    wait_queue::Waiter,
};

/// Interval at which all waiting sub-requests are tried, because the limits of upstreams also rise without a reply.
const WAIT_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lower bound of the interval at which a query's hedges and deferred retries are considered.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The hedge delay is divided by this to get the interval at which a retry without budget is tried again.
const RECHECK_DIVISOR: u32 = 4;

/// Why a sub-request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendKind {
    Primary,
    Retry,
    Hedge,
}

/// Result of trying to send a sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendResult {
    /// Sent, deferred, given up, or no longer needed.
    Done,
    /// All upstreams are busy, or new work is not permitted now.
    Busy,
}

impl Searches {
    /// Queries the canary shard, unless the request is known to be harmless or is quarantined.
    pub(crate) fn send_canary(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        match self.verdict(cx, now, key) {
            Verdict::Harmless => self.on_event(cx, now, key, QueryEvent::CanaryPassed, commands),
            Verdict::Quarantined => self.on_event(cx, now, key, QueryEvent::Quarantined, commands),
            Verdict::Canary => {
                let shard = self.choose_canary_shard(now, key);
                self.queries[key].canary_shard = shard;
                if let Some(shard) = shard {
                    self.dispatch_shard(cx, now, key, shard, commands);
                }
                self.advance_if_settled(cx, now, key, commands);
            }
        }
    }

    /// Open shard to query first: the one whose upstream was lost, else one derived from the digest, so that canaries
    /// of different requests spread over the shards.
    fn choose_canary_shard(&self, now: Timestamp, key: QueryKey) -> Option<u32> {
        let query = &self.queries[key];
        let is_open = |shard: &u32| {
            let progress = query.shards.get(*shard as usize);
            progress.is_some_and(|progress| progress.result.is_none())
        };
        let suspected = self.quarantine.suspected_shard(now, query.digest);
        if let Some(shard) = suspected.filter(is_open) {
            return Some(shard);
        }
        let shards = query.shards.len() as u32;
        let first = u32::from(query.digest.0[0]);
        (0..shards)
            .map(|offset| (first + offset) % shards)
            .find(is_open)
    }

    /// Queries all shards that have not been queried.
    pub(crate) fn fan_out(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        query.fanned_out_at = now;
        let shards = query.shards.len() as u32;
        if cx.policy == PolicyMode::Adaptive && query.preference == LateShardPreference::Tail {
            let cut_off = self.services[query.service].tail_cut_off();
            query.cut_off_at = cut_off.map(|after| now + after);
        }
        for shard in 0..shards {
            let progress = &self.queries[key].shards[shard as usize];
            if progress.tried_upstreams.is_empty() && !progress.awaits_upstream {
                self.dispatch_shard(cx, now, key, shard, commands);
            }
        }
        self.set_timer(now, key);
        self.advance_if_settled(cx, now, key, commands);
    }

    /// Queries another replica of the shard whose last attempt failed.
    pub(crate) fn retry_shard(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        if let Some(shard) = self.queries[key].shard_to_retry.take() {
            self.dispatch_shard(cx, now, key, shard, commands);
        }
    }

    /// Queries a shard on a replica that has not been tried, puts it into the wait queue, or gives it up.
    pub(crate) fn dispatch_shard(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        shard: u32,
        commands: &mut Vec<Command>,
    ) {
        if self.try_send_shard(cx, now, key, shard, commands) == SendResult::Busy {
            self.enqueue_shard(cx, now, key, shard);
        }
    }

    fn try_send_shard(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        shard: u32,
        commands: &mut Vec<Command>,
    ) -> SendResult {
        let Some(bundle) = cx.bundle.clone() else {
            return SendResult::Done;
        };
        let query = &self.queries[key];
        let progress = &query.shards[shard as usize];
        if progress.result.is_some() {
            return SendResult::Done;
        }
        let kind = match (
            progress.running_attempts.is_empty(),
            progress.tried_upstreams.is_empty(),
        ) {
            (false, _) => SendKind::Hedge,
            (true, true) => SendKind::Primary,
            (true, false) => SendKind::Retry,
        };
        let last_failure = progress.last_failure;
        let layout = find_layout(&bundle, &query.request.service, query.index_version);
        let Some(replicas) = layout.and_then(|layout| layout.shards.get(shard as usize)) else {
            return self.give_up_shard(key, shard, kind, MissingReason::VersionGone);
        };
        if now + self.min_latency(cx, key) > self.queries[key].answer_by {
            let reason = last_failure.unwrap_or(MissingReason::Timeout);
            return self.give_up_shard(key, shard, kind, reason);
        }
        if now >= cx.fresh_until {
            return SendResult::Busy;
        }
        let trial = self.verdict(cx, now, key) != Verdict::Harmless;
        let query = &mut self.queries[key];
        if trial && !self.quarantine.allows_trial(now, query.digest) {
            query.shards[shard as usize].awaits_verdict = kind != SendKind::Hedge;
            return SendResult::Done;
        }
        let candidates = ReplicaCandidates {
            replicas,
            tried: &query.shards[shard as usize].tried_upstreams,
        };
        match cx.upstreams.pick_replica(now, &candidates) {
            Err(Unavailable::Busy) if kind == SendKind::Hedge => SendResult::Done,
            Err(Unavailable::Busy) => SendResult::Busy,
            Err(Unavailable::Missing(reason)) => {
                let reason = last_failure.unwrap_or(reason);
                self.give_up_shard(key, shard, kind, reason)
            }
            Ok(upstream) => {
                if self.charge_budget(cx, key, kind) {
                    self.count_send(kind, query_is_probing(&self.queries[key]));
                    self.send_sub_request(cx, now, (key, shard), (upstream, trial), commands);
                } else {
                    self.defer_or_give_up(cx, now, (key, shard), kind);
                }
                SendResult::Done
            }
        }
    }

    /// Adds to the retry budget for a primary, or spends from it for a hedge or retry. Returns whether the budget
    /// allows the sub-request; the baseline policy has no budget.
    fn charge_budget(&mut self, cx: &Shared, key: QueryKey, kind: SendKind) -> bool {
        let budget = &mut self.services[self.queries[key].service].budget;
        if kind == SendKind::Primary {
            let share = cx.bundle.as_ref().map_or(0.0, |b| b.policy.extra_load);
            budget.deposit(share);
            return true;
        }
        cx.policy == PolicyMode::Baseline || budget.try_withdraw()
    }

    fn count_send(&mut self, kind: SendKind, probing: bool) {
        match kind {
            SendKind::Primary => self.statistics.primaries += 1,
            SendKind::Retry => self.statistics.retries += 1,
            SendKind::Hedge => self.statistics.hedges += 1,
        }
        if probing && kind == SendKind::Primary {
            self.statistics.canaries += 1;
        }
    }

    /// Handles a hedge or retry without budget. The hedge is dropped. The retry is deferred by a query that prefers
    /// coverage; a tail query gives the shard up.
    fn defer_or_give_up(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        kind: SendKind,
    ) {
        if kind == SendKind::Hedge {
            return;
        }
        let query = &mut self.queries[key];
        if query.preference == LateShardPreference::Coverage {
            query.shards[shard as usize].awaits_budget = true;
            let at = now + self.recheck_interval(cx, key);
            return self.schedule_check_by(now, key, at);
        }
        let last_failure = query.shards[shard as usize].last_failure;
        self.settle_shard(key, shard, Err(last_failure.unwrap_or(MissingReason::Shed)));
    }

    fn send_sub_request(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        (upstream, trial): (UpstreamKey, bool),
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let limit = cx
            .bundle
            .as_ref()
            .map_or(0, |bundle| query.max_hits(bundle));
        let request = SubRequest::Search {
            shard,
            index_version: query.index_version,
            service: Arc::clone(&query.request.service),
            query: Arc::clone(&query.request.query),
            limit,
        };
        let purpose = AttemptPurpose::Shard { query: key, shard };
        let attempt = cx.send_attempt(now, purpose, upstream, (request, query.answer_by), commands);
        query.sent_any = true;
        let progress = &mut query.shards[shard as usize];
        progress.tried_upstreams.push(upstream);
        progress.running_attempts.push(attempt);
        progress.last_sent_at = now;
        progress.awaits_budget = false;
        progress.awaits_verdict = false;
        let sent = SearchAttempt {
            service: query.service,
            digest: query.digest,
            index_version: query.index_version,
            shard,
            trial,
            sent_at: now,
        };
        if trial {
            self.quarantine.record_trial_start(sent.digest);
        }
        self.attempts.insert(attempt, sent);
        self.stop_waiting(key, shard);
        if let Some(delay) = self.hedge_delay(cx, key) {
            self.schedule_check_by(now, key, now + delay);
        }
    }

    fn give_up_shard(
        &mut self,
        key: QueryKey,
        shard: u32,
        kind: SendKind,
        reason: MissingReason,
    ) -> SendResult {
        // A hedge may fail without consequence, because the attempt that it duplicates is still running.
        if kind != SendKind::Hedge {
            self.settle_shard(key, shard, Err(reason));
        }
        SendResult::Done
    }

    fn min_latency(&mut self, cx: &Shared, key: QueryKey) -> Duration {
        match cx.policy {
            PolicyMode::Adaptive => self.services[self.queries[key].service].min_sub_request_time(),
            PolicyMode::Baseline => Duration::ZERO,
        }
    }

    /// Puts a shard into the wait queue, or gives it up if the queue is full.
    fn enqueue_shard(&mut self, cx: &Shared, now: Timestamp, key: QueryKey, shard: u32) {
        let query = &mut self.queries[key];
        let progress = &mut query.shards[shard as usize];
        if progress.awaits_upstream {
            return;
        }
        if !self.wait_queue.has_room() {
            let reason = progress.last_failure.unwrap_or(MissingReason::Shed);
            self.settle_shard(key, shard, Err(reason));
            return;
        }
        let Some(bundle) = &cx.bundle else {
            return;
        };
        progress.awaits_upstream = true;
        let replicas = find_layout(bundle, &query.request.service, query.index_version)
            .and_then(|layout| layout.shards.get(shard as usize))
            .map_or(&[][..], Vec::as_slice);
        let upstreams = replicas
            .iter()
            .filter_map(|name| cx.upstreams.key(name))
            .filter(|upstream| !progress.tried_upstreams.contains(upstream));
        let waiter = Waiter {
            query: key,
            epoch: query.epoch,
            shard,
        };
        self.wait_queue.push(upstreams, waiter);
        self.next_poll.get_or_insert(now + WAIT_QUEUE_POLL_INTERVAL);
    }

    /// Sends the sub-requests that wait for an upstream until it is busy again.
    pub(crate) fn retry_waiting_for(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        upstream: UpstreamKey,
        commands: &mut Vec<Command>,
    ) {
        while let Some(waiter) = self.wait_queue.front(upstream) {
            if self.is_waiting(&waiter) {
                let Waiter { query, shard, .. } = waiter;
                if self.try_send_shard(cx, now, query, shard, commands) == SendResult::Busy {
                    return;
                }
                self.stop_waiting(query, shard);
                self.advance_if_settled(cx, now, query, commands);
            }
            self.wait_queue.drop_front(upstream, waiter);
        }
    }

    /// Sends the sub-requests that wait for any upstream with room.
    pub(crate) fn retry_all_waiting(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        for upstream in self.wait_queue.upstreams() {
            self.retry_waiting_for(cx, now, upstream, commands);
        }
        let queries = &self.queries;
        self.wait_queue
            .drop_stale(|waiter| is_waiting(queries, waiter));
        if self.wait_queue.len() > 0 {
            self.next_poll.get_or_insert(now + WAIT_QUEUE_POLL_INTERVAL);
        }
    }

    fn is_waiting(&self, waiter: &Waiter) -> bool {
        is_waiting(&self.queries, waiter)
    }

    pub(crate) fn stop_waiting(&mut self, key: QueryKey, shard: u32) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if let Some(progress) = query.shards.get_mut(shard as usize)
            && std::mem::take(&mut progress.awaits_upstream)
        {
            self.wait_queue.record_removal();
        }
    }

    /// Removes all shards of a query from the wait queue.
    pub(crate) fn leave_wait_queue(&mut self, key: QueryKey) {
        let shards = self.queries.get(key).map_or(0, |query| query.shards.len());
        for shard in 0..shards as u32 {
            self.stop_waiting(key, shard);
        }
    }

    /// Tries the shards again that waited for a verdict on the request.
    pub(crate) fn retry_shards_awaiting_verdict(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let awaiting = |query: &Query| -> Vec<u32> {
            let shards = query.shards.iter().zip(0..);
            shards
                .filter(|(p, _)| p.awaits_verdict)
                .map(|(_, n)| n)
                .collect()
        };
        for shard in self.queries.get(key).map(awaiting).unwrap_or_default() {
            self.queries[key].shards[shard as usize].awaits_verdict = false;
            self.dispatch_shard(cx, now, key, shard, commands);
        }
        self.advance_if_settled(cx, now, key, commands);
    }

    /// Sends the hedges and deferred retries that are due.
    pub(crate) fn send_due_attempts(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let due = self.queries.get(key).and_then(|query| query.next_check);
        if due.is_none_or(|at| at > now) {
            return;
        }
        let delay = self.hedge_delay(cx, key);
        for shard in 0..self.queries[key].shards.len() as u32 {
            let progress = &self.queries[key].shards[shard as usize];
            let is_open =
                progress.result.is_none() && !progress.awaits_upstream && !progress.awaits_verdict;
            let hedge = progress.running_attempts.len() == 1
                && delay.is_some_and(|delay| progress.last_sent_at + delay <= now);
            if is_open && (hedge || progress.awaits_budget) {
                self.dispatch_shard(cx, now, key, shard, commands);
            }
        }
        self.reschedule_check(cx, now, key);
        self.advance_if_settled(cx, now, key, commands);
    }

    fn hedge_delay(&mut self, cx: &Shared, key: QueryKey) -> Option<Duration> {
        if cx.policy == PolicyMode::Baseline {
            return None;
        }
        let quantile = cx.bundle.as_ref()?.policy.hedge_quantile;
        self.services[self.queries[key].service].hedge_delay(quantile)
    }

    /// Time after which a retry without budget is tried again.
    fn recheck_interval(&mut self, cx: &Shared, key: QueryKey) -> Duration {
        let delay = self
            .hedge_delay(cx, key)
            .unwrap_or(WAIT_QUEUE_POLL_INTERVAL);
        (delay / RECHECK_DIVISOR).max(MIN_RECHECK_INTERVAL)
    }

    /// Makes sure that hedges and deferred retries are considered at `at` or earlier.
    fn schedule_check_by(&mut self, now: Timestamp, key: QueryKey, at: Timestamp) {
        let query = &mut self.queries[key];
        query.next_check = Some(query.next_check.map_or(at, |next| next.min(at)));
        self.set_timer(now, key);
    }

    /// Sets the next time at which hedges and deferred retries are considered, from the state of the open shards.
    fn reschedule_check(&mut self, cx: &Shared, now: Timestamp, key: QueryKey) {
        let delay = self.hedge_delay(cx, key);
        let pause = self.recheck_interval(cx, key);
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let open = query.shards.iter().filter(|p| p.result.is_none());
        let times = open.filter_map(|progress| {
            if progress.awaits_budget {
                return Some(now + pause);
            }
            let hedgeable = progress.running_attempts.len() == 1;
            let at = delay
                .filter(|_| hedgeable)
                .map(|delay| progress.last_sent_at + delay)?;
            Some(at.max(now + pause))
        });
        query.next_check = times.min();
    }
}

fn is_waiting(queries: &SlotMap<QueryKey, Query>, waiter: &Waiter) -> bool {
    let query = queries.get(waiter.query);
    query.is_some_and(|query| {
        query.epoch == waiter.epoch && query.shards[waiter.shard as usize].awaits_upstream
    })
}

fn query_is_probing(query: &Query) -> bool {
    query.state == QueryState::Probing
}

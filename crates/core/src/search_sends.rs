//! Steps of a query that send sub-requests: canary, fan-out, hedges, retries and waiting.

use crate::{
    attempt::AttemptPurpose,
    engine::Shared,
    prelude::*,
    quarantine::Verdict,
    query::{Query, QueryEvent, QueryState},
    search_attempt::SearchAttempt,
    searches::{Searches, layout},
    upstreams::{ReplicaCandidates, Unavailable},
    wait_queue::Waiter,
};

/// Time between two tries of all waiting sub-requests; limits of upstreams also rise without a reply.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Least time between two looks at the hedges of a query.
const LEAST_CHECK: Duration = Duration::from_millis(1);

/// Share of the hedge delay after which a hedge or retry that lacked budget is tried again.
const CHECK_DIVISOR: u32 = 4;

/// Why a sub-request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Primary,
    Retry,
    Hedge,
}

/// What became of a try to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tried {
    /// Sent, given up, or not needed any more.
    Done,
    /// No upstream has room now.
    Busy,
}

impl Searches {
    /// Asks one shard first, unless the request is known to be harmless.
    pub(crate) fn send_canary(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        match self.verdict(cx, now, key) {
            Verdict::Harmless => self.step(cx, now, key, QueryEvent::CanaryPassed, commands),
            Verdict::Quarantined => self.step(cx, now, key, QueryEvent::Quarantined, commands),
            Verdict::Canary => {
                let shard = self.canary_shard(now, key);
                self.queries[key].canary = shard;
                if let Some(shard) = shard {
                    self.try_shard(cx, now, key, shard, commands);
                }
                self.settle_if_done(cx, now, key, commands);
            }
        }
    }

    /// Open shard that is asked first: the one that lost an upstream, else one that depends on the request, so that
    /// canaries spread over the shards.
    fn canary_shard(&self, now: Timestamp, key: QueryKey) -> Option<u32> {
        let query = &self.queries[key];
        let is_open = |shard: &u32| {
            let progress = query.shards.get(*shard as usize);
            progress.is_some_and(|progress| progress.result.is_none())
        };
        let suspected = self.quarantine.canary_shard(now, query.digest);
        if let Some(shard) = suspected.filter(is_open) {
            return Some(shard);
        }
        let shards = query.shards.len() as u32;
        let first = u32::from(query.digest.0[0]);
        (0..shards)
            .map(|offset| (first + offset) % shards)
            .find(is_open)
    }

    /// Asks all shards that have not been asked.
    pub(crate) fn fan_out(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        query.fanned_out = now;
        let shards = query.shards.len() as u32;
        if cx.policy == PolicyMode::Adaptive && query.prefer == LateShardPreference::Tail {
            let cut_off = self.services[query.service].tail_cut_off();
            query.cut_off_at = cut_off.map(|after| now + after);
        }
        for shard in 0..shards {
            let progress = &self.queries[key].shards[shard as usize];
            if progress.tried.is_empty() && !progress.waiting {
                self.try_shard(cx, now, key, shard, commands);
            }
        }
        self.set_timer(now, key);
        self.settle_if_done(cx, now, key, commands);
    }

    /// Asks another replica of the shard that has lost the index version.
    pub(crate) fn retry_shard(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        if let Some(shard) = self.queries[key].retry.take() {
            self.try_shard(cx, now, key, shard, commands);
        }
    }

    /// Sends a shard to a replica that has not been tried, lets it wait, or gives it up.
    pub(crate) fn try_shard(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        shard: u32,
        commands: &mut Vec<Command>,
    ) {
        if self.try_send(cx, now, key, shard, commands) == Tried::Busy {
            self.wait(cx, now, key, shard);
        }
    }

    fn try_send(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        shard: u32,
        commands: &mut Vec<Command>,
    ) -> Tried {
        let Some(bundle) = cx.bundle.clone() else {
            return Tried::Done;
        };
        let query = &self.queries[key];
        let progress = &query.shards[shard as usize];
        if progress.result.is_some() {
            return Tried::Done;
        }
        let kind = match (progress.attempts.is_empty(), progress.tried.is_empty()) {
            (false, _) => Kind::Hedge,
            (true, true) => Kind::Primary,
            (true, false) => Kind::Retry,
        };
        let failed = progress.failed;
        let layout = layout(&bundle, &query.request.service, query.index_version);
        let Some(replicas) = layout.and_then(|layout| layout.shards.get(shard as usize)) else {
            return self.give_up_shard(key, shard, kind, MissingReason::VersionGone);
        };
        if now + self.least(cx, key) > self.queries[key].answer_by {
            let reason = failed.unwrap_or(MissingReason::Timeout);
            return self.give_up_shard(key, shard, kind, reason);
        }
        if now >= cx.fresh_until {
            return Tried::Busy;
        }
        let trial = self.verdict(cx, now, key) != Verdict::Harmless;
        let query = &mut self.queries[key];
        if trial && !self.quarantine.allows_trial(now, query.digest) {
            query.shards[shard as usize].held = kind != Kind::Hedge;
            return Tried::Done;
        }
        let candidates = ReplicaCandidates {
            replicas,
            tried: &query.shards[shard as usize].tried,
        };
        match cx.upstreams.pick_replica(now, &candidates) {
            Err(Unavailable::Busy) if kind == Kind::Hedge => Tried::Done,
            Err(Unavailable::Busy) => Tried::Busy,
            Err(Unavailable::Missing(reason)) => {
                let reason = failed.unwrap_or(reason);
                self.give_up_shard(key, shard, kind, reason)
            }
            Ok(upstream) => {
                if self.fund(cx, key, kind) {
                    self.count(kind, query_is_probing(&self.queries[key]));
                    self.send(cx, now, (key, shard), (upstream, trial), commands);
                } else {
                    self.defer(cx, now, (key, shard), kind);
                }
                Tried::Done
            }
        }
    }

    /// Earns for a primary sub-request, or takes an extra one out of the budget.
    fn fund(&mut self, cx: &Shared, key: QueryKey, kind: Kind) -> bool {
        let budget = &mut self.services[self.queries[key].service].budget;
        if kind == Kind::Primary {
            let share = cx.bundle.as_ref().map_or(0.0, |b| b.policy.extra_load);
            budget.deposit(share);
            return true;
        }
        cx.policy == PolicyMode::Baseline || budget.try_withdraw()
    }

    fn count(&mut self, kind: Kind, probing: bool) {
        match kind {
            Kind::Primary => self.statistics.primaries += 1,
            Kind::Retry => self.statistics.retries += 1,
            Kind::Hedge => self.statistics.hedges += 1,
        }
        if probing && kind == Kind::Primary {
            self.statistics.canaries += 1;
        }
    }

    /// Handles a hedge or retry that lacks budget: a tail query gives a failed shard up, others try again later.
    fn defer(&mut self, cx: &Shared, now: Timestamp, (key, shard): (QueryKey, u32), kind: Kind) {
        if kind == Kind::Hedge {
            return;
        }
        let query = &mut self.queries[key];
        if query.prefer == LateShardPreference::Coverage {
            query.shards[shard as usize].unfunded = true;
            let at = now + self.check_pause(cx, key);
            return self.check_by(now, key, at);
        }
        let failed = query.shards[shard as usize].failed;
        self.settle(key, shard, Err(failed.unwrap_or(MissingReason::Shed)));
    }

    fn send(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        (key, shard): (QueryKey, u32),
        (upstream, trial): (UpstreamKey, bool),
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let limit = cx.bundle.as_ref().map_or(0, |bundle| query.limit(bundle));
        let request = SubRequest::Search {
            shard,
            index_version: query.index_version,
            service: Arc::clone(&query.request.service),
            query: Arc::clone(&query.request.query),
            limit,
        };
        let purpose = AttemptPurpose::Shard { query: key, shard };
        let attempt = cx.send(now, purpose, upstream, (request, query.answer_by), commands);
        query.sent_any = true;
        let progress = &mut query.shards[shard as usize];
        progress.tried.push(upstream);
        progress.attempts.push(attempt);
        progress.sent = now;
        progress.unfunded = false;
        progress.held = false;
        let sent = SearchAttempt {
            service: query.service,
            digest: query.digest,
            index_version: query.index_version,
            shard,
            trial,
            sent_at: now,
        };
        if trial {
            self.quarantine.trial_sent(sent.digest);
        }
        self.sent.insert(attempt, sent);
        self.stop_waiting(key, shard);
        if let Some(delay) = self.hedge_delay(cx, key) {
            self.check_by(now, key, now + delay);
        }
    }

    fn give_up_shard(
        &mut self,
        key: QueryKey,
        shard: u32,
        kind: Kind,
        reason: MissingReason,
    ) -> Tried {
        // The attempt that a hedge would have doubled is still running.
        if kind != Kind::Hedge {
            self.settle(key, shard, Err(reason));
        }
        Tried::Done
    }

    fn least(&mut self, cx: &Shared, key: QueryKey) -> Duration {
        match cx.policy {
            PolicyMode::Adaptive => self.services[self.queries[key].service].min_sub_request_time(),
            PolicyMode::Baseline => Duration::ZERO,
        }
    }

    /// Lets a shard wait for an upstream.
    fn wait(&mut self, cx: &Shared, now: Timestamp, key: QueryKey, shard: u32) {
        let query = &mut self.queries[key];
        let progress = &mut query.shards[shard as usize];
        if progress.waiting {
            return;
        }
        if !self.waiting.has_room() {
            let reason = progress.failed.unwrap_or(MissingReason::Shed);
            self.settle(key, shard, Err(reason));
            return;
        }
        let Some(bundle) = &cx.bundle else {
            return;
        };
        progress.waiting = true;
        let replicas = layout(bundle, &query.request.service, query.index_version)
            .and_then(|layout| layout.shards.get(shard as usize))
            .map_or(&[][..], Vec::as_slice);
        let upstreams = replicas
            .iter()
            .filter_map(|name| cx.upstreams.key(name))
            .filter(|upstream| !progress.tried.contains(upstream));
        let waiter = Waiter {
            query: key,
            epoch: query.epoch,
            shard,
        };
        self.waiting.push(upstreams, waiter);
        self.poll_at.get_or_insert(now + POLL_INTERVAL);
    }

    /// Sends what waits for an upstream, until the upstream is busy again.
    pub(crate) fn upstream_freed(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        upstream: UpstreamKey,
        commands: &mut Vec<Command>,
    ) {
        while let Some(waiter) = self.waiting.front(upstream) {
            if self.still_waits(&waiter) {
                let Waiter { query, shard, .. } = waiter;
                if self.try_send(cx, now, query, shard, commands) == Tried::Busy {
                    return;
                }
                self.stop_waiting(query, shard);
                self.settle_if_done(cx, now, query, commands);
            }
            self.waiting.drop_front(upstream, waiter);
        }
    }

    /// Sends what waits for any upstream that has room.
    pub(crate) fn retry_waiting(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        for upstream in self.waiting.upstreams() {
            self.upstream_freed(cx, now, upstream, commands);
        }
        let queries = &self.queries;
        self.waiting.sweep(|waiter| still_waits(queries, waiter));
        if self.waiting.len() > 0 {
            self.poll_at.get_or_insert(now + POLL_INTERVAL);
        }
    }

    fn still_waits(&self, waiter: &Waiter) -> bool {
        still_waits(&self.queries, waiter)
    }

    pub(crate) fn stop_waiting(&mut self, key: QueryKey, shard: u32) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if let Some(progress) = query.shards.get_mut(shard as usize)
            && std::mem::take(&mut progress.waiting)
        {
            self.waiting.left();
        }
    }

    /// Takes all shards of a query out of the queue.
    pub(crate) fn leave_wait_queue(&mut self, key: QueryKey) {
        let shards = self.queries.get(key).map_or(0, |query| query.shards.len());
        for shard in 0..shards as u32 {
            self.stop_waiting(key, shard);
        }
    }

    /// Tries the shards again that waited for news of the request.
    pub(crate) fn retry_held(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let held = |query: &Query| -> Vec<u32> {
            let shards = query.shards.iter().zip(0..);
            shards.filter(|(p, _)| p.held).map(|(_, n)| n).collect()
        };
        for shard in self.queries.get(key).map(held).unwrap_or_default() {
            self.queries[key].shards[shard as usize].held = false;
            self.try_shard(cx, now, key, shard, commands);
        }
        self.settle_if_done(cx, now, key, commands);
    }

    /// Sends the hedges and the deferred retries that are due.
    pub(crate) fn check_attempts(
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
            let is_open = progress.result.is_none() && !progress.waiting && !progress.held;
            let hedge = progress.attempts.len() == 1
                && delay.is_some_and(|delay| progress.sent + delay <= now);
            if is_open && (hedge || progress.unfunded) {
                self.try_shard(cx, now, key, shard, commands);
            }
        }
        self.schedule_check(cx, now, key);
        self.settle_if_done(cx, now, key, commands);
    }

    fn hedge_delay(&mut self, cx: &Shared, key: QueryKey) -> Option<Duration> {
        if cx.policy == PolicyMode::Baseline {
            return None;
        }
        let quantile = cx.bundle.as_ref()?.policy.hedge_quantile;
        self.services[self.queries[key].service].hedge_delay(quantile)
    }

    /// Time after which a hedge or retry that lacked budget is tried again.
    fn check_pause(&mut self, cx: &Shared, key: QueryKey) -> Duration {
        let delay = self.hedge_delay(cx, key).unwrap_or(POLL_INTERVAL);
        (delay / CHECK_DIVISOR).max(LEAST_CHECK)
    }

    /// Looks at the hedges and retries of a query at `at` or earlier.
    fn check_by(&mut self, now: Timestamp, key: QueryKey, at: Timestamp) {
        let query = &mut self.queries[key];
        query.next_check = Some(query.next_check.map_or(at, |next| next.min(at)));
        self.set_timer(now, key);
    }

    /// Sets the next time at which hedges and deferred retries are looked at.
    fn schedule_check(&mut self, cx: &Shared, now: Timestamp, key: QueryKey) {
        let delay = self.hedge_delay(cx, key);
        let pause = self.check_pause(cx, key);
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let open = query.shards.iter().filter(|p| p.result.is_none());
        let times = open.filter_map(|progress| {
            if progress.unfunded {
                return Some(now + pause);
            }
            let hedgeable = progress.attempts.len() == 1;
            let at = delay
                .filter(|_| hedgeable)
                .map(|delay| progress.sent + delay)?;
            Some(at.max(now + pause))
        });
        query.next_check = times.min();
    }
}

fn still_waits(queries: &SlotMap<QueryKey, Query>, waiter: &Waiter) -> bool {
    let query = queries.get(waiter.query);
    query.is_some_and(|query| {
        query.epoch == waiter.epoch && query.shards[waiter.shard as usize].waiting
    })
}

fn query_is_probing(query: &Query) -> bool {
    query.state == QueryState::Probing
}

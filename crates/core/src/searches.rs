//! All search queries of the engine, and the events that drive them.

use crate::{
    attempt::Attempt,
    engine::Shared,
    prelude::*,
    query::{Query, QueryAction, QueryEvent, QueryGuard, QueryMachine, QueryState},
    search_attempt::SearchAttempt,
    search_quarantine::{SearchQuarantine, Verdict},
    service_state::ServiceState,
    timers::Timers,
    wait_queue::WaitQueue,
};
use slotmap::SecondaryMap;
use std::collections::HashMap;

/// Queued and running queries, and what was learned about services and requests.
///
/// The steps of a query are implemented in `search_admission`, `search_sends`, `search_replies` and `search_answers`.
#[derive(Debug)]
pub(crate) struct Searches {
    pub(crate) chart: Arc<Chart<QueryMachine>>,
    pub(crate) queries: SlotMap<QueryKey, Query>,
    pub(crate) by_caller: HashMap<CallerKey, QueryKey>,
    /// Queries with the same service and query text.
    pub(crate) by_digest: HashMap<Digest, Vec<QueryKey>>,
    pub(crate) timers: Timers<QueryKey>,
    pub(crate) services: SlotMap<ServiceKey, ServiceState>,
    pub(crate) service_names: HashMap<Arc<str>, ServiceKey>,
    /// Search attempts without a reply, including cancelled ones.
    pub(crate) attempts: SecondaryMap<AttemptKey, SearchAttempt>,
    pub(crate) wait_queue: WaitQueue,
    /// Next time at which all waiting sub-requests are tried, because the limits of upstreams also rise without a
    /// reply.
    pub(crate) next_poll: Option<Timestamp>,
    pub(crate) quarantine: SearchQuarantine,
    /// Services in which a query has ended, so that a queued one may start.
    pub(crate) unblocked: Vec<ServiceKey>,
    pub(crate) statistics: EngineStatistics,
}

impl Searches {
    pub(crate) fn new() -> Result<Self, ChartError> {
        Ok(Self {
            chart: Arc::new(Chart::load()?),
            queries: SlotMap::with_key(),
            by_caller: HashMap::new(),
            by_digest: HashMap::new(),
            timers: Timers::default(),
            services: SlotMap::with_key(),
            service_names: HashMap::new(),
            attempts: SecondaryMap::new(),
            wait_queue: WaitQueue::default(),
            next_poll: None,
            quarantine: SearchQuarantine::default(),
            unblocked: Vec::new(),
            statistics: EngineStatistics::default(),
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.queries.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queries.is_empty()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let times = [self.timers.next_due(), self.next_poll];
        times.into_iter().flatten().min()
    }

    /// Retry budgets left, for the services of the bundle that have had a query, and the share of extra load.
    pub(crate) fn budgets(&self, bundle: &Bundle) -> BTreeMap<String, f64> {
        let known = bundle.services.iter().filter_map(|service| {
            let key = self.service_names.get(service.name.as_str())?;
            let left = self.services.get(*key)?.budget.balance();
            Some((format!("retry {}", service.name), left))
        });
        let share = ("retry_share".to_owned(), bundle.policy.extra_load);
        known.chain([share]).collect()
    }

    pub(crate) fn statistics(&self) -> EngineStatistics {
        let running: u32 = self.services.values().map(|s| s.admission.running()).sum();
        EngineStatistics {
            running,
            queue_length: (self.queries.len() as u32).saturating_sub(running),
            waiting_shards: self.wait_queue.len(),
            ..self.statistics
        }
    }

    pub(crate) fn handle_caller_gone(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        caller: CallerKey,
        commands: &mut Vec<Command>,
    ) {
        if let Some(&key) = self.by_caller.get(&caller) {
            self.on_event(cx, now, key, QueryEvent::CallerGone, commands);
            self.start_queued_queries(cx, now, commands);
        }
    }

    pub(crate) fn handle_wakeup(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        while let Some(key) = self.timers.pop_due(now) {
            self.queries[key].timer_at = None;
            self.handle_timer(cx, now, key, commands);
        }
        if self.next_poll.is_some_and(|at| at <= now) {
            self.next_poll = None;
            self.retry_all_waiting(cx, now, commands);
        }
        self.start_queued_queries(cx, now, commands);
    }

    /// Adopts the bundle in force. Queries whose index version it no longer lists restart or end; waiting work is
    /// tried.
    pub(crate) fn handle_configuration(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        let Some(bundle) = cx.bundle.clone() else {
            return;
        };
        for (name, &key) in &self.service_names {
            if let Some(layout) = newest_layout(&bundle, name) {
                self.services[key].update_slots(&bundle, layout);
            }
        }
        let outdated: Vec<_> = self
            .queries
            .iter()
            .filter(|(_, query)| query.is_running())
            .filter(|(_, query)| {
                find_layout(&bundle, &query.request.service, query.index_version).is_none()
            })
            .map(|(key, _)| key)
            .collect();
        for key in outdated {
            self.on_event(cx, now, key, QueryEvent::VersionGone, commands);
        }
        self.retry_all_waiting(cx, now, commands);
        self.start_queued_queries(cx, now, commands);
    }

    /// Tries waiting work again, because new work is permitted for longer.
    pub(crate) fn handle_freshness(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        self.retry_all_waiting(cx, now, commands);
        self.start_queued_queries(cx, now, commands);
    }

    pub(crate) fn handle_news(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        news: &News,
        commands: &mut Vec<Command>,
    ) {
        let News::Crash { digest, upstreams } = news else {
            return;
        };
        let lifetime = quarantine_lifetime(cx);
        self.quarantine
            .record_reported_losses(now, *digest, upstreams, lifetime);
        self.resume_queries(cx, now, *digest, commands);
        self.start_queued_queries(cx, now, commands);
    }

    /// Passes an event to a query's state chart and performs the resulting actions.
    pub(crate) fn on_event(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        event: QueryEvent,
        commands: &mut Vec<Command>,
    ) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        let state = query.state;
        let can_restart = event == QueryEvent::VersionGone && self.can_restart(cx, now, key);
        let nothing_sent = !self.queries[key].sent_any;
        let chart = Arc::clone(&self.chart);
        let step = chart.step(state, event, |guard| match guard {
            QueryGuard::CanRestart => can_restart,
            QueryGuard::NothingSent => nothing_sent,
        });
        self.queries[key].state = step.next;
        for action in step.actions {
            if !self.queries.contains_key(key) {
                return;
            }
            match action {
                QueryAction::SendCanary => self.send_canary(cx, now, key, commands),
                QueryAction::FanOut => self.fan_out(cx, now, key, commands),
                QueryAction::RetryShard => self.retry_shard(cx, now, key, commands),
                QueryAction::Restart => self.restart_on_newest_layout(cx, now, key),
                QueryAction::GiveUp => self.give_up_open_shards(key),
                QueryAction::Answer => self.answer_query(cx, now, key, commands),
                QueryAction::Refuse => self.refuse_query(key, event, commands),
                QueryAction::CancelAttempts => self.cancel_attempts(cx, key, commands),
            }
        }
        if self.queries.get(key).is_some_and(Query::has_ended) {
            self.remove_query(now, key, state);
        }
    }

    /// Removes a query that has ended; `last` is the state before its final one.
    fn remove_query(&mut self, now: Timestamp, key: QueryKey, last: QueryState) {
        self.leave_wait_queue(key);
        let Some(query) = self.queries.remove(key) else {
            return;
        };
        self.timers.reschedule(key, query.timer_at, None);
        self.by_caller.remove(&query.request.caller);
        if let Some(same) = self.by_digest.get_mut(&query.digest) {
            same.retain(|other| *other != key);
            if same.is_empty() {
                self.by_digest.remove(&query.digest);
            }
        }
        let admission = &mut self.services[query.service].admission;
        match (last, query.state) {
            (QueryState::Queued, _) => admission.queue().remove(key),
            (_, QueryState::Abandoned) => admission.record_abandoned(),
            _ => admission.record_end(now, query.time_to_half),
        }
        self.unblocked.push(query.service);
    }

    /// Handles a query whose timer has expired.
    fn handle_timer(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &self.queries[key];
        match query.state {
            QueryState::Queued => self.on_event(cx, now, key, QueryEvent::Unreachable, commands),
            _ if query.answer_by <= now => {
                self.on_event(cx, now, key, QueryEvent::DeadlinePassed, commands);
            }
            _ => {
                self.check_cut_off(cx, now, key, commands);
                self.send_due_attempts(cx, now, key, commands);
            }
        }
        self.set_timer(now, key);
    }

    /// Sets the timer of a running query to the earliest of its deadline, next check and cut-off.
    pub(crate) fn set_timer(&mut self, now: Timestamp, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if !query.is_running() {
            return;
        }
        let mut at = query.answer_by;
        // A cut-off that has passed without enough answers is checked again with each reply.
        let cut_off_at = query.cut_off_at.filter(|at| *at > now);
        for time in [query.next_check, cut_off_at].into_iter().flatten() {
            at = at.min(time);
        }
        let old = query.timer_at.replace(at);
        self.timers.reschedule(key, old, Some(at));
    }

    /// Continues the queries with a digest after the quarantine has learned something about it.
    pub(crate) fn resume_queries(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        digest: Digest,
        commands: &mut Vec<Command>,
    ) {
        let same = self.by_digest.get(&digest).cloned().unwrap_or_default();
        for key in same {
            let Some(query) = self.queries.get(key) else {
                continue;
            };
            let state = query.state;
            match (self.verdict(cx, now, key), state) {
                (Verdict::Quarantined, _) => {
                    self.on_event(cx, now, key, QueryEvent::Quarantined, commands);
                }
                (Verdict::Harmless, QueryState::Probing) => {
                    self.on_event(cx, now, key, QueryEvent::CanaryPassed, commands);
                }
                _ => self.retry_shards_awaiting_verdict(cx, now, key, commands),
            }
        }
    }

    /// How the request may be sent; the baseline policy has no quarantine.
    pub(crate) fn verdict(&self, cx: &Shared, now: Timestamp, key: QueryKey) -> Verdict {
        let query = &self.queries[key];
        if cx.policy == PolicyMode::Baseline {
            return Verdict::Harmless;
        }
        self.quarantine
            .verdict(now, query.digest, query.index_version)
    }

    /// Removes the record of an attempt that has ended; `None` if it was not a search.
    pub(crate) fn take_attempt(
        &mut self,
        key: AttemptKey,
        attempt: &Attempt,
    ) -> Option<SearchAttempt> {
        let mut sent = self.attempts.remove(key)?;
        sent.sent_at = attempt.sent_at;
        Some(sent)
    }
}

/// Time for which a request stays suspected or quarantined, from the bundle in force; 0 without a bundle.
pub(crate) fn quarantine_lifetime(cx: &Shared) -> Duration {
    let policy = cx.bundle.as_ref().map(|bundle| &bundle.policy);
    Duration::from_millis(policy.map_or(0, |policy| policy.quarantine_ms))
}

/// Layout of the newest index version of a search service.
pub(crate) fn newest_layout<'bundle>(
    bundle: &'bundle Bundle,
    service: &str,
) -> Option<&'bundle ShardLayout> {
    search_service(bundle, service)?.layouts.last()
}

/// Layout of one index version of a search service.
pub(crate) fn find_layout<'bundle>(
    bundle: &'bundle Bundle,
    service: &str,
    version: u64,
) -> Option<&'bundle ShardLayout> {
    let layouts = &search_service(bundle, service)?.layouts;
    layouts.iter().find(|l| l.index_version == version)
}

fn search_service<'bundle>(bundle: &'bundle Bundle, service: &str) -> Option<&'bundle Service> {
    bundle
        .services
        .iter()
        .find(|s| s.name == service && s.kind == ServiceKind::Search)
}

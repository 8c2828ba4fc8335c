//! Queries from arrival to answer.

use crate::{
    attempt::Attempt,
    engine::Shared,
    prelude::*,
    quarantine::{Quarantine, Verdict},
    query::{Query, QueryAction, QueryEvent, QueryGuard, QueryMachine, QueryState},
    search_attempt::SearchAttempt,
    service_state::ServiceState,
    timers::Timers,
    wait_queue::WaitQueue,
};
use slotmap::SecondaryMap;
use std::collections::HashMap;

/// Running and waiting queries and what was learned from them.
///
/// The steps of a query are in the modules `search_admission`, `search_sends`, `search_replies` and `search_answers`.
#[derive(Debug)]
pub(crate) struct Searches {
    pub(crate) chart: Arc<Chart<QueryMachine>>,
    pub(crate) queries: SlotMap<QueryKey, Query>,
    pub(crate) by_caller: HashMap<CallerKey, QueryKey>,
    /// Queries with the same service and text.
    pub(crate) by_digest: HashMap<Digest, Vec<QueryKey>>,
    pub(crate) timers: Timers<QueryKey>,
    pub(crate) services: SlotMap<ServiceKey, ServiceState>,
    pub(crate) service_names: HashMap<Arc<str>, ServiceKey>,
    /// Search attempts that are running, cancelled ones included.
    pub(crate) sent: SecondaryMap<AttemptKey, SearchAttempt>,
    pub(crate) waiting: WaitQueue,
    /// Next time at which all waiting sub-requests are tried, because limits also rise without a reply.
    pub(crate) poll_at: Option<Timestamp>,
    pub(crate) quarantine: Quarantine,
    /// Services of which a query has ended or may start.
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
            sent: SecondaryMap::new(),
            waiting: WaitQueue::default(),
            poll_at: None,
            quarantine: Quarantine::default(),
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
        let times = [self.timers.next(), self.poll_at];
        times.into_iter().flatten().min()
    }

    /// Budgets for the status: those of the bundle's services that have had a query, and their share.
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
            waiting_shards: self.waiting.len(),
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
            self.step(cx, now, key, QueryEvent::CallerGone, commands);
            self.admit_waiting(cx, now, commands);
        }
    }

    pub(crate) fn handle_wakeup(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        while let Some(key) = self.timers.pop_due(now) {
            self.queries[key].timer = None;
            self.due(cx, now, key, commands);
        }
        if self.poll_at.is_some_and(|at| at <= now) {
            self.poll_at = None;
            self.retry_waiting(cx, now, commands);
        }
        self.admit_waiting(cx, now, commands);
    }

    /// Restarts or ends the queries whose index version the bundle no longer lists, and tries what waits.
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
        let lost: Vec<_> = self
            .queries
            .iter()
            .filter(|(_, query)| query.is_running())
            .filter(|(_, query)| {
                layout(&bundle, &query.request.service, query.index_version).is_none()
            })
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.step(cx, now, key, QueryEvent::VersionGone, commands);
        }
        self.retry_waiting(cx, now, commands);
        self.admit_waiting(cx, now, commands);
    }

    /// Tries what waits, because new work is permitted for longer.
    pub(crate) fn handle_freshness(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        self.retry_waiting(cx, now, commands);
        self.admit_waiting(cx, now, commands);
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
        self.quarantine.reported(now, *digest, upstreams, lifetime);
        self.resume(cx, now, *digest, commands);
        self.admit_waiting(cx, now, commands);
    }

    /// Hands an event to the chart of a query and carries out the actions.
    pub(crate) fn step(
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
                QueryAction::Restart => self.restart(cx, now, key),
                QueryAction::GiveUp => self.give_up(key),
                QueryAction::Answer => self.answer(cx, now, key, commands),
                QueryAction::Refuse => self.refuse(key, event, commands),
                QueryAction::CancelAttempts => self.cancel_attempts(cx, key, commands),
            }
        }
        if self.queries.get(key).is_some_and(Query::has_ended) {
            self.remove(now, key, state);
        }
    }

    /// Drops a query that has ended; `last` is its state before that.
    fn remove(&mut self, now: Timestamp, key: QueryKey, last: QueryState) {
        self.leave_wait_queue(key);
        let Some(query) = self.queries.remove(key) else {
            return;
        };
        self.timers.set(key, query.timer, None);
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
            _ => admission.record_end(now, query.half),
        }
        self.unblocked.push(query.service);
    }

    /// Handles a query whose timer has come.
    fn due(&mut self, cx: &mut Shared, now: Timestamp, key: QueryKey, commands: &mut Vec<Command>) {
        let query = &self.queries[key];
        match query.state {
            QueryState::Queued => self.step(cx, now, key, QueryEvent::Unreachable, commands),
            _ if query.answer_by <= now => {
                self.step(cx, now, key, QueryEvent::DeadlinePassed, commands);
            }
            _ => {
                self.check_cut_off(cx, now, key, commands);
                self.check_attempts(cx, now, key, commands);
            }
        }
        self.set_timer(now, key);
    }

    /// Sets the timer of a running query to the earliest of its times.
    pub(crate) fn set_timer(&mut self, now: Timestamp, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if !query.is_running() {
            return;
        }
        let mut at = query.answer_by;
        // A cut-off that has passed without enough answers is looked at with each reply.
        let cut_off_at = query.cut_off_at.filter(|at| *at > now);
        for time in [query.next_check, cut_off_at].into_iter().flatten() {
            at = at.min(time);
        }
        let old = query.timer.replace(at);
        self.timers.set(key, old, Some(at));
    }

    /// Goes on with the queries of one digest after something was learned about it.
    pub(crate) fn resume(
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
                    self.step(cx, now, key, QueryEvent::Quarantined, commands);
                }
                (Verdict::Harmless, QueryState::Probing) => {
                    self.step(cx, now, key, QueryEvent::CanaryPassed, commands);
                }
                _ => self.retry_held(cx, now, key, commands),
            }
        }
    }

    /// What is known about a query; everything is harmless to the baseline.
    pub(crate) fn verdict(&self, cx: &Shared, now: Timestamp, key: QueryKey) -> Verdict {
        let query = &self.queries[key];
        if cx.policy == PolicyMode::Baseline {
            return Verdict::Harmless;
        }
        self.quarantine
            .verdict(now, query.digest, query.index_version)
    }

    /// Takes an attempt that has ended out of the record; `None` if it was no search.
    pub(crate) fn take_sent(
        &mut self,
        key: AttemptKey,
        attempt: &Attempt,
    ) -> Option<SearchAttempt> {
        let mut sent = self.sent.remove(key)?;
        sent.sent_at = attempt.sent_at;
        Some(sent)
    }
}

/// Time that a digest stays in quarantine.
pub(crate) fn quarantine_lifetime(cx: &Shared) -> Duration {
    let policy = cx.bundle.as_ref().map(|bundle| &bundle.policy);
    Duration::from_millis(policy.map_or(0, |policy| policy.quarantine_ms))
}

/// Newest layout of a search service.
pub(crate) fn newest_layout<'bundle>(
    bundle: &'bundle Bundle,
    service: &str,
) -> Option<&'bundle ShardLayout> {
    search_service(bundle, service)?.layouts.last()
}

/// Layout of one index version of a search service.
pub(crate) fn layout<'bundle>(
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

//! Steps of a query from its arrival to its start: validation, admission and the queue.

use crate::{
    admission::AdmissionDecision,
    engine::Shared,
    hit_merger::HitMerger,
    prelude::*,
    query::{Query, QueryEvent},
    search_quarantine::Verdict,
    searches::{Searches, newest_layout},
    service_state::ServiceState,
};

/// The deadline is divided by this to get the time reserved for merging and the reply.
const REPLY_RESERVE_DIVISOR: u32 = 20;

/// Upper bound of the time reserved for merging and the reply; merging 230 shards takes under 1 ms.
const MAX_REPLY_RESERVE: Duration = Duration::from_millis(5);

/// Upper bound of the deadline under the baseline policy.
const BASELINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Kind of a refusal and the detail reported to the caller.
type RefusalReason = (RefusalKind, String);

impl Searches {
    pub(crate) fn handle_search(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: SearchRequest,
        commands: &mut Vec<Command>,
    ) {
        let caller = request.caller;
        let request_id = Arc::clone(&request.request_id);
        let workspace = Arc::clone(&request.workspace);
        let refuse = |(kind, detail), workspace, commands: &mut Vec<Command>| {
            let refusal = Refusal {
                request_id,
                kind,
                execution: Execution::NotRun,
                detail,
            };
            commands.push(Command::Refuse {
                caller,
                workspace,
                refusal,
            });
        };
        match self.validate(cx, now, request) {
            Err(refused) => refuse(refused, Arc::from(""), commands),
            Ok(query) => {
                if let Err(refused) = self.admit(cx, now, query, commands) {
                    refuse(refused, workspace, commands);
                }
            }
        }
        self.start_queued_queries(cx, now, commands);
    }

    /// Checks the configuration, deadline, credentials and service of a request, and creates its query.
    fn validate(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        request: SearchRequest,
    ) -> Result<Query, RefusalReason> {
        let (bundle, deadline) = cx.check_new_work(now, request.deadline)?;
        let workspace = cx.authenticate_or_refuse(&request.workspace, &request.token)?;
        let layout = newest_layout(&bundle, &request.service)
            .ok_or_else(|| unknown_service(&request.service))?;
        let service = self.get_or_insert_service(&bundle, layout, &request.service);
        let class = &cx.workspaces[workspace].class;
        let preference = bundle
            .classes
            .iter()
            .find(|c| c.name == *class)
            .map_or(LateShardPreference::Coverage, |c| c.prefer);
        let usable = match cx.policy {
            PolicyMode::Adaptive => {
                deadline.saturating_sub((deadline / REPLY_RESERVE_DIVISOR).min(MAX_REPLY_RESERVE))
            }
            PolicyMode::Baseline => deadline.min(BASELINE_TIMEOUT),
        };
        Ok(Query {
            state: self.chart.initial(),
            service,
            digest: Digest::of(format!("{}\n{}", request.service, request.query).as_bytes()),
            preference,
            arrived_at: now,
            started_at: now,
            answer_by: now + usable,
            fanned_out_at: now,
            cut_off_at: None,
            next_check: None,
            timer_at: None,
            index_version: layout.index_version,
            epoch: 0,
            shards: Vec::new(),
            open_shards: 0,
            answered_shards: 0,
            time_to_half: None,
            canary_shard: None,
            shard_to_retry: None,
            sent_any: false,
            merger: HitMerger::new("", 0),
            request,
        })
    }

    fn get_or_insert_service(
        &mut self,
        bundle: &Bundle,
        layout: &ShardLayout,
        name: &Arc<str>,
    ) -> ServiceKey {
        if let Some(&key) = self.service_names.get(name) {
            return key;
        }
        let key = self.services.insert(ServiceState::new(bundle, layout));
        self.service_names.insert(Arc::clone(name), key);
        key
    }

    /// Starts or queues the query, or refuses it.
    fn admit(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        query: Query,
        commands: &mut Vec<Command>,
    ) -> Result<(), RefusalReason> {
        if cx.policy == PolicyMode::Baseline {
            self.insert_and_start(cx, now, query, commands);
            return Ok(());
        }
        let verdict = self
            .quarantine
            .verdict(now, query.digest, query.index_version);
        if verdict == Verdict::Quarantined {
            let detail = "this request is suspected to crash upstreams";
            return Err((RefusalKind::Quarantined, detail.to_owned()));
        }
        let state = &mut self.services[query.service];
        let needed = state.expected_query_time();
        let left = query.answer_by.since(now);
        match state
            .admission
            .decide(&query.request.workspace, left, needed)
        {
            AdmissionDecision::Start => self.insert_and_start(cx, now, query, commands),
            AdmissionDecision::Wait => self.enqueue_query(cx, now, query, needed, commands)?,
            AdmissionDecision::Unreachable => {
                let detail = format!(
                    "the deadline leaves {} ms, but the query needs {} ms after the queue",
                    left.as_millis(),
                    needed.as_millis()
                );
                return Err((RefusalKind::DeadlineUnreachable, detail));
            }
        }
        Ok(())
    }

    fn insert_and_start(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        query: Query,
        commands: &mut Vec<Command>,
    ) {
        let key = self.insert_query(query);
        self.start_query(cx, now, key, commands);
    }

    fn insert_query(&mut self, query: Query) -> QueryKey {
        let (caller, digest) = (query.request.caller, query.digest);
        let key = self.queries.insert(query);
        self.by_caller.insert(caller, key);
        self.by_digest.entry(digest).or_default().push(key);
        key
    }

    fn enqueue_query(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        query: Query,
        needed: Duration,
        commands: &mut Vec<Command>,
    ) -> Result<(), RefusalReason> {
        let Some(bundle) = cx.bundle.clone() else {
            return Ok(());
        };
        let workspace = Arc::clone(&query.request.workspace);
        let service = query.service;
        if self.statistics().queue_length >= bundle.limits.queue_length {
            let queue = self.services[service].admission.queue();
            let Some(displaced) = queue.displace_for(&workspace) else {
                let detail = "the queue of waiting queries is full".to_owned();
                return Err((RefusalKind::Overloaded, detail));
            };
            self.on_event(cx, now, displaced, QueryEvent::Displaced, commands);
        }
        let class = class_of(&bundle, &workspace);
        let at = query.answer_by - needed;
        let key = self.insert_query(query);
        self.queries[key].timer_at = Some(at);
        self.timers.reschedule(key, None, Some(at));
        let class = class.map_or(("", 1), |class| (class.name.as_str(), class.weight));
        self.services[service]
            .admission
            .queue()
            .push(class, &workspace, key);
        Ok(())
    }

    /// Starts queued queries of the services in which a query has ended.
    pub(crate) fn start_queued_queries(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        while let Some(service) = self.unblocked.pop() {
            while let Some(key) = self.services[service].admission.take_next() {
                let needed = self.services[service].expected_query_time();
                let idle = self.services[service].admission.running() == 0;
                let left = self.queries[key].answer_by.since(now);
                if left < needed && !idle {
                    self.on_event(cx, now, key, QueryEvent::Unreachable, commands);
                } else {
                    self.start_query(cx, now, key, commands);
                }
            }
        }
    }

    /// Pins the newest index version and lets the query enter its chart.
    fn start_query(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: QueryKey,
        commands: &mut Vec<Command>,
    ) {
        let query = &mut self.queries[key];
        let bundle = cx.bundle.clone();
        let layout = bundle
            .as_ref()
            .and_then(|bundle| newest_layout(bundle, &query.request.service));
        let (Some(bundle), Some(layout)) = (&bundle, layout) else {
            return self.on_event(cx, now, key, QueryEvent::Unreachable, commands);
        };
        query.pin_layout(layout, query.max_hits(bundle));
        query.started_at = now;
        query.fanned_out_at = now;
        self.services[query.service].admission.record_start();
        self.on_event(cx, now, key, QueryEvent::Admitted, commands);
        self.set_timer(now, key);
    }

    /// Refuses a query for which no sub-request was sent.
    pub(crate) fn refuse_query(
        &mut self,
        key: QueryKey,
        event: QueryEvent,
        commands: &mut Vec<Command>,
    ) {
        let (kind, detail) = match event {
            QueryEvent::Quarantined => (
                RefusalKind::Quarantined,
                "this request is suspected to crash upstreams",
            ),
            QueryEvent::Displaced => (
                RefusalKind::Overloaded,
                "the queue is full and the tenant has more than its share of it",
            ),
            _ => (
                RefusalKind::DeadlineUnreachable,
                "the query waited until its deadline could no longer be met",
            ),
        };
        let request = &self.queries[key].request;
        let refusal = Refusal {
            request_id: Arc::clone(&request.request_id),
            kind,
            execution: Execution::NotRun,
            detail: detail.to_owned(),
        };
        commands.push(Command::Refuse {
            caller: request.caller,
            workspace: Arc::clone(&request.workspace),
            refusal,
        });
    }
}

fn class_of<'bundle>(bundle: &'bundle Bundle, workspace: &str) -> Option<&'bundle WorkspaceClass> {
    let workspace = bundle.workspaces.iter().find(|t| t.name == workspace)?;
    bundle.classes.iter().find(|c| c.name == workspace.class)
}

fn unknown_service(service: &str) -> RefusalReason {
    let detail = format!("no search service \"{service}\"");
    (RefusalKind::UnknownService, detail)
}

//! Steps of a query from its arrival to its start.

use crate::{
    admission::AdmissionDecision,
    engine::Shared,
    hit_merger::HitMerger,
    prelude::*,
    quarantine::Verdict,
    query::{Query, QueryEvent},
    searches::{Searches, newest_layout},
    service_state::ServiceState,
};

/// Share of the deadline that is kept for merging and the reply.
const RESERVE_DIVISOR: u32 = 20;

/// Most time that is kept for merging and the reply; merging 230 shards takes under 1 ms.
const MOST_RESERVE: Duration = Duration::from_millis(5);

/// Timeout of the baseline policy.
const BASELINE_TIMEOUT: Duration = Duration::from_secs(1);

/// A kind of refusal and what was found.
type Refused = (RefusalKind, String);

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
        let tenant = Arc::clone(&request.tenant);
        let refuse = |(kind, detail), tenant, commands: &mut Vec<Command>| {
            let refusal = Refusal {
                request_id,
                kind,
                execution: Execution::NotRun,
                detail,
            };
            commands.push(Command::Refuse {
                caller,
                tenant,
                refusal,
            });
        };
        match self.accept(cx, now, request) {
            Err(refused) => refuse(refused, Arc::from(""), commands),
            Ok(query) => {
                if let Err(refused) = self.admit(cx, now, query, commands) {
                    refuse(refused, tenant, commands);
                }
            }
        }
        self.admit_waiting(cx, now, commands);
    }

    /// Checks a request and makes a query of it.
    fn accept(
        &mut self,
        cx: &Shared,
        now: Timestamp,
        request: SearchRequest,
    ) -> Result<Query, Refused> {
        let (bundle, deadline) = cx.check_new_work(now, request.deadline)?;
        let tenant = cx.authenticate_or_refuse(&request.tenant, &request.token)?;
        let layout =
            newest_layout(&bundle, &request.service).ok_or_else(|| unknown(&request.service))?;
        let service = self.service(&bundle, layout, &request.service);
        let class = &cx.tenants[tenant].class;
        let prefer = bundle
            .classes
            .iter()
            .find(|c| c.name == *class)
            .map_or(LateShardPreference::Coverage, |c| c.prefer);
        let usable = match cx.policy {
            PolicyMode::Adaptive => {
                deadline.saturating_sub((deadline / RESERVE_DIVISOR).min(MOST_RESERVE))
            }
            PolicyMode::Baseline => deadline.min(BASELINE_TIMEOUT),
        };
        Ok(Query {
            state: self.chart.initial(),
            service,
            digest: Digest::of(format!("{}\n{}", request.service, request.query).as_bytes()),
            prefer,
            arrived: now,
            started: now,
            answer_by: now + usable,
            fanned_out: now,
            cut_off_at: None,
            next_check: None,
            timer: None,
            index_version: layout.index_version,
            epoch: 0,
            shards: Vec::new(),
            open_shards: 0,
            answered: 0,
            half: None,
            canary: None,
            retry: None,
            sent_any: false,
            merge: HitMerger::new("", 0),
            request,
        })
    }

    fn service(&mut self, bundle: &Bundle, layout: &ShardLayout, name: &Arc<str>) -> ServiceKey {
        if let Some(&key) = self.service_names.get(name) {
            return key;
        }
        let key = self.services.insert(ServiceState::new(bundle, layout));
        self.service_names.insert(Arc::clone(name), key);
        key
    }

    /// Starts the query, lets it wait, or refuses it.
    fn admit(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        query: Query,
        commands: &mut Vec<Command>,
    ) -> Result<(), Refused> {
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
        match state.admission.decide(&query.request.tenant, left, needed) {
            AdmissionDecision::Start => self.insert_and_start(cx, now, query, commands),
            AdmissionDecision::Wait => self.enqueue(cx, now, query, needed, commands)?,
            AdmissionDecision::Unreachable => {
                let detail = format!(
                    "{} ms are left and the service needs {} ms after the queue",
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
        let key = self.insert(query);
        self.start(cx, now, key, commands);
    }

    fn insert(&mut self, query: Query) -> QueryKey {
        let (caller, digest) = (query.request.caller, query.digest);
        let key = self.queries.insert(query);
        self.by_caller.insert(caller, key);
        self.by_digest.entry(digest).or_default().push(key);
        key
    }

    fn enqueue(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        query: Query,
        needed: Duration,
        commands: &mut Vec<Command>,
    ) -> Result<(), Refused> {
        let Some(bundle) = cx.bundle.clone() else {
            return Ok(());
        };
        let tenant = Arc::clone(&query.request.tenant);
        let service = query.service;
        if self.statistics().queue_length >= bundle.limits.queue_length {
            let queue = self.services[service].admission.queue();
            let Some(displaced) = queue.displace_for(&tenant) else {
                let detail = "the queue of waiting queries is full".to_owned();
                return Err((RefusalKind::Overloaded, detail));
            };
            self.step(cx, now, displaced, QueryEvent::Displaced, commands);
        }
        let class = class_of(&bundle, &tenant);
        let at = query.answer_by - needed;
        let key = self.insert(query);
        self.queries[key].timer = Some(at);
        self.timers.set(key, None, Some(at));
        let class = class.map_or(("", 1), |class| (class.name.as_str(), class.weight));
        self.services[service]
            .admission
            .queue()
            .push(class, &tenant, key);
        Ok(())
    }

    /// Starts waiting queries of the services where one may start.
    pub(crate) fn admit_waiting(
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
                    self.step(cx, now, key, QueryEvent::Unreachable, commands);
                } else {
                    self.start(cx, now, key, commands);
                }
            }
        }
    }

    /// Pins the newest index version and takes the first steps.
    fn start(
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
            return self.step(cx, now, key, QueryEvent::Unreachable, commands);
        };
        query.pin(layout, query.limit(bundle));
        query.started = now;
        query.fanned_out = now;
        self.services[query.service].admission.record_start();
        self.step(cx, now, key, QueryEvent::Admitted, commands);
        self.set_timer(now, key);
    }

    /// Refuses a query that has sent nothing.
    pub(crate) fn refuse(&mut self, key: QueryKey, event: QueryEvent, commands: &mut Vec<Command>) {
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
            tenant: Arc::clone(&request.tenant),
            refusal,
        });
    }
}

fn class_of<'bundle>(bundle: &'bundle Bundle, tenant: &str) -> Option<&'bundle TenantClass> {
    let tenant = bundle.tenants.iter().find(|t| t.name == tenant)?;
    bundle.classes.iter().find(|c| c.name == tenant.class)
}

fn unknown(service: &str) -> Refused {
    let detail = format!("no search service \"{service}\"");
    (RefusalKind::UnknownService, detail)
}

//! Admission of requests: routing, identification, refusals before anything is sent.

use crate::{
    forward_flow::{Flow, ShardAttempts, ShardMerge},
    prelude::*,
    record_merge::RecordMerge,
};

/// Share of a route's latency objective after which a refused caller should retry.
const RETRY_AFTER_OBJECTIVE_SHARE: f64 = 0.25;

/// Retry time given to the caller of a quarantined request.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Retry time given to a caller when the node has no configuration or the service has no upstream.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry time given to a caller whose key can't be accepted until the registry has confirmed the configuration.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the latency objective that the queues of upstreams may take before requests are refused, for urgent routes
/// and for all others. A request that would be late uses slots that another one needs to be in time.
const MAX_QUEUE_SHARES: (f64, f64) = (1.0, 0.7);

/// Rank up to which a route is urgent, so that its requests are refused last.
const MAX_URGENT_RANK: u32 = 1;

/// A request that awaits admission.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) caller: CallerKey,
    pub(crate) request: Arc<ForwardRequest>,
    /// When it had arrived completely, or later.
    pub(crate) arrived_at: BootTime,
}

/// What the admission of a request has found out about it.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) arrived_at: Timestamp,
    pub(crate) table: Arc<RoutingTable>,
    pub(crate) route: RouteIndex,
    pub(crate) identity: CallerIdentity,
    pub(crate) shards: Vec<ShardAttempts>,
    pub(crate) deadline: AnswerDeadline,
    /// Rank under overload.
    pub(crate) rank: u32,
}

/// Why a request is refused before anything is sent.
struct Rejection {
    refusal: ForwardRefusal,
    /// Boxed to keep the error small.
    telemetry: Option<Box<ForwardTelemetry>>,
}

impl Rejection {
    /// A refusal that is not recorded: nothing is known that would explain it.
    fn unrecorded(refusal: ForwardRefusal) -> Self {
        Self {
            refusal,
            telemetry: None,
        }
    }

    fn unavailable(retry_after: Duration, telemetry: ForwardTelemetry) -> Self {
        Self {
            refusal: ForwardRefusal::Unavailable { retry_after },
            telemetry: Some(Box::new(telemetry)),
        }
    }
}

impl Forwarder {
    /// Admits or refuses a request. One whose quota is not known yet waits, and is sent once it is.
    pub(crate) fn admit_request(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let admission = match self.check_admission(now, arrival, commands) {
            Ok(admission) => admission,
            Err(rejection) => return reject(arrival, rejection, commands),
        };
        // After the other refusals, so that a request which does not run is not charged.
        if let Some(admission) = self.charge_quota(now, arrival, admission, commands) {
            self.start_flow(now, arrival, admission, commands);
        }
    }

    /// Sends a request that has waited for its quota, unless the node has begun to shut down meanwhile.
    pub(crate) fn resume_request(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        mut admission: Admission,
        commands: &mut Vec<ForwardCommand>,
    ) {
        if let Some(schedule) = self.shutdown {
            admission.deadline.apply_shutdown(schedule);
        }
        let route = admission.table.route(admission.route);
        match self.check_shutdown(now, route, &arrival.request, admission.deadline) {
            Ok(()) => self.start_flow(now, arrival, admission, commands),
            Err(rejection) => reject(arrival, rejection, commands),
        }
    }

    /// Decides whether a request can be sent, but for its quota.
    fn check_admission(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        commands: &mut Vec<ForwardCommand>,
    ) -> Result<Admission, Rejection> {
        let (caller, request) = (arrival.caller, &arrival.request);
        let Some(table) = self.table.clone() else {
            let retry_after = NOT_READY_RETRY_AFTER;
            return Err(Rejection::unrecorded(ForwardRefusal::NotReady {
                retry_after,
            }));
        };
        let Some(index) = table.find(&request.host, request.path()) else {
            return Err(Rejection::unrecorded(ForwardRefusal::NoRoute));
        };
        let route = table.route(index);
        let IdentifiedCaller { identity, rank } = self.identify_caller(&table, route, arrival)?;
        if let CallerIdentity::Workspace(workspace) = &identity {
            let workspace = Arc::clone(workspace);
            commands.push(ForwardCommand::CountForWorkspace { caller, workspace });
        }
        let (request_id, route_name) = (|| Arc::clone(&request.id), || Arc::clone(&route.name));
        if let Some(digest) = self.quarantined_digest(now, request, &identity) {
            let request = request_id();
            let telemetry = ForwardTelemetry::RefusedQuarantined { request, digest };
            return Err(Rejection::unavailable(QUARANTINE_RETRY_AFTER, telemetry));
        }
        let shards = self.new_shards(route);
        if let Some(retry_after) = self.rest_of_all_replicas(now, route, &shards) {
            let telemetry = ForwardTelemetry::RefusedResting {
                request: request_id(),
                route: route_name(),
                retry_after,
            };
            return Err(Rejection::unavailable(retry_after, telemetry));
        }
        let rank = self.rank_in_turn(&identity, rank.unwrap_or(route.rank));
        let fits = self.fits_objective(now, route, rank, &shards);
        self.record_turn(now, &identity, fits);
        if !fits {
            let telemetry = ForwardTelemetry::RefusedOverloaded {
                request: request_id(),
                route: route_name(),
                rank,
            };
            let retry_after = route.objective.mul_f64(RETRY_AFTER_OBJECTIVE_SHARE);
            return Err(Rejection::unavailable(retry_after, telemetry));
        }
        let wait = request
            .time_left
            .saturating_sub(self.settings.answer_margin);
        let deadline = AnswerDeadline::new(now + wait.min(route.timeout), self.shutdown);
        self.check_shutdown(now, route, request, deadline)?;
        Ok(Admission {
            arrived_at: now,
            table,
            route: index,
            identity,
            shards,
            deadline,
            rank,
        })
    }

    /// Refuses a request that could not be answered before a shutdown ends.
    fn check_shutdown(
        &self,
        now: Timestamp,
        route: &Route,
        request: &ForwardRequest,
        deadline: AnswerDeadline,
    ) -> Result<(), Rejection> {
        let Some(retry_after) = self.shutdown_refusal(now, route, deadline) else {
            return Ok(());
        };
        let telemetry = ForwardTelemetry::RefusedStopping {
            request: Arc::clone(&request.id),
            route: Arc::clone(&route.name),
            time_left: deadline.at().since(now),
        };
        Err(Rejection::unavailable(retry_after, telemetry))
    }

    /// Sends an admitted request to its shards.
    fn start_flow(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        admission: Admission,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let (caller, request) = (arrival.caller, Arc::clone(&arrival.request));
        let route = admission.table.route(admission.route);
        let longest = self
            .longest_wait
            .entry(Arc::clone(&route.name))
            .or_default();
        *longest = (*longest).max(request.time_left);
        // The objective counts from the caller's first attempt at this request.
        let waited = longest.saturating_sub(request.time_left);
        let objective = route
            .objective
            .saturating_sub(waited + self.settings.answer_margin);
        let flow = self.flows.insert(Flow {
            state: self.flow_chart.initial(),
            caller,
            started_at: admission.arrived_at,
            accept_partial_at: admission.arrived_at + objective,
            deadline: admission.deadline,
            rank: admission.rank,
            accepts_partial: false,
            shards: admission.shards,
            merge: new_merge(route),
            may_have_run: false,
            failure: None,
            reply: None,
            timer: None,
            route: admission.route,
            table: admission.table,
            identity: admission.identity,
            request,
        });
        self.callers.insert(caller, flow);
        for shard in 0..self.flows[flow].shards.len() {
            self.start_shard(now, flow, shard, commands);
        }
        self.check_completion(now, flow, commands);
    }

    /// Who sends a request, or why it is refused. A configuration that has not been confirmed for too long decides about no
    /// key. A request without a key does not depend on one, and a public route is open whatever the key.
    fn identify_caller(
        &self,
        table: &RoutingTable,
        route: &Route,
        arrival: &Arrival,
    ) -> Result<IdentifiedCaller, Rejection> {
        let (request, arrived_at) = (&arrival.request, arrival.arrived_at);
        let depends_on_key = table.workspaces.is_some()
            && !route.public
            && matches!(request.credential, Credential::Key(_));
        if depends_on_key && !self.key_lease.is_valid(arrived_at) {
            let telemetry = ForwardTelemetry::RefusedUnconfirmed {
                request: Arc::clone(&request.id),
                route: Arc::clone(&route.name),
                version: table.version,
                age: self.key_lease.age(arrived_at),
            };
            let retry_after = UNCONFIRMED_RETRY_AFTER;
            return Err(Rejection::unavailable(retry_after, telemetry));
        }
        identify(table, route, &request.credential).ok_or_else(|| {
            let telemetry = ForwardTelemetry::RefusedUnauthenticated {
                request: Arc::clone(&request.id),
                route: Arc::clone(&route.name),
                credential: request.credential,
                version: table.version,
            };
            Rejection {
                refusal: ForwardRefusal::Unauthenticated,
                telemetry: Some(Box::new(telemetry)),
            }
        })
    }

    /// Rank of a request under overload. Workspaces take turns: one that has been refused much more often than the others
    /// is as urgent as any.
    fn rank_in_turn(&self, identity: &CallerIdentity, rank: u32) -> u32 {
        match identity {
            CallerIdentity::Workspace(workspace)
                if self.served_shares.is_underserved(workspace) =>
            {
                rank.min(MAX_URGENT_RANK)
            }
            _ => rank,
        }
    }

    fn record_turn(&mut self, now: Timestamp, identity: &CallerIdentity, admitted: bool) {
        if let CallerIdentity::Workspace(workspace) = identity {
            self.served_shares.record(now, workspace, admitted);
        }
    }

    /// Digest of the request if it is quarantined.
    fn quarantined_digest(
        &mut self,
        now: Timestamp,
        request: &ForwardRequest,
        identity: &CallerIdentity,
    ) -> Option<Digest> {
        if self.quarantine.is_empty() {
            return None;
        }
        let digest = request.digest(identity);
        self.quarantine.must_refuse(now, digest).then_some(digest)
    }

    /// Time after which enough shards have a replica that takes requests again, if too few have one now because all of
    /// theirs want none. `None` if the request can be sent.
    fn rest_of_all_replicas(
        &self,
        now: Timestamp,
        route: &Route,
        shards: &[ShardAttempts],
    ) -> Option<Duration> {
        let mut rests: Vec<Duration> = shards
            .iter()
            .filter_map(|shard| self.service_rest_left(now, route, shard.service))
            .collect();
        let answering = shards.len() - rests.len();
        let missing = route.needed_shards().saturating_sub(answering);
        rests.sort();
        missing
            .checked_sub(1)
            .and_then(|last| rests.get(last).copied())
    }

    /// Time until the first replica of a service takes requests again; `None` if one does now, or if there is none that
    /// will.
    fn service_rest_left(
        &self,
        now: Timestamp,
        route: &Route,
        service: ServiceKey,
    ) -> Option<Duration> {
        let mut shortest = None;
        for key in &self.services[service].replicas {
            let replica = &self.replicas[*key];
            let excluded = replica.state == ReplicaState::Leaving
                || self.zone_obstacle(route, &replica.entry.zone).is_some();
            if excluded {
                continue;
            }
            let left = replica.rest_left(now)?;
            shortest = Some(shortest.map_or(left, |other: Duration| other.min(left)));
        }
        shortest
    }

    /// Whether enough shards can answer within the objective, judged by the queues of their upstreams. Shards without a
    /// warm upstream are assumed to fit, as nothing is known about their queues.
    fn fits_objective(
        &self,
        now: Timestamp,
        route: &Route,
        rank: u32,
        shards: &[ShardAttempts],
    ) -> bool {
        let Some(times) = self.reply_times.get(&route.name) else {
            return true;
        };
        let (urgent, others) = MAX_QUEUE_SHARES;
        let share = if is_urgent(rank) { urgent } else { others };
        let max_queue_secs = times.objective_secs() * share;
        let fitting = shards.iter().filter(|shard| {
            let replicas = self.services[shard.service].replicas.iter();
            let replicas = replicas.map(|key| &self.replicas[*key]);
            let mut warm = replicas
                .filter(|replica| replica.state == ReplicaState::Warm)
                .peekable();
            warm.peek().is_none()
                || warm.any(|replica| replica.answers_within(now, times, max_queue_secs))
        });
        fitting.count() >= route.needed_shards()
    }

    fn new_shards(&mut self, route: &Route) -> Vec<ShardAttempts> {
        let services = match &route.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(parts) => vec![self.next_split_service(&route.name, parts)],
            Target::Shards(target) => target.services.clone(),
        };
        let shards = services
            .iter()
            .map(|name| ShardAttempts::new(self.service(name)));
        shards.collect()
    }

    /// Service of a split with the most credit. A request that it can't take is not moved to another service.
    fn next_split_service(&mut self, route: &Arc<str>, parts: &[(Arc<str>, f64)]) -> Arc<str> {
        let random = &mut self.random;
        let credit = self
            .split_credit
            .entry(Arc::clone(route))
            .or_insert_with(|| parts.iter().map(|_| random.f64()).collect());
        credit.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        for (credit, (_, weight)) in credit.iter_mut().zip(parts) {
            *credit += weight / total.max(f64::MIN_POSITIVE);
        }
        let highest = (0..parts.len())
            .max_by(|a, b| credit[*a].total_cmp(&credit[*b]))
            .unwrap_or_default();
        credit[highest] -= 1.0;
        Arc::clone(&parts[highest].0)
    }

    /// Time after which a refused caller should retry.
    pub(crate) fn retry_after(&self, now: Timestamp, key: FlowKey) -> Duration {
        let Some(flow) = self.flows.get(key) else {
            return NOT_READY_RETRY_AFTER;
        };
        if let Some(rest) = self.rest_of_all_replicas(now, flow.route(), &flow.shards) {
            return rest;
        }
        let is_empty = |shard: &ShardAttempts| self.services[shard.service].replicas.is_empty();
        if flow.shards.iter().any(is_empty) {
            return NOT_READY_RETRY_AFTER;
        }
        flow.route().objective.mul_f64(RETRY_AFTER_OBJECTIVE_SHARE)
    }
}

fn reject(arrival: &Arrival, rejection: Rejection, commands: &mut Vec<ForwardCommand>) {
    let telemetry = rejection.telemetry.map(|telemetry| *telemetry);
    commands.extend(telemetry.map(ForwardCommand::Record));
    commands.push(ForwardCommand::Answer {
        caller: arrival.caller,
        answer: ForwardAnswer::Refused(rejection.refusal),
    });
}

/// Whether requests of this rank are urgent.
pub(crate) fn is_urgent(rank: u32) -> bool {
    rank <= MAX_URGENT_RANK
}

/// Merge for the answers of a route's shards; `None` if the route has no shards.
fn new_merge(route: &Route) -> Option<ShardMerge> {
    match &route.target {
        Target::Shards(target) => Some(ShardMerge {
            records: RecordMerge::new(target.limit),
            proofs: Vec::with_capacity(target.services.len()),
        }),
        Target::Service(_) | Target::Split(_) => None,
    }
}

/// A caller as its key shows it.
struct IdentifiedCaller {
    identity: CallerIdentity,
    /// Rank of its workspace, which replaces the route's.
    rank: Option<u32>,
}

/// Identifies the caller of a request; `None` if the route needs a key and the request has none that a workspace holds.
fn identify(
    table: &RoutingTable,
    route: &Route,
    credential: &Credential,
) -> Option<IdentifiedCaller> {
    let Some(workspaces) = &table.workspaces else {
        return Some(IdentifiedCaller {
            identity: CallerIdentity::Unchecked,
            rank: None,
        });
    };
    let holder = match credential {
        Credential::Key(digest) => workspaces.find(digest),
        Credential::Missing | Credential::Malformed => None,
    };
    match holder.map(|index| workspaces.settings(index)) {
        Some(workspace) => Some(IdentifiedCaller {
            identity: CallerIdentity::Workspace(Arc::clone(&workspace.name)),
            rank: workspace.rank,
        }),
        None => route.public.then_some(IdentifiedCaller {
            identity: CallerIdentity::Anonymous,
            rank: None,
        }),
    }
}

//! Dry runs: what the forwarder would do with a request now, decided by its own code on a copy of its state.

use crate::{forwarder::ServicePool, prelude::*};

impl Forwarder {
    /// Decides about a request as if it had arrived now, and changes nothing: neither budgets and quotas nor the random
    /// draws of later requests. The copy on which it runs has no other requests.
    ///
    /// # Errors
    ///
    /// If the node has no configuration, no route matches, or no workspace of this name has a key.
    pub fn dry_run(
        &self,
        now: Timestamp,
        arrived_at: BootTime,
        request: ForwardRequest,
        caller: &DryRunCaller,
    ) -> Result<DryRunReport, DryRunError> {
        let table = self.table.as_ref().ok_or(DryRunError::NotConfigured)?;
        let request = with_credential(table, request, caller)?;
        let index = table.find(&request.host, request.path());
        let version = table.version;
        let route = table.route(index.ok_or(DryRunError::NoRoute { version })?);
        let outcome = self
            .copy_without_requests()
            .try_request(now, arrived_at, request);
        let quota = match (&outcome.identity, &self.quotas) {
            (Some(CallerIdentity::Workspace(name)), Some(quotas)) if quotas.has_quota(name) => {
                Some(quotas.clone().share_status(now, name))
            }
            _ => None,
        };
        let services = route.services();
        let shards = services.iter().map(|service| {
            let key = self.service_key(service);
            let pool = key.map(|key| &self.services[key]);
            self.describe_shard(now, route, service, pool, &outcome.sent)
        });
        // A request goes to one service of a split.
        let is_split = matches!(route.target, Target::Split(_)) && !outcome.sent.is_empty();
        let shards = shards.filter(|shard| !is_split || !shard.chosen.is_empty());
        Ok(DryRunReport {
            config_version: version,
            config_age: self.key_lease.age(arrived_at),
            fleet_size: self.fleet_size,
            route: self.describe_route(route),
            quota,
            verdict: outcome.verdict,
            telemetry: outcome.telemetry,
            shards: shards.collect(),
            identity: outcome.identity,
        })
    }

    /// Handles a request on this copy.
    fn try_request(
        mut self,
        now: Timestamp,
        arrived_at: BootTime,
        request: ForwardRequest,
    ) -> Outcome {
        let caller = CallerKey::default();
        let mut commands = Vec::new();
        let event = ForwardEvent::RequestArrived {
            caller,
            request: Arc::new(request),
            arrived_at,
        };
        self.handle(now, event, &mut commands);
        let waits = !self.waiting.is_empty();
        if waits {
            self.admit_waiting_unconditionally(now, &mut commands);
        }
        Outcome::new(waits, commands)
    }

    fn describe_route(&self, route: &Route) -> DryRunRoute {
        let times = self.reply_times.get(&route.name);
        DryRunRoute {
            name: Arc::clone(&route.name),
            prefix: route.prefix.clone(),
            idempotent: route.idempotent,
            objective: route.objective,
            min_coverage: route.min_coverage(),
            usual_reply: times.map(|times| Duration::from_secs_f64(times.mean_secs())),
        }
    }

    fn describe_shard(
        &self,
        now: Timestamp,
        route: &Route,
        service: &Arc<str>,
        pool: Option<&ServicePool>,
        sent: &[UpstreamKey],
    ) -> DryRunShard {
        let keys: &[UpstreamKey] = pool.map_or(&[], |pool| &pool.replicas);
        let replicas: Vec<_> = keys
            .iter()
            .map(|key| self.describe_replica(now, route, *key))
            .collect();
        let chosen = sent.iter().copied().filter(|key| keys.contains(key));
        DryRunShard {
            service: Arc::clone(service),
            chosen: chosen.collect(),
            basis: choice_basis(&replicas),
            replicas,
        }
    }

    fn describe_replica(&self, now: Timestamp, route: &Route, key: UpstreamKey) -> ReplicaBelief {
        let replica = &self.replicas[key];
        let settings = self.service_settings(replica.service);
        let connections = self.connection_limits(&settings).most;
        let cold_sends = self.max_cold_sends(&settings);
        let excluded = self.zone_obstacle(route, &replica.entry.zone);
        let obstacle = excluded.or_else(|| replica.obstacle(now, connections, cold_sends));
        let times = self.reply_times.get(&route.name);
        ReplicaBelief {
            obstacle,
            ..replica.belief(now, key, times)
        }
    }

    /// Why a route's requests are not sent to upstreams in a zone; `None` if they are.
    pub(crate) fn zone_obstacle(&self, route: &Route, zone: &Arc<str>) -> Option<ReplicaObstacle> {
        if self.evacuated_zones.contains(zone) {
            return Some(ReplicaObstacle::ZoneEvacuated);
        }
        let allowed = self.settings.is_allowed(route, zone);
        (!allowed).then_some(ReplicaObstacle::RegionNotAllowed)
    }
}

/// What the forwarder did with the request of a dry run.
struct Outcome {
    verdict: DryRunVerdict,
    identity: Option<CallerIdentity>,
    /// Upstreams of the attempts, in the order in which they were sent.
    sent: Vec<UpstreamKey>,
    telemetry: Vec<ForwardTelemetry>,
}

impl Outcome {
    fn new(waits: bool, commands: Vec<ForwardCommand>) -> Self {
        let mut outcome = Self {
            verdict: if waits {
                DryRunVerdict::AskQuotaOwner
            } else {
                DryRunVerdict::Send
            },
            identity: None,
            sent: Vec::new(),
            telemetry: Vec::new(),
        };
        for command in commands {
            outcome.record(command);
        }
        outcome
    }

    fn record(&mut self, command: ForwardCommand) {
        match command {
            ForwardCommand::SendAttempt {
                upstream, identity, ..
            } => {
                self.sent.push(upstream);
                self.identity = Some(identity);
            }
            ForwardCommand::CountForWorkspace { workspace, .. } => {
                self.identity = Some(CallerIdentity::Workspace(workspace));
            }
            ForwardCommand::Answer {
                answer: ForwardAnswer::Refused(refusal),
                ..
            } => self.verdict = DryRunVerdict::Refuse(refusal),
            ForwardCommand::Record(telemetry) => self.telemetry.push(telemetry),
            _ => {}
        }
    }
}

/// The request with a key of the workspace, if it is tried for one.
fn with_credential(
    table: &RoutingTable,
    request: ForwardRequest,
    caller: &DryRunCaller,
) -> Result<ForwardRequest, DryRunError> {
    let DryRunCaller::Workspace(name) = caller else {
        return Ok(request);
    };
    let mut workspaces = table.workspaces.iter().flat_map(Workspaces::iter);
    let workspace = workspaces.find(|workspace| *workspace.name == **name);
    let key = workspace.and_then(|workspace| workspace.keys.first());
    let credential = key.map(|key| Credential::Key(*key));
    let credential = credential.ok_or_else(|| DryRunError::NoWorkspace {
        version: table.version,
        name: name.clone(),
    })?;
    Ok(ForwardRequest {
        credential,
        ..request
    })
}

fn choice_basis(replicas: &[ReplicaBelief]) -> ChoiceBasis {
    let mut accepting = replicas
        .iter()
        .filter(|replica| replica.obstacle.is_none())
        .peekable();
    let trial_due = |replica: &ReplicaBelief| {
        replica.obstacle
            == Some(ReplicaObstacle::Suspect {
                trial_in: Duration::ZERO,
            })
    };
    if accepting.peek().is_some() {
        return if accepting.any(|replica| replica.load.is_some()) {
            ChoiceBasis::LoadDraw
        } else {
            ChoiceBasis::LowestExpected
        };
    }
    if replicas.iter().any(trial_due) {
        ChoiceBasis::Trial
    } else {
        ChoiceBasis::None
    }
}

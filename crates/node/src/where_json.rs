//! JSON of `/v1/where`: the request that is tried, and what the node would do with it.

use crate::{caller_json::millis, prelude::*};

/// Request to try.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct WhereRequest {
    /// HTTP method.
    pub method: String,
    /// Host that selects the routes.
    pub host: String,
    /// Path and query string.
    pub path: String,
    /// Workspace whose caller sends it, by name.
    #[serde(default)]
    pub workspace: Option<String>,
    /// SHA-256 digest of the caller's key in hexadecimal, if no workspace is named.
    #[serde(default)]
    pub key_sha256: Option<String>,
    /// Time that the caller waits, in milliseconds; without it, as long as the route allows.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

/// What the node would do with the request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereReply {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Time since the registry confirmed that configuration.
    pub config_age_ms: Option<f64>,
    /// Number of nodes by which limits are divided, from heartbeats.
    pub fleet_size: u32,
    /// Route of the request.
    pub route: WhereRoute,
    /// Workspace of the caller, `anonymous` or `unchecked`; missing if the request was refused earlier.
    pub caller: Option<String>,
    /// Workspace's quota; missing without one.
    pub quota: Option<WhereQuota>,
    /// Decision.
    pub verdict: WhereVerdict,
    /// Shards, or services of a route without shards.
    pub shards: Vec<WhereShard>,
}

/// Route of the request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereRoute {
    /// Name in the configuration.
    pub name: String,
    /// Path prefix that matched.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Latency objective.
    pub objective_ms: f64,
    /// Share of the shards that must reply.
    pub min_coverage: f64,
    /// Usual reply time, from replies to this node.
    pub usual_reply_ms: Option<f64>,
}

/// State of the workspace's quota on the node.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereQuota {
    /// Whether the node is the owner.
    pub is_owner: bool,
    /// Requests that it may admit in a window without a grant.
    pub local_allowance: u32,
    /// Time since the owner's last reply; missing if there was none.
    pub reply_age_ms: Option<f64>,
}

/// Decision about the request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum WhereVerdict {
    /// It is sent to the chosen replicas.
    Send,
    /// It waits for the owner of the workspace's quota and is then sent to the chosen replicas.
    AskQuotaOwner,
    /// It is refused.
    Refuse {
        /// HTTP status.
        status: u16,
        /// Value of `Retry-After`, in seconds; missing if a retry does not help.
        retry_after: Option<String>,
        /// Kind of refusal, as in metrics.
        kind: String,
        /// Reasons in words.
        reasons: Vec<String>,
    },
}

/// One shard, or one service of a route without shards.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereShard {
    /// Service of the shard.
    pub service: String,
    /// Instances that attempts are sent to: the primary attempt, then the trial of a suspect.
    pub chosen: Vec<String>,
    /// How the primary attempt's instance is chosen.
    pub basis: String,
    /// All replicas.
    pub replicas: Vec<WhereReplica>,
}

/// What the node knows about a replica. Ages are in milliseconds.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereReplica {
    /// Name of this start of its process.
    pub instance: String,
    /// Availability zone, from the registry.
    pub zone: String,
    /// Requests that it can run at a time, from the registry.
    pub slots: u32,
    /// State.
    pub state: String,
    /// Why it can't be chosen; missing if it can.
    pub obstacle: Option<String>,
    /// Time since its registry entry last changed on the node.
    pub entry_age_ms: f64,
    /// Time since its last reply to the node.
    pub reply_age_ms: Option<f64>,
    /// Latest load report.
    pub load: Option<WhereLoad>,
    /// Expected number of its requests, from the report and the attempts since.
    pub expected_requests: f64,
    /// The node's attempts in flight.
    pub running: usize,
    /// Expected time to a reply, with the cost of its likely failure.
    pub expected_reply_ms: Option<f64>,
    /// Reply times as a multiple of the usual ones, from replies to the node.
    pub slowness: f64,
    /// Share of the node's recent attempts that failed.
    pub failure_rate: f64,
    /// Time for which another node advises against it.
    pub advised_against_ms: Option<f64>,
}

/// A load report.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct WhereLoad {
    /// Where it comes from.
    pub source: String,
    /// Time since it arrived.
    pub age_ms: f64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Service time in percent of the usual one.
    pub service_percent: Option<u32>,
}

/// Why a request can't be tried.
#[derive(Debug)]
#[derive(Snafu)]
pub enum WhereError {
    /// The digest of the key is no SHA-256 digest.
    #[snafu(display("key_sha256 is not 64 hexadecimal digits"))]
    KeyDigest,
    /// The node has nothing that it could decide.
    #[snafu(context(false), display("{source}"))]
    DryRun {
        /// What is missing.
        source: DryRunError,
    },
}

/// Reply to a request that is tried.
pub type WhereResult = Result<WhereReply, WhereError>;

impl WhereRequest {
    /// The request and its caller for the forwarder.
    ///
    /// # Errors
    ///
    /// If the digest of the key is no SHA-256 digest.
    pub(crate) fn into_dry_run(self) -> Result<(ForwardRequest, DryRunCaller), WhereError> {
        let credential = match &self.key_sha256 {
            None => Credential::Missing,
            Some(hex) => Credential::Key(Digest::from_hex(hex).ok_or(WhereError::KeyDigest)?),
        };
        let caller = self
            .workspace
            .map_or(DryRunCaller::Credential, DryRunCaller::Workspace);
        let request = ForwardRequest {
            id: Arc::from("where"),
            host: self.host,
            method: self.method,
            target: self.path,
            credential,
            fields: Vec::new(),
            body: Bytes::new(),
            time_left: self
                .deadline_ms
                .map_or(Duration::MAX, Duration::from_millis),
        };
        Ok((request, caller))
    }
}

impl WhereReply {
    /// The reply for a report. `encode` gives the HTTP status and `Retry-After` of a refusal.
    pub(crate) fn new(
        report: DryRunReport,
        encode: impl FnOnce(ForwardRefusal) -> (u16, Option<String>),
    ) -> Self {
        let verdict = match report.verdict {
            DryRunVerdict::Send => WhereVerdict::Send,
            DryRunVerdict::AskQuotaOwner => WhereVerdict::AskQuotaOwner,
            DryRunVerdict::Refuse(refusal) => {
                let (status, retry_after) = encode(refusal);
                let kind = refusal.name().to_owned();
                let reasons = report.telemetry.iter().filter_map(refusal_reason).collect();
                WhereVerdict::Refuse {
                    status,
                    retry_after,
                    kind,
                    reasons,
                }
            }
        };
        Self {
            config_version: report.config_version,
            config_age_ms: report.config_age.map(millis),
            fleet_size: report.fleet_size,
            route: route_json(report.route),
            caller: report.identity.map(|identity| match identity {
                CallerIdentity::Unchecked => "unchecked".to_owned(),
                CallerIdentity::Anonymous => "anonymous".to_owned(),
                CallerIdentity::Workspace(name) => format!("workspace {name}"),
            }),
            quota: report.quota.map(|quota| WhereQuota {
                is_owner: quota.is_owner,
                local_allowance: quota.local_allowance,
                reply_age_ms: quota.reply_age.map(millis),
            }),
            verdict,
            shards: report.shards.iter().map(shard_json).collect(),
        }
    }
}

fn route_json(route: DryRunRoute) -> WhereRoute {
    WhereRoute {
        name: route.name.to_string(),
        prefix: route.prefix,
        idempotent: route.idempotent,
        objective_ms: millis(route.objective),
        min_coverage: route.min_coverage,
        usual_reply_ms: route.usual_reply.map(millis),
    }
}

fn shard_json(shard: &DryRunShard) -> WhereShard {
    let instance = |key: &UpstreamKey| {
        let replica = shard.replicas.iter().find(|r| r.upstream == *key);
        replica.map(|replica| replica.instance.to_string())
    };
    WhereShard {
        chosen: shard.chosen.iter().filter_map(instance).collect(),
        service: shard.service.to_string(),
        basis: shard.basis.name().to_owned(),
        replicas: shard.replicas.iter().map(replica_json).collect(),
    }
}

fn replica_json(replica: &ReplicaBelief) -> WhereReplica {
    WhereReplica {
        instance: replica.instance.to_string(),
        zone: replica.zone.to_string(),
        slots: replica.slots,
        state: replica.state.name().to_owned(),
        obstacle: replica.obstacle.map(obstacle_text),
        entry_age_ms: millis(replica.entry_age),
        reply_age_ms: replica.reply_age.map(millis),
        load: replica.load.map(|belief| WhereLoad {
            source: belief.source.name().to_owned(),
            age_ms: millis(belief.age),
            running: belief.load.running,
            waiting: belief.load.waiting,
            slots: belief.load.slots,
            service_percent: belief.load.service_percent,
        }),
        expected_requests: replica.expected_requests,
        running: replica.running,
        expected_reply_ms: replica.expected_reply.map(millis),
        slowness: replica.slowness,
        failure_rate: replica.failure_rate,
        advised_against_ms: replica.advised_against_for.map(millis),
    }
}

fn obstacle_text(obstacle: ReplicaObstacle) -> String {
    let ms = |time: Duration| format!("{:.0} ms", millis(time));
    match obstacle {
        ReplicaObstacle::ZoneEvacuated => "its zone is evacuated".to_owned(),
        ReplicaObstacle::RegionNotAllowed => "the route may not use its region".to_owned(),
        ReplicaObstacle::Resting { left } => format!("wants no requests for {}", ms(left)),
        ReplicaObstacle::ConnectionsInUse { limit } => {
            format!("all {limit} connections of this node are in use")
        }
        ReplicaObstacle::ColdRate { limit, left } => format!(
            "cold for {}, and this node's share of its rate ({limit}) is used up",
            ms(left)
        ),
        ReplicaObstacle::Suspect { trial_in } => format!("suspect, trial in {}", ms(trial_in)),
        ReplicaObstacle::TrialInFlight => "its trial request is in flight".to_owned(),
        ReplicaObstacle::Leaving => "leaving".to_owned(),
    }
}

/// Why a request is refused, in words; `None` for decisions that are no reason.
fn refusal_reason(telemetry: &ForwardTelemetry) -> Option<String> {
    let text = match telemetry {
        ForwardTelemetry::RefusedOverloaded { rank, .. } => format!(
            "the queues of the upstreams would make the answer late for a request of rank {rank}"
        ),
        ForwardTelemetry::RefusedResting { .. } => {
            "the upstreams of too many shards want no requests".to_owned()
        }
        ForwardTelemetry::RefusedStopping { .. } => {
            "the node exits before it could answer".to_owned()
        }
        ForwardTelemetry::RefusedUnauthenticated { credential, .. } => match credential {
            Credential::Missing | Credential::Malformed => "the request has no key".to_owned(),
            Credential::Key(_) => format!(
                "no workspace holds the key whose SHA-256 digest starts with {}",
                credential.log_id()
            ),
        },
        ForwardTelemetry::RefusedUnconfirmed { age, .. } => match age {
            Some(age) => format!(
                "the configuration was confirmed {:.0} ms ago, so that the key may be revoked",
                millis(*age)
            ),
            None => "the configuration was never confirmed".to_owned(),
        },
        ForwardTelemetry::RefusedOverQuota { workspace, .. } => {
            format!("workspace {workspace} has used up its quota")
        }
        ForwardTelemetry::RefusedQuarantined { .. } => "the request crashes upstreams".to_owned(),
        ForwardTelemetry::ShardGivenUp {
            service, denial, ..
        } => format!("service {service}: {}", denial.name()),
        _ => return None,
    };
    Some(text)
}

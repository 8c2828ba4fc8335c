//! What a dry run of a request finds: the decision, and what it is based on.

use crate::prelude::*;

/// Result of a dry run of a request that matches a route.
#[derive(Clone, Debug)]
pub struct DryRunReport {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Time since the registry confirmed that configuration; `None` if it never did.
    pub config_age: Option<Duration>,
    /// Number of nodes by which limits over all nodes are divided.
    pub fleet_size: u32,
    /// Route of the request.
    pub route: DryRunRoute,
    /// On whose behalf the request would be sent; `None` if it was refused earlier.
    pub identity: Option<CallerIdentity>,
    /// State of the workspace's quota before the request; `None` without a quota.
    pub quota: Option<QuotaShareStatus>,
    /// What the node would do with the request.
    pub verdict: DryRunVerdict,
    /// Decisions that the node would have logged.
    pub telemetry: Vec<ForwardTelemetry>,
    /// Shards of the route; one for each service of a route without shards.
    pub shards: Vec<DryRunShard>,
}

/// Why a dry run has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum DryRunError {
    /// The node has no configuration yet.
    #[snafu(display("the node has no configuration yet"))]
    NotConfigured,
    /// No route of the configuration matches.
    #[snafu(display("configuration {version} has no route for this host and path"))]
    NoRoute {
        /// Version of the configuration in force.
        version: u64,
    },
    /// No workspace of this name has a key.
    #[snafu(display("configuration {version} has no workspace {name:?} with a key"))]
    NoWorkspace {
        /// Version of the configuration in force.
        version: u64,
        /// Name that was asked for.
        name: String,
    },
}

/// Whose request is tried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DryRunCaller {
    /// That of a caller with the credential of the request.
    Credential,
    /// That of a caller with a key of this workspace.
    Workspace(String),
}

/// Route of a request.
#[derive(Clone, Debug)]
pub struct DryRunRoute {
    /// Name in the configuration.
    pub name: Arc<str>,
    /// Path prefix that matched.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Latency objective.
    pub objective: Duration,
    /// Share of the shards that must reply.
    pub min_coverage: f64,
    /// Usual reply time, from the replies to this node; `None` before the first request.
    pub usual_reply: Option<Duration>,
}

/// What the node would do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DryRunVerdict {
    /// Send it to the chosen replicas.
    Send,
    /// Ask the owner of the workspace's quota, and send it once that has granted it.
    AskQuotaOwner,
    /// Refuse it.
    Refuse(ForwardRefusal),
}

/// One shard, or one service of a route without shards.
#[derive(Clone, Debug)]
pub struct DryRunShard {
    /// Service of the shard.
    pub service: Arc<str>,
    /// Replicas that attempts would be sent to: the primary attempt first, then the trial of a suspect.
    pub chosen: Vec<UpstreamKey>,
    /// How the primary attempt's replica would be chosen.
    pub basis: ChoiceBasis,
    /// All replicas of the service that are registered.
    pub replicas: Vec<ReplicaBelief>,
}

vocabulary! {
    /// How a replica is chosen among those that accept work.
    pub enum ChoiceBasis {
        /// No replica accepts work.
        None = "no_replica_accepts_work",
        /// The trial of a suspect, as no other replica accepts work.
        Trial = "trial_of_a_suspect",
        /// Drawn at random by free capacity and expected time, as at least one reports its load.
        LoadDraw = "drawn_by_reported_load",
        /// The lowest expected time, as none reports its load.
        LowestExpected = "lowest_expected_time",
    }
}

/// What a node knows about a replica, and how old that is.
#[derive(Clone, Debug)]
pub struct ReplicaBelief {
    /// Key of the replica in the forwarder.
    pub upstream: UpstreamKey,
    /// Name of this start of its process.
    pub instance: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it can run at a time, from its registry entry.
    pub slots: u32,
    /// State as seen by this node.
    pub state: ReplicaState,
    /// Why it would not be sent the request; `None` if it can be chosen.
    pub obstacle: Option<ReplicaObstacle>,
    /// Time since its registry entry last changed here.
    pub entry_age: Duration,
    /// Time since its last reply to this node; `None` if there was none.
    pub reply_age: Option<Duration>,
    /// Latest load report; `None` if it has sent none.
    pub load: Option<LoadBelief>,
    /// Expected number of requests in service and in its queue.
    pub expected_requests: f64,
    /// This node's attempts in flight.
    pub running: usize,
    /// Expected time to a reply with the cost of its likely failure; `None` before the route's first request.
    pub expected_reply: Option<Duration>,
    /// Reply times as a multiple of the usual ones, from the replies to this node.
    pub slowness: f64,
    /// Share of this node's recent attempts that failed.
    pub failure_rate: f64,
    /// Time for which another node advises against it.
    pub advised_against_for: Option<Duration>,
}

/// A load report and where it comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadBelief {
    /// Where the report comes from.
    pub source: LoadSource,
    /// Time since it arrived.
    pub age: Duration,
    /// Its figures.
    pub load: ReportedLoad,
}

vocabulary! {
    /// Where a load report comes from.
    pub enum LoadSource {
        /// A reply of the upstream to this node.
        OwnReply = "reply_to_this_node",
    }
}

/// Why a replica would not be sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaObstacle {
    /// Its zone is evacuated.
    ZoneEvacuated,
    /// The route may not use its region.
    RegionNotAllowed,
    /// It wants no requests from this node.
    Resting {
        /// Time for which that holds.
        left: Duration,
    },
    /// This node uses as many connections to it as it may.
    ConnectionsInUse {
        /// Number of connections that it may use.
        limit: u32,
    },
    /// It is cold, and this node's share of its rate is used up.
    ColdRate {
        /// Requests that this node may send in the window of the rate.
        limit: u32,
        /// Time until it is warm.
        left: Duration,
    },
    /// It is suspect and receives one trial request after its backoff.
    Suspect {
        /// Time until the trial is due; zero if it is due now.
        trial_in: Duration,
    },
    /// Its trial request is in flight.
    TrialInFlight,
    /// It is leaving.
    Leaving,
}

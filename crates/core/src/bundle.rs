//! The configuration that both owners approve, as it is written in TOML.

use crate::prelude::*;

/// Configuration of a deployment: zones, limits, workspace classes, workspaces, upstreams and services.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of the text format; always 1.
    pub format: u32,
    /// Bundle version; every published bundle has a higher one than the bundle before.
    pub version: u64,
    /// Name of the deployment, which tells the bundles of different deployments apart.
    pub deployment: String,
    /// Codes of the dangerous changes that this bundle makes on purpose, as `medlarctl bundle check` prints them.
    #[serde(default)]
    pub consents: Vec<String>,
    /// Limits on capacity, deadlines, answers and queues.
    #[serde(default)]
    pub limits: DeploymentLimits,
    /// Parameters of hedging, retries, warm-up and quarantine.
    #[serde(default)]
    pub policy: LoadPolicy,
    /// Availability zones, listed as `[[zone]]`.
    #[serde(default, rename = "zone")]
    pub zones: Vec<Zone>,
    /// Workspace classes, listed as `[[class]]`.
    #[serde(default, rename = "class")]
    pub classes: Vec<WorkspaceClass>,
    /// Workspaces, listed as `[[workspace]]`.
    #[serde(default, rename = "tenant")]
    pub workspaces: Vec<Workspace>,
    /// Upstreams, listed as `[[upstream]]`.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<Upstream>,
    /// Services that callers can name, listed as `[[service]]`.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
}

/// Lower and upper bounds that hold for the whole deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentLimits {
    /// Share of the upstream slots, 0 to 1, that must stay in active upstreams of zones that are in.
    pub capacity_floor: f64,
    /// Longest deadline that a caller may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Most results in one answer.
    pub max_results: u32,
    /// Most queries that wait for admission on one node.
    pub queue_length: u32,
}

impl Default for DeploymentLimits {
    fn default() -> Self {
        Self {
            capacity_floor: 0.5,
            max_deadline_ms: 60_000,
            max_results: 1_000,
            queue_length: 512,
        }
    }
}

/// How nodes limit extra load, warm up upstreams and quarantine queries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPolicy {
    /// Upper bound of hedges and retries, as a share of the primary sub-requests, 0 to 1.
    pub extra_load: f64,
    /// Quantile of recent reply times after which a hedge is sent, 0 to 1.
    pub hedge_quantile: f64,
    /// Consecutive successful replies after which the concurrency limit of a cold upstream grows by one.
    pub warm_step_replies: u32,
    /// Time that an upstream needs after its start before it can take its full load, in milliseconds.
    pub warm_up_ms: u64,
    /// Time that the digest of a query stays in quarantine, in milliseconds.
    pub quarantine_ms: u64,
}

impl Default for LoadPolicy {
    fn default() -> Self {
        Self {
            extra_load: 0.04,
            hedge_quantile: 0.95,
            warm_step_replies: 8,
            warm_up_ms: 2_000,
            quarantine_ms: 600_000,
        }
    }
}

/// An availability zone in which upstreams run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name of the zone.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: String,
    /// Whether the zone accepts new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether an availability zone accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// Accepts new work.
    #[default]
    In,
    /// Accepts no new work.
    Out,
}

/// A class of workspaces that share a preference and a weight.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceClass {
    /// Unique name of the class.
    pub name: String,
    /// What queries give up when shards are late.
    pub prefer: LateShardPreference,
    /// Share of the capacity under contention, relative to the other classes; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
}

/// What the queries of a workspace class favour when shards are late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LateShardPreference {
    /// Wait for missing shards until the deadline.
    Coverage,
    /// Answer on time with lower coverage.
    Tail,
}

/// One organisation whose callers use the system.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name of the workspace.
    pub name: String,
    /// Name of the workspace's class.
    pub class: String,
    /// SHA-256 digests, in hexadecimal, of the tokens that authenticate this workspace. Two at a time allow a token
    /// rotation.
    pub token_sha256: Vec<Digest>,
    /// Firms whose private fields this workspace may see, as named in the `owner` field of a hit.
    #[serde(default)]
    pub firms: Vec<String>,
}

/// One process that answers for shards or runs bookings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name of the upstream.
    pub name: String,
    /// IP address and port that it listens on.
    pub address: std::net::SocketAddr,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Requests that it can run concurrently when warm.
    pub slots: u32,
    /// Requests that it can run concurrently just after a cold start; at least 1.
    #[serde(default = "one")]
    pub cold_slots: u32,
    /// Connections that it accepts from all nodes together.
    pub connections: u32,
    /// Time that opening a connection takes, in milliseconds.
    pub connect_ms: u32,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether connections to it use TLS.
    #[serde(default)]
    pub tls: bool,
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Accepts new work.
    #[default]
    Active,
    /// Accepts no new work and will be removed.
    Leaving,
}

/// A service that callers can name in a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: String,
    /// Whether the service runs searches or bookings.
    pub kind: ServiceKind,
    /// Index versions of a search service, oldest first. New queries use the last one.
    #[serde(default, rename = "layout")]
    pub layouts: Vec<ShardLayout>,
    /// Names of the upstreams of a booking service.
    #[serde(default)]
    pub upstreams: Vec<String>,
}

/// Kind of work that a service does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Answers queries from all shards.
    Search,
    /// Runs each booking on one upstream.
    Booking,
}

/// The shards of one index version and their replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardLayout {
    /// Index version; rises with every repartitioning and every new index.
    pub index_version: u64,
    /// Names of the upstreams that hold each shard; the position in the list is the shard's number.
    pub shards: Vec<Vec<String>>,
}

fn one() -> u32 {
    1
}

impl Bundle {
    /// Parses a bundle from TOML.
    ///
    /// # Errors
    ///
    /// The error of the TOML parser, with line and column.
    pub fn from_toml(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Encodes the bundle as TOML.
    ///
    /// # Panics
    ///
    /// Never: every field has a TOML form.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every field of a bundle has a TOML form")
    }
}

//! The configuration that both owners approve, as data.

use crate::prelude::*;

/// Everything that operators decide: zones, limits, classes, tenants, upstreams and services.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of the text format; 1.
    pub format: u32,
    /// Rises by at least one with every bundle that is published.
    pub version: u64,
    /// Name of the deployment, for logs.
    pub deployment: String,
    /// Dangerous changes that this bundle means, by the code of the check (`medlarctl bundle check` names them).
    #[serde(default)]
    pub consents: Vec<String>,
    /// Floors and bounds.
    #[serde(default)]
    pub limits: DeploymentLimits,
    /// Parameters of the policy.
    #[serde(default)]
    pub policy: LoadPolicy,
    /// Availability zones.
    #[serde(default, rename = "zone")]
    pub zones: Vec<Zone>,
    /// Classes of tenants.
    #[serde(default, rename = "class")]
    pub classes: Vec<TenantClass>,
    /// Tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Upstreams.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<Upstream>,
    /// Services that callers name.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
}

/// Floors and bounds of a deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeploymentLimits {
    /// Share of the upstream slots, 0 to 1, that must stay in zones that are in.
    pub capacity_floor: f64,
    /// Longest deadline that a caller may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Most results of one answer.
    pub max_results: u32,
    /// Queries that may wait for admission on one node.
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

/// Parameters of the policy under load and faults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPolicy {
    /// Hedges and retries as a share of primary sub-requests, 0 to 1.
    pub extra_load: f64,
    /// Quantile of recent reply times after which a hedge is sent, 0 to 1.
    pub hedge_quantile: f64,
    /// Good replies in a row after which a cold upstream's allowance grows by one.
    pub warm_step_replies: u32,
    /// Time that an upstream needs after its start before it carries its full load, in milliseconds.
    pub warm_up_ms: u64,
    /// Time that a digest stays in quarantine, in milliseconds.
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

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: String,
    /// Whether the zone takes new work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// Takes new work.
    #[default]
    In,
    /// Takes no new work.
    Out,
}

/// A class of tenants that share a preference.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantClass {
    /// Unique name.
    pub name: String,
    /// What to give up when shards are late.
    pub prefer: LateShardPreference,
    /// Share of the capacity under contention, relative to other classes; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
}

/// What a class gives up when shards are late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LateShardPreference {
    /// Waits for missing shards until the deadline.
    Coverage,
    /// Answers on time with less.
    Tail,
}

/// A tenant: one organisation whose callers use the system.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Name of the tenant's class.
    pub class: String,
    /// SHA-256 digests, in hexadecimal, of the tokens that prove this tenant. Two at a time allow a change of token.
    pub token_sha256: Vec<Digest>,
    /// Firms whose private fields this tenant may see; a firm is named in the `owner` field of a hit.
    #[serde(default)]
    pub firms: Vec<String>,
}

/// An upstream: one process that answers for shards or runs bookings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Requests that it runs at a time when warm.
    pub slots: u32,
    /// Requests that it bears at a time just after a cold start; at least 1.
    #[serde(default = "one")]
    pub cold_slots: u32,
    /// Connections that it accepts from the whole fleet.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether connections to it use TLS.
    #[serde(default)]
    pub tls: bool,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Takes new work.
    #[default]
    Active,
    /// Takes no new work and will be removed.
    Leaving,
}

/// A service that callers name.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// What the service does.
    pub kind: ServiceKind,
    /// Index versions of a search service, oldest first; queries pin the last.
    #[serde(default, rename = "layout")]
    pub layouts: Vec<ShardLayout>,
    /// Names of the upstreams of a booking service.
    #[serde(default)]
    pub upstreams: Vec<String>,
}

/// What a service does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Answers queries from all shards.
    Search,
    /// Runs bookings on one upstream.
    Booking,
}

/// The shards of one index version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardLayout {
    /// Index version; rises with every repartition and every new index.
    pub index_version: u64,
    /// Names of the replicas of each shard; the position is the shard's number.
    pub shards: Vec<Vec<String>>,
}

fn one() -> u32 {
    1
}

impl Bundle {
    /// Reads a bundle from its text.
    ///
    /// # Errors
    ///
    /// The TOML reader's error with line and column.
    pub fn from_toml(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The bundle as text.
    ///
    /// # Panics
    ///
    /// Never: every field has a TOML form.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every field of a bundle has a TOML form")
    }
}

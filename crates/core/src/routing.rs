//! Routing table built from a published configuration.

use crate::prelude::*;
use std::collections::HashMap;

/// Tolerance for the rounding of a share of the shards.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Routes, services and caller limits of one published configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration; increases with each one published.
    pub version: u64,
    /// Addressed by [`RouteIndex`].
    routes: Vec<Route>,
    /// Settings of the services that routes refer to, by name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// Workspaces that callers belong to; `None` if callers are not identified.
    pub workspaces: Option<Workspaces>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Routes by lower-case host, longest prefix first.
    by_host: HashMap<String, Vec<RouteIndex>>,
}

/// Index of a route in the table that returned it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteIndex(u32);

/// How requests for one host and path prefix are forwarded.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: Arc<str>,
    /// Host that requests name, compared without regard to case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Longest time from a request to its answer.
    pub timeout: Duration,
    /// Latency objective: time within which an answer has its full value.
    pub objective: Duration,
    /// Attempts that may run for one request and service.
    pub max_attempts: u32,
    /// Priority under overload; 0 is the most urgent.
    pub rank: u32,
    /// Whether callers need no key where others do.
    pub public: bool,
    /// Regions whose upstreams may be used; empty for all.
    pub regions: Vec<String>,
    /// Services that requests are sent to.
    pub target: Target,
}

/// Services that the requests of a route are sent to.
#[derive(Clone, Debug)]
pub enum Target {
    /// One upstream of one service.
    Service(Arc<str>),
    /// One upstream of one of several services, in proportion to their weights.
    Split(Vec<(Arc<str>, f64)>),
    /// One upstream of each service; the records of their replies are merged.
    Shards(ShardTarget),
}

/// Shards of a scatter-gather route.
#[derive(Clone, Debug)]
pub struct ShardTarget {
    /// Services, one for each shard.
    pub services: Vec<Arc<str>>,
    /// Maximum number of records in an answer.
    pub limit: usize,
    /// Share of the shards, from 0 to 1, that must reply for an answer to be a success.
    pub min_coverage: f64,
}

/// Limits of the upstreams of one service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Connections that one upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Warm-up time after the start of an upstream, during which it is cold.
    pub warm_up: Duration,
    /// Requests per second that a cold upstream can serve; `None` for no limit.
    pub cold_rate: Option<f64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits in force until a configuration has been read.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RoutingTable {
    /// Indexes the routes by host and prefix length.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Arc<str>, ServiceSettings>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<RouteIndex>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(RouteIndex(i as u32));
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|i| std::cmp::Reverse(routes[i.0 as usize].prefix.len()));
        }
        Self {
            version,
            routes,
            services,
            workspaces: None,
            limits,
            by_host,
        }
    }

    /// Identifies callers by the keys of these workspaces.
    #[must_use]
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Self {
        Self { workspaces, ..self }
    }

    /// Route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let indices = match self.by_host.get(host) {
            Some(indices) => indices,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        indices
            .iter()
            .copied()
            .find(|i| path.starts_with(&self.route(*i).prefix))
    }

    /// The route at an index that this table returned.
    ///
    /// # Panics
    ///
    /// If the index is out of range, because it comes from another table.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0 as usize]
    }

    /// All routes, in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

impl Route {
    /// Names of all services that the route may send requests to.
    pub fn services(&self) -> Vec<Arc<str>> {
        match &self.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(parts) => parts.iter().map(|(name, _)| Arc::clone(name)).collect(),
            Target::Shards(shards) => shards.services.clone(),
        }
    }

    /// Share of the shards that must reply for an answer to be a success, from 0 to 1.
    pub fn min_coverage(&self) -> f64 {
        match &self.target {
            Target::Service(_) | Target::Split(_) => 1.0,
            Target::Shards(target) => target.min_coverage,
        }
    }

    /// Number of shards that must reply for an answer to be a success; 0 if the route requires no share of them.
    pub fn needed_shards(&self) -> usize {
        let shards = match &self.target {
            Target::Service(_) | Target::Split(_) => 1,
            Target::Shards(target) => target.services.len(),
        };
        (self.min_coverage() * shards as f64 - SHARE_TOLERANCE).ceil() as usize
    }
}

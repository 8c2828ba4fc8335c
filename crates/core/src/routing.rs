//! Routes of a published configuration.

use crate::prelude::*;
use std::collections::HashMap;

/// A published configuration: which request goes where.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Rises with every published configuration.
    pub version: u64,
    /// Routes, addressed by [`RouteIndex`].
    routes: Vec<Route>,
    /// Terms of the services that routes name.
    pub services: BTreeMap<Arc<str>, ServiceSettings>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<RouteIndex>>,
}

/// Position of a route in its table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteIndex(u32);

/// What is done with the requests below one prefix of one host.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Upstreams of one service that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Regions whose upstreams may be asked; empty for all.
    pub regions: Vec<String>,
    /// Where requests go.
    pub target: Target,
}

/// Where the requests of a route go.
#[derive(Clone, Debug)]
pub enum Target {
    /// One upstream of one service.
    Service(Arc<str>),
    /// One upstream of one of several services, in proportion to their weights.
    Split(Vec<(Arc<str>, f64)>),
    /// One upstream of each service, whose records are merged.
    Shards(ShardTarget),
}

/// The shards of a query and what its answer needs.
#[derive(Clone, Debug)]
pub struct ShardTarget {
    /// One service a shard.
    pub services: Vec<Arc<str>>,
    /// Records in an answer at most.
    pub limit: usize,
    /// Share of the shards, 0 to 1, below which an answer is no success.
    pub min_coverage: f64,
}

/// What the configuration says of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Time for which an upstream is cold after its start.
    pub warm_up: Duration,
    /// Requests a second that a cold upstream bears, if that is limited.
    pub cold_rate: Option<f64>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration has been read.
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
    /// A table of these routes.
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
            limits,
            by_host,
        }
    }

    /// Route with the longest prefix of `path` among those of `host`.
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

    /// A route of this table.
    ///
    /// # Panics
    ///
    /// If the index belongs to another table.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0 as usize]
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

impl Route {
    /// Services of the shards of a query, or the services of which one is chosen.
    pub fn services(&self) -> Vec<Arc<str>> {
        match &self.target {
            Target::Service(service) => vec![Arc::clone(service)],
            Target::Split(parts) => parts.iter().map(|(name, _)| Arc::clone(name)).collect(),
            Target::Shards(shards) => shards.services.clone(),
        }
    }
}

//! Sizes, zones and workspaces of the two deployments that demonstrations and tests imitate.

use crate::prelude::*;

/// Sizes, zones and workspaces of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name by which flags and bundles refer to the deployment.
    pub name: &'static str,
    /// Region of all zones.
    pub region: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// One-way network delay between zones.
    pub zone_delay: Duration,
    /// One-way network delay between callers and nodes.
    pub caller_delay: Duration,
    /// Upstreams of the search service.
    pub search: UpstreamPool,
    /// Upstreams of the booking service.
    pub booking: UpstreamPool,
    /// What the workspaces prefer when shards are late.
    pub prefer: LateShardPreference,
    /// Names of the workspaces.
    pub workspaces: &'static [&'static str],
    /// Number of nodes.
    pub nodes: usize,
}

/// Upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPool {
    /// Name of the service.
    pub service: &'static str,
    /// Number of groups of upstreams. In a search service, each group holds one shard.
    pub groups: usize,
    /// Number of upstreams in a group.
    pub replicas: usize,
    /// Requests that an upstream can run at a time.
    pub slots: u32,
    /// Maximum number of open connections of an upstream.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u32,
}

impl UpstreamPool {
    /// Names of the upstreams, ordered by group.
    pub fn upstream_names(&self) -> Vec<String> {
        (0..self.groups)
            .flat_map(|group| (0..self.replicas).map(move |replica| (group, replica)))
            .map(|(group, replica)| format!("{}-{group}-{replica}", self.service))
            .collect()
    }
}

impl Deployment {
    /// Deployment of Tunelix, which sells wind-tunnel time in Poland.
    pub fn tunelix() -> Self {
        Self {
            name: "tunelix",
            region: "central-poland",
            zones: &["pl-a", "pl-b", "pl-c"],
            zone_delay: Duration::from_micros(1_500),
            caller_delay: Duration::from_millis(3),
            search: UpstreamPool {
                service: "slot-search",
                groups: 25,
                replicas: 3,
                slots: 3,
                connections: 30,
                connect_ms: 6,
            },
            booking: UpstreamPool {
                service: "tunnel-booking",
                groups: 1,
                replicas: 13,
                slots: 6,
                connections: 100,
                connect_ms: 1,
            },
            prefer: LateShardPreference::Coverage,
            workspaces: &["aerospace-labs", "tunelix"],
            nodes: 5,
        }
    }

    /// Deployment of the Pratu Ruam Booking Alliance, which sells garage-door repairs in Thailand.
    pub fn alliance() -> Self {
        Self {
            name: "alliance",
            region: "central-thailand",
            zones: &["th-a", "th-b", "th-c", "th-d"],
            zone_delay: Duration::from_millis(1),
            caller_delay: Duration::from_millis(3),
            search: UpstreamPool {
                service: "dispatch",
                groups: 25,
                replicas: 3,
                slots: 2,
                connections: 25,
                connect_ms: 6,
            },
            booking: UpstreamPool {
                service: "crew-booking",
                groups: 1,
                replicas: 13,
                slots: 3,
                connections: 40,
                connect_ms: 1,
            },
            prefer: LateShardPreference::Tail,
            workspaces: &["firm-0", "firm-1", "firm-2"],
            nodes: 4,
        }
    }

    /// Finds a deployment by its name.
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::tunelix(), Self::alliance()]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// Bearer token of a workspace in demonstrations.
    pub fn demo_token(workspace: &str) -> String {
        format!("demo-token-of-{workspace}")
    }

    /// Builds a bundle for the upstreams at these addresses, by name. Upstreams without an address are left out of its
    /// list of upstreams.
    pub fn bundle(&self, version: u64, addresses: &HashMap<String, SocketAddr>) -> Bundle {
        let search_names = self.search.upstream_names();
        let shards = search_names
            .chunks(self.search.replicas)
            .map(<[String]>::to_vec)
            .collect();
        let layout = ShardLayout {
            index_version: 1,
            shards,
        };
        Bundle {
            format: 1,
            version,
            deployment: self.name.to_owned(),
            consents: Vec::new(),
            limits: DeploymentLimits::default(),
            policy: LoadPolicy::default(),
            zones: self
                .zones
                .iter()
                .map(|name| Zone {
                    name: (*name).to_owned(),
                    region: self.region.to_owned(),
                    state: ZoneState::In,
                })
                .collect(),
            classes: vec![WorkspaceClass {
                name: "standard".to_owned(),
                prefer: self.prefer,
                weight: 1,
            }],
            workspaces: self.workspaces.iter().map(|name| workspace(name)).collect(),
            upstreams: [self.search, self.booking]
                .iter()
                .flat_map(|pool| self.upstreams(pool, addresses))
                .collect(),
            services: vec![
                Service {
                    name: self.search.service.to_owned(),
                    kind: ServiceKind::Search,
                    layouts: vec![layout],
                    upstreams: Vec::new(),
                },
                Service {
                    name: self.booking.service.to_owned(),
                    kind: ServiceKind::Booking,
                    layouts: Vec::new(),
                    upstreams: self.booking.upstream_names(),
                },
            ],
        }
    }

    fn upstreams(
        &self,
        pool: &UpstreamPool,
        addresses: &HashMap<String, SocketAddr>,
    ) -> Vec<Upstream> {
        let mut upstreams = Vec::new();
        for (position, name) in pool.upstream_names().into_iter().enumerate() {
            let Some(&address) = addresses.get(&name) else {
                continue;
            };
            upstreams.push(Upstream {
                name,
                address,
                zone: self.zones[position % self.zones.len()].to_owned(),
                slots: pool.slots,
                cold_slots: 1,
                connections: pool.connections,
                connect_ms: pool.connect_ms,
                state: UpstreamState::Active,
                tls: false,
            });
        }
        upstreams
    }
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        class: "standard".to_owned(),
        token_sha256: vec![Digest::of(Deployment::demo_token(name).as_bytes())],
        firms: vec![name.to_owned()],
    }
}

//! The sizes of today's deployments.

use crate::prelude::*;

/// Sizes of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Region that the zones belong to.
    pub region: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Time between two zones, one way.
    pub zone_delay: Duration,
    /// Time between callers and nodes, one way.
    pub caller_delay: Duration,
    /// Upstreams of the search service.
    pub search: UpstreamPool,
    /// Upstreams of the booking service.
    pub booking: UpstreamPool,
    /// Preference of its tenants.
    pub prefer: LateShardPreference,
    /// Names of its tenants.
    pub tenants: &'static [&'static str],
    /// Nodes.
    pub nodes: usize,
}

/// Upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPool {
    /// Name of the service.
    pub service: &'static str,
    /// Groups of upstreams; one shard each.
    pub groups: usize,
    /// Upstreams of a group.
    pub replicas: usize,
    /// Slots of an upstream.
    pub slots: u32,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u32,
}

impl UpstreamPool {
    /// Names of the upstreams, group by group.
    pub fn upstream_names(&self) -> Vec<String> {
        (0..self.groups)
            .flat_map(|group| (0..self.replicas).map(move |replica| (group, replica)))
            .map(|(group, replica)| format!("{}-{group}-{replica}", self.service))
            .collect()
    }
}

impl Deployment {
    /// Tunelix: wind tunnel time across Poland.
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
            tenants: &["aerospace-labs", "tunelix"],
            nodes: 5,
        }
    }

    /// Pratu Ruam Booking Alliance: garage door repair across Thailand.
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
            tenants: &["firm-0", "firm-1", "firm-2"],
            nodes: 4,
        }
    }

    /// Deployment with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::tunelix(), Self::alliance()]
            .into_iter()
            .find(|deployment| deployment.name == name)
    }

    /// Token of a tenant in demonstrations.
    pub fn demo_token(tenant: &str) -> String {
        format!("demo-token-of-{tenant}")
    }

    /// A bundle for upstreams at these addresses, by name.
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
            classes: vec![TenantClass {
                name: "standard".to_owned(),
                prefer: self.prefer,
                weight: 1,
            }],
            tenants: self.tenants.iter().map(|name| tenant(name)).collect(),
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

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        class: "standard".to_owned(),
        token_sha256: vec![Digest::of(Deployment::demo_token(name).as_bytes())],
        firms: vec![name.to_owned()],
    }
}

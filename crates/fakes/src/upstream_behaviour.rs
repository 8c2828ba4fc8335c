//! How a fake upstream behaves.

use crate::prelude::*;

/// How a fake upstream behaves; fixed for its life, except for what [`crate::prelude::UpstreamCommand`] changes.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Requests run at a time when warm.
    pub slots: u32,
    /// Requests that it bears just after a cold start.
    pub cold_slots: u32,
    /// Connections accepted at a time; further ones are closed at once.
    pub connections: u32,
    /// Time that a new connection takes before its first request is read.
    pub connect: Duration,
    /// Mean time to run a request when warm.
    pub service_time: Duration,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Availability zone of each node, by name; requests from another zone take `zone_delay` each way.
    pub node_zones: HashMap<String, String>,
    /// Time between two zones, one way.
    pub zone_delay: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl UpstreamBehaviour {
    /// Behaviour of an upstream that accepts all connections at once and is in the zone of all nodes.
    pub fn new(slots: u32, service_time: Duration, seed: u64) -> Self {
        Self {
            slots,
            cold_slots: 1,
            connections: 10_000,
            connect: Duration::ZERO,
            service_time,
            zone: String::new(),
            node_zones: HashMap::new(),
            zone_delay: Duration::ZERO,
            seed,
        }
    }

    /// Behaviour of an upstream of `pool` in `zone`; nodes are taken to be in the same zone.
    pub fn for_pool(pool: &UpstreamPool, zone: &str, service_time: Duration, seed: u64) -> Self {
        Self {
            connections: pool.connections,
            connect: Duration::from_millis(u64::from(pool.connect_ms)),
            zone: zone.to_owned(),
            ..Self::new(pool.slots, service_time, seed)
        }
    }
}

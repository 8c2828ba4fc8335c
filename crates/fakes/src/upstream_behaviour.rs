//! Capacity, timing and location of a fake upstream.

use crate::prelude::*;

/// Capacity, timing and location of a fake upstream. Fixed from its start, except for what
/// [`crate::prelude::UpstreamCommand`] changes.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Requests that it can run at a time when warm.
    pub slots: u32,
    /// Requests that it can run at a time just after a cold start.
    pub cold_slots: u32,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: u32,
    /// Delay of the first request on a new connection.
    pub connect_time: Duration,
    /// Mean service time of a request when warm. Service times vary by up to half of it.
    pub service_time: Duration,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Availability zone of each node, by name. Requests from other zones take `zone_delay` longer each way.
    pub node_zones: HashMap<String, String>,
    /// One-way network delay between zones.
    pub zone_delay: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl UpstreamBehaviour {
    /// Behaviour of an upstream that accepts connections without delay and has no network delay to any node.
    pub fn new(slots: u32, service_time: Duration, seed: u64) -> Self {
        Self {
            slots,
            cold_slots: 1,
            max_connections: 10_000,
            connect_time: Duration::ZERO,
            service_time,
            zone: String::new(),
            node_zones: HashMap::new(),
            zone_delay: Duration::ZERO,
            seed,
        }
    }

    /// Behaviour of an upstream of `pool` in `zone`, without network delay to any node.
    pub fn for_pool(pool: &UpstreamPool, zone: &str, service_time: Duration, seed: u64) -> Self {
        Self {
            max_connections: pool.connections,
            connect_time: Duration::from_millis(u64::from(pool.connect_ms)),
            zone: zone.to_owned(),
            ..Self::new(pool.slots, service_time, seed)
        }
    }
}

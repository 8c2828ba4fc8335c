//! Validated settings of a node.

use crate::prelude::*;
use medlarpost_wire::prelude::FleetKey;

/// Everything that one node is configured with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node in the platform's list of VMs.
    pub name: String,
    /// Availability zone in which the node runs.
    pub zone: String,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the administrators' API.
    pub admin_address: SocketAddr,
    /// Address on which peers connect.
    pub link_address: SocketAddr,
    /// Key shared by all nodes of the fleet, which authenticates their links.
    pub fleet_key: FleetKey,
    /// Bearer token of administrators; without one, only health and metrics are served.
    pub admin_token: Option<String>,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Public keys of the two owners, who both sign each bundle.
    pub owners: Owners,
    /// Lowest bundle version that is accepted.
    pub min_version: u64,
    /// Longest time that a starting node waits for peers it can't reach.
    pub join_wait: Duration,
    /// Time from the failing readiness check until the node stops accepting; it covers the balancer's lag.
    pub balancer_lag: Duration,
    /// Number of threads that serve sockets.
    pub workers: usize,
    /// Policy for choosing upstreams, retries and limits.
    pub policy: PolicyMode,
    /// Key that authenticates tickets. It is new for each start, so that tickets of an earlier start are invalid.
    pub ticket_key: [u8; 32],
    /// Identifies this start; it differs from every earlier start of the same node.
    pub start: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

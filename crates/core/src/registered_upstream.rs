//! Registry entry of an upstream.

use crate::prelude::*;
use std::net::SocketAddr;

/// Registry entry of one upstream process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Name of this start of the process. Each request carries it, so that no later process at the address runs it.
    pub instance: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Arc<str>,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Whether it is draining before its end and takes no new requests.
    pub leaving: bool,
    /// Remaining warm-up time when the entry was read.
    pub cold_for: Duration,
    /// Start of the process in milliseconds since the Unix epoch, or 0 if unknown.
    pub started_at_ms: u64,
}

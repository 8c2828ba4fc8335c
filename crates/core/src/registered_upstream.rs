//! An upstream as it registers itself.

use crate::prelude::*;
use std::net::SocketAddr;

/// What the registry says of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Name of this start, which each request names so that no other process runs it.
    pub instance: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// How much longer it is cold, at the time of the entry.
    pub cold_for: Duration,
    /// Start of its process in milliseconds since the Unix epoch, or 0 if unknown.
    pub started_at_ms: u64,
}

//! A simulated process of an upstream, and the requests that it runs.

use medlarpost_core::prelude::*;

#[derive(Clone, Copy, Debug)]
pub(super) struct SimRequest {
    pub(super) node: usize,
    pub(super) upstream: usize,
    pub(super) key: UpstreamKey,
    pub(super) attempt: AttemptKey,
    /// Latest generation of the upstream's process that the node knew of when it sent the request.
    pub(super) known_generation: u64,
}

pub(super) struct UpstreamProcess {
    pub(super) started_us: u64,
    pub(super) generation: u64,
    pub(super) good_replies: u64,
    pub(super) running: Vec<SimRequest>,
}

impl UpstreamProcess {
    pub(super) fn started_at_ms(&self) -> u64 {
        1_000_000 + self.generation * 1_000_000 + self.started_us / 1_000
    }

    pub(super) fn report(&self, now: u64) -> LoadReport {
        LoadReport {
            started_at_ms: self.started_at_ms(),
            uptime_ms: Some((now - self.started_us) / 1_000),
            in_flight: self.running.len() as u32,
            slots: 3,
        }
    }
}

impl SimRequest {
    pub(super) fn is_same_attempt(&self, other: &Self) -> bool {
        (self.node, self.attempt) == (other.node, other.attempt)
    }
}

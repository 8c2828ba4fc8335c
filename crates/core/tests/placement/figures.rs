//! Figures of one simulated run.

use crate::upstream_model::UpstreamModel;
use medlarpost_core::prelude::*;
use std::fmt;

/// What a run measures, after its warm-up.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    measured_micros: u64,
    /// Time in which a slot idles while another upstream has a queue.
    idle_micros: u64,
    /// Slots that idle while as many requests wait at other upstreams, summed over time.
    wasted_slot_micros: u64,
    slots: u64,
    latencies: Vec<u64>,
    /// Replies after the latency objective.
    late: usize,
    /// Messages between nodes, and the observations in them.
    messages: usize,
    observations: usize,
    pub refused: usize,
    pub max_queue: usize,
    pub sent: usize,
    /// Those to the upstream that may be disturbed.
    pub sent_to_disturbed: usize,
    /// Connections that were opened.
    opened: usize,
    /// Those beyond what the upstream accepts, which it would reset.
    opened_over_limit: usize,
    max_open: usize,
    pub sent_to_other_zones: usize,
}

impl Figures {
    /// Adds a period in which the state of the upstreams did not change.
    pub fn add_period(&mut self, from: Timestamp, to: Timestamp, upstreams: &[UpstreamModel]) {
        let time = to.since(from).as_micros() as u64;
        let idle: u64 = upstreams
            .iter()
            .filter(|upstream| !upstream.is_paused(from) && upstream.queue.is_empty())
            .map(|upstream| u64::from(upstream.slots - upstream.running))
            .sum();
        let queued: usize = upstreams.iter().map(|upstream| upstream.queue.len()).sum();
        self.measured_micros += time;
        self.slots = upstreams.iter().map(|u| u64::from(u.slots)).sum();
        self.wasted_slot_micros += time * idle.min(queued as u64);
        if idle > 0 && queued > 0 {
            self.idle_micros += time;
        }
        let longest = upstreams.iter().map(|upstream| upstream.queue.len()).max();
        self.max_queue = self.max_queue.max(longest.unwrap_or_default());
    }

    /// Adds a new connection to an upstream that has now so many.
    pub fn add_opened(&mut self, open: usize, limit: u32) {
        self.opened += 1;
        self.opened_over_limit += usize::from(open > limit as usize);
        self.max_open = self.max_open.max(open);
    }

    pub fn add_latency(&mut self, latency: Duration, objective: Duration) {
        self.late += usize::from(latency > objective);
        self.latencies.push(latency.as_micros() as u64);
    }

    pub fn add_messages(&mut self, messages: usize, observations: usize) {
        self.messages += messages;
        self.observations += observations;
    }

    pub fn finish(&mut self) {
        self.latencies.sort_unstable();
    }

    pub fn quantile_ms(&self, share: f64) -> f64 {
        let index = (self.latencies.len() as f64 * share) as usize;
        self.latencies[index.min(self.latencies.len() - 1)] as f64 / 1_000.0
    }

    /// Share of time in which a slot idles while another upstream has a queue.
    pub fn idle_share(&self) -> f64 {
        self.idle_micros as f64 / self.measured_micros as f64
    }

    /// Share of all slots that idle while as many requests wait elsewhere.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_slot_micros as f64 / (self.measured_micros * self.slots) as f64
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.refused + self.latencies.len()) as f64
    }

    /// Share of requests that are not answered within the latency objective.
    pub fn late_share(&self) -> f64 {
        (self.refused + self.late) as f64 / (self.refused + self.latencies.len()) as f64
    }

    /// Share of all attempts that go to the upstream that may be disturbed.
    pub fn disturbed_share(&self) -> f64 {
        self.sent_to_disturbed as f64 / self.sent as f64
    }

    /// Observations sent per second by all nodes.
    pub fn observations_per_sec(&self) -> f64 {
        self.observations as f64 * 1e6 / self.measured_micros as f64
    }

    /// Messages between nodes sent per second by all nodes.
    pub fn messages_per_sec(&self) -> f64 {
        self.messages as f64 * 1e6 / self.measured_micros as f64
    }

    /// Attempts on a connection that the upstream would reset, as a share of all.
    pub fn share_over_limit(&self) -> f64 {
        self.opened_over_limit as f64 / self.sent as f64
    }

    pub fn cross_zone_share(&self) -> f64 {
        self.sent_to_other_zones as f64 / self.sent as f64
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p50, p99) = (self.quantile_ms(0.5), self.quantile_ms(0.99));
        write!(
            f,
            "late {:.4} idle {:.3} wasted {:.4} p50 {p50:.1} p99 {p99:.1} max queue {} refused {:.4} other zone {:.3} opened {:.4} over {:.4} max open {} messages {:.0} observations {:.0}",
            self.late_share(),
            self.idle_share(),
            self.wasted_share(),
            self.max_queue,
            self.refused_share(),
            self.cross_zone_share(),
            self.opened as f64 / self.sent as f64,
            self.share_over_limit(),
            self.max_open,
            self.messages_per_sec(),
            self.observations_per_sec(),
        )
    }
}

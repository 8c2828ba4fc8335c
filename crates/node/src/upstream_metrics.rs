//! Prometheus metrics of sub-requests and of connections to upstreams.

use crate::prelude::*;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters of sub-requests and a gauge of connections.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamMetrics {
    sub_requests: IntCounterVec,
    outcomes: IntCounterVec,
    shards_asked: IntCounter,
    connections: IntGauge,
}

/// Counts a connection as long as it exists.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(IntGauge);

impl UpstreamMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            sub_requests: IntCounterVec::new(
                Opts::new(
                    "medlarpost_sub_requests_total",
                    "Sub-requests sent, with hedges and retries",
                ),
                &["kind"],
            )?,
            outcomes: IntCounterVec::new(
                Opts::new(
                    "medlarpost_sub_request_outcomes_total",
                    "Sub-requests that ended, by outcome",
                ),
                &["outcome"],
            )?,
            shards_asked: IntCounter::new(
                "medlarpost_shards_asked_total",
                "Shards of answered queries, which is the number of primary sub-requests",
            )?,
            connections: IntGauge::new(
                "medlarpost_upstream_connections",
                "Connections to upstreams, open or opening",
            )?,
        };
        registry.register(Box::new(metrics.sub_requests.clone()))?;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.shards_asked.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn record_query(&self, asked: u32) {
        self.shards_asked.inc_by(u64::from(asked));
    }

    pub(crate) fn record_sent(&self, request: &SubRequest) {
        let kind = match request {
            SubRequest::Search { .. } => "search",
            SubRequest::Booking { .. } => "booking",
        };
        self.sub_requests.with_label_values(&[kind]).inc();
    }

    pub(crate) fn record_outcome(&self, outcome: &Outcome) {
        let outcome = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Booked(_) => "booked",
            Outcome::Shed => "shed",
            Outcome::NotSent => "not_sent",
            Outcome::Broken => "broken",
            Outcome::Silent => "silent",
            Outcome::VersionGone => "version_gone",
            Outcome::Cancelled => "cancelled",
            Outcome::Invalid => "invalid",
        };
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn track_connection(&self) -> ConnectionGuard {
        self.connections.inc();
        ConnectionGuard(self.connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

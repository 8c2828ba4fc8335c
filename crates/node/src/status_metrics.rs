//! Metrics that are set from the node's status when they are scraped.

use crate::{key_value_drain, prelude::*, status_json::StatusReply};
use prometheus::{
    Gauge, GaugeVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Metrics of the status. Label values are fixed names and names from the bundle.
#[derive(Clone, Debug)]
pub(crate) struct StatusMetrics {
    upstreams: IntGaugeVec,
    zones_in: IntGaugeVec,
    running: IntGaugeVec,
    fresh: Gauge,
    ready: IntGauge,
    budgets: GaugeVec,
    attempts: IntCounterVec,
    waiting: IntGaugeVec,
    admitted: IntGauge,
    late_replies: IntCounter,
    log_lines_suppressed: IntCounter,
}

impl StatusMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            upstreams: IntGaugeVec::new(
                Opts::new("medlarpost_upstreams", "Upstreams by state"),
                &["state"],
            )?,
            zones_in: IntGaugeVec::new(
                Opts::new("medlarpost_zone_in", "1 if the zone takes new work"),
                &["zone"],
            )?,
            running: IntGaugeVec::new(
                Opts::new(
                    "medlarpost_running",
                    "Queries, bookings and sub-requests in progress",
                ),
                &["kind"],
            )?,
            fresh: Gauge::new(
                "medlarpost_fresh_seconds",
                "Time for which new work is accepted without another confirmation",
            )?,
            ready: IntGauge::new(
                "medlarpost_ready",
                "1 if the node passes its readiness check",
            )?,
            budgets: GaugeVec::new(
                Opts::new(
                    "medlarpost_budget",
                    "Requests left in each retry budget, and the share of sub-requests that is added to it",
                ),
                &["budget"],
            )?,
            attempts: IntCounterVec::new(
                Opts::new(
                    "medlarpost_search_attempts_total",
                    "Sub-requests of searches by kind; canary and cancelled ones are also counted under their other kind",
                ),
                &["kind"],
            )?,
            waiting: IntGaugeVec::new(
                Opts::new(
                    "medlarpost_waiting",
                    "Queries that wait for admission, and sub-requests that wait for an upstream",
                ),
                &["kind"],
            )?,
            admitted: IntGauge::new(
                "medlarpost_admitted_queries",
                "Queries in progress, without those that wait for admission",
            )?,
            late_replies: IntCounter::new(
                "medlarpost_late_replies_total",
                "Replies that arrived after their query or booking had ended",
            )?,
            log_lines_suppressed: IntCounter::new(
                "medlarpost_log_lines_suppressed_total",
                "Log lines not written because their event was too frequent",
            )?,
        };
        registry.register(Box::new(metrics.upstreams.clone()))?;
        registry.register(Box::new(metrics.zones_in.clone()))?;
        registry.register(Box::new(metrics.running.clone()))?;
        registry.register(Box::new(metrics.fresh.clone()))?;
        registry.register(Box::new(metrics.ready.clone()))?;
        registry.register(Box::new(metrics.budgets.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.admitted.clone()))?;
        registry.register(Box::new(metrics.late_replies.clone()))?;
        registry.register(Box::new(metrics.log_lines_suppressed.clone()))?;
        Ok(metrics)
    }

    /// Sets all metrics from a status report.
    pub(crate) fn observe(&self, status: &StatusReply) {
        let engine = &status.report.engine;
        self.upstreams.reset();
        for upstream in &engine.upstreams {
            self.upstreams.with_label_values(&[&upstream.state]).inc();
        }
        self.zones_in.reset();
        for zone in &engine.zones {
            let is_in = i64::from(zone.state == ZoneState::In);
            self.zones_in.with_label_values(&[&zone.name]).set(is_in);
        }
        let running = engine.running;
        let counts = [
            ("query", running.queries),
            ("booking", running.bookings),
            ("sub_request", running.attempts),
        ];
        for (kind, count) in counts {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.running.with_label_values(&[kind]).set(count);
        }
        self.fresh.set(engine.fresh_for_ms as f64 / 1_000.0);
        self.ready.set(i64::from(status.control.ready));
        self.budgets.reset();
        for (name, left) in &engine.budgets {
            self.budgets.with_label_values(&[name]).set(*left);
        }
        self.observe_statistics(&engine.statistics);
        raise_counter(&self.late_replies, engine.late_replies);
        raise_counter(
            &self.log_lines_suppressed,
            key_value_drain::suppressed_lines(),
        );
    }

    fn observe_statistics(&self, statistics: &EngineStatistics) {
        let totals = [
            ("primary", statistics.primaries),
            ("retry", statistics.retries),
            ("hedge", statistics.hedges),
            ("canary", statistics.canaries),
            ("cancelled", statistics.cancelled),
        ];
        for (kind, total) in totals {
            raise_counter(&self.attempts.with_label_values(&[kind]), total);
        }
        let sizes = [
            ("query", statistics.queue_length),
            ("sub_request", statistics.waiting_shards),
        ];
        for (kind, size) in sizes {
            self.waiting.with_label_values(&[kind]).set(i64::from(size));
        }
        self.admitted.set(i64::from(statistics.running));
    }
}

/// Raises a counter to a total that is counted elsewhere; a lower total leaves it unchanged.
fn raise_counter(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

//! Prometheus metrics of one node.

use crate::{
    caller_json::millis,
    prelude::*,
    status_json::StatusReply,
    status_metrics::StatusMetrics,
    upstream_metrics::{ConnectionGuard, UpstreamMetrics},
};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets in seconds. The target of 130 ms is a bound, so that its share can be read.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.13, 0.2, 0.4, 0.8, 2.0, 10.0,
];

/// Upper bounds of the coverage buckets, as ratios of shards answered to shards asked.
const COVERAGE_BUCKETS: [f64; 6] = [0.0, 0.5, 0.9, 0.98, 0.999_999, 1.0];

/// Metrics of one node. Label values come from the bundle's workspaces and fixed names, so that callers can't add any.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    latency: HistogramVec,
    coverage: HistogramVec,
    bookings: IntCounterVec,
    refusals: IntCounterVec,
    active_version: IntGauge,
    bundles_refused: IntCounter,
    upstreams: UpstreamMetrics,
    status: StatusMetrics,
    bundle_conflicts: IntCounter,
    freshness_lapses: IntCounter,
    links: IntGauge,
    links_refused: IntCounterVec,
    links_lost: IntCounterVec,
    link_bytes: IntCounterVec,
    news_dropped: IntCounter,
}

impl Metrics {
    /// Metrics registered in a new registry.
    ///
    /// # Panics
    ///
    /// Never, because names and labels are constant and unique.
    pub fn new() -> Self {
        Self::register().expect("names and labels of metrics are valid and unique")
    }

    fn register() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "medlarpost_query_seconds",
            "Time from arrival to answer of a query",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let coverage = HistogramOpts::new(
            "medlarpost_query_coverage_ratio",
            "Ratio of shards that answered to shards asked",
        )
        .buckets(COVERAGE_BUCKETS.to_vec());
        let metrics = Self {
            latency: HistogramVec::new(latency, &["tenant", "class"])?,
            coverage: HistogramVec::new(coverage, &["tenant", "class"])?,
            bookings: IntCounterVec::new(
                Opts::new("medlarpost_bookings_total", "Bookings answered"),
                &["tenant", "replayed"],
            )?,
            refusals: IntCounterVec::new(
                Opts::new("medlarpost_refusals_total", "Requests refused, by kind"),
                &["tenant", "kind"],
            )?,
            active_version: IntGauge::new(
                "medlarpost_bundle_version",
                "Version of the active bundle; 0 if none",
            )?,
            bundles_refused: IntCounter::new(
                "medlarpost_bundles_refused_total",
                "Bundles that were not accepted",
            )?,
            upstreams: UpstreamMetrics::register(&registry)?,
            status: StatusMetrics::register(&registry)?,
            bundle_conflicts: IntCounter::new(
                "medlarpost_bundle_conflicts_total",
                "Bundles with the active version but another digest",
            )?,
            freshness_lapses: IntCounter::new(
                "medlarpost_freshness_lapses_total",
                "Times that the confirmation of the configuration expired",
            )?,
            links: IntGauge::new("medlarpost_links", "Links to peers that are up")?,
            links_refused: IntCounterVec::new(
                Opts::new(
                    "medlarpost_links_refused_total",
                    "Connections not accepted as links",
                ),
                &["reason"],
            )?,
            links_lost: IntCounterVec::new(
                Opts::new(
                    "medlarpost_links_lost_total",
                    "Links that broke or whose peer went silent",
                ),
                &["reason"],
            )?,
            link_bytes: IntCounterVec::new(
                Opts::new("medlarpost_link_bytes_total", "Bytes of frames on links"),
                &["direction"],
            )?,
            news_dropped: IntCounter::new(
                "medlarpost_news_dropped_total",
                "News items dropped because a peer was slow",
            )?,
            registry,
        };
        metrics.register_links()?;
        metrics
            .registry
            .register(Box::new(metrics.latency.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.coverage.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.bookings.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.refusals.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.active_version.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.bundles_refused.clone()))?;
        Ok(metrics)
    }

    fn register_links(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.bundle_conflicts.clone()))?;
        registry.register(Box::new(self.freshness_lapses.clone()))?;
        registry.register(Box::new(self.links.clone()))?;
        registry.register(Box::new(self.links_refused.clone()))?;
        registry.register(Box::new(self.links_lost.clone()))?;
        registry.register(Box::new(self.link_bytes.clone()))?;
        registry.register(Box::new(self.news_dropped.clone()))
    }

    /// Counts a bundle that has the active version but another digest.
    pub fn record_bundle_conflict(&self) {
        self.bundle_conflicts.inc();
    }

    /// Counts an expiry of the configuration's confirmation.
    pub fn record_lapse(&self) {
        self.freshness_lapses.inc();
    }

    /// Changes the number of links that are up: 1 for a new link, -1 for one that ended.
    pub fn change_link_count(&self, change: i64) {
        self.links.add(change);
    }

    /// Counts a connection that was refused in the handshake, by reason.
    pub fn record_refused_link(&self, reason: &str) {
        self.links_refused.with_label_values(&[reason]).inc();
    }

    /// Counts a link that broke or whose peer went silent, by reason.
    pub fn record_lost_link(&self, reason: &str) {
        self.links_lost.with_label_values(&[reason]).inc();
    }

    /// Adds bytes of frames sent and received on links.
    pub fn add_link_bytes(&self, sent: u64, received: u64) {
        self.link_bytes.with_label_values(&["sent"]).inc_by(sent);
        self.link_bytes
            .with_label_values(&["received"])
            .inc_by(received);
    }

    /// Counts news that was dropped from the queue of a slow peer.
    pub fn record_dropped_news(&self) {
        self.news_dropped.inc();
    }

    /// Records the latency and coverage of an answered query.
    pub fn record_answer(&self, workspace: &str, class: &str, answer: &Answer) {
        self.latency
            .with_label_values(&[workspace, class])
            .observe(millis(answer.total_time) / 1_000.0);
        let Coverage {
            asked, answered, ..
        } = &answer.coverage;
        let ratio = f64::from(*answered) / f64::from((*asked).max(1));
        self.coverage
            .with_label_values(&[workspace, class])
            .observe(ratio);
        self.upstreams.record_query(*asked);
    }

    /// Counts a sub-request that was sent to an upstream.
    pub fn record_sent_request(&self, request: &SubRequest) {
        self.upstreams.record_sent(request);
    }

    /// Counts a sub-request that ended, by outcome.
    pub fn record_outcome(&self, outcome: &Outcome) {
        self.upstreams.record_outcome(outcome);
    }

    /// Counts a connection to an upstream until the guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard {
        self.upstreams.track_connection()
    }

    /// Sets the metrics that are read from the node's status; called before each scrape.
    pub(crate) fn observe_status(&self, status: &StatusReply) {
        self.status.observe(status);
    }

    /// Counts an answered booking; `replayed` marks the recorded outcome of an earlier request.
    pub fn record_booking(&self, workspace: &str, replayed: bool) {
        let replayed = if replayed { "true" } else { "false" };
        self.bookings
            .with_label_values(&[workspace, replayed])
            .inc();
    }

    /// Counts a refused request; `workspace` is empty if it is not authenticated.
    pub fn record_refusal(&self, workspace: &str, kind: RefusalKind) {
        self.refusals
            .with_label_values(&[workspace, kind.name()])
            .inc();
    }

    /// Sets the version of the active bundle.
    pub fn set_active_version(&self, version: u64) {
        self.active_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Counts a bundle that was not accepted.
    pub fn record_refused_bundle(&self) {
        self.bundles_refused.inc();
    }

    /// Version of the active bundle; 0 if none.
    pub fn active_version(&self) -> u64 {
        u64::try_from(self.active_version.get()).unwrap_or(0)
    }

    /// Number of links to peers that are up.
    pub fn link_count(&self) -> usize {
        usize::try_from(self.links.get()).unwrap_or(0)
    }

    /// Bytes of frames sent on links.
    pub fn link_bytes_sent(&self) -> u64 {
        self.link_bytes.with_label_values(&["sent"]).get()
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

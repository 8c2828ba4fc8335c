//! Prometheus metrics of forwarded requests.

use crate::{prelude::*, registry::RegistryError, workspace_labels::WorkspaceLabels};
use prometheus::{Histogram, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Upper bounds of the histogram buckets for answer times, in seconds.
const ANSWER_SECONDS_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0,
];

/// Upper bounds of the histogram buckets for the age of load reports, in seconds.
const REPORT_AGE_SECONDS_BUCKETS: [f64; 8] = [0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0];

/// Upper bounds of the histogram buckets for the age of the view of the registry, in seconds.
const VIEW_AGE_SECONDS_BUCKETS: [f64; 8] = [0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0];

/// Counters and histograms of forwarded requests, as shown at `/metrics`.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    answer_seconds: HistogramVec,
    report_age_seconds: Histogram,
    attempts: IntCounterVec,
    extra_attempts: IntCounterVec,
    denied_hedges: IntCounterVec,
    given_up: IntCounterVec,
    upstream_changes: IntCounterVec,
    notices: IntCounterVec,
    observations: IntCounterVec,
    workspace_answers: IntCounterVec,
    quota_decisions: IntCounterVec,
    workspaces: WorkspaceLabels,
    refused_entries: IntCounterVec,
    registry_reads: IntCounterVec,
    registry_polls: IntCounterVec,
    registry_view_age_seconds: Histogram,
}

impl ForwardMetrics {
    /// Creates the metrics and adds them to a registry.
    ///
    /// # Errors
    ///
    /// If the registry already has a metric of the same name.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter_by = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let counter = |name: &str, help: &str, label: &str| counter_by(name, help, &[label]);
        let options = HistogramOpts::new(
            "medlarpost_forward_answer_seconds",
            "Time from a caller's request to its answer, by outcome",
        );
        let answer_seconds = HistogramVec::new(
            options.buckets(ANSWER_SECONDS_BUCKETS.to_vec()),
            &["outcome"],
        )?;
        registry.register(Box::new(answer_seconds.clone()))?;
        let options = HistogramOpts::new(
            "medlarpost_forward_report_age_seconds",
            "Age of the load report of the upstream that an attempt is sent to",
        );
        let report_age_seconds =
            Histogram::with_opts(options.buckets(REPORT_AGE_SECONDS_BUCKETS.to_vec()))?;
        registry.register(Box::new(report_age_seconds.clone()))?;
        let options = HistogramOpts::new(
            "medlarpost_forward_registry_view_age_seconds",
            "Age that this node's view of the registry reached before it was confirmed again",
        );
        let registry_view_age_seconds =
            Histogram::with_opts(options.buckets(VIEW_AGE_SECONDS_BUCKETS.to_vec()))?;
        registry.register(Box::new(registry_view_age_seconds.clone()))?;
        Ok(Self {
            registry_view_age_seconds,
            registry_reads: counter(
                "medlarpost_forward_registry_reads_total",
                "Reads of the registry by this node itself, by result",
                "result",
            )?,
            registry_polls: counter(
                "medlarpost_forward_registry_polls_total",
                "Polls of the node that this one follows, by result",
                "result",
            )?,
            answer_seconds,
            report_age_seconds,
            attempts: counter(
                "medlarpost_forward_attempts_total",
                "Attempts at upstreams that ended, by outcome",
                "outcome",
            )?,
            extra_attempts: counter(
                "medlarpost_forward_extra_total",
                "Attempts beyond the first one of a shard, by cause",
                "cause",
            )?,
            denied_hedges: counter(
                "medlarpost_forward_hedges_denied_total",
                "Hedges that were due and not sent, by the reason",
                "denial",
            )?,
            given_up: counter(
                "medlarpost_forward_given_up_total",
                "Shards that were given up, by the last outcome",
                "cause",
            )?,
            upstream_changes: counter(
                "medlarpost_forward_upstream_changes_total",
                "Changes of the belief about an upstream, by the new belief",
                "to",
            )?,
            notices: counter_by(
                "medlarpost_forward_upstream_notices_total",
                "Notices that an upstream is leaving or wants no requests, by kind and by who told this node",
                &["kind", "source"],
            )?,
            observations: counter(
                "medlarpost_forward_observations_used_total",
                "Observations of upstreams by other nodes that count in the choice of upstreams, by kind",
                "kind",
            )?,
            workspace_answers: counter_by(
                "medlarpost_forward_workspace_answers_total",
                "Answers to the requests of a workspace, refusals included, by outcome",
                &["workspace", "outcome"],
            )?,
            quota_decisions: counter_by(
                "medlarpost_forward_quota_decisions_total",
                "Requests of workspaces, by workspace and by what their quota decided",
                &["workspace", "decision"],
            )?,
            workspaces: WorkspaceLabels::default(),
            refused_entries: counter(
                "medlarpost_forward_refused_entries_total",
                "Registry entries that were not used, by the field that is missing, unusable or in conflict",
                "field",
            )?,
        })
    }

    /// Counts a registry entry that was not used, by the field at fault.
    pub(crate) fn record_refused_entry(&self, field: &str) {
        self.refused_entries.with_label_values(&[field]).inc();
    }

    /// Counts a read of the registry by this node itself.
    pub(crate) fn record_registry_read(&self, result: &Result<(), RegistryError>) {
        let result = match result {
            Ok(()) => "ok",
            Err(RegistryError::Cut) => "cut",
            Err(RegistryError::HistoryLost) => "history_lost",
            Err(RegistryError::TooLarge) => "too_large",
            Err(RegistryError::Unavailable { .. }) => "unavailable",
        };
        self.registry_reads.with_label_values(&[result]).inc();
    }

    /// Counts a poll of the node that this one follows, or its loss.
    pub(crate) fn record_registry_poll(&self, result: &str) {
        self.registry_polls.with_label_values(&[result]).inc();
    }

    /// Records the age of the view of the registry when it is confirmed again.
    pub(crate) fn record_registry_view_age(&self, age: Duration) {
        self.registry_view_age_seconds.observe(age.as_secs_f64());
    }

    /// Records the age of the load report by which an upstream was chosen.
    pub(crate) fn record_report_age(&self, age: Duration) {
        self.report_age_seconds.observe(age.as_secs_f64());
    }

    /// Counts an attempt that ended, by outcome.
    pub(crate) fn record_attempt_end(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts an answer to a request of a workspace.
    pub(crate) fn record_workspace_answer(&mut self, workspace: &Arc<str>, outcome: &str) {
        let workspace = self.workspaces.label(workspace);
        self.workspace_answers
            .with_label_values(&[workspace, outcome])
            .inc();
    }

    /// Updates the metrics from a telemetry record.
    pub(crate) fn record(&mut self, telemetry: &ForwardTelemetry) {
        match telemetry {
            ForwardTelemetry::ExtraAttempt { cause, .. } => {
                self.extra_attempts.with_label_values(&[*cause]).inc();
            }
            ForwardTelemetry::HedgeDenied { denial, .. } => {
                self.denied_hedges.with_label_values(&[denial.name()]).inc();
            }
            ForwardTelemetry::ShardCutOff { .. } => {
                self.given_up.with_label_values(&["cut_off"]).inc();
            }
            ForwardTelemetry::RefusedOverloaded { .. } => {
                self.given_up.with_label_values(&["overloaded"]).inc();
            }
            ForwardTelemetry::RefusedResting { .. } => {
                self.given_up.with_label_values(&["resting"]).inc();
            }
            ForwardTelemetry::UpstreamNoticed {
                notice, from_peer, ..
            } => {
                let source = if *from_peer { "node" } else { "upstream" };
                self.notices
                    .with_label_values(&[notice.kind.name(), source])
                    .inc();
            }
            ForwardTelemetry::LoadObserved { load, .. } => {
                self.observations.with_label_values(&[load.name()]).inc();
            }
            ForwardTelemetry::RefusedStopping { .. } => {
                self.given_up.with_label_values(&["stopping"]).inc();
            }
            ForwardTelemetry::RefusedQuarantined { .. } => {
                self.given_up.with_label_values(&["barred"]).inc();
            }
            ForwardTelemetry::RefusedUnauthenticated { .. } => {
                self.given_up.with_label_values(&["unauthenticated"]).inc();
            }
            ForwardTelemetry::RefusedUnconfirmed { .. } => {
                self.given_up.with_label_values(&["unconfirmed"]).inc();
            }
            ForwardTelemetry::RefusedOverQuota { workspace, .. } => {
                self.count_quota_decision(workspace, "refused");
            }
            ForwardTelemetry::WithinQuota {
                workspace,
                decision,
            } => self.count_quota_decision(workspace, decision),
            ForwardTelemetry::ShardGivenUp { cause, .. } => {
                self.given_up.with_label_values(&[*cause]).inc();
            }
            ForwardTelemetry::Answered {
                outcome, elapsed, ..
            } => self
                .answer_seconds
                .with_label_values(&[*outcome])
                .observe(elapsed.as_secs_f64()),
            ForwardTelemetry::UpstreamChanged { to, .. } => {
                self.upstream_changes.with_label_values(&[to.name()]).inc();
            }
            ForwardTelemetry::ConfigurationApplied { .. }
            | ForwardTelemetry::RequestQuarantined { .. } => {}
        }
    }

    fn count_quota_decision(&mut self, workspace: &Arc<str>, decision: &str) {
        let workspace = self.workspaces.label(workspace);
        self.quota_decisions
            .with_label_values(&[workspace, decision])
            .inc();
    }
}

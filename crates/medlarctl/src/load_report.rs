//! Report of the load generator: refusals, coverage and latency as the callers measured them.

use hdrhistogram::Histogram;
use medlarpost_core::prelude::*;
use medlarpost_node::caller_json::{CoverageJson, millis};
use serde_json::{Value, json};
use std::fmt::{self, Display, Formatter};

/// Upper bound of the latency histograms, in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Latency quantiles of the report with their JSON keys.
const QUANTILES: [(&str, f64); 4] = [
    ("p50_ms", 0.5),
    ("p90_ms", 0.9),
    ("p99_ms", 0.99),
    ("p999_ms", 0.999),
];

/// Outcome and latency of one request.
#[derive(Debug)]
pub(crate) struct LoadResult {
    pub(crate) workspace: Arc<str>,
    /// Time since the intended start, so that a late start counts as latency.
    pub(crate) latency: Duration,
    pub(crate) outcome: LoadOutcome,
}

#[derive(Debug)]
pub(crate) enum LoadOutcome {
    /// A search was answered, with this coverage.
    SearchAnswered(CoverageJson),
    Booked,
    /// The code of the refusal, or `status` with the HTTP status if the body is no problem document.
    Refused(String),
    /// No connection, a lost one, or an answer that can't be read.
    Lost,
}

/// Totals of all requests that have ended.
#[derive(Debug)]
pub(crate) struct LoadReport {
    requests: u64,
    bookings_answered: u64,
    lost: u64,
    refusals: BTreeMap<String, u64>,
    shards_asked: u64,
    shards_answered: u64,
    searches_answered: u64,
    searches_with_full_coverage: u64,
    missing_shards: BTreeMap<String, u64>,
    latency: Histogram<u64>,
    latency_by_workspace: BTreeMap<Arc<str>, Histogram<u64>>,
}

impl LoadReport {
    pub(crate) fn new() -> Self {
        Self {
            requests: 0,
            bookings_answered: 0,
            lost: 0,
            refusals: BTreeMap::new(),
            shards_asked: 0,
            shards_answered: 0,
            searches_answered: 0,
            searches_with_full_coverage: 0,
            missing_shards: BTreeMap::new(),
            latency: latency_histogram(),
            latency_by_workspace: BTreeMap::new(),
        }
    }

    pub(crate) fn record(&mut self, result: LoadResult) {
        self.requests += 1;
        match result.outcome {
            LoadOutcome::Lost => self.lost += 1,
            LoadOutcome::Refused(kind) => *self.refusals.entry(kind).or_default() += 1,
            LoadOutcome::Booked => {
                self.bookings_answered += 1;
                self.record_latency(result.workspace, result.latency);
            }
            LoadOutcome::SearchAnswered(coverage) => {
                self.record_coverage(coverage);
                self.record_latency(result.workspace, result.latency);
            }
        }
    }

    fn record_coverage(&mut self, coverage: CoverageJson) {
        self.searches_answered += 1;
        self.shards_asked += u64::from(coverage.asked);
        self.shards_answered += u64::from(coverage.answered);
        self.searches_with_full_coverage += u64::from(coverage.missing.is_empty());
        for shard in coverage.missing {
            *self.missing_shards.entry(shard.reason).or_default() += 1;
        }
    }

    /// Called for answered requests only; refusals are fast and would hide slow answers.
    fn record_latency(&mut self, workspace: Arc<str>, latency: Duration) {
        let micros = latency.as_micros() as u64;
        self.latency.saturating_record(micros);
        self.latency_by_workspace
            .entry(workspace)
            .or_insert_with(latency_histogram)
            .saturating_record(micros);
    }

    /// One line with the totals so far, for standard error.
    pub(crate) fn progress_line(&self, elapsed: Duration) -> String {
        format!(
            "{:.0} s: {} ended, {} refused, {} lost, p99 {:.1} ms",
            elapsed.as_secs_f64(),
            self.requests,
            self.refusals.values().sum::<u64>(),
            self.lost,
            quantile_ms(&self.latency, 0.99),
        )
    }

    /// The report as one JSON object.
    pub(crate) fn to_json(&self) -> Value {
        let workspaces: serde_json::Map<_, _> = self
            .latency_by_workspace
            .iter()
            .map(|(workspace, latency)| (workspace.to_string(), latency_summary(latency)))
            .collect();
        json!({
            "requests": self.requests,
            "searches_answered": self.searches_answered,
            "bookings_answered": self.bookings_answered,
            "lost": self.lost,
            "refusals": self.refusals,
            "coverage_mean": ratio(self.shards_answered, self.shards_asked),
            "coverage_full_share": ratio(self.searches_with_full_coverage, self.searches_answered),
            "missing": self.missing_shards,
            "latency": latency_summary(&self.latency),
            "tenants": workspaces,
        })
    }
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:20} {}", "requests", self.requests)?;
        writeln!(f, "{:20} {}", "searches answered", self.searches_answered)?;
        writeln!(f, "{:20} {}", "bookings answered", self.bookings_answered)?;
        writeln!(f, "{:20} {}", "lost", self.lost)?;
        for (kind, count) in &self.refusals {
            writeln!(f, "refused {kind:12} {count}")?;
        }
        writeln!(
            f,
            "{:20} {:.5}",
            "mean coverage",
            ratio(self.shards_answered, self.shards_asked)
        )?;
        writeln!(
            f,
            "{:20} {:.5}",
            "full coverage",
            ratio(self.searches_with_full_coverage, self.searches_answered)
        )?;
        for (reason, count) in &self.missing_shards {
            writeln!(f, "missing {reason:12} {count}")?;
        }
        writeln!(
            f,
            "{:20} {:>8} {:>10} {:>10} {:>10} {:>10}",
            "latency in ms", "answers", "p50", "p90", "p99", "p99.9"
        )?;
        write_latency_row(f, "all", &self.latency)?;
        for (workspace, latency) in &self.latency_by_workspace {
            write_latency_row(f, workspace, latency)?;
        }
        Ok(())
    }
}

fn write_latency_row(f: &mut Formatter<'_>, name: &str, latency: &Histogram<u64>) -> fmt::Result {
    write!(f, "{name:20} {:>8}", latency.len())?;
    for (_, quantile) in QUANTILES {
        write!(f, " {:>10.1}", quantile_ms(latency, quantile))?;
    }
    writeln!(f)
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}

fn latency_summary(latency: &Histogram<u64>) -> Value {
    let mut figures = json!({ "answers": latency.len() });
    for (name, quantile) in QUANTILES {
        figures[name] = json!(quantile_ms(latency, quantile));
    }
    figures
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    millis(Duration::from_micros(latency.value_at_quantile(quantile)))
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

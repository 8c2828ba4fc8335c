//! Report of a demonstration: violated invariants, latency, coverage and the load on the upstreams.

use crate::{
    invariant_violations::{self, InvariantViolations},
    observation::{Loss, QueryObservation, QueryOutcome},
    run_record::RunRecord,
};
use hdrhistogram::Histogram;
use medlarpost_fakes::prelude::*;
use serde_json::{Value, json};
use std::{
    collections::HashSet,
    fmt::{self, Display, Formatter},
    time::Instant,
};

/// Upper bound of the latency histograms, in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Most traces of overloaded cold upstreams in a report.
const MAX_TRACES: usize = 5;

/// Latency below which an answered query counts as recovered from an overload.
const NORMAL_LATENCY: Duration = Duration::from_millis(500);

/// Figures of one run and its violated invariants.
#[derive(Debug)]
pub struct DemoReport {
    values: Value,
    violated_invariants: Vec<&'static str>,
}

/// Totals over the queries of the measured time.
struct QueryTotals {
    queries: u64,
    answered: u64,
    losses: BTreeMap<String, u64>,
    refusals: BTreeMap<String, u64>,
    coverage_sum: f64,
    full_coverage: u64,
    latency: Histogram<u64>,
    latency_by_workspace: BTreeMap<&'static str, Histogram<u64>>,
}

impl DemoReport {
    pub(crate) fn new(parameters: &Value, record: &RunRecord, capacity: f64) -> Self {
        let violations = InvariantViolations::from_record(record);
        let measured: Vec<_> = record
            .queries
            .iter()
            .filter(|query| query.intended_start >= record.start)
            .collect();
        let totals = QueryTotals::from_queries(&measured);
        let mut values = parameters.clone();
        for (name, value) in violations.by_name() {
            values[name] = json!(value);
        }
        totals.write_to(&mut values);
        write_upstream_figures(&mut values, record, &measured);
        write_overload_figures(&mut values, record, capacity);
        let seconds = (record.end - record.start).as_secs_f64();
        values["goodput_per_s"] = json!(round_to_4_places(totals.answered as f64 / seconds));
        values["capacity_per_s"] = json!(round_to_4_places(capacity));
        values["bookings"] = json!(record.bookings.len());
        values["config_propagation_ms"] = json!(record.config.max_propagation.as_millis() as u64);
        Self {
            values,
            violated_invariants: violations.violated_invariants(),
        }
    }

    /// Parameters and figures of the run as one JSON object.
    pub fn to_json(&self) -> &Value {
        &self.values
    }

    /// Report names of the violated invariants; empty for a good run.
    pub fn violated_invariants(&self) -> &[&'static str] {
        &self.violated_invariants
    }
}

impl QueryTotals {
    fn from_queries(queries: &[&QueryObservation]) -> Self {
        let mut totals = Self {
            queries: queries.len() as u64,
            answered: 0,
            losses: BTreeMap::new(),
            refusals: BTreeMap::new(),
            coverage_sum: 0.0,
            full_coverage: 0,
            latency: latency_histogram(),
            latency_by_workspace: BTreeMap::new(),
        };
        for query in queries {
            totals.record(query);
        }
        totals
    }

    fn record(&mut self, query: &QueryObservation) {
        match &query.outcome {
            QueryOutcome::Answered {
                shards, answered, ..
            } => {
                self.answered += 1;
                self.coverage_sum += f64::from(*answered) / f64::from((*shards).max(1));
                self.full_coverage += u64::from(answered == shards);
                let micros = query.latency.as_micros() as u64;
                self.latency.saturating_record(micros);
                let workspace = self.latency_by_workspace.entry(query.workspace);
                workspace
                    .or_insert_with(latency_histogram)
                    .saturating_record(micros);
            }
            QueryOutcome::Refused(refusal) => {
                *self.refusals.entry(refusal.kind.clone()).or_default() += 1;
            }
            QueryOutcome::Lost(loss) => {
                let name = match loss {
                    Loss::CutOff => "cut_off",
                    Loss::NotReached => "not_reached",
                    Loss::Unanswered => "unanswered",
                };
                *self.losses.entry(name.to_owned()).or_default() += 1;
            }
        }
    }

    fn write_to(&self, values: &mut Value) {
        let answered = self.answered.max(1) as f64;
        let workspaces: serde_json::Map<_, _> = self
            .latency_by_workspace
            .iter()
            .map(|(workspace, latency)| ((*workspace).to_owned(), latency_summary(latency)))
            .collect();
        values["queries"] = json!(self.queries);
        values["answered"] = json!(self.answered);
        values["refused"] = json!(self.refusals.values().sum::<u64>());
        values["refusals"] = json!(self.refusals);
        values["losses"] = json!(self.losses);
        values["p50_ms"] = json!(quantile_ms(&self.latency, 0.5));
        values["p99_ms"] = json!(quantile_ms(&self.latency, 0.99));
        values["p999_ms"] = json!(quantile_ms(&self.latency, 0.999));
        values["coverage_mean"] = json!(round_to_4_places(self.coverage_sum / answered));
        values["coverage_full_share"] =
            json!(round_to_4_places(self.full_coverage as f64 / answered));
        values["tenants"] = Value::Object(workspaces);
    }
}

fn write_upstream_figures(values: &mut Value, record: &RunRecord, measured: &[&QueryObservation]) {
    let mut answered = HashSet::new();
    let mut shards_asked = 0;
    for query in measured {
        if let QueryOutcome::Answered { shards, .. } = &query.outcome {
            answered.insert((&*query.id.text, query.id.limit));
            shards_asked += u64::from(*shards);
        }
    }
    let requests = invariant_violations::count_events(&record.events, |event| match event {
        FakeUpstreamEvent::ShardStarted { query, limit, .. } => {
            answered.contains(&(&**query, *limit))
        }
        _ => false,
    });
    let count = |wanted: fn(&FakeUpstreamEvent) -> bool| {
        json!(invariant_violations::count_events(&record.events, wanted))
    };
    values["upstream_requests_per_subquery"] = json!(round_to_4_places(
        requests as f64 / shards_asked.max(1) as f64
    ));
    values["late_replies"] = count(|event| matches!(event, FakeUpstreamEvent::ReplyUnwanted));
    values["shed"] = count(|event| matches!(event, FakeUpstreamEvent::Shed));
    let traces = record
        .events
        .iter()
        .filter_map(|recorded| match &recorded.event {
            FakeUpstreamEvent::ColdOverload { trace } => Some(trace),
            _ => None,
        });
    values["cold_overload_traces"] = json!(traces.take(MAX_TRACES).collect::<Vec<_>>());
    values["upstreams_crashed"] =
        json!(invariant_violations::max_crashes_per_query(&record.events));
}

fn write_overload_figures(values: &mut Value, record: &RunRecord, capacity: f64) {
    let Some((from, to)) = record.overload else {
        return;
    };
    let within = |from: Instant, to: Instant| {
        record
            .queries
            .iter()
            .filter(move |query| query.intended_start >= from && query.intended_start < to)
    };
    // A partial answer counts by its coverage, so that leaving out shards does not raise the goodput.
    let answered_work: f64 = within(from, to).map(covered_share).sum();
    let goodput = answered_work / (to - from).as_secs_f64();
    let not_normal = within(to, record.end).filter(|query| !is_normal(query));
    let recovery = not_normal.map(|query| query.intended_start - to).max();
    values["overload_goodput_share"] = json!(round_to_4_places(goodput / capacity));
    values["overload_recovery_ms"] = json!(recovery.unwrap_or_default().as_millis() as u64);
}

/// Share of the shards that are in the answer; 0 for a query without one.
fn covered_share(query: &QueryObservation) -> f64 {
    match query.outcome {
        QueryOutcome::Answered {
            shards, answered, ..
        } => f64::from(answered) / f64::from(shards.max(1)),
        QueryOutcome::Refused(_) | QueryOutcome::Lost(_) => 0.0,
    }
}

fn is_normal(query: &QueryObservation) -> bool {
    matches!(query.outcome, QueryOutcome::Answered { .. }) && query.latency < NORMAL_LATENCY
}

impl Display for DemoReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (name, figure) in self.values.as_object().into_iter().flatten() {
            writeln!(f, "{name:32} {figure}")?;
        }
        match self.violated_invariants.as_slice() {
            [] => writeln!(f, "all invariants hold"),
            names => writeln!(f, "violated: {}", names.join(", ")),
        }
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}

fn latency_summary(latency: &Histogram<u64>) -> Value {
    json!({
        "count": latency.len(),
        "p50_ms": quantile_ms(latency, 0.5),
        "p99_ms": quantile_ms(latency, 0.99),
        "p999_ms": quantile_ms(latency, 0.999),
    })
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    (latency.value_at_quantile(quantile) as f64 / 100.0).round() / 10.0
}

fn round_to_4_places(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

//! Measured latency, retry budget and admission of one service.

use crate::{
    admission::Admission, concurrency_limit::ConcurrencyLimit, latency_histogram::LatencyHistogram,
    prelude::*, retry_budget::RetryBudget,
};

/// Quantile of the sub-request latency that is taken as the time a query needs.
const EXPECTED_TIME_QUANTILE: f64 = 0.95;

/// Quantile of the sub-request latency below which a sub-request can't be expected to finish.
const MIN_TIME_QUANTILE: f64 = 0.1;

/// Quantile of the sub-request latency from which the cut-off is derived.
const CUT_OFF_QUANTILE: f64 = 0.95;

/// Multiple of that quantile after which a tail query stops waiting: a hedge is sent after about one of them and is
/// answered within another, so that a shard still open then has missed twice.
const CUT_OFF_MULTIPLE: u32 = 3;

/// Replies needed before hedges and cut-offs rely on the measured latency.
const MIN_SAMPLES: u32 = 50;

/// Initial limit of concurrent queries, as a multiple of the slots of the smallest shard: one running, one in transit.
const INITIAL_LIMIT_MULTIPLE: u32 = 2;

/// Upper bound of concurrent queries, as a multiple of the slots of the smallest shard.
const MAX_LIMIT_MULTIPLE: u32 = 16;

/// Latency, retry budget and admission of one service. It is kept when the bundle changes.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) latency: LatencyHistogram,
    pub(crate) budget: RetryBudget,
    pub(crate) admission: Admission,
}

impl ServiceState {
    pub(crate) fn new(bundle: &Bundle, layout: &ShardLayout) -> Self {
        let slots = smallest_shard_slots(bundle, layout);
        let limit =
            ConcurrencyLimit::new(slots * INITIAL_LIMIT_MULTIPLE, slots * MAX_LIMIT_MULTIPLE);
        Self {
            latency: LatencyHistogram::default(),
            budget: RetryBudget::default(),
            admission: Admission::new(limit),
        }
    }

    /// Adapts the upper bound of concurrent queries to the slots of a new bundle or layout.
    pub(crate) fn update_slots(&mut self, bundle: &Bundle, layout: &ShardLayout) {
        let slots = smallest_shard_slots(bundle, layout);
        self.admission.set_max_running(slots * MAX_LIMIT_MULTIPLE);
    }

    /// Time that a query is expected to take from its start; zero while the latency is not known.
    pub(crate) fn expected_query_time(&mut self) -> Duration {
        self.latency
            .quantile(EXPECTED_TIME_QUANTILE)
            .unwrap_or_default()
    }

    /// Time below which a sub-request is not worth sending; zero while the latency is not known.
    pub(crate) fn min_sub_request_time(&mut self) -> Duration {
        self.latency.quantile(MIN_TIME_QUANTILE).unwrap_or_default()
    }

    /// Time after which a hedge is sent; `None` while the latency is not known.
    pub(crate) fn hedge_delay(&mut self, quantile: f64) -> Option<Duration> {
        if self.latency.len() < MIN_SAMPLES {
            return None;
        }
        self.latency.quantile(quantile)
    }

    /// Time after which a tail query stops waiting for its last shards; `None` while the latency is not known.
    pub(crate) fn tail_cut_off(&mut self) -> Option<Duration> {
        if self.latency.len() < MIN_SAMPLES {
            return None;
        }
        let latency = self.latency.quantile(CUT_OFF_QUANTILE)?;
        Some(latency * CUT_OFF_MULTIPLE)
    }
}

/// Number of slots of the shard with the fewest slots; at least 1.
fn smallest_shard_slots(bundle: &Bundle, layout: &ShardLayout) -> u32 {
    let slots: BTreeMap<_, _> = bundle
        .upstreams
        .iter()
        .map(|upstream| (upstream.name.as_str(), upstream.slots))
        .collect();
    let shard_slots = |replicas: &Vec<String>| -> u32 {
        let found = replicas.iter().filter_map(|name| slots.get(name.as_str()));
        found.sum()
    };
    let smallest = layout.shards.iter().map(shard_slots).min();
    smallest.unwrap_or(1).max(1)
}

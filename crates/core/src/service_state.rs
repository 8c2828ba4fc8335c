//! What the engine learns about one service.

use crate::{
    admission::Admission, concurrency_limit::ConcurrencyLimit, latency_histogram::LatencyHistogram,
    prelude::*, retry_budget::RetryBudget,
};

/// Quantile of the latency that a query needs to be worth starting.
const EXPECTED_TIME_QUANTILE: f64 = 0.95;

/// Quantile of the latency within which a sub-request can't be expected to finish.
const MIN_TIME_QUANTILE: f64 = 0.1;

/// Quantile of the latency that the cut-off is derived from.
const CUT_OFF_QUANTILE: f64 = 0.95;

/// Multiple of that quantile at which a tail query stops to wait: a hedge goes out after about one of them and is
/// answered within another, so that a shard that is still open has missed twice.
const CUT_OFF_MULTIPLE: u32 = 3;

/// Replies needed before hedges and cut-offs rely on the latency.
const MIN_SAMPLES: u32 = 50;

/// Running queries at the start, as a multiple of the slots of the smallest shard: one running, one under way.
const INITIAL_LIMIT_MULTIPLE: u32 = 2;

/// Most running queries, as a multiple of the slots of the smallest shard.
const MAX_LIMIT_MULTIPLE: u32 = 16;

/// Latency, budget and admission of one service. It outlives the bundles that name the service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) latency: LatencyHistogram,
    pub(crate) budget: RetryBudget,
    pub(crate) admission: Admission,
}

impl ServiceState {
    pub(crate) fn new(bundle: &Bundle, layout: &Layout) -> Self {
        let slots = smallest_shard_slots(bundle, layout);
        let limit =
            ConcurrencyLimit::new(slots * INITIAL_LIMIT_MULTIPLE, slots * MAX_LIMIT_MULTIPLE);
        Self {
            latency: LatencyHistogram::default(),
            budget: RetryBudget::default(),
            admission: Admission::new(limit),
        }
    }

    /// Takes over the slots of a new bundle or layout.
    pub(crate) fn update_slots(&mut self, bundle: &Bundle, layout: &Layout) {
        let slots = smallest_shard_slots(bundle, layout);
        self.admission.set_most(slots * MAX_LIMIT_MULTIPLE);
    }

    /// Time that a query needs from its start.
    pub(crate) fn expected_query_time(&mut self) -> Duration {
        self.latency
            .quantile(EXPECTED_TIME_QUANTILE)
            .unwrap_or_default()
    }

    /// Time within which no sub-request can be expected to finish.
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

    /// Time after which a tail query stops to wait for its last shards; `None` while the latency is not known.
    pub(crate) fn tail_cut_off(&mut self) -> Option<Duration> {
        if self.latency.len() < MIN_SAMPLES {
            return None;
        }
        let latency = self.latency.quantile(CUT_OFF_QUANTILE)?;
        Some(latency * CUT_OFF_MULTIPLE)
    }
}

/// Slots of the shard that has the fewest, at least 1.
fn smallest_shard_slots(bundle: &Bundle, layout: &Layout) -> u32 {
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

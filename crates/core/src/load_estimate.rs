//! Estimate of an upstream's load between two of its reports.

use crate::{decay::decay, prelude::*};

/// Half-life of what a report says beyond the usual load. A few service times later the requests that it counted have
/// ended, and the upstream has those of other nodes.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(100);

/// Half-life of the reported service time, which changes many times a second.
const SERVICE_TIME_HALF_LIFE: Duration = Duration::from_millis(250);

/// Half-life of a report in the usual load. Longer than a slow spell or pause, so that neither becomes usual.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(3);

/// Share of the slots assumed to be in use before the first report. An upstream that looked idle would draw the
/// requests of all nodes at once.
const UNKNOWN_LOAD_SHARE: f64 = 0.5;

/// Least variance of the requests at an upstream: a report is already old by the time on its way.
const MIN_VARIANCE: f64 = 0.0025;

/// Width of the logistic distribution that has a variance of 1.
const LOGISTIC_WIDTH: f64 = 0.55;

/// What is known about the load of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    /// Latest report and when it arrived.
    latest: Option<(Timestamp, ReportedLoad)>,
    /// Moving average of the requests in service and in the queue, sent by whichever node.
    usual: f64,
}

impl LoadEstimate {
    /// Adds a report. One with impossible figures is ignored.
    pub(crate) fn record(&mut self, now: Timestamp, load: ReportedLoad) {
        let Some(load) = load.checked() else {
            return;
        };
        let weight = self
            .latest
            .map_or(1.0, |(at, _)| 1.0 - decay(now.since(at), USUAL_HALF_LIFE));
        self.usual += weight * (f64::from(load.requests()) - self.usual);
        self.latest = Some((now, load));
    }

    /// Latest report and when it arrived.
    pub(crate) fn latest(&self) -> Option<(Timestamp, ReportedLoad)> {
        self.latest
    }

    /// Requests at the upstream now, given those that this node has sent since the latest report and has in flight.
    pub(crate) fn expected_load(
        &self,
        now: Timestamp,
        slots: u32,
        sent_since: usize,
        in_flight: usize,
    ) -> ExpectedLoad {
        let slots = f64::from(slots);
        let (known, kept) = match self.latest {
            Some((at, load)) => {
                let kept = decay(now.since(at), REPORT_HALF_LIFE);
                let unusual = f64::from(load.requests()) - self.usual;
                (self.usual + unusual * kept, kept)
            }
            None => (slots * UNKNOWN_LOAD_SHARE, 0.0),
        };
        let requests = (known + sent_since as f64).max(in_flight as f64);
        // Requests that come and go independently vary by as much as their mean.
        let variance = (1.0 - kept * kept) * self.usual.max(0.5);
        ExpectedLoad {
            requests,
            deviation: variance.max(MIN_VARIANCE).sqrt(),
            slots,
        }
    }

    /// Service time now as a multiple of the upstream's usual one.
    pub(crate) fn service_factor(&self, now: Timestamp) -> f64 {
        let reported = self
            .latest
            .and_then(|(at, load)| Some((at, load.service_factor()?)));
        reported.map_or(1.0, |(at, factor)| {
            1.0 + (factor - 1.0) * decay(now.since(at), SERVICE_TIME_HALF_LIFE)
        })
    }
}

/// Number of requests at an upstream, as a distribution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedLoad {
    /// Mean number of requests in service and in the queue.
    requests: f64,
    /// Standard deviation of that number.
    deviation: f64,
    slots: f64,
}

impl ExpectedLoad {
    /// Mean number of requests in service and in the queue.
    pub(crate) fn requests(&self) -> f64 {
        self.requests
    }

    /// Expected number of times that all slots are used before a new request gets one.
    pub(crate) fn rounds_ahead(&self) -> f64 {
        self.mean_excess(self.requests + 1.0 - self.slots) / self.slots
    }

    /// Expected number of free slots.
    pub(crate) fn free_slots(&self) -> f64 {
        self.mean_excess(self.slots - self.requests)
    }

    /// Mean of the positive part of a logistic variable with this mean.
    fn mean_excess(&self, mean: f64) -> f64 {
        let width = self.deviation * LOGISTIC_WIDTH;
        // Adding the part above 0 separately keeps the exponent below 0.
        mean.max(0.0) + width * (-mean.abs() / width).exp().ln_1p()
    }
}

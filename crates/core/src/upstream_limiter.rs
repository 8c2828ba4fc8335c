//! Adaptive limit of the requests that this node runs at one upstream.

use crate::prelude::*;

/// Factor after a refusal by the upstream.
const SHED_DECREASE_FACTOR: f64 = 0.7;

/// Factor after a reply that did not come.
const SILENT_DECREASE_FACTOR: f64 = 0.5;

/// Factor after a reply that shows a growing queue.
const SLOW_DECREASE_FACTOR: f64 = 0.9;

/// A reply time over this multiple of the median one shows a growing queue.
const QUEUE_GROWTH_RATIO: u32 = 2;

/// Adaptive limit: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct UpstreamLimiter {
    /// Between 1 and `ceiling`.
    limit: f64,
    ceiling: u32,
    /// Attempts sent earlier have already been counted in a decrease.
    last_decrease: Option<Timestamp>,
}

/// What an attempt showed of the upstream's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadSignal {
    /// A reply after this time.
    Replied(Duration),
    /// Refused before running.
    Shed,
    /// No reply in time.
    Silent,
}

impl UpstreamLimiter {
    /// A limiter that starts at `initial` and never exceeds `ceiling`; both are at least 1.
    pub fn new(initial: u32, ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            limit: f64::from(initial.clamp(1, ceiling)),
            ceiling,
            last_decrease: None,
        }
    }

    /// Requests that may run at a time; at least 1.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the node's share of the connections.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.limit = self.limit.min(f64::from(self.ceiling));
    }

    /// Takes account of an attempt that was sent at `sent` and beside which `in_flight` requests ran, itself
    /// included. `median` is the median reply time of the upstream, if known.
    pub fn observe(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        in_flight: u32,
        median: Option<Duration>,
        signal: LoadSignal,
    ) {
        match signal {
            LoadSignal::Shed => self.decrease(now, sent, SHED_DECREASE_FACTOR),
            LoadSignal::Silent => self.decrease(now, sent, SILENT_DECREASE_FACTOR),
            LoadSignal::Replied(time)
                if median.is_some_and(|median| time > median * QUEUE_GROWTH_RATIO) =>
            {
                self.decrease(now, sent, SLOW_DECREASE_FACTOR);
            }
            // An unused limit says nothing about what the upstream bears.
            LoadSignal::Replied(_) if in_flight.saturating_mul(2) >= self.limit() => {
                self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.ceiling));
            }
            LoadSignal::Replied(_) => {}
        }
    }

    /// Decreases at most once for all the attempts that ran together.
    fn decrease(&mut self, now: Timestamp, sent: Timestamp, factor: f64) {
        if self.last_decrease.is_some_and(|at| sent < at) {
            return;
        }
        self.limit = (self.limit * factor).max(1.0);
        self.last_decrease = Some(now);
    }
}

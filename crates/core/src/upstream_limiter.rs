//! Adaptive limit of the requests that this node runs concurrently at one upstream.

use crate::prelude::*;

/// Factor by which the limit shrinks after a refusal by the upstream.
const SHED_DECREASE_FACTOR: f64 = 0.7;

/// Factor by which the limit shrinks after a missing reply.
const SILENT_DECREASE_FACTOR: f64 = 0.5;

/// Factor by which the limit shrinks after a reply that indicates a growing queue.
const SLOW_DECREASE_FACTOR: f64 = 0.9;

/// Ratio of a reply time to the median above which the reply indicates a growing queue.
const QUEUE_GROWTH_RATIO: u32 = 2;

/// Limit with additive increase and multiplicative decrease (AIMD).
#[derive(Clone, Debug)]
pub struct UpstreamLimiter {
    /// Between 1 and `ceiling`.
    limit: f64,
    ceiling: u32,
    /// Time of the last decrease, which already covers all attempts sent before it.
    last_decrease: Option<Timestamp>,
}

/// Evidence of an upstream's load from the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadSignal {
    /// It replied after this time.
    Replied(Duration),
    /// It refused the attempt without running it.
    Shed,
    /// It did not reply in time.
    Silent,
}

impl UpstreamLimiter {
    /// A limiter that starts at `initial` and never exceeds `ceiling`; both are raised to at least 1.
    pub fn new(initial: u32, ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            limit: f64::from(initial.clamp(1, ceiling)),
            ceiling,
            last_decrease: None,
        }
    }

    /// Number of requests that may run concurrently; at least 1.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the upper bound: this node's share of the connections that the upstream accepts.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.limit = self.limit.min(f64::from(self.ceiling));
    }

    /// Adjusts the limit by the end of an attempt that was sent at `sent`. `in_flight` is the number of requests that
    /// this node has in flight there, this one included, and `median` the upstream's median reply time, if known.
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
            // Below half of the limit, a reply does not show that the upstream could run more requests.
            LoadSignal::Replied(_) if in_flight.saturating_mul(2) >= self.limit() => {
                self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.ceiling));
            }
            LoadSignal::Replied(_) => {}
        }
    }

    /// Decreases the limit at most once for all attempts that were in flight together.
    fn decrease(&mut self, now: Timestamp, sent: Timestamp, factor: f64) {
        if self.last_decrease.is_some_and(|at| sent < at) {
            return;
        }
        self.limit = (self.limit * factor).max(1.0);
        self.last_decrease = Some(now);
    }
}

//! Adaptive limit of the concurrent queries of one service.

use crate::prelude::*;

/// Ratio of the latency to its floor above which a query counts as slow.
const CONGESTED_LATENCY_RATIO: f64 = 2.0;

/// Factor by which the limit shrinks after a congested window.
const DECREASE_FACTOR: f64 = 0.9;

/// Time in which the floor follows a lasting change of the latency. A sample is weighted by the time since the last
/// one: with a fixed weight, an overload of 900 queries a second raised the floor, and with it the limit, within 2 s.
const FLOOR_TIME_CONSTANT: Duration = Duration::from_mins(2);

/// Limit that grows additively and shrinks multiplicatively (AIMD), driven by the latency of the faster half of the
/// shards of each query.
///
/// The faster half distinguishes a general overload from single slow or silent upstreams.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    floor_us: f64,
    /// Time of the last latency sample.
    last_sample: Timestamp,
    queries_in_window: u32,
    slow_queries: u32,
    shed_in_window: bool,
    /// Most queries that ran concurrently in this window.
    peak_running: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at `initial` and stays between 1 and `max`.
    pub fn new(initial: u32, max: u32) -> Self {
        Self {
            limit: f64::from(initial.max(1)),
            max: f64::from(max.max(initial).max(1)),
            floor_us: 0.0,
            last_sample: Timestamp::ZERO,
            queries_in_window: 0,
            slow_queries: 0,
            shed_in_window: false,
            peak_running: 0,
        }
    }

    /// Changes the upper bound of the limit.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
        self.limit = self.limit.min(self.max);
    }

    /// Number of queries that may run concurrently; at least 1.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Records that an upstream refused work because of its load; the current window then counts as congested.
    pub fn record_shed(&mut self) {
        self.shed_in_window = true;
    }

    /// Records the end of a query. `half_answered` is the time until half of its shards had answered, or `None` if
    /// fewer did; `running` is the number of running queries, this one included.
    pub fn record_query_end(
        &mut self,
        now: Timestamp,
        half_answered: Option<Duration>,
        running: u32,
    ) {
        self.peak_running = self.peak_running.max(running);
        self.queries_in_window += 1;
        match half_answered {
            Some(latency) => self.observe(now, latency.as_micros() as f64),
            None => self.slow_queries += 1,
        }
        // One adjustment for each window of as many queries as may run: its effect is only visible after that many.
        if self.queries_in_window >= self.current() {
            self.adjust();
        }
    }

    fn observe(&mut self, now: Timestamp, sample_us: f64) {
        let elapsed = now.since(self.last_sample);
        self.last_sample = now;
        if self.floor_us == 0.0 || sample_us < self.floor_us {
            self.floor_us = sample_us;
            return;
        }
        if sample_us > self.floor_us * CONGESTED_LATENCY_RATIO {
            self.slow_queries += 1;
        }
        let weight = (elapsed.as_secs_f64() / FLOOR_TIME_CONSTANT.as_secs_f64()).min(1.0);
        self.floor_us += (sample_us - self.floor_us) * weight;
    }

    fn adjust(&mut self) {
        let congested = self.shed_in_window || self.slow_queries * 2 > self.queries_in_window;
        if congested {
            self.limit *= DECREASE_FACTOR;
        } else if self.peak_running >= self.current() {
            self.limit += 1.0;
        }
        self.limit = self.limit.clamp(1.0, self.max);
        (
            self.queries_in_window,
            self.slow_queries,
            self.shed_in_window,
            self.peak_running,
        ) = (0, 0, false, 0);
    }
}

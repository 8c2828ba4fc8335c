//! Admission of the queries of one service.

use crate::{concurrency_limit::ConcurrencyLimit, fair_queue::FairQueue, prelude::*};

/// Weight of one sample in the average interval between the ends of queries.
const END_INTERVAL_WEIGHT: f64 = 0.1;

/// Queries that run and wait, and how fast they end.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    queue: FairQueue,
    running: u32,
    /// Average time between the ends of queries while others wait, in microseconds; 0 if not known.
    end_interval_us: f64,
    last_ended_at: Option<Timestamp>,
}

/// What becomes of a query that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It starts.
    Start,
    /// It waits.
    Wait,
    /// It can't be answered before its deadline.
    Unreachable,
}

impl Admission {
    /// Nothing runs or waits.
    pub fn new(limit: ConcurrencyLimit) -> Self {
        Self {
            limit,
            queue: FairQueue::default(),
            running: 0,
            end_interval_us: 0.0,
            last_ended_at: None,
        }
    }

    /// Queries that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queries that may run.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// Changes the most queries that may run.
    pub fn set_max_running(&mut self, most: u32) {
        self.limit.set_max(most);
    }

    /// Waiting queries.
    pub fn queue(&mut self) -> &mut FairQueue {
        &mut self.queue
    }

    /// Decides about a query of `tenant` with `left` until its answer is due, of which running takes `needed`.
    ///
    /// An idle service takes every query, so that an outdated `needed` can't refuse all of them for good.
    pub fn decide(&self, tenant: &str, left: Duration, needed: Duration) -> AdmissionDecision {
        if self.running == 0 && self.queue.is_empty() {
            return AdmissionDecision::Start;
        }
        if left < needed {
            return AdmissionDecision::Unreachable;
        }
        if self.running < self.limit.current() && self.queue.is_empty() {
            return AdmissionDecision::Start;
        }
        let position = self.queue.position_of_next(tenant);
        let wait_us = self.end_interval_us * position as f64;
        if left < needed + Duration::from_micros(wait_us as u64) {
            return AdmissionDecision::Unreachable;
        }
        AdmissionDecision::Wait
    }

    /// Takes out the next query if it may start.
    pub fn take_next(&mut self) -> Option<QueryKey> {
        if self.running < self.limit.current() {
            self.queue.pop()
        } else {
            None
        }
    }

    /// Records that a query starts.
    pub fn record_start(&mut self) {
        self.running += 1;
    }

    /// Records that a query has ended; `half` as in [`ConcurrencyLimit::record_query_end`].
    pub fn record_end(&mut self, now: Timestamp, half: Option<Duration>) {
        self.limit.record_query_end(now, half, self.running);
        self.running -= 1;
        if self.queue.is_empty() {
            self.last_ended_at = None;
            return;
        }
        if let Some(last) = self.last_ended_at.replace(now) {
            let sample = now.since(last).as_micros() as f64;
            if self.end_interval_us == 0.0 {
                self.end_interval_us = sample;
            }
            self.end_interval_us += (sample - self.end_interval_us) * END_INTERVAL_WEIGHT;
        }
    }

    /// Records a query that the caller gave up while it ran; its duration says nothing.
    pub fn record_abandoned(&mut self) {
        self.running -= 1;
    }

    /// Records that an upstream refused work because of its load.
    pub fn record_shed(&mut self) {
        self.limit.record_shed();
    }
}

//! Admission control for the queries of one service.

use crate::{concurrency_limit::ConcurrencyLimit, fair_queue::FairQueue, prelude::*};

/// Weight of a new sample in the moving average of the interval between query ends.
const END_INTERVAL_WEIGHT: f64 = 0.1;

/// Running and queued queries of one service, and the rate at which queries end.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    queue: FairQueue,
    running: u32,
    /// Moving average of the interval between query ends while others wait, in microseconds; 0 until known.
    end_interval_us: f64,
    last_ended_at: Option<Timestamp>,
}

/// Outcome of the admission check for an arriving query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Room under the concurrency limit, or an idle service.
    Start,
    /// At the limit, but the query is expected to start in time.
    Wait,
    /// The query can't be answered before its deadline.
    Unreachable,
}

impl Admission {
    /// An idle service with the given concurrency limit.
    pub fn new(limit: ConcurrencyLimit) -> Self {
        Self {
            limit,
            queue: FairQueue::default(),
            running: 0,
            end_interval_us: 0.0,
            last_ended_at: None,
        }
    }

    /// Number of running queries.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queries that may run at a time now.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// Sets the upper bound of the adaptive concurrency limit.
    pub fn set_max_running(&mut self, most: u32) {
        self.limit.set_max(most);
    }

    /// Queries that wait for admission.
    pub fn queue(&mut self) -> &mut FairQueue {
        &mut self.queue
    }

    /// Decides on a query of `workspace` whose answer is due in `left` and that is expected to run for `needed`.
    ///
    /// An idle service admits every query; otherwise an outdated `needed` could refuse all queries for good, since only
    /// running queries update it.
    pub fn decide(&self, workspace: &str, left: Duration, needed: Duration) -> AdmissionDecision {
        if self.running == 0 && self.queue.is_empty() {
            return AdmissionDecision::Start;
        }
        if left < needed {
            return AdmissionDecision::Unreachable;
        }
        if self.running < self.limit.current() && self.queue.is_empty() {
            return AdmissionDecision::Start;
        }
        let position = self.queue.position_of_next(workspace);
        let wait_us = self.end_interval_us * position as f64;
        if left < needed + Duration::from_micros(wait_us as u64) {
            return AdmissionDecision::Unreachable;
        }
        AdmissionDecision::Wait
    }

    /// Removes the next query from the queue if the limit allows it to start.
    pub fn take_next(&mut self) -> Option<QueryKey> {
        if self.running < self.limit.current() {
            self.queue.pop()
        } else {
            None
        }
    }

    /// Counts a query as running.
    pub fn record_start(&mut self) {
        self.running += 1;
    }

    /// Records a query that was answered; `half` is passed on to [`ConcurrencyLimit::record_query_end`].
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

    /// Records a running query whose caller has gone. It gives no sample, because it did not run to its end.
    pub fn record_abandoned(&mut self) {
        self.running -= 1;
    }

    /// Records that an upstream refused work because of overload.
    pub fn record_shed(&mut self) {
        self.limit.record_shed();
    }
}

//! What callers get, by kind of request, and the extra attempts that it took.

use medlarpost_core::prelude::*;
use std::{collections::VecDeque, fmt};

/// Answers to one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindFigures {
    pub requests: u32,
    pub in_time: u32,
    /// Sum of the shares of shards that answered.
    pub coverage: f64,
    /// Sum of the squares of these shares, of answers in time only.
    pub value: f64,
}

impl KindFigures {
    pub fn add(&mut self, coverage: f64, in_time: bool) {
        self.requests += 1;
        self.in_time += u32::from(in_time);
        self.coverage += coverage;
        self.value += if in_time { coverage * coverage } else { 0.0 };
    }

    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.coverage += other.coverage;
        self.value += other.value;
    }

    pub fn mean_value(&self) -> f64 {
        self.value / f64::from(self.requests.max(1))
    }
}

impl fmt::Display for KindFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = f64::from(self.requests.max(1));
        let (coverage, in_time) = (self.coverage / requests, f64::from(self.in_time) / requests);
        let value = self.mean_value();
        write!(f, "{value:.4} (cov {coverage:.4} in time {in_time:.4})")
    }
}

/// Primary and extra attempts to one service, within the window of the budget.
#[derive(Debug, Default)]
pub struct ServiceArrivals {
    recent: VecDeque<(Timestamp, bool)>,
    primary: u32,
    extra: u32,
    /// Highest number of extra attempts in a window beyond the ratio.
    pub most_beyond_ratio: f64,
}

impl ServiceArrivals {
    pub fn add(&mut self, now: Timestamp, is_extra: bool, limits: &FleetLimits) {
        self.recent.push_back((now, is_extra));
        self.count(is_extra, 1);
        while let Some((at, was_extra)) = self.recent.front().copied()
            && now.since(at) >= limits.extra_window
        {
            self.recent.pop_front();
            self.count(was_extra, u32::MAX);
        }
        let beyond = f64::from(self.extra) - f64::from(self.primary) * limits.extra_ratio;
        self.most_beyond_ratio = self.most_beyond_ratio.max(beyond);
    }

    fn count(&mut self, is_extra: bool, change: u32) {
        let counter = if is_extra {
            &mut self.extra
        } else {
            &mut self.primary
        };
        *counter = counter.wrapping_add(change);
    }
}

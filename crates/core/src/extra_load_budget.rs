//! Budget of the load that hedges and retries add to one service.

use crate::prelude::*;
use std::collections::VecDeque;

/// Buckets into which the window is divided. The window slides by whole buckets, so counts are kept for one bucket
/// more.
const BUCKETS: u32 = 20;

/// Budget of extra requests to a service within a sliding window: `ratio` times the primary requests plus `slack`.
#[derive(Clone, Debug)]
pub struct ExtraLoadBudget {
    /// Start, primary requests and extra requests of each bucket, oldest first.
    buckets: VecDeque<(Timestamp, u32, u32)>,
    primary: u32,
    extra: u32,
}

/// Extra requests that a node may send to a service.
#[derive(Clone, Copy, Debug)]
pub struct ExtraLoadLimits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra requests allowed for each primary one.
    pub ratio: f64,
    /// Extra requests allowed beyond the ratio.
    pub slack: f64,
}

impl ExtraLoadBudget {
    /// A budget without any counted requests.
    pub fn new() -> Self {
        Self {
            buckets: VecDeque::new(),
            primary: 0,
            extra: 0,
        }
    }

    /// Counts a primary request, which raises the allowance by `ratio`.
    pub fn count_primary(&mut self, now: Timestamp, limits: &ExtraLoadLimits) {
        self.current_bucket(now, limits).1 += 1;
        self.primary += 1;
    }

    /// Extra requests left in the window; negative if primary requests that raised the allowance have expired.
    pub fn remaining(&mut self, now: Timestamp, limits: &ExtraLoadLimits) -> f64 {
        self.expire_buckets(now, limits);
        self.allowance(limits) - f64::from(self.extra)
    }

    /// Extra requests allowed in the window, including those already sent.
    pub fn allowance(&self, limits: &ExtraLoadLimits) -> f64 {
        f64::from(self.primary) * limits.ratio + limits.slack
    }

    /// Takes one extra request out of the budget if at least `reserve` remain afterwards.
    pub fn try_spend(&mut self, now: Timestamp, limits: &ExtraLoadLimits, reserve: f64) -> bool {
        if self.remaining(now, limits) < 1.0 + reserve {
            return false;
        }
        self.current_bucket(now, limits).2 += 1;
        self.extra += 1;
        true
    }

    fn current_bucket(
        &mut self,
        now: Timestamp,
        limits: &ExtraLoadLimits,
    ) -> &mut (Timestamp, u32, u32) {
        self.expire_buckets(now, limits);
        let bucket_length = limits.window / BUCKETS;
        let is_current = |bucket: &(Timestamp, u32, u32)| now.since(bucket.0) < bucket_length;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back((now, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }

    fn expire_buckets(&mut self, now: Timestamp, limits: &ExtraLoadLimits) {
        let kept = limits.window + limits.window / BUCKETS;
        while let Some(&(start, primary, extra)) = self.buckets.front() {
            if now.since(start) < kept {
                break;
            }
            self.buckets.pop_front();
            self.primary -= primary;
            self.extra -= extra;
        }
    }
}

impl Default for ExtraLoadBudget {
    fn default() -> Self {
        Self::new()
    }
}

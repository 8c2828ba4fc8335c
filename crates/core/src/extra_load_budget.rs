//! Budget of the load that hedges and retries add to one service.

use crate::prelude::*;
use std::collections::VecDeque;

/// Parts of the window that are counted apart. The window slides by one bucket, so the budget covers one bucket more.
const BUCKETS: u32 = 20;

/// Extra requests to a service within a sliding window, of which the fleet may send `ratio` times the primary ones
/// and `slack` more.
#[derive(Debug)]
pub struct ExtraLoadBudget {
    /// Start of each bucket, its primary requests and its extra requests.
    buckets: VecDeque<(Timestamp, u32, u32)>,
    primary: u32,
    extra: u32,
}

/// What a node may add to a service.
#[derive(Clone, Copy, Debug)]
pub struct ExtraLoadLimits {
    /// Length of the window.
    pub window: Duration,
    /// Extra requests for each primary one.
    pub ratio: f64,
    /// Extra requests of this node beyond the ratio.
    pub slack: f64,
}

impl ExtraLoadBudget {
    /// A budget of which nothing is used.
    pub fn new() -> Self {
        Self {
            buckets: VecDeque::new(),
            primary: 0,
            extra: 0,
        }
    }

    /// Counts a primary request.
    pub fn count_primary(&mut self, now: Timestamp, limits: &ExtraLoadLimits) {
        self.current_bucket(now, limits).1 += 1;
        self.primary += 1;
    }

    /// Extra requests that are still within the budget.
    pub fn remaining(&mut self, now: Timestamp, limits: &ExtraLoadLimits) -> f64 {
        self.expire_buckets(now, limits);
        self.allowance(limits) - f64::from(self.extra)
    }

    /// Extra requests that the window allows, those that were sent included.
    pub fn allowance(&self, limits: &ExtraLoadLimits) -> f64 {
        f64::from(self.primary) * limits.ratio + limits.slack
    }

    /// Takes one extra request out of the budget if it leaves `reserve` in it.
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
        self.buckets.back_mut().expect("a part was just added")
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

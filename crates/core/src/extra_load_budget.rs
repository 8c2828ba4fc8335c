//! Budget of the load that hedges and retries add to one service.

use crate::prelude::*;
use std::collections::VecDeque;

/// Parts of the window that are counted apart. The window slides by one part, so the budget covers one part more.
const PARTS: u32 = 20;

/// Extra requests to a service within a sliding window, of which the fleet may send `ratio` times the primary ones
/// and `slack` more.
#[derive(Debug)]
pub struct ExtraLoadBudget {
    /// Start of each part, its primary requests and its extra requests.
    parts: VecDeque<(Timestamp, u32, u32)>,
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
            parts: VecDeque::new(),
            primary: 0,
            extra: 0,
        }
    }

    /// Counts a primary request.
    pub fn count_primary(&mut self, now: Timestamp, terms: &ExtraLoadLimits) {
        self.part(now, terms).1 += 1;
        self.primary += 1;
    }

    /// Extra requests that are still within the budget.
    pub fn left(&mut self, now: Timestamp, terms: &ExtraLoadLimits) -> f64 {
        self.forget(now, terms);
        self.allowed(terms) - f64::from(self.extra)
    }

    /// Extra requests that the window allows, those that were sent included.
    pub fn allowed(&self, terms: &ExtraLoadLimits) -> f64 {
        f64::from(self.primary) * terms.ratio + terms.slack
    }

    /// Takes one extra request out of the budget if it leaves `reserve` in it.
    pub fn spend(&mut self, now: Timestamp, terms: &ExtraLoadLimits, reserve: f64) -> bool {
        if self.left(now, terms) < 1.0 + reserve {
            return false;
        }
        self.part(now, terms).2 += 1;
        self.extra += 1;
        true
    }

    fn part(&mut self, now: Timestamp, terms: &ExtraLoadLimits) -> &mut (Timestamp, u32, u32) {
        self.forget(now, terms);
        let length = terms.window / PARTS;
        let is_current = |part: &(Timestamp, u32, u32)| now.since(part.0) < length;
        if !self.parts.back().is_some_and(is_current) {
            self.parts.push_back((now, 0, 0));
        }
        self.parts.back_mut().expect("a part was just added")
    }

    fn forget(&mut self, now: Timestamp, terms: &ExtraLoadLimits) {
        let kept = terms.window + terms.window / PARTS;
        while let Some(&(start, primary, extra)) = self.parts.front() {
            if now.since(start) < kept {
                break;
            }
            self.parts.pop_front();
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

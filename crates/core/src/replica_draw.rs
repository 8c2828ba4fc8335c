//! Random choice among replicas whose load is known only approximately.
//!
//! Nodes that have the same outdated reports would all choose the replica that looks best, and leave it together. A draw
//! spreads them in proportion to what each replica can take.

use crate::prelude::*;

/// Power of the free capacity in the weight of a replica. Above 1, so that replicas with a fresh report of free slots
/// take more than their share of those whose reports are old and which are expected to have their usual load.
const FREE_CAPACITY_POWER: i32 = 3;

/// Difference of the expected times at which a weight falls to 1/e, as a share of the usual reply time.
const SPREAD_SHARE: f64 = 0.4;

/// Additional weight of the cost of a likely failure. Recent failures are known, unlike the load, and trying the upstream
/// again spends the budget of extra attempts.
const FAILURE_FACTOR: f64 = 4.0;

/// Share of the latency objective from which an expected reply is probably late.
const LATE_SHARE: f64 = 0.75;

/// A replica that accepts a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) upstream: UpstreamKey,
    pub(crate) in_own_zone: bool,
    /// Expected time to its reply, with the cost of its likely failure.
    pub(crate) expected_secs: f64,
    /// Cost of its likely failure alone.
    pub(crate) failure_secs: f64,
    /// Requests a second that its free slots can take.
    pub(crate) free_capacity: f64,
}

/// Times that candidates are judged by, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrawTimes {
    /// Latency objective of the route.
    pub(crate) objective: f64,
    /// Usual reply time of the route.
    pub(crate) usual: f64,
    /// Cost of a replica in another zone.
    pub(crate) zone_cost: f64,
}

/// Candidates and their weights, kept between draws so that a draw allocates nothing.
#[derive(Debug, Default)]
pub(crate) struct ReplicaDraw {
    pub(crate) candidates: Vec<Candidate>,
    /// Weight of each candidate, in the same order.
    weights: Vec<f64>,
}

impl ReplicaDraw {
    /// Draws one of the candidates, which it reorders and reduces; `None` if there are none.
    pub(crate) fn draw(&mut self, times: DrawTimes, rng: &mut fastrand::Rng) -> Option<Candidate> {
        self.retain_eligible(times);
        let lowest = lowest_expected(&self.candidates)?;
        let weight = |candidate: &Candidate| {
            let excess = candidate.expected_secs - lowest + candidate.failure_secs * FAILURE_FACTOR;
            let spread = times.usual * SPREAD_SHARE;
            candidate.free_capacity.powi(FREE_CAPACITY_POWER) * (-excess / spread).exp()
        };
        self.weights.clear();
        self.weights.extend(self.candidates.iter().map(weight));
        let mut left = rng.f64() * self.weights.iter().sum::<f64>();
        let drawn = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        // All weights are 0 if every slot is in use for certain.
        let quickest = || {
            self.candidates
                .iter()
                .position(|candidate| candidate.expected_secs <= lowest)
        };
        drawn.or_else(quickest).map(|index| self.candidates[index])
    }

    /// Keeps candidates in this zone, followed by those in other zones that are worth the cost of the traffic.
    fn retain_eligible(&mut self, times: DrawTimes) {
        self.candidates
            .sort_by_key(|candidate| !candidate.in_own_zone);
        let near = self
            .candidates
            .partition_point(|candidate| candidate.in_own_zone);
        let Some(near_secs) = lowest_expected(&self.candidates[..near]) else {
            return;
        };
        let is_late = |secs: f64| secs >= times.objective * LATE_SHARE;
        self.candidates.retain(|candidate| {
            let in_time_instead = is_late(near_secs) && !is_late(candidate.expected_secs);
            candidate.in_own_zone
                || in_time_instead
                || candidate.expected_secs + times.zone_cost < near_secs
        });
    }
}

fn lowest_expected(candidates: &[Candidate]) -> Option<f64> {
    let times = candidates.iter().map(|candidate| candidate.expected_secs);
    times.min_by(f64::total_cmp)
}

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

/// Draws a candidate; `None` if there are none.
pub(crate) fn draw(
    candidates: &[Candidate],
    times: DrawTimes,
    rng: &mut fastrand::Rng,
) -> Option<Candidate> {
    let eligible = eligible(candidates, times);
    let lowest = lowest_expected(&eligible)?;
    let weight = |candidate: &Candidate| {
        let excess = candidate.expected_secs - lowest + candidate.failure_secs * FAILURE_FACTOR;
        let spread = times.usual * SPREAD_SHARE;
        candidate.free_capacity.powi(FREE_CAPACITY_POWER) * (-excess / spread).exp()
    };
    let weights: Vec<f64> = eligible.iter().map(weight).collect();
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    // All weights are 0 if every slot is in use for certain.
    let quickest = || {
        eligible
            .iter()
            .position(|candidate| candidate.expected_secs <= lowest)
    };
    drawn.or_else(quickest).map(|index| eligible[index])
}

/// Candidates in this zone, and those in other zones if they are worth the cost of the traffic.
fn eligible(candidates: &[Candidate], times: DrawTimes) -> Vec<Candidate> {
    let (near, far): (Vec<_>, Vec<_>) = candidates
        .iter()
        .partition(|candidate| candidate.in_own_zone);
    let Some(near_secs) = lowest_expected(&near) else {
        return far;
    };
    let is_late = |secs: f64| secs >= times.objective * LATE_SHARE;
    let worth_the_cost = |candidate: &Candidate| {
        let in_time_instead = is_late(near_secs) && !is_late(candidate.expected_secs);
        in_time_instead || candidate.expected_secs + times.zone_cost < near_secs
    };
    let far = far.into_iter().filter(worth_the_cost);
    near.iter().copied().chain(far).collect()
}

fn lowest_expected(candidates: &[Candidate]) -> Option<f64> {
    let times = candidates.iter().map(|candidate| candidate.expected_secs);
    times.min_by(f64::total_cmp)
}

//! Choice of a replica by load and latency.

use crate::prelude::*;

/// Factor on the cost of a replica in another zone. The measured latency already includes the network between zones, so
/// this only decides between replicas that are equally fast.
const OTHER_ZONE_FACTOR: f64 = 1.1;

/// Weight of a request in a load report against one that this node runs itself; reports may be stale or wrong.
const REPORT_WEIGHT: f64 = 0.25;

/// Age at which a load report is ignored. Its weight falls linearly until then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Latency assumed before the first reply.
const INITIAL_LATENCY: Duration = Duration::from_millis(10);

/// Number of replicas up to which all are compared. Of more, two are picked at random and compared.
const MAX_COMPARED: usize = 3;

/// Load and latency of a replica as known to this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLoad {
    /// Requests of this node that the replica runs.
    pub in_flight: u32,
    /// Requests that the replica can run at a time.
    pub slots: u32,
    /// Smoothed latency; `None` before the first reply.
    pub latency: Option<Duration>,
    /// Requests in flight that the replica reported with a reply, and the age of the report.
    pub reported: Option<(u32, Duration)>,
    /// Whether the replica is in this node's zone.
    pub same_zone: bool,
}

impl ReplicaLoad {
    /// Relative cost of sending a request: latency scaled by load and zone. Only comparable between replicas.
    pub fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let reported = self.reported.map_or(0.0, |(in_flight, age)| {
            let freshness = 1.0 - (age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64()).min(1.0);
            // Capped at the slots, so that an inflated report weighs no more than a full replica.
            f64::from(in_flight).min(slots) * REPORT_WEIGHT * freshness
        });
        let load = (f64::from(self.in_flight) + reported) / slots;
        let latency = self.latency.unwrap_or(INITIAL_LATENCY).as_secs_f64();
        let zone = if self.same_zone {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        latency * (1.0 + load) * zone
    }
}

/// Index of the replica with the lowest cost, of all or of two random ones if there are many; `None` if there are none.
pub fn choose(loads: &[ReplicaLoad], rng: &mut fastrand::Rng) -> Option<usize> {
    if loads.is_empty() {
        return None;
    }
    // Starting at a random replica breaks ties between equal costs.
    let start = rng.usize(..loads.len());
    if loads.len() <= MAX_COMPARED {
        let indices = (0..loads.len()).map(|n| (start + n) % loads.len());
        return indices.min_by(|a, b| loads[*a].cost().total_cmp(&loads[*b].cost()));
    }
    let other = (start + 1 + rng.usize(..loads.len() - 1)) % loads.len();
    Some(if loads[other].cost() < loads[start].cost() {
        other
    } else {
        start
    })
}

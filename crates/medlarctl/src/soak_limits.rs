//! Checks of the limits on the load of upstreams, and of the recovery after the last fault, once a soak has ended.

use crate::{
    soak_checks::{Invariant, SoakChecks},
    soak_history::SoakHistory,
    soak_observation::SoakTime,
};
use std::collections::{BTreeMap, BTreeSet};

/// One second, in microseconds.
const SECOND: SoakTime = 1_000_000;

/// Smallest share of the requests that must be served after the recovery time.
const MIN_SERVED_SHARE: f64 = 0.25;

impl SoakChecks {
    /// Checks the rate of the requests that each instance received while it was cold.
    pub(crate) fn check_cold_limit(&mut self, history: &SoakHistory) {
        let mut details = Vec::new();
        for (instance, arrivals) in &mut self.arrivals {
            let Some(record) = history.instances.get(instance) else {
                continue;
            };
            arrivals.sort_unstable();
            let limit = self.bounds.cold_requests_per_second;
            let excess = arrivals
                .windows(limit + 1)
                .find(|w| w[limit] - w[0] < SECOND && w[limit] < record.cold_until);
            if let Some(window) = excess {
                details.push(format!(
                    "{instance} received {} requests from {} to {}, cold until {}",
                    limit + 1,
                    window[0],
                    window[limit],
                    record.cold_until
                ));
            }
        }
        for detail in details {
            self.add_finding(Invariant::ColdLimit, detail);
        }
    }

    /// The first run of a request at a service counts as primary, each further one as extra.
    pub(crate) fn check_extra_limit(&mut self, history: &SoakHistory) {
        let window = self.bounds.extra_window;
        let mut primary: BTreeMap<&str, Vec<SoakTime>> = BTreeMap::new();
        let mut extra: BTreeMap<&str, Vec<SoakTime>> = BTreeMap::new();
        for request in self.requests.values() {
            let mut services = BTreeSet::new();
            let mut runs: Vec<_> = request.runs.iter().collect();
            runs.sort_by_key(|run| run.at);
            for run in runs {
                let Some(record) = history.instances.get(&run.instance) else {
                    continue;
                };
                let list = if services.insert(&record.service) {
                    &mut primary
                } else {
                    &mut extra
                };
                list.entry(&record.service).or_default().push(run.at);
            }
        }
        let mut details = Vec::new();
        for (service, mut times) in extra {
            times.sort_unstable();
            let count = |list: Option<&Vec<SoakTime>>, from: SoakTime, until: SoakTime| {
                list.map_or(0, |list| {
                    list.iter().filter(|at| (from..until).contains(*at)).count()
                })
            };
            for &from in &times {
                let used = count(Some(&times), from, from + window);
                // The most primary requests of this window, the one before it, and the one half a window before it.
                let base = [window, window / 2, 0].map(|back| {
                    let from = from.saturating_sub(back);
                    count(primary.get(service), from, from + window)
                });
                let base = base.into_iter().max().unwrap_or(0) as f64;
                let limit = self.bounds.extra_ratio * base + self.bounds.extra_slack;
                if used as f64 > limit {
                    details.push(format!(
                        "{service} received {used} extra requests from {from}, {limit:.0} are allowed"
                    ));
                    break;
                }
            }
        }
        for detail in details {
            self.add_finding(Invariant::ExtraLimit, detail);
        }
    }

    /// Checks that requests are served again once the recovery time after the last fault is over.
    pub(crate) fn check_recovery(&mut self, history: &SoakHistory) {
        let Some(undisturbed_since) = history.last_disturbance_end() else {
            return;
        };
        let counts = self.counts(undisturbed_since + self.bounds.recovery);
        if (counts.served as f64) < MIN_SERVED_SHARE * counts.sent as f64 {
            self.add_finding(
                Invariant::Recovered,
                format!(
                    "only {} of {} requests were served",
                    counts.served, counts.sent
                ),
            );
        }
    }
}

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

/// Times at which services received requests. The first run of a request at a service counts as primary, each further one
/// as extra.
#[derive(Debug, Default)]
struct ServiceArrivals<'a> {
    primary: BTreeMap<&'a str, Vec<SoakTime>>,
    extra: BTreeMap<&'a str, Vec<SoakTime>>,
}

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

    /// Checks the number of extra requests that each service received in each window.
    pub(crate) fn check_extra_limit(&mut self, history: &SoakHistory) {
        let ServiceArrivals { primary, extra } = self.arrivals_by_service(history);
        let mut details = Vec::new();
        for (service, mut times) in extra {
            times.sort_unstable();
            let primary = primary.get(service).map_or(&[][..], Vec::as_slice);
            let excess = times
                .iter()
                .find_map(|&from| self.excess_of_extra(from, &times, primary));
            details.extend(excess.map(|excess| format!("{service} received {excess}")));
        }
        for detail in details {
            self.add_finding(Invariant::ExtraLimit, detail);
        }
    }

    fn arrivals_by_service<'a>(&'a self, history: &'a SoakHistory) -> ServiceArrivals<'a> {
        let mut arrivals = ServiceArrivals::default();
        for request in self.requests.values() {
            let mut services = BTreeSet::new();
            let mut runs: Vec<_> = request.runs.iter().collect();
            runs.sort_by_key(|run| run.at);
            for run in runs {
                let Some(record) = history.instances.get(&run.instance) else {
                    continue;
                };
                let list = if services.insert(&record.service) {
                    &mut arrivals.primary
                } else {
                    &mut arrivals.extra
                };
                list.entry(&record.service).or_default().push(run.at);
            }
        }
        arrivals
    }

    /// Describes the extra requests in the window that begins at `from`, if they are more than allowed.
    fn excess_of_extra(
        &self,
        from: SoakTime,
        extra: &[SoakTime],
        primary: &[SoakTime],
    ) -> Option<String> {
        let window = self.bounds.extra_window;
        let count = |times: &[SoakTime], from: SoakTime| {
            let within = from..from + window;
            times.iter().filter(|at| within.contains(*at)).count()
        };
        let used = count(extra, from);
        // The most primary requests of this window, the one before it, and the one half a window before it.
        let base = [window, window / 2, 0].map(|back| count(primary, from.saturating_sub(back)));
        let base = base.into_iter().max().unwrap_or(0) as f64;
        let limit = self.bounds.extra_ratio * base + self.bounds.extra_slack;
        (used as f64 > limit)
            .then(|| format!("{used} extra requests from {from}, {limit:.0} are allowed"))
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

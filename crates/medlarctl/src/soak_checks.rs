//! Checks of the invariants that callers and upstreams rely on, from what was observed outside the nodes.

use crate::{
    soak_history::{PublishedConfiguration, SoakBounds, SoakHistory},
    soak_keys,
    soak_observation::{
        Observation, RequestKind, RequestOutcome, RunReport, SentRequest, SoakTime,
    },
};
use medlarpost_stand_in::{ReceivedAnswer, merge_records, records_for_stamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time from the end of a request to its check, in microseconds. Reports of runs come through pipes, and a run may
/// begin a little after an answer that does not wait for it.
const CHECK_DELAY: SoakTime = 3_000_000;

/// Status of an answer to a request without a known key.
const UNAUTHENTICATED: u16 = 401;

/// One second, in microseconds.
const SECOND: SoakTime = 1_000_000;

/// Most records in a merged answer, as the query route of the configuration sets it.
const MAX_MERGED_RECORDS: usize = 5;

/// Smallest share of the shards in a merged answer, as the query route of the configuration sets it.
const MIN_COVERAGE: f64 = 0.5;

/// Smallest share of the requests that must be served after the recovery time.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Invariant that a finding shows to be violated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A booking runs once at most.
    AtMostOnce,
    /// A booking that was refused as `not run` has not run.
    TrueRefusal,
    /// A success is the whole answer of upstreams to this request, from one set of shards, and states what is missing.
    WholeAnswer,
    /// Upstreams run only what callers sent, unchanged.
    OnlyAsked,
    /// A leaving upstream receives no request after the drain bound.
    Drained,
    /// An upstream in a zone that is out receives no request after the evacuation bound.
    ZoneOut,
    /// A configuration is in force after the apply bound.
    Configured,
    /// A request runs for the workspace that holds its key, and upstreams never receive the key.
    Named,
    /// A removed or unknown key is refused on all nodes after the revocation bound, and one that holds is not.
    Revoked,
    /// A planned stop, a reload or a configuration change cuts off no request.
    NothingCutOff,
    /// A cold upstream receives no more requests a second than its limit.
    ColdLimit,
    /// Extra requests stay within their budget.
    ExtraLimit,
    /// Requests are served again after the last fault.
    Recovered,
    /// A node ends only after SIGTERM or SIGKILL, and after SIGTERM in time and with status 0.
    NodeEnds,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed, for people to read.
    pub detail: String,
}

/// A request with its outcome and its runs.
#[derive(Debug)]
struct RequestRecord {
    sent: SentRequest,
    outcome: Option<(SoakTime, RequestOutcome)>,
    runs: Vec<RunReport>,
    checked: bool,
}

/// Collects observations and checks them.
#[derive(Debug)]
pub struct SoakChecks {
    bounds: SoakBounds,
    requests: HashMap<String, RequestRecord>,
    /// Runs whose request has not been observed yet.
    unmatched_runs: Vec<RunReport>,
    /// Times of the runs of each instance, in the order of their reports.
    arrivals: BTreeMap<String, Vec<SoakTime>>,
    findings: Vec<Finding>,
}

/// Number of requests by outcome. Requests that their caller abandoned are not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SoakCounts {
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests that were answered with a success.
    pub served: usize,
    /// Requests that were refused as not run, those without a known key included.
    pub refused: usize,
    /// Requests that failed in another way, or got no answer.
    pub failed: usize,
    /// Runs at upstreams, those of abandoned requests included.
    pub runs: usize,
}

impl SoakChecks {
    /// Checks without any observation.
    pub fn new(bounds: SoakBounds) -> Self {
        Self {
            bounds,
            requests: HashMap::new(),
            unmatched_runs: Vec::new(),
            arrivals: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    /// Violations found so far.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Adds a violation that the caller found.
    pub fn add_finding(&mut self, invariant: Invariant, detail: String) {
        self.findings.push(Finding { invariant, detail });
    }

    /// Records an observation.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::RequestSent(sent) => {
                let request = RequestRecord {
                    sent,
                    outcome: None,
                    runs: Vec::new(),
                    checked: false,
                };
                self.requests.insert(request.sent.id.clone(), request);
            }
            Observation::RequestEnded { id, at, outcome } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.outcome = Some((at, outcome));
                }
            }
            Observation::RequestRan(run) => {
                let arrivals = self.arrivals.entry(run.instance.clone()).or_default();
                arrivals.push(run.at);
                match self.requests.get_mut(&run.id) {
                    Some(request) => request.runs.push(run),
                    None => self.unmatched_runs.push(run),
                }
            }
        }
    }

    /// Checks the requests that ended at least 3 s ago and were not checked yet.
    pub fn check_ended(&mut self, history: &SoakHistory, now: SoakTime) {
        self.check_unmatched_runs(now);
        let mut findings = Vec::new();
        for request in self
            .requests
            .values_mut()
            .filter(|request| !request.checked)
        {
            let due = |(at, _): &(SoakTime, RequestOutcome)| at + CHECK_DELAY <= now;
            if request.outcome.as_ref().is_some_and(due) {
                request.checked = true;
                request.check(history, &self.bounds, &mut findings);
            }
        }
        self.findings.append(&mut findings);
    }

    /// Checks everything that was not checked yet, once no more observations come.
    pub fn finish(&mut self, history: &SoakHistory, now: SoakTime) {
        self.check_ended(history, now + CHECK_DELAY);
        self.check_cold_limit(history);
        self.check_extra_limit(history);
        self.check_recovery(history);
    }

    /// Counts the requests that were sent at `from` or later.
    pub fn counts(&self, from: SoakTime) -> SoakCounts {
        let mut counts = SoakCounts::default();
        for request in self
            .requests
            .values()
            .filter(|request| request.sent.sent_at >= from)
        {
            counts.sent += 1;
            counts.runs += request.runs.len();
            match &request.outcome {
                Some((_, RequestOutcome::Answered(answer))) if answer.is_success() => {
                    counts.served += 1;
                }
                Some((_, RequestOutcome::Answered(answer)))
                    if answer.guarantees_not_run() || answer.status == UNAUTHENTICATED =>
                {
                    counts.refused += 1;
                }
                // An abandoned request is neither served nor failed.
                Some((_, RequestOutcome::Abandoned)) => counts.sent -= 1,
                _ => counts.failed += 1,
            }
        }
        counts
    }

    fn check_unmatched_runs(&mut self, now: SoakTime) {
        for run in std::mem::take(&mut self.unmatched_runs) {
            if let Some(request) = self.requests.get_mut(&run.id) {
                request.runs.push(run);
            } else if run.at + CHECK_DELAY > now {
                self.unmatched_runs.push(run);
            } else {
                let detail = format!(
                    "{} ran {} {}, which no caller sent",
                    run.instance, run.id, run.line
                );
                self.add_finding(Invariant::OnlyAsked, detail);
            }
        }
    }

    fn check_cold_limit(&mut self, history: &SoakHistory) {
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
    fn check_extra_limit(&mut self, history: &SoakHistory) {
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

    fn check_recovery(&mut self, history: &SoakHistory) {
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

impl RequestRecord {
    fn check(&self, history: &SoakHistory, bounds: &SoakBounds, findings: &mut Vec<Finding>) {
        let mut add = |invariant, detail: String| {
            let sent = &self.sent;
            let detail = format!(
                "{} ({}) at node {}: {detail}",
                sent.id, sent.request_line, sent.node
            );
            findings.push(Finding { invariant, detail });
        };
        for run in &self.runs {
            if run.line != self.sent.request_line || run.body != self.sent.body {
                add(
                    Invariant::OnlyAsked,
                    format!(
                        "{} ran {} with another request line or body",
                        run.instance, run.line
                    ),
                );
            }
            if let Some((invariant, detail)) =
                soak_keys::check_run(&self.sent, run, history, bounds)
            {
                add(invariant, detail);
            }
            if let Some(detail) = self.work_after_drain(run, history, bounds) {
                add(Invariant::Drained, detail);
            }
            if let Some(detail) = self.work_in_zone_out(run, history, bounds) {
                add(Invariant::ZoneOut, detail);
            }
        }
        let once = self.sent.kind == RequestKind::Book;
        let runs = self.runs.len();
        if once && runs > 1 {
            add(Invariant::AtMostOnce, format!("ran {runs} times"));
        }
        match &self.outcome {
            Some((_, RequestOutcome::Answered(answer))) => {
                if answer.status == UNAUTHENTICATED
                    && let Some(detail) = soak_keys::refused_key(&self.sent, history, bounds)
                {
                    add(Invariant::Revoked, detail);
                }
                if once && runs > 0 && answer.guarantees_not_run() {
                    add(
                        Invariant::TrueRefusal,
                        format!(
                            "refused as not run with status {}, but it ran",
                            answer.status
                        ),
                    );
                }
                if answer.is_success()
                    && let Err(detail) = self.check_answer(answer, history)
                {
                    add(Invariant::WholeAnswer, detail);
                }
                if let Some(detail) = self.outdated_route(answer, history, bounds) {
                    add(Invariant::Configured, detail);
                }
            }
            Some((at, RequestOutcome::CutOff)) => {
                let since = self.sent.sent_at.saturating_sub(bounds.store_contact);
                if runs > 0 && history.without_unplanned_disturbance(self.sent.node, since, *at) {
                    add(Invariant::NothingCutOff, format!("cut off at {at}"));
                }
            }
            Some((_, RequestOutcome::TimedOut | RequestOutcome::Abandoned)) | None => {}
        }
    }

    /// Describes a run at an instance that had been leaving for longer than the drain bound.
    fn work_after_drain(
        &self,
        run: &RunReport,
        history: &SoakHistory,
        bounds: &SoakBounds,
    ) -> Option<String> {
        let leaving = history.instances.get(&run.instance)?.leaving?;
        let late = run.at > leaving + bounds.drain
            && self.node_had_contact(leaving, run.at, history, bounds);
        late.then(|| {
            format!(
                "ran at {} {} us after the instance began to leave",
                run.instance,
                run.at - leaving
            )
        })
    }

    /// Describes a run in a zone that had been out for longer than the evacuation bound.
    fn work_in_zone_out(
        &self,
        run: &RunReport,
        history: &SoakHistory,
        bounds: &SoakBounds,
    ) -> Option<String> {
        let zone = &history.instances.get(&run.instance)?.zone;
        let late = history.zones_out.iter().find(|(out, span)| {
            let inside = span.until.is_none_or(|until| run.at < until);
            out == zone
                && inside
                && run.at > span.from + bounds.evacuate
                && self.node_had_contact(span.from, run.at, history, bounds)
        });
        late.map(|(zone, span)| {
            format!(
                "ran at {}, though zone {zone} is out since {}",
                run.instance, span.from
            )
        })
    }

    /// Whether the node had contact with the store from the contact time before the store acknowledged a change until
    /// `at`. A node without contact could not know of the change.
    fn node_had_contact(
        &self,
        acknowledged: SoakTime,
        at: SoakTime,
        history: &SoakHistory,
        bounds: &SoakBounds,
    ) -> bool {
        let from = acknowledged.saturating_sub(bounds.store_contact);
        history.has_store_contact_between(self.sent.node, from, at)
    }

    /// Describes an answer that follows a configuration which can't be in force: 404 for a route that all possible
    /// configurations have, or a run by a route that none has.
    fn outdated_route(
        &self,
        answer: &ReceivedAnswer,
        history: &SoakHistory,
        bounds: &SoakBounds,
    ) -> Option<String> {
        let RequestKind::Added(version) = self.sent.kind else {
            return None;
        };
        if !history.has_store_contact(bounds, self.sent.node, self.sent.sent_at) {
            return None;
        }
        let mut possible = history
            .possible_configurations(bounds, self.sent.sent_at)
            .peekable();
        possible.peek()?;
        let (mut with, mut without) = (false, false);
        for configuration in possible {
            let has_route = configuration.added_routes.contains(&version);
            with |= has_route;
            without |= !has_route;
        }
        let refused = answer.status == 404;
        let ran = !self.runs.is_empty();
        let outdated = (refused && !without) || (ran && !with);
        outdated.then(|| {
            format!(
                "status {} for the route of version {version}",
                answer.status
            )
        })
    }

    /// Checks that a success has the body that the upstreams gave to this request, and states the missing shards.
    fn check_answer(&self, answer: &ReceivedAnswer, history: &SoakHistory) -> Result<(), String> {
        let run_of = |stamp: &String| self.runs.iter().find(|run| run.stamp == *stamp);
        if self.sent.kind != RequestKind::Query {
            let stamp = answer.stamp().ok_or("the answer has no stamp")?;
            run_of(&stamp)
                .ok_or_else(|| format!("stamp {stamp} belongs to no run of this request"))?;
            return check_body(&answer.body, &records_for_stamp(&stamp));
        }
        let parts = answer.shard_stamps();
        let missing = answer
            .missing_shards()
            .ok_or("the answer states no number of missing shards")?;
        let mut services = BTreeSet::new();
        for stamp in &parts {
            let run = run_of(stamp)
                .ok_or_else(|| format!("part {stamp} belongs to no run of this request"))?;
            let record = history.instances.get(&run.instance);
            let record =
                record.ok_or_else(|| format!("{} is not a known instance", run.instance))?;
            if !services.insert(record.service.clone()) {
                return Err(format!("two parts of {}", record.service));
            }
        }
        let is_set = |c: &&PublishedConfiguration| {
            c.shard_services.len() == parts.len() + missing
                && services
                    .iter()
                    .all(|service| c.shard_services.contains(service))
        };
        let set = history.configurations.iter().find(is_set);
        let set = set.ok_or_else(|| {
            format!("no configuration has {services:?} and {missing} more shards")
        })?;
        if (parts.len() as f64) < MIN_COVERAGE * set.shard_services.len() as f64 {
            return Err(format!(
                "success with {} of {} shards",
                parts.len(),
                set.shard_services.len()
            ));
        }
        let bodies: Vec<_> = parts.iter().map(|stamp| records_for_stamp(stamp)).collect();
        check_body(&answer.body, &merge_records(&bodies, MAX_MERGED_RECORDS))
    }
}

fn check_body(actual: &str, expected: &str) -> Result<(), String> {
    if actual == expected {
        Ok(())
    } else {
        Err(format!("body is {actual:?}, expected {expected:?}"))
    }
}

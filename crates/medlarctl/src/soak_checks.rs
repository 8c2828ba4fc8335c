//! Checks of the invariants that callers and upstreams rely on, from what was observed outside the nodes.

use crate::{
    soak_history::{SoakBounds, SoakHistory},
    soak_observation::{Observation, RequestOutcome, RunReport, SoakTime},
    soak_request::RequestRecord,
};
use std::collections::{BTreeMap, HashMap};

/// Time from the end of a request to its check, in microseconds. Reports of runs come through pipes, and a run may
/// begin a little after an answer that does not wait for it.
const CHECK_DELAY: SoakTime = 3_000_000;

/// Status of an answer to a request without a known key.
pub(crate) const UNAUTHENTICATED: u16 = 401;

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

/// Collects observations and checks them.
#[derive(Debug)]
pub struct SoakChecks {
    pub(crate) bounds: SoakBounds,
    pub(crate) requests: HashMap<String, RequestRecord>,
    /// Runs whose request has not been observed yet.
    unmatched_runs: Vec<RunReport>,
    /// Times of the runs of each instance, in the order of their reports.
    pub(crate) arrivals: BTreeMap<String, Vec<SoakTime>>,
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
}

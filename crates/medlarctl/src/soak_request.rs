//! Checks of one request: its runs and its answer.

use crate::{
    soak_checks::{Finding, Invariant, UNAUTHENTICATED},
    soak_history::{PublishedConfiguration, SoakBounds, SoakHistory},
    soak_keys,
    soak_observation::{RequestKind, RequestOutcome, RunReport, SentRequest, SoakTime},
};
use medlarpost_stand_in::{ReceivedAnswer, merge_records, records_for_stamp};
use std::collections::BTreeSet;

/// Most records in a merged answer, as the query route of the configuration sets it.
const MAX_MERGED_RECORDS: usize = 5;

/// Smallest share of the shards in a merged answer, as the query route of the configuration sets it.
const MIN_COVERAGE: f64 = 0.5;

/// A request with its outcome and its runs.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) sent: SentRequest,
    pub(crate) outcome: Option<(SoakTime, RequestOutcome)>,
    pub(crate) runs: Vec<RunReport>,
    pub(crate) checked: bool,
}

impl RequestRecord {
    /// Adds what this request violates to `findings`.
    pub(crate) fn check(
        &self,
        history: &SoakHistory,
        bounds: &SoakBounds,
        findings: &mut Vec<Finding>,
    ) {
        for run in &self.runs {
            self.check_run(run, history, bounds, findings);
        }
        let runs = self.runs.len();
        if self.runs_at_most_once() && runs > 1 {
            let detail = format!("ran {runs} times");
            self.add_finding(Invariant::AtMostOnce, &detail, findings);
        }
        match &self.outcome {
            Some((_, RequestOutcome::Answered(answer))) => {
                self.check_answered(answer, history, bounds, findings);
            }
            Some((at, RequestOutcome::CutOff)) => {
                let since = self.sent.sent_at.saturating_sub(bounds.store_contact);
                if runs > 0 && history.without_unplanned_disturbance(self.sent.node, since, *at) {
                    let detail = format!("cut off at {at}");
                    self.add_finding(Invariant::NothingCutOff, &detail, findings);
                }
            }
            Some((_, RequestOutcome::TimedOut | RequestOutcome::Abandoned)) | None => {}
        }
    }

    fn runs_at_most_once(&self) -> bool {
        self.sent.kind == RequestKind::Book
    }

    fn add_finding(&self, invariant: Invariant, detail: &str, findings: &mut Vec<Finding>) {
        let sent = &self.sent;
        let detail = format!(
            "{} ({}) at node {}: {detail}",
            sent.id, sent.request_line, sent.node
        );
        findings.push(Finding { invariant, detail });
    }

    fn check_run(
        &self,
        run: &RunReport,
        history: &SoakHistory,
        bounds: &SoakBounds,
        findings: &mut Vec<Finding>,
    ) {
        if run.line != self.sent.request_line || run.body != self.sent.body {
            let detail = format!(
                "{} ran {} with another request line or body",
                run.instance, run.line
            );
            self.add_finding(Invariant::OnlyAsked, &detail, findings);
        }
        if let Some((invariant, detail)) = soak_keys::check_run(&self.sent, run, history, bounds) {
            self.add_finding(invariant, &detail, findings);
        }
        if let Some(detail) = self.work_after_drain(run, history, bounds) {
            self.add_finding(Invariant::Drained, &detail, findings);
        }
        if let Some(detail) = self.work_in_zone_out(run, history, bounds) {
            self.add_finding(Invariant::ZoneOut, &detail, findings);
        }
    }

    fn check_answered(
        &self,
        answer: &ReceivedAnswer,
        history: &SoakHistory,
        bounds: &SoakBounds,
        findings: &mut Vec<Finding>,
    ) {
        if answer.status == UNAUTHENTICATED
            && let Some(detail) = soak_keys::refused_key(&self.sent, history, bounds)
        {
            self.add_finding(Invariant::Revoked, &detail, findings);
        }
        if self.runs_at_most_once() && !self.runs.is_empty() && answer.guarantees_not_run() {
            let detail = format!(
                "refused as not run with status {}, but it ran",
                answer.status
            );
            self.add_finding(Invariant::TrueRefusal, &detail, findings);
        }
        if answer.is_success()
            && let Err(detail) = self.check_body(answer, history)
        {
            self.add_finding(Invariant::WholeAnswer, &detail, findings);
        }
        if let Some(detail) = self.outdated_route(answer, history, bounds) {
            self.add_finding(Invariant::Configured, &detail, findings);
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
    fn check_body(&self, answer: &ReceivedAnswer, history: &SoakHistory) -> Result<(), String> {
        let run_of = |stamp: &String| self.runs.iter().find(|run| run.stamp == *stamp);
        if self.sent.kind != RequestKind::Query {
            let stamp = answer.stamp().ok_or("the answer has no stamp")?;
            run_of(&stamp)
                .ok_or_else(|| format!("stamp {stamp} belongs to no run of this request"))?;
            return compare_bodies(&answer.body, &records_for_stamp(&stamp));
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
        compare_bodies(&answer.body, &merge_records(&bodies, MAX_MERGED_RECORDS))
    }
}

fn compare_bodies(actual: &str, expected: &str) -> Result<(), String> {
    if actual == expected {
        Ok(())
    } else {
        Err(format!("body is {actual:?}, expected {expected:?}"))
    }
}

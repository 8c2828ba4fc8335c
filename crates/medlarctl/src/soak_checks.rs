//! Checks of the promises to callers and upstreams, from what was seen outside the nodes.

use crate::{
    soak_observation::{Asked, AskedKind, Ending, Observation, RunReport, SoakTime},
    soak_world::{PublishedConfiguration, SoakBounds, SoakWorld},
};
use medlarpost_stand_in::{ReceivedAnswer, merge_records, records_for_stamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time after its end at which a request is judged. Reports of runs come through pipes, and a run may begin a little
/// after an answer that does not wait for it.
const JUDGED_AFTER: SoakTime = 3_000_000;

/// One second, in microseconds.
const SECOND: SoakTime = 1_000_000;

/// Records of a merged answer at most, as its route says.
const RECORDS: usize = 5;

/// Least share of the shards in a merged answer, as its route says.
const LEAST_COVERAGE: f64 = 0.5;

/// Least share of the requests that are served after the recovery time.
const RECOVERED_SHARE: f64 = 0.25;

/// The promise that a finding shows to be broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A request that must not run twice runs once at most.
    AtMostOnce,
    /// A refusal that says `not run` is true.
    TrueRefusal,
    /// A success is the whole answer of upstreams to this request, from one set of shards, and tells what is missing.
    WholeAnswer,
    /// Upstreams run only what callers sent, unchanged.
    OnlyAsked,
    /// A leaving upstream gets nothing after the bound.
    Drained,
    /// A zone that is out gets nothing after the bound.
    ZoneOut,
    /// A configuration is in force after the bound.
    Configured,
    /// A planned stop, a reload or a change cuts off nothing.
    NothingCutOff,
    /// A cold upstream gets no more than it bears.
    ColdLimit,
    /// Extra requests stay within their budget.
    ExtraLimit,
    /// Requests are served again after the last fault.
    Recovered,
    /// A node ends only when it is told to, and within the time it is given.
    NodeEnds,
}

/// A promise that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// A request and what is known of it.
#[derive(Debug)]
struct Case {
    asked: Asked,
    ending: Option<(SoakTime, Ending)>,
    runs: Vec<RunReport>,
    judged: bool,
}

/// What was seen, and what was found.
#[derive(Debug)]
pub struct SoakChecks {
    bounds: SoakBounds,
    cases: HashMap<String, Case>,
    /// Runs whose request has not been seen yet.
    unasked: Vec<RunReport>,
    /// Arrivals at each instance, in order of their reports.
    arrivals: BTreeMap<String, Vec<SoakTime>>,
    findings: Vec<Finding>,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SoakCounts {
    /// Requests that callers sent.
    pub asked: usize,
    /// Those that got a success.
    pub served: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// Those that failed otherwise, or got nothing.
    pub failed: usize,
    /// Runs at upstreams.
    pub runs: usize,
}

impl SoakChecks {
    /// Checks that have seen nothing.
    pub fn new(bounds: SoakBounds) -> Self {
        Self {
            bounds,
            cases: HashMap::new(),
            unasked: Vec::new(),
            arrivals: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    /// What was found so far.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Adds what was found elsewhere.
    pub fn found(&mut self, promise: Promise, seen: String) {
        self.findings.push(Finding { promise, seen });
    }

    /// Takes account of something that was seen.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Asked(asked) => {
                let case = Case {
                    asked,
                    ending: None,
                    runs: Vec::new(),
                    judged: false,
                };
                self.cases.insert(case.asked.id.clone(), case);
            }
            Observation::Ended { id, at, ending } => {
                if let Some(case) = self.cases.get_mut(&id) {
                    case.ending = Some((at, ending));
                }
            }
            Observation::Ran(run) => {
                let arrivals = self.arrivals.entry(run.instance.clone()).or_default();
                arrivals.push(run.at);
                match self.cases.get_mut(&run.id) {
                    Some(case) => case.runs.push(run),
                    None => self.unasked.push(run),
                }
            }
        }
    }

    /// Judges the requests whose time has come.
    pub fn judge(&mut self, world: &SoakWorld, now: SoakTime) {
        self.judge_unasked(now);
        let mut found = Vec::new();
        for case in self.cases.values_mut().filter(|case| !case.judged) {
            let due = |(at, _): &(SoakTime, Ending)| at + JUDGED_AFTER <= now;
            if case.ending.as_ref().is_some_and(due) {
                case.judged = true;
                case.judge(world, &self.bounds, &mut found);
            }
        }
        self.findings.append(&mut found);
    }

    /// Judges everything once the fleet has come to rest.
    pub fn finish(&mut self, world: &SoakWorld, now: SoakTime) {
        self.judge(world, now + JUDGED_AFTER);
        self.judge_cold(world);
        self.judge_extra(world);
        self.judge_recovery(world);
    }

    /// What callers got, over all or of the requests from a time on.
    pub fn counts(&self, from: SoakTime) -> SoakCounts {
        let mut counts = SoakCounts::default();
        for case in self.cases.values().filter(|case| case.asked.at >= from) {
            counts.asked += 1;
            counts.runs += case.runs.len();
            match &case.ending {
                Some((_, Ending::Answered(answer))) if answer.is_success() => counts.served += 1,
                Some((_, Ending::Answered(answer))) if answer.guarantees_not_run() => {
                    counts.refused += 1;
                }
                // A caller that left is neither served nor failed.
                Some((_, Ending::Left)) => counts.asked -= 1,
                _ => counts.failed += 1,
            }
        }
        counts
    }

    fn judge_unasked(&mut self, now: SoakTime) {
        for run in std::mem::take(&mut self.unasked) {
            if let Some(case) = self.cases.get_mut(&run.id) {
                case.runs.push(run);
            } else if run.at + JUDGED_AFTER > now {
                self.unasked.push(run);
            } else {
                let seen = format!(
                    "{} ran {} {}, which nobody sent",
                    run.instance, run.id, run.line
                );
                self.found(Promise::OnlyAsked, seen);
            }
        }
    }

    fn judge_cold(&mut self, world: &SoakWorld) {
        let mut found = Vec::new();
        for (instance, arrivals) in &mut self.arrivals {
            let Some(life) = world.instances.get(instance) else {
                continue;
            };
            arrivals.sort_unstable();
            let most = self.bounds.cold_requests;
            let excess = arrivals
                .windows(most + 1)
                .find(|w| w[most] - w[0] < SECOND && w[most] < life.cold_until);
            if let Some(window) = excess {
                found.push(format!(
                    "{instance} got {} requests from {} to {}, cold until {}",
                    most + 1,
                    window[0],
                    window[most],
                    life.cold_until
                ));
            }
        }
        for seen in found {
            self.found(Promise::ColdLimit, seen);
        }
    }

    fn judge_extra(&mut self, world: &SoakWorld) {
        let window = self.bounds.extra_window;
        let mut primary: BTreeMap<&str, Vec<SoakTime>> = BTreeMap::new();
        let mut extra: BTreeMap<&str, Vec<SoakTime>> = BTreeMap::new();
        for case in self.cases.values() {
            let mut seen = BTreeSet::new();
            let mut runs: Vec<_> = case.runs.iter().collect();
            runs.sort_by_key(|run| run.at);
            for run in runs {
                let Some(life) = world.instances.get(&run.instance) else {
                    continue;
                };
                let list = if seen.insert(&life.service) {
                    &mut primary
                } else {
                    &mut extra
                };
                list.entry(&life.service).or_default().push(run.at);
            }
        }
        let mut found = Vec::new();
        for (service, mut times) in extra {
            times.sort_unstable();
            let count = |list: Option<&Vec<SoakTime>>, from: SoakTime, until: SoakTime| {
                list.map_or(0, |list| {
                    list.iter().filter(|at| (from..until).contains(*at)).count()
                })
            };
            for &from in &times {
                let used = count(Some(&times), from, from + window);
                // Counted in this window, the one before it, or the one half a window before it.
                let base = [window, window / 2, 0].map(|back| {
                    let from = from.saturating_sub(back);
                    count(primary.get(service), from, from + window)
                });
                let base = base.into_iter().max().unwrap_or(0) as f64;
                let most = self.bounds.extra_ratio * base + self.bounds.extra_slack;
                if used as f64 > most {
                    found.push(format!(
                        "{service} got {used} extra requests from {from}, {most:.0} are allowed"
                    ));
                    break;
                }
            }
        }
        for seen in found {
            self.found(Promise::ExtraLimit, seen);
        }
    }

    fn judge_recovery(&mut self, world: &SoakWorld) {
        let Some(calm) = world.calm_since() else {
            return;
        };
        let counts = self.counts(calm + self.bounds.recovery);
        if (counts.served as f64) < RECOVERED_SHARE * counts.asked as f64 {
            self.found(
                Promise::Recovered,
                format!("of {} requests {} were served", counts.asked, counts.served),
            );
        }
    }
}

impl Case {
    fn judge(&self, world: &SoakWorld, bounds: &SoakBounds, found: &mut Vec<Finding>) {
        let mut add = |promise, seen: String| {
            let asked = &self.asked;
            let seen = format!(
                "{} ({}) at node {}: {seen}",
                asked.id, asked.line, asked.node
            );
            found.push(Finding { promise, seen });
        };
        for run in &self.runs {
            if run.line != self.asked.line || run.body != self.asked.body {
                add(
                    Promise::OnlyAsked,
                    format!("{} ran {}", run.instance, run.line),
                );
            }
            if let Some(seen) = self.late_drain(run, world, bounds) {
                add(Promise::Drained, seen);
            }
            if let Some(seen) = self.late_zone(run, world, bounds) {
                add(Promise::ZoneOut, seen);
            }
        }
        let once = self.asked.kind == AskedKind::Book;
        let runs = self.runs.len();
        if once && runs > 1 {
            add(Promise::AtMostOnce, format!("ran {runs} times"));
        }
        match &self.ending {
            Some((_, Ending::Answered(answer))) => {
                if once && runs > 0 && answer.guarantees_not_run() {
                    add(
                        Promise::TrueRefusal,
                        format!("{} though it ran", answer.status),
                    );
                }
                if answer.is_success()
                    && let Err(seen) = self.whole(answer, world)
                {
                    add(Promise::WholeAnswer, seen);
                }
                if let Some(seen) = self.late_route(answer, world, bounds) {
                    add(Promise::Configured, seen);
                }
            }
            Some((at, Ending::CutOff)) => {
                let since = self.asked.at.saturating_sub(bounds.contact);
                if runs > 0 && world.undisturbed(self.asked.node, since, *at) {
                    add(Promise::NothingCutOff, format!("cut off at {at}"));
                }
            }
            Some((_, Ending::Late | Ending::Left)) | None => {}
        }
    }

    fn late_drain(
        &self,
        run: &RunReport,
        world: &SoakWorld,
        bounds: &SoakBounds,
    ) -> Option<String> {
        let leaving = world.instances.get(&run.instance)?.leaving?;
        let late =
            run.at > leaving + bounds.drain && self.in_touch_around(leaving, run.at, world, bounds);
        late.then(|| {
            format!(
                "{} runs it {} us after its leave",
                run.instance,
                run.at - leaving
            )
        })
    }

    fn late_zone(&self, run: &RunReport, world: &SoakWorld, bounds: &SoakBounds) -> Option<String> {
        let zone = &world.instances.get(&run.instance)?.zone;
        let late = world.zones_out.iter().find(|(out, span)| {
            let inside = span.until.is_none_or(|until| run.at < until);
            out == zone
                && inside
                && run.at > span.from + bounds.evacuate
                && self.in_touch_around(span.from, run.at, world, bounds)
        });
        late.map(|(zone, span)| {
            format!(
                "{} runs it, {zone} is out since {}",
                run.instance, span.from
            )
        })
    }

    /// Whether the node was in touch when something was acknowledged, and is when it counts.
    fn in_touch_around(
        &self,
        acknowledged: SoakTime,
        at: SoakTime,
        world: &SoakWorld,
        bounds: &SoakBounds,
    ) -> bool {
        let from = acknowledged.saturating_sub(bounds.contact);
        world.in_touch_since(self.asked.node, from, at)
    }

    fn late_route(
        &self,
        answer: &ReceivedAnswer,
        world: &SoakWorld,
        bounds: &SoakBounds,
    ) -> Option<String> {
        let AskedKind::Added(version) = self.asked.kind else {
            return None;
        };
        if !world.in_touch(bounds, self.asked.node, self.asked.at) {
            return None;
        }
        let mut possible = world.in_force(bounds, self.asked.at).peekable();
        possible.peek()?;
        let (mut with, mut without) = (false, false);
        for configuration in possible {
            let has = configuration.added.contains(&version);
            with |= has;
            without |= !has;
        }
        let refused = answer.status == 404;
        let ran = !self.runs.is_empty();
        let wrong = (refused && !without) || (ran && !with);
        wrong.then(|| {
            format!(
                "status {} for the route of version {version}",
                answer.status
            )
        })
    }

    /// Whether a success is the answer of upstreams to this request.
    fn whole(&self, answer: &ReceivedAnswer, world: &SoakWorld) -> Result<(), String> {
        let ran = |stamp: &String| self.runs.iter().find(|run| run.stamp == *stamp);
        if self.asked.kind != AskedKind::Query {
            let stamp = answer.stamp().ok_or("it has no stamp")?;
            ran(&stamp).ok_or_else(|| format!("stamp {stamp} is of no run"))?;
            return same(&answer.body, &records_for_stamp(&stamp));
        }
        let parts = answer.shard_stamps();
        let missing = answer
            .missing_shards()
            .ok_or("what is missing is no number")?;
        let mut services = BTreeSet::new();
        for stamp in &parts {
            let run = ran(stamp).ok_or_else(|| format!("part {stamp} is of no run"))?;
            let life = world.instances.get(&run.instance);
            let life = life.ok_or_else(|| format!("{} is no instance", run.instance))?;
            if !services.insert(life.service.clone()) {
                return Err(format!("two parts of {}", life.service));
            }
        }
        let is_set = |c: &&PublishedConfiguration| {
            c.shards.len() == parts.len() + missing
                && services.iter().all(|service| c.shards.contains(service))
        };
        let set = world.configurations.iter().find(is_set);
        let set = set.ok_or_else(|| format!("{services:?} and {missing} more are no set"))?;
        if (parts.len() as f64) < LEAST_COVERAGE * set.shards.len() as f64 {
            return Err(format!("{} of {} shards", parts.len(), set.shards.len()));
        }
        let bodies: Vec<_> = parts.iter().map(|stamp| records_for_stamp(stamp)).collect();
        same(&answer.body, &merge_records(&bodies, RECORDS))
    }
}

fn same(found: &str, wanted: &str) -> Result<(), String> {
    if found == wanted {
        Ok(())
    } else {
        Err(format!("body {found:?} in place of {wanted:?}"))
    }
}

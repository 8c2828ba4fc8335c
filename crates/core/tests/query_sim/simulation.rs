//! Simulated time: an engine, and upstreams with slots, a queue and service times.

use medlarpost_core::prelude::*;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap, VecDeque},
};

/// Time of a message between the node and an upstream, one way.
const NETWORK: Duration = Duration::from_micros(200);

/// What an upstream does with a sub-request that it has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Run {
    /// Answers after this time.
    Answer(Duration),
    /// Ends with the connection lost after this time.
    Crash(Duration),
    /// Never answers.
    Hang,
    /// Answers at once that it doesn't have the index version.
    VersionGone,
}

/// What became of a query.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Answered.
    Answer(Answer),
    /// Refused.
    Refusal(Refusal),
}

/// Decides what an upstream does; its arguments are the random numbers, the upstream's name and the sub-request.
type Behaviour = Box<dyn FnMut(&mut fastrand::Rng, &str, &SubRequest) -> Run>;

/// An engine in simulated time.
pub struct Simulation {
    pub engine: Engine,
    pub now: Timestamp,
    pub rng: fastrand::Rng,
    /// Results with the time of arrival and of the result, by caller.
    pub results: HashMap<CallerKey, Vec<(Timestamp, Timestamp, Verdict)>>,
    /// News that the engine shared.
    pub shared: Vec<News>,
    /// Names of the upstreams that were sent to, with the sub-request.
    pub sends: Vec<(Timestamp, String, SubRequest)>,
    /// Upstreams that lost a connection to a crash.
    pub crashed: BTreeSet<String>,
    behaviour: Behaviour,
    callers: SlotMap<CallerKey, Timestamp>,
    due: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: HashMap<u64, Step>,
    serial: u64,
    upstreams: HashMap<UpstreamKey, SimulatedUpstream>,
    jobs: HashMap<AttemptKey, Job>,
}

enum Step {
    Event(Event),
    Arrive(AttemptKey),
    Finish(AttemptKey, Run),
    TimeOut(AttemptKey),
    Cancel(AttemptKey),
}

struct SimulatedUpstream {
    name: String,
    slots: usize,
    running: Vec<AttemptKey>,
    queue: VecDeque<AttemptKey>,
}

struct Job {
    upstream: UpstreamKey,
    request: SubRequest,
}

impl Simulation {
    /// An engine that follows `policy`, with `bundle` in force and fresh for good.
    pub fn new(
        policy: PolicyMode,
        bundle: &Bundle,
        behaviour: impl FnMut(&mut fastrand::Rng, &str, &SubRequest) -> Run + 'static,
    ) -> Self {
        let engine = Engine::new(&super::engine_settings(policy)).expect("the charts are valid");
        let mut simulation = Self {
            engine,
            now: Timestamp::ZERO,
            rng: fastrand::Rng::with_seed(42),
            results: HashMap::new(),
            shared: Vec::new(),
            sends: Vec::new(),
            crashed: BTreeSet::new(),
            behaviour: Box::new(behaviour),
            callers: SlotMap::with_key(),
            due: BinaryHeap::new(),
            steps: HashMap::new(),
            serial: 0,
            upstreams: HashMap::new(),
            jobs: HashMap::new(),
        };
        let warm_up_owner_of = bundle.upstreams.iter().map(|u| u.name.clone()).collect();
        let view = FleetView {
            published: 1,
            warm_up_owner_of,
        };
        simulation.handle(Event::FleetChanged(view));
        simulation.handle(Event::Freshness(Timestamp::MAX));
        simulation.handle(Event::Configure(super::approve(bundle)));
        // Cold starts are tested elsewhere; here a peer says that all upstreams are warm.
        for upstream in &bundle.upstreams {
            simulation.handle(Event::News(super::warm_news(&upstream.name)));
        }
        simulation
    }

    /// Lets an event happen now.
    pub fn handle(&mut self, event: Event) {
        let mut commands = Vec::new();
        self.engine.handle(self.now, event, &mut commands);
        for command in commands {
            self.carry_out(command);
        }
    }

    /// Lets a query arrive at `at`.
    pub fn search_at(&mut self, at: Timestamp, request: SearchRequest) -> CallerKey {
        let caller = self.callers.insert(at);
        self.schedule(
            at,
            Step::Event(Event::Search(SearchRequest { caller, ..request })),
        );
        caller
    }

    /// Lets an event happen at `at`.
    pub fn event_at(&mut self, at: Timestamp, event: Event) {
        self.schedule(at, Step::Event(event));
    }

    /// Runs until `end` or until nothing is left to happen.
    pub fn run_until(&mut self, end: Timestamp) {
        loop {
            let step = self.due.peek().map(|Reverse((at, _))| *at);
            let wakeup = self.engine.next_wakeup();
            let Some(next) = [step, wakeup]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= end)
            else {
                self.now = self.now.max(end);
                return;
            };
            self.now = self.now.max(next);
            if step == Some(next) {
                self.take_step();
            } else {
                self.handle(Event::Wakeup);
            }
        }
    }

    /// The one result of a caller.
    pub fn result(&self, caller: CallerKey) -> &Verdict {
        let results = &self.results[&caller];
        assert_eq!(results.len(), 1, "each caller gets one result");
        &results[0].2
    }

    /// The answer to a caller.
    pub fn answer(&self, caller: CallerKey) -> &Answer {
        match self.result(caller) {
            Verdict::Answer(answer) => answer,
            Verdict::Refusal(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    /// Kind and execution of the refusal of a caller.
    pub fn refusal(&self, caller: CallerKey) -> (RefusalKind, Execution) {
        match self.result(caller) {
            Verdict::Answer(answer) => panic!("answered: {answer:?}"),
            Verdict::Refusal(refusal) => (refusal.kind, refusal.execution),
        }
    }

    /// Latencies of all answers, sorted, in microseconds.
    pub fn latencies_us(&self) -> Vec<u64> {
        let results = self.results.values().flatten();
        let answers = results.filter(|(.., verdict)| matches!(verdict, Verdict::Answer(_)));
        let mut latencies: Vec<_> = answers
            .map(|(arrived, ended, _)| ended.since(*arrived).as_micros() as u64)
            .collect();
        latencies.sort_unstable();
        latencies
    }

    fn schedule(&mut self, at: Timestamp, step: Step) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial)));
        self.steps.insert(self.serial, step);
    }

    fn take_step(&mut self) {
        let Some(Reverse((_, serial))) = self.due.pop() else {
            return;
        };
        match self.steps.remove(&serial) {
            Some(Step::Event(event)) => self.handle(event),
            Some(Step::Arrive(attempt)) => self.begin(attempt),
            Some(Step::Finish(attempt, run)) => self.finish(attempt, run),
            Some(Step::TimeOut(attempt)) => self.end(attempt, Outcome::Silent),
            Some(Step::Cancel(attempt)) => self.end(attempt, Outcome::Cancelled),
            None => {}
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::OpenUpstream { upstream, spec, .. } => {
                let simulated = SimulatedUpstream {
                    name: spec.name,
                    slots: spec.slots as usize,
                    running: Vec::new(),
                    queue: VecDeque::new(),
                };
                self.upstreams.insert(upstream, simulated);
            }
            Command::Send {
                attempt,
                upstream,
                request,
                deadline,
                not_after,
            } => {
                assert!(self.now <= not_after, "nothing is sent too late");
                let name = self.upstreams[&upstream].name.clone();
                self.sends.push((self.now, name, request.clone()));
                self.jobs.insert(attempt, Job { upstream, request });
                self.schedule(self.now + NETWORK, Step::Arrive(attempt));
                self.schedule(deadline, Step::TimeOut(attempt));
            }
            Command::Cancel { attempt, .. } => {
                self.schedule(self.now + NETWORK, Step::Cancel(attempt));
            }
            Command::Answer { caller, answer, .. } => self.record(caller, Verdict::Answer(answer)),
            Command::Refuse {
                caller, refusal, ..
            } => self.record(caller, Verdict::Refusal(refusal)),
            Command::Share(news) => self.shared.push(news),
            _ => {}
        }
    }

    fn record(&mut self, caller: CallerKey, verdict: Verdict) {
        let arrived = self.callers[caller];
        let results = self.results.entry(caller).or_default();
        results.push((arrived, self.now, verdict));
    }

    fn begin(&mut self, attempt: AttemptKey) {
        let Some(job) = self.jobs.get(&attempt) else {
            return;
        };
        let upstream = self
            .upstreams
            .get_mut(&job.upstream)
            .expect("it was opened");
        if upstream.running.len() >= upstream.slots {
            upstream.queue.push_back(attempt);
            return;
        }
        upstream.running.push(attempt);
        let run = (self.behaviour)(&mut self.rng, &upstream.name, &job.request);
        match run {
            Run::Answer(after) | Run::Crash(after) => {
                self.schedule(self.now + after, Step::Finish(attempt, run));
            }
            Run::VersionGone => self.schedule(self.now, Step::Finish(attempt, run)),
            Run::Hang => {}
        }
    }

    fn finish(&mut self, attempt: AttemptKey, run: Run) {
        let Some(job) = self.jobs.get(&attempt) else {
            return;
        };
        let name = self.upstreams[&job.upstream].name.clone();
        let outcome = match (run, &job.request) {
            (Run::Crash(_), _) => {
                self.crashed.insert(name);
                Outcome::Broken
            }
            (Run::VersionGone, _) | (_, SubRequest::Booking { .. }) => Outcome::VersionGone,
            (
                _,
                SubRequest::Search {
                    shard,
                    index_version,
                    ..
                },
            ) => {
                let id = format!("v{index_version}-s{shard}");
                Outcome::Answered(ShardReply {
                    index_version: *index_version,
                    hits: vec![super::hit(&id, f64::from(*shard), "labs")],
                })
            }
        };
        self.end(attempt, outcome);
    }

    fn end(&mut self, attempt: AttemptKey, outcome: Outcome) {
        let Some(job) = self.jobs.remove(&attempt) else {
            return;
        };
        let upstream = self
            .upstreams
            .get_mut(&job.upstream)
            .expect("it was opened");
        upstream.queue.retain(|queued| *queued != attempt);
        let ran = upstream.running.len();
        upstream.running.retain(|running| *running != attempt);
        let next = (ran > upstream.running.len())
            .then(|| upstream.queue.pop_front())
            .flatten();
        let reply = Reply {
            attempt,
            upstream: job.upstream,
            outcome,
            report: None,
        };
        self.schedule(self.now + NETWORK, Step::Event(Event::Reply(reply)));
        if let Some(next) = next {
            self.begin(next);
        }
    }
}

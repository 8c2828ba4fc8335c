//! Simulation of an engine and its upstreams in virtual time. Upstreams have slots, a queue and service times.

use medlarpost_core::prelude::*;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap, VecDeque},
};

/// One-way delay of a message between the node and an upstream.
const NETWORK: Duration = Duration::from_micros(200);

/// What an upstream does with a sub-request after it has started to run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers after this service time.
    Answer(Duration),
    /// Crashes after this time, which breaks the connection.
    Crash(Duration),
    /// Never answers.
    Hang,
    /// Answers at once that it doesn't serve the index version.
    VersionGone,
}

/// What the engine returned to the caller.
#[derive(Clone, Debug)]
pub enum Response {
    Answer(Answer),
    Refusal(Refusal),
}

/// Chooses the behaviour for a sub-request to the named upstream. The random numbers are those of the simulation.
type BehaviourChooser = Box<dyn FnMut(&mut fastrand::Rng, &str, &SubRequest) -> Behaviour>;

/// An engine in simulated time.
pub struct Simulation {
    pub engine: Engine,
    pub now: Timestamp,
    pub rng: fastrand::Rng,
    /// Time of arrival, time of the response and the response, by caller.
    pub results: HashMap<CallerKey, Vec<(Timestamp, Timestamp, Response)>>,
    /// News that the engine has shared with its peers.
    pub shared_news: Vec<News>,
    /// Time, upstream name and content of each sub-request.
    pub sends: Vec<(Timestamp, String, SubRequest)>,
    /// Names of the upstreams that have crashed.
    pub crashed: BTreeSet<String>,
    choose_behaviour: BehaviourChooser,
    callers: SlotMap<CallerKey, Timestamp>,
    pending: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: HashMap<u64, Step>,
    serial: u64,
    upstreams: HashMap<UpstreamKey, SimulatedUpstream>,
    jobs: HashMap<AttemptKey, Job>,
}

enum Step {
    Event(Event),
    Arrive(AttemptKey),
    Finish(AttemptKey, Behaviour),
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
    /// A simulation in which `bundle` is in force, stays fresh, and all upstreams are warm.
    pub fn new(
        policy: PolicyMode,
        bundle: &Bundle,
        choose_behaviour: impl FnMut(&mut fastrand::Rng, &str, &SubRequest) -> Behaviour + 'static,
    ) -> Self {
        let engine = Engine::new(&super::engine_settings(policy)).expect("the charts are valid");
        let mut simulation = Self {
            engine,
            now: Timestamp::ZERO,
            rng: fastrand::Rng::with_seed(42),
            results: HashMap::new(),
            shared_news: Vec::new(),
            sends: Vec::new(),
            crashed: BTreeSet::new(),
            choose_behaviour: Box::new(choose_behaviour),
            callers: SlotMap::with_key(),
            pending: BinaryHeap::new(),
            steps: HashMap::new(),
            serial: 0,
            upstreams: HashMap::new(),
            jobs: HashMap::new(),
        };
        let warm_up_owner_of = bundle.upstreams.iter().map(|u| u.name.clone()).collect();
        let view = FleetView {
            published_nodes: 1,
            warm_up_owner_of,
        };
        simulation.handle(Event::FleetChanged(view));
        simulation.handle(Event::FreshUntil(Timestamp::MAX));
        simulation.handle(Event::Configure(super::sign_bundle(bundle)));
        // Cold starts have their own tests; here a peer reports that all upstreams are warm.
        for upstream in &bundle.upstreams {
            simulation.handle(Event::News(super::warm_news(&upstream.name)));
        }
        simulation
    }

    /// Passes an event to the engine and executes the resulting commands.
    pub fn handle(&mut self, event: Event) {
        let mut commands = Vec::new();
        self.engine.handle(self.now, event, &mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    /// Schedules the arrival of a query and returns its caller.
    pub fn search_at(&mut self, at: Timestamp, request: SearchRequest) -> CallerKey {
        let caller = self.callers.insert(at);
        self.schedule(
            at,
            Step::Event(Event::Search(SearchRequest { caller, ..request })),
        );
        caller
    }

    /// Schedules an event.
    pub fn event_at(&mut self, at: Timestamp, event: Event) {
        self.schedule(at, Step::Event(event));
    }

    /// Runs all steps and wakeups that are due up to `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        loop {
            let step = self.pending.peek().map(|Reverse((at, _))| *at);
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
                self.run_next_step();
            } else {
                self.handle(Event::Wakeup);
            }
        }
    }

    /// The response to a caller; fails unless there was exactly one.
    pub fn result(&self, caller: CallerKey) -> &Response {
        let results = &self.results[&caller];
        assert_eq!(results.len(), 1, "each caller gets one result");
        &results[0].2
    }

    /// The answer to a caller; fails if the query was refused.
    pub fn answer(&self, caller: CallerKey) -> &Answer {
        match self.result(caller) {
            Response::Answer(answer) => answer,
            Response::Refusal(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    /// Kind and execution of the refusal of a caller's query; fails if it was answered.
    pub fn refusal(&self, caller: CallerKey) -> (RefusalKind, Execution) {
        match self.result(caller) {
            Response::Answer(answer) => panic!("answered: {answer:?}"),
            Response::Refusal(refusal) => (refusal.kind, refusal.execution),
        }
    }

    /// Latencies of all answered queries in microseconds, sorted.
    pub fn latencies_us(&self) -> Vec<u64> {
        let results = self.results.values().flatten();
        let answers = results.filter(|(.., response)| matches!(response, Response::Answer(_)));
        let mut latencies: Vec<_> = answers
            .map(|(arrived, ended, _)| ended.since(*arrived).as_micros() as u64)
            .collect();
        latencies.sort_unstable();
        latencies
    }

    fn schedule(&mut self, at: Timestamp, step: Step) {
        self.serial += 1;
        self.pending.push(Reverse((at, self.serial)));
        self.steps.insert(self.serial, step);
    }

    fn run_next_step(&mut self) {
        let Some(Reverse((_, serial))) = self.pending.pop() else {
            return;
        };
        match self.steps.remove(&serial) {
            Some(Step::Event(event)) => self.handle(event),
            Some(Step::Arrive(attempt)) => self.start_job(attempt),
            Some(Step::Finish(attempt, behaviour)) => self.finish_job(attempt, behaviour),
            Some(Step::TimeOut(attempt)) => self.end_job(attempt, Outcome::Silent),
            Some(Step::Cancel(attempt)) => self.end_job(attempt, Outcome::Cancelled),
            None => {}
        }
    }

    fn execute(&mut self, command: Command) {
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
                assert!(self.now <= not_after, "sub-requests are sent in time");
                let name = self.upstreams[&upstream].name.clone();
                self.sends.push((self.now, name, request.clone()));
                self.jobs.insert(attempt, Job { upstream, request });
                self.schedule(self.now + NETWORK, Step::Arrive(attempt));
                self.schedule(deadline, Step::TimeOut(attempt));
            }
            Command::Cancel { attempt, .. } => {
                self.schedule(self.now + NETWORK, Step::Cancel(attempt));
            }
            Command::AnswerQuery { caller, answer, .. } => {
                self.record(caller, Response::Answer(answer));
            }
            Command::Refuse {
                caller, refusal, ..
            } => self.record(caller, Response::Refusal(refusal)),
            Command::Broadcast(news) => self.shared_news.push(news),
            _ => {}
        }
    }

    fn record(&mut self, caller: CallerKey, response: Response) {
        let arrived = self.callers[caller];
        let results = self.results.entry(caller).or_default();
        results.push((arrived, self.now, response));
    }

    fn start_job(&mut self, attempt: AttemptKey) {
        let Some(job) = self.jobs.get(&attempt) else {
            return;
        };
        let upstream = self
            .upstreams
            .get_mut(&job.upstream)
            .expect("the upstream was opened before");
        if upstream.running.len() >= upstream.slots {
            upstream.queue.push_back(attempt);
            return;
        }
        upstream.running.push(attempt);
        let behaviour = (self.choose_behaviour)(&mut self.rng, &upstream.name, &job.request);
        match behaviour {
            Behaviour::Answer(after) | Behaviour::Crash(after) => {
                self.schedule(self.now + after, Step::Finish(attempt, behaviour));
            }
            Behaviour::VersionGone => self.schedule(self.now, Step::Finish(attempt, behaviour)),
            Behaviour::Hang => {}
        }
    }

    fn finish_job(&mut self, attempt: AttemptKey, behaviour: Behaviour) {
        let Some(job) = self.jobs.get(&attempt) else {
            return;
        };
        let name = self.upstreams[&job.upstream].name.clone();
        let outcome = match (behaviour, &job.request) {
            (Behaviour::Crash(_), _) => {
                self.crashed.insert(name);
                Outcome::Broken
            }
            (Behaviour::VersionGone, _) | (_, SubRequest::Booking { .. }) => Outcome::VersionGone,
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
        self.end_job(attempt, outcome);
    }

    fn end_job(&mut self, attempt: AttemptKey, outcome: Outcome) {
        let Some(job) = self.jobs.remove(&attempt) else {
            return;
        };
        let upstream = self
            .upstreams
            .get_mut(&job.upstream)
            .expect("the upstream was opened before");
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
            self.start_job(next);
        }
    }
}

//! Forwarded requests under random schedules of replies, losses, departures, configurations and time.

use crate::forward_bench::{
    self, Bench, Sent, request, route, served, settings, shards, table, upstream,
};
use medlarpost_core::prelude::*;
use proptest::prelude::*;
use std::collections::{BTreeSet, HashMap};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const PATHS: [&str; 3] = ["/q/1", "/read/1", "/book/1"];

#[derive(Clone, Debug)]
enum Step {
    Ask(usize),
    Finish(usize, usize),
    Pass(u64),
    Leave(usize),
    Register(usize, bool, u64),
    Deregister(usize),
    ZoneOut(usize),
    ZonesBack,
    Fleet(u32),
    Configure,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PATHS.len()).prop_map(Step::Ask),
        8 => (any::<usize>(), 0..8_usize).prop_map(|(which, outcome)| Step::Finish(which, outcome)),
        3 => (0..300_u64).prop_map(Step::Pass),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (0..9_usize, any::<bool>(), 0..3_000_u64).prop_map(|(which, leaving, cold)| Step::Register(which, leaving, cold)),
        1 => (0..9_usize).prop_map(Step::Deregister),
        1 => (0..ZONES.len()).prop_map(Step::ZoneOut),
        1 => Just(Step::ZonesBack),
        1 => (1..6_u32).prop_map(Step::Fleet),
        1 => Just(Step::Configure),
    ]
}

fn routes() -> Vec<Route> {
    let book = Route {
        idempotent: false,
        ..route("book", Target::Service("desk".into()))
    };
    let read = route("read", Target::Service("desk".into()));
    vec![route("q", shards(2, 0.5)), read, book]
}

fn entry(which: usize) -> RegisteredUpstream {
    let service = ["desk", "shard-0", "shard-1"][which / 3];
    upstream(service, ZONES[which % 3])
}

fn outcome(number: usize) -> ForwardOutcome {
    match number {
        0 | 1 => served(b"0000000000000001"),
        2 => ForwardOutcome::Failed(forward_bench::reply(500, b"")),
        3 => ForwardOutcome::NotRun(NotRunCause::Full),
        4 => ForwardOutcome::NotSent,
        5 => ForwardOutcome::ConnectionLost,
        6 => ForwardOutcome::NotRun(NotRunCause::OtherInstance),
        _ => ForwardOutcome::TimedOut,
    }
}

/// What the test knows of one request.
#[derive(Debug, Default)]
struct Record {
    path: usize,
    answers: usize,
    left: bool,
    /// Attempts that run or may have run.
    may_have_run: usize,
    refused_as_not_run: bool,
}

#[derive(Debug)]
struct World {
    bench: Bench,
    records: HashMap<CallerKey, Record>,
    running: Vec<(CallerKey, Sent)>,
    zones_out: BTreeSet<Arc<str>>,
    version: u64,
}

impl World {
    fn new() -> Self {
        let mut bench = Bench::new(settings());
        bench.event(ForwardEvent::Configured(table(1, routes())));
        for which in 0..9 {
            bench.event(ForwardEvent::UpstreamRegistered(entry(which)));
        }
        Self {
            bench,
            records: HashMap::new(),
            running: Vec::new(),
            zones_out: BTreeSet::new(),
            version: 1,
        }
    }

    fn take(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask(path) => {
                let number = self.records.len();
                let mut asked = request(PATHS[path]);
                asked.id = format!("{number}").into();
                let caller = self.bench.ask(asked);
                let record = Record {
                    path,
                    ..Record::default()
                };
                self.records.insert(caller, record);
            }
            Step::Finish(which, number) if !self.running.is_empty() => {
                let (caller, sent) = self.running.remove(which % self.running.len());
                let outcome = outcome(number);
                let not_run =
                    matches!(outcome, ForwardOutcome::NotRun(_) | ForwardOutcome::NotSent);
                let record = self
                    .records
                    .get_mut(&caller)
                    .expect("each attempt has a caller");
                if not_run {
                    record.may_have_run -= 1;
                }
                self.bench.finish(&sent, outcome);
            }
            Step::Pass(ms) => self.bench.pass(Duration::from_millis(ms)),
            Step::Leave(which) if !self.records.is_empty() => {
                let mut callers: Vec<_> = self.records.keys().copied().collect();
                callers.sort();
                let caller = callers[which % callers.len()];
                if self.records[&caller].answers == 0 {
                    self.records.get_mut(&caller).expect("it was listed").left = true;
                    self.bench.event(ForwardEvent::CallerGone(caller));
                }
            }
            Step::Finish(..) | Step::Leave(_) => {}
            Step::Register(which, leaving, cold) => {
                self.bench
                    .event(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
                        leaving,
                        cold_for: Duration::from_millis(cold),
                        ..entry(which)
                    }));
            }
            Step::Deregister(which) => {
                self.bench
                    .event(ForwardEvent::UpstreamDeregistered(entry(which).instance));
            }
            Step::ZoneOut(zone) => {
                self.zones_out.insert(ZONES[zone].into());
                self.bench
                    .event(ForwardEvent::ZonesOut(self.zones_out.clone()));
            }
            Step::ZonesBack => {
                self.zones_out.clear();
                self.bench.event(ForwardEvent::ZonesOut(BTreeSet::new()));
            }
            Step::Fleet(size) => self.bench.event(ForwardEvent::FleetSize(size)),
            Step::Configure => {
                self.version += 1;
                let table = table(self.version, routes());
                self.bench.event(ForwardEvent::Configured(table));
            }
        }
        self.look()
    }

    /// Takes account of what was sent and answered, and checks it.
    fn look(&mut self) -> Result<(), TestCaseError> {
        for (caller, sent) in self.bench.sent_for() {
            let zone = sent
                .instance
                .split('@')
                .nth(1)
                .expect("instances name their zone");
            prop_assert!(
                !self.zones_out.contains(zone),
                "sent to {}, which is out",
                sent.instance
            );
            let record = self
                .records
                .get_mut(&caller)
                .expect("each attempt has a caller");
            record.may_have_run += 1;
            prop_assert!(
                !record.left && record.answers == 0,
                "sent for a caller that is done"
            );
            if PATHS[record.path] == "/book/1" {
                prop_assert!(record.may_have_run <= 1, "a booking may run twice");
            }
            self.running.push((caller, sent));
        }
        for (caller, answer) in self.bench.answers() {
            let record = self
                .records
                .get_mut(&caller)
                .expect("each answer has a caller");
            record.answers += 1;
            prop_assert!(record.answers == 1 && !record.left, "one answer a caller");
            let not_run = matches!(
                answer,
                ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
            );
            record.refused_as_not_run = not_run;
            prop_assert!(!not_run || record.may_have_run == 0, "refused as not run");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against interleavings in which a booking may run twice, a refusal promises too much, a caller gets no answer
    /// or two, or a zone that is out gets work.
    #[test]
    fn promises_hold_under_any_schedule(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();

        for step in &steps {
            world.take(step)?;
        }
        while let Some((_, sent)) = world.running.pop() {
            world.bench.finish(&sent, ForwardOutcome::TimedOut);
            world.look()?;
        }
        world.bench.pass(Duration::from_secs(5));
        world.look()?;

        let unanswered = world.records.values().filter(|record| record.answers == 0 && !record.left).count();
        prop_assert_eq!(unanswered, 0);
        prop_assert_eq!(world.bench.forwarder.running_requests(), 0);
    }
}

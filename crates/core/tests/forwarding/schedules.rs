//! Property test of the forwarder under random schedules of replies, failures, disconnects, configurations and time.

use crate::forward_harness::{
    self, Harness, Sent, request, route, served_reply, settings, shards_target, table, upstream,
};
use medlarpost_core::prelude::*;
use proptest::prelude::*;
use std::collections::{BTreeSet, HashMap};

const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const PATHS: [&str; 3] = ["/q/1", "/read/1", "/book/1"];

#[derive(Clone, Debug)]
enum Step {
    SendRequest(usize),
    EndAttempt(usize, usize),
    Advance(u64),
    CallerDisconnects(usize),
    Register(usize, bool, u64),
    Deregister(usize),
    EvacuateZone(usize),
    RestoreZones,
    ResizeFleet(u32),
    Configure,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PATHS.len()).prop_map(Step::SendRequest),
        8 => (any::<usize>(), 0..8_usize).prop_map(|(index, outcome)| Step::EndAttempt(index, outcome)),
        3 => (0..300_u64).prop_map(Step::Advance),
        1 => any::<usize>().prop_map(Step::CallerDisconnects),
        1 => (0..9_usize, any::<bool>(), 0..3_000_u64).prop_map(|(index, leaving, cold)| Step::Register(index, leaving, cold)),
        1 => (0..9_usize).prop_map(Step::Deregister),
        1 => (0..ZONES.len()).prop_map(Step::EvacuateZone),
        1 => Just(Step::RestoreZones),
        1 => (1..6_u32).prop_map(Step::ResizeFleet),
        1 => Just(Step::Configure),
    ]
}

fn routes() -> Vec<Route> {
    let book = Route {
        idempotent: false,
        ..route("book", Target::Service("desk".into()))
    };
    let read = route("read", Target::Service("desk".into()));
    vec![route("q", shards_target(2, 0.5)), read, book]
}

fn registry_entry(index: usize) -> RegisteredUpstream {
    let service = ["desk", "shard-0", "shard-1"][index / 3];
    upstream(service, ZONES[index % 3])
}

fn outcome(number: usize) -> ForwardOutcome {
    match number {
        0 | 1 => served_reply(b"0000000000000001"),
        2 => ForwardOutcome::Failed(forward_harness::reply(500, b"")),
        3 => ForwardOutcome::NotRun(NotRunCause::Full),
        4 => ForwardOutcome::NotSent,
        5 => ForwardOutcome::ConnectionLost,
        6 => ForwardOutcome::NotRun(NotRunCause::OtherInstance),
        _ => ForwardOutcome::TimedOut,
    }
}

/// State of one request as seen by its caller.
#[derive(Debug, Default)]
struct RequestRecord {
    path: usize,
    answers: usize,
    caller_gone: bool,
    /// Attempts that have run or may run.
    may_have_run: usize,
    refused_as_not_run: bool,
}

#[derive(Debug)]
struct Model {
    harness: Harness,
    records: HashMap<CallerKey, RequestRecord>,
    running: Vec<(CallerKey, Sent)>,
    evacuated_zones: BTreeSet<Arc<str>>,
    version: u64,
    shutdown: Option<ShutdownSchedule>,
}

impl Model {
    fn new() -> Self {
        let mut harness = Harness::new(settings());
        harness.handle(ForwardEvent::Configured(table(1, routes())));
        for index in 0..9 {
            harness.handle(ForwardEvent::UpstreamRegistered(registry_entry(index)));
        }
        Self {
            harness,
            records: HashMap::new(),
            running: Vec::new(),
            evacuated_zones: BTreeSet::new(),
            version: 1,
            shutdown: None,
        }
    }

    fn shut_down(&mut self, stop_within: Duration) {
        let schedule = ShutdownSchedule::new(self.harness.now, stop_within / 2, stop_within);
        self.shutdown = Some(schedule);
        self.harness.handle(ForwardEvent::ShutdownBegan(schedule));
        // Delivers the wakeups that the schedule makes due at once.
        self.harness.advance(Duration::ZERO);
    }

    fn apply_step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::SendRequest(path) => {
                let number = self.records.len();
                let mut forwarded = request(PATHS[path]);
                forwarded.id = format!("{number}").into();
                let caller = self.harness.send_request(forwarded);
                let record = RequestRecord {
                    path,
                    ..RequestRecord::default()
                };
                self.records.insert(caller, record);
            }
            Step::EndAttempt(index, number) if !self.running.is_empty() => {
                let (caller, sent) = self.running.remove(index % self.running.len());
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
                self.harness.end_attempt(&sent, outcome);
            }
            Step::Advance(ms) => self.harness.advance(Duration::from_millis(ms)),
            Step::CallerDisconnects(index) if !self.records.is_empty() => {
                let mut callers: Vec<_> = self.records.keys().copied().collect();
                callers.sort();
                let caller = callers[index % callers.len()];
                if self.records[&caller].answers == 0 {
                    self.records
                        .get_mut(&caller)
                        .expect("the caller is one of the keys")
                        .caller_gone = true;
                    self.harness.handle(ForwardEvent::CallerGone(caller));
                }
            }
            Step::EndAttempt(..) | Step::CallerDisconnects(_) => {}
            Step::Register(index, leaving, cold) => {
                self.harness
                    .handle(ForwardEvent::UpstreamRegistered(RegisteredUpstream {
                        leaving,
                        cold_for: Duration::from_millis(cold),
                        ..registry_entry(index)
                    }));
            }
            Step::Deregister(index) => {
                self.harness.handle(ForwardEvent::UpstreamDeregistered(
                    registry_entry(index).instance,
                ));
            }
            Step::EvacuateZone(zone) => {
                self.evacuated_zones.insert(ZONES[zone].into());
                self.harness
                    .handle(ForwardEvent::ZonesEvacuated(self.evacuated_zones.clone()));
            }
            Step::RestoreZones => {
                self.evacuated_zones.clear();
                self.harness
                    .handle(ForwardEvent::ZonesEvacuated(BTreeSet::new()));
            }
            Step::ResizeFleet(size) => self.harness.handle(ForwardEvent::FleetSize(size)),
            Step::Configure => {
                self.version += 1;
                let table = table(self.version, routes());
                self.harness.handle(ForwardEvent::Configured(table));
            }
        }
        self.check_outputs()
    }

    /// Takes what was sent and answered, and checks it against the model.
    fn check_outputs(&mut self) -> Result<(), TestCaseError> {
        let is_over = self
            .shutdown
            .is_some_and(|schedule| schedule.answer_by() <= self.harness.now);
        if is_over {
            prop_assert_eq!(self.harness.forwarder.running_requests(), 0);
        }
        for (caller, sent) in self.harness.take_sent_with_callers() {
            let zone = sent
                .instance
                .split('@')
                .nth(1)
                .expect("instances name their zone");
            prop_assert!(
                !self.evacuated_zones.contains(zone),
                "sent to {}, whose zone is evacuated",
                sent.instance
            );
            let record = self
                .records
                .get_mut(&caller)
                .expect("each attempt has a caller");
            record.may_have_run += 1;
            prop_assert!(
                !record.caller_gone && record.answers == 0,
                "sent for a caller that was answered or has disconnected"
            );
            if PATHS[record.path] == "/book/1" {
                prop_assert!(record.may_have_run <= 1, "a booking may run twice");
            }
            self.running.push((caller, sent));
        }
        for (caller, answer) in self.harness.take_answers() {
            let record = self
                .records
                .get_mut(&caller)
                .expect("each answer has a caller");
            record.answers += 1;
            prop_assert!(
                record.answers == 1 && !record.caller_gone,
                "more than one answer, or an answer after the caller disconnected"
            );
            let not_run = matches!(
                answer,
                ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
            );
            record.refused_as_not_run = not_run;
            prop_assert!(
                !not_run || record.may_have_run == 0,
                "refused as not run although it may have run"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against interleavings in which a booking may run twice, a refusal wrongly states `not run`, a caller gets
    /// no answer or two, an evacuated zone is used, or a request outlives a shutdown.
    #[test]
    fn guarantees_hold_under_any_schedule(
        steps in proptest::collection::vec(step(), 1..120),
        shutdown in proptest::option::of((0..120_usize, 0..2_000_u64)),
    ) {
        let mut model = Model::new();

        for (number, step) in steps.iter().enumerate() {
            if let Some((at, ms)) = shutdown && at == number {
                model.shut_down(Duration::from_millis(ms));
            }
            model.apply_step(step)?;
        }
        while let Some((_, sent)) = model.running.pop() {
            model.harness.end_attempt(&sent, ForwardOutcome::TimedOut);
            model.check_outputs()?;
        }
        model.harness.advance(Duration::from_secs(5));
        model.check_outputs()?;

        let unanswered = model.records.values().filter(|record| record.answers == 0 && !record.caller_gone).count();
        prop_assert_eq!(unanswered, 0);
        prop_assert_eq!(model.harness.forwarder.running_requests(), 0);
    }
}

//! Guards against interleavings of events in which a caller gets no response or two, an answer mixes index versions or
//! misstates its coverage, a refusal is untrue, or an upstream is sent work that it must not get.

use crate::query_sim::{
    SERVICE, bundle, engine_settings, hit, layout, search_request, sign_bundle,
};
use medlarpost_core::prelude::*;
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest},
    prop_oneof,
    sample::Index,
    test_runner::TestCaseError,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::OnceLock,
};

/// Text numbers below this select a text that no other caller uses; the others select a shared text.
const FIRST_SHARED_TEXT: u8 = 3;

/// One event of an interleaving.
#[derive(Clone, Copy, Debug)]
enum Step {
    Search {
        labs: bool,
        text: u8,
        deadline_ms: u64,
    },
    Reply {
        attempt: Index,
        outcome: u8,
    },
    Duplicate {
        attempt: Index,
    },
    CallerGone {
        caller: Index,
    },
    Configure {
        bundle: Index,
    },
    Freshness {
        millis: u64,
    },
    Crash {
        text: u8,
    },
    Advance {
        micros: u64,
    },
    Warm,
    Drain,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let search =
        (any::<bool>(), 0..6_u8, 1..200_u64).prop_map(|(labs, text, deadline_ms)| Step::Search {
            labs,
            text,
            deadline_ms,
        });
    let reply =
        (any::<Index>(), 0..20_u8).prop_map(|(attempt, outcome)| Step::Reply { attempt, outcome });
    let step = prop_oneof![
        20 => search,
        60 => reply,
        4 => any::<Index>().prop_map(|attempt| Step::Duplicate { attempt }),
        4 => any::<Index>().prop_map(|caller| Step::CallerGone { caller }),
        3 => any::<Index>().prop_map(|bundle| Step::Configure { bundle }),
        3 => (0..100_u64).prop_map(|millis| Step::Freshness { millis }),
        1 => (0..6_u8).prop_map(|text| Step::Crash { text }),
        20 => (1..20_000_u64).prop_map(|micros| Step::Advance { micros }),
        4 => Just(Step::Warm),
        1 => Just(Step::Drain),
    ];
    proptest::collection::vec(step, 1..300)
}

/// An attempt that has not been replied to.
#[derive(Clone, Debug)]
struct OpenAttempt {
    attempt: AttemptKey,
    upstream: UpstreamKey,
    /// Query text, shard and index version.
    request_key: (Arc<str>, u32, u64),
}

/// A caller's query and the responses to it.
#[derive(Debug)]
struct Caller {
    text: Arc<str>,
    /// Whether other callers may use the same text.
    shared: bool,
    results: u32,
    gone: bool,
}

/// The engine, and what an observer of its events and commands knows.
struct Model {
    engine: Engine,
    now: Timestamp,
    fresh_until: Timestamp,
    draining: bool,
    bundle: Arc<ApprovedBundle>,
    upstream_names: HashMap<UpstreamKey, String>,
    open_attempts: Vec<OpenAttempt>,
    past_replies: Vec<Reply>,
    callers: SlotMap<CallerKey, Caller>,
    /// Shards that were answered with the right index version, by query text and index version.
    merged: HashMap<(Arc<str>, u64), BTreeSet<u32>>,
    /// Texts of the queries for which a sub-request was sent.
    sent_texts: BTreeSet<Arc<str>>,
    serial: u64,
}

impl Model {
    fn new() -> Self {
        let bundle = Arc::clone(&configurations()[0]);
        let mut model = Self {
            engine: Engine::new(&engine_settings(PolicyMode::Adaptive))
                .expect("the charts are valid"),
            now: Timestamp::from_millis(1),
            fresh_until: Timestamp::ZERO,
            draining: false,
            bundle: Arc::clone(&bundle),
            upstream_names: HashMap::new(),
            open_attempts: Vec::new(),
            past_replies: Vec::new(),
            callers: SlotMap::with_key(),
            merged: HashMap::new(),
            sent_texts: BTreeSet::new(),
            serial: 0,
        };
        let warm_up_owner_of = bundle.upstreams.iter().map(|u| u.name.clone()).collect();
        let view = FleetView {
            published_nodes: 1,
            warm_up_owner_of,
        };
        let fresh_until = Timestamp::from_millis(100_000);
        model.fresh_until = fresh_until;
        for event in [
            Event::FleetChanged(view),
            Event::FreshUntil(fresh_until),
            Event::Configure(bundle),
        ] {
            model.handle(event).expect("nothing has been sent");
        }
        model.warm_all().expect("nothing has been sent");
        model
    }

    /// Reports all upstreams as warm by a peer, in a round that is newer than any before.
    fn warm_all(&mut self) -> Result<(), TestCaseError> {
        self.serial += 1;
        let names: Vec<_> = self
            .bundle
            .upstreams
            .iter()
            .map(|u| u.name.clone())
            .collect();
        for upstream in names {
            let (started_at_ms, round) = (1, self.serial);
            self.handle(Event::News(News::Warm {
                upstream,
                started_at_ms,
                round,
            }))?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut commands = Vec::new();
        self.engine.handle(self.now, event, &mut commands);
        commands
            .into_iter()
            .try_for_each(|command| self.check_command(command))
    }

    fn check_command(&mut self, command: Command) -> Result<(), TestCaseError> {
        match command {
            Command::OpenUpstream { upstream, spec, .. } => {
                self.upstream_names.insert(upstream, spec.name);
            }
            Command::Send {
                attempt,
                upstream,
                request,
                deadline,
                not_after,
            } => {
                self.check_send(upstream, deadline, not_after)?;
                self.record_send(attempt, upstream, &request);
            }
            Command::AnswerQuery { caller, answer, .. } => self.check_answer(caller, &answer)?,
            Command::Refuse {
                caller, refusal, ..
            } => self.check_refusal(caller, &refusal)?,
            Command::Drained => prop_assert!(self.draining),
            _ => {}
        }
        Ok(())
    }

    fn check_send(
        &self,
        upstream: UpstreamKey,
        deadline: Timestamp,
        not_after: Timestamp,
    ) -> Result<(), TestCaseError> {
        let name = &self.upstream_names[&upstream];
        let spec = self.bundle.upstreams.iter().find(|u| u.name == *name);
        let spec = spec.expect("upstreams are never removed here");
        let zone = self.bundle.zones.iter().find(|z| z.name == spec.zone);
        prop_assert_eq!(spec.state, UpstreamState::Active);
        prop_assert_eq!(zone.map(|z| z.state), Some(ZoneState::In));
        prop_assert!(self.now <= deadline && self.now < self.fresh_until);
        prop_assert!(not_after <= deadline.min(self.fresh_until));
        Ok(())
    }

    fn record_send(&mut self, attempt: AttemptKey, upstream: UpstreamKey, request: &SubRequest) {
        let SubRequest::Search {
            shard,
            index_version,
            query,
            ..
        } = request
        else {
            return;
        };
        self.sent_texts.insert(Arc::clone(query));
        let request_key = (Arc::clone(query), *shard, *index_version);
        self.open_attempts.push(OpenAttempt {
            attempt,
            upstream,
            request_key,
        });
    }

    fn check_answer(&mut self, caller: CallerKey, answer: &Answer) -> Result<(), TestCaseError> {
        self.record_result(caller)?;
        let version = answer.index_version;
        let shards = shard_count(version);
        let coverage = &answer.coverage;
        prop_assert_eq!(coverage.asked, shards);
        prop_assert_eq!(
            coverage.answered + coverage.missing.len() as u32,
            coverage.asked
        );
        let missing: BTreeSet<_> = coverage.missing.iter().map(|m| m.shard).collect();
        let answered: BTreeSet<_> = (0..shards).filter(|s| !missing.contains(s)).collect();
        let caller = &self.callers[caller];
        let key = (Arc::clone(&caller.text), version);
        let merged = self.merged.get(&key).cloned().unwrap_or_default();
        prop_assert!(answered.is_subset(&merged));
        if !caller.shared {
            prop_assert_eq!(&answered, &merged, "coverage is exactly what was merged");
        }
        let hits: BTreeSet<_> = answer.hits.iter().map(|hit| hit.id.clone()).collect();
        let expected: BTreeSet<_> = answered
            .iter()
            .map(|s| format!("v{version}-s{s}"))
            .collect();
        prop_assert_eq!(hits, expected);
        Ok(())
    }

    fn check_refusal(&mut self, caller: CallerKey, refusal: &Refusal) -> Result<(), TestCaseError> {
        self.record_result(caller)?;
        prop_assert_eq!(refusal.execution, Execution::NotRun);
        let caller = &self.callers[caller];
        let sent = self.sent_texts.contains(&caller.text);
        prop_assert!(caller.shared || !sent, "a refused request was sent");
        Ok(())
    }

    fn record_result(&mut self, caller: CallerKey) -> Result<(), TestCaseError> {
        let caller = &mut self.callers[caller];
        caller.results += 1;
        prop_assert!(!caller.gone);
        prop_assert_eq!(caller.results, 1);
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Search {
                labs,
                text,
                deadline_ms,
            } => self.search(labs, text, deadline_ms),
            Step::Reply { attempt, outcome } => self.reply(attempt, outcome),
            Step::Duplicate { attempt } => {
                if self.past_replies.is_empty() {
                    return Ok(());
                }
                let reply = attempt.get(&self.past_replies).clone();
                self.handle(Event::Reply(reply))
            }
            Step::CallerGone { caller } => self.caller_gone(caller),
            Step::Configure { bundle } => self.configure(bundle.get(configurations())),
            Step::Freshness { millis } => {
                self.fresh_until = self.now + Duration::from_millis(millis);
                self.handle(Event::FreshUntil(self.fresh_until))
            }
            Step::Crash { text } => {
                let digest =
                    Digest::of(format!("{SERVICE}\n{}", query_text(true, text.into())).as_bytes());
                let upstreams = vec!["s0r0".to_owned()];
                self.handle(Event::News(News::Crash { digest, upstreams }))
            }
            Step::Advance { micros } => self.advance(self.now + Duration::from_micros(micros)),
            Step::Warm => self.warm_all(),
            Step::Drain => {
                self.draining = true;
                self.handle(Event::Drain)
            }
        }
    }

    fn search(&mut self, labs: bool, text: u8, deadline_ms: u64) -> Result<(), TestCaseError> {
        self.serial += 1;
        let shared = text >= FIRST_SHARED_TEXT;
        let number = if shared { u64::from(text) } else { self.serial };
        let text = query_text(shared, number);
        let caller = self.callers.insert(Caller {
            text: Arc::clone(&text),
            shared,
            results: 0,
            gone: false,
        });
        let workspace = if labs { "labs" } else { "firms" };
        let request = SearchRequest {
            caller,
            request_id: Arc::from(format!("request-{}", self.serial)),
            limit: 100,
            ..search_request(workspace, &text, deadline_ms)
        };
        self.handle(Event::Search(request))
    }

    fn reply(&mut self, attempt: Index, outcome: u8) -> Result<(), TestCaseError> {
        if self.open_attempts.is_empty() {
            return Ok(());
        }
        let sent = self
            .open_attempts
            .swap_remove(attempt.index(self.open_attempts.len()));
        let outcome = self.outcome(&sent, outcome);
        let reply = Reply {
            attempt: sent.attempt,
            upstream: sent.upstream,
            outcome,
            report: None,
        };
        self.past_replies.push(reply.clone());
        self.handle(Event::Reply(reply))
    }

    fn outcome(&mut self, sent: &OpenAttempt, outcome: u8) -> Outcome {
        let (text, shard, version) = sent.request_key.clone();
        match outcome {
            0 => Outcome::Shed,
            1 => Outcome::NotSent,
            2 => Outcome::Broken,
            3 => Outcome::Silent,
            4 => Outcome::VersionGone,
            5 => Outcome::Invalid,
            6 => Outcome::Answered(ShardReply {
                index_version: version + 1,
                hits: vec![hit("of another version", 9.0, "labs")],
            }),
            _ => {
                self.merged
                    .entry((text, version))
                    .or_default()
                    .insert(shard);
                Outcome::Answered(ShardReply {
                    index_version: version,
                    hits: vec![hit(&format!("v{version}-s{shard}"), 1.0, "labs")],
                })
            }
        }
    }

    fn caller_gone(&mut self, caller: Index) -> Result<(), TestCaseError> {
        let keys: Vec<_> = self.callers.keys().collect();
        if keys.is_empty() {
            return Ok(());
        }
        let key = *caller.get(&keys);
        if self.callers[key].results == 0 {
            self.callers[key].gone = true;
        }
        self.handle(Event::CallerGone(key))
    }

    fn configure(&mut self, next: &Arc<ApprovedBundle>) -> Result<(), TestCaseError> {
        self.bundle = Arc::clone(next);
        self.handle(Event::Configure(Arc::clone(next)))
    }

    fn advance(&mut self, to: Timestamp) -> Result<(), TestCaseError> {
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            self.handle(Event::Wakeup)?;
        }
        self.now = to;
        Ok(())
    }

    /// Lets all deadlines pass and ends all open attempts.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        self.advance(self.now + Duration::from_secs(2))?;
        while let Some(sent) = self.open_attempts.pop() {
            let (attempt, upstream) = (sent.attempt, sent.upstream);
            let outcome = Outcome::Cancelled;
            self.handle(Event::Reply(Reply {
                attempt,
                upstream,
                outcome,
                report: None,
            }))?;
        }
        Ok(())
    }
}

fn query_text(shared: bool, number: u64) -> Arc<str> {
    Arc::from(format!("{shared} {number}"))
}

/// Number of shards of an index version.
fn shard_count(version: u64) -> u32 {
    [3, 5, 4][version as usize - 1]
}

fn layout_of_version(number: u64) -> ShardLayout {
    layout(number, shard_count(number), 2)
}

/// Every configuration that an interleaving may apply: combinations of index versions, with a zone out or an upstream
/// leaving. They are built once, because signing would take most of the time otherwise.
fn configurations() -> &'static [Arc<ApprovedBundle>] {
    static CONFIGURATIONS: OnceLock<Vec<Arc<ApprovedBundle>>> = OnceLock::new();
    CONFIGURATIONS.get_or_init(|| {
        let layouts = [
            vec![layout_of_version(1)],
            vec![layout_of_version(1), layout_of_version(2)],
            vec![layout_of_version(2)],
            vec![layout_of_version(2), layout_of_version(3)],
        ];
        let with_layouts = layouts.into_iter().map(|layouts| {
            let mut bundle = small_bundle();
            bundle.services[0].layouts = layouts;
            bundle
        });
        let variants = with_layouts.flat_map(|bundle| {
            let mut zone_out = bundle.clone();
            zone_out.zones[0].state = ZoneState::Out;
            let leaving = (0..bundle.upstreams.len()).map(|position| {
                let mut next = bundle.clone();
                next.upstreams[position].state = UpstreamState::Leaving;
                next
            });
            let leaving: Vec<_> = leaving.collect();
            [bundle, zone_out].into_iter().chain(leaving)
        });
        variants.map(|bundle| sign_bundle(&bundle)).collect()
    })
}

fn small_bundle() -> Bundle {
    let mut bundle = bundle(5, 2, 1);
    bundle.limits.queue_length = 6;
    bundle.policy.extra_load = 0.2;
    bundle.upstreams.iter_mut().for_each(|u| u.connections = 2);
    bundle.services[0].layouts = vec![layout_of_version(1)];
    bundle
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_interleaving_gives_one_correct_result_to_each_caller(steps in steps()) {
        let mut model = Model::new();

        for step in steps {
            model.apply(step)?;
            let statistics = model.engine.statistics();
            let extra = (statistics.hedges + statistics.retries) as f64;
            prop_assert!(extra <= 0.2 * statistics.primaries as f64 + 1e-6, "{:?}", statistics);
        }
        model.finish()?;

        for caller in model.callers.values() {
            prop_assert!(caller.gone || caller.results == 1, "{:?}", caller);
        }
        let statistics = model.engine.statistics();
        prop_assert_eq!((statistics.running, statistics.queue_length, statistics.waiting_shards), (0, 0, 0));
    }
}

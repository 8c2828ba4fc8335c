//! Random schedules of repeats, lost connections, restarts and forwards. They guard against bookings that run twice,
//! refusals that wrongly say that nothing ran, and callers that get no result or more than one.

mod fixtures;

use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    collections::{HashMap, HashSet},
    sync::OnceLock,
};

const NODE_COUNT: usize = 3;

/// The same bundle with all zones in and with one out. Signed once, because signing would take most of the test time.
static BUNDLES: OnceLock<[Arc<ApprovedBundle>; 2]> = OnceLock::new();

/// One step of a schedule. Each `which` is an index, taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Op {
    IssueTicket {
        node: usize,
    },
    SubmitBooking {
        node: usize,
        ticket: usize,
        body: u8,
        deadline_ms: u64,
    },
    ReachUpstream {
        which: usize,
        behaviour: UpstreamBehaviour,
    },
    RunLate {
        which: usize,
    },
    Forward {
        which: usize,
        lost: bool,
    },
    Advance {
        ms: u64,
    },
    ExtendFreshness {
        node: usize,
    },
    Restart {
        node: usize,
    },
    Drain {
        node: usize,
    },
    Configure {
        node: usize,
        zone_out: bool,
    },
    CallerGone {
        which: usize,
    },
}

/// What an upstream does with a booking that is sent to it, and what the node sees of it.
#[derive(Clone, Copy, Debug)]
enum UpstreamBehaviour {
    Booked,
    RunsThenDisconnects,
    TimesOutThenRuns,
    DisconnectsBeforeRunning,
    Shed,
    NotSent,
}

/// Ticket text and number of the booking sent with it.
type Submission = (String, u8);

#[derive(Debug)]
struct SentBooking {
    node: usize,
    start: u64,
    attempt: AttemptKey,
    upstream: UpstreamKey,
    submission: Submission,
}

#[derive(Debug)]
struct BookingCaller {
    node: usize,
    submission: Submission,
    results: u32,
    gone: bool,
}

struct Model {
    policy: PolicyMode,
    now: Timestamp,
    engines: Vec<Engine>,
    starts: Vec<u64>,
    tickets: Vec<String>,
    sent: Vec<SentBooking>,
    late_runs: Vec<Submission>,
    forwards: Vec<(String, BookingRequest)>,
    callers: SlotMap<CallerKey, BookingCaller>,
    /// Number of runs by ticket text.
    runs: HashMap<String, u32>,
    /// Number of requests per submission that were not refused as not run.
    unrefused: HashMap<Submission, i64>,
    ran: HashSet<Submission>,
    violations: Vec<String>,
}

impl Model {
    fn new(policy: PolicyMode) -> Self {
        let mut model = Self {
            policy,
            now: Timestamp::ZERO,
            engines: Vec::new(),
            starts: vec![1; NODE_COUNT],
            tickets: Vec::new(),
            sent: Vec::new(),
            late_runs: Vec::new(),
            forwards: Vec::new(),
            callers: SlotMap::with_key(),
            runs: HashMap::new(),
            unrefused: HashMap::new(),
            ran: HashSet::new(),
            violations: Vec::new(),
        };
        for node in 0..NODE_COUNT {
            let engine = fixtures::engine(node, 1, policy);
            model.engines.push(engine);
            model.configure_engine(node);
        }
        model
    }

    fn configure_engine(&mut self, node: usize) {
        let warm_up_owner_of = (0..3).map(|n| format!("u{n}")).collect();
        self.deliver(
            node,
            Event::FleetChanged(FleetView {
                published_nodes: 1,
                warm_up_owner_of,
            }),
        );
        self.configure(node, false);
        self.deliver(node, Event::FreshUntil(self.now + Duration::from_secs(5)));
    }

    fn configure(&mut self, node: usize, zone_out: bool) {
        let bundles = BUNDLES.get_or_init(|| {
            let bundle = fixtures::bundle(3);
            let mut out = bundle.clone();
            out.zones[1].state = ZoneState::Out;
            [fixtures::approved(&bundle), fixtures::approved(&out)]
        });
        let bundle = Arc::clone(&bundles[usize::from(zone_out)]);
        self.deliver(node, Event::Configure(bundle));
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::IssueTicket { node } => {
                let request = TicketRequest {
                    caller: CallerKey::default(),
                    request_id: Arc::from("r"),
                    token: Arc::from(fixtures::TOKEN),
                    workspace: Arc::from(fixtures::WORKSPACE),
                };
                self.deliver(*node, Event::Ticket(request));
            }
            Op::SubmitBooking {
                node,
                ticket,
                body,
                deadline_ms,
            } => {
                if !self.tickets.is_empty() {
                    let ticket = self.tickets[ticket % self.tickets.len()].clone();
                    self.submit_booking(*node, ticket, *body, *deadline_ms);
                }
            }
            Op::ReachUpstream { which, behaviour } => {
                if !self.sent.is_empty() {
                    let sent = self.sent.swap_remove(which % self.sent.len());
                    self.reach_upstream(sent, *behaviour);
                }
            }
            Op::RunLate { which } => {
                if !self.late_runs.is_empty() {
                    let submission = self.late_runs.swap_remove(which % self.late_runs.len());
                    self.record_run(submission);
                }
            }
            Op::Forward { which, lost } => {
                if !self.forwards.is_empty() {
                    let position = which % self.forwards.len();
                    let (node, request) = self.forwards.swap_remove(position);
                    self.forward_booking(&node, request, *lost);
                }
            }
            Op::Advance { ms } => {
                self.now = self.now + Duration::from_millis(*ms);
                for node in 0..NODE_COUNT {
                    if self.engines[node]
                        .next_wakeup()
                        .is_some_and(|at| at <= self.now)
                    {
                        self.deliver(node, Event::Wakeup);
                    }
                }
            }
            Op::ExtendFreshness { node } => {
                self.deliver(*node, Event::FreshUntil(self.now + Duration::from_secs(5)));
            }
            Op::Restart { node } => self.restart(*node),
            Op::Drain { node } => self.deliver(*node, Event::Drain),
            Op::Configure { node, zone_out } => self.configure(*node, *zone_out),
            Op::CallerGone { which } => {
                let callers: Vec<_> = self.callers.keys().collect();
                if !callers.is_empty() {
                    let caller = callers[which % callers.len()];
                    self.callers[caller].gone = true;
                    self.deliver(self.callers[caller].node, Event::CallerGone(caller));
                }
            }
        }
    }

    fn submit_booking(&mut self, node: usize, ticket: String, body: u8, deadline_ms: u64) {
        let submission = (ticket.clone(), body);
        *self.unrefused.entry(submission.clone()).or_default() += 1;
        let caller = self.callers.insert(BookingCaller {
            node,
            submission,
            results: 0,
            gone: false,
        });
        let request = BookingRequest {
            caller,
            request_id: Arc::from("r"),
            token: Arc::from(fixtures::TOKEN),
            workspace: Arc::from(fixtures::WORKSPACE),
            service: Arc::from("book"),
            ticket: Arc::from(ticket),
            booking: Arc::from(format!("{{\"body\":{body}}}")),
            deadline: Some(Duration::from_millis(deadline_ms)),
            forwarded: false,
        };
        self.deliver(node, Event::Booking(request));
    }

    /// Runs the booking or not, as `behaviour` says, and delivers the outcome twice, or not at all if the node has
    /// restarted since it sent the booking.
    fn reach_upstream(&mut self, sent: SentBooking, behaviour: UpstreamBehaviour) {
        let reply = BookingReply {
            accepted: true,
            reference: "ref".to_owned(),
        };
        let outcome = match behaviour {
            UpstreamBehaviour::Booked => Outcome::Booked(reply),
            UpstreamBehaviour::RunsThenDisconnects
            | UpstreamBehaviour::DisconnectsBeforeRunning => Outcome::Broken,
            UpstreamBehaviour::TimesOutThenRuns => Outcome::Silent,
            UpstreamBehaviour::Shed => Outcome::Shed,
            UpstreamBehaviour::NotSent => Outcome::NotSent,
        };
        match behaviour {
            UpstreamBehaviour::Booked | UpstreamBehaviour::RunsThenDisconnects => {
                self.record_run(sent.submission);
            }
            UpstreamBehaviour::TimesOutThenRuns => self.late_runs.push(sent.submission),
            UpstreamBehaviour::DisconnectsBeforeRunning
            | UpstreamBehaviour::Shed
            | UpstreamBehaviour::NotSent => {}
        }
        if sent.start == self.starts[sent.node] {
            let (attempt, upstream) = (sent.attempt, sent.upstream);
            let reply = Reply {
                attempt,
                upstream,
                outcome,
                report: None,
            };
            self.deliver(sent.node, Event::Reply(reply.clone()));
            self.deliver(sent.node, Event::Reply(reply));
        }
    }

    fn record_run(&mut self, submission: Submission) {
        let runs = self.runs.entry(submission.0.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violations
                .push(format!("{submission:?} ran {runs} times"));
        }
        self.ran.insert(submission);
    }

    /// Delivers a forwarded booking to `node`. If it is lost, the node that forwarded it answers the caller.
    fn forward_booking(&mut self, node: &str, request: BookingRequest, lost: bool) {
        let number: usize = node[1..]
            .parse()
            .expect("fixture nodes are named n and a number");
        let caller = request.caller;
        if lost {
            return self.record_result(caller, None);
        }
        self.callers[caller].node = number;
        self.deliver(
            number,
            Event::Booking(BookingRequest {
                forwarded: true,
                ..request
            }),
        );
    }

    /// Callers that wait at the restarted node see their connection close, which counts as their result.
    fn restart(&mut self, node: usize) {
        self.starts[node] += 1;
        self.engines[node] = fixtures::engine(node, self.starts[node], self.policy);
        let forwarding: HashSet<_> = self.forwards.iter().map(|(_, r)| r.caller).collect();
        let waiting: Vec<_> = self
            .callers
            .iter()
            .filter(|(key, record)| {
                record.node == node && record.results == 0 && !forwarding.contains(key)
            })
            .map(|(key, _)| key)
            .collect();
        for caller in waiting {
            self.record_result(caller, None);
        }
        self.configure_engine(node);
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut commands = Vec::new();
        self.engines[node].handle(self.now, event, &mut commands);
        for command in commands {
            self.execute(node, command);
        }
    }

    fn execute(&mut self, node: usize, command: Command) {
        match command {
            Command::AnswerTicket { ticket, .. } => self.tickets.push(ticket),
            Command::Send {
                attempt,
                upstream,
                request,
                ..
            } => {
                self.record_send(node, attempt, upstream, &request);
            }
            Command::ForwardBooking { node, request } => self.forwards.push((node, request)),
            Command::AnswerBooking { caller, .. } => self.record_result(caller, None),
            Command::Refuse {
                caller, refusal, ..
            } if self.callers.contains_key(caller) => {
                self.record_result(caller, Some(refusal.execution));
            }
            _ => {}
        }
    }

    fn record_send(
        &mut self,
        node: usize,
        attempt: AttemptKey,
        upstream: UpstreamKey,
        request: &SubRequest,
    ) {
        let SubRequest::Booking {
            booking_id,
            booking,
            ..
        } = request
        else {
            return;
        };
        let found = self
            .tickets
            .iter()
            .find(|text| booking_id_of(text) == **booking_id);
        let ticket = found
            .expect("only bookings with an issued ticket are sent")
            .clone();
        let body = booking
            .bytes()
            .find(u8::is_ascii_digit)
            .expect("the body contains its number")
            - b'0';
        let submission = (ticket, body);
        if self
            .unrefused
            .get(&submission)
            .is_none_or(|count| *count <= 0)
        {
            self.violations.push(format!(
                "{submission:?} was sent although all its requests were refused as not run"
            ));
        }
        let start = self.starts[node];
        self.sent.push(SentBooking {
            node,
            start,
            attempt,
            upstream,
            submission,
        });
    }

    fn record_result(&mut self, caller: CallerKey, refused: Option<Execution>) {
        let record = &mut self.callers[caller];
        record.results += 1;
        if record.results > 1 {
            self.violations.push(format!(
                "{:?} got {} results",
                record.submission, record.results
            ));
        }
        if refused != Some(Execution::NotRun) {
            return;
        }
        let submission = record.submission.clone();
        *self.unrefused.entry(submission.clone()).or_default() -= 1;
        let pending = self
            .late_runs
            .iter()
            .chain(self.sent.iter().map(|sent| &sent.submission));
        if self.ran.contains(&submission) || pending.into_iter().any(|other| *other == submission) {
            self.violations.push(format!(
                "{submission:?} was refused as not run, but ran or may still run"
            ));
        }
    }

    /// Completes all pending sends, forwards and late runs, then checks that each connected caller got a result.
    fn finish_pending(&mut self) {
        let first = 0;
        while !(self.sent.is_empty() && self.forwards.is_empty() && self.late_runs.is_empty()) {
            self.apply(&Op::Forward {
                which: first,
                lost: false,
            });
            self.apply(&Op::ReachUpstream {
                which: first,
                behaviour: UpstreamBehaviour::Booked,
            });
            self.apply(&Op::RunLate { which: first });
        }
        self.apply(&Op::Advance { ms: 120_000 });
        for record in self.callers.values() {
            if record.results == 0 && !record.gone {
                self.violations
                    .push(format!("{:?} got no result", record.submission));
            }
        }
    }
}

/// Id of the booking that a ticket allows: the node, start and number from its text.
fn booking_id_of(ticket: &str) -> String {
    let fields: Vec<_> = ticket.split('.').collect();
    fields[..3].join("-")
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODE_COUNT;
    let any_one = any::<usize>;
    let behaviour = prop_oneof![
        Just(UpstreamBehaviour::Booked),
        Just(UpstreamBehaviour::RunsThenDisconnects),
        Just(UpstreamBehaviour::TimesOutThenRuns),
        Just(UpstreamBehaviour::DisconnectsBeforeRunning),
        Just(UpstreamBehaviour::Shed),
        Just(UpstreamBehaviour::NotSent),
    ];
    prop_oneof![
        3 => node.clone().prop_map(|node| Op::IssueTicket { node }),
        10 => (node.clone(), any_one(), 0_u8..2, 1_u64..3_000).prop_map(
            |(node, ticket, body, deadline_ms)| Op::SubmitBooking { node, ticket, body, deadline_ms }
        ),
        8 => (any_one(), behaviour).prop_map(|(which, behaviour)| Op::ReachUpstream { which, behaviour }),
        2 => any_one().prop_map(|which| Op::RunLate { which }),
        6 => (any_one(), prop::bool::weighted(0.2)).prop_map(|(which, lost)| Op::Forward { which, lost }),
        3 => prop_oneof![0_u64..500, 500_u64..800_000].prop_map(|ms| Op::Advance { ms }),
        3 => node.clone().prop_map(|node| Op::ExtendFreshness { node }),
        1 => node.clone().prop_map(|node| Op::Restart { node }),
        1 => node.clone().prop_map(|node| Op::Drain { node }),
        1 => (node, any::<bool>()).prop_map(|(node, zone_out)| Op::Configure { node, zone_out }),
        1 => any_one().prop_map(|which| Op::CallerGone { which }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bookings_run_at_most_once_and_refusals_are_true(
        baseline in any::<bool>(),
        ops in prop::collection::vec(op(), 1..150),
    ) {
        let policy = if baseline { PolicyMode::Baseline } else { PolicyMode::Adaptive };
        let mut model = Model::new(policy);

        for op in &ops {
            model.apply(op);
        }
        model.finish_pending();

        prop_assert_eq!(&model.violations, &Vec::<String>::new());
    }
}

//! Guards against bookings that run twice, refusals that promise falsely that nothing ran, and callers that get no
//! result or several.

mod fixtures;

use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use std::{
    collections::{HashMap, HashSet},
    sync::OnceLock,
};

const NODES: usize = 3;

/// Signed once; the signatures would take most of the time of a run.
static BUNDLES: OnceLock<[Arc<ApprovedBundle>; 2]> = OnceLock::new();

/// What the outside does next.
#[derive(Clone, Debug)]
enum Op {
    Issue {
        node: usize,
    },
    Book {
        node: usize,
        ticket: usize,
        body: u8,
        deadline_ms: u64,
    },
    Arrive {
        which: usize,
        fate: Fate,
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
    Confirm {
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

/// What becomes of a booking that reaches an upstream.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Booked,
    RunsAndBreaks,
    SilentAndRunsLater,
    BreaksBefore,
    Shed,
    NotSent,
}

/// A ticket and the booking sent with it.
type Subject = (String, u8);

#[derive(Debug)]
struct Sent {
    node: usize,
    start: u64,
    attempt: AttemptKey,
    upstream: UpstreamKey,
    subject: Subject,
}

#[derive(Debug)]
struct Asked {
    node: usize,
    subject: Subject,
    results: u32,
    gone: bool,
}

struct Model {
    policy: PolicyMode,
    now: Timestamp,
    engines: Vec<Engine>,
    starts: Vec<u64>,
    tickets: Vec<String>,
    sent: Vec<Sent>,
    late: Vec<Subject>,
    forwards: Vec<(String, BookRequest)>,
    asked: SlotMap<CallerKey, Asked>,
    /// Runs by booking id.
    runs: HashMap<String, u32>,
    /// Requests by subject that were not refused as not run.
    standing: HashMap<Subject, i64>,
    ran: HashSet<Subject>,
    faults: Vec<String>,
}

impl Model {
    fn new(policy: PolicyMode) -> Self {
        let mut model = Self {
            policy,
            now: Timestamp::ZERO,
            engines: Vec::new(),
            starts: vec![1; NODES],
            tickets: Vec::new(),
            sent: Vec::new(),
            late: Vec::new(),
            forwards: Vec::new(),
            asked: SlotMap::with_key(),
            runs: HashMap::new(),
            standing: HashMap::new(),
            ran: HashSet::new(),
            faults: Vec::new(),
        };
        for node in 0..NODES {
            let engine = fixtures::engine(node, 1, policy);
            model.engines.push(engine);
            model.begin(node);
        }
        model
    }

    fn begin(&mut self, node: usize) {
        let warm_up_owner_of = (0..3).map(|n| format!("u{n}")).collect();
        self.tell(
            node,
            Event::FleetChanged(FleetView {
                published: 1,
                warm_up_owner_of,
            }),
        );
        self.configure(node, false);
        self.tell(node, Event::Freshness(self.now + Duration::from_secs(5)));
    }

    fn configure(&mut self, node: usize, zone_out: bool) {
        let bundles = BUNDLES.get_or_init(|| {
            let bundle = fixtures::bundle(3);
            let mut out = bundle.clone();
            out.zones[1].state = ZoneState::Out;
            [fixtures::approved(&bundle), fixtures::approved(&out)]
        });
        let bundle = Arc::clone(&bundles[usize::from(zone_out)]);
        self.tell(node, Event::Configure(bundle));
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Issue { node } => {
                let request = TicketRequest {
                    caller: CallerKey::default(),
                    request_id: Arc::from("r"),
                    token: Arc::from(fixtures::TOKEN),
                    tenant: Arc::from(fixtures::TENANT),
                };
                self.tell(*node, Event::Ticket(request));
            }
            Op::Book {
                node,
                ticket,
                body,
                deadline_ms,
            } => {
                if !self.tickets.is_empty() {
                    let ticket = self.tickets[ticket % self.tickets.len()].clone();
                    self.book(*node, ticket, *body, *deadline_ms);
                }
            }
            Op::Arrive { which, fate } => {
                if !self.sent.is_empty() {
                    let sent = self.sent.swap_remove(which % self.sent.len());
                    self.arrive(sent, *fate);
                }
            }
            Op::RunLate { which } => {
                if !self.late.is_empty() {
                    let subject = self.late.swap_remove(which % self.late.len());
                    self.run(subject);
                }
            }
            Op::Forward { which, lost } => {
                if !self.forwards.is_empty() {
                    let position = which % self.forwards.len();
                    let (node, request) = self.forwards.swap_remove(position);
                    self.forward(&node, request, *lost);
                }
            }
            Op::Advance { ms } => {
                self.now = self.now + Duration::from_millis(*ms);
                for node in 0..NODES {
                    if self.engines[node]
                        .next_wakeup()
                        .is_some_and(|at| at <= self.now)
                    {
                        self.tell(node, Event::Wakeup);
                    }
                }
            }
            Op::Confirm { node } => {
                self.tell(*node, Event::Freshness(self.now + Duration::from_secs(5)));
            }
            Op::Restart { node } => self.restart(*node),
            Op::Drain { node } => self.tell(*node, Event::Drain),
            Op::Configure { node, zone_out } => self.configure(*node, *zone_out),
            Op::CallerGone { which } => {
                let callers: Vec<_> = self.asked.keys().collect();
                if !callers.is_empty() {
                    let caller = callers[which % callers.len()];
                    self.asked[caller].gone = true;
                    self.tell(self.asked[caller].node, Event::CallerGone(caller));
                }
            }
        }
    }

    fn book(&mut self, node: usize, ticket: String, body: u8, deadline_ms: u64) {
        let subject = (ticket.clone(), body);
        *self.standing.entry(subject.clone()).or_default() += 1;
        let caller = self.asked.insert(Asked {
            node,
            subject,
            results: 0,
            gone: false,
        });
        let request = BookRequest {
            caller,
            request_id: Arc::from("r"),
            token: Arc::from(fixtures::TOKEN),
            tenant: Arc::from(fixtures::TENANT),
            service: Arc::from("book"),
            ticket: Arc::from(ticket),
            booking: Arc::from(format!("{{\"body\":{body}}}")),
            deadline: Some(Duration::from_millis(deadline_ms)),
            forwarded: false,
        };
        self.tell(node, Event::Book(request));
    }

    /// The reply reaches the node unless the start that sent has ended.
    fn arrive(&mut self, sent: Sent, fate: Fate) {
        let reply = BookingReply {
            accepted: true,
            reference: "ref".to_owned(),
        };
        let outcome = match fate {
            Fate::Booked => Outcome::Booked(reply),
            Fate::RunsAndBreaks | Fate::BreaksBefore => Outcome::Broken,
            Fate::SilentAndRunsLater => Outcome::Silent,
            Fate::Shed => Outcome::Shed,
            Fate::NotSent => Outcome::NotSent,
        };
        match fate {
            Fate::Booked | Fate::RunsAndBreaks => self.run(sent.subject),
            Fate::SilentAndRunsLater => self.late.push(sent.subject),
            Fate::BreaksBefore | Fate::Shed | Fate::NotSent => {}
        }
        if sent.start == self.starts[sent.node] {
            let (attempt, upstream) = (sent.attempt, sent.upstream);
            let reply = Reply {
                attempt,
                upstream,
                outcome,
                report: None,
            };
            self.tell(sent.node, Event::Reply(reply.clone()));
            self.tell(sent.node, Event::Reply(reply));
        }
    }

    fn run(&mut self, subject: Subject) {
        let runs = self.runs.entry(subject.0.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.faults.push(format!("{subject:?} ran {runs} times"));
        }
        self.ran.insert(subject);
    }

    /// A forwarded booking that is lost is answered by the node that forwarded it.
    fn forward(&mut self, node: &str, request: BookRequest, lost: bool) {
        let number: usize = node[1..].parse().expect("the fixture numbers them");
        let caller = request.caller;
        if lost {
            return self.result(caller, None);
        }
        self.asked[caller].node = number;
        self.tell(
            number,
            Event::Book(BookRequest {
                forwarded: true,
                ..request
            }),
        );
    }

    /// Callers of the ended start see their connection close, which is their one result.
    fn restart(&mut self, node: usize) {
        self.starts[node] += 1;
        self.engines[node] = fixtures::engine(node, self.starts[node], self.policy);
        let forwarding: HashSet<_> = self.forwards.iter().map(|(_, r)| r.caller).collect();
        let waiting: Vec<_> = self
            .asked
            .iter()
            .filter(|(key, asked)| {
                asked.node == node && asked.results == 0 && !forwarding.contains(key)
            })
            .map(|(key, _)| key)
            .collect();
        for caller in waiting {
            self.result(caller, None);
        }
        self.begin(node);
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut commands = Vec::new();
        self.engines[node].handle(self.now, event, &mut commands);
        for command in commands {
            self.carry_out(node, command);
        }
    }

    fn carry_out(&mut self, node: usize, command: Command) {
        match command {
            Command::Ticketed { ticket, .. } => self.tickets.push(ticket),
            Command::Send {
                attempt,
                upstream,
                request,
                ..
            } => {
                self.send(node, attempt, upstream, &request);
            }
            Command::ForwardBooking { node, request } => self.forwards.push((node, request)),
            Command::Booked { caller, .. } => self.result(caller, None),
            Command::Refuse {
                caller, refusal, ..
            } if self.asked.contains_key(caller) => {
                self.result(caller, Some(refusal.execution));
            }
            _ => {}
        }
    }

    fn send(
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
        let found = self.tickets.iter().find(|text| id_of(text) == **booking_id);
        let ticket = found.expect("only issued tickets run").clone();
        let body = booking
            .bytes()
            .find(u8::is_ascii_digit)
            .expect("it has a number")
            - b'0';
        let subject = (ticket, body);
        if self.standing.get(&subject).is_none_or(|count| *count <= 0) {
            self.faults
                .push(format!("{subject:?} sent for refused requests only"));
        }
        let start = self.starts[node];
        self.sent.push(Sent {
            node,
            start,
            attempt,
            upstream,
            subject,
        });
    }

    fn result(&mut self, caller: CallerKey, refused: Option<Execution>) {
        let asked = &mut self.asked[caller];
        asked.results += 1;
        if asked.results > 1 {
            self.faults
                .push(format!("{:?} got {} results", asked.subject, asked.results));
        }
        if refused != Some(Execution::NotRun) {
            return;
        }
        let subject = asked.subject.clone();
        *self.standing.entry(subject.clone()).or_default() -= 1;
        let pending = self
            .late
            .iter()
            .chain(self.sent.iter().map(|sent| &sent.subject));
        if self.ran.contains(&subject) || pending.into_iter().any(|other| *other == subject) {
            self.faults
                .push(format!("{subject:?} was refused as not run"));
        }
    }

    /// Ends everything that is under way and counts callers without a result.
    fn settle(&mut self) {
        let first = 0;
        while !(self.sent.is_empty() && self.forwards.is_empty() && self.late.is_empty()) {
            self.apply(&Op::Forward {
                which: first,
                lost: false,
            });
            self.apply(&Op::Arrive {
                which: first,
                fate: Fate::Booked,
            });
            self.apply(&Op::RunLate { which: first });
        }
        self.apply(&Op::Advance { ms: 120_000 });
        for asked in self.asked.values() {
            if asked.results == 0 && !asked.gone {
                self.faults
                    .push(format!("{:?} got no result", asked.subject));
            }
        }
    }
}

/// Id of the booking that a ticket allows: node, start and number of its text.
fn id_of(ticket: &str) -> String {
    let fields: Vec<_> = ticket.split('.').collect();
    fields[..3].join("-")
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let any_one = any::<usize>;
    let fate = prop_oneof![
        Just(Fate::Booked),
        Just(Fate::RunsAndBreaks),
        Just(Fate::SilentAndRunsLater),
        Just(Fate::BreaksBefore),
        Just(Fate::Shed),
        Just(Fate::NotSent),
    ];
    prop_oneof![
        3 => node.clone().prop_map(|node| Op::Issue { node }),
        10 => (node.clone(), any_one(), 0_u8..2, 1_u64..3_000).prop_map(
            |(node, ticket, body, deadline_ms)| Op::Book { node, ticket, body, deadline_ms }
        ),
        8 => (any_one(), fate).prop_map(|(which, fate)| Op::Arrive { which, fate }),
        2 => any_one().prop_map(|which| Op::RunLate { which }),
        6 => (any_one(), prop::bool::weighted(0.2)).prop_map(|(which, lost)| Op::Forward { which, lost }),
        3 => prop_oneof![0_u64..500, 500_u64..800_000].prop_map(|ms| Op::Advance { ms }),
        3 => node.clone().prop_map(|node| Op::Confirm { node }),
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
        model.settle();

        prop_assert_eq!(&model.faults, &Vec::<String>::new());
    }
}

//! A fleet of engines in simulated time, with upstreams that start cold and links that delay and lose news.

mod process;

use super::fixtures;
use medlarpost_core::{prelude::*, rendezvous};
use process::{Job, Process};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Time between a node's confirmations by the platform, in microseconds.
const CONFIRM_EVERY: u64 = 500_000;
/// Time for which a confirmation lasts.
const FRESHNESS: Duration = Duration::from_secs(2);
/// Deadline of the queries.
const DEADLINE: Duration = Duration::from_millis(200);
/// Time that a process needs before it carries its full load; the default of the bundle.
pub const WARM_UP: u64 = 2_000_000;
/// Requests that one upstream of the fixture bears just after its start.
const COLD_SLOTS: u64 = 1;
/// Good replies for one more request; the default of the bundle.
const STEP_REPLIES: u64 = 8;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Queries { node: usize, count: usize },
    Restart { upstream: usize },
    Cut { a: usize, b: usize },
    Heal,
    LosePlatform { node: usize },
    Publish { mask: u8 },
    ZoneAOut { out: bool },
}

/// What the fleet did.
#[derive(Debug, Default)]
pub struct Findings {
    /// Running requests over what an upstream bore, beyond those sent before the sender could know of a start.
    pub overloads: Vec<String>,
    /// Sends to an upstream whose zone was out in the bundle that the sender had in force.
    pub sent_to_closed: Vec<String>,
    /// Queries asked, and answered by the shard.
    pub asked: usize,
    pub answered: usize,
}

#[derive(Clone, Debug)]
enum Happening {
    Fault(Fault),
    Confirm {
        node: usize,
    },
    Deliver {
        node: usize,
        news: News,
    },
    Arrive(Job),
    Finish {
        job: Job,
        generation: u64,
    },
    Reply {
        job: Job,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
}

struct Member {
    engine: Engine,
    /// Keys of the upstreams by number.
    keys: Vec<UpstreamKey>,
    reachable: bool,
    list: u8,
    zone_a_out: bool,
    /// Starts of the upstreams that the node has evidence of.
    seen: Vec<u64>,
}

/// The bundle with all zones in, and with zone `a` out.
pub type Bundles = [Arc<ApprovedBundle>; 2];

/// Bundles for this number of upstreams.
pub fn bundles(upstreams: usize) -> Bundles {
    let bundle = fixtures::bundle(upstreams);
    let mut out = bundle.clone();
    out.zones[0].state = ZoneState::Out;
    [fixtures::approved(&bundle), fixtures::approved(&out)]
}

/// The fleet.
pub struct FleetModel {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: std::collections::HashMap<u64, Happening>,
    members: Vec<Member>,
    processes: Vec<Process>,
    cuts: Vec<(usize, usize)>,
    published: u8,
    zone_a_out: bool,
    bundles: Bundles,
    rng: fastrand::Rng,
    pub findings: Findings,
}

impl FleetModel {
    /// A fleet of `nodes` nodes and `upstreams` upstreams, all processes just started.
    pub fn new(nodes: usize, policy: PolicyMode, seed: u64, bundles: Bundles) -> Self {
        let upstreams = bundles[0].upstreams.len();
        let members = (0..nodes).map(|node| Member {
            engine: fixtures::engine(node, 1, policy),
            keys: Vec::new(),
            reachable: true,
            list: 0,
            zone_a_out: true,
            seen: vec![0; upstreams],
        });
        let processes = (0..upstreams).map(|_| Process {
            started: 0,
            generation: 0,
            good: 0,
            running: Vec::new(),
        });
        let mut model = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            happenings: std::collections::HashMap::new(),
            members: members.collect(),
            processes: processes.collect(),
            cuts: Vec::new(),
            published: (1 << nodes) - 1,
            zone_a_out: false,
            bundles,
            rng: fastrand::Rng::with_seed(seed),
            findings: Findings::default(),
        };
        for node in 0..nodes {
            model.at(node as u64, Happening::Confirm { node });
        }
        model
    }

    /// Lets a fault happen at a time in microseconds.
    pub fn fault_at(&mut self, time: u64, fault: Fault) {
        self.at(time, Happening::Fault(fault));
    }

    /// Runs until a time in microseconds.
    pub fn run_until(&mut self, end: u64) {
        loop {
            let due = self.queue.peek().map(|Reverse(entry)| *entry);
            let wakeup = self
                .members
                .iter()
                .enumerate()
                .filter_map(|(node, member)| {
                    Some((member.engine.next_wakeup()?.as_micros().max(self.now), node))
                });
            let wakeup = wakeup.min();
            let next = [due.map(|(at, _)| at), wakeup.map(|(at, _)| at)];
            let Some(at) = next.into_iter().flatten().min().filter(|at| *at < end) else {
                self.now = end;
                return;
            };
            self.now = at;
            match (due, wakeup) {
                (Some((due_at, order)), _) if due_at == at => {
                    self.queue.pop();
                    let happening = self.happenings.remove(&order).expect("it was queued");
                    self.happen(happening);
                }
                (_, Some((_, node))) => self.tell(node, Event::Wakeup),
                _ => return,
            }
        }
    }

    fn at(&mut self, time: u64, happening: Happening) {
        self.order += 1;
        self.happenings.insert(self.order, happening);
        self.queue.push(Reverse((time.max(self.now), self.order)));
    }

    fn after(&mut self, delay: std::ops::Range<u64>, happening: Happening) {
        let delay = self.rng.u64(delay);
        self.at(self.now + delay, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Fault(fault) => self.fault(fault),
            Happening::Confirm { node } => self.confirm(node),
            Happening::Deliver { node, news } => {
                self.learn_of_start(node, &news);
                self.tell(node, Event::News(news));
            }
            Happening::Arrive(job) => self.arrive(job),
            Happening::Finish { job, generation } => self.finish(job, generation),
            Happening::Reply {
                job,
                outcome,
                report,
            } => {
                let process = &self.processes[job.upstream];
                let present = report.is_none_or(|report| report.started_at_ms == process.epoch());
                if present {
                    self.members[job.node].seen[job.upstream] = process.generation;
                }
                let upstream = job.key;
                let attempt = job.attempt;
                self.tell(
                    job.node,
                    Event::Reply(Reply {
                        attempt,
                        upstream,
                        outcome,
                        report,
                    }),
                );
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Queries { node, count } => (0..count).for_each(|_| self.query(node)),
            Fault::Restart { upstream } => self.restart(upstream),
            Fault::Cut { a, b } => self.cuts.push((a.min(b), a.max(b))),
            Fault::Heal => self.heal(),
            Fault::LosePlatform { node } => self.members[node].reachable = false,
            Fault::Publish { mask } => self.published = mask,
            Fault::ZoneAOut { out } => self.zone_a_out = out,
        }
    }

    fn query(&mut self, node: usize) {
        self.findings.asked += 1;
        self.tell(
            node,
            Event::Search(SearchRequest {
                caller: CallerKey::default(),
                request_id: Arc::from("r"),
                token: Arc::from(fixtures::TOKEN),
                tenant: Arc::from(fixtures::TENANT),
                service: Arc::from("find"),
                query: Arc::from("q"),
                limit: 1,
                deadline: Some(DEADLINE),
            }),
        );
    }

    /// The process is replaced at once; what it ran is lost.
    fn restart(&mut self, upstream: usize) {
        let process = &mut self.processes[upstream];
        process.started = self.now;
        process.generation += 1;
        process.good = 0;
        for job in std::mem::take(&mut process.running) {
            let outcome = Outcome::Broken;
            self.after(
                100..2_000,
                Happening::Reply {
                    job,
                    outcome,
                    report: None,
                },
            );
        }
    }

    /// All links and the platform work again, and links that were cut exchange the states of upstreams.
    fn heal(&mut self) {
        for (a, b) in std::mem::take(&mut self.cuts) {
            for (from, to) in [(a, b), (b, a)] {
                for news in self.members[from].engine.upstream_states() {
                    self.after(1_000..20_000, Happening::Deliver { node: to, news });
                }
            }
        }
        for member in &mut self.members {
            member.reachable = true;
        }
    }

    fn confirm(&mut self, node: usize) {
        let again = self.now + CONFIRM_EVERY;
        self.at(again, Happening::Confirm { node });
        if !self.members[node].reachable {
            return;
        }
        let (list, out) = (self.published, self.zone_a_out);
        if std::mem::replace(&mut self.members[node].list, list) != list {
            self.tell(node, Event::FleetChanged(self.view(node)));
        }
        let member = &mut self.members[node];
        if std::mem::replace(&mut member.zone_a_out, out) != out || member.keys.is_empty() {
            let bundle = Arc::clone(&self.bundles[usize::from(out)]);
            self.tell(node, Event::Configure(bundle));
        }
        let until = Timestamp::from_micros(self.now) + FRESHNESS;
        self.tell(node, Event::Freshness(until));
    }

    fn view(&self, node: usize) -> FleetView {
        let names: Vec<_> = (0..self.members.len())
            .filter(|n| self.published >> n & 1 == 1)
            .map(|n| format!("n{n}"))
            .collect();
        let candidates: Vec<_> = names
            .iter()
            .map(|node| rendezvous::Candidate { node, zone: "a" })
            .collect();
        let own = format!("n{node}");
        let warm_up_owner_of = (0..self.processes.len())
            .map(|n| format!("u{n}"))
            .filter(|name| rendezvous::warm_up_owner(name, &candidates) == Some(own.as_str()));
        FleetView {
            published: names.len() as u32,
            warm_up_owner_of: warm_up_owner_of.collect(),
        }
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut commands = Vec::new();
        let now = Timestamp::from_micros(self.now);
        self.members[node].engine.handle(now, event, &mut commands);
        for command in commands {
            self.carry_out(node, command);
        }
    }

    fn carry_out(&mut self, node: usize, command: Command) {
        match command {
            Command::OpenUpstream { upstream, .. } => self.members[node].keys.push(upstream),
            Command::Send {
                attempt,
                upstream: key,
                ..
            } => self.send(node, key, attempt),
            Command::Cancel { attempt, upstream } => self.cancel(node, upstream, attempt),
            Command::Share(news) => self.share(node, &news),
            Command::Answer { answer, .. } => {
                self.findings.answered += answer.coverage.answered as usize;
            }
            _ => {}
        }
    }

    fn send(&mut self, node: usize, key: UpstreamKey, attempt: AttemptKey) {
        let member = &self.members[node];
        let upstream = member.keys.iter().position(|k| *k == key);
        let upstream = upstream.expect("it was opened");
        if upstream == 0 && member.zone_a_out {
            self.findings
                .sent_to_closed
                .push(format!("{} n{node}", self.now));
        }
        let known = member.seen[upstream];
        let job = Job {
            node,
            upstream,
            key,
            attempt,
            known,
        };
        self.after(500..3_000, Happening::Arrive(job));
    }

    fn arrive(&mut self, job: Job) {
        let (now, process) = (self.now, &mut self.processes[job.upstream]);
        process.running.push(job);
        // Requests sent before the sender could know of the start, also those that were on their way, are excused.
        let excused = |job: &Job| job.known < process.generation;
        let counted = process.running.iter().filter(|job| !excused(job)).count() as u64;
        let bears = COLD_SLOTS + process.good / STEP_REPLIES;
        if now - process.started < WARM_UP && counted > bears {
            let running = process.running.iter();
            let nodes: Vec<_> = running.map(|job| (job.node, excused(job))).collect();
            let found = format!("{now} u{} bears {bears}, runs {nodes:?}", job.upstream);
            self.findings.overloads.push(found);
        }
        let generation = process.generation;
        self.after(5_000..20_000, Happening::Finish { job, generation });
    }

    fn finish(&mut self, job: Job, generation: u64) {
        let now = self.now;
        let process = &mut self.processes[job.upstream];
        if process.generation != generation {
            return;
        }
        let Some(position) = process.running.iter().position(|j| j.is_same(&job)) else {
            return;
        };
        process.running.remove(position);
        process.good += 1;
        let report = Some(process.report(now));
        let outcome = Outcome::Answered(ShardReply {
            index_version: 1,
            hits: Vec::new(),
        });
        self.after(
            500..3_000,
            Happening::Reply {
                job,
                outcome,
                report,
            },
        );
    }

    /// A cancelled request ends at once, and its reply says so.
    fn cancel(&mut self, node: usize, key: UpstreamKey, attempt: AttemptKey) {
        let now = self.now;
        for process in &mut self.processes {
            let running = &mut process.running;
            let found = running
                .iter()
                .position(|j| j.node == node && j.key == key && j.attempt == attempt);
            if let Some(position) = found {
                let job = running.remove(position);
                let report = Some(process.report(now));
                let outcome = Outcome::Cancelled;
                return self.after(
                    500..3_000,
                    Happening::Reply {
                        job,
                        outcome,
                        report,
                    },
                );
            }
        }
    }

    fn share(&mut self, from: usize, news: &News) {
        for to in (0..self.members.len()).filter(|to| *to != from) {
            if !self.cuts.contains(&(from.min(to), from.max(to))) {
                let news = news.clone();
                self.after(500..50_000, Happening::Deliver { node: to, news });
            }
        }
    }

    /// News of the present start is evidence of it.
    fn learn_of_start(&mut self, node: usize, news: &News) {
        let (News::Cold {
            upstream,
            started_at_ms,
            ..
        }
        | News::Warm {
            upstream,
            started_at_ms,
            ..
        }) = news
        else {
            return;
        };
        let number: usize = upstream[1..].parse().expect("the fixture numbers them");
        if self.processes[number].epoch() == *started_at_ms {
            self.members[node].seen[number] = self.processes[number].generation;
        }
    }
}

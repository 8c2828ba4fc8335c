//! Simulation of a fleet of engines with upstreams that start cold and links that delay and lose news.
//!
//! Times are in microseconds. Upstream 0 is in zone `a`.

mod upstream_process;

use super::fixtures;
use medlarpost_core::{prelude::*, rendezvous};
use std::{cmp::Reverse, collections::BinaryHeap};
use upstream_process::{SimRequest, UpstreamProcess};

/// Time between two confirmations of a node's freshness by the platform.
const CONFIRM_INTERVAL_US: u64 = 500_000;
/// Time for which a confirmation is valid.
const FRESHNESS: Duration = Duration::from_secs(2);
/// Deadline of each query.
const DEADLINE: Duration = Duration::from_millis(200);
/// Time after its start before a process can run its full load; the default of the bundle.
pub const WARM_UP_US: u64 = 2_000_000;
/// Concurrent requests that an upstream can run just after its start; the value of the fixture.
const COLD_SLOTS: u64 = 1;
/// Successful replies after which an upstream can run one more request; the default of the bundle.
const STEP_REPLIES: u64 = 8;

/// Load on the fleet or a change of its environment.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Queries { node: usize, count: usize },
    Restart { upstream: usize },
    CutLink { a: usize, b: usize },
    HealAll,
    LosePlatform { node: usize },
    Publish { mask: u8 },
    ZoneAOut { out: bool },
}

/// What the simulation counted and detected.
#[derive(Debug, Default)]
pub struct Findings {
    /// Upstreams that ran more requests than they could. Requests sent before the sender could know of the restart do
    /// not count.
    pub overloads: Vec<String>,
    /// Requests sent to an upstream whose zone is out in the bundle that the sender had applied.
    pub sent_to_out_zone: Vec<String>,
    /// Queries sent, and those whose shard answered.
    pub queries: usize,
    pub answered: usize,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Fault(Fault),
    Confirm {
        node: usize,
    },
    Deliver {
        node: usize,
        news: News,
    },
    Arrive(SimRequest),
    Finish {
        request: SimRequest,
        generation: u64,
    },
    Reply {
        request: SimRequest,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
}

struct SimNode {
    engine: Engine,
    /// Keys by the number of the upstream.
    keys: Vec<UpstreamKey>,
    platform_reachable: bool,
    known_list: u8,
    zone_a_out: bool,
    /// Latest generation of each upstream's process that the node can know of.
    seen_generations: Vec<u64>,
}

/// The bundle with all zones in, and the one with zone `a` out.
pub type Bundles = [Arc<ApprovedBundle>; 2];

/// Signs both bundles for this number of upstreams.
pub fn bundles(upstreams: usize) -> Bundles {
    let bundle = fixtures::bundle(upstreams);
    let mut out = bundle.clone();
    out.zones[0].state = ZoneState::Out;
    [fixtures::approved(&bundle), fixtures::approved(&out)]
}

/// A simulated fleet with its upstreams, links and platform.
pub struct FleetModel {
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: std::collections::HashMap<u64, SimEvent>,
    nodes: Vec<SimNode>,
    processes: Vec<UpstreamProcess>,
    cut_links: Vec<(usize, usize)>,
    published: u8,
    zone_a_out: bool,
    bundles: Bundles,
    rng: fastrand::Rng,
    pub findings: Findings,
}

impl FleetModel {
    /// A fleet of `nodes` nodes whose upstreams have all just started.
    pub fn new(nodes: usize, policy: PolicyMode, seed: u64, bundles: Bundles) -> Self {
        let upstreams = bundles[0].upstreams.len();
        let sim_nodes = (0..nodes).map(|node| SimNode {
            engine: fixtures::engine(node, 1, policy),
            keys: Vec::new(),
            platform_reachable: true,
            known_list: 0,
            zone_a_out: true,
            seen_generations: vec![0; upstreams],
        });
        let processes = (0..upstreams).map(|_| UpstreamProcess {
            started_us: 0,
            generation: 0,
            good_replies: 0,
            running: Vec::new(),
        });
        let mut model = Self {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            pending_events: std::collections::HashMap::new(),
            nodes: sim_nodes.collect(),
            processes: processes.collect(),
            cut_links: Vec::new(),
            published: (1 << nodes) - 1,
            zone_a_out: false,
            bundles,
            rng: fastrand::Rng::with_seed(seed),
            findings: Findings::default(),
        };
        for node in 0..nodes {
            model.schedule_at(node as u64, SimEvent::Confirm { node });
        }
        model
    }

    /// Schedules a fault at an absolute time.
    pub fn fault_at(&mut self, time: u64, fault: Fault) {
        self.schedule_at(time, SimEvent::Fault(fault));
    }

    /// Runs all events before the absolute time `end`.
    pub fn run_until(&mut self, end: u64) {
        loop {
            let due = self.queue.peek().map(|Reverse(entry)| *entry);
            let wakeup = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(node, sim_node)| {
                    Some((
                        sim_node.engine.next_wakeup()?.as_micros().max(self.now),
                        node,
                    ))
                });
            let wakeup = wakeup.min();
            let next = [due.map(|(at, _)| at), wakeup.map(|(at, _)| at)];
            let Some(at) = next.into_iter().flatten().min().filter(|at| *at < end) else {
                self.now = end;
                return;
            };
            self.now = at;
            match (due, wakeup) {
                (Some((due_at, sequence)), _) if due_at == at => {
                    self.queue.pop();
                    let event = self
                        .pending_events
                        .remove(&sequence)
                        .expect("it was queued");
                    self.handle_event(event);
                }
                (_, Some((_, node))) => self.send_event(node, Event::Wakeup),
                _ => return,
            }
        }
    }

    fn schedule_at(&mut self, time: u64, event: SimEvent) {
        self.sequence += 1;
        self.pending_events.insert(self.sequence, event);
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
    }

    fn schedule_after(&mut self, delay: std::ops::Range<u64>, event: SimEvent) {
        let delay = self.rng.u64(delay);
        self.schedule_at(self.now + delay, event);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Confirm { node } => self.confirm_freshness(node),
            SimEvent::Deliver { node, news } => {
                self.record_known_start(node, &news);
                self.send_event(node, Event::News(news));
            }
            SimEvent::Arrive(request) => self.start_request(request),
            SimEvent::Finish {
                request,
                generation,
            } => self.finish_request(request, generation),
            SimEvent::Reply {
                request,
                outcome,
                report,
            } => {
                let process = &self.processes[request.upstream];
                let current =
                    report.is_none_or(|report| report.started_at_ms == process.started_at_ms());
                if current {
                    self.nodes[request.node].seen_generations[request.upstream] =
                        process.generation;
                }
                let upstream = request.key;
                let attempt = request.attempt;
                self.send_event(
                    request.node,
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

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Queries { node, count } => (0..count).for_each(|_| self.send_query(node)),
            Fault::Restart { upstream } => self.restart_upstream(upstream),
            Fault::CutLink { a, b } => self.cut_links.push((a.min(b), a.max(b))),
            Fault::HealAll => self.heal_all(),
            Fault::LosePlatform { node } => self.nodes[node].platform_reachable = false,
            Fault::Publish { mask } => self.published = mask,
            Fault::ZoneAOut { out } => self.zone_a_out = out,
        }
    }

    fn send_query(&mut self, node: usize) {
        self.findings.queries += 1;
        self.send_event(
            node,
            Event::Search(SearchRequest {
                caller: CallerKey::default(),
                request_id: Arc::from("r"),
                token: Arc::from(fixtures::TOKEN),
                workspace: Arc::from(fixtures::WORKSPACE),
                service: Arc::from("find"),
                query: Arc::from("q"),
                limit: 1,
                deadline: Some(DEADLINE),
            }),
        );
    }

    /// Replaces the process at once. The requests that it ran are lost.
    fn restart_upstream(&mut self, upstream: usize) {
        let process = &mut self.processes[upstream];
        process.started_us = self.now;
        process.generation += 1;
        process.good_replies = 0;
        for request in std::mem::take(&mut process.running) {
            let outcome = Outcome::Broken;
            self.schedule_after(
                100..2_000,
                SimEvent::Reply {
                    request,
                    outcome,
                    report: None,
                },
            );
        }
    }

    /// Restores all links and access to the platform. The nodes of restored links exchange the states of upstreams.
    fn heal_all(&mut self) {
        for (a, b) in std::mem::take(&mut self.cut_links) {
            for (from, to) in [(a, b), (b, a)] {
                for news in self.nodes[from].engine.upstream_states() {
                    self.schedule_after(1_000..20_000, SimEvent::Deliver { node: to, news });
                }
            }
        }
        for sim_node in &mut self.nodes {
            sim_node.platform_reachable = true;
        }
    }

    fn confirm_freshness(&mut self, node: usize) {
        let again = self.now + CONFIRM_INTERVAL_US;
        self.schedule_at(again, SimEvent::Confirm { node });
        if !self.nodes[node].platform_reachable {
            return;
        }
        let (list, out) = (self.published, self.zone_a_out);
        if std::mem::replace(&mut self.nodes[node].known_list, list) != list {
            self.send_event(node, Event::FleetChanged(self.fleet_view(node)));
        }
        let sim_node = &mut self.nodes[node];
        if std::mem::replace(&mut sim_node.zone_a_out, out) != out || sim_node.keys.is_empty() {
            let bundle = Arc::clone(&self.bundles[usize::from(out)]);
            self.send_event(node, Event::Configure(bundle));
        }
        let until = Timestamp::from_micros(self.now) + FRESHNESS;
        self.send_event(node, Event::FreshUntil(until));
    }

    fn fleet_view(&self, node: usize) -> FleetView {
        let names: Vec<_> = (0..self.nodes.len())
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
            published_nodes: names.len() as u32,
            warm_up_owner_of: warm_up_owner_of.collect(),
        }
    }

    fn send_event(&mut self, node: usize, event: Event) {
        let mut commands = Vec::new();
        let now = Timestamp::from_micros(self.now);
        self.nodes[node].engine.handle(now, event, &mut commands);
        for command in commands {
            self.execute_command(node, command);
        }
    }

    fn execute_command(&mut self, node: usize, command: Command) {
        match command {
            Command::OpenUpstream { upstream, .. } => self.nodes[node].keys.push(upstream),
            Command::Send {
                attempt,
                upstream: key,
                ..
            } => self.send_request(node, key, attempt),
            Command::Cancel { attempt, upstream } => self.cancel_request(node, upstream, attempt),
            Command::Broadcast(news) => self.broadcast_news(node, &news),
            Command::AnswerQuery { answer, .. } => {
                self.findings.answered += answer.coverage.answered as usize;
            }
            _ => {}
        }
    }

    fn send_request(&mut self, node: usize, key: UpstreamKey, attempt: AttemptKey) {
        let sim_node = &self.nodes[node];
        let upstream = sim_node.keys.iter().position(|k| *k == key);
        let upstream = upstream.expect("it was opened");
        if upstream == 0 && sim_node.zone_a_out {
            self.findings
                .sent_to_out_zone
                .push(format!("{} us: n{node}", self.now));
        }
        let known_generation = sim_node.seen_generations[upstream];
        let request = SimRequest {
            node,
            upstream,
            key,
            attempt,
            known_generation,
        };
        self.schedule_after(500..3_000, SimEvent::Arrive(request));
    }

    fn start_request(&mut self, request: SimRequest) {
        let (now, process) = (self.now, &mut self.processes[request.upstream]);
        process.running.push(request);
        // Does not count requests that were sent, or in transit, before the sender could know of the restart.
        let excused = |request: &SimRequest| request.known_generation < process.generation;
        let counted = process
            .running
            .iter()
            .filter(|request| !excused(request))
            .count() as u64;
        let capacity = COLD_SLOTS + process.good_replies / STEP_REPLIES;
        if now - process.started_us < WARM_UP_US && counted > capacity {
            let running = process.running.iter();
            let nodes: Vec<_> = running
                .map(|request| (request.node, excused(request)))
                .collect();
            let found = format!(
                "{now} us: u{} can run {capacity} requests, runs {nodes:?}",
                request.upstream
            );
            self.findings.overloads.push(found);
        }
        let generation = process.generation;
        self.schedule_after(
            5_000..20_000,
            SimEvent::Finish {
                request,
                generation,
            },
        );
    }

    fn finish_request(&mut self, request: SimRequest, generation: u64) {
        let now = self.now;
        let process = &mut self.processes[request.upstream];
        if process.generation != generation {
            return;
        }
        let Some(position) = process
            .running
            .iter()
            .position(|running| running.is_same_attempt(&request))
        else {
            return;
        };
        process.running.remove(position);
        process.good_replies += 1;
        let report = Some(process.report(now));
        let outcome = Outcome::Answered(ShardReply {
            index_version: 1,
            hits: Vec::new(),
        });
        self.schedule_after(
            500..3_000,
            SimEvent::Reply {
                request,
                outcome,
                report,
            },
        );
    }

    /// Ends a running request at once, with a reply that says so.
    fn cancel_request(&mut self, node: usize, key: UpstreamKey, attempt: AttemptKey) {
        let now = self.now;
        for process in &mut self.processes {
            let running = &mut process.running;
            let found = running
                .iter()
                .position(|r| r.node == node && r.key == key && r.attempt == attempt);
            if let Some(position) = found {
                let request = running.remove(position);
                let report = Some(process.report(now));
                let outcome = Outcome::Cancelled;
                return self.schedule_after(
                    500..3_000,
                    SimEvent::Reply {
                        request,
                        outcome,
                        report,
                    },
                );
            }
        }
    }

    fn broadcast_news(&mut self, from: usize, news: &News) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if !self.cut_links.contains(&(from.min(to), from.max(to))) {
                let news = news.clone();
                self.schedule_after(500..50_000, SimEvent::Deliver { node: to, news });
            }
        }
    }

    /// Marks the current process of an upstream as known to a node that received news of it.
    fn record_known_start(&mut self, node: usize, news: &News) {
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
        if self.processes[number].started_at_ms() == *started_at_ms {
            self.nodes[node].seen_generations[number] = self.processes[number].generation;
        }
    }
}

//! Simulation of a fleet, its links and the platform in simulated time. The nodes run the real `ConfigAgreement`.

use medlarpost_core::prelude::*;
use std::net::SocketAddr;

/// Time for which a confirmation is valid.
pub const FRESHNESS: Duration = Duration::from_secs(2);
/// Longest time that a starting node waits for its peers.
pub const JOIN_WAIT: Duration = Duration::from_secs(3);
/// Simulated time of one step, which is also the delay of a message.
pub const TIME_STEP: Duration = Duration::from_millis(50);
/// Time between two heartbeats of a node and between two requests to the platform, without jitter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Key of the platform's reports; peers use their position.
const PLATFORM_REPORTER: usize = usize::MAX;

/// How the platform answers, with the version it reports.
#[derive(Clone, Copy, Debug)]
enum Platform {
    Up(u64),
    Stale(u64),
    Down,
}

/// A fleet of nodes with its platform.
#[derive(Debug)]
pub struct FleetSim {
    now: Timestamp,
    platform: Platform,
    newest_version: u64,
    nodes: Vec<SimNode>,
    /// Side of each node; nodes on different sides of a partition have no link.
    partition_sides: Vec<u8>,
    rng: fastrand::Rng,
    /// Messages that arrive in the next step.
    in_flight: Vec<Message>,
}

#[derive(Clone, Copy, Debug)]
struct Message {
    from: usize,
    to: usize,
    starts: (u64, u64),
    body: MessageBody,
}

#[derive(Clone, Copy, Debug)]
enum MessageBody {
    Heartbeat {
        version: u64,
        sent: Timestamp,
        echo: Timestamp,
    },
    Request,
    Document(u64),
}

#[derive(Debug)]
struct SimNode {
    agreement: ConfigAgreement,
    fleet: Fleet,
    start: u64,
    paused: bool,
    fresh_until: Timestamp,
    next_heartbeat: Timestamp,
    /// Latest send time in the heartbeats from each node, by position; zero without a link.
    echoes: Vec<Timestamp>,
    /// Version last reported by the platform and by each peer, and when this node asked for it.
    reports: BTreeMap<usize, (u64, Timestamp)>,
    /// Latest time at which the platform or a majority of the nodes had confirmed the active version.
    confirmed_at: Option<Timestamp>,
    highest_version: u64,
    version_has_decreased: bool,
}

impl SimNode {
    fn new(position: usize, nodes: usize, start: u64, now: Timestamp, min_version: u64) -> Self {
        let settings = ConfigAgreementSettings {
            freshness: FRESHNESS,
            join_wait: JOIN_WAIT,
            min_version,
        };
        let mut fleet = Fleet::new(&node_name(position));
        let published_nodes = (0..nodes).map(|node| FleetNode {
            name: node_name(node),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "a".to_owned(),
            leaving: false,
        });
        fleet.set_published_nodes(published_nodes.collect());
        Self {
            agreement: ConfigAgreement::new(settings, now).expect("the chart is valid"),
            fleet,
            start,
            paused: false,
            fresh_until: Timestamp::ZERO,
            next_heartbeat: now,
            echoes: vec![Timestamp::ZERO; nodes],
            reports: BTreeMap::new(),
            confirmed_at: None,
            highest_version: 0,
            version_has_decreased: false,
        }
    }

    fn handle(
        &mut self,
        now: Timestamp,
        input: ConfigAgreementInput,
    ) -> Vec<ConfigAgreementOutput> {
        let mut outputs = Vec::new();
        self.agreement.handle(now, &self.fleet, input, &mut outputs);
        for output in &outputs {
            if let ConfigAgreementOutput::FreshUntil(until) = output {
                self.fresh_until = *until;
            }
        }
        self.record_confirmation();
        self.version_has_decreased |= self.agreement.version() < self.highest_version;
        self.highest_version = self.highest_version.max(self.agreement.version());
        outputs
    }

    fn record_confirmation(&mut self) {
        let version = self.agreement.version();
        let nodes = self.echoes.len();
        let matching_report = |by: &usize| {
            self.reports
                .get(by)
                .filter(|(reported, _)| *reported == version)
        };
        let platform = matching_report(&PLATFORM_REPORTER).map(|(_, asked)| *asked);
        let mut peers: Vec<_> = (0..nodes)
            .filter_map(|by| matching_report(&by))
            .map(|(_, at)| *at)
            .collect();
        peers.sort_unstable();
        let peers_needed = (nodes / 2).max(1);
        let majority = peers
            .len()
            .checked_sub(peers_needed)
            .map(|oldest| peers[oldest]);
        self.confirmed_at = self.confirmed_at.max(platform).max(majority);
    }
}

impl FleetSim {
    /// Creates a fleet whose nodes start now and whose platform has no bundle.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let now = Timestamp::from_millis(60_000);
        Self {
            now,
            platform: Platform::Up(0),
            newest_version: 0,
            nodes: (0..nodes)
                .map(|node| SimNode::new(node, nodes, 1, now, 0))
                .collect(),
            partition_sides: vec![0; nodes],
            rng: fastrand::Rng::with_seed(seed),
            in_flight: Vec::new(),
        }
    }

    /// Publishes a version on a working platform.
    pub fn publish(&mut self, version: u64) {
        self.newest_version = version;
        self.platform = Platform::Up(version);
    }

    /// Makes the platform report an older version.
    pub fn make_stale(&mut self, version: u64) {
        self.platform = Platform::Stale(version);
    }

    /// Makes the platform unreachable.
    pub fn stop_platform(&mut self) {
        self.platform = Platform::Down;
    }

    /// Makes the platform report the newest version again.
    pub fn repair_platform(&mut self) {
        self.platform = Platform::Up(self.newest_version);
    }

    /// Highest version that was published.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Separates one node from all others.
    pub fn isolate(&mut self, node: usize) {
        self.partition(&[node]);
    }

    /// Separates these nodes from the rest of the fleet.
    pub fn partition(&mut self, isolated_nodes: &[usize]) {
        for (node, side) in self.partition_sides.iter_mut().enumerate() {
            *side = u8::from(isolated_nodes.contains(&node));
        }
    }

    /// Restores the links between all nodes.
    pub fn heal(&mut self) {
        self.partition(&[]);
    }

    /// Restarts a node, which loses its state and its links.
    pub fn restart(&mut self, node: usize) {
        let (count, start) = (self.nodes.len(), self.nodes[node].start + 1);
        self.nodes[node] = SimNode::new(node, count, start, self.now, 0);
        for other in 0..count {
            self.drop_link(other, node);
        }
    }

    /// Restarts all nodes at once, with a minimum version.
    pub fn restart_all(&mut self, min_version: u64) {
        let count = self.nodes.len();
        for node in 0..count {
            let start = self.nodes[node].start + 1;
            self.nodes[node] = SimNode::new(node, count, start, self.now, min_version);
        }
        self.in_flight.clear();
    }

    /// Suspends the process of a node; messages to it wait.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes a suspended process.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// Whether the process of a node is suspended.
    pub fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused
    }

    /// Version with which a node accepts new work now, if it does.
    pub fn served_version(&self, node: usize) -> Option<u64> {
        let serves = !self.nodes[node].paused && self.is_within_freshness(node);
        serves.then(|| self.nodes[node].agreement.version())
    }

    /// Whether the engine of a node would accept new work if it ran.
    pub fn is_within_freshness(&self, node: usize) -> bool {
        self.now < self.nodes[node].fresh_until
    }

    /// Whether every node accepts new work with this version.
    pub fn all_serve(&self, version: u64) -> bool {
        (0..self.nodes.len()).all(|node| self.served_version(node) == Some(version))
    }

    /// Active version of a node; 0 if none.
    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].agreement.version()
    }

    /// Whether the active version of a node has decreased since its last start.
    pub fn version_has_decreased(&self, node: usize) -> bool {
        self.nodes[node].version_has_decreased
    }

    /// Age of the latest confirmation of a node's active version, by the platform or a majority.
    pub fn confirmation_age(&self, node: usize) -> Option<Duration> {
        self.nodes[node].confirmed_at.map(|at| self.now.since(at))
    }

    /// Advances the simulation by at least this time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now = self.now + TIME_STEP;
        for message in std::mem::take(&mut self.in_flight) {
            self.deliver(message);
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].paused {
                self.tick_node(node);
            }
        }
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        a != b && self.partition_sides[a] == self.partition_sides[b]
    }

    fn tick_node(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            if !self.are_linked(node, other) {
                self.drop_link(node, other);
            }
        }
        if self.now >= self.nodes[node].next_heartbeat {
            let jitter = Duration::from_millis(self.rng.u64(0..200));
            self.nodes[node].next_heartbeat = self.now + HEARTBEAT_INTERVAL + jitter;
            self.ask_platform(node);
            self.send_heartbeats(node);
        }
        let outputs = self.nodes[node].handle(self.now, ConfigAgreementInput::Reevaluate);
        self.send_requests(node, &outputs);
    }

    fn ask_platform(&mut self, node: usize) {
        let (Platform::Up(version) | Platform::Stale(version)) = self.platform else {
            return;
        };
        let now = self.now;
        let node = &mut self.nodes[node];
        if version > 0 {
            node.handle(now, available_bundle(version));
        }
        node.reports.insert(PLATFORM_REPORTER, (version, now));
        node.handle(
            now,
            ConfigAgreementInput::PlatformVersion {
                version,
                asked: now,
            },
        );
    }

    fn send_heartbeats(&mut self, from: usize) {
        for to in 0..self.nodes.len() {
            let sender = &self.nodes[from];
            let (version, echo) = (sender.agreement.version(), sender.echoes[to]);
            let sent = self.now;
            self.send(
                from,
                to,
                MessageBody::Heartbeat {
                    version,
                    sent,
                    echo,
                },
            );
        }
    }

    fn send(&mut self, from: usize, to: usize, body: MessageBody) {
        if self.are_linked(from, to) {
            let starts = (self.nodes[from].start, self.nodes[to].start);
            self.in_flight.push(Message {
                from,
                to,
                starts,
                body,
            });
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message {
            from,
            to,
            starts,
            body,
        } = message;
        let same_starts = starts == (self.nodes[from].start, self.nodes[to].start);
        if !self.are_linked(from, to) || !same_starts {
            return;
        }
        if self.nodes[to].paused {
            // The message stays in the socket's buffer.
            return self.in_flight.push(message);
        }
        match body {
            MessageBody::Heartbeat {
                version,
                sent,
                echo,
            } => self.handle_heartbeat(to, from, version, sent, echo),
            MessageBody::Request => {
                let version = self.nodes[to].agreement.version();
                self.send(to, from, MessageBody::Document(version));
            }
            MessageBody::Document(version) => {
                self.nodes[to].handle(self.now, available_bundle(version));
            }
        }
    }

    fn handle_heartbeat(
        &mut self,
        node: usize,
        from: usize,
        version: u64,
        sent: Timestamp,
        echo: Timestamp,
    ) {
        let now = self.now;
        let start = self.nodes[from].start;
        let receiver = &mut self.nodes[node];
        receiver.echoes[from] = receiver.echoes[from].max(sent);
        if echo == Timestamp::ZERO {
            return;
        }
        let peer = receiver.fleet.peer_key(&node_name(from));
        let peer = peer.unwrap_or_else(|| {
            receiver
                .fleet
                .add_peer(Peer {
                    name: node_name(from),
                    start,
                })
                .0
        });
        receiver.reports.insert(from, (version, echo));
        let report = ConfigAgreementInput::PeerVersion {
            peer,
            version,
            asked: echo,
        };
        let outputs = receiver.handle(now, report);
        self.send_requests(node, &outputs);
    }

    fn send_requests(&mut self, node: usize, outputs: &[ConfigAgreementOutput]) {
        for output in outputs {
            if let ConfigAgreementOutput::RequestEnvelope { peer, .. } = output {
                let to = (0..self.nodes.len()).find(|other| {
                    self.nodes[node].fleet.peer_key(&node_name(*other)) == Some(*peer)
                });
                if let Some(to) = to {
                    self.send(node, to, MessageBody::Request);
                }
            }
        }
    }

    fn drop_link(&mut self, node: usize, other: usize) {
        let now = self.now;
        let node = &mut self.nodes[node];
        node.echoes[other] = Timestamp::ZERO;
        if let Some(peer) = node.fleet.peer_key(&node_name(other)) {
            node.fleet.remove_peer(peer);
            node.handle(now, ConfigAgreementInput::PeerDisconnected(peer));
        }
    }
}

fn node_name(node: usize) -> String {
    format!("node-{node}")
}

fn available_bundle(version: u64) -> ConfigAgreementInput {
    let digest = Digest::of(&version.to_be_bytes());
    ConfigAgreementInput::BundleAvailable { version, digest }
}

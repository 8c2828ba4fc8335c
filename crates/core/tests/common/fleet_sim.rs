//! Simulated nodes, links and platform in simulated time. The nodes' decisions are the real ones.

use medlarpost_core::prelude::*;
use std::net::SocketAddr;

/// Time for which a confirmation holds.
pub const F: Duration = Duration::from_secs(2);
/// Wait of a fresh start.
pub const JOIN_WAIT: Duration = Duration::from_secs(3);
/// Time between two steps; also the delay of a message.
pub const STEP: Duration = Duration::from_millis(50);
/// Time between two heartbeats and two answers of the platform.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Position of the platform among those that say versions.
const PLATFORM: usize = usize::MAX;

/// The platform, as nodes see it.
#[derive(Clone, Copy, Debug)]
enum Platform {
    Up(u64),
    Stale(u64),
    Down,
}

/// A whole fleet.
#[derive(Debug)]
pub struct Sim {
    now: Timestamp,
    platform: Platform,
    newest: u64,
    nodes: Vec<SimNode>,
    /// Nodes of different sides have no links.
    side: Vec<u8>,
    rng: fastrand::Rng,
    /// Messages that arrive in the next step, with the starts of both ends.
    mail: Vec<Mail>,
}

#[derive(Clone, Copy, Debug)]
struct Mail {
    from: usize,
    to: usize,
    starts: (u64, u64),
    body: Body,
}

#[derive(Clone, Copy, Debug)]
enum Body {
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
    next_beat: Timestamp,
    /// Newest statement of the peers' clocks, by position.
    echoes: Vec<Timestamp>,
    /// When the platform, and each peer by position, was asked last, and the version that it said.
    said: BTreeMap<usize, (u64, Timestamp)>,
    /// Newest time at which the platform or a majority had said the version then in force.
    confirmed: Option<Timestamp>,
    highest: u64,
    decreased: bool,
}

impl SimNode {
    fn start(position: usize, nodes: usize, start: u64, now: Timestamp, min_version: u64) -> Self {
        let settings = ConfigAgreementSettings {
            freshness: F,
            join_wait: JOIN_WAIT,
            min_version,
        };
        let mut fleet = Fleet::new(&name(position));
        let listed = (0..nodes).map(|node| FleetNode {
            name: name(node),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "a".to_owned(),
            leaving: false,
        });
        fleet.set_published_nodes(listed.collect());
        Self {
            agreement: ConfigAgreement::new(settings, now).expect("the chart is valid"),
            fleet,
            start,
            paused: false,
            fresh_until: Timestamp::ZERO,
            next_beat: now,
            echoes: vec![Timestamp::ZERO; nodes],
            said: BTreeMap::new(),
            confirmed: None,
            highest: 0,
            decreased: false,
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
        self.note_confirmation();
        self.decreased |= self.agreement.version() < self.highest;
        self.highest = self.highest.max(self.agreement.version());
        outputs
    }

    fn note_confirmation(&mut self) {
        let version = self.agreement.version();
        let nodes = self.echoes.len();
        let says = |by: &usize| self.said.get(by).filter(|(said, _)| *said == version);
        let platform = says(&PLATFORM).map(|(_, asked)| *asked);
        let mut peers: Vec<_> = (0..nodes)
            .filter_map(|by| says(&by))
            .map(|(_, at)| *at)
            .collect();
        peers.sort_unstable();
        let needed = (nodes / 2).max(1);
        let majority = peers.len().checked_sub(needed).map(|oldest| peers[oldest]);
        self.confirmed = self.confirmed.max(platform).max(majority);
    }
}

impl Sim {
    /// A fleet whose platform holds nothing.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let now = Timestamp::from_millis(60_000);
        Self {
            now,
            platform: Platform::Up(0),
            newest: 0,
            nodes: (0..nodes)
                .map(|node| SimNode::start(node, nodes, 1, now, 0))
                .collect(),
            side: vec![0; nodes],
            rng: fastrand::Rng::with_seed(seed),
            mail: Vec::new(),
        }
    }

    /// Publishes a version; the platform then works.
    pub fn publish(&mut self, version: u64) {
        self.newest = version;
        self.platform = Platform::Up(version);
    }

    /// Makes the platform answer with an old version.
    pub fn make_stale(&mut self, version: u64) {
        self.platform = Platform::Stale(version);
    }

    /// Makes the platform answer nothing.
    pub fn stop_platform(&mut self) {
        self.platform = Platform::Down;
    }

    /// Makes the platform answer with the newest version.
    pub fn mend_platform(&mut self) {
        self.platform = Platform::Up(self.newest);
    }

    /// Newest published version.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Cuts a node off from all others.
    pub fn isolate(&mut self, node: usize) {
        self.partition(&[node]);
    }

    /// Cuts these nodes off from the rest.
    pub fn partition(&mut self, apart: &[usize]) {
        for (node, side) in self.side.iter_mut().enumerate() {
            *side = u8::from(apart.contains(&node));
        }
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        self.partition(&[]);
    }

    /// Ends a node and starts it again.
    pub fn restart(&mut self, node: usize) {
        let (count, start) = (self.nodes.len(), self.nodes[node].start + 1);
        self.nodes[node] = SimNode::start(node, count, start, self.now, 0);
        for other in 0..count {
            self.drop_link(other, node);
        }
    }

    /// Ends all nodes and starts them again with a minimum version.
    pub fn restart_all(&mut self, min_version: u64) {
        let count = self.nodes.len();
        for node in 0..count {
            let start = self.nodes[node].start + 1;
            self.nodes[node] = SimNode::start(node, count, start, self.now, min_version);
        }
        self.mail.clear();
    }

    /// Stops a process without ending it.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Lets a paused process go on.
    pub fn wake(&mut self, node: usize) {
        self.nodes[node].paused = false;
    }

    /// Whether a node is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused
    }

    /// Version that a node would serve new work with at this moment.
    pub fn serves(&self, node: usize) -> Option<u64> {
        let serves = !self.nodes[node].paused && self.is_within_freshness(node);
        serves.then(|| self.nodes[node].agreement.version())
    }

    /// Whether the engine of a node would accept new work if it ran.
    pub fn is_within_freshness(&self, node: usize) -> bool {
        self.now < self.nodes[node].fresh_until
    }

    /// Whether all nodes serve this version.
    pub fn all_serve(&self, version: u64) -> bool {
        (0..self.nodes.len()).all(|node| self.serves(node) == Some(version))
    }

    /// Version in force at a node; 0 if none.
    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].agreement.version()
    }

    /// Whether the version in force at a node ever decreased within its start.
    pub fn decreased(&self, node: usize) -> bool {
        self.nodes[node].decreased
    }

    /// Age of the newest statement that was made to a node, if there is one.
    pub fn confirmation_age(&self, node: usize) -> Option<Duration> {
        self.nodes[node].confirmed.map(|at| self.now.since(at))
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step pass.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for mail in std::mem::take(&mut self.mail) {
            self.deliver(mail);
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].paused {
                self.beat(node);
            }
        }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && self.side[a] == self.side[b]
    }

    fn beat(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            if !self.linked(node, other) {
                self.drop_link(node, other);
            }
        }
        if self.now >= self.nodes[node].next_beat {
            let jitter = Duration::from_millis(self.rng.u64(0..200));
            self.nodes[node].next_beat = self.now + INTERVAL + jitter;
            self.ask_platform(node);
            self.send_heartbeats(node);
        }
        let outputs = self.nodes[node].handle(self.now, ConfigAgreementInput::Reevaluate);
        self.carry_out(node, &outputs);
    }

    fn ask_platform(&mut self, node: usize) {
        let (Platform::Up(version) | Platform::Stale(version)) = self.platform else {
            return;
        };
        let now = self.now;
        let node = &mut self.nodes[node];
        if version > 0 {
            node.handle(now, offer(version));
        }
        node.said.insert(PLATFORM, (version, now));
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
                Body::Heartbeat {
                    version,
                    sent,
                    echo,
                },
            );
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        if self.linked(from, to) {
            let starts = (self.nodes[from].start, self.nodes[to].start);
            self.mail.push(Mail {
                from,
                to,
                starts,
                body,
            });
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let Mail {
            from,
            to,
            starts,
            body,
        } = mail;
        let alive = starts == (self.nodes[from].start, self.nodes[to].start);
        if !self.linked(from, to) || !alive {
            return;
        }
        if self.nodes[to].paused {
            // Waits in the socket's buffer.
            return self.mail.push(mail);
        }
        match body {
            Body::Heartbeat {
                version,
                sent,
                echo,
            } => self.heard(to, from, version, sent, echo),
            Body::Request => {
                let version = self.nodes[to].agreement.version();
                self.send(to, from, Body::Document(version));
            }
            Body::Document(version) => {
                self.nodes[to].handle(self.now, offer(version));
            }
        }
    }

    fn heard(&mut self, node: usize, from: usize, version: u64, sent: Timestamp, echo: Timestamp) {
        let now = self.now;
        let start = self.nodes[from].start;
        let heard = &mut self.nodes[node];
        heard.echoes[from] = heard.echoes[from].max(sent);
        if echo == Timestamp::ZERO {
            return;
        }
        let peer = heard.fleet.peer_key(&name(from));
        let peer = peer.unwrap_or_else(|| {
            heard
                .fleet
                .add_peer(Peer {
                    name: name(from),
                    start,
                })
                .0
        });
        heard.said.insert(from, (version, echo));
        let said = ConfigAgreementInput::PeerVersion {
            peer,
            version,
            asked: echo,
        };
        let outputs = heard.handle(now, said);
        self.carry_out(node, &outputs);
    }

    fn carry_out(&mut self, node: usize, outputs: &[ConfigAgreementOutput]) {
        for output in outputs {
            if let ConfigAgreementOutput::RequestEnvelope { peer, .. } = output {
                let to = (0..self.nodes.len())
                    .find(|other| self.nodes[node].fleet.peer_key(&name(*other)) == Some(*peer));
                if let Some(to) = to {
                    self.send(node, to, Body::Request);
                }
            }
        }
    }

    fn drop_link(&mut self, node: usize, other: usize) {
        let now = self.now;
        let node = &mut self.nodes[node];
        node.echoes[other] = Timestamp::ZERO;
        if let Some(peer) = node.fleet.peer_key(&name(other)) {
            node.fleet.remove_peer(peer);
            node.handle(now, ConfigAgreementInput::PeerDisconnected(peer));
        }
    }
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn offer(version: u64) -> ConfigAgreementInput {
    let digest = Digest::of(&version.to_be_bytes());
    ConfigAgreementInput::BundleAvailable { version, digest }
}

//! Cost of control in a fleet without load: bytes between nodes, processor time, memory, and the way of a change.

use crate::ctl_error::{CtlError, ListenSnafu, NodeSnafu};
use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    key_value_drain,
    node::{Node, Running},
};
use medlarpost_wire::prelude::{
    Document, FleetKey, FrameCodec, Handshake, Heartbeat, Hello, Message, Side, WireError,
};
use std::{
    fmt::{self, Display, Formatter},
    fs,
    time::Instant,
};
use tokio_util::codec::Encoder as _;

/// Time between two looks at the nodes' versions.
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// Clock ticks a second in `/proc/self/stat`; fixed by the interface of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// What to measure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlOptions {
    pub(crate) nodes: usize,
    pub(crate) duration: Duration,
    pub(crate) changes: u32,
}

/// What was measured. Processor time and memory include the fake platform's share.
#[derive(Clone, Debug)]
pub(crate) struct ControlReport {
    options: ControlOptions,
    /// Bytes of frames that a node sends in a second, without those of TCP and IP.
    bytes_per_second: f64,
    /// Processor time of the process, as a share of one core.
    cpu_cores: f64,
    /// Resident memory of the process, in kB.
    resident_kb: u64,
    /// Times from publishing to in force on all nodes, sorted.
    change_latencies: Vec<Duration>,
    /// Frame lengths by name, in bytes.
    frames: Vec<(&'static str, u64)>,
}

/// Measures a fleet in this process.
///
/// # Errors
///
/// A port that can't be listened on.
pub(crate) fn run(options: ControlOptions) -> Result<ControlReport, CtlError> {
    actix_rt::System::new().block_on(measure(options))
}

async fn measure(options: ControlOptions) -> Result<ControlReport, CtlError> {
    let keys = OwnerKeys::from_seed(1);
    let platform = FakePlatform::start(loopback(), Workers::start(1)).context(ListenSnafu)?;
    let deployment = Deployment::tunelix();
    let publish = |version| {
        let (envelope, parts) =
            keys.approve(&deployment.bundle(version, &unused_addresses(&deployment)));
        platform.publish(&envelope, parts);
    };
    let nodes = start_nodes(options.nodes, &platform, &keys)?;
    publish(1);
    for node in &nodes {
        node.wait_until_ready().await;
    }
    let all_links = |node: &Node<Running>| node.metrics().link_count() + 1 >= options.nodes;
    while !nodes.iter().all(all_links) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let before = (link_bytes_sent(&nodes), cpu_seconds(), Instant::now());
    actix_rt::time::sleep(options.duration).await;
    let seconds = before.2.elapsed().as_secs_f64();
    let bytes_per_second =
        (link_bytes_sent(&nodes) - before.0) as f64 / seconds / options.nodes as f64;
    let cpu_cores = (cpu_seconds() - before.1) / seconds;
    let resident_kb = resident_kb();
    let mut change_latencies = Vec::new();
    for version in 2..2 + u64::from(options.changes) {
        let published = Instant::now();
        publish(version);
        while !nodes
            .iter()
            .all(|node| node.metrics().active_version() >= version)
        {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        change_latencies.push(published.elapsed());
    }
    change_latencies.sort_unstable();
    Ok(ControlReport {
        options,
        bytes_per_second,
        cpu_cores,
        resident_kb,
        change_latencies,
        frames: frame_lengths(&deployment, &keys),
    })
}

fn start_nodes(
    count: usize,
    platform: &FakePlatform,
    keys: &OwnerKeys,
) -> Result<Vec<Node<Running>>, CtlError> {
    let mut nodes = Vec::new();
    let mut vms = Vec::new();
    for number in 0..count {
        let settings = node_settings(number, platform, keys);
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        let log = key_value_drain::logger(slog::Level::Error);
        let node = Node::bind(settings, log)
            .and_then(Node::start)
            .context(NodeSnafu)?;
        vms.push(Vm {
            name,
            address: node.addresses().links,
            zone,
            state: VmState::Live,
        });
        nodes.push(node);
    }
    platform.publish_vms(&VmList { vms });
    Ok(nodes)
}

fn node_settings(number: usize, platform: &FakePlatform, keys: &OwnerKeys) -> Settings {
    Settings {
        name: format!("node-{number:03}"),
        zone: "zone".to_owned(),
        caller_address: loopback(),
        admin_address: loopback(),
        link_address: loopback(),
        fleet_key: FleetKey::new([1; 32]),
        join_wait: Duration::from_secs(3),
        admin_token: None,
        platform: platform.address(),
        owners: keys.owners(),
        min_version: 0,
        balancer_lag: Duration::ZERO,
        workers: 1,
        policy: PolicyMode::Adaptive,
        ticket_key: [0; 32],
        start: 1,
        seed: number as u64,
    }
}

fn link_bytes_sent(nodes: &[Node<Running>]) -> u64 {
    nodes
        .iter()
        .map(|node| node.metrics().link_bytes_sent())
        .sum()
}

/// Processor time that this process has used, in seconds; 0 where `/proc` doesn't exist.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in the second field may hold spaces; user and system time are the 12th and 13th after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// Resident memory of this process, in kB; 0 where `/proc` doesn't exist.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn frame_lengths(deployment: &Deployment, keys: &OwnerKeys) -> Vec<(&'static str, u64)> {
    let names = [deployment.search.names(), deployment.booking.names()].concat();
    let (envelope, parts) = keys.approve(&deployment.bundle(1, &unused_addresses(deployment)));
    let part = parts.into_values().map(Bytes::from).max_by_key(Bytes::len);
    let time = Timestamp::ZERO + Duration::from_hours(24);
    let id = NewsId {
        origin: Arc::from("node-000"),
        start: 1_700_000_000_000,
        number: 1_000,
    };
    let warm = News::Warm {
        upstream: names[0].clone(),
        started_at_ms: 1_700_000_000_000,
        round: 1,
    };
    let heartbeat = Heartbeat {
        version: 1_000,
        sent: time,
        echo: time,
        interval: Duration::from_millis(500),
        answer_wanted: false,
    };
    let documents = [
        ("envelope", Document::Envelope(envelope.to_toml().into())),
        ("largest part", Document::Part(part.unwrap_or_default())),
    ];
    let messages = [
        ("heartbeat", Message::Heartbeat(heartbeat)),
        ("news item", Message::News(vec![(id, warm)])),
    ];
    let documents = documents.map(|(name, document)| (name, Message::Document(document)));
    let lengths = messages.into_iter().chain(documents);
    lengths
        .filter_map(|(name, message)| Some((name, frame_length(&message)?)))
        .collect()
}

fn frame_length(message: &Message) -> Option<u64> {
    let mut codec = outgoing_codec().ok()?;
    codec.encode(message, &mut bytes::BytesMut::new()).ok()?;
    Some(codec.sent_bytes())
}

fn outgoing_codec() -> Result<FrameCodec, WireError> {
    let [a, b] = ["a", "b"].map(|node| Hello::new(node, 1, [0; 16]).encode());
    let key = FleetKey::new([0; 32]);
    let dialler = Handshake::new(key.clone(), Side::Dialler, a.clone(), b.clone())?;
    let listener = Handshake::new(key, Side::Listener, b, a)?;
    let (_, codec) = dialler.verify(&listener.proof())?;
    Ok(codec)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Display for ControlReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let nodes = self.options.nodes as f64;
        writeln!(f, "nodes                        {}", self.options.nodes)?;
        writeln!(
            f,
            "link_bytes_per_node_second   {:.0}",
            self.bytes_per_second
        )?;
        writeln!(
            f,
            "core_percent_per_node        {:.3}",
            self.cpu_cores * 100.0 / nodes
        )?;
        writeln!(
            f,
            "memory_kb_per_node           {:.0}",
            self.resident_kb as f64 / nodes
        )?;
        let latency_at = |share: f64| {
            let last = self.change_latencies.len().saturating_sub(1) as f64;
            self.change_latencies
                .get((last * share) as usize)
                .copied()
                .unwrap_or_default()
        };
        for (name, share) in [("p50", 0.5), ("max", 1.0)] {
            let ms = latency_at(share).as_secs_f64() * 1_000.0;
            writeln!(f, "change_in_force_{name}_ms       {ms:.1}")?;
        }
        for (name, bytes) in &self.frames {
            writeln!(f, "frame_bytes {name:<16} {bytes}")?;
        }
        Ok(())
    }
}

/// Addresses of upstreams that don't run; a fleet without load only probes them.
fn unused_addresses(deployment: &Deployment) -> HashMap<String, SocketAddr> {
    let names = [deployment.search.names(), deployment.booking.names()].concat();
    let port = |n: usize| SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
    names
        .into_iter()
        .enumerate()
        .map(|(n, name)| (name, port(n)))
        .collect()
}

//! Measures the control plane of a fleet without load: bytes between nodes, CPU time, memory, and the time that a
//! configuration change takes to reach all nodes.

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

/// Pause between two checks of the nodes' links or versions; limits the resolution of the change latencies.
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// Unit of the CPU times in `/proc/self/stat`, fixed by the Linux user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of the fleet, time without load and number of configuration changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlOptions {
    pub(crate) nodes: usize,
    pub(crate) duration: Duration,
    pub(crate) changes: u32,
}

/// Measured figures. CPU time and memory include the fake platform's share.
#[derive(Clone, Debug)]
pub(crate) struct ControlReport {
    options: ControlOptions,
    /// Frame bytes that one node sends per second, without TCP and IP headers.
    bytes_per_second: f64,
    /// CPU time of the process, as a share of one core.
    cpu_cores: f64,
    resident_kb: u64,
    /// Times from the publication of a version until it is in force on all nodes, sorted.
    change_latencies: Vec<Duration>,
    /// Encoded length of typical frames in bytes, by name.
    frames: Vec<(&'static str, u64)>,
}

/// Runs a fleet in this process and measures it.
///
/// # Errors
///
/// A node can't start, or the fake platform can't listen.
pub(crate) fn run(options: ControlOptions) -> Result<ControlReport, CtlError> {
    actix_rt::System::new().block_on(measure(options))
}

async fn measure(options: ControlOptions) -> Result<ControlReport, CtlError> {
    let keys = OwnerKeys::from_seed(1);
    let platform = FakePlatform::start(loopback(), Workers::start(1)).context(ListenSnafu)?;
    let deployment = Deployment::tunelix();
    let publish = |version| {
        let (envelope, parts) =
            keys.sign_bundle(&deployment.bundle(version, &unused_addresses(&deployment)));
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

/// CPU time that this process has used; 0 on systems without `/proc`.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in the second field may contain spaces; user and system time are the 12th and 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// Resident memory of this process; 0 on systems without `/proc`.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn frame_lengths(deployment: &Deployment, keys: &OwnerKeys) -> Vec<(&'static str, u64)> {
    let names = [
        deployment.search.upstream_names(),
        deployment.booking.upstream_names(),
    ]
    .concat();
    let (envelope, parts) = keys.sign_bundle(&deployment.bundle(1, &unused_addresses(deployment)));
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

/// Addresses for upstreams that don't run, since a fleet without load only probes them.
fn unused_addresses(deployment: &Deployment) -> HashMap<String, SocketAddr> {
    let names = [
        deployment.search.upstream_names(),
        deployment.booking.upstream_names(),
    ]
    .concat();
    let port = |n: usize| SocketAddr::from(([127, 0, 0, 1], 1 + n as u16));
    names
        .into_iter()
        .enumerate()
        .map(|(n, name)| (name, port(n)))
        .collect()
}

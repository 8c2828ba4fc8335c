//! A whole deployment in one process: nodes, fake upstreams, a fake platform and relays on the links between nodes.

use crate::{
    balancer::PoolMember,
    config_probe::{self, Publication},
    ctl_error::{CtlError, ListenSnafu},
    mesh::Mesh,
    node_thread::NodeThread,
};
use medlarpost_fakes::prelude::*;
use medlarpost_wire::prelude::FleetKey;
use std::time::Instant;

/// Mean service time of a fake upstream for a sub-request.
const MEAN_SEARCH_TIME: Duration = Duration::from_millis(40);

/// Mean service time of a fake upstream for a booking.
const MEAN_BOOKING_TIME: Duration = Duration::from_millis(10);

/// Time that a starting node waits for peers; the default of the setting.
const JOIN_WAIT: Duration = Duration::from_secs(3);

const FAKE_WORKER_THREADS: usize = 4;

/// Lowest port of a fake upstream. The ports lie below the range of ephemeral ports, so that a restarting upstream
/// finds its port free.
const FIRST_UPSTREAM_PORT: u16 = 20_000;

/// Number of ports to choose from.
const UPSTREAM_PORTS: u32 = 12_000;

/// A fake upstream with its name and zone.
#[derive(Debug)]
pub(crate) struct TestBedUpstream {
    pub(crate) name: Arc<str>,
    pub(crate) zone: &'static str,
    pub(crate) fake: FakeUpstream,
}

/// A position on the list of VMs and its present node; a replacement takes the position of the node before it.
#[derive(Debug)]
pub(crate) struct TestBedNode {
    pub(crate) settings: Settings,
    pub(crate) thread: NodeThread,
    pub(crate) platform_listener: PlatformListener,
    pub(crate) state: VmState,
}

/// A running deployment; dropping it stops its fakes and drains its nodes.
pub(crate) struct TestBed {
    pub(crate) deployment: Deployment,
    pub(crate) nodes: Vec<TestBedNode>,
    /// Search upstreams first, shard by shard, then booking upstreams.
    pub(crate) upstreams: Vec<TestBedUpstream>,
    pub(crate) bundle: Bundle,
    pub(crate) members: watch::Sender<Vec<PoolMember>>,
    pub(crate) publications: watch::Sender<Vec<Publication>>,
    /// Number of shards of each index version published so far.
    pub(crate) shards: watch::Sender<BTreeMap<u64, u32>>,
    pub(crate) platform: FakePlatform,
    pub(crate) mesh: Mesh,
    keys: OwnerKeys,
}

impl TestBed {
    /// Starts the fakes, publishes the first bundle, and starts the nodes.
    pub(crate) async fn start(
        deployment: &Deployment,
        policy: PolicyMode,
        seed: u64,
        event_recorder: &EventRecorder,
    ) -> Result<Self, CtlError> {
        let workers = Workers::start(FAKE_WORKER_THREADS);
        let upstreams = start_upstreams(deployment, seed, event_recorder, &workers)?;
        let addresses = upstreams
            .iter()
            .map(|upstream| (upstream.name.to_string(), upstream.fake.address()))
            .collect();
        let mut bed = Self {
            bundle: deployment.bundle(0, &addresses),
            deployment: deployment.clone(),
            nodes: Vec::new(),
            upstreams,
            members: watch::channel(Vec::new()).0,
            publications: watch::channel(Vec::new()).0,
            shards: watch::channel(BTreeMap::new()).0,
            mesh: Mesh::new(workers.clone()),
            platform: FakePlatform::start(loopback(), workers).context(ListenSnafu)?,
            keys: OwnerKeys::from_seed(seed),
        };
        bed.publish(|_| {});
        for number in 0..deployment.nodes {
            let platform_listener = bed
                .platform
                .open_listener(loopback())
                .context(ListenSnafu)?;
            let settings = bed.node_settings(number, &platform_listener, policy, seed);
            let thread = NodeThread::start(settings.clone()).await?;
            bed.nodes.push(TestBedNode {
                settings,
                thread,
                platform_listener,
                state: VmState::Live,
            });
        }
        bed.publish_vms()?;
        Ok(bed)
    }

    /// Applies a change to the bundle and publishes it with the next version and a probe workspace for that version.
    pub(crate) fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        change(&mut self.bundle);
        self.bundle.version += 1;
        let version = self.bundle.version;
        let name = config_probe::probe_workspace(version);
        self.bundle.workspaces.push(Workspace {
            token_sha256: vec![Digest::of(Deployment::demo_token(&name).as_bytes())],
            class: self.bundle.classes[0].name.clone(),
            firms: Vec::new(),
            name,
        });
        let layouts = self
            .bundle
            .services
            .iter()
            .flat_map(|service| &service.layouts);
        let shards = layouts.map(|layout| (layout.index_version, layout.shards.len() as u32));
        self.shards.send_modify(|known| known.extend(shards));
        let (envelope, parts) = self.keys.sign_bundle(&self.bundle);
        self.platform.publish(&envelope, parts);
        let at = Instant::now();
        self.publications
            .send_modify(|publications| publications.push(Publication { version, at }));
    }

    /// Publishes the list of nodes, to each with the addresses of its own relays, and updates the balancer's pool.
    pub(crate) fn publish_vms(&mut self) -> Result<(), CtlError> {
        let mut published = VmList::default();
        for from in 0..self.nodes.len() {
            let mut list = VmList::default();
            for (to, node) in self.nodes.iter().enumerate() {
                let target = node.thread.addresses.links;
                list.vms.push(Vm {
                    name: node.settings.name.clone(),
                    address: self.mesh.link_address((from, to), target)?,
                    zone: node.settings.zone.clone(),
                    state: node.state,
                });
            }
            self.nodes[from].platform_listener.set_vms(&list);
            published = list;
        }
        // Each platform listener serves its own list; this publication wakes the watches that wait for a change.
        self.platform.publish_vms(&published);
        let members = self.nodes.iter().map(|node| PoolMember {
            node: node.settings.name.clone(),
            addresses: node.thread.addresses,
        });
        self.members.send_replace(members.collect());
        Ok(())
    }

    /// Number of search upstreams, which come first in `upstreams`.
    pub(crate) fn search_upstream_count(&self) -> usize {
        self.deployment.search.groups * self.deployment.search.replicas
    }

    /// Queries per second that the search upstreams can run when all are warm.
    pub(crate) fn capacity(deployment: &Deployment) -> f64 {
        let pool = &deployment.search;
        f64::from(pool.slots) * pool.replicas as f64 / MEAN_SEARCH_TIME.as_secs_f64()
    }

    fn node_settings(
        &self,
        number: usize,
        platform_listener: &PlatformListener,
        policy: PolicyMode,
        seed: u64,
    ) -> Settings {
        Settings {
            name: node_name(number),
            zone: node_zone(&self.deployment, number).to_owned(),
            caller_address: loopback(),
            admin_address: loopback(),
            link_address: loopback(),
            fleet_key: FleetKey::new([1; 32]),
            join_wait: JOIN_WAIT,
            admin_token: None,
            platform: platform_listener.address(),
            owners: self.keys.owners(),
            min_version: 0,
            balancer_lag: Duration::from_millis(200),
            workers: 1,
            policy,
            ticket_key: [number as u8; 32],
            start: 1,
            seed: seed.wrapping_add(number as u64),
        }
    }
}

fn start_upstreams(
    deployment: &Deployment,
    seed: u64,
    event_recorder: &EventRecorder,
    workers: &Workers,
) -> Result<Vec<TestBedUpstream>, CtlError> {
    let node_zones: HashMap<_, _> = (0..deployment.nodes)
        .map(|number| (node_name(number), node_zone(deployment, number).to_owned()))
        .collect();
    let mut upstreams = Vec::new();
    let mut ports = (0..UPSTREAM_PORTS)
        .map(|n| FIRST_UPSTREAM_PORT + ((std::process::id() * 131 + n) % UPSTREAM_PORTS) as u16);
    for (pool, time) in [
        (&deployment.search, MEAN_SEARCH_TIME),
        (&deployment.booking, MEAN_BOOKING_TIME),
    ] {
        for (position, name) in pool.upstream_names().into_iter().enumerate() {
            let zone = deployment.zones[position % deployment.zones.len()];
            let behaviour = UpstreamBehaviour {
                node_zones: node_zones.clone(),
                zone_delay: deployment.zone_delay,
                ..UpstreamBehaviour::for_pool(pool, zone, time, seed ^ upstreams.len() as u64)
            };
            let start = |address| {
                FakeUpstream::start(
                    &name,
                    address,
                    behaviour.clone(),
                    event_recorder.clone(),
                    workers.clone(),
                )
            };
            let fake = ports
                .find_map(|port| start(SocketAddr::from(([127, 0, 0, 1], port))).ok())
                .map_or_else(|| start(loopback()), Ok)
                .context(ListenSnafu)?;
            upstreams.push(TestBedUpstream {
                name: name.into(),
                zone,
                fake,
            });
        }
    }
    Ok(upstreams)
}

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

fn node_zone(deployment: &Deployment, number: usize) -> &'static str {
    deployment.zones[number % deployment.zones.len()]
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

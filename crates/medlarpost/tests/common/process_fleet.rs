//! Three nodes in processes of their own; the platform and the upstreams are fakes in the test's process.

use super::node_process::{ADMIN_TOKEN, NodeProcess, NodeSettings, free_address};
use awc::error::SendRequestError;
use medlarpost_fakes::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Nodes of a fleet.
pub const NODES: usize = 3;

/// Most time that a condition may take. Generous, because machines that run tests are busy.
const LIMIT: Duration = Duration::from_secs(30);

/// Seed of the owners' keys.
const OWNERS: u64 = 7;

/// Three node processes with a platform and upstreams.
pub struct ProcessFleet {
    pub nodes: Vec<NodeProcess>,
    pub ledger: mpsc::UnboundedReceiver<RecordedEvent>,
    pub settings: Vec<NodeSettings>,
    platform: FakePlatform,
    deployment: Deployment,
    addresses: HashMap<String, SocketAddr>,
    zones: HashMap<String, String>,
    keys: OwnerKeys,
    upstreams: Vec<FakeUpstream>,
}

/// A node's reply to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

/// Why a caller has no reply.
#[derive(Debug)]
pub enum Lost {
    /// The connection ended before the reply began.
    NoReply(SendRequestError),
    /// The connection ended within the reply.
    Cut,
}

/// Sends requests to one node, on kept connections.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
    address: SocketAddr,
}

impl ProcessFleet {
    /// Starts everything with version 1 in force, and waits until every node answers a search with full coverage.
    pub async fn start() -> Self {
        let workers = Workers::start(2);
        let deployment = small_deployment();
        let (ledger, ledger_rx) = EventRecorder::new();
        let mut fleet = Self {
            nodes: Vec::new(),
            ledger: ledger_rx,
            settings: Vec::new(),
            platform: FakePlatform::start(loopback(), workers.clone()).expect("a port is free"),
            deployment,
            addresses: HashMap::new(),
            zones: HashMap::new(),
            keys: OwnerKeys::from_seed(OWNERS),
            upstreams: Vec::new(),
        };
        fleet.start_upstreams(&ledger, &workers);
        fleet.publish(1, None);
        fleet.settings = (0..NODES).map(|node| fleet.node_settings(node)).collect();
        fleet.publish_vms();
        fleet.nodes = fleet.settings.iter().map(NodeProcess::start).collect();
        for node in 0..NODES {
            fleet.until_covering(node).await;
        }
        fleet
    }

    /// Publishes the bundle of a version, with a zone out if one is named.
    pub fn publish(&self, version: u64, zone_out: Option<&str>) {
        let mut bundle = self.deployment.bundle(version, &self.addresses);
        for zone in &mut bundle.zones {
            if Some(zone.name.as_str()) == zone_out {
                zone.state = ZoneState::Out;
            }
        }
        let (envelope, parts) = self.keys.sign_bundle(&bundle);
        self.platform.publish(&envelope, parts);
    }

    /// Opens a listener of the platform that answers with what was published before the last change.
    pub fn start_stale_listener(&mut self) -> PlatformListener {
        let platform_listener = self
            .platform
            .open_listener(loopback())
            .expect("a port is free");
        platform_listener.set_mode(PlatformMode::Stale);
        platform_listener
    }

    /// Starts a node again, at its addresses, with another listener of the platform.
    pub fn start_again(&mut self, node: usize, platform: SocketAddr) {
        self.settings[node].platform = platform;
        self.nodes[node] = NodeProcess::start(&self.settings[node]);
    }

    /// Ends a node with SIGKILL and waits for its end.
    pub async fn kill(&mut self, node: usize) {
        self.nodes[node].signal(Signal::KILL);
        until("the killed process has ended", async || {
            self.nodes[node].ended().is_some()
        })
        .await;
    }

    /// Waits until a node answers a search with full coverage.
    pub async fn until_covering(&self, node: usize) {
        let caller = self.caller(node);
        until(&format!("node {node} has full coverage"), async || {
            let reply = caller.search("warm-up").await;
            reply.is_ok_and(|reply| reply.is_full())
        })
        .await;
    }

    /// Waits until this version is in force at a node.
    pub async fn until_version(&self, node: usize, version: u64) {
        until(&format!("node {node} has version {version}"), async || {
            self.version(node).await == Some(version)
        })
        .await;
    }

    /// Version in force at a node, if the node answers.
    pub async fn version(&self, node: usize) -> Option<u64> {
        let address = self.settings[node].admin;
        let request = awc::Client::new()
            .get(format!("http://{address}/metrics"))
            .insert_header(("authorization", format!("Bearer {ADMIN_TOKEN}")));
        let body = request.send().await.ok()?.body().await.ok()?;
        let text = String::from_utf8(body.to_vec()).expect("the metrics are text");
        let mut lines = text.lines();
        lines.find_map(|line| {
            line.strip_prefix("medlarpost_bundle_version ")?
                .parse()
                .ok()
        })
    }

    /// A caller of a node, with connections of its own.
    pub fn caller(&self, node: usize) -> Caller {
        Caller {
            client: awc::Client::builder().timeout(LIMIT).finish(),
            address: self.settings[node].callers,
        }
    }

    /// What the upstreams did since the last call.
    pub fn deeds(&mut self) -> Vec<RecordedEvent> {
        std::iter::from_fn(|| self.ledger.try_recv().ok()).collect()
    }

    /// Whether an upstream is in a zone.
    pub fn is_in(&self, upstream: &str, zone: &str) -> bool {
        self.zones[upstream] == zone
    }

    fn start_upstreams(&mut self, ledger: &EventRecorder, workers: &Workers) {
        for pool in [self.deployment.search, self.deployment.booking] {
            for (position, name) in pool.upstream_names().into_iter().enumerate() {
                let zone = self.deployment.zones[position % self.deployment.zones.len()];
                let behaviour =
                    UpstreamBehaviour::for_pool(&pool, zone, Duration::from_millis(10), 1);
                let (ledger, workers) = (ledger.clone(), workers.clone());
                let fake = FakeUpstream::start(&name, loopback(), behaviour, ledger, workers)
                    .expect("a port is free");
                self.addresses.insert(name.clone(), fake.address());
                self.zones.insert(name, zone.to_owned());
                self.upstreams.push(fake);
            }
        }
    }

    fn node_settings(&self, node: usize) -> NodeSettings {
        let hex = |owner| {
            let key = self.keys.signing_key(owner).verifying_key().to_bytes();
            Digest(key).to_string()
        };
        NodeSettings {
            name: format!("node-{node}"),
            zone: self.deployment.zones[node].to_owned(),
            callers: free_address(),
            admin: free_address(),
            links: free_address(),
            platform: self.platform.address(),
            owners: [hex(0), hex(1)],
        }
    }

    fn publish_vms(&self) {
        let vms = self.settings.iter().map(|settings| Vm {
            name: settings.name.clone(),
            address: settings.links,
            zone: settings.zone.clone(),
            state: VmState::Live,
        });
        self.platform.publish_vms(&VmList { vms: vms.collect() });
    }
}

impl Reply {
    /// Whether this is a search's answer without a missing shard.
    pub fn is_full(&self) -> bool {
        let coverage = &self.body["coverage"];
        self.status == 200 && coverage["asked"] == 3 && coverage["answered"] == 3
    }
}

impl Caller {
    /// Sends a search.
    pub async fn search(&self, query: &str) -> Result<Reply, Lost> {
        let body = json!({
            "tenant": "tunelix", "service": "slot-search", "query": query, "deadline_ms": 5_000,
        });
        self.post("/v1/search", &body).await
    }

    /// Gets a ticket.
    pub async fn ticket(&self) -> Option<String> {
        let reply = self
            .post("/v1/tickets", &json!({"tenant": "tunelix"}))
            .await;
        Some(reply.ok()?.body["ticket"].as_str()?.to_owned())
    }

    /// Sends a booking.
    pub async fn book(&self, ticket: &str, slot: u64) -> Result<Reply, Lost> {
        let body = json!({
            "tenant": "tunelix", "service": "tunnel-booking", "ticket": ticket,
            "booking": {"slot": slot}, "deadline_ms": 5_000,
        });
        self.post("/v1/bookings", &body).await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Reply, Lost> {
        let token = Deployment::demo_token("tunelix");
        let mut response = self
            .client
            .post(format!("http://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {token}")))
            .send_json(body)
            .await
            .map_err(Lost::NoReply)?;
        let status = response.status().as_u16();
        let body = response.json().await.map_err(|_cut| Lost::Cut)?;
        Ok(Reply { status, body })
    }
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Waits until a condition holds.
///
/// # Panics
///
/// It doesn't within the limit.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waited = async {
        while !holds().await {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = actix_rt::time::timeout(LIMIT, waited).await;
    waited.unwrap_or_else(|_| panic!("not within {LIMIT:?}: {what}"));
}

/// Three shards of two upstreams, so that each shard has an upstream outside any one zone.
fn small_deployment() -> Deployment {
    let mut deployment = Deployment::tunelix();
    deployment.search.groups = 3;
    deployment.search.replicas = 2;
    deployment.search.slots = 6;
    deployment.booking.replicas = 3;
    deployment
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

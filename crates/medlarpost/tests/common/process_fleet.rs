//! A fleet of three node processes, with fakes of the platform and the upstreams in the test's process.

use super::node_process::{ADMIN_TOKEN, NodeProcess, NodeSettings, free_address};
use awc::error::SendRequestError;
use medlarpost_fakes::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Number of nodes in the fleet.
pub const NODE_COUNT: usize = 3;

/// Longest wait for a condition. Generous, because machines that run tests are busy.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Seed of the owners' signing keys.
const OWNER_KEY_SEED: u64 = 7;

/// Three node processes with a fake platform and fake upstreams.
pub struct ProcessFleet {
    pub nodes: Vec<NodeProcess>,
    pub events: mpsc::UnboundedReceiver<RecordedEvent>,
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

/// Why a caller got no complete reply.
#[derive(Debug)]
pub enum RequestError {
    /// The connection failed or ended before the reply began.
    NoReply(SendRequestError),
    /// The connection ended within the reply.
    TruncatedReply,
}

/// Sends requests to one node over keep-alive connections.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
    address: SocketAddr,
}

impl ProcessFleet {
    /// Starts the fleet with version 1 published, and waits until every node answers a search with full coverage.
    pub async fn start() -> Self {
        let workers = Workers::start(2);
        let deployment = three_shard_deployment();
        let (events, events_rx) = EventRecorder::new();
        let mut fleet = Self {
            nodes: Vec::new(),
            events: events_rx,
            settings: Vec::new(),
            platform: FakePlatform::start(loopback(), workers.clone()).expect("a port is free"),
            deployment,
            addresses: HashMap::new(),
            zones: HashMap::new(),
            keys: OwnerKeys::from_seed(OWNER_KEY_SEED),
            upstreams: Vec::new(),
        };
        fleet.start_upstreams(&events, &workers);
        fleet.publish(1, None);
        fleet.settings = (0..NODE_COUNT)
            .map(|node| fleet.node_settings(node))
            .collect();
        fleet.publish_vms();
        fleet.nodes = fleet.settings.iter().map(NodeProcess::start).collect();
        for node in 0..NODE_COUNT {
            fleet.wait_for_full_coverage(node).await;
        }
        fleet
    }

    /// Publishes the bundle of a version, in which `zone_out`, if given, is taken out.
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

    /// Opens another listener of the platform, which serves the state before the last publication.
    pub fn start_stale_listener(&mut self) -> PlatformListener {
        let platform_listener = self
            .platform
            .open_listener(loopback())
            .expect("a port is free");
        platform_listener.set_mode(PlatformMode::Stale);
        platform_listener
    }

    /// Restarts a node at the same addresses, with another address of the platform.
    pub fn restart_node(&mut self, node: usize, platform: SocketAddr) {
        self.settings[node].platform = platform;
        self.nodes[node] = NodeProcess::start(&self.settings[node]);
    }

    /// Kills a node with SIGKILL and waits until its process has ended.
    pub async fn kill_node(&mut self, node: usize) {
        self.nodes[node].signal(Signal::KILL);
        wait_until("the killed process has ended", async || {
            self.nodes[node].exit_status().is_some()
        })
        .await;
    }

    /// Waits until a node answers a search with full coverage.
    pub async fn wait_for_full_coverage(&self, node: usize) {
        let caller = self.caller(node);
        wait_until(&format!("node {node} has full coverage"), async || {
            let reply = caller.search("warm-up").await;
            reply.is_ok_and(|reply| reply.has_full_coverage())
        })
        .await;
    }

    /// Waits until this version is in force at a node.
    pub async fn wait_for_version(&self, node: usize, version: u64) {
        wait_until(&format!("node {node} has version {version}"), async || {
            self.version(node).await == Some(version)
        })
        .await;
    }

    /// Version in force at a node, from its metrics; `None` if the node doesn't answer.
    pub async fn version(&self, node: usize) -> Option<u64> {
        let address = self.settings[node].admin_address;
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

    /// Creates a caller of a node, with connections of its own.
    pub fn caller(&self, node: usize) -> Caller {
        Caller {
            client: awc::Client::builder().timeout(CONDITION_TIMEOUT).finish(),
            address: self.settings[node].caller_address,
        }
    }

    /// Removes and returns the events that the upstreams have recorded so far.
    pub fn take_events(&mut self) -> Vec<RecordedEvent> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }

    pub fn is_in_zone(&self, upstream: &str, zone: &str) -> bool {
        self.zones[upstream] == zone
    }

    fn start_upstreams(&mut self, events: &EventRecorder, workers: &Workers) {
        for pool in [self.deployment.search, self.deployment.booking] {
            for (position, name) in pool.upstream_names().into_iter().enumerate() {
                let zone = self.deployment.zones[position % self.deployment.zones.len()];
                let behaviour =
                    UpstreamBehaviour::for_pool(&pool, zone, Duration::from_millis(10), 1);
                let (events, workers) = (events.clone(), workers.clone());
                let fake = FakeUpstream::start(&name, loopback(), behaviour, events, workers)
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
            caller_address: free_address(),
            admin_address: free_address(),
            link_address: free_address(),
            platform: self.platform.address(),
            owners: [hex(0), hex(1)],
        }
    }

    fn publish_vms(&self) {
        let vms = self.settings.iter().map(|settings| Vm {
            name: settings.name.clone(),
            address: settings.link_address,
            zone: settings.zone.clone(),
            state: VmState::Live,
        });
        self.platform.publish_vms(&VmList { vms: vms.collect() });
    }
}

impl Reply {
    /// Whether this is the answer to a search in which all three shards answered.
    pub fn has_full_coverage(&self) -> bool {
        let coverage = &self.body["coverage"];
        self.status == 200 && coverage["asked"] == 3 && coverage["answered"] == 3
    }
}

impl Caller {
    /// Sends a search of the demo workspace.
    pub async fn search(&self, query: &str) -> Result<Reply, RequestError> {
        let body = json!({
            "tenant": "tunelix", "service": "slot-search", "query": query, "deadline_ms": 5_000,
        });
        self.post("/v1/search", &body).await
    }

    /// Requests a booking ticket; `None` if the node doesn't issue one.
    pub async fn ticket(&self) -> Option<String> {
        let reply = self
            .post("/v1/tickets", &json!({"tenant": "tunelix"}))
            .await;
        Some(reply.ok()?.body["ticket"].as_str()?.to_owned())
    }

    /// Sends a booking of a slot with this ticket.
    pub async fn book(&self, ticket: &str, slot: u64) -> Result<Reply, RequestError> {
        let body = json!({
            "tenant": "tunelix", "service": "tunnel-booking", "ticket": ticket,
            "booking": {"slot": slot}, "deadline_ms": 5_000,
        });
        self.post("/v1/bookings", &body).await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Reply, RequestError> {
        let token = Deployment::demo_token("tunelix");
        let mut response = self
            .client
            .post(format!("http://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {token}")))
            .send_json(body)
            .await
            .map_err(RequestError::NoReply)?;
        let status = response.status().as_u16();
        let body = response
            .json()
            .await
            .map_err(|_cut| RequestError::TruncatedReply)?;
        Ok(Reply { status, body })
    }
}

/// Runs a test in an actix system of its own.
pub fn run_async_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Waits until `condition` returns true, checking it every 20 ms.
///
/// # Panics
///
/// Panics with `what` if that takes longer than [`CONDITION_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waited = async {
        while !condition().await {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = actix_rt::time::timeout(CONDITION_TIMEOUT, waited).await;
    waited.unwrap_or_else(|_| panic!("not within {CONDITION_TIMEOUT:?}: {what}"));
}

/// Three search shards of two upstreams each, so that every shard has an upstream outside any one zone.
fn three_shard_deployment() -> Deployment {
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

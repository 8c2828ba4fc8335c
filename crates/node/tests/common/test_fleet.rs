//! Several real nodes on loopback addresses with a fake platform and fake upstreams.

use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    key_value_drain,
    node::{Node, Running},
};
use medlarpost_wire::prelude::FleetKey;
use serde_json::{Value, json};

/// Most time that a condition may take. Generous, because machines that run tests are busy.
const LIMIT: Duration = Duration::from_mins(1);

/// Seed of the owners' keys.
const OWNERS: u64 = 7;

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Builds a [`TestFleet`].
#[derive(Debug)]
pub struct FleetBuilder {
    nodes: usize,
    join_wait: Duration,
    wrong_key: Option<usize>,
}

/// Running nodes; all use the platform `main` unless they were started with another.
pub struct TestFleet {
    pub main: FakePlatform,
    pub ledger: mpsc::UnboundedReceiver<LedgerEntry>,
    deployment: Deployment,
    addresses: HashMap<String, SocketAddr>,
    keys: OwnerKeys,
    workers: Workers,
    nodes: Vec<Option<Node<Running>>>,
    vms: Vec<Vm>,
    settings: Vec<Settings>,
    _upstreams: Vec<FakeUpstream>,
}

impl FleetBuilder {
    /// A fleet of three nodes that share a key.
    pub fn new() -> Self {
        Self {
            nodes: 3,
            join_wait: Duration::from_secs(3),
            wrong_key: None,
        }
    }

    /// Sets the longest wait of a fresh start.
    pub fn join_wait(mut self, join_wait: Duration) -> Self {
        self.join_wait = join_wait;
        self
    }

    /// Gives one node another key.
    pub fn wrong_key(mut self, node: usize) -> Self {
        self.wrong_key = Some(node);
        self
    }

    /// Starts everything with version 1 in force and waits until all nodes accept work.
    pub async fn start(self) -> TestFleet {
        let workers = Workers::start(2);
        let deployment = small_deployment();
        let (ledger, ledger_rx) = Ledger::new();
        let upstreams = start_upstreams(&deployment, &ledger, &workers);
        let addresses = upstreams
            .iter()
            .map(|(name, up)| (name.clone(), up.address()));
        let mut fleet = TestFleet {
            main: platform(&workers),
            ledger: ledger_rx,
            addresses: addresses.collect(),
            deployment,
            keys: OwnerKeys::from_seed(OWNERS),
            workers,
            nodes: Vec::new(),
            vms: Vec::new(),
            settings: Vec::new(),
            _upstreams: upstreams
                .into_iter()
                .map(|(_, upstream)| upstream)
                .collect(),
        };
        fleet.publish(&fleet.main, 1);
        for node in 0..self.nodes {
            let mut settings = fleet.settings(node, self.join_wait);
            if self.wrong_key == Some(node) {
                settings.fleet_key = FleetKey::new([9; 32]);
            }
            fleet.settings.push(settings.clone());
            fleet.nodes.push(None);
            fleet.launch(node, settings).await;
        }
        fleet.publish_vms(&fleet.main);
        for node in 0..self.nodes {
            fleet.until_serving(node, 1).await;
        }
        fleet
    }
}

impl TestFleet {
    /// Starts another platform that holds the bundle of a version and the list of nodes.
    pub fn platform(&self, version: u64) -> FakePlatform {
        let platform = platform(&self.workers);
        self.publish(&platform, version);
        self.publish_vms(&platform);
        platform
    }

    /// Starts a platform that answers nothing.
    pub fn platform_down(&self) -> SocketAddr {
        let platform = platform(&self.workers);
        platform.stop();
        platform.address()
    }

    /// Publishes a bundle of a version, signed by both owners.
    pub fn publish(&self, platform: &FakePlatform, version: u64) {
        let bundle = self.deployment.bundle(version, &self.addresses);
        let (envelope, parts) = self.keys.approve(&bundle);
        platform.publish(&envelope, parts);
    }

    /// Publishes a bundle of a version, signed by one owner only.
    pub fn publish_half_signed(&self, platform: &FakePlatform, version: u64) {
        let (manifest, parts) = Manifest::split(&self.deployment.bundle(version, &self.addresses));
        let envelope = Envelope::unsigned(&manifest).sign(self.keys.key(0));
        platform.publish(&envelope, parts);
    }

    /// Publishes the list of nodes.
    pub fn publish_vms(&self, platform: &FakePlatform) {
        let vms = self.vms.clone();
        platform.publish_vms(&VmList { vms });
    }

    /// Ends a node by a graceful shutdown.
    pub async fn stop(&mut self, node: usize) {
        if let Some(running) = self.nodes[node].take() {
            running.drain().await.stop().await;
        }
    }

    /// Starts a node again at its address, with another platform.
    pub async fn start_again(&mut self, node: usize, platform: SocketAddr) {
        let settings = Settings {
            platform,
            link_address: self.vms[node].address,
            start: self.settings[node].start + 1,
            ..self.settings[node].clone()
        };
        self.settings[node] = settings.clone();
        self.launch(node, settings).await;
    }

    /// Waits until a node accepts new work with this version in force.
    pub async fn until_serving(&self, node: usize, version: u64) {
        let what = format!("node {node} serves version {version}");
        until(&what, async || {
            self.metric(node, "medlarpost_bundle_version").await == version
                && self.ticket(node).await.is_some()
        })
        .await;
    }

    /// Waits until a node refuses new work.
    pub async fn until_refusing(&self, node: usize) {
        until(&format!("node {node} refuses"), async || {
            self.ticket(node).await.is_none()
        })
        .await;
    }

    /// Waits until a metric of a node has at least this value.
    pub async fn until_metric(&self, node: usize, name: &str, least: u64) {
        let what = format!("{name} of node {node} is at least {least}");
        until(&what, async || self.metric(node, name).await >= least).await;
    }

    /// Address of a node's listener for links.
    pub fn link_address(&self, node: usize) -> SocketAddr {
        self.vms[node].address
    }

    /// Value of a metric of a node, with its labels; 0 if it is absent.
    pub async fn metric(&self, node: usize, name: &str) -> u64 {
        let address = self.running(node).addresses().admin;
        let response = awc::Client::new()
            .get(format!("http://{address}/metrics"))
            .send();
        let mut response = response.await.expect("the node answers administrators");
        let text = response.body().await.expect("the metrics are complete");
        let text = String::from_utf8(text.to_vec()).expect("the metrics are text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map_or(0, |value| {
            value.parse().expect("the value is a whole number")
        })
    }

    /// A ticket from a node, unless it refuses.
    pub async fn ticket(&self, node: usize) -> Option<String> {
        let tenant = self.deployment.tenants[0];
        let (status, reply) = self
            .post(node, "/v1/tickets", &json!({"tenant": tenant}))
            .await;
        (status == 200).then(|| {
            reply["ticket"]
                .as_str()
                .expect("a ticket is text")
                .to_owned()
        })
    }

    /// Sends a booking to a node.
    pub async fn book(&self, node: usize, ticket: &str) -> (u16, Value) {
        let body = json!({
            "tenant": self.deployment.tenants[0],
            "service": self.deployment.booking.service,
            "ticket": ticket,
            "booking": {"slot": 1},
            "deadline_ms": 5_000,
        });
        self.post(node, "/v1/bookings", &body).await
    }

    /// Sends a booking until it is no longer refused as not run. Upstreams of a new fleet take no work before their
    /// stewards found them warm, and such a refusal leaves the ticket redeemable.
    pub async fn book_when_warm(&self, node: usize, ticket: &str) -> (u16, Value) {
        let mut reply = (0, Value::Null);
        until("an upstream takes the booking", async || {
            reply = self.book(node, ticket).await;
            reply.1["execution"] != "not run"
        })
        .await;
        reply
    }

    /// Sends bookings through all nodes until one has run at this node, and forgets them. Only the steward of an
    /// upstream that has not been found warm may send to it.
    pub async fn until_booking_at(&mut self, node: usize) {
        until(&format!("node {node} runs a booking"), async || {
            let mut status = 0;
            for each in 0..self.nodes.len() {
                let ticket = self.ticket(each).await.expect("the node serves");
                let (found, _) = self.book(each, &ticket).await;
                if each == node {
                    status = found;
                }
            }
            status == 200
        })
        .await;
        self.bookings_ran();
    }

    /// Ids of the bookings that upstreams ran since the last call.
    pub fn bookings_ran(&mut self) -> Vec<String> {
        let entries = std::iter::from_fn(|| self.ledger.try_recv().ok());
        entries
            .filter_map(|entry| {
                let Deed::BookingRan { booking_id, .. } = entry.deed else {
                    return None;
                };
                Some(booking_id)
            })
            .collect()
    }

    async fn post(&self, node: usize, path: &str, body: &Value) -> (u16, Value) {
        let address = self.running(node).addresses().callers;
        let token = Deployment::token(self.deployment.tenants[0]);
        let mut response = awc::Client::new()
            .post(format!("http://{address}{path}"))
            .timeout(LIMIT)
            .insert_header(("authorization", format!("Bearer {token}")))
            .send_json(body)
            .await
            .expect("the node answers callers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("replies are JSON"))
    }

    fn running(&self, node: usize) -> &Node<Running> {
        self.nodes[node].as_ref().expect("the node runs")
    }

    async fn launch(&mut self, node: usize, settings: Settings) {
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        let mut bound = None;
        until("the address is free", async || {
            let log = key_value_drain::logger(slog::Level::Critical);
            bound = Node::bind(settings.clone(), log).ok();
            bound.is_some()
        })
        .await;
        let running = bound
            .and_then(|node| node.start().ok())
            .expect("the node starts");
        let vm = Vm {
            name,
            address: running.addresses().links,
            zone,
            state: VmState::Live,
        };
        match self.vms.get_mut(node) {
            Some(listed) => *listed = vm,
            None => self.vms.push(vm),
        }
        self.nodes[node] = Some(running);
    }

    fn settings(&self, node: usize, join_wait: Duration) -> Settings {
        Settings {
            name: format!("node-{node}"),
            zone: self.deployment.zones[node % self.deployment.zones.len()].to_owned(),
            caller_address: loopback(),
            admin_address: loopback(),
            link_address: loopback(),
            fleet_key: FleetKey::new([1; 32]),
            admin_token: None,
            platform: self.main.address(),
            owners: self.keys.owners(),
            min_version: 0,
            join_wait,
            balancer_lag: Duration::ZERO,
            workers: 1,
            policy: PolicyMode::Adaptive,
            ticket_key: [node as u8; 32],
            start: 1,
            seed: node as u64,
        }
    }
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

fn small_deployment() -> Deployment {
    let mut deployment = Deployment::tunelix();
    deployment.search.groups = 1;
    deployment.search.replicas = 1;
    deployment.booking.replicas = 2;
    deployment
}

fn start_upstreams(
    deployment: &Deployment,
    ledger: &Ledger,
    workers: &Workers,
) -> Vec<(String, FakeUpstream)> {
    let names = [deployment.search, deployment.booking].map(|pool| pool.names());
    let start = |name: String| {
        let behaviour = UpstreamBehaviour {
            slots: 4,
            ..UpstreamBehaviour::of_pool(&deployment.booking, "", Duration::from_millis(5), 1)
        };
        let (ledger, workers) = (ledger.clone(), workers.clone());
        let upstream = FakeUpstream::start(&name, loopback(), behaviour, ledger, workers);
        (name, upstream.expect("a free port can be listened on"))
    };
    names.into_iter().flatten().map(start).collect()
}

fn platform(workers: &Workers) -> FakePlatform {
    FakePlatform::start(loopback(), workers.clone()).expect("a free port can be listened on")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

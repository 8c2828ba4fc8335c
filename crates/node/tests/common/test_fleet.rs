//! Fixture: several real nodes on loopback addresses with a fake platform and fake upstreams.

use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    key_value_drain,
    node::{Node, Running},
};
use medlarpost_wire::prelude::FleetKey;
use serde_json::{Value, json};

/// Time limit for a condition; generous, because machines that run tests may be busy.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

/// Seed from which the owners' keys are generated.
const OWNER_KEY_SEED: u64 = 7;

/// Runs a test on a runtime of its own.
pub fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Settings of a [`TestFleet`].
#[derive(Debug)]
pub struct FleetBuilder {
    nodes: usize,
    join_wait: Duration,
    wrong_key: Option<usize>,
}

/// Running nodes. They use `main_platform`, unless [`TestFleet::restart`] gave them another.
pub struct TestFleet {
    pub main_platform: FakePlatform,
    pub events: mpsc::UnboundedReceiver<RecordedEvent>,
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
    /// A fleet of three nodes with the same fleet key.
    pub fn new() -> Self {
        Self {
            nodes: 3,
            join_wait: Duration::from_secs(3),
            wrong_key: None,
        }
    }

    /// Sets how long a node that has just started waits for peers that it can't reach.
    pub fn join_wait(mut self, join_wait: Duration) -> Self {
        self.join_wait = join_wait;
        self
    }

    /// Gives one node another fleet key.
    pub fn wrong_key(mut self, node: usize) -> Self {
        self.wrong_key = Some(node);
        self
    }

    /// Starts the platform, the upstreams and the nodes, and waits until all nodes serve version 1.
    pub async fn start(self) -> TestFleet {
        let workers = Workers::start(2);
        let deployment = small_deployment();
        let (recorder, events_rx) = EventRecorder::new();
        let upstreams = start_upstreams(&deployment, &recorder, &workers);
        let addresses = upstreams
            .iter()
            .map(|(name, up)| (name.clone(), up.address()));
        let mut fleet = TestFleet {
            main_platform: start_platform(&workers),
            events: events_rx,
            addresses: addresses.collect(),
            deployment,
            keys: OwnerKeys::from_seed(OWNER_KEY_SEED),
            workers,
            nodes: Vec::new(),
            vms: Vec::new(),
            settings: Vec::new(),
            _upstreams: upstreams
                .into_iter()
                .map(|(_, upstream)| upstream)
                .collect(),
        };
        fleet.publish(&fleet.main_platform, 1);
        for node in 0..self.nodes {
            let mut settings = fleet.settings(node, self.join_wait);
            if self.wrong_key == Some(node) {
                settings.fleet_key = FleetKey::new([9; 32]);
            }
            fleet.settings.push(settings.clone());
            fleet.nodes.push(None);
            fleet.launch(node, settings).await;
        }
        fleet.publish_vms(&fleet.main_platform);
        for node in 0..self.nodes {
            fleet.wait_until_serving(node, 1).await;
        }
        fleet
    }
}

impl TestFleet {
    /// Starts another platform, which publishes the bundle of this version and the list of nodes.
    pub fn start_platform(&self, version: u64) -> FakePlatform {
        let platform = start_platform(&self.workers);
        self.publish(&platform, version);
        self.publish_vms(&platform);
        platform
    }

    /// Address of a platform that was started and stopped, so that nothing answers there.
    pub fn stopped_platform(&self) -> SocketAddr {
        let platform = start_platform(&self.workers);
        platform.silence();
        platform.address()
    }

    /// Publishes a bundle of this version, signed by both owners.
    pub fn publish(&self, platform: &FakePlatform, version: u64) {
        let bundle = self.deployment.bundle(version, &self.addresses);
        let (envelope, parts) = self.keys.sign_bundle(&bundle);
        platform.publish(&envelope, parts);
    }

    /// Publishes a bundle of this version, signed by one owner only.
    pub fn publish_half_signed(&self, platform: &FakePlatform, version: u64) {
        let (manifest, parts) = Manifest::split(&self.deployment.bundle(version, &self.addresses));
        let envelope = Envelope::unsigned(&manifest).sign(self.keys.signing_key(0));
        platform.publish(&envelope, parts);
    }

    /// Publishes the list of nodes.
    pub fn publish_vms(&self, platform: &FakePlatform) {
        let vms = self.vms.clone();
        platform.publish_vms(&VmList { vms });
    }

    /// Shuts a node down gracefully.
    pub async fn stop(&mut self, node: usize) {
        if let Some(running) = self.nodes[node].take() {
            running.drain().await.stop().await;
        }
    }

    /// Starts a stopped node at its previous address, with another platform.
    pub async fn restart(&mut self, node: usize, platform: SocketAddr) {
        let settings = Settings {
            platform,
            link_address: self.vms[node].address,
            start: self.settings[node].start + 1,
            ..self.settings[node].clone()
        };
        self.settings[node] = settings.clone();
        self.launch(node, settings).await;
    }

    /// Waits until a node accepts new work with this version active.
    pub async fn wait_until_serving(&self, node: usize, version: u64) {
        let description = format!("node {node} serves version {version}");
        wait_until(&description, async || {
            self.metric(node, "medlarpost_bundle_version").await == version
                && self.request_ticket(node).await.is_some()
        })
        .await;
    }

    /// Waits until a node refuses new work.
    pub async fn wait_until_refusing(&self, node: usize) {
        wait_until(&format!("node {node} refuses"), async || {
            self.request_ticket(node).await.is_none()
        })
        .await;
    }

    /// Waits until a metric of a node has at least this value.
    pub async fn wait_for_metric(&self, node: usize, name: &str, least: u64) {
        let description = format!("{name} of node {node} is at least {least}");
        wait_until(&description, async || {
            self.metric(node, name).await >= least
        })
        .await;
    }

    /// Address of a node's link listener.
    pub fn link_address(&self, node: usize) -> SocketAddr {
        self.vms[node].address
    }

    /// Value of a node's metric, whose name includes its labels; 0 if there is no such metric.
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

    /// Requests a ticket; `None` if the node refuses.
    pub async fn request_ticket(&self, node: usize) -> Option<String> {
        let workspace = self.deployment.workspaces[0];
        let (status, reply) = self
            .post(node, "/v1/tickets", &json!({"tenant": workspace}))
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
            "tenant": self.deployment.workspaces[0],
            "service": self.deployment.booking.service,
            "ticket": ticket,
            "booking": {"slot": 1},
            "deadline_ms": 5_000,
        });
        self.post(node, "/v1/bookings", &body).await
    }

    /// Sends a booking until it is no longer refused as not run. Upstreams of a new fleet take no work before the owner
    /// of their warm-up has found them warm, and such a refusal leaves the ticket redeemable.
    pub async fn book_when_warm(&self, node: usize, ticket: &str) -> (u16, Value) {
        let mut reply = (0, Value::Null);
        wait_until("an upstream takes the booking", async || {
            reply = self.book(node, ticket).await;
            reply.1["execution"] != "not run"
        })
        .await;
        reply
    }

    /// Sends bookings through all nodes until this node has run one, and discards their ids. The other nodes have to
    /// take part, because only the owner of an upstream's warm-up may send to it until it is warm.
    pub async fn wait_for_booking_at(&mut self, node: usize) {
        wait_until(&format!("node {node} runs a booking"), async || {
            let mut status = 0;
            for each in 0..self.nodes.len() {
                let ticket = self.request_ticket(each).await.expect("the node serves");
                let (found, _) = self.book(each, &ticket).await;
                if each == node {
                    status = found;
                }
            }
            status == 200
        })
        .await;
        self.take_booking_ids();
    }

    /// Ids of the bookings that upstreams ran since the last call.
    pub fn take_booking_ids(&mut self) -> Vec<String> {
        let events = std::iter::from_fn(|| self.events.try_recv().ok());
        events
            .filter_map(|recorded| {
                let FakeUpstreamEvent::BookingRan { booking_id, .. } = recorded.event else {
                    return None;
                };
                Some(booking_id)
            })
            .collect()
    }

    async fn post(&self, node: usize, path: &str, body: &Value) -> (u16, Value) {
        let address = self.running(node).addresses().callers;
        let token = Deployment::demo_token(self.deployment.workspaces[0]);
        let mut response = awc::Client::new()
            .post(format!("http://{address}{path}"))
            .timeout(CONDITION_TIMEOUT)
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
        wait_until("the address is free", async || {
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
            platform: self.main_platform.address(),
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

/// Waits until a condition is true.
///
/// # Panics
///
/// If the condition is still false after [`CONDITION_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waited = async {
        while !condition().await {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = actix_rt::time::timeout(CONDITION_TIMEOUT, waited).await;
    waited.unwrap_or_else(|_| panic!("not within {CONDITION_TIMEOUT:?}: {description}"));
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
    recorder: &EventRecorder,
    workers: &Workers,
) -> Vec<(String, FakeUpstream)> {
    let names = [deployment.search, deployment.booking].map(|pool| pool.upstream_names());
    let start = |name: String| {
        let behaviour = UpstreamBehaviour {
            slots: 4,
            ..UpstreamBehaviour::for_pool(&deployment.booking, "", Duration::from_millis(5), 1)
        };
        let (recorder, workers) = (recorder.clone(), workers.clone());
        let upstream = FakeUpstream::start(&name, loopback(), behaviour, recorder, workers);
        (name, upstream.expect("a free port can be listened on"))
    };
    names.into_iter().flatten().map(start).collect()
}

fn start_platform(workers: &Workers) -> FakePlatform {
    FakePlatform::start(loopback(), workers.clone()).expect("a free port can be listened on")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

//! Fixtures of the tests that call a node over real HTTP: a node with a fake platform and fake upstreams, and a client.

#[path = "schema.rs"]
pub mod schema;

use actix_http::StatusCode;
use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    node::{Node, Running},
    tls::TlsConfigs,
};
use medlarpost_wire::prelude::FleetKey;
use serde_json::{Value, json};

/// The administrators' token.
pub const ADMIN_TOKEN: &str = "admin-token-0123456789";

/// Index version of the search service.
const INDEX_VERSION: u64 = 41;

/// Names of the workspaces; each lists the firm of the same name, whose private fields it gets.
pub const WORKSPACES: [&str; 2] = ["firm-0", "firm-1"];

/// Settings of a [`TestNode`]. The defaults give a node that serves.
#[derive(Debug)]
pub struct TestNodeBuilder {
    signatures: usize,
    shards: usize,
    log: Logger,
    tls: TlsConfigs,
}

/// A running node with its platform and upstreams.
#[derive(Debug)]
pub struct TestNode {
    pub node: Node<Running>,
    platform: FakePlatform,
    keys: OwnerKeys,
    pub bundle: Bundle,
    events: mpsc::UnboundedReceiver<RecordedEvent>,
    _upstreams: Vec<FakeUpstream>,
}

/// A reply as the client received it.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub request_id: String,
    pub content_type: String,
    pub body: Value,
}

impl TestNodeBuilder {
    pub fn new() -> Self {
        Self {
            signatures: 2,
            shards: 2,
            log: Logger::root(slog::Discard, slog::o!()),
            tls: TlsConfigs::default(),
        }
    }

    /// Sets how many owners sign the bundle; if none, no bundle is published.
    pub fn signatures(mut self, signatures: usize) -> Self {
        self.signatures = signatures;
        self
    }

    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    pub fn tls(mut self, tls: TlsConfigs) -> Self {
        self.tls = tls;
        self
    }

    /// Starts the node. If both owners sign the bundle, waits until the node is ready.
    pub async fn start(self) -> TestNode {
        let workers = Workers::start(1);
        let (recorder, events_rx) = EventRecorder::new();
        let upstreams: Vec<_> = (0..=self.shards)
            .map(|n| start_upstream(n, &recorder, &workers))
            .collect();
        let bundle = test_bundle(1, &upstreams);
        let keys = OwnerKeys::from_seed(1);
        let platform = FakePlatform::start(loopback(), workers).expect("loopback has a free port");
        publish(&platform, &keys, &bundle, self.signatures);
        let settings = test_settings(&platform, &keys);
        let node = Node::bind(settings, self.log)
            .and_then(|node| node.with_tls(self.tls).start())
            .expect("the settings are valid");
        let vm = Vm {
            name: "node-0".to_owned(),
            address: loopback(),
            zone: "th-a".to_owned(),
            state: VmState::Live,
        };
        platform.publish_vms(&VmList { vms: vec![vm] });
        if self.signatures >= 2 {
            node.wait_until_ready().await;
        }
        TestNode {
            node,
            platform,
            keys,
            bundle,
            events: events_rx,
            _upstreams: upstreams,
        }
    }
}

impl TestNode {
    pub fn caller_address(&self) -> SocketAddr {
        self.node.addresses().callers
    }

    /// Posts a body to the callers' listener with the workspace's token.
    pub async fn call(&self, path: &str, workspace: &str, body: &Value) -> Reply {
        post(
            self.caller_address(),
            path,
            &token(workspace),
            None,
            body.to_string(),
        )
        .await
    }

    /// Gets a path of the administrators' listener.
    pub async fn admin_get(&self, path: &str, token: &str) -> (StatusCode, String) {
        let url = format!("http://{}{path}", self.node.addresses().admin);
        let request = awc::Client::new()
            .get(url)
            .insert_header(("authorization", format!("Bearer {token}")));
        let mut response = request.send().await.expect("the listener answers");
        let body = response
            .body()
            .limit(4_000_000)
            .await
            .expect("a whole body");
        (
            response.status(),
            String::from_utf8_lossy(&body).into_owned(),
        )
    }

    /// Publishes a bundle that this many owners have signed.
    pub fn publish(&self, bundle: &Bundle, signatures: usize) {
        publish(&self.platform, &self.keys, bundle, signatures);
    }

    /// Waits until the bundle of this version is active.
    pub async fn wait_for_version(&self, version: u64) {
        loop {
            let (_, status) = self.admin_get("/v1/status", ADMIN_TOKEN).await;
            let status: Value = serde_json::from_str(&status).expect("a status in JSON");
            if status["engine"]["version"] == version {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns what ran at the upstreams since the last call.
    pub fn take_executions(&mut self) -> Vec<RecordedEvent> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }
}

/// Body of a valid search of this workspace.
pub fn search_body(workspace: &str) -> Value {
    json!({"tenant": workspace, "service": "dispatch", "query": "springs", "deadline_ms": 2_000})
}

pub fn token(workspace: &str) -> String {
    Deployment::demo_token(workspace)
}

/// Posts a body, which need not be JSON, and reads the reply.
pub async fn post(
    node: SocketAddr,
    path: &str,
    token: &str,
    request_id: Option<&str>,
    body: impl Into<Bytes>,
) -> Reply {
    let mut request = awc::Client::new()
        .post(format!("http://{node}{path}"))
        .insert_header(("authorization", format!("Bearer {token}")));
    if let Some(request_id) = request_id {
        request = request.insert_header(("x-request-id", request_id));
    }
    let mut response = request
        .send_body(body.into())
        .await
        .expect("the listener answers");
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let (request_id, content_type) = (header("x-request-id"), header("content-type"));
    let body = response
        .body()
        .limit(4_000_000)
        .await
        .expect("a whole body");
    Reply {
        status: response.status(),
        request_id,
        content_type,
        body: serde_json::from_slice(&body).expect("every reply is JSON"),
    }
}

fn publish(platform: &FakePlatform, keys: &OwnerKeys, bundle: &Bundle, signatures: usize) {
    let (manifest, parts) = Manifest::split(bundle);
    let envelope = (0..signatures).fold(Envelope::unsigned(&manifest), |e, n| {
        e.sign(keys.signing_key(n))
    });
    if signatures > 0 {
        platform.publish(&envelope, parts);
    }
}

fn start_upstream(number: usize, recorder: &EventRecorder, workers: &Workers) -> FakeUpstream {
    let behaviour = UpstreamBehaviour::new(8, Duration::from_millis(1), number as u64);
    let name = format!("u-{number}");
    FakeUpstream::start(
        &name,
        loopback(),
        behaviour,
        recorder.clone(),
        workers.clone(),
    )
    .expect("loopback has a free port")
}

/// A bundle whose last upstream takes bookings and whose other upstreams are the only replica of one shard each.
fn test_bundle(version: u64, upstreams: &[FakeUpstream]) -> Bundle {
    let shards = upstreams.len() - 1;
    let workspaces = WORKSPACES.map(|name| Workspace {
        name: name.to_owned(),
        class: "standard".to_owned(),
        token_sha256: vec![Digest::of(token(name).as_bytes())],
        firms: vec![name.to_owned()],
    });
    let specs = upstreams.iter().enumerate().map(|(n, upstream)| Upstream {
        name: format!("u-{n}"),
        address: upstream.address(),
        zone: "th-a".to_owned(),
        slots: 8,
        cold_slots: 8,
        connections: 40,
        connect_ms: 1,
        state: UpstreamState::Active,
        tls: false,
    });
    let search = Service {
        name: "dispatch".to_owned(),
        kind: ServiceKind::Search,
        layouts: vec![ShardLayout {
            index_version: INDEX_VERSION,
            shards: (0..shards).map(|n| vec![format!("u-{n}")]).collect(),
        }],
        upstreams: Vec::new(),
    };
    let booking = Service {
        name: "crew-booking".to_owned(),
        kind: ServiceKind::Booking,
        layouts: Vec::new(),
        upstreams: vec![format!("u-{shards}")],
    };
    Bundle {
        format: 1,
        version,
        deployment: "alliance".to_owned(),
        consents: Vec::new(),
        limits: DeploymentLimits::default(),
        policy: LoadPolicy::default(),
        zones: vec![Zone {
            name: "th-a".to_owned(),
            region: "central-thailand".to_owned(),
            state: ZoneState::In,
        }],
        classes: vec![WorkspaceClass {
            name: "standard".to_owned(),
            prefer: LateShardPreference::Coverage,
            weight: 1,
        }],
        workspaces: workspaces.to_vec(),
        upstreams: specs.collect(),
        services: vec![search, booking],
    }
}

fn test_settings(platform: &FakePlatform, keys: &OwnerKeys) -> Settings {
    Settings {
        name: "node-0".to_owned(),
        zone: "th-a".to_owned(),
        caller_address: loopback(),
        admin_address: loopback(),
        admin_token: Some(ADMIN_TOKEN.to_owned()),
        link_address: loopback(),
        fleet_key: FleetKey::new([1; 32]),
        join_wait: Duration::from_millis(50),
        platform: platform.address(),
        owners: keys.owners(),
        min_version: 0,
        balancer_lag: Duration::from_millis(500),
        workers: 1,
        policy: PolicyMode::Adaptive,
        ticket_key: [7; 32],
        start: 1,
        seed: 1,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts an engine task without a configuration. Also returns the queue of its notices.
pub fn start_engine() -> (
    EngineSender,
    mpsc::UnboundedReceiver<medlarpost_node::engine_task::EngineNotice>,
) {
    let (notices, notices_rx) = mpsc::unbounded_channel();
    let settings = EngineSettings {
        node: "node-0".to_owned(),
        start: 1,
        zone: "th-a".to_owned(),
        policy: PolicyMode::Adaptive,
        ticket_key: [7; 32],
        seed: 1,
    };
    let parts = medlarpost_node::engine_task::EngineParts {
        clock: Clock::start(),
        log: Logger::root(slog::Discard, slog::o!()),
        metrics: Metrics::new(),
        workers: Workers::start(1),
        tls: None,
        notices,
    };
    let engine =
        medlarpost_node::engine_task::start(&settings, parts).expect("the charts are valid");
    (engine, notices_rx)
}

/// Serves a handler on a loopback address for the rest of the test.
pub fn start_server<H: Handler>(handler: H) -> SocketAddr {
    use medlarpost_node::http_server::{self, ServerPhase};
    let listener = std::net::TcpListener::bind(loopback()).expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (phase, phase_rx) = watch::channel(ServerPhase::Open);
    actix_rt::spawn(async move {
        let served = http_server::serve(listener, handler, phase_rx, Workers::start(1)).await;
        drop(phase);
        served.expect("the listener can be registered");
    });
    address
}

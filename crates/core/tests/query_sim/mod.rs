//! Fixtures for the engine: a bundle, requests, and a simulation of upstreams in virtual time.

mod simulation;

pub use simulation::{Behaviour, Response, Simulation};

use ed25519_dalek::SigningKey;
use medlarpost_core::prelude::*;

/// Name of the search service in [`bundle`].
pub const SERVICE: &str = "slot-search";

/// Token of every workspace in [`bundle`].
pub const TOKEN: &str = "secret";

/// A bundle with one search service. Its upstreams are named `s<shard>r<replica>` and are in the zones `z<replica>`.
/// The workspace `labs` prefers coverage, and the workspace `firms` prefers a short tail.
pub fn bundle(shards: u32, replicas: u32, slots: u32) -> Bundle {
    let name = |shard, replica| format!("s{shard}r{replica}");
    let upstream = |shard: u32, replica: u32| Upstream {
        name: name(shard, replica),
        address: (
            [10, replica as u8, (shard / 200) as u8, (shard % 200) as u8],
            80,
        )
            .into(),
        zone: format!("z{replica}"),
        slots,
        cold_slots: 1,
        connections: slots * 10,
        connect_ms: 6,
        state: UpstreamState::Active,
        tls: false,
    };
    let zone = |replica| Zone {
        name: format!("z{replica}"),
        region: "centre".to_owned(),
        state: ZoneState::In,
    };
    let class = |name: &str, prefer| WorkspaceClass {
        name: name.to_owned(),
        prefer,
        weight: 1,
    };
    Bundle {
        format: 1,
        version: 1,
        deployment: "test".to_owned(),
        consents: Vec::new(),
        limits: DeploymentLimits::default(),
        policy: LoadPolicy::default(),
        zones: (0..replicas).map(zone).collect(),
        classes: vec![
            class("wide", LateShardPreference::Coverage),
            class("fast", LateShardPreference::Tail),
        ],
        workspaces: vec![workspace("labs", "wide"), workspace("firms", "fast")],
        upstreams: (0..shards)
            .flat_map(|shard| (0..replicas).map(move |replica| upstream(shard, replica)))
            .collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            kind: ServiceKind::Search,
            layouts: vec![layout(1, shards, replicas)],
            upstreams: Vec::new(),
        }],
    }
}

/// A workspace that owns the documents of the firm with the same name.
pub fn workspace(name: &str, class: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        class: class.to_owned(),
        token_sha256: vec![Digest::of(TOKEN.as_bytes())],
        firms: vec![name.to_owned()],
    }
}

/// A layout of an index version on the upstreams of [`bundle`].
pub fn layout(index_version: u64, shards: u32, replicas: u32) -> ShardLayout {
    let of_shard = |shard| (0..replicas).map(|r| format!("s{shard}r{r}")).collect();
    ShardLayout {
        index_version,
        shards: (0..shards).map(of_shard).collect(),
    }
}

/// The bundle with the signatures of both owners.
pub fn sign_bundle(bundle: &Bundle) -> Arc<ApprovedBundle> {
    let keys = [
        SigningKey::from_bytes(&[1; 32]),
        SigningKey::from_bytes(&[2; 32]),
    ];
    let [first, second] = keys.each_ref().map(|key| key.verifying_key().to_bytes());
    let owners = Owners::new(first, second).expect("the keys are valid and differ");
    let (manifest, parts) = Manifest::split(bundle);
    let envelope = Envelope::unsigned(&manifest).sign(&keys[0]).sign(&keys[1]);
    let approved = envelope.verify(&owners).expect("both owners have signed");
    Arc::new(approved.assemble(&parts).expect("all parts are present"))
}

/// Settings of the engine of `node-1` in the zone `z0`.
pub fn engine_settings(policy: PolicyMode) -> EngineSettings {
    EngineSettings {
        node: "node-1".to_owned(),
        start: 1,
        zone: "z0".to_owned(),
        policy,
        ticket_key: [7; 32],
        seed: 1,
    }
}

/// A query of `workspace` for the service of [`bundle`].
pub fn search_request(workspace: &str, query: &str, deadline_ms: u64) -> SearchRequest {
    SearchRequest {
        caller: CallerKey::default(),
        request_id: Arc::from(format!("{workspace}-1")),
        token: Arc::from(TOKEN),
        workspace: Arc::from(workspace),
        service: Arc::from(SERVICE),
        query: Arc::from(query),
        limit: 10,
        deadline: Some(Duration::from_millis(deadline_ms)),
    }
}

/// News from a peer that an upstream is warm.
pub fn warm_news(upstream: &str) -> News {
    News::Warm {
        upstream: upstream.to_owned(),
        started_at_ms: 1,
        round: 1,
    }
}

/// A hit in a document of the firm `owner`, with public and private fields.
pub fn hit(id: &str, score: f64, owner: &str) -> Hit {
    Hit {
        id: id.to_owned(),
        score,
        owner: owner.to_owned(),
        fields: Arc::from("{}"),
        private: Some(Arc::from("{\"margin\":1}")),
    }
}

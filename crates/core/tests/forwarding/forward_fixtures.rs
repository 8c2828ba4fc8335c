//! Fixtures of forwarders: settings, routes, upstreams, requests and replies.

use bytes::Bytes;
use medlarpost_core::prelude::*;

pub const OBJECTIVE: Duration = Duration::from_millis(120);
pub const TIMEOUT: Duration = Duration::from_millis(800);

pub fn service_route(name: &str) -> Route {
    route(name, Target::Service("desk".into()))
}

pub fn settings() -> ForwarderSettings {
    ForwarderSettings {
        zone: "z-a".into(),
        regions: [("z-a", "r-1"), ("z-b", "r-1"), ("z-c", "r-2")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
        limits: FleetLimits {
            extra_ratio: 0.2,
            extra_slack: 50.0,
            extra_window: Duration::from_secs(10),
            cold_excess: 1.5,
            cold_slack: 5.0,
            quotas: None,
        },
        cross_zone_cost: 0.2,
        answer_margin: Duration::from_millis(10),
        initial_fleet_size: 1,
        revoke_within: None,
        seed: 1,
    }
}

pub fn route(name: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "search.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotent: true,
        timeout: TIMEOUT,
        objective: OBJECTIVE,
        max_attempts: 2,
        rank: 1,
        public: false,
        regions: Vec::new(),
        target,
    }
}

pub fn shards_target(count: usize, min_coverage: f64) -> Target {
    Target::Shards(ShardTarget {
        services: (0..count).map(|i| format!("shard-{i}").into()).collect(),
        limit: 4,
        min_coverage,
    })
}

pub fn table(version: u64, routes: Vec<Route>) -> Arc<RoutingTable> {
    let names: Vec<_> = routes.iter().flat_map(Route::services).collect();
    let services = names.into_iter().map(|name| {
        let settings = ServiceSettings {
            max_connections: 30,
            warm_up: Duration::from_secs(3),
            cold_rate: Some(4.0),
        };
        (name, settings)
    });
    Arc::new(RoutingTable::new(
        version,
        routes,
        services.collect(),
        CallerLimits::default(),
    ))
}

pub fn upstream(service: &str, zone: &str) -> RegisteredUpstream {
    RegisteredUpstream {
        instance: format!("{service}@{zone}").into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.into(),
        slots: 3,
        leaving: false,
        cold_for: Duration::ZERO,
        started_at_ms: 1,
    }
}

pub fn request(path: &str) -> ForwardRequest {
    ForwardRequest {
        id: "request-1".into(),
        host: "search.example".to_owned(),
        method: "GET".to_owned(),
        target: path.to_owned(),
        credential: Credential::Missing,
        fields: Vec::new(),
        body: Bytes::new(),
        time_left: TIMEOUT,
    }
}

pub fn served_reply(body: &'static [u8]) -> ForwardOutcome {
    ForwardOutcome::Served(reply(200, body))
}

pub fn reply(status: u16, body: &'static [u8]) -> UpstreamReply {
    UpstreamReply {
        status,
        fields: Vec::new(),
        proof: Some(Bytes::from_static(b"proof")),
        body: Bytes::from_static(body),
    }
}

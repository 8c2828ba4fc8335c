//! Guards against a status that anyone can read or that is wrong, and replies that violate `docs/openapi.json`.

use crate::common::{ADMIN_TOKEN, TestNodeBuilder, schema, search_body};
use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    recent_refusals::RecentRefusals,
    status_json::StatusReply,
    where_json::{
        WhereLoad, WhereQuota, WhereReplica, WhereReply, WhereRequest, WhereRoute, WhereShard,
        WhereVerdict,
    },
};
use serde_json::{Value, json};

#[actix_rt::test]
async fn status_needs_the_administrators_token() {
    let node = TestNodeBuilder::new().start().await;
    let wrong = ["", "wrong", "admin-token-012345678", "demo-token-of-firm-0"];

    let mut replies = Vec::new();
    for token in wrong {
        replies.push(node.admin_get("/v1/status", token).await);
    }
    let right = node.admin_get("/v1/status", ADMIN_TOKEN).await;
    let health = node.admin_get("/healthz", "").await;

    for (status, body) in replies {
        let body: Value = serde_json::from_str(&body).expect("a problem in JSON");
        assert_eq!(status.as_u16(), 401);
        assert_eq!(
            schema::violations(&schema::openapi_document(), "AdminProblem", &body),
            [""; 0]
        );
    }
    assert_eq!(right.0.as_u16(), 200);
    assert_eq!(health.0.as_u16(), 200);
}

#[actix_rt::test]
async fn status_reports_the_configuration_the_upstreams_and_the_refusals() {
    let node = TestNodeBuilder::new().start().await;
    node.call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;
    node.call("/v1/search", "firm-0", &search_body("firm-1"))
        .await;
    node.call("/v1/search", "firm-0", &json!([])).await;

    let (_, body) = node.admin_get("/v1/status", ADMIN_TOKEN).await;
    let status: StatusReply = serde_json::from_str(&body).expect("a status");

    assert_eq!(status.node, "node-0");
    assert_eq!(
        (status.control.version, status.report.engine.version),
        (1, Some(1))
    );
    assert_eq!(status.control.digest, status.report.engine.digest);
    assert!(status.control.digest.is_some());
    assert_eq!(
        (status.control.ready, status.control.reason.as_str()),
        (true, "ready")
    );
    assert!(status.report.engine.fresh_for_ms > 0);
    assert_eq!(status.report.engine.running.queries, 0);
    let engine = &status.report.engine;
    assert_eq!(engine.statistics.primaries, 2);
    assert_eq!(engine.statistics.queue_length, 0);
    assert_eq!(
        engine.budgets.keys().collect::<Vec<_>>(),
        ["retry dispatch", "retry_share"]
    );
    let upstreams: Vec<_> = status
        .report
        .engine
        .upstreams
        .iter()
        .map(|u| u.name.as_str())
        .collect();
    assert_eq!(upstreams, ["u-0", "u-1", "u-2"]);
    let refusals = status.report.recent_refusals;
    assert_eq!(refusals.get("unauthenticated"), Some(&1));
    assert_eq!(refusals.get("malformed"), Some(&1));
}

#[actix_rt::test]
async fn status_reports_why_a_node_is_not_ready_and_why_a_bundle_was_refused() {
    let node = TestNodeBuilder::new().signatures(1).start().await;
    // The status has no refused bundle until the platform has replied to the first watch.
    let status = loop {
        let (_, body) = node.admin_get("/v1/status", ADMIN_TOKEN).await;
        let status: StatusReply = serde_json::from_str(&body).expect("a status");
        if status.control.last_refused_bundle.is_some() {
            break status;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    };

    let (readiness, _) = node.admin_get("/readyz", "").await;

    assert_eq!(readiness.as_u16(), 503);
    assert!(!status.control.ready);
    assert_eq!(
        status.control.reason,
        "no approved bundle has been received"
    );
    let refused = status.control.last_refused_bundle.unwrap_or_default();
    assert!(refused.contains("owner 2 has not signed"), "{refused}");
}

#[actix_rt::test]
async fn replies_match_the_openapi_document() {
    let node = TestNodeBuilder::new().start().await;
    let document = schema::openapi_document();
    let ticket_request = json!({"tenant": "firm-0"});
    let found = node
        .call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;
    let ticket = node.call("/v1/tickets", "firm-0", &ticket_request).await;
    let booking_request = json!({"tenant": "firm-0", "service": "crew-booking",
        "ticket": ticket.body["ticket"], "booking": {"crew": 1}, "deadline_ms": 2_000});
    let booked = node.call("/v1/bookings", "firm-0", &booking_request).await;
    let refused = node.call("/v1/search", "firm-0", &json!([])).await;
    let (_, status) = node.admin_get("/v1/status", ADMIN_TOKEN).await;
    let status = serde_json::from_str(&status).expect("a status");
    let exchanged = [
        ("SearchRequest", search_body("firm-0")),
        ("SearchAnswer", found.body),
        ("TicketRequest", ticket_request),
        ("Ticket", ticket.body),
        ("BookingRequest", booking_request),
        ("BookingAnswer", booked.body),
        ("Problem", refused.body),
        ("Status", status),
    ];

    let violations: Vec<_> = exchanged
        .iter()
        .flat_map(|(name, value)| schema::violations(&document, name, value))
        .collect();

    assert_eq!(violations, [""; 0]);
}

/// Guards against a form of `/v1/where` that differs from the document. A node with upstreams answers it in the platform's
/// tests.
#[test]
fn where_replies_match_the_openapi_document() {
    let document = schema::openapi_document();
    let request = WhereRequest {
        workspace: Some("acme".to_owned()),
        ..WhereRequest::default()
    };
    let reply = where_reply();

    let request = schema::violations(&document, "WhereRequest", &json!(request));
    let reply = schema::violations(&document, "WhereReply", &json!(reply));

    assert_eq!((request, reply), (Vec::new(), Vec::new()));
}

/// A refusal with one replica of which everything is known.
fn where_reply() -> WhereReply {
    let load = WhereLoad {
        source: LoadSource::OwnReply.name().to_owned(),
        age_ms: 1.0,
        running: 1,
        waiting: 0,
        slots: 3,
        service_percent: Some(100),
    };
    let replica = WhereReplica {
        instance: "i-1".to_owned(),
        zone: "z-a".to_owned(),
        slots: 3,
        state: ReplicaState::Leaving.name().to_owned(),
        obstacle: Some("leaving".to_owned()),
        entry_age_ms: 1.0,
        reply_age_ms: Some(1.0),
        load: Some(load),
        expected_requests: 1.0,
        running: 1,
        expected_reply_ms: Some(1.0),
        slowness: 1.0,
        failure_rate: 0.0,
        advised_against_ms: Some(1.0),
    };
    WhereReply {
        config_version: 1,
        config_age_ms: Some(1.0),
        fleet_size: 1,
        route: WhereRoute {
            name: "r".to_owned(),
            prefix: "/".to_owned(),
            idempotent: true,
            objective_ms: 1.0,
            min_coverage: 1.0,
            usual_reply_ms: Some(1.0),
        },
        caller: Some("anonymous".to_owned()),
        quota: Some(WhereQuota {
            is_owner: false,
            local_allowance: 0,
            reply_age_ms: Some(1.0),
        }),
        verdict: WhereVerdict::Refuse {
            status: 503,
            retry_after: Some("1.000".to_owned()),
            kind: "unavailable".to_owned(),
            reasons: vec!["service s: no_upstream".to_owned()],
        },
        shards: vec![WhereShard {
            service: "s".to_owned(),
            chosen: Vec::new(),
            basis: ChoiceBasis::None.name().to_owned(),
            replicas: vec![replica],
        }],
    }
}

#[test]
fn openapi_document_lists_every_refusal_kind_and_missing_shard_reason() {
    let document = schema::openapi_document();
    let schemas = &document["components"]["schemas"];

    let kinds = &schemas["Problem"]["properties"]["type"]["enum"];
    let reasons = &schemas["MissingShard"]["properties"]["reason"]["enum"];

    let expected: Vec<_> = RefusalKind::NAMES
        .iter()
        .map(|(name, _)| format!("urn:medlarpost:refusal:{name}"))
        .collect();
    assert_eq!(*kinds, json!(expected));
    let expected: Vec<_> = MissingReason::NAMES.iter().map(|(name, _)| name).collect();
    assert_eq!(*reasons, json!(expected));
}

#[test]
fn schema_check_reports_violations() {
    let document = schema::openapi_document();
    let given = json!({"asked": 1, "answered": "one", "extra": 0, "missing": [{"shard": 1, "reason": "late"}]});

    let violations = schema::violations(&document, "Coverage", &given);
    let missing = schema::violations(&document, "Ticket", &json!({"ticket": "t"}));

    assert_eq!(violations.len(), 3, "{violations:?}");
    assert_eq!(missing, ["Ticket: expires_in_ms is missing"]);
}

#[test]
fn recent_refusals_are_dropped_after_two_minutes() {
    let mut refusals = RecentRefusals::default();
    let at = |seconds| Timestamp::ZERO + Duration::from_secs(seconds);
    refusals.record(at(1), RefusalKind::Malformed);
    refusals.record(at(61), RefusalKind::Overloaded);

    let both = refusals.counts_by_kind(at(62));
    let newer = refusals.counts_by_kind(at(122));
    let none = refusals.counts_by_kind(at(400));

    assert_eq!(both.len(), 2);
    assert_eq!(newer.keys().collect::<Vec<_>>(), ["overloaded"]);
    assert!(none.is_empty());
}

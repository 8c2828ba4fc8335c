//! Guards against refusals that callers can't parse or act on, refusals that claim `not run` although something ran,
//! and bundles that become active without the signatures of both owners.

use crate::common::{self, TestNode, TestNodeBuilder, post, search_body, token};
use medlarpost_fakes::prelude::*;
use medlarpost_node::{caller_api::CallerApi, http_server::MAX_BODY_BYTES, problem};
use serde_json::{Value, json};

async fn start_node() -> TestNode {
    TestNodeBuilder::new().start().await
}

/// Body of a valid search in which `changes` replace some fields.
fn search_with(changes: &Value) -> Value {
    let mut body = search_body("firm-0");
    for (name, value) in changes.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    body
}

/// Checks that a reply is a complete problem details object of this kind that says that nothing ran.
fn assert_not_run(reply: &common::Reply, status: u16, kind: &str) {
    assert_eq!(reply.status.as_u16(), status, "{reply:?}");
    assert_eq!(reply.content_type, "application/problem+json");
    assert_eq!(
        reply.body["type"],
        format!("urn:medlarpost:refusal:{kind}"),
        "{reply:?}"
    );
    assert_eq!(reply.body["status"], status);
    assert_eq!(reply.body["execution"], "not run");
    assert_eq!(reply.body["request_id"], reply.request_id);
    for field in ["title", "detail", "remedy", "request_id"] {
        let text = reply.body[field].as_str().unwrap_or_default();
        assert!(!text.is_empty(), "{field} is missing in {reply:?}");
    }
}

#[actix_rt::test]
async fn invalid_searches_are_refused_and_nothing_runs() {
    let mut node = start_node().await;
    let no_deadline = json!({"tenant": "firm-0", "service": "dispatch", "query": "springs"});
    let cases = [
        (
            "unauthenticated",
            401,
            search_with(&json!({"tenant": "firm-9"})),
        ),
        (
            "unauthenticated",
            401,
            search_with(&json!({"tenant": "firm-1"})),
        ),
        ("deadline-missing", 400, no_deadline),
        (
            "deadline-invalid",
            400,
            search_with(&json!({"deadline_ms": 0})),
        ),
        (
            "deadline-invalid",
            400,
            search_with(&json!({"deadline_ms": 60_001})),
        ),
        (
            "unknown-service",
            404,
            search_with(&json!({"service": "other"})),
        ),
        (
            "unknown-service",
            404,
            search_with(&json!({"service": "crew-booking"})),
        ),
        ("malformed", 400, search_with(&json!({"deadline_ms": -1}))),
        ("malformed", 400, json!({"tenant": "firm-0"})),
        ("malformed", 400, json!([])),
    ];

    let mut replies = Vec::new();
    for (_, _, body) in &cases {
        replies.push(node.call("/v1/search", "firm-0", body).await);
    }

    for ((kind, status, _), reply) in cases.iter().zip(&replies) {
        assert_not_run(reply, *status, kind);
    }
    assert_eq!(node.take_executions(), []);
}

#[actix_rt::test]
async fn body_that_is_not_json_or_too_long_is_refused() {
    let mut node = start_node().await;
    let (address, token) = (node.caller_address(), token("firm-0"));
    let long = search_with(&json!({"query": "a".repeat(MAX_BODY_BYTES)})).to_string();

    let no_json = post(address, "/v1/search", &token, None, "query=springs").await;
    let no_text = post(address, "/v1/search", &token, None, vec![0xff; 16]).await;
    let too_long = post(address, "/v1/search", &token, None, long).await;
    let no_path = post(address, "/v1/other", &token, None, "{}").await;

    assert_not_run(&no_json, 400, "malformed");
    assert_not_run(&no_text, 400, "malformed");
    assert_not_run(&too_long, 413, "too-large");
    assert_not_run(&no_path, 404, "unknown-service");
    assert_eq!(node.take_executions(), []);
}

#[actix_rt::test]
async fn missing_and_wrong_tokens_are_refused() {
    let mut node = start_node().await;
    let (address, body) = (node.caller_address(), search_body("firm-0").to_string());

    let mut replies = Vec::new();
    for token in ["", "wrong", "demo-token-of-firm-00"] {
        replies.push(post(address, "/v1/search", token, None, body.clone()).await);
        replies.push(
            post(
                address,
                "/v1/tickets",
                token,
                None,
                r#"{"tenant":"firm-0"}"#,
            )
            .await,
        );
    }

    for reply in &replies {
        assert_not_run(reply, 401, "unauthenticated");
    }
    assert_eq!(node.take_executions(), []);
}

#[actix_rt::test]
async fn invalid_bookings_are_refused_and_nothing_runs() {
    let mut node = start_node().await;
    let booking = |ticket: &str, service: &str| json!({"tenant": "firm-0", "service": service, "ticket": ticket, "booking": {"crew": 1}, "deadline_ms": 2_000});
    let issued = node
        .call("/v1/tickets", "firm-0", &json!({"tenant": "firm-0"}))
        .await;
    let foreign = node
        .call("/v1/tickets", "firm-1", &json!({"tenant": "firm-1"}))
        .await;
    let ticket = issued.body["ticket"].as_str().expect("a ticket is issued");
    let foreign = foreign.body["ticket"].as_str().expect("a ticket is issued");

    let no_ticket = node
        .call("/v1/bookings", "firm-0", &booking("none", "crew-booking"))
        .await;
    let other_workspace = node
        .call("/v1/bookings", "firm-0", &booking(foreign, "crew-booking"))
        .await;
    let search_service = node
        .call("/v1/bookings", "firm-0", &booking(ticket, "dispatch"))
        .await;

    assert_not_run(&no_ticket, 400, "ticket-invalid");
    assert_not_run(&other_workspace, 400, "ticket-invalid");
    assert_not_run(&search_service, 404, "unknown-service");
    assert_eq!(node.take_executions(), []);
}

#[actix_rt::test]
async fn node_without_an_approved_bundle_refuses_searches() {
    let mut without = TestNodeBuilder::new().signatures(0).start().await;
    let mut half_signed = TestNodeBuilder::new().signatures(1).start().await;

    let first = without
        .call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;
    let second = half_signed
        .call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;

    assert_not_run(&first, 503, "not-configured");
    assert_not_run(&second, 503, "not-configured");
    assert_eq!(without.take_executions(), []);
    assert_eq!(half_signed.take_executions(), []);
}

#[actix_rt::test]
async fn unapproved_or_invalid_bundle_leaves_the_node_serving() {
    let node = start_node().await;
    let mut half_signed = node.bundle.clone();
    half_signed.version = 2;
    let mut invalid = node.bundle.clone();
    invalid.version = 3;
    invalid.upstreams[0].zone = "th-x".to_owned();

    node.publish(&half_signed, 1);
    // Longer than a confirmation is valid, so that a node which no longer gets one would lapse.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let after_half_signed = node
        .call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;
    node.publish(&invalid, 2);
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let after_invalid = node
        .call("/v1/search", "firm-0", &search_body("firm-0"))
        .await;
    let (_, metrics) = node.admin_get("/metrics", "").await;

    assert_eq!(
        after_half_signed.status.as_u16(),
        200,
        "{after_half_signed:?}"
    );
    assert_eq!(after_invalid.status.as_u16(), 200, "{after_invalid:?}");
    assert!(
        metrics.contains("medlarpost_bundle_version 1\n"),
        "{metrics}"
    );
    assert!(
        metrics.contains("medlarpost_bundles_refused_total 2\n"),
        "{metrics}"
    );
}

#[actix_rt::test]
async fn number_of_results_is_limited_by_the_bundle() {
    let node = start_node().await;
    let mut bundle = node.bundle.clone();
    bundle.version = 2;
    bundle.limits.max_results = 2;
    node.publish(&bundle, 2);
    node.wait_for_version(2).await;

    let reply = node
        .call(
            "/v1/search",
            "firm-0",
            &search_with(&json!({"limit": u32::MAX})),
        )
        .await;

    let results = reply.body["results"].as_array().map(Vec::len);
    assert_eq!(results, Some(2), "{reply:?}");
}

#[actix_rt::test]
async fn draining_engine_refuses_searches_over_http() {
    let (engine, _notices) = common::start_engine();
    let api = CallerApi::new(engine.clone(), "node-0");
    let address = common::start_server(api);
    let drain = EngineMessage::Event(Event::Drain);
    engine.send(drain).await.expect("the engine runs");

    let body = search_body("firm-0").to_string();
    let reply = post(address, "/v1/search", &token("firm-0"), None, body).await;

    assert_not_run(&reply, 503, "draining");
}

#[actix_rt::test]
async fn draining_node_fails_readiness_and_serves_until_the_balancer_lag_has_passed() {
    let node = start_node().await;
    let (callers, admin) = (node.caller_address(), node.node.addresses().admin);
    let draining = actix_rt::spawn(async move { node.node.drain().await.stop().await });
    let ready = awc::Client::new().get(format!("http://{admin}/readyz"));
    actix_rt::time::sleep(Duration::from_millis(100)).await;

    let readiness = ready.send().await.expect("the listener answers").status();
    let body = search_body("firm-0").to_string();
    let served = post(callers, "/v1/search", &token("firm-0"), None, body).await;
    draining.await.expect("the node stops");
    let connection = std::net::TcpStream::connect(callers);

    assert_eq!(readiness.as_u16(), 503);
    assert_eq!(served.status.as_u16(), 200);
    assert!(connection.is_err(), "a stopped node accepts no connection");
}

#[test]
fn each_kind_of_refusal_has_an_error_status_and_a_remedy() {
    let kinds = RefusalKind::NAMES;

    let replies: Vec<_> = kinds
        .iter()
        .map(|(name, kind)| (*name, problem::status(*kind), kind.remedy()))
        .collect();

    for (name, status, remedy) in replies {
        assert!(
            status.is_client_error() || status.is_server_error(),
            "{name}: {status}"
        );
        assert!(!remedy.is_empty(), "{name}");
    }
}

//! Guards against listeners that serve plain HTTP although TLS is configured, plain requests to upstreams for which the
//! bundle demands TLS, and certificates that are accepted without a check.

use crate::common::{TestNodeBuilder, search_body, token};
use awc::{Client, Connector};
use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    http_server::{self, ServerPhase},
    tls::{self, TlsConfigs, TlsError},
};
use rcgen::{CertifiedKey, KeyPair, generate_simple_self_signed};
use serde_json::json;

/// PEM texts of a self-signed certificate for the loopback address and of its key.
fn self_signed_pair() -> (String, String) {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).expect("the name is valid");
    (cert.pem(), signing_key.serialize_pem())
}

/// An HTTP client that trusts only this certificate.
fn client_trusting(certificate: &str) -> Client {
    let config = tls::client_config(certificate).expect("the certificate is valid");
    Client::builder()
        .connector(Connector::new().rustls_0_23(config))
        .finish()
}

fn listener_tls((certificate, key): &(String, String)) -> TlsConfigs {
    TlsConfigs {
        listeners: Some(tls::server_config(certificate, key).expect("the pair is valid")),
        upstreams: None,
    }
}

/// Upstream that answers every request with an empty list of hits.
#[derive(Clone)]
struct EmptyUpstream;

impl Handler for EmptyUpstream {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        let version = req.header("x-index-version").unwrap_or_default().to_owned();
        HttpReply::json(actix_http::StatusCode::OK, &json!({"hits": []}))
            .header("x-index-version", version)
            .header("x-start-time", "1")
            .header("x-in-flight", "0")
            .header("x-slots", "8")
    }
}

fn start_tls_upstream(
    (certificate, key): &(String, String),
) -> (SocketAddr, watch::Sender<ServerPhase>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (phase, phase_rx) = watch::channel(ServerPhase::Open);
    let config = tls::server_config(certificate, key).expect("the pair is valid");
    actix_rt::spawn(async move {
        let workers = Workers::start(1);
        http_server::serve_tls(listener, Some(config), EmptyUpstream, phase_rx, workers)
            .await
            .expect("the listener can be registered");
    });
    (address, phase)
}

#[actix_rt::test]
async fn both_listeners_speak_tls_only_and_clients_check_the_certificate() {
    let pair = self_signed_pair();
    let other = self_signed_pair();
    let node = TestNodeBuilder::new()
        .tls(listener_tls(&pair))
        .start()
        .await;
    let (callers, admin) = (node.caller_address(), node.node.addresses().admin);
    let post = |client: Client, scheme: &str| {
        client
            .post(format!("{scheme}://{callers}/v1/search"))
            .insert_header(("authorization", format!("Bearer {}", token("firm-0"))))
            .send_json(&search_body("firm-0"))
    };

    let answered = post(client_trusting(&pair.0), "https").await;
    let healthy = client_trusting(&pair.0)
        .get(format!("https://{admin}/healthz"))
        .send()
        .await;
    let other_root = post(client_trusting(&other.0), "https").await;
    let plain = post(Client::new(), "http").await;

    assert_eq!(
        answered.expect("the listener answers").status().as_u16(),
        200
    );
    assert_eq!(
        healthy.expect("the listener answers").status().as_u16(),
        200
    );
    assert!(
        other_root.is_err(),
        "the certificate of another root is refused"
    );
    assert!(plain.is_err(), "plain HTTP is not answered");
}

#[actix_rt::test]
async fn upstreams_with_tls_are_called_over_tls_and_only_if_their_root_is_trusted() {
    let pair = self_signed_pair();
    let (address, _phase) = start_tls_upstream(&pair);
    let roots = TlsConfigs {
        listeners: None,
        upstreams: Some(tls::client_config(&pair.0).expect("the certificate is valid")),
    };
    let trusting = TestNodeBuilder::new().tls(roots).start().await;
    let without = TestNodeBuilder::new().start().await;
    let mut replies = Vec::new();

    for node in [&trusting, &without] {
        let mut bundle = node.bundle.clone();
        bundle.version = 2;
        bundle.upstreams[0].address = address;
        bundle.upstreams[0].tls = true;
        node.publish(&bundle, 2);
        node.wait_for_version(2).await;
        replies.push(
            node.call("/v1/search", "firm-0", &search_body("firm-0"))
                .await,
        );
    }

    assert_eq!(
        replies[0].body["coverage"]["answered"], 2,
        "{:?}",
        replies[0]
    );
    assert_eq!(
        replies[1].body["coverage"]["answered"], 1,
        "{:?}",
        replies[1]
    );
    assert_eq!(replies[1].body["coverage"]["missing"][0]["shard"], 0);
}

#[test]
fn invalid_pem_is_rejected_and_not_shown_in_errors() {
    let (certificate, key) = self_signed_pair();
    let other_key = KeyPair::generate()
        .expect("a key can be made")
        .serialize_pem();

    let no_certificate = tls::server_config(&key, &key).expect_err("it is a key");
    let no_key = tls::server_config(&certificate, &certificate).expect_err("it is a certificate");
    let mismatch = tls::server_config(&certificate, &other_key).expect_err("it is another's key");
    let no_roots = tls::client_config("").expect_err("it is empty");

    assert!(matches!(no_certificate, TlsError::Certificate));
    assert!(matches!(no_key, TlsError::Key));
    assert!(matches!(mismatch, TlsError::Mismatch));
    assert!(matches!(no_roots, TlsError::Certificate));
    let secret_line = key.lines().nth(1).expect("a key has several lines");
    assert!(!no_certificate.to_string().contains(secret_line));
}

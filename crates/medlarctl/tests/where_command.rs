//! Guards against a query whose errors don't say what is wrong, or whose text leaves out a belief's source and age.

use medlarctl::where_command;
use serde_json::{Value, json};
use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    process::{Command, Output},
};

fn run_where(address: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .args(["where", "--host", "shop.example", "--path", "/search/x"])
        .args(["--address", address])
        .args(args)
        .env("MEDLARCTL_ADMIN_TOKEN", "admin-token-0123456789")
        .output()
        .expect("medlarctl runs")
}

/// Answers one request with this status and body. Returns its address and the request that it received.
fn node_with(status: u16, body: &str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.84.0.10:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let reply = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let node = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("medlarctl connects");
        let (mut received, mut buf) = (String::new(), [0; 4_096]);
        while !received.ends_with('}') {
            let count = stream.read(&mut buf).expect("a request");
            received += &String::from_utf8_lossy(&buf[..count]);
        }
        stream.write_all(reply.as_bytes()).expect("it is read");
        received
    });
    (address.to_string(), node)
}

fn reply() -> Value {
    json!({
        "config_version": 7, "config_age_ms": 40.0, "fleet_size": 70,
        "route": {"name": "r-find", "prefix": "/search/", "idempotent": true, "objective_ms": 120.0,
            "min_coverage": 0.5, "usual_reply_ms": 12.0},
        "caller": "workspace acme", "quota": null,
        "verdict": {"decision": "send"},
        "shards": [{"service": "s-1", "chosen": ["i-1"], "basis": "drawn_by_reported_load", "replicas": [
            {"instance": "i-1", "zone": "z-a", "slots": 3, "state": "warm", "obstacle": null, "entry_age_ms": 9000.0,
                "reply_age_ms": 55.0, "load": {"source": "reply_to_this_node", "age_ms": 55.0, "running": 2, "waiting": 0,
                "slots": 3, "service_percent": 250}, "expected_requests": 1.9, "running": 1, "expected_reply_ms": 14.0,
                "slowness": 1.1, "failure_rate": 0.0, "advised_against_ms": null},
            {"instance": "i-2", "zone": "z-b", "slots": 3, "state": "suspect", "obstacle": "suspect, trial in 90 ms",
                "entry_age_ms": 9000.0, "reply_age_ms": null, "load": null, "expected_requests": 1.5, "running": 0,
                "expected_reply_ms": null, "slowness": 1.0, "failure_rate": 0.2, "advised_against_ms": 300.0}]}],
    })
}

#[test]
fn text_shows_the_choice_and_each_belief_with_source_and_age() {
    let reply = serde_json::from_value(reply()).expect("it has the form of a reply");

    let text = where_command::render(&reply);

    for expected in [
        "sent to the chosen replicas\n",
        "configuration 7 (registry), confirmed 40 ms ago",
        "service s-1: to i-1 (drawn by reported load)",
        "* i-1 zone z-a warm",
        "service time 250% (reply to this node, 55 ms ago)",
        "load assumed, no report; last reply never",
        "another node advises against it for 300 ms",
        "not chosen: suspect, trial in 90 ms",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}

#[test]
fn command_sends_the_request_and_prints_what_the_node_sent() {
    let key = tempfile::NamedTempFile::new().expect("a file can be made");
    std::fs::write(key.path(), "secret-key\n").expect("it can be written");
    let path = key.path().to_str().expect("temporary paths are UTF-8");
    let (address, node) = node_with(200, &reply().to_string());

    let output = run_where(&address, &["--json", "--key-file", path]);

    let received = node.join().expect("the node answers");
    let printed: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(printed, reply());
    assert!(received.contains("\"host\":\"shop.example\""), "{received}");
    assert!(!received.contains("secret-key"), "{received}");
}

#[test]
fn errors_say_what_is_wrong() {
    let closed = TcpListener::bind("127.84.0.10:0").expect("loopback has a free port");
    let address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    let cases = [
        (401, "", "refused the token"),
        (404, "", "administrators' token"),
        (
            422,
            "configuration 7 has no route\n",
            "configuration 7 has no route",
        ),
        (503, "busy", "try again"),
    ];

    let unreachable = run_where(&address.to_string(), &[]);
    for (status, body, expected) in cases {
        let (address, node) = node_with(status, body);
        let output = run_where(&address, &[]);
        node.join().expect("the node answers");

        let printed = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{printed}");
        assert!(printed.contains(expected), "{printed}");
    }
    let printed = String::from_utf8_lossy(&unreachable.stderr);
    assert_eq!(unreachable.status.code(), Some(1), "{printed}");
    assert!(printed.contains("check --address"), "{printed}");
}

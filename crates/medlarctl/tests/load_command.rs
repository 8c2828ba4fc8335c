//! Guards against a load generator that does not count refusals or lost requests, prints tokens, or accepts options
//! outside their bounds.

use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    engine_task,
    http_server::{self, ServerPhase},
};
use std::{
    net::TcpListener,
    process::{Command, Output},
};

const WORKSPACES: &str = "firm-0:token-of-firm-0:3 firm-1:token-of-firm-1";

/// Runs the load generator on a blocking thread, so that the node on this thread keeps serving.
async fn load(args: &[&str], workspaces: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    command
        .arg("load")
        .args(args)
        .env("MEDLARCTL_TENANTS", workspaces);
    tokio::task::spawn_blocking(move || command.output())
        .await
        .expect("the thread ends")
        .expect("medlarctl runs")
}

/// Starts the caller API of an engine without configuration, which refuses every request.
fn refusing_node() -> SocketAddr {
    let (notices, _unread) = mpsc::unbounded_channel();
    let parts = engine_task::EngineParts {
        clock: Clock::start(),
        log: Logger::root(slog::Discard, slog::o!()),
        metrics: Metrics::new(),
        workers: Workers::start(1),
        tls: None,
        notices,
    };
    let settings = EngineSettings {
        node: "node-0".to_owned(),
        start: 1,
        zone: "th-a".to_owned(),
        policy: PolicyMode::Adaptive,
        ticket_key: [7; 32],
        seed: 1,
    };
    let engine = engine_task::start(&settings, parts).expect("the charts are valid");
    let api = medlarpost_node::caller_api::CallerApi::new(engine, "node-0");
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (phase, phase_rx) = watch::channel(ServerPhase::Open);
    actix_rt::spawn(async move {
        let served = http_server::serve(listener, api, phase_rx, Workers::start(1)).await;
        drop(phase);
        served.expect("the listener can be registered");
    });
    address
}

#[actix_rt::test]
async fn refusals_are_counted_by_kind_and_no_token_is_printed() {
    let target = refusing_node().to_string();
    let args = [
        "--target",
        &target,
        "--search",
        "dispatch",
        "--booking",
        "crew-booking",
        "--booking-share",
        "0.5",
        "--rate",
        "50",
        "--seconds",
        "1",
        "--json",
    ];

    let output = load(&args, WORKSPACES).await;

    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a report");
    let progress = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{progress}");
    assert_eq!(report["requests"], 50);
    assert_eq!(report["refusals"]["not-configured"], 50);
    assert_eq!(report["lost"], 0);
    assert!(progress.contains("ended"), "{progress}");
    assert!(!progress.contains("token-of"), "{progress}");
}

#[actix_rt::test]
async fn requests_to_an_address_without_a_listener_are_counted_as_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let unused = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    drop(listener);

    let output = load(
        &[
            "--target",
            &unused,
            "--search",
            "s",
            "--rate",
            "20",
            "--seconds",
            "1",
            "--json",
        ],
        WORKSPACES,
    )
    .await;

    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a report");
    assert_eq!(
        (&report["requests"], &report["lost"]),
        (&20.into(), &20.into())
    );
}

#[actix_rt::test]
async fn invalid_options_exit_with_2_name_the_option_and_print_no_token() {
    let base = ["--target", "127.0.0.1:1", "--search", "s"];
    let with = |extra: &[&'static str]| [&base[..], extra].concat();
    let cases = [
        (vec!["--search", "s"], WORKSPACES, "--target"),
        (
            vec!["--target", "node-1", "--search", "s"],
            WORKSPACES,
            "--target",
        ),
        (with(&["--rate", "0"]), WORKSPACES, "--rate"),
        (with(&["--rate", "20001"]), WORKSPACES, "--rate"),
        (with(&["--seconds", "3601"]), WORKSPACES, "--seconds"),
        (with(&["--deadline-ms", "0"]), WORKSPACES, "--deadline-ms"),
        (
            with(&["--booking-share", "1.5"]),
            WORKSPACES,
            "--booking-share",
        ),
        (with(&["--booking-share", "0.5"]), WORKSPACES, "--booking"),
        (with(&[]), "", "MEDLARCTL_TENANTS"),
        (with(&[]), "firm-0:token-of-firm-0:0", "MEDLARCTL_TENANTS"),
        (with(&[]), "token-of-firm-0", "MEDLARCTL_TENANTS"),
    ];

    let mut outputs = Vec::new();
    for (args, workspaces, name) in &cases {
        outputs.push((*name, load(args, workspaces).await));
    }

    for (name, output) in outputs {
        let printed = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{printed}");
        assert!(printed.contains(name), "{printed}");
        assert!(!printed.contains("token-of"), "{printed}");
    }
}

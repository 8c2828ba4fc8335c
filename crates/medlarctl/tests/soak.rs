//! Guards against a soak that does not run, that leaves processes behind, or whose proxy injects no faults, and against
//! violated invariants in one short seeded run.

use medlarctl::{
    loopback_proxy::{LinkFault, LoopbackProxy},
    soak_schedule::{ScheduleOptions, generate_schedule},
};
use std::{
    io::Write as _,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Time that a test waits for an event that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without a reply after which a link counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

fn medlarctl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    command.args(arguments).stdin(Stdio::piped());
    command
}

/// Path of the node's program. It is built here, because the tests of this package alone don't build it.
fn node_program() -> PathBuf {
    let profile = if cfg!(debug_assertions) {
        "dev"
    } else {
        "release"
    };
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "--package", "medlarpost"])
        .args(["--profile", profile])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo runs");
    assert!(built.success(), "the node can't be built");
    PathBuf::from(env!("CARGO_BIN_EXE_medlarctl")).with_file_name("medlarpost")
}

fn schedule_options() -> ScheduleOptions {
    ScheduleOptions {
        nodes: 3,
        upstreams: 14,
        zones: 3,
        end: Duration::from_mins(10),
    }
}

fn wait_for_exit(child: &mut Child) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < EVENT_TIMEOUT {
        if child
            .try_wait()
            .expect("the child can be waited for")
            .is_some()
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Starts a server that sends back what it reads, and a proxy to it. Returns the address of the proxy.
async fn echo_behind_proxy(ip: &str) -> (LoopbackProxy, SocketAddr) {
    let listener = TcpListener::bind((ip, 0))
        .await
        .expect("the address has a free port");
    let target = listener.local_addr().expect("the listener has an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                // Returns when the connection ends.
                let _ended = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let address = SocketAddr::new(target.ip(), target.port().wrapping_sub(1).max(1_024));
    let proxy = LoopbackProxy::start(address, target).await;
    (proxy.expect("the port is free"), address)
}

/// Sends a byte and returns the reply; `None` if the connection ends or stays silent.
async fn echo(stream: &mut TcpStream) -> Option<u8> {
    stream.write_all(&[7]).await.ok()?;
    let mut byte = [0];
    let read = tokio::time::timeout(SILENCE_TIMEOUT, stream.read_exact(&mut byte)).await;
    read.ok()?.ok().map(|_length| byte[0])
}

/// Guards against faults that only real processes show. The schedule of faults is the same each time, and the
/// invariants do not depend on timing.
#[test]
fn short_run_with_real_processes_violates_no_invariant() {
    let program = node_program();
    let logs = tempfile::tempdir().expect("a directory can be made");
    let arguments = ["soak", "--seeds", "3", "--seconds", "28", "--json"];
    let mut command = medlarctl(&arguments);
    command
        .arg("--program")
        .arg(&program)
        .arg("--logs")
        .arg(logs.path());

    let output = command.output().expect("the program starts");

    let text = String::from_utf8_lossy(&output.stdout);
    let report: serde_json::Value =
        serde_json::from_str(&text).expect("the report is one JSON object");
    assert_eq!(report["findings"], serde_json::json!([]));
    assert!(output.status.success(), "{output:?}");
    assert!(report["served"].as_u64() > Some(100), "{report}");
}

/// Guards against nodes that go on running after the soak was killed.
#[test]
fn guard_kills_the_processes_that_a_killed_soak_left_running() {
    let spawn = |arguments: &[&str]| medlarctl(arguments).spawn().expect("the program starts");
    let mut left_running = spawn(&["stand-in-store", "--address", "127.71.0.1:18082"]);
    let mut ended = spawn(&["stand-in-store", "--address", "127.71.0.2:18082"]);
    let mut guard = spawn(&["soak-guard"]);
    let mut commands = guard.stdin.take().expect("standard input is piped");
    for line in [
        format!("started {}", left_running.id()),
        format!("started {}", ended.id()),
        format!("ended {}", ended.id()),
    ] {
        writeln!(commands, "{line}").expect("the guard reads");
    }

    drop(commands);

    assert!(wait_for_exit(&mut guard) && wait_for_exit(&mut left_running));
    assert_eq!(ended.try_wait().expect("the child can be waited for"), None);
    drop(ended.stdin.take());
    assert!(
        wait_for_exit(&mut ended),
        "a stand-in ends with its standard input"
    );
}

/// Guards against a guard that kills processes after an orderly end, in which the soak has ended its own.
#[test]
fn guard_kills_nothing_after_an_orderly_end() {
    let mut running = medlarctl(&["stand-in-store", "--address", "127.71.0.3:18082"])
        .spawn()
        .expect("the program starts");
    let mut guard = medlarctl(&["soak-guard"])
        .spawn()
        .expect("the program starts");
    let mut commands = guard.stdin.take().expect("standard input is piped");

    write!(commands, "started {}\ndone\n", running.id()).expect("the guard reads");
    drop(commands);

    assert!(wait_for_exit(&mut guard));
    assert_eq!(
        running.try_wait().expect("the child can be waited for"),
        None
    );
    drop(running.stdin.take());
    assert!(wait_for_exit(&mut running));
}

#[test]
fn schedule_of_a_seed_is_the_same_each_time() {
    let (first, again) = (
        generate_schedule(&schedule_options(), 7),
        generate_schedule(&schedule_options(), 7),
    );

    assert_eq!(first, again);
    assert_ne!(first, generate_schedule(&schedule_options(), 8));
    assert!(first.iter().all(|(at, _)| *at < schedule_options().end));
}

#[test]
fn long_schedule_has_faults_of_every_kind() {
    let name = |fault: &dyn std::fmt::Display| {
        let text = fault.to_string();
        text.split('(').next().unwrap_or_default().to_owned()
    };

    let faults = generate_schedule(&schedule_options(), 1);

    let kinds: std::collections::BTreeSet<_> = faults.iter().map(|(_, f)| name(f)).collect();
    assert_eq!(kinds.len(), 19, "{kinds:?}");
}

#[actix_rt::test]
async fn silent_link_silences_open_connections_only() {
    let (proxy, address) = echo_behind_proxy("127.71.0.4").await;
    let mut open = TcpStream::connect(address)
        .await
        .expect("the proxy listens");
    let before = echo(&mut open).await;

    proxy.set_fault(LinkFault::Silent);
    let silent = echo(&mut open).await;
    proxy.set_fault(LinkFault::None);
    let after = echo(&mut open).await;
    let mut new = TcpStream::connect(address)
        .await
        .expect("the proxy listens");

    assert_eq!((before, silent, after), (Some(7), None, None));
    assert_eq!(echo(&mut new).await, Some(7));
}

#[actix_rt::test]
async fn reset_link_ends_open_and_new_connections() {
    let (proxy, address) = echo_behind_proxy("127.71.0.5").await;
    let mut open = TcpStream::connect(address)
        .await
        .expect("the proxy listens");
    let before = echo(&mut open).await;

    proxy.set_fault(LinkFault::Reset);
    let after = echo(&mut open).await;
    let mut new = TcpStream::connect(address)
        .await
        .expect("the proxy listens");

    assert_eq!((before, after, echo(&mut new).await), (Some(7), None, None));
}

#[actix_rt::test]
async fn one_way_link_drops_replies_while_the_fault_lasts() {
    let (proxy, address) = echo_behind_proxy("127.71.0.6").await;
    let mut open = TcpStream::connect(address)
        .await
        .expect("the proxy listens");

    proxy.set_fault(LinkFault::OneWay);
    let lost = echo(&mut open).await;
    proxy.set_fault(LinkFault::None);

    assert_eq!((lost, echo(&mut open).await), (None, Some(7)));
}

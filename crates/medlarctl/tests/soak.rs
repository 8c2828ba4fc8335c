//! Guards against a soak that does not run, that leaves processes behind, or whose proxy harms nothing, and plays one
//! short seeded run.

use medlarctl::{
    loopback_proxy::{LinkFault, LoopbackProxy},
    soak_schedule::{ScheduleTerms, schedule},
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

/// Most time that a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time after which something that must not come counts as not coming.
const SILENCE: Duration = Duration::from_millis(300);

fn medlarctl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    command.args(arguments).stdin(Stdio::piped());
    command
}

/// The node's program, which a build of the whole workspace puts beside the one under test.
fn node_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_medlarctl")).with_file_name("medlarpost")
}

fn terms() -> ScheduleTerms {
    ScheduleTerms {
        nodes: 3,
        upstreams: 14,
        zones: 3,
        end: Duration::from_mins(10),
    }
}

fn wait(child: &mut Child) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < PATIENCE {
        if child.try_wait().expect("it is a child").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A server that sends back what it reads, and a proxy to it.
async fn echo_behind_proxy(ip: &str) -> (LoopbackProxy, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).await.expect("a port is free");
    let target = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                // Ends with the connection.
                let _ended = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let address = SocketAddr::new(target.ip(), target.port().wrapping_sub(1).max(1_024));
    let proxy = LoopbackProxy::start(address, target).await;
    (proxy.expect("the port is free"), address)
}

async fn echo(stream: &mut TcpStream) -> Option<u8> {
    stream.write_all(&[7]).await.ok()?;
    let mut byte = [0];
    let read = tokio::time::timeout(SILENCE, stream.read_exact(&mut byte)).await;
    read.ok()?.ok().map(|_length| byte[0])
}

/// Guards against a fault that a short run with real processes shows. The schedule is the same each time; what must
/// hold does not depend on the time that anything takes.
#[test]
fn a_short_run_breaks_no_promise() {
    let program = node_program();
    let logs = tempfile::tempdir().expect("a directory");
    let arguments = ["soak", "--seeds", "3", "--seconds", "28", "--json"];
    let mut command = medlarctl(&arguments);
    command
        .arg("--program")
        .arg(&program)
        .arg("--logs")
        .arg(logs.path());

    let output = command.output().expect("the program starts");

    let text = String::from_utf8_lossy(&output.stdout);
    let report: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    assert_eq!(report["findings"], serde_json::json!([]));
    assert!(output.status.success(), "{output:?}");
    assert!(report["served"].as_u64() > Some(100), "{report}");
}

/// Guards against nodes that outlive a soak which was killed.
#[test]
fn the_guard_kills_what_a_killed_soak_leaves() {
    let spawn = |arguments: &[&str]| medlarctl(arguments).spawn().expect("the program starts");
    let mut left = spawn(&["stand-in-store", "--address", "127.71.0.1:18082"]);
    let mut ended = spawn(&["stand-in-store", "--address", "127.71.0.2:18082"]);
    let mut guard = spawn(&["soak-guard"]);
    let mut orders = guard.stdin.take().expect("it is piped");
    for line in [
        format!("started {}", left.id()),
        format!("started {}", ended.id()),
        format!("ended {}", ended.id()),
    ] {
        writeln!(orders, "{line}").expect("the guard reads");
    }

    drop(orders);

    assert!(wait(&mut guard) && wait(&mut left));
    assert_eq!(ended.try_wait().expect("it is a child"), None);
    drop(ended.stdin.take());
    assert!(wait(&mut ended), "a stand-in ends with its standard input");
}

/// Guards against a guard that kills what an orderly end has already ended.
#[test]
fn the_guard_kills_nothing_after_an_orderly_end() {
    let mut other = medlarctl(&["stand-in-store", "--address", "127.71.0.3:18082"])
        .spawn()
        .expect("the program starts");
    let mut guard = medlarctl(&["soak-guard"]).spawn().expect("it starts");
    let mut orders = guard.stdin.take().expect("it is piped");

    write!(orders, "started {}\ndone\n", other.id()).expect("the guard reads");
    drop(orders);

    assert!(wait(&mut guard));
    assert_eq!(other.try_wait().expect("it is a child"), None);
    drop(other.stdin.take());
    assert!(wait(&mut other));
}

#[test]
fn the_schedule_of_a_seed_is_the_same_each_time() {
    let (first, again) = (schedule(&terms(), 7), schedule(&terms(), 7));

    assert_eq!(first, again);
    assert_ne!(first, schedule(&terms(), 8));
    assert!(first.iter().all(|(at, _)| *at < terms().end));
}

#[test]
fn a_long_schedule_has_faults_of_every_kind() {
    let name = |fault: &dyn std::fmt::Display| {
        let text = fault.to_string();
        text.split('(').next().unwrap_or_default().to_owned()
    };

    let steps = schedule(&terms(), 1);

    let kinds: std::collections::BTreeSet<_> = steps.iter().map(|(_, f)| name(f)).collect();
    assert_eq!(kinds.len(), 16, "{kinds:?}");
}

#[actix_rt::test]
async fn a_silent_link_silences_open_connections_only() {
    let (proxy, address) = echo_behind_proxy("127.71.0.4").await;
    let mut open = TcpStream::connect(address).await.expect("it listens");
    let before = echo(&mut open).await;

    proxy.harm(LinkFault::Silent);
    let silent = echo(&mut open).await;
    proxy.harm(LinkFault::None);
    let after = echo(&mut open).await;
    let mut new = TcpStream::connect(address).await.expect("it listens");

    assert_eq!((before, silent, after), (Some(7), None, None));
    assert_eq!(echo(&mut new).await, Some(7));
}

#[actix_rt::test]
async fn a_reset_link_ends_open_and_new_connections() {
    let (proxy, address) = echo_behind_proxy("127.71.0.5").await;
    let mut open = TcpStream::connect(address).await.expect("it listens");
    let before = echo(&mut open).await;

    proxy.harm(LinkFault::Reset);
    let after = echo(&mut open).await;
    let mut new = TcpStream::connect(address).await.expect("it listens");

    assert_eq!((before, after, echo(&mut new).await), (Some(7), None, None));
}

#[actix_rt::test]
async fn a_one_way_link_loses_replies_while_it_lasts() {
    let (proxy, address) = echo_behind_proxy("127.71.0.6").await;
    let mut open = TcpStream::connect(address).await.expect("it listens");

    proxy.harm(LinkFault::OneWay);
    let lost = echo(&mut open).await;
    proxy.harm(LinkFault::None);

    assert_eq!((lost, echo(&mut open).await), (None, Some(7)));
}

//! Guards against a process that ends without its last log lines: the line of its stop, or the reason why it could not
//! run. They are written by a thread of their own, which ends with the process.

use medlarpost_fakes::prelude::OwnerKeys;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    io::{BufRead, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    thread,
};
use tempfile::NamedTempFile;

/// Stops of each interface. One stop shows a lost line only now and then.
const STOP_COUNT: u8 = 12;

const CALLERS_PORT: u16 = 18_090;
const READINESS_PORT: u16 = 18_091;
/// Port of the store or platform, on which nothing listens.
const UNUSED_PORT: u16 = 18_092;

/// A process, and its settings file if it has one.
struct StartedProcess {
    child: Child,
    _settings: Option<NamedTempFile>,
}

/// Output of a process that was stopped as soon as it had started.
struct StoppedProcess {
    success: bool,
    log: String,
}

/// Waits until the process has logged its start, sends SIGTERM, and reads its log to the end.
fn stop_after_start(mut process: StartedProcess) -> StoppedProcess {
    let child = &mut process.child;
    let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut log = String::new();
    read_until(&mut output, &mut log, "event=node_started");
    kill_process(Pid::from_child(child), Signal::TERM).expect("the process runs");
    output.read_to_string(&mut log).expect("log lines are text");
    let status = child.wait().expect("the process is a child");
    StoppedProcess {
        success: status.success(),
        log,
    }
}

/// Reads log lines until one has this text.
fn read_until(output: &mut impl BufRead, log: &mut String, text: &str) {
    while !log.contains(text) {
        let read = output.read_line(log).expect("log lines are text");
        assert!(read > 0, "the process ended before {text}: {log}");
    }
}

fn stop_all(start: fn(u8) -> StartedProcess) -> Vec<StoppedProcess> {
    let stops =
        (1..=STOP_COUNT).map(|number| thread::spawn(move || stop_after_start(start(number))));
    let stops: Vec<_> = stops.collect();
    stops
        .into_iter()
        .map(|stop| stop.join().expect("the process starts"))
        .collect()
}

fn assert_last_line_is_stop(stopped: &[StoppedProcess]) {
    for process in stopped {
        let last = process.log.lines().last().unwrap_or_default();
        assert!(last.contains("event=node_stopped"), "{}", process.log);
        assert!(process.success, "{}", process.log);
    }
}

/// Starts a node on the users' platform with an address of its own. Nothing listens on the store's port.
fn start_platform_node(number: u8) -> StartedProcess {
    let settings = settings_file(&format!("127.71.0.{number}"));
    let child = platform_command(&settings)
        .spawn()
        .expect("the built program can be started");
    StartedProcess {
        child,
        _settings: Some(settings),
    }
}

fn platform_command(settings: &NamedTempFile) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarpost"));
    command
        .env_clear()
        .env("MEDLARPOST_SETTINGS", settings.path())
        .stdout(Stdio::piped());
    command
}

fn settings_file(ip: &str) -> NamedTempFile {
    let store = format!("{ip}:{UNUSED_PORT}").parse().expect("an address");
    let settings = medlarpost_stand_in::settings(
        ("node-1", ip, "z-a"),
        (CALLERS_PORT, READINESS_PORT),
        store,
        &[],
        &[("graceS", "1")],
    );
    let mut file = NamedTempFile::new().expect("a temporary file can be made");
    file.write_all(settings.as_bytes())
        .expect("the file can be written");
    file
}

/// Starts a node of the product's own interface. Nothing listens on the platform's port.
fn start_own_node(number: u8) -> StartedProcess {
    let address = |port| SocketAddr::from(([127, 72, 0, number], port)).to_string();
    let keys = OwnerKeys::from_seed(7);
    let owner = |number| {
        let key = keys.signing_key(number).verifying_key().to_bytes();
        key.map(|byte| format!("{byte:02x}")).concat()
    };
    let variables = [
        ("NAME", "node-1".to_owned()),
        ("ZONE", "z-a".to_owned()),
        ("CALLER_ADDRESS", address(18_093)),
        ("ADMIN_ADDRESS", address(18_094)),
        ("LINK_ADDRESS", address(18_095)),
        ("PLATFORM", address(UNUSED_PORT)),
        ("ADMIN_TOKEN", "token-of-the-administrators".to_owned()),
        ("FLEET_KEY", "01".repeat(32)),
        ("FIRST_OWNER", owner(0)),
        ("SECOND_OWNER", owner(1)),
        ("BALANCER_LAG_MS", "100".to_owned()),
        ("WORKERS", "1".to_owned()),
    ];
    let child = Command::new(env!("CARGO_BIN_EXE_medlarpost"))
        .env_clear()
        .envs(variables.map(|(name, value)| (format!("MEDLARPOST_{name}"), value)))
        .stdout(Stdio::piped())
        .spawn()
        .expect("the built program can be started");
    StartedProcess {
        child,
        _settings: None,
    }
}

#[test]
fn nodes_on_the_platform_log_their_stop() {
    let stopped = stop_all(start_platform_node);

    assert_last_line_is_stop(&stopped);
}

/// Guards against a second signal that ends the process at once, moves its end, or reloads a node that stops.
#[test]
fn signals_during_a_stop_are_logged_and_ignored() {
    let mut process = start_platform_node(STOP_COUNT + 1);
    let child = &mut process.child;
    let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut log = String::new();
    let pid = Pid::from_child(child);
    read_until(&mut output, &mut log, "event=node_started");
    kill_process(pid, Signal::TERM).expect("the process runs");
    read_until(&mut output, &mut log, "event=node_draining");

    for signal in [Signal::TERM, Signal::HUP] {
        kill_process(pid, signal).expect("the process runs");
    }

    output.read_to_string(&mut log).expect("log lines are text");
    let success = child.wait().expect("the process is a child").success();
    assert_eq!(log.matches("event=signal_ignored").count(), 2, "{log}");
    assert!(!log.contains("event=settings_reloaded"), "{log}");
    assert_last_line_is_stop(&[StoppedProcess { success, log }]);
}

#[test]
fn nodes_of_the_own_interface_log_their_stop() {
    let stopped = stop_all(start_own_node);

    assert_last_line_is_stop(&stopped);
}

#[test]
fn a_node_that_cannot_listen_logs_the_reason() {
    let ip = "127.71.2.1";
    let taken = TcpListener::bind((ip, CALLERS_PORT)).expect("the port is free");
    let settings = settings_file(ip);

    let output = platform_command(&settings)
        .output()
        .expect("the built program can be started");

    let log = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(log.contains("event=node_failed"), "{log}");
    assert!(log.contains(&format!("{ip}:{CALLERS_PORT}")), "{log}");
    drop(taken);
}

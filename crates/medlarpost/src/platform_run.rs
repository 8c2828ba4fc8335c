//! Runs a node on the users' platform until a stop signal arrives. SIGHUP reloads the settings file.

use crate::run::{EXIT_INVALID_SETTINGS, StopSignals, await_signal, finish, start_log_queue};
use medlarpost_node::{
    admin_token::{AdminToken, MIN_ADMIN_TOKEN_BYTES},
    forward_node::{ForwardNode, ForwardNodeSettings},
    key_value_drain,
    prelude::NodeError,
};
use medlarpost_platform::{PlatformDialect, PlatformSettings, PlatformStore};
use slog::{Level, Logger, error, o, warn};
use std::{path::Path, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

/// Environment variable with the administrators' token.
const ADMIN_TOKEN_VARIABLE: &str = "MEDLARPOST_ADMIN_TOKEN";

/// Reads the platform's settings file, runs the node until SIGTERM or SIGINT, drains it, and returns the exit code.
pub(crate) fn run(path: &Path) -> ExitCode {
    let settings = match PlatformSettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let Some(queue) = start_log_queue() else {
        return ExitCode::FAILURE;
    };
    let log = key_value_drain::queued_logger(Level::Info, queue.clone())
        .new(o!("node" => settings.node_name().to_owned()));
    let result = actix_rt::System::new().block_on(run_node(path, &settings, log.clone()));
    finish(result, &log, &queue)
}

async fn run_node(path: &Path, settings: &PlatformSettings, log: Logger) -> Result<(), NodeError> {
    let seed = random_seed();
    let store = PlatformStore::new(settings.store_address());
    let mut stop = StopSignals::install();
    let mut hangup = signal(SignalKind::hangup()).ok();
    let node_settings = ForwardNodeSettings {
        admin_token: read_admin_token(&log),
        ..settings.node_settings(seed)
    };
    let node = ForwardNode::bind(node_settings, log.clone())?;
    let mut node = node.start(PlatformDialect, store)?;
    loop {
        tokio::select! {
            () = stop.received() => break,
            task = node.failed_task() => return Err(NodeError::TaskFailed { task }),
            () = await_signal(&mut hangup) => match PlatformSettings::read(path) {
                Ok(settings) => node.reload(&settings.node_settings(seed)),
                Err(error) => error!(log, "settings_unreadable"; "fault" => %error),
            },
        }
    }
    let drain = node.drain();
    tokio::pin!(drain);
    loop {
        tokio::select! {
            _all_closed = &mut drain => return Ok(()),
            () = stop.received() => warn!(log, "signal_ignored"; "reason" => "the node is stopping already"),
            () = await_signal(&mut hangup) => warn!(log, "signal_ignored"; "reason" => "a stopping node reloads nothing"),
        }
    }
}

/// Administrators' token from the environment. One that is too short is ignored, so that a node which serves callers
/// starts anyway.
fn read_admin_token(log: &Logger) -> AdminToken {
    let token = std::env::var(ADMIN_TOKEN_VARIABLE).ok();
    if token
        .as_ref()
        .is_some_and(|token| token.len() < MIN_ADMIN_TOKEN_BYTES)
    {
        warn!(log, "admin_token_ignored"; "variable" => ADMIN_TOKEN_VARIABLE, "min_bytes" => MIN_ADMIN_TOKEN_BYTES);
        return AdminToken::default();
    }
    AdminToken::for_token(token.as_deref())
}

/// Seed for random choices. It need not be unpredictable but should differ between nodes, so the process id is good
/// enough if the operating system provides no random numbers.
fn random_seed() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => std::process::id().into(),
    }
}

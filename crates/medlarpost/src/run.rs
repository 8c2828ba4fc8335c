//! Runs a node until it is told to stop.

use crate::{
    flags::Medlarpost,
    platform_run,
    settings_reader::{self, StartValues},
};
use medlarpost_node::{
    key_value_drain,
    log_queue::LogQueue,
    node::Node,
    prelude::{NodeError, Settings},
    tls::TlsConfigs,
};
use slog::Logger;
use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that can't be used.
pub(crate) const EXIT_SETTINGS: u8 = 2;

/// Variable that holds the path of the platform's settings file.
const PLATFORM_SETTINGS: &str = "MEDLARPOST_SETTINGS";

/// Reads the settings, runs the node until SIGTERM or SIGINT, drains it, and gives the exit code.
///
/// Exit codes: 0 after a graceful stop, 1 if the node can't run, 2 for bad settings.
pub fn run() -> ExitCode {
    let flags = Medlarpost::from_env_or_exit();
    let settings_path = flags
        .settings
        .clone()
        .or_else(|| std::env::var_os(PLATFORM_SETTINGS).map(Into::into));
    if let Some(path) = settings_path {
        return platform_run::run(&path);
    }
    let Some(start) = start_values() else {
        eprintln!("error: the system has no random numbers; check the VM");
        return ExitCode::FAILURE;
    };
    let (settings, level, tls) =
        match settings_reader::read(&flags, &|name| std::env::var(name).ok(), start) {
            Ok(read) => read,
            Err(faults) => {
                for fault in faults {
                    eprintln!("error: {fault}");
                }
                return ExitCode::from(EXIT_SETTINGS);
            }
        };
    let Some(queue) = log_queue() else {
        return ExitCode::FAILURE;
    };
    let log = key_value_drain::queued_logger(level, queue);
    match actix_rt::System::new().block_on(run_node(settings, tls, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("error: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run_node(settings: Settings, tls: TlsConfigs, log: Logger) -> Result<(), NodeError> {
    let node = Node::bind(settings, log)?.with_tls(tls).start()?;
    stop_signal().await;
    node.drain().await.stop().await;
    Ok(())
}

pub(crate) async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// The queue to standard output, or `None` after an error line.
pub(crate) fn log_queue() -> Option<LogQueue> {
    match LogQueue::start(std::io::stdout()) {
        Ok(queue) => Some(queue),
        Err(fault) => {
            eprintln!("error: no thread for the log: {fault}; raise the limit of threads");
            None
        }
    }
}

/// Start number and ticket key. The number is the wall clock in microseconds, so that two starts of a node differ.
fn start_values() -> Option<StartValues> {
    let mut ticket_key = [0; 32];
    getrandom::fill(&mut ticket_key).ok()?;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Some(StartValues {
        ticket_key,
        start: since_epoch.as_micros() as u64,
    })
}

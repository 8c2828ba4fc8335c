//! Runs a node on the users' platform until it is told to stop.

use crate::run::{EXIT_SETTINGS, log_queue, stop_signal};
use medlarpost_node::{forward_node::ForwardNode, key_value_drain, prelude::NodeError};
use medlarpost_platform::{PlatformDialect, PlatformSettings, PlatformStore};
use slog::{Level, Logger, error, o};
use std::{path::Path, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

/// Reads the platform's settings file, runs the node until SIGTERM or SIGINT, drains it, and gives the exit code.
pub(crate) fn run(path: &Path) -> ExitCode {
    let settings = match PlatformSettings::read(path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("error: {fault}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let Some(queue) = log_queue() else {
        return ExitCode::FAILURE;
    };
    let log = key_value_drain::queued_logger(Level::Info, queue)
        .new(o!("node" => settings.node_name().to_owned()));
    match actix_rt::System::new().block_on(run_node(path, &settings, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("error: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run_node(path: &Path, settings: &PlatformSettings, log: Logger) -> Result<(), NodeError> {
    let seed = random_seed();
    let store = PlatformStore::new(settings.store_address());
    let node = ForwardNode::bind(settings.node_settings(seed), log.clone())?;
    let mut node = node.start(PlatformDialect, store)?;
    let mut reload = signal(SignalKind::hangup()).ok();
    let stop = stop_signal();
    tokio::pin!(stop);
    loop {
        let hangup = async {
            match &mut reload {
                Some(reload) => reload.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = &mut stop => break,
            _signal = hangup => match PlatformSettings::read(path) {
                Ok(settings) => node.reload(&settings.node_settings(seed)),
                Err(fault) => error!(log, "settings_unreadable"; "fault" => %fault),
            },
        }
    }
    node.drain().await;
    Ok(())
}

/// Random choices need not be unpredictable, but nodes should differ.
fn random_seed() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => std::process::id().into(),
    }
}

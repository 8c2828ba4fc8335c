//! Runs a node until a stop signal arrives.

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
use slog::{Logger, error};
use std::{
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for settings that are missing or invalid.
pub(crate) const EXIT_INVALID_SETTINGS: u8 = 2;

/// Longest wait at the end of the process for the reader of standard output. Shorter than the margin that a node leaves
/// between its last answer and the platform's SIGKILL.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Environment variable with the path of the platform's settings file; used if `--settings` is not given.
const PLATFORM_SETTINGS_VARIABLE: &str = "MEDLARPOST_SETTINGS";

/// Reads the settings, runs the node until SIGTERM or SIGINT, drains it, and returns the exit code.
///
/// Exit codes: 0 after a graceful stop, 1 if the node can't run, 2 if settings are missing or invalid.
pub fn run() -> ExitCode {
    let flags = Medlarpost::from_env_or_exit();
    let settings_path = flags
        .settings
        .clone()
        .or_else(|| std::env::var_os(PLATFORM_SETTINGS_VARIABLE).map(Into::into));
    if let Some(path) = settings_path {
        return platform_run::run(&path);
    }
    let Some(start) = start_values() else {
        eprintln!("error: the operating system provides no random numbers; check the VM");
        return ExitCode::FAILURE;
    };
    let (settings, level, tls) =
        match settings_reader::parse_settings(&flags, &|name| std::env::var(name).ok(), start) {
            Ok(read) => read,
            Err(errors) => {
                for error in errors {
                    eprintln!("error: {error}");
                }
                return ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        };
    let Some(queue) = start_log_queue() else {
        return ExitCode::FAILURE;
    };
    let log = key_value_drain::queued_logger(level, queue.clone());
    let result = actix_rt::System::new().block_on(run_node(settings, tls, log.clone()));
    finish(result, &log, &queue)
}

async fn run_node(settings: Settings, tls: TlsConfigs, log: Logger) -> Result<(), NodeError> {
    let mut stop = StopSignals::install();
    let node = Node::bind(settings, log)?.with_tls(tls).start()?;
    stop.received().await;
    node.drain().await.stop().await;
    Ok(())
}

/// Logs the reason if a node could not run, writes out all queued log lines, and returns the exit code. The process ends
/// right after this, and with it the thread that writes the lines.
pub(crate) fn finish(result: Result<(), NodeError>, log: &Logger, queue: &LogQueue) -> ExitCode {
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!(log, "node_failed"; "fault" => %fault);
            eprintln!("error: {fault}");
            ExitCode::FAILURE
        }
    };
    if !queue.flush(LOG_FLUSH_TIMEOUT) {
        eprintln!("warning: standard output is blocked or closed; the last log lines are lost");
    }
    code
}

/// Signals that stop a node.
pub(crate) struct StopSignals {
    terminate: Option<Signal>,
    interrupt: Option<Signal>,
}

impl StopSignals {
    /// Installs the handlers. Until then a stop signal ends the process at once.
    pub(crate) fn install() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).ok(),
            interrupt: signal(SignalKind::interrupt()).ok(),
        }
    }

    /// Waits until one of the signals arrives.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            () = await_signal(&mut self.terminate) => {}
            () = await_signal(&mut self.interrupt) => {}
        }
    }
}

/// Waits for the next signal of a kind; forever if its handler could not be installed.
pub(crate) async fn await_signal(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            // `None` would mean that the runtime's signal driver has ended, which it does not.
            let _received = signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

/// Starts the log queue to standard output; prints an error and returns `None` if that fails.
pub(crate) fn start_log_queue() -> Option<LogQueue> {
    match LogQueue::start(std::io::stdout()) {
        Ok(queue) => Some(queue),
        Err(error) => {
            eprintln!("error: can't start the log thread: {error}; raise the thread limit");
            None
        }
    }
}

/// Generates the ticket key and the start number. The number is the wall clock in microseconds, so that it differs
/// between two starts of a node.
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

//! A child process of a soak.

use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::File,
    io,
    path::Path,
    process::{ExitStatus, Stdio},
};
use tokio::{
    io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader},
    process::{Child, ChildStdin, Command},
    sync::mpsc,
};

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    child: Child,
    commands: Option<ChildStdin>,
    id: u32,
}

impl SoakProcess {
    /// Starts a program that takes commands on standard input, and sends each line of its standard output to `reports`.
    pub(crate) fn spawn_with_commands(
        program: &Path,
        arguments: &[String],
        reports: mpsc::UnboundedSender<String>,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped());
        let mut process = Self::spawn(command.stdout(Stdio::piped()))?;
        if let Some(output) = process.child.stdout.take() {
            actix_rt::spawn(async move {
                let mut lines = BufReader::new(output).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    // Fails only if the receiver has ended, which it does with the soak.
                    let _ended = reports.send(line);
                }
            });
        }
        Ok(process)
    }

    /// Starts a program with one environment variable, and appends its output to a log file.
    pub(crate) fn spawn_with_log(
        program: &Path,
        variable: (&str, &Path),
        log: &Path,
    ) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        let (name, value) = variable;
        command.env(name, value).stdin(Stdio::null());
        Self::spawn(command.stderr(log.try_clone()?).stdout(log))
    }

    fn spawn(command: &mut Command) -> io::Result<Self> {
        let mut child = command.kill_on_drop(true).spawn()?;
        Ok(Self {
            id: child.id().unwrap_or_default(),
            commands: child.stdin.take(),
            child,
        })
    }

    /// Process id; still known after the process has ended.
    pub(crate) fn id(&self) -> u32 {
        self.id
    }

    /// Writes a command to standard input; it is lost if the process has ended.
    pub(crate) async fn send_command(&mut self, command: &impl ToString) {
        if let Some(commands) = &mut self.commands {
            let line = format!("{}\n", command.to_string());
            let _ended = commands.write_all(line.as_bytes()).await;
        }
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // Fails if the process has ended in the meantime.
            let _ended = kill_process(pid, signal);
        }
    }

    /// Exit status if the process has ended; does not wait.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end of the process.
    pub(crate) async fn wait(&mut self) -> Option<ExitStatus> {
        self.child.wait().await.ok()
    }
}

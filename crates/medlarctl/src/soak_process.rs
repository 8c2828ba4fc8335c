//! A process of a soak.

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

/// A running process. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    child: Child,
    orders: Option<ChildStdin>,
    id: u32,
}

impl SoakProcess {
    /// Starts a program that takes orders on standard input and reports on standard output, which is sent line by line.
    pub(crate) fn with_orders(
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
                    // The reader ends only with the soak.
                    let _ended = reports.send(line);
                }
            });
        }
        Ok(process)
    }

    /// Starts a program that writes its standard output to the end of a file.
    pub(crate) fn with_log(
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
            orders: child.stdin.take(),
            child,
        })
    }

    /// Id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.id
    }

    /// Gives an order; one to a process that has ended is lost.
    pub(crate) async fn order(&mut self, order: &impl ToString) {
        if let Some(orders) = &mut self.orders {
            let line = format!("{}\n", order.to_string());
            let _ended = orders.write_all(line.as_bytes()).await;
        }
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // The process may end at this moment.
            let _ended = kill_process(pid, signal);
        }
    }

    /// Exit status, once the process has ended.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end of the process.
    pub(crate) async fn wait(&mut self) -> Option<ExitStatus> {
        self.child.wait().await.ok()
    }
}

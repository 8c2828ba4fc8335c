//! The state machine of one connection to an upstream, and the task that owns the connection.

use crate::{
    prelude::*,
    upstream_http,
    upstream_task::{ConnectionKey, Job, UpstreamParts},
};
use medlarpost_core::vocabulary;

vocabulary! {
    /// States of `charts/connection.toml`.
    pub enum ConnectionState {
        /// Open or not yet opened, and free for a job.
        Idle = "idle",
        /// Runs a job.
        Busy = "busy",
        /// Runs a job that the engine has cancelled; its connection is kept if the reply still arrives in time.
        Cancelling = "cancelling",
        /// Final state: the connection is dropped.
        Closed = "closed",
    }
}

vocabulary! {
    /// Events of `charts/connection.toml`.
    pub enum ConnectionEvent {
        /// The upstream task assigned a job.
        Job = "job",
        /// A complete reply arrived, whatever its status.
        Replied = "replied",
        /// The engine cancelled the job.
        Cancel = "cancel",
        /// No reply arrived by the deadline of the job, or by the shorter one of a cancelled job.
        TimedOut = "timed_out",
        /// The connection could not be opened or was lost.
        Broken = "broken",
        /// The connection may be dead: another one to the same upstream timed out, or it was idle too long for a
        /// booking.
        Suspected = "suspected",
        /// The upstream is retired; no more jobs follow.
        Retired = "retired",
    }
}

vocabulary! {
    /// Actions of `charts/connection.toml`.
    pub enum ConnectionAction {
        /// Hand the job to the connection task.
        Send = "send",
        /// Report the outcome of the attempt to the engine.
        Report = "report",
        /// Mark the connection as idle.
        Release = "release",
        /// Ask the upstream to cancel the attempt, and shorten the deadline of the job.
        CancelUpstream = "cancel_upstream",
        /// Close all idle connections to this upstream.
        SuspectIdle = "suspect_idle",
        /// Drop the connection, which closes its socket.
        Close = "close",
    }
}

/// Machine type of `charts/connection.toml`; it has no guards.
#[derive(Debug)]
pub enum ConnectionMachine {}

impl Machine for ConnectionMachine {
    type Action = ConnectionAction;
    type Event = ConnectionEvent;
    type Guard = Nothing;
    type State = ConnectionState;

    const SOURCE: &'static str = include_str!("../charts/connection.toml");
}

/// A connection as the upstream task sees it; the socket belongs to the connection task.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    pub(crate) tx: mpsc::UnboundedSender<JobCommand>,
    /// Time of the last reply, or of the start of the connection.
    pub(crate) last_reply: Timestamp,
    /// The assigned job until it is handed to the connection task.
    pub(crate) job: Option<Job>,
}

/// Input of a connection task.
#[derive(Debug)]
pub(crate) enum JobCommand {
    Run(Job),
    /// Set an earlier deadline for the running job; a later one is ignored.
    ShortenDeadline(Timestamp),
}

/// Outcome of a job, for the upstream task.
#[derive(Debug)]
pub(crate) struct JobResult {
    pub(crate) connection: ConnectionKey,
    pub(crate) attempt: AttemptKey,
    pub(crate) outcome: Outcome,
    pub(crate) report: Option<LoadReport>,
}

/// Starts a connection task. It ends when the returned sender is dropped; the socket opens with the first job.
pub(crate) fn start(
    key: ConnectionKey,
    parts: &UpstreamParts,
    results: mpsc::UnboundedSender<JobResult>,
) -> mpsc::UnboundedSender<JobCommand> {
    let (tx, rx) = mpsc::unbounded_channel();
    let (spec, node, clock) = (parts.spec.clone(), Arc::clone(&parts.node), parts.clock);
    let client = upstream_http::build_client(&spec, parts.tls.as_ref());
    let connection_guard = parts.metrics.count_connection();
    actix_rt::spawn(async move {
        run(key, client, spec, node, clock, rx, results).await;
        drop(connection_guard);
    });
    tx
}

async fn run(
    key: ConnectionKey,
    client: awc::Client,
    spec: Upstream,
    node: Arc<str>,
    clock: Clock,
    mut rx: mpsc::UnboundedReceiver<JobCommand>,
    results: mpsc::UnboundedSender<JobResult>,
) {
    while let Some(command) = rx.recv().await {
        let JobCommand::Run(job) = command else {
            continue;
        };
        let attempt = job.attempt;
        let mut deadline = job.deadline;
        let exchange = upstream_http::send_job(&client, &spec, &node, clock, &job);
        tokio::pin!(exchange);
        let (outcome, report) = loop {
            tokio::select! {
                ended = &mut exchange => break ended,
                () = tokio::time::sleep_until(clock.instant(deadline)) => break (Outcome::Silent, None),
                command = rx.recv() => match command {
                    Some(JobCommand::ShortenDeadline(at)) => deadline = deadline.min(at),
                    Some(JobCommand::Run(_)) => {}
                    None => return,
                },
            }
        };
        if results
            .send(JobResult {
                connection: key,
                attempt,
                outcome,
                report,
            })
            .is_err()
        {
            return;
        }
    }
}

//! The task that owns one connection to an upstream.

use crate::{
    prelude::*,
    upstream_http,
    upstream_task::{ConnectionKey, Job, UpstreamParts},
};
use medlarpost_core::vocabulary;

vocabulary! {
    /// States of `charts/connection.toml`.
    pub enum ConnectionState {
        /// Can take a job.
        Idle = "idle",
        /// Runs a job.
        Busy = "busy",
        /// Runs a job whose result is no longer wanted.
        Cancelling = "cancelling",
        /// Not used any more.
        Closed = "closed",
    }
}

vocabulary! {
    /// Events of `charts/connection.toml`.
    pub enum ConnectionEvent {
        /// A job is given to the connection.
        Job = "job",
        /// The upstream replied.
        Replied = "replied",
        /// The result is no longer wanted.
        Cancel = "cancel",
        /// No reply in time.
        TimedOut = "timed_out",
        /// The connection was lost or never opened.
        Broken = "broken",
        /// Another connection of the pool went silent.
        Suspected = "suspected",
        /// The upstream is retired.
        Retired = "retired",
    }
}

vocabulary! {
    /// Actions of `charts/connection.toml`.
    pub enum ConnectionAction {
        /// Send the job.
        Send = "send",
        /// Tell the engine how the attempt ended.
        Report = "report",
        /// Offer the connection for the next job.
        Release = "release",
        /// Ask the upstream to cancel.
        CancelUpstream = "cancel_upstream",
        /// Close the idle connections of the pool.
        SuspectIdle = "suspect_idle",
        /// Close the connection.
        Close = "close",
    }
}

/// Machine of one connection.
#[derive(Debug)]
pub enum ConnectionMachine {}

impl Machine for ConnectionMachine {
    type Action = ConnectionAction;
    type Event = ConnectionEvent;
    type Guard = Nothing;
    type State = ConnectionState;

    const SOURCE: &'static str = include_str!("../charts/connection.toml");
}

/// What the upstream task keeps of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    pub(crate) tx: mpsc::UnboundedSender<JobCommand>,
    /// Time of the last reply, or of its making.
    pub(crate) last_reply: Timestamp,
    /// Job between its choice and its sending.
    pub(crate) job: Option<Job>,
}

/// Input of a connection task.
#[derive(Debug)]
pub(crate) enum JobCommand {
    /// Run a job.
    Run(Job),
    /// Give up the running job at this time if that is earlier than its deadline.
    ShortenDeadline(Timestamp),
}

/// The end of a job.
#[derive(Debug)]
pub(crate) struct JobResult {
    pub(crate) connection: ConnectionKey,
    pub(crate) attempt: AttemptKey,
    pub(crate) outcome: Outcome,
    pub(crate) report: Option<LoadReport>,
}

/// Starts the task of a connection. It ends when the returned sender is dropped.
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

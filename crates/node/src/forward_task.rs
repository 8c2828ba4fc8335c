//! The task that owns the forwarder and the pools of connections to upstreams.

use crate::{
    boot_clock::BootClock,
    connection_pool::ConnectionPool,
    dialect::Dialect,
    forward_metrics::ForwardMetrics,
    forward_node::Readiness,
    member_task::Announcement,
    prelude::*,
    reply_memory::{ReplyMemory, ReplySize},
    suspension_detector::SuspensionDetector,
    upstream_connection::{ConnectionParts, ConnectionReport, ForwardJob, UpstreamConnectionKey},
    where_json::{WhereReply, WhereRequest, WhereResult},
};
use actix_http::{ServiceConfig, header::RETRY_AFTER};
use slotmap::{Key as _, SecondaryMap};

/// Input of the forward task.
#[derive(Debug)]
pub enum ForwardMessage {
    /// An event for the forwarder.
    Event(ForwardEvent),
    /// A request from a caller connection.
    Request {
        /// The parsed request.
        request: Arc<ForwardRequest>,
        /// Where the key of the request and its answer go.
        reply: mpsc::UnboundedSender<CallerMessage>,
    },
    /// Report of a connection to an upstream.
    #[expect(private_interfaces, reason = "only the tasks of this crate send it")]
    Connection(ConnectionReport),
    /// The reply to an attempt has grown by a step.
    ReplyGrew {
        /// Attempt whose reply is being read.
        attempt: AttemptKey,
        /// Size of the reply so far.
        size: ReplySize,
    },
    /// Request for a dry run, which changes nothing.
    DryRun(WhereRequest, oneshot::Sender<WhereResult>),
    /// Request for the state of the task.
    Status(oneshot::Sender<ForwardStatus>),
}

/// State of the forward task, for readiness, metrics and graceful stops.
#[derive(Clone, Debug, Default)]
pub struct ForwardStatus {
    /// Whether requests can be answered.
    pub ready: bool,
    /// Number of requests without an answer.
    pub running: usize,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Number of upstreams in each state, by its name.
    pub upstreams: BTreeMap<&'static str, usize>,
    /// Number of connections to upstreams, including those that are still opening.
    pub connections: usize,
}

/// Sends messages to the forward task. The channel needs no bound: each caller connection waits for its answer and each
/// upstream connection for its request, so that the number of connections bounds the queue.
pub type ForwardSender = mpsc::UnboundedSender<ForwardMessage>;

/// Message from the forward task to a caller connection.
#[derive(Debug)]
pub enum CallerMessage {
    /// The forwarder has taken the request under this key.
    Accepted(CallerKey),
    /// The final answer.
    Answer(ForwardAnswer),
}

/// What the forward task is built from.
#[derive(Debug)]
pub struct ForwardParts<D> {
    /// Translates HTTP messages for connections to upstreams.
    pub dialect: D,
    /// Makes all decisions about requests.
    pub forwarder: Forwarder,
    /// Clock of the process.
    pub clock: Clock,
    /// HTTP settings, shared by all connections because each instance keeps a clock of its own.
    pub config: ServiceConfig,
    /// Memory that the replies of upstreams may hold.
    pub reply_memory: ReplyMemory,
    /// Metrics of forwarded requests.
    pub metrics: ForwardMetrics,
    /// Log of the node.
    pub log: Logger,
    /// Limits of the configuration in force, for caller connections.
    pub limits: watch::Sender<CallerLimits>,
    /// Result of the readiness check; this task updates whether requests can be answered.
    pub ready: watch::Sender<Readiness>,
    /// What this node tells the other nodes.
    pub announcements: mpsc::UnboundedSender<Announcement>,
}

/// A caller that waits for its answer.
struct WaitingCaller {
    reply: mpsc::UnboundedSender<CallerMessage>,
    /// Workspace for which the answer is counted, if any.
    workspace: Option<Arc<str>>,
}

struct ForwardTask<D> {
    parts: ForwardParts<D>,
    tx: ForwardSender,
    pools: SecondaryMap<UpstreamKey, ConnectionPool<D>>,
    callers: SlotMap<CallerKey, WaitingCaller>,
    suspensions: SuspensionDetector,
    commands: Vec<ForwardCommand>,
}

/// Runs the forward task until all senders of messages are dropped.
pub async fn run<D: Dialect>(
    parts: ForwardParts<D>,
    tx: ForwardSender,
    mut rx: mpsc::UnboundedReceiver<ForwardMessage>,
) {
    let mut task = ForwardTask {
        parts,
        tx,
        pools: SecondaryMap::new(),
        callers: SlotMap::with_key(),
        suspensions: SuspensionDetector::start(),
        commands: Vec::new(),
    };
    let timer = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(timer);
    loop {
        let wakeup = task.parts.forwarder.next_wakeup();
        if let Some(at) = wakeup {
            let instant = task.parts.clock.instant(at);
            if timer.deadline() != instant {
                timer.as_mut().reset(instant);
            }
        }
        tokio::select! {
            biased;
            message = rx.recv() => match message {
                Some(message) => task.handle_message(message),
                None => return,
            },
            () = &mut timer, if wakeup.is_some() => task.handle_event(ForwardEvent::Wakeup),
        }
    }
}

impl<D: Dialect> ForwardTask<D> {
    fn handle_message(&mut self, message: ForwardMessage) {
        match message {
            ForwardMessage::Event(event) => {
                if let ForwardEvent::Configured(table) = &event {
                    self.parts.limits.send_replace(table.limits);
                }
                if let ForwardEvent::CallerGone(caller) = event {
                    self.callers.remove(caller);
                }
                self.handle_event(event);
                let is_ready = self.parts.forwarder.is_ready();
                self.parts.ready.send_if_modified(|readiness| {
                    let changed = readiness.ready != is_ready;
                    readiness.ready = is_ready;
                    changed
                });
            }
            ForwardMessage::Request { request, reply } => {
                let caller = self.callers.insert(WaitingCaller {
                    reply: reply.clone(),
                    workspace: None,
                });
                // A caller that disconnected also sends `CallerGone`, which removes the entry.
                let _left = reply.send(CallerMessage::Accepted(caller));
                let arrived_at = BootClock::System.now();
                self.handle_event(ForwardEvent::RequestArrived {
                    caller,
                    request,
                    arrived_at,
                });
            }
            ForwardMessage::Connection(report) => self.handle_report(report),
            ForwardMessage::ReplyGrew { attempt, size } => self.handle_growth(attempt, size),
            ForwardMessage::DryRun(request, reply) => {
                // The requester may no longer wait.
                let _gone = reply.send(self.dry_run(request));
            }
            ForwardMessage::Status(reply) => {
                // The requester may no longer wait.
                let _gone = reply.send(self.status());
            }
        }
    }

    fn handle_growth(&mut self, attempt: AttemptKey, size: ReplySize) {
        for (attempt, size) in self.parts.reply_memory.grow(attempt, size) {
            if let Some(pool) = self.pools.get(size.upstream) {
                warn!(self.parts.log, "reply_ended"; "instance" => pool.instance(), "bytes" => size.bytes);
                pool.end_reply(attempt);
            }
        }
    }

    fn handle_report(&mut self, report: ConnectionReport) {
        let upstream = report.upstream;
        let now = self.parts.clock.now();
        if let Some(pool) = self.pools.get_mut(upstream)
            && pool.handle_report(now, &report)
        {
            self.pools.remove(upstream);
        }
        if let Some(end) = report.end {
            self.parts.reply_memory.release(end.attempt);
            self.parts.metrics.record_attempt_end(end.outcome.name());
            self.handle_event(ForwardEvent::AttemptEnded(end));
        }
    }

    fn handle_event(&mut self, event: ForwardEvent) {
        let now = self.parts.clock.now();
        let mut commands = std::mem::take(&mut self.commands);
        if self.suspensions.was_suspended() {
            let interrupted = ForwardEvent::Interrupted;
            self.parts.forwarder.handle(now, interrupted, &mut commands);
        }
        self.parts.forwarder.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(now, command);
        }
        self.commands = commands;
    }

    fn execute(&mut self, now: Timestamp, command: ForwardCommand) {
        match command {
            ForwardCommand::OpenUpstream {
                upstream,
                address,
                instance,
            } => {
                let parts = ConnectionParts {
                    key: UpstreamConnectionKey::null(),
                    upstream,
                    address,
                    instance,
                    dialect: self.parts.dialect.clone(),
                    forward: self.tx.clone(),
                    clock: self.parts.clock,
                    config: self.parts.config.clone(),
                };
                self.pools.insert(upstream, ConnectionPool::new(parts));
            }
            ForwardCommand::CloseUpstream(upstream) => {
                if self
                    .pools
                    .get_mut(upstream)
                    .is_some_and(ConnectionPool::close)
                {
                    self.pools.remove(upstream);
                }
            }
            ForwardCommand::SendAttempt {
                attempt,
                upstream,
                request,
                identity,
                deadline,
                at_most_once,
                report_age,
            } => {
                if let Some(age) = report_age {
                    self.parts.metrics.record_report_age(age);
                }
                let job = ForwardJob {
                    attempt,
                    request,
                    identity,
                    deadline,
                };
                if let Some(pool) = self.pools.get_mut(upstream) {
                    pool.send(now, job, at_most_once);
                }
            }
            ForwardCommand::CancelAttempt { attempt, upstream } => {
                if let Some(pool) = self.pools.get(upstream) {
                    pool.cancel(attempt);
                }
            }
            ForwardCommand::Answer { caller, answer } => {
                if let Some(waiting) = self.callers.remove(caller) {
                    if let Some(workspace) = waiting.workspace {
                        let metrics = &mut self.parts.metrics;
                        metrics.record_workspace_answer(&workspace, answer.name());
                    }
                    // The caller may have disconnected.
                    let _left = waiting.reply.send(CallerMessage::Answer(answer));
                }
            }
            ForwardCommand::CountForWorkspace { caller, workspace } => {
                if let Some(waiting) = self.callers.get_mut(caller) {
                    waiting.workspace = Some(workspace);
                }
            }
            ForwardCommand::AnnounceQuarantine(digest) => {
                self.announce(Announcement::Quarantined(digest));
            }
            ForwardCommand::AnnounceNotice(notice) => self.announce(Announcement::Notice(notice)),
            ForwardCommand::SendQuotaMessage(message) => {
                self.announce(Announcement::Quota(message));
            }
            ForwardCommand::SendObservations(message) => {
                self.announce(Announcement::Observations(message));
            }
            ForwardCommand::Record(telemetry) => {
                self.parts.metrics.record(&telemetry);
                crate::forward_log::write_telemetry(&self.parts.log, &telemetry);
            }
        }
    }

    fn announce(&self, announcement: Announcement) {
        // The receiver ends only with the process.
        let _ended = self.parts.announcements.send(announcement);
    }

    fn dry_run(&self, request: WhereRequest) -> WhereResult {
        let (request, caller) = request.into_dry_run()?;
        let (now, arrived_at) = (self.parts.clock.now(), BootClock::System.now());
        let forwarder = &self.parts.forwarder;
        let report = forwarder.dry_run(now, arrived_at, request, &caller)?;
        Ok(WhereReply::new(report, |refusal| {
            let answer = ForwardAnswer::Refused(refusal);
            let answer = self.parts.dialect.encode_answer(answer);
            let retry_after = answer.headers.get(RETRY_AFTER);
            let retry_after = retry_after.and_then(|value| value.to_str().ok());
            (answer.status.as_u16(), retry_after.map(str::to_owned))
        }))
    }

    fn status(&self) -> ForwardStatus {
        let forwarder = &self.parts.forwarder;
        ForwardStatus {
            ready: forwarder.is_ready(),
            running: forwarder.running_requests(),
            version: forwarder.config_version(),
            upstreams: forwarder.upstream_state_counts(),
            connections: self.pools.values().map(ConnectionPool::len).sum(),
        }
    }
}

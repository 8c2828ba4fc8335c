//! The task that owns the connections to one upstream of the bundle.

use crate::{
    connection_task::{
        self, Connection, ConnectionAction, ConnectionEvent, ConnectionMachine, JobResult,
    },
    prelude::*,
    send_permit::SendPermit,
    upstream_http,
};
use slotmap::new_key_type;
use std::collections::VecDeque;

/// Time for which a cancelled attempt may still be answered before its connection is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// Longest time since its last reply for which a connection may carry a booking. An upstream may close an idle
/// connection while the booking is on its way, which would leave the outcome unknown.
pub const BOOKING_IDLE_LIMIT: Duration = Duration::from_millis(500);

new_key_type! {
    /// A connection of one upstream task.
    pub struct ConnectionKey;
}

/// Input of an upstream task.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// Send one sub-request.
    Send(Job),
    /// The reply to this attempt is no longer wanted.
    Cancel(AttemptKey),
    /// Report the queued jobs whose permits were withdrawn.
    DropWithdrawn,
    /// Request the upstream's health.
    Probe,
    /// End once all queued and running jobs have ended.
    Retire,
}

/// Sends messages to an upstream task. The channel needs no bound: the engine limits the sub-requests of each upstream.
pub type UpstreamSender = mpsc::UnboundedSender<UpstreamMessage>;

/// One sub-request to send, as one attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Key that identifies the attempt in its reply.
    pub attempt: AttemptKey,
    /// The sub-request.
    pub request: SubRequest,
    /// Time at which the attempt fails if there is no reply.
    pub deadline: Timestamp,
    /// Time from which the sub-request must not be sent any more.
    pub not_after: Timestamp,
    /// Permit that is checked when the sub-request is written.
    pub permit: SendPermit,
}

/// What an upstream task is built from.
#[derive(Debug)]
pub struct UpstreamParts {
    /// Key of the upstream in the engine, for its replies.
    pub upstream: UpstreamKey,
    /// The upstream's entry in the bundle, with its address.
    pub spec: Upstream,
    /// Largest number of open connections.
    pub max_connections: u32,
    /// Prefix of attempt ids: the name of the node and the number of its start.
    pub node: Arc<str>,
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// TLS configuration, used if the upstream's entry asks for TLS.
    pub tls: Option<Arc<rustls::ClientConfig>>,
    /// Receives the outcomes of attempts and probes.
    pub engine: EngineSender,
}

struct UpstreamTask {
    parts: UpstreamParts,
    chart: Chart<ConnectionMachine>,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Idle connections, the last used one at the end. It is taken first, so that surplus ones stay idle.
    idle: Vec<ConnectionKey>,
    waiting_jobs: VecDeque<Job>,
    running: HashMap<AttemptKey, ConnectionKey>,
    results: mpsc::UnboundedSender<JobResult>,
    side_client: awc::Client,
    retiring: bool,
}

/// Runs the task of one upstream until it is retired or the engine ends.
pub async fn run(parts: UpstreamParts, mut rx: mpsc::UnboundedReceiver<UpstreamMessage>) {
    let chart = match Chart::load() {
        Ok(chart) => chart,
        Err(fault) => return error!(parts.log, "chart_faulty"; "fault" => %fault),
    };
    let (results, mut results_rx) = mpsc::unbounded_channel();
    let side_client = upstream_http::build_client(&parts.spec, parts.tls.as_ref());
    let mut task = UpstreamTask {
        parts,
        chart,
        connections: SlotMap::with_key(),
        idle: Vec::new(),
        waiting_jobs: VecDeque::new(),
        running: HashMap::new(),
        results,
        side_client,
        retiring: false,
    };
    while !(task.retiring && task.running.is_empty() && task.waiting_jobs.is_empty()) {
        tokio::select! {
            message = rx.recv() => match message {
                Some(UpstreamMessage::Send(job)) => task.enqueue(job).await,
                Some(UpstreamMessage::Cancel(attempt)) => task.cancel_attempt(attempt).await,
                Some(UpstreamMessage::DropWithdrawn) => task.dispatch().await,
                Some(UpstreamMessage::Probe) => task.probe_health(),
                Some(UpstreamMessage::Retire) | None => task.retire(),
            },
            Some(result) = results_rx.recv() => task.handle_result(result).await,
        }
    }
}

impl UpstreamTask {
    async fn enqueue(&mut self, job: Job) {
        self.waiting_jobs.push_back(job);
        self.dispatch().await;
    }

    /// Assigns waiting jobs to connections, in order. Jobs that are too late or withdrawn are reported as not sent.
    async fn dispatch(&mut self) {
        while let Some(job) = self.waiting_jobs.front() {
            let now = self.parts.clock.now();
            if now >= job.not_after || now >= job.deadline || !job.permit.is_valid() {
                let job = self
                    .waiting_jobs
                    .pop_front()
                    .expect("the queue is not empty");
                self.send_reply(job.attempt, Outcome::NotSent, None).await;
                continue;
            }
            let booking = matches!(job.request, SubRequest::Booking { .. });
            let Some(key) = self.usable_connection(now, booking) else {
                return;
            };
            let job = self
                .waiting_jobs
                .pop_front()
                .expect("the queue is not empty");
            self.running.insert(job.attempt, key);
            self.connections[key].job = Some(job);
            self.handle_connection_event(key, ConnectionEvent::Job, None)
                .await;
        }
    }

    /// Takes an idle connection or opens one; `None` if all connections are busy. For a booking, a connection that has
    /// been idle for too long is replaced.
    fn usable_connection(&mut self, now: Timestamp, booking: bool) -> Option<ConnectionKey> {
        if let Some(key) = self.idle.pop() {
            if !booking || now.since(self.connections[key].last_reply) <= BOOKING_IDLE_LIMIT {
                return Some(key);
            }
            // Closed to make room for a new connection.
            self.close_connection(key, ConnectionEvent::Suspected);
        }
        if self.connections.len() >= self.parts.max_connections as usize {
            return None;
        }
        let state = self.chart.initial();
        Some(self.connections.insert_with_key(|key| {
            let tx = connection_task::start(key, &self.parts, self.results.clone());
            Connection {
                state,
                tx,
                last_reply: now,
                job: None,
            }
        }))
    }

    async fn cancel_attempt(&mut self, attempt: AttemptKey) {
        let position = self
            .waiting_jobs
            .iter()
            .position(|job| job.attempt == attempt);
        if let Some(job) = position.and_then(|position| self.waiting_jobs.remove(position)) {
            return self.send_reply(job.attempt, Outcome::NotSent, None).await;
        }
        let Some(&key) = self.running.get(&attempt) else {
            return;
        };
        let step = self.chart.step(
            self.connections[key].state,
            ConnectionEvent::Cancel,
            |nothing| match nothing {},
        );
        self.connections[key].state = step.next;
        if step.actions.contains(&ConnectionAction::CancelUpstream) {
            self.request_cancellation(attempt);
            let grace = self.parts.clock.now() + CANCEL_GRACE;
            let _ended = self.connections[key]
                .tx
                .send(connection_task::JobCommand::ShortenDeadline(grace));
        }
    }

    fn request_cancellation(&self, attempt: AttemptKey) {
        let id = upstream_http::attempt_id(&self.parts.node, attempt);
        let (client, spec) = (self.side_client.clone(), self.parts.spec.clone());
        actix_rt::spawn(upstream_http::request_cancellation(client, spec, id));
    }

    fn probe_health(&self) {
        let (client, spec) = (self.side_client.clone(), self.parts.spec.clone());
        let (engine, upstream) = (self.parts.engine.clone(), self.parts.upstream);
        actix_rt::spawn(async move {
            let report = upstream_http::probe(client, spec).await;
            let event = Event::ProbeResult(upstream, report);
            // The engine ends only with the process.
            let _ended = engine.send(EngineMessage::Event(event)).await;
        });
    }

    async fn handle_result(&mut self, result: JobResult) {
        let event = match result.outcome {
            Outcome::Silent => ConnectionEvent::TimedOut,
            Outcome::Broken | Outcome::NotSent => ConnectionEvent::Broken,
            _ => ConnectionEvent::Replied,
        };
        if matches!(result.outcome, Outcome::Silent) {
            // An upstream may go on with a request whose connection has closed.
            self.request_cancellation(result.attempt);
        }
        let key = result.connection;
        if self.connections.contains_key(key) {
            self.handle_connection_event(key, event, Some(result)).await;
            self.dispatch().await;
        }
    }

    async fn handle_connection_event(
        &mut self,
        key: ConnectionKey,
        event: ConnectionEvent,
        mut result: Option<JobResult>,
    ) {
        let step = self.chart.step(
            self.connections[key].state,
            event,
            |nothing| match nothing {},
        );
        let actions = step.actions.to_vec();
        self.connections[key].state = step.next;
        for action in actions {
            match action {
                ConnectionAction::Send => self.send_job(key),
                ConnectionAction::Report => {
                    if let Some(JobResult {
                        attempt,
                        outcome,
                        report,
                        ..
                    }) = result.take()
                    {
                        self.running.remove(&attempt);
                        self.send_reply(attempt, outcome, report).await;
                    }
                }
                ConnectionAction::Release => {
                    self.connections[key].last_reply = self.parts.clock.now();
                    self.idle.push(key);
                }
                ConnectionAction::SuspectIdle => self.close_idle(ConnectionEvent::Suspected),
                // Dropping the sender ends the connection task, which closes the socket.
                ConnectionAction::Close => drop(self.connections.remove(key)),
                ConnectionAction::CancelUpstream => {}
            }
        }
    }

    fn send_job(&mut self, key: ConnectionKey) {
        let connection = &mut self.connections[key];
        if let Some(job) = connection.job.take() {
            let _ended = connection.tx.send(connection_task::JobCommand::Run(job));
        }
    }

    fn close_idle(&mut self, event: ConnectionEvent) {
        for key in std::mem::take(&mut self.idle) {
            self.close_connection(key, event);
        }
    }

    fn close_connection(&mut self, key: ConnectionKey, event: ConnectionEvent) {
        let state = self.connections[key].state;
        let step = self.chart.step(state, event, |nothing| match nothing {});
        if step.actions.contains(&ConnectionAction::Close) {
            self.connections.remove(key);
        }
    }

    fn retire(&mut self) {
        self.retiring = true;
        self.close_idle(ConnectionEvent::Retired);
    }

    async fn send_reply(&self, attempt: AttemptKey, outcome: Outcome, report: Option<LoadReport>) {
        let reply = Reply {
            attempt,
            upstream: self.parts.upstream,
            outcome,
            report,
        };
        // The engine ends only with the process.
        let _ended = self
            .parts
            .engine
            .send(EngineMessage::Event(Event::Reply(reply)))
            .await;
    }
}

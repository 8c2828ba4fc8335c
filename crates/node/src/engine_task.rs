//! The task that owns the engine: it feeds events to the engine and executes its commands.

use crate::{
    forwarded_calls::ForwardedBooking,
    prelude::*,
    recent_refusals::RecentRefusals,
    send_permit::PermitIssuer,
    status_json::EngineReport,
    upstream_task::{self, UpstreamMessage, UpstreamSender},
};
use std::sync::atomic::{AtomicU64, Ordering};

/// Most messages that may wait for the engine. When the queue is full, senders wait and read no more from their
/// sockets.
const QUEUE_CAPACITY: usize = 4_096;

/// Most messages handled before the resulting commands are executed.
const MAX_BATCH: usize = 64;

/// A message to the engine task, from a listener, an upstream task or the control task.
#[derive(Debug)]
pub enum EngineMessage {
    /// An event that has no caller.
    Event(Event),
    /// A caller's request.
    Call {
        /// Identifies the request in [`EngineMessage::CallerGone`].
        call: CallId,
        /// The request; the engine task sets its `caller`.
        request: CallRequest,
        /// Receives the result.
        result: oneshot::Sender<CallResult>,
    },
    /// The caller's connection closed before the result.
    CallerGone(CallId),
    /// Count a request that was refused without becoming an event.
    CountRefusal(RefusalKind),
    /// Report the states of all upstreams for a peer; answered by [`EngineNotice::UpstreamStates`].
    ReportUpstreamStates(PeerKey),
    /// Send the state of the engine.
    Status(oneshot::Sender<EngineReport>),
}

/// Identifies a caller's request; unique in the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// The [`CallId`] that is assigned next.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

impl CallId {
    /// An id that no other request of this process has.
    pub fn next() -> Self {
        Self(NEXT_CALL.fetch_add(1, Ordering::Relaxed))
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub enum CallRequest {
    /// A query.
    Search(SearchRequest),
    /// A request for a booking ticket.
    Ticket(TicketRequest),
    /// A booking.
    Booking(BookingRequest),
}

/// Outcome of a caller's request.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// Answer to a query.
    Answer(Answer),
    /// A ticket that was issued.
    Ticket {
        /// Text of the ticket.
        ticket: String,
        /// Time until the ticket expires.
        expires_in: Duration,
    },
    /// A booking that ran.
    Booked {
        /// Id that the node gave the booking.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether the booking ran on an earlier request and this is the recorded outcome.
        replayed: bool,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// Sends messages to an engine task.
pub type EngineSender = mpsc::Sender<EngineMessage>;

/// A notice of the engine task to the control task.
#[derive(Debug)]
pub enum EngineNotice {
    /// Send news to all peers.
    Broadcast(News),
    /// Send the states of all upstreams to one peer.
    UpstreamStates(PeerKey, Vec<News>),
    /// Forward a booking to the node that its ticket names.
    ForwardBooking(ForwardedBooking),
    /// The engine issued [`Command::CanServe`].
    CanServe,
    /// The engine issued [`Command::CannotServe`]: news of peers was missed, so that no upstream is known to be warm.
    CannotServe,
    /// The engine has drained: no work runs any more.
    Drained,
}

struct EngineTask {
    engine: Engine,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    workers: Workers,
    tls: Option<Arc<rustls::ClientConfig>>,
    node: Arc<str>,
    callers: SlotMap<CallerKey, WaitingCaller>,
    callers_by_call: HashMap<CallId, CallerKey>,
    upstreams: HashMap<UpstreamKey, UpstreamHandle>,
    notices: mpsc::UnboundedSender<EngineNotice>,
    own_sender: EngineSender,
    refusals: RecentRefusals,
    /// Class of each workspace of the active bundle, for metric labels.
    workspace_classes: HashMap<String, String>,
}

/// The engine task's side of an upstream task.
struct UpstreamHandle {
    tx: UpstreamSender,
    permits: PermitIssuer,
}

struct WaitingCaller {
    call: CallId,
    result: oneshot::Sender<CallResult>,
}

/// Dependencies of an engine task.
#[derive(Debug)]
pub struct EngineParts {
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Threads that run the upstream tasks.
    pub workers: Workers,
    /// TLS configuration for upstreams that use it.
    pub tls: Option<Arc<rustls::ClientConfig>>,
    /// Queue of notices to the control task.
    pub notices: mpsc::UnboundedSender<EngineNotice>,
}

/// Starts the engine task on the current runtime.
///
/// # Errors
///
/// If a state chart is invalid.
pub fn start(settings: &EngineSettings, parts: EngineParts) -> Result<EngineSender, NodeError> {
    let node = Arc::from(format!("{}-{:x}", settings.node, settings.start));
    let engine = Engine::new(settings).context(node_error::ChartSnafu)?;
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let task = EngineTask {
        engine,
        clock: parts.clock,
        log: parts.log,
        metrics: parts.metrics,
        workers: parts.workers,
        tls: parts.tls,
        node,
        callers: SlotMap::with_key(),
        callers_by_call: HashMap::new(),
        upstreams: HashMap::new(),
        notices: parts.notices,
        own_sender: tx.clone(),
        refusals: RecentRefusals::default(),
        workspace_classes: HashMap::new(),
    };
    actix_rt::spawn(task.run(rx));
    Ok(tx)
}

impl EngineTask {
    async fn run(mut self, mut rx: mpsc::Receiver<EngineMessage>) {
        let mut commands = Vec::new();
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let wakeup = self.engine.next_wakeup();
            let timer =
                tokio::time::sleep_until(self.clock.instant(wakeup.unwrap_or(Timestamp::MAX)));
            tokio::select! {
                received = rx.recv_many(&mut batch, MAX_BATCH) => {
                    if received == 0 {
                        return;
                    }
                }
                () = timer => {}
            }
            for message in batch.drain(..) {
                self.handle_message(message, &mut commands);
            }
            let now = self.clock.now();
            if wakeup.is_some_and(|at| at <= now) {
                self.engine.handle(now, Event::Wakeup, &mut commands);
            }
            for command in commands.drain(..) {
                self.execute(command);
            }
        }
    }

    fn handle_message(&mut self, message: EngineMessage, commands: &mut Vec<Command>) {
        let event = match message {
            EngineMessage::Event(event) => {
                self.record_event(&event);
                event
            }
            EngineMessage::Call {
                call,
                request,
                result,
            } => {
                let caller = self.callers.insert(WaitingCaller { call, result });
                self.callers_by_call.insert(call, caller);
                request.into_event(caller)
            }
            EngineMessage::CallerGone(call) => {
                let Some(caller) = self.callers_by_call.remove(&call) else {
                    return;
                };
                self.callers.remove(caller);
                Event::CallerGone(caller)
            }
            EngineMessage::ReportUpstreamStates(peer) => {
                let states = self.engine.upstream_states();
                return self.notify_control(EngineNotice::UpstreamStates(peer, states));
            }
            EngineMessage::CountRefusal(kind) => return self.count_refusal("", kind),
            EngineMessage::Status(tx) => {
                // Fails if the administrator has closed the connection.
                let _gone = tx.send(self.engine_report());
                return;
            }
        };
        self.engine.handle(self.clock.now(), event, commands);
    }

    fn record_event(&mut self, event: &Event) {
        match event {
            Event::Configure(bundle) => {
                let workspaces = bundle.workspaces.iter();
                self.workspace_classes = workspaces
                    .map(|workspace| (workspace.name.clone(), workspace.class.clone()))
                    .collect();
            }
            Event::Reply(reply) => self.metrics.record_outcome(&reply.outcome),
            _ => {}
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::OpenUpstream {
                upstream,
                spec,
                connections,
            } => self.open_upstream(upstream, spec, connections),
            Command::RetireUpstream(upstream) => {
                if let Some(handle) = self.upstreams.remove(&upstream) {
                    let _ended = handle.tx.send(UpstreamMessage::Retire);
                }
            }
            Command::Send {
                attempt,
                upstream,
                request,
                deadline,
                not_after,
            } => {
                self.metrics.record_sent_request(&request);
                if let Some(handle) = self.upstreams.get(&upstream) {
                    let job = upstream_task::Job {
                        attempt,
                        request,
                        deadline,
                        not_after,
                        permit: handle.permits.issue(),
                    };
                    let _ended = handle.tx.send(UpstreamMessage::Send(job));
                }
            }
            Command::Cancel { attempt, upstream } => {
                self.send_to_upstream(upstream, UpstreamMessage::Cancel(attempt));
            }
            Command::WithdrawUnsent(upstream) => {
                if let Some(handle) = self.upstreams.get(&upstream) {
                    handle.permits.withdraw();
                    let _ended = handle.tx.send(UpstreamMessage::DropWithdrawn);
                }
            }
            Command::Probe(upstream) => self.send_to_upstream(upstream, UpstreamMessage::Probe),
            Command::AnswerQuery {
                caller,
                workspace,
                answer,
            } => {
                let class = self
                    .workspace_classes
                    .get(&*workspace)
                    .map_or("", String::as_str);
                self.metrics.record_answer(&workspace, class, &answer);
                self.send_result(caller, CallResult::Answer(answer));
            }
            Command::AnswerTicket {
                caller,
                ticket,
                expires_in,
            } => {
                self.send_result(caller, CallResult::Ticket { ticket, expires_in });
            }
            Command::AnswerBooking {
                caller,
                workspace,
                booking_id,
                reply,
                replayed,
            } => {
                self.metrics.record_booking(&workspace, replayed);
                self.send_result(
                    caller,
                    CallResult::Booked {
                        booking_id,
                        reply,
                        replayed,
                    },
                );
            }
            Command::ForwardBooking { node, request } => {
                self.forward_booking(node, request);
            }
            Command::Refuse {
                caller,
                workspace,
                refusal,
            } => self.refuse_caller(caller, &workspace, refusal),
            Command::Broadcast(news) => self.notify_control(EngineNotice::Broadcast(news)),
            Command::CanServe => self.notify_control(EngineNotice::CanServe),
            Command::CannotServe => self.notify_control(EngineNotice::CannotServe),
            Command::Drained => self.notify_control(EngineNotice::Drained),
        }
    }

    fn open_upstream(&mut self, upstream: UpstreamKey, spec: Upstream, max_connections: u32) {
        let (tx, rx) = mpsc::unbounded_channel();
        let permits = PermitIssuer::new();
        self.upstreams
            .insert(upstream, UpstreamHandle { tx, permits });
        let parts = upstream_task::UpstreamParts {
            upstream,
            spec,
            max_connections,
            node: Arc::clone(&self.node),
            clock: self.clock,
            log: self.log.clone(),
            tls: self.tls.clone(),
            metrics: self.metrics.clone(),
            engine: self.own_sender.clone(),
        };
        self.workers.spawn(move || upstream_task::run(parts, rx));
    }

    /// Hands a booking and its caller to the control task, which answers the caller.
    fn forward_booking(&mut self, node: String, request: BookingRequest) {
        if let Some(waiting) = self.callers.remove(request.caller) {
            self.callers_by_call.remove(&waiting.call);
            let result = waiting.result;
            self.notify_control(EngineNotice::ForwardBooking(ForwardedBooking {
                node,
                request,
                result,
            }));
        }
    }

    fn send_to_upstream(&self, upstream: UpstreamKey, message: UpstreamMessage) {
        if let Some(handle) = self.upstreams.get(&upstream) {
            let _ended = handle.tx.send(message);
        }
    }

    fn refuse_caller(&mut self, caller: CallerKey, workspace: &str, refusal: Refusal) {
        self.count_refusal(workspace, refusal.kind);
        self.send_result(caller, CallResult::Refused(refusal));
    }

    fn count_refusal(&mut self, workspace: &str, kind: RefusalKind) {
        self.metrics.record_refusal(workspace, kind);
        self.refusals.record(self.clock.now(), kind);
    }

    fn engine_report(&mut self) -> EngineReport {
        let now = self.clock.now();
        EngineReport {
            engine: self.engine.status(now),
            recent_refusals: self.refusals.counts_by_kind(now),
        }
    }

    fn send_result(&mut self, caller: CallerKey, result: CallResult) {
        if let Some(waiting) = self.callers.remove(caller) {
            self.callers_by_call.remove(&waiting.call);
            // Fails if the caller has just closed its connection.
            let _gone = waiting.result.send(result);
        }
    }

    fn notify_control(&self, notice: EngineNotice) {
        let _ended = self.notices.send(notice);
    }
}

impl CallRequest {
    fn into_event(self, caller: CallerKey) -> Event {
        match self {
            Self::Search(request) => Event::Search(SearchRequest { caller, ..request }),
            Self::Ticket(request) => Event::Ticket(TicketRequest { caller, ..request }),
            Self::Booking(request) => Event::Booking(BookingRequest { caller, ..request }),
        }
    }
}

//! The task that owns the engine.

use crate::{
    forwarded_calls::ForwardedBooking,
    prelude::*,
    recent_refusals::RecentRefusals,
    status_json::EngineReport,
    upstream_task::{self, UpstreamMessage, UpstreamSender},
};
use std::sync::atomic::{AtomicU64, Ordering};

/// Messages that may wait for the engine. Senders wait when it is full, which slows the sockets down.
const QUEUE_LENGTH: usize = 4_096;

/// Events handled before the commands of all of them are carried out.
const BATCH: usize = 64;

/// Input of the engine task.
#[derive(Debug)]
pub enum EngineMessage {
    /// An event that has no caller.
    Event(Event),
    /// A caller's request.
    Call {
        /// Names the call in [`EngineMessage::CallerGone`]; unique in the process.
        call: CallId,
        /// The request; its `caller` is filled in by the task.
        request: CallRequest,
        /// Where the result goes.
        result: oneshot::Sender<CallResult>,
    },
    /// The caller's connection closed.
    CallerGone(CallId),
    /// A request that was refused before it could become an event.
    Refused(RefusalKind),
    /// A peer wants the states of all upstreams; answered by [`EngineNotice::States`].
    States(PeerKey),
    /// State for operators.
    Status(oneshot::Sender<EngineReport>),
}

/// Names a call of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallId(pub u64);

/// The next [`CallId`] of this process.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

impl CallId {
    /// A name that no other call of this process has.
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
    Book(BookingRequest),
}

/// What becomes of a caller's request.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// Answer to a query.
    Answer(Answer),
    /// A ticket.
    Ticket {
        /// Ticket text.
        ticket: String,
        /// Time that it can be redeemed for.
        expires_in: Duration,
    },
    /// A booking that ran.
    Booked {
        /// Id of the booking.
        booking_id: String,
        /// The upstream's reply.
        reply: BookingReply,
        /// Whether the booking ran earlier.
        replayed: bool,
    },
    /// Refused.
    Refused(Refusal),
}

/// Sends messages to an engine task.
pub type EngineSender = mpsc::Sender<EngineMessage>;

/// What the engine task tells the control task.
#[derive(Debug)]
pub enum EngineNotice {
    /// Tell all peers.
    Share(News),
    /// States of all upstreams for one peer.
    States(PeerKey, Vec<News>),
    /// Hand a booking to another node.
    Forward(ForwardedBooking),
    /// Each service can be answered by warm upstreams.
    Able,
    /// News of peers was missed, so that no upstream is known to be warm.
    Unable,
    /// Nothing runs any more.
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
    callers: SlotMap<CallerKey, Waiting>,
    calls: HashMap<CallId, CallerKey>,
    upstreams: HashMap<UpstreamKey, UpstreamSender>,
    notices: mpsc::UnboundedSender<EngineNotice>,
    to_self: EngineSender,
    refusals: RecentRefusals,
    /// Class of each tenant of the bundle in force, for metrics.
    classes: HashMap<String, String>,
}

struct Waiting {
    call: CallId,
    result: oneshot::Sender<CallResult>,
}

/// Surroundings of an engine task.
#[derive(Debug)]
pub struct EngineParts {
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Threads for upstream tasks.
    pub workers: Workers,
    /// TLS towards upstreams that use it.
    pub tls: Option<Arc<rustls::ClientConfig>>,
    /// Where notices go.
    pub notices: mpsc::UnboundedSender<EngineNotice>,
}

/// Starts the engine task on the current runtime.
///
/// # Errors
///
/// A faulty state chart.
pub fn start(settings: &EngineSettings, parts: EngineParts) -> Result<EngineSender, NodeError> {
    let node = Arc::from(format!("{}-{:x}", settings.node, settings.start));
    let engine = Engine::new(settings).context(node_error::ChartSnafu)?;
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    let task = EngineTask {
        engine,
        clock: parts.clock,
        log: parts.log,
        metrics: parts.metrics,
        workers: parts.workers,
        tls: parts.tls,
        node,
        callers: SlotMap::with_key(),
        calls: HashMap::new(),
        upstreams: HashMap::new(),
        notices: parts.notices,
        to_self: tx.clone(),
        refusals: RecentRefusals::default(),
        classes: HashMap::new(),
    };
    actix_rt::spawn(task.run(rx));
    Ok(tx)
}

impl EngineTask {
    async fn run(mut self, mut rx: mpsc::Receiver<EngineMessage>) {
        let mut commands = Vec::new();
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let wakeup = self.engine.next_wakeup();
            let timer =
                tokio::time::sleep_until(self.clock.instant(wakeup.unwrap_or(Timestamp::MAX)));
            tokio::select! {
                received = rx.recv_many(&mut batch, BATCH) => {
                    if received == 0 {
                        return;
                    }
                }
                () = timer => {}
            }
            for message in batch.drain(..) {
                self.handle(message, &mut commands);
            }
            let now = self.clock.now();
            if wakeup.is_some_and(|at| at <= now) {
                self.engine.handle(now, Event::Wakeup, &mut commands);
            }
            for command in commands.drain(..) {
                self.carry_out(command);
            }
        }
    }

    fn handle(&mut self, message: EngineMessage, commands: &mut Vec<Command>) {
        let event = match message {
            EngineMessage::Event(event) => {
                self.observe(&event);
                event
            }
            EngineMessage::Call {
                call,
                request,
                result,
            } => {
                let caller = self.callers.insert(Waiting { call, result });
                self.calls.insert(call, caller);
                request.into_event(caller)
            }
            EngineMessage::CallerGone(call) => {
                let Some(caller) = self.calls.remove(&call) else {
                    return;
                };
                self.callers.remove(caller);
                Event::CallerGone(caller)
            }
            EngineMessage::States(peer) => {
                let states = self.engine.upstream_states();
                return self.notify(EngineNotice::States(peer, states));
            }
            EngineMessage::Refused(kind) => return self.count_refusal("", kind),
            EngineMessage::Status(tx) => {
                // The administrator may have closed the connection.
                let _gone = tx.send(self.report());
                return;
            }
        };
        self.engine.handle(self.clock.now(), event, commands);
    }

    fn observe(&mut self, event: &Event) {
        match event {
            Event::Configure(bundle) => {
                let tenants = bundle.tenants.iter();
                self.classes = tenants
                    .map(|tenant| (tenant.name.clone(), tenant.class.clone()))
                    .collect();
            }
            Event::Reply(reply) => self.metrics.replied(&reply.outcome),
            _ => {}
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::OpenUpstream {
                upstream,
                spec,
                connections,
            } => self.open_upstream(upstream, spec, connections),
            Command::RetireUpstream(upstream) => {
                if let Some(tx) = self.upstreams.remove(&upstream) {
                    let _ended = tx.send(UpstreamMessage::Retire);
                }
            }
            Command::Send {
                attempt,
                upstream,
                request,
                deadline,
                not_after,
            } => {
                self.metrics.sent(&request);
                let job = upstream_task::Job {
                    attempt,
                    request,
                    deadline,
                    not_after,
                };
                self.to_upstream(upstream, UpstreamMessage::Send(job));
            }
            Command::Cancel { attempt, upstream } => {
                self.to_upstream(upstream, UpstreamMessage::Cancel(attempt));
            }
            Command::Probe(upstream) => self.to_upstream(upstream, UpstreamMessage::Probe),
            Command::AnswerQuery {
                caller,
                tenant,
                answer,
            } => {
                let class = self.classes.get(&*tenant).map_or("", String::as_str);
                self.metrics.answered(&tenant, class, &answer);
                self.reply(caller, CallResult::Answer(answer));
            }
            Command::AnswerTicket {
                caller,
                ticket,
                expires_in,
            } => {
                self.reply(caller, CallResult::Ticket { ticket, expires_in });
            }
            Command::AnswerBooking {
                caller,
                tenant,
                booking_id,
                reply,
                replayed,
            } => {
                self.metrics.booked(&tenant, replayed);
                self.reply(
                    caller,
                    CallResult::Booked {
                        booking_id,
                        reply,
                        replayed,
                    },
                );
            }
            Command::ForwardBooking { node, request } => {
                self.forward(node, request);
            }
            Command::Refuse {
                caller,
                tenant,
                refusal,
            } => self.refuse(caller, &tenant, refusal),
            Command::Broadcast(news) => self.notify(EngineNotice::Share(news)),
            Command::CanServe => self.notify(EngineNotice::Able),
            Command::CannotServe => self.notify(EngineNotice::Unable),
            Command::Drained => self.notify(EngineNotice::Drained),
        }
    }

    fn open_upstream(&mut self, upstream: UpstreamKey, spec: Upstream, max_connections: u32) {
        let (tx, rx) = mpsc::unbounded_channel();
        self.upstreams.insert(upstream, tx);
        let parts = upstream_task::UpstreamParts {
            upstream,
            spec,
            max_connections,
            node: Arc::clone(&self.node),
            clock: self.clock,
            log: self.log.clone(),
            tls: self.tls.clone(),
            metrics: self.metrics.clone(),
            engine: self.to_self.clone(),
        };
        self.workers.spawn(move || upstream_task::run(parts, rx));
    }

    /// Hands the caller over too; the control task answers it.
    fn forward(&mut self, node: String, request: BookingRequest) {
        if let Some(waiting) = self.callers.remove(request.caller) {
            self.calls.remove(&waiting.call);
            let result = waiting.result;
            self.notify(EngineNotice::Forward(ForwardedBooking {
                node,
                request,
                result,
            }));
        }
    }

    fn to_upstream(&self, upstream: UpstreamKey, message: UpstreamMessage) {
        if let Some(tx) = self.upstreams.get(&upstream) {
            let _ended = tx.send(message);
        }
    }

    fn refuse(&mut self, caller: CallerKey, tenant: &str, refusal: Refusal) {
        self.count_refusal(tenant, refusal.kind);
        self.reply(caller, CallResult::Refused(refusal));
    }

    fn count_refusal(&mut self, tenant: &str, kind: RefusalKind) {
        self.metrics.refused(tenant, kind);
        self.refusals.count(self.clock.now(), kind);
    }

    fn report(&mut self) -> EngineReport {
        let now = self.clock.now();
        EngineReport {
            engine: self.engine.status(now),
            recent_refusals: self.refusals.by_kind(now),
        }
    }

    fn reply(&mut self, caller: CallerKey, result: CallResult) {
        if let Some(waiting) = self.callers.remove(caller) {
            self.calls.remove(&waiting.call);
            // The caller may have closed its connection just now.
            let _gone = waiting.result.send(result);
        }
    }

    fn notify(&self, notice: EngineNotice) {
        let _ended = self.notices.send(notice);
    }
}

impl CallRequest {
    fn into_event(self, caller: CallerKey) -> Event {
        match self {
            Self::Search(request) => Event::Search(SearchRequest { caller, ..request }),
            Self::Ticket(request) => Event::Ticket(TicketRequest { caller, ..request }),
            Self::Book(request) => Event::Booking(BookingRequest { caller, ..request }),
        }
    }
}

//! Task that owns the queue, the running requests and the life-cycle state of a fake upstream.

use crate::{
    prelude::*,
    upstream_life::{LifeAction, LifeEvent, LifeMachine, LifeState},
    upstream_listener::ListenerCommand,
    upstream_replies,
};
use std::{
    collections::VecDeque,
    time::{Instant, SystemTime},
};

/// Detection time of a cold start, as stated in the design. Overload is not counted for this long after the first sign,
/// which is a reset connection or a reply.
pub const DETECTION_TIME: Duration = Duration::from_millis(250);

/// Time after a silent cold start for which overload is not counted as long as there is no sign of it.
pub const MAX_UNNOTICED_TIME: Duration = Duration::from_secs(2);

/// Replies after which the capacity of a cold upstream rises by one request.
const WARM_UP_STEP_REPLIES: u32 = 8;

/// Shortest time between two rises of the capacity of a cold upstream.
const WARM_UP_STEP_TIME: Duration = Duration::from_millis(100);

/// Time after a cold start until an upstream is warm even without work: `warm_up_ms` of the bundle's policy.
const WARM_UP: Duration = Duration::from_secs(2);

/// Factor on the service time of a cold upstream.
const COLD_SERVICE_TIME_FACTOR: f64 = 2.0;

/// Factor on the service time of a straggling sub-request.
const STRAGGLER_SERVICE_TIME_FACTOR: f64 = 20.0;

/// Queued requests per slot at which further requests are shed.
const MAX_QUEUED_PER_SLOT: usize = 8;

/// Time from a crash to the automatic restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Interval at which the reported load is updated, so that nodes see a load of up to this age.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Uptime that an upstream reports when the run starts, since it starts warm.
const INITIAL_PROCESS_AGE: Duration = Duration::from_hours(1);

/// Prefix of the query texts that crash the upstream that runs them.
pub const CRASH_TEXT: &str = "crash";

/// Input of an upstream task.
#[derive(Debug)]
pub(crate) enum TaskMessage {
    Arrived(Work),
    Cancel(String),
    /// The request with this id has run for its service time. The number tells in which start of the process.
    Done(String, u64),
    Health(oneshot::Sender<HttpReply>),
    Command(UpstreamCommand),
    /// The restart after a crash is due. The number tells which start of the process crashed.
    Restart(u64),
    Stop,
}

/// A request from its arrival to its reply.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) kind: WorkKind,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<WorkReply>,
}

/// Content of a request.
#[derive(Clone, Debug)]
pub(crate) enum WorkKind {
    Search {
        shard: u32,
        index_version: u64,
        query: Arc<str>,
        limit: u32,
    },
    Booking {
        booking_id: String,
        content: Arc<str>,
    },
}

/// Outcome of a request.
#[derive(Debug)]
pub(crate) enum WorkReply {
    Done(HttpReply),
    Shed,
    Cancelled,
}

pub(crate) struct UpstreamTask {
    name: Arc<str>,
    behaviour: Arc<UpstreamBehaviour>,
    chart: Chart<LifeMachine>,
    state: LifeState,
    /// Number of starts of the process, by which messages of an earlier start are recognised and dropped.
    start_count: u64,
    started_at_ms: u128,
    cold_since: Instant,
    /// Time until which overload is not counted, because nodes can't have noticed the cold start yet.
    tolerated_until: Instant,
    /// Whether the last cold start reset no connection on which a node waited for a reply.
    is_silent_cold_start: bool,
    replies_since_cold: u32,
    /// Time of the first reply since the cold start. Unless connections were reset, nodes can't notice it earlier.
    first_reply: Option<Instant>,
    straggler_share: f64,
    dropped_versions: Vec<u64>,
    rng: fastrand::Rng,
    queue: VecDeque<Work>,
    running: HashMap<String, Work>,
    load_report: (Instant, usize),
    /// Text of the query that is about to crash the process.
    crash_query: Option<Arc<str>>,
    /// Trace of the overload that is about to be recorded.
    pending_trace: String,
    recorder: EventRecorder,
    tx: mpsc::WeakUnboundedSender<TaskMessage>,
    listener: mpsc::UnboundedSender<ListenerCommand>,
}

impl UpstreamTask {
    pub(crate) fn new(
        name: &str,
        behaviour: Arc<UpstreamBehaviour>,
        recorder: EventRecorder,
        tx: mpsc::WeakUnboundedSender<TaskMessage>,
        listener: mpsc::UnboundedSender<ListenerCommand>,
    ) -> Result<Self, ChartError> {
        let chart = Chart::<LifeMachine>::load()?;
        let now = Instant::now();
        Ok(Self {
            name: Arc::from(name),
            state: chart.initial(),
            chart,
            start_count: 1,
            started_at_ms: epoch_ms().saturating_sub(INITIAL_PROCESS_AGE.as_millis()),
            cold_since: now,
            tolerated_until: now,
            is_silent_cold_start: false,
            replies_since_cold: 0,
            first_reply: None,
            straggler_share: 0.0,
            dropped_versions: Vec::new(),
            rng: fastrand::Rng::with_seed(behaviour.seed),
            behaviour,
            queue: VecDeque::new(),
            running: HashMap::new(),
            load_report: (now, 0),
            crash_query: None,
            pending_trace: String::new(),
            recorder,
            tx,
            listener,
        })
    }

    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<TaskMessage>) {
        while let Some(message) = rx.recv().await {
            match message {
                TaskMessage::Arrived(work) => self.on_arrival(work),
                TaskMessage::Cancel(id) => self.on_cancel(&id),
                TaskMessage::Done(id, start) if start == self.start_count => self.on_done(&id),
                TaskMessage::Restart(start) if start == self.start_count => {
                    self.on_event(LifeEvent::Restarted);
                }
                TaskMessage::Done(..) | TaskMessage::Restart(_) => {}
                TaskMessage::Health(reply) => {
                    let health = upstream_replies::health_reply(self.reported_load());
                    let _gone = reply.send(self.add_status_headers(health));
                }
                TaskMessage::Command(command) => self.on_command(command),
                TaskMessage::Stop => return,
            }
            self.run_queued_work();
        }
    }

    fn on_command(&mut self, command: UpstreamCommand) {
        match command {
            UpstreamCommand::Straggle(share) => self.straggler_share = share,
            UpstreamCommand::TurnCold { reset } => {
                self.on_event(LifeEvent::Chilled);
                self.tolerated_until = Instant::now() + DETECTION_TIME;
                // The reset of an idle connection is noticed only when the connection is used next.
                let reply_awaited = self.running.values().any(|work| !work.reply.is_closed());
                self.is_silent_cold_start = !(reset && reply_awaited);
                if reset {
                    self.command_listener(ListenerCommand::CloseOpen);
                }
            }
            UpstreamCommand::SilenceConnections => {
                self.command_listener(ListenerCommand::SilenceOpen);
            }
            UpstreamCommand::Leave => self.on_event(LifeEvent::Leave),
            UpstreamCommand::Stop => self.on_event(LifeEvent::Gone),
            UpstreamCommand::Start => self.on_event(LifeEvent::Restarted),
            UpstreamCommand::DropVersion(version) => self.dropped_versions.push(version),
        }
    }

    fn on_event(&mut self, event: LifeEvent) {
        let full_capacity = self.capacity() >= self.behaviour.slots as usize;
        let step = self.chart.step(self.state, event, |_guard| full_capacity);
        let actions = step.actions.to_vec();
        self.state = step.next;
        for action in actions {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: LifeAction) {
        match action {
            LifeAction::ForgetWarmth => {
                self.started_at_ms = epoch_ms().max(self.started_at_ms + 1);
                self.cold_since = Instant::now();
                self.replies_since_cold = 0;
                self.first_reply = None;
                self.is_silent_cold_start = false;
            }
            LifeAction::RecordOverload => {
                let trace = std::mem::take(&mut self.pending_trace);
                self.recorder
                    .record(&self.name, FakeUpstreamEvent::ColdOverload { trace });
            }
            LifeAction::RecordCrash => {
                if let Some(query) = self.crash_query.take() {
                    self.recorder
                        .record(&self.name, FakeUpstreamEvent::Crashed { query });
                }
            }
            LifeAction::LoseWork => {
                self.start_count += 1;
                self.queue.clear();
                self.running.clear();
                self.command_listener(ListenerCommand::StopListening);
            }
            LifeAction::ScheduleRestart => {
                self.send_after(RESTART_TIME, TaskMessage::Restart(self.start_count));
            }
            LifeAction::Listen => self.command_listener(ListenerCommand::Listen),
        }
    }

    fn command_listener(&self, command: ListenerCommand) {
        let _ended = self.listener.send(command);
    }

    /// Requests that the upstream can run at a time. Rises after a cold start, with replies and time.
    fn capacity(&self) -> usize {
        let slots = self.behaviour.slots as usize;
        if !matches!(self.state, LifeState::Cold | LifeState::Warming) {
            return slots;
        }
        let age = self.cold_since.elapsed();
        if age >= WARM_UP {
            return slots;
        }
        let by_time = age.div_duration_f64(WARM_UP_STEP_TIME) as usize;
        let by_work = (self.replies_since_cold / WARM_UP_STEP_REPLIES) as usize;
        slots.min(self.behaviour.cold_slots as usize + by_time.min(by_work))
    }

    fn on_arrival(&mut self, work: Work) {
        if self.state == LifeState::Crashed {
            return;
        }
        if let WorkKind::Search { index_version, .. } = &work.kind
            && self.dropped_versions.contains(index_version)
        {
            let reply = upstream_replies::version_gone_reply();
            let _gone = work
                .reply
                .send(WorkReply::Done(self.add_status_headers(reply)));
            return;
        }
        if self.queue.len() >= MAX_QUEUED_PER_SLOT * self.behaviour.slots as usize {
            return self.shed(work);
        }
        // Judged by the time of arrival: on a busy machine this task may handle it much later.
        let arrived = work.arrived;
        self.queue.push_back(work);
        // At full capacity, requests beyond it wait in the queue; below, they overload the cold upstream.
        let cold = self.capacity() < self.behaviour.slots as usize;
        let load = self.queue.len() + self.running.len();
        if cold && load > self.capacity() && !self.is_overload_tolerated(arrived) {
            self.pending_trace = self.overload_trace();
            self.on_event(LifeEvent::Overloaded);
        }
    }

    /// Whether overload is not counted, because no node can have noticed yet that the upstream is cold.
    fn is_overload_tolerated(&self, now: Instant) -> bool {
        let unnoticed = self.is_silent_cold_start
            && match self.first_reply {
                Some(at) => now < at + DETECTION_TIME,
                None => now < self.cold_since + MAX_UNNOTICED_TIME,
            };
        unnoticed || now < self.tolerated_until
    }

    /// Describes the requests in hand and the capacity. Must be called before the state changes, since the capacity
    /// depends on it.
    fn overload_trace(&self) -> String {
        let attempts: Vec<_> = self
            .running
            .values()
            .chain(&self.queue)
            .map(|work| format!("{} ({} ms)", work.id, work.arrived.elapsed().as_millis()))
            .collect();
        let first_reply = self.first_reply.map_or_else(
            || "no reply yet".to_owned(),
            |at| format!("first reply {} ms ago", at.elapsed().as_millis()),
        );
        format!(
            "{}: {} ms after its cold start, {first_reply}, capacity {}, attempts in hand: {}",
            self.name,
            self.cold_since.elapsed().as_millis(),
            self.capacity(),
            attempts.join(", ")
        )
    }

    fn shed(&self, work: Work) {
        self.recorder.record(&self.name, FakeUpstreamEvent::Shed);
        let _gone = work.reply.send(WorkReply::Shed);
    }

    fn run_queued_work(&mut self) {
        while self.running.len() < self.capacity() {
            let Some(work) = self.queue.pop_front() else {
                return;
            };
            if work.reply.is_closed() {
                continue;
            }
            if work.deadline <= Instant::now() {
                self.shed(work);
                continue;
            }
            self.start_work(work);
        }
    }

    fn start_work(&mut self, work: Work) {
        let arrived = work.arrived;
        let event = match work.kind.clone() {
            WorkKind::Search { query, limit, .. } => {
                self.crash_query = query.starts_with(CRASH_TEXT).then(|| Arc::clone(&query));
                FakeUpstreamEvent::ShardStarted {
                    arrived,
                    query,
                    limit,
                }
            }
            WorkKind::Booking {
                booking_id,
                content,
            } => FakeUpstreamEvent::BookingRan {
                arrived,
                booking_id,
                content,
            },
        };
        self.recorder.record(&self.name, event);
        if self.crash_query.is_some() {
            return self.on_event(LifeEvent::Crash);
        }
        let service_time = self.draw_service_time();
        let done = TaskMessage::Done(work.id.clone(), self.start_count);
        self.running.insert(work.id.clone(), work);
        self.send_after(service_time, done);
    }

    fn draw_service_time(&mut self) -> Duration {
        let mut factor = 0.5 + self.rng.f64();
        if self.rng.f64() < self.straggler_share {
            factor *= STRAGGLER_SERVICE_TIME_FACTOR;
        }
        if matches!(self.state, LifeState::Cold | LifeState::Warming) {
            factor *= COLD_SERVICE_TIME_FACTOR;
        }
        self.behaviour.service_time.mul_f64(factor)
    }

    fn send_after(&self, delay: Duration, message: TaskMessage) {
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            if let Some(tx) = tx.upgrade() {
                let _ended = tx.send(message);
            }
        });
    }

    fn on_cancel(&mut self, id: &str) {
        let queued = self.queue.iter().position(|work| work.id == id);
        let work = queued
            .and_then(|position| self.queue.remove(position))
            .or_else(|| self.running.remove(id));
        if let Some(work) = work {
            let _gone = work.reply.send(WorkReply::Cancelled);
        }
    }

    fn on_done(&mut self, id: &str) {
        let Some(work) = self.running.remove(id) else {
            return;
        };
        let reply = match &work.kind {
            WorkKind::Search {
                shard,
                index_version,
                query,
                limit,
            } => upstream_replies::search_reply(*shard, *index_version, query, *limit),
            WorkKind::Booking { content, .. } => upstream_replies::booking_reply(content),
        };
        let reply = self.add_status_headers(reply);
        // A reply that nobody waits for, such as one on a reset connection, tells no node of a cold start.
        if work.reply.send(WorkReply::Done(reply)).is_err() {
            self.recorder
                .record(&self.name, FakeUpstreamEvent::ReplyUnwanted);
        } else {
            self.first_reply.get_or_insert_with(Instant::now);
        }
        self.replies_since_cold = self.replies_since_cold.saturating_add(1);
        self.on_event(LifeEvent::Replied);
    }

    fn add_status_headers(&mut self, reply: HttpReply) -> HttpReply {
        let (in_flight, slots) = self.reported_load();
        let uptime = epoch_ms().saturating_sub(self.started_at_ms);
        reply
            .header("x-start-time", self.started_at_ms.to_string())
            .header("x-uptime-ms", uptime.to_string())
            .header("x-in-flight", in_flight.to_string())
            .header("x-slots", slots.to_string())
    }

    /// Reported load, which is up to [`LOAD_REPORT_INTERVAL`] old, and number of slots.
    fn reported_load(&mut self) -> (usize, u32) {
        if self.load_report.0.elapsed() >= LOAD_REPORT_INTERVAL {
            self.load_report = (Instant::now(), self.running.len() + self.queue.len());
        }
        (self.load_report.1, self.behaviour.slots)
    }
}

fn epoch_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

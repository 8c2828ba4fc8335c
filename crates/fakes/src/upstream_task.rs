//! The task that owns the state of a fake upstream.

use crate::{
    prelude::*,
    upstream_life::{LifeAction, LifeEvent, LifeMachine, LifeState},
    upstream_listener::ListenerOrder,
    upstream_replies,
};
use std::{
    collections::VecDeque,
    time::{Instant, SystemTime},
};

/// Time in which a silent cold start need not be noticed: the detection time that the design states. It counts from the
/// first sign, which is a reset connection or a reply.
pub const DETECTION_TIME: Duration = Duration::from_millis(250);

/// Longest time without a sign in which a silent cold start need not be noticed.
pub const UNSEEN_TIME: Duration = Duration::from_secs(2);

/// Replies after which a cold upstream bears one request more.
const STEP_REPLIES: u32 = 8;

/// Shortest time between two such steps.
const STEP_TIME: Duration = Duration::from_millis(100);

/// Time after a cold start in which an upstream becomes warm even without work: `warm_up_ms` of the bundle's policy.
const WARM_UP: Duration = Duration::from_secs(2);

/// Factor on the service time while cold.
const COLD_FACTOR: f64 = 2.0;

/// Factor on the service time of a straggling sub-request.
const STRAGGLE_FACTOR: f64 = 20.0;

/// Queued requests for each slot above which requests are shed.
const QUEUE_FACTOR: usize = 8;

/// Time from a crash to the restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Age of the load that is reported.
const REPORT_LAG: Duration = Duration::from_millis(50);

/// Age of the process of an upstream that is warm when the run starts.
const WARM_AGE: Duration = Duration::from_hours(1);

/// Query texts that start with this crash the upstream that runs them.
pub const CRASH_TEXT: &str = "crash";

/// Input of an upstream task.
#[derive(Debug)]
pub(crate) enum Message {
    Arrived(Work),
    Cancel(String),
    /// A request has run its time; the number is the start in which it ran.
    Done(String, u64),
    Health(oneshot::Sender<HttpReply>),
    Order(UpstreamCommand),
    /// The time of a restart after a crash has passed; the number is the start that crashed.
    Restart(u64),
    End,
}

/// One request between its arrival and its reply.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) kind: WorkKind,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<WorkReply>,
}

/// What a request asks for.
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

/// How a request ended.
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
    /// Counts the starts, so that messages of an earlier one are recognised.
    start: u64,
    started_at_ms: u128,
    cold_since: Instant,
    /// Time before which an overload is not counted, because a silent cold start could not be noticed yet.
    tolerated_until: Instant,
    /// Whether the last cold start gave no sign of its own.
    unseen: bool,
    replies_since_cold: u32,
    /// First reply since the cold start; none could show it earlier unless connections were reset.
    first_reply: Option<Instant>,
    straggling: f64,
    dropped_versions: Vec<u64>,
    rng: fastrand::Rng,
    queue: VecDeque<Work>,
    running: HashMap<String, Work>,
    reported: (Instant, usize),
    /// Text of the request that is about to crash the process.
    fatal: Option<Arc<str>>,
    /// Trace of the overload that is about to be recorded.
    overload: String,
    ledger: Ledger,
    tx: mpsc::WeakUnboundedSender<Message>,
    listener: mpsc::UnboundedSender<ListenerOrder>,
}

impl UpstreamTask {
    pub(crate) fn new(
        name: &str,
        behaviour: Arc<UpstreamBehaviour>,
        ledger: Ledger,
        tx: mpsc::WeakUnboundedSender<Message>,
        listener: mpsc::UnboundedSender<ListenerOrder>,
    ) -> Result<Self, ChartError> {
        let chart = Chart::<LifeMachine>::load()?;
        let now = Instant::now();
        Ok(Self {
            name: Arc::from(name),
            state: chart.initial(),
            chart,
            start: 1,
            started_at_ms: epoch_ms().saturating_sub(WARM_AGE.as_millis()),
            cold_since: now,
            tolerated_until: now,
            unseen: false,
            replies_since_cold: 0,
            first_reply: None,
            straggling: 0.0,
            dropped_versions: Vec::new(),
            rng: fastrand::Rng::with_seed(behaviour.seed),
            behaviour,
            queue: VecDeque::new(),
            running: HashMap::new(),
            reported: (now, 0),
            fatal: None,
            overload: String::new(),
            ledger,
            tx,
            listener,
        })
    }

    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::Arrived(work) => self.arrived(work),
                Message::Cancel(id) => self.cancel(&id),
                Message::Done(id, start) if start == self.start => self.done(&id),
                Message::Restart(start) if start == self.start => self.step(LifeEvent::Restarted),
                Message::Done(..) | Message::Restart(_) => {}
                Message::Health(reply) => {
                    let health = upstream_replies::health(self.report());
                    let _gone = reply.send(self.stamp(health));
                }
                Message::Order(order) => self.order(order),
                Message::End => return,
            }
            self.start_queued();
        }
    }

    fn order(&mut self, order: UpstreamCommand) {
        match order {
            UpstreamCommand::Straggle(share) => self.straggling = share,
            UpstreamCommand::TurnCold { reset } => {
                self.step(LifeEvent::Chilled);
                self.tolerated_until = Instant::now() + DETECTION_TIME;
                // The reset of an idle connection shows only when it is used next.
                let awaited = self.running.values().any(|work| !work.reply.is_closed());
                self.unseen = !(reset && awaited);
                if reset {
                    self.close(ListenerOrder::CloseOpen);
                }
            }
            UpstreamCommand::SilenceConnections => self.close(ListenerOrder::SilenceOpen),
            UpstreamCommand::Leave => self.step(LifeEvent::Leave),
            UpstreamCommand::Stop => self.step(LifeEvent::Gone),
            UpstreamCommand::Start => self.step(LifeEvent::Restarted),
            UpstreamCommand::DropVersion(version) => self.dropped_versions.push(version),
        }
    }

    fn step(&mut self, event: LifeEvent) {
        let full = self.capacity() >= self.behaviour.slots as usize;
        let step = self.chart.step(self.state, event, |_full_capacity| full);
        let actions = step.actions.to_vec();
        self.state = step.next;
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: LifeAction) {
        match action {
            LifeAction::ForgetWarmth => {
                self.started_at_ms = epoch_ms().max(self.started_at_ms + 1);
                self.cold_since = Instant::now();
                self.replies_since_cold = 0;
                self.first_reply = None;
                self.unseen = false;
            }
            LifeAction::RecordOverload => {
                let trace = std::mem::take(&mut self.overload);
                self.ledger.add(&self.name, Deed::ColdOverload { trace });
            }
            LifeAction::RecordCrash => {
                if let Some(query) = self.fatal.take() {
                    self.ledger.add(&self.name, Deed::Crashed { query });
                }
            }
            LifeAction::LoseWork => {
                self.start += 1;
                self.queue.clear();
                self.running.clear();
                self.close(ListenerOrder::StopListening);
            }
            LifeAction::ScheduleRestart => self.later(RESTART_TIME, Message::Restart(self.start)),
            LifeAction::Listen => self.close(ListenerOrder::Listen),
        }
    }

    fn close(&self, order: ListenerOrder) {
        let _ended = self.listener.send(order);
    }

    /// Requests that the upstream bears at a time.
    fn capacity(&self) -> usize {
        let slots = self.behaviour.slots as usize;
        if !matches!(self.state, LifeState::Cold | LifeState::Warming) {
            return slots;
        }
        let age = self.cold_since.elapsed();
        if age >= WARM_UP {
            return slots;
        }
        let by_time = age.div_duration_f64(STEP_TIME) as usize;
        let by_work = (self.replies_since_cold / STEP_REPLIES) as usize;
        slots.min(self.behaviour.cold_slots as usize + by_time.min(by_work))
    }

    fn arrived(&mut self, work: Work) {
        if self.state == LifeState::Crashed {
            return;
        }
        if let WorkKind::Search { index_version, .. } = &work.kind
            && self.dropped_versions.contains(index_version)
        {
            let reply = upstream_replies::version_gone();
            let _gone = work.reply.send(WorkReply::Done(self.stamp(reply)));
            return;
        }
        if self.queue.len() >= QUEUE_FACTOR * self.behaviour.slots as usize {
            return self.shed(work);
        }
        self.queue.push_back(work);
        // An upstream that bears its slots is warm; more requests wait in its queue as usual.
        let cold = self.capacity() < self.behaviour.slots as usize;
        let load = self.queue.len() + self.running.len();
        if cold && load > self.capacity() && !self.is_tolerated(Instant::now()) {
            self.overload = self.overload_trace();
            self.step(LifeEvent::Overloaded);
        }
    }

    /// Whether no node could know yet that the upstream is cold.
    fn is_tolerated(&self, now: Instant) -> bool {
        let silent = self.unseen
            && match self.first_reply {
                Some(at) => now < at + DETECTION_TIME,
                None => now < self.cold_since + UNSEEN_TIME,
            };
        silent || now < self.tolerated_until
    }

    /// What it has and bears; taken before the step, because the state decides what it bears.
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
            "{}: {} ms after its cold start, {first_reply}, it bears {} and has {}",
            self.name,
            self.cold_since.elapsed().as_millis(),
            self.capacity(),
            attempts.join(", ")
        )
    }

    fn shed(&self, work: Work) {
        self.ledger.add(&self.name, Deed::Shed);
        let _gone = work.reply.send(WorkReply::Shed);
    }

    fn start_queued(&mut self) {
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
            self.run_work(work);
        }
    }

    fn run_work(&mut self, work: Work) {
        let arrived = work.arrived;
        let deed = match work.kind.clone() {
            WorkKind::Search { query, limit, .. } => {
                self.fatal = query.starts_with(CRASH_TEXT).then(|| Arc::clone(&query));
                Deed::ShardStarted {
                    arrived,
                    query,
                    limit,
                }
            }
            WorkKind::Booking {
                booking_id,
                content,
            } => Deed::BookingRan {
                arrived,
                booking_id,
                content,
            },
        };
        self.ledger.add(&self.name, deed);
        if self.fatal.is_some() {
            return self.step(LifeEvent::Crash);
        }
        let time = self.service_time();
        let done = Message::Done(work.id.clone(), self.start);
        self.running.insert(work.id.clone(), work);
        self.later(time, done);
    }

    fn service_time(&mut self) -> Duration {
        let mut factor = 0.5 + self.rng.f64();
        if self.rng.f64() < self.straggling {
            factor *= STRAGGLE_FACTOR;
        }
        if matches!(self.state, LifeState::Cold | LifeState::Warming) {
            factor *= COLD_FACTOR;
        }
        self.behaviour.service_time.mul_f64(factor)
    }

    fn later(&self, delay: Duration, message: Message) {
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            if let Some(tx) = tx.upgrade() {
                let _ended = tx.send(message);
            }
        });
    }

    fn cancel(&mut self, id: &str) {
        let queued = self.queue.iter().position(|work| work.id == id);
        let work = queued
            .and_then(|position| self.queue.remove(position))
            .or_else(|| self.running.remove(id));
        if let Some(work) = work {
            let _gone = work.reply.send(WorkReply::Cancelled);
        }
    }

    fn done(&mut self, id: &str) {
        let Some(work) = self.running.remove(id) else {
            return;
        };
        let reply = match &work.kind {
            WorkKind::Search {
                shard,
                index_version,
                query,
                limit,
            } => upstream_replies::search(*shard, *index_version, query, *limit),
            WorkKind::Booking { content, .. } => upstream_replies::booking(content),
        };
        let reply = self.stamp(reply);
        // A reply that nobody waits for, such as one on a connection that was reset, shows nothing.
        if work.reply.send(WorkReply::Done(reply)).is_err() {
            self.ledger.add(&self.name, Deed::ReplyUnwanted);
        } else {
            self.first_reply.get_or_insert_with(Instant::now);
        }
        self.replies_since_cold = self.replies_since_cold.saturating_add(1);
        self.step(LifeEvent::Replied);
    }

    fn stamp(&mut self, reply: HttpReply) -> HttpReply {
        let (in_flight, slots) = self.report();
        let uptime = epoch_ms().saturating_sub(self.started_at_ms);
        reply
            .header("x-start-time", self.started_at_ms.to_string())
            .header("x-uptime-ms", uptime.to_string())
            .header("x-in-flight", in_flight.to_string())
            .header("x-slots", slots.to_string())
    }

    /// Load as reported, which lags, and slots.
    fn report(&mut self) -> (usize, u32) {
        if self.reported.0.elapsed() >= REPORT_LAG {
            self.reported = (Instant::now(), self.running.len() + self.queue.len());
        }
        (self.reported.1, self.behaviour.slots)
    }
}

fn epoch_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

//! The task that owns one connection to a peer.

use crate::{
    control_task::FRESHNESS_PERIOD,
    link::{Authenticated, Connected, Link, LinkInput},
    link_machine::{LinkAction, LinkEvent, LinkMachine, LinkState},
    link_queue::{LinkQueue, Queued},
    prelude::*,
};
use medlarpost_wire::prelude::{FleetKey, Heartbeat, Hello, Message, Side, WireError};
use tokio::net::TcpStream;

/// Time that a peer has for its greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Heartbeats that a peer may miss.
const MISSED_HEARTBEATS: u32 = 3;

/// Shortest and longest time between heartbeats that a peer may announce.
const PEER_INTERVALS: [Duration; 2] = [Duration::from_millis(50), Duration::from_mins(1)];

/// Shortest time between heartbeats to a peer.
const MIN_HEARTBEAT: Duration = Duration::from_millis(500);

/// Time between heartbeats for each published node, so that the bytes a node sends don't grow with the fleet: a
/// heartbeat each 20 ms at most.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(20);

/// What every heartbeat of this node says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Statement {
    /// Version in force; 0 if none.
    pub version: u64,
    /// Time between heartbeats.
    pub interval: Duration,
    /// Whether peers should answer each heartbeat at once.
    pub answer_wanted: bool,
}

impl Statement {
    /// What a node says in a fleet of `published` nodes. One that is `alone` without its platform wants its peers to
    /// confirm its version before it lapses.
    pub(crate) fn new(version: u64, alone: bool, published: u32) -> Self {
        let interval = if alone {
            FRESHNESS_PERIOD / 4
        } else {
            (HEARTBEAT_SPACING * published).max(MIN_HEARTBEAT)
        };
        Self {
            version,
            interval,
            answer_wanted: alone,
        }
    }
}

/// What links tell the control task.
#[derive(Debug)]
pub enum LinkNotice {
    /// A peer is authenticated. The link waits for its key.
    Up {
        /// Who the peer is.
        peer: Hello,
        /// Sends messages to the peer; the link closes when it is dropped.
        sender: mpsc::Sender<Message>,
        /// Takes the key that later notices carry.
        key: oneshot::Sender<PeerKey>,
    },
    /// The peer said which version is in force.
    Said {
        /// The peer.
        peer: PeerKey,
        /// Version in force at the peer.
        version: u64,
        /// When this node sent what the peer answers; zero if the peer has received nothing yet.
        asked: Timestamp,
    },
    /// The peer sent another message.
    Received {
        /// The peer.
        peer: PeerKey,
        /// The message.
        message: Message,
    },
    /// The link ended.
    Down(PeerKey),
}

/// Surroundings of the links of one node.
#[derive(Clone, Debug)]
pub struct LinkParts {
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Name of the node.
    pub node: String,
    /// Start of the node.
    pub start: u64,
    /// Key of the fleet.
    pub key: FleetKey,
    /// What heartbeats say.
    pub statement: watch::Receiver<Statement>,
    /// The control task. Links wait when its queue is full, which slows the peers down.
    pub control: mpsc::Sender<LinkNotice>,
}

struct LinkTask {
    parts: LinkParts,
    chart: Arc<Chart<LinkMachine>>,
    state: LinkState,
    peer: PeerKey,
    /// Set while the link is up.
    wire: Option<Wire>,
}

struct Wire {
    link: Link<Authenticated>,
    queue: LinkQueue,
    orders: mpsc::Receiver<Message>,
    /// Newest time of the peer's clock that it sent.
    heard: Timestamp,
    last_sent: Timestamp,
    next_beat: Timestamp,
    silent_at: Timestamp,
    /// Bytes counted so far, sent and received.
    counted: (u64, u64),
}

/// Runs a link until it ends.
pub async fn run(parts: LinkParts, stream: TcpStream, side: Side) {
    let Ok(chart) = Chart::load() else {
        // Checked when the node started.
        return;
    };
    let state = chart.initial();
    let mut task = LinkTask {
        parts,
        chart: Arc::new(chart),
        state,
        peer: PeerKey::default(),
        wire: None,
    };
    task.greet(Link::<Connected>::new(stream, side)).await;
    while task.state == LinkState::Up {
        if let Err((event, fault)) = task.serve().await {
            task.step(event, fault).await;
        }
    }
}

impl LinkTask {
    async fn greet(&mut self, link: Link<Connected>) {
        let mut nonce = [0; 16];
        fastrand::Rng::new().fill(&mut nonce);
        let hello = Hello::new(&self.parts.node, self.parts.start, nonce);
        let greeting = link.authenticate(self.parts.key.clone(), &hello);
        let event = match actix_rt::time::timeout(GREETING_TIMEOUT, greeting).await {
            Err(_) => (LinkEvent::Silent, "timeout"),
            Ok(Err(fault)) => (refusal(&fault), reason(&fault)),
            Ok(Ok((peer, _))) if peer.node == self.parts.node => (LinkEvent::Refused, "own_name"),
            Ok(Ok((peer, link))) => self.announce(peer, link).await,
        };
        self.step(event.0, event.1).await;
    }

    async fn announce(
        &mut self,
        peer: Hello,
        link: Link<Authenticated>,
    ) -> (LinkEvent, &'static str) {
        let (sender, orders) = mpsc::channel(LinkQueue::CAPACITY);
        let (key, key_rx) = oneshot::channel();
        let notice = LinkNotice::Up { peer, sender, key };
        let _ended = self.parts.control.send(notice).await;
        let Ok(peer) = key_rx.await else {
            return (LinkEvent::Retired, "retired");
        };
        let now = self.parts.clock.now();
        self.peer = peer;
        self.wire = Some(Wire {
            link,
            queue: LinkQueue::new(LinkQueue::CAPACITY),
            orders,
            heard: Timestamp::ZERO,
            last_sent: Timestamp::ZERO,
            next_beat: now,
            silent_at: now + GREETING_TIMEOUT,
            counted: (0, 0),
        });
        (LinkEvent::Greeted, "greeted")
    }

    async fn step(&mut self, event: LinkEvent, reason: &'static str) {
        let chart = Arc::clone(&self.chart);
        let step = chart.step(self.state, event, |guard| match guard {});
        self.state = step.next;
        for action in step.actions {
            match action {
                LinkAction::Announce => self.parts.metrics.links_up(1),
                LinkAction::Beat => self.beat(),
                LinkAction::CountRefusal => {
                    self.parts.metrics.link_refused(reason);
                    warn!(self.parts.log, "link_refused"; "reason" => reason);
                }
                LinkAction::CountLoss => {
                    self.parts.metrics.link_lost(reason);
                    info!(self.parts.log, "link_lost"; "reason" => reason);
                }
                LinkAction::Report => {
                    self.parts.metrics.links_up(-1);
                    let _ended = self.parts.control.send(LinkNotice::Down(self.peer)).await;
                }
            }
        }
    }

    /// Waits for one thing and handles it.
    async fn serve(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let clock = self.parts.clock;
        let Some(wire) = &mut self.wire else {
            return Err((LinkEvent::Retired, "retired"));
        };
        let wakeup = clock.instant(wire.next_beat.min(wire.silent_at));
        tokio::select! {
            input = wire.link.next(!wire.queue.is_empty()) => match input {
                Ok(LinkInput::Writable) => self.send()?,
                Ok(LinkInput::Received(message)) => self.received(message).await,
                Err(fault) => return Err((LinkEvent::Broken, reason(&fault))),
            },
            order = wire.orders.recv() => match order {
                Some(message) => self.push(message)?,
                None => return Err((LinkEvent::Retired, "retired")),
            },
            changed = self.parts.statement.changed() => match changed {
                Ok(()) => self.beat(),
                Err(_) => return Err((LinkEvent::Retired, "retired")),
            },
            () = tokio::time::sleep_until(wakeup) => self.time_passed()?,
        }
        Ok(())
    }

    fn send(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let Some(wire) = &mut self.wire else {
            return Ok(());
        };
        if let Some(message) = wire.queue.pop() {
            let sent = wire.link.send(&message);
            sent.map_err(|fault| (LinkEvent::Broken, reason(&fault)))?;
        }
        self.count();
        Ok(())
    }

    fn push(&mut self, message: Message) -> Result<(), (LinkEvent, &'static str)> {
        let Some(wire) = &mut self.wire else {
            return Ok(());
        };
        match wire.queue.push(message) {
            Queued::Kept => Ok(()),
            Queued::DroppedNews => {
                self.parts.metrics.news_dropped();
                Ok(())
            }
            Queued::Full => Err((LinkEvent::Broken, "slow")),
        }
    }

    async fn received(&mut self, message: Message) {
        let now = self.parts.clock.now();
        self.count();
        let Some(wire) = &mut self.wire else {
            return;
        };
        let peer = self.peer;
        let Message::Heartbeat(heartbeat) = message else {
            let notice = LinkNotice::Received { peer, message };
            let _ended = self.parts.control.send(notice).await;
            return;
        };
        let [shortest, longest] = PEER_INTERVALS;
        let interval = heartbeat.interval.clamp(shortest, longest);
        wire.silent_at = now + interval * MISSED_HEARTBEATS;
        wire.heard = wire.heard.max(heartbeat.sent);
        // An echo of a time that this node has not sent is no answer.
        let asked = heartbeat.echo.min(wire.last_sent);
        if heartbeat.answer_wanted || asked == Timestamp::ZERO {
            self.answer();
        }
        let version = heartbeat.version;
        let notice = LinkNotice::Said {
            peer,
            version,
            asked,
        };
        let _ended = self.parts.control.send(notice).await;
    }

    /// Sends a heartbeat and the time for the next one.
    fn beat(&mut self) {
        let statement = *self.parts.statement.borrow_and_update();
        if let Some(wire) = &mut self.wire {
            wire.next_beat = self.parts.clock.now() + statement.interval;
        }
        self.say(statement);
    }

    /// Answers a heartbeat. An answer asks for none, so that two nodes don't answer each other without end.
    fn answer(&mut self) {
        let statement = *self.parts.statement.borrow();
        self.say(Statement {
            answer_wanted: false,
            ..statement
        });
    }

    fn say(&mut self, statement: Statement) {
        let Some(wire) = &mut self.wire else {
            return;
        };
        wire.last_sent = self.parts.clock.now();
        let heartbeat = Message::Heartbeat(Heartbeat {
            version: statement.version,
            sent: wire.last_sent,
            echo: wire.heard,
            interval: statement.interval,
            answer_wanted: statement.answer_wanted,
        });
        // A queue that is full closes the link with the next message that is not a heartbeat.
        let _full = wire.queue.push(heartbeat);
    }

    fn time_passed(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let now = self.parts.clock.now();
        let Some(wire) = &self.wire else {
            return Ok(());
        };
        if now >= wire.silent_at {
            return Err((LinkEvent::Silent, "silent"));
        }
        if now >= wire.next_beat {
            self.beat();
        }
        Ok(())
    }

    fn count(&mut self) {
        if let Some(wire) = &mut self.wire {
            let (sent, received) = wire.link.bytes();
            let (sent_before, received_before) = wire.counted;
            wire.counted = (sent, received);
            self.parts
                .metrics
                .link_bytes(sent - sent_before, received - received_before);
        }
    }
}

/// Event of a greeting that failed.
fn refusal(fault: &WireError) -> LinkEvent {
    match fault {
        WireError::Socket { .. } | WireError::Truncated => LinkEvent::Broken,
        _ => LinkEvent::Refused,
    }
}

/// Label of a fault, for metrics and logs.
fn reason(fault: &WireError) -> &'static str {
    match fault {
        WireError::Socket { .. } => "socket",
        WireError::TooLong { .. } => "too_long",
        WireError::Truncated => "ended",
        WireError::NotAuthentic => "not_authentic",
        WireError::WrongKey => "wrong_key",
        WireError::Sequence { .. } => "sequence",
        WireError::Malformed { .. } => "malformed",
        WireError::UnknownType => "unknown_type",
        WireError::MajorVersion { .. } => "major_version",
    }
}

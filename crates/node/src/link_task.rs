//! The task that owns one connection to a peer: it authenticates the peer, exchanges heartbeats and passes messages.

use crate::{
    control_task::FRESHNESS_PERIOD,
    link::{Authenticated, Connected, Link, LinkInput},
    link_machine::{LinkAction, LinkEvent, LinkMachine, LinkState},
    link_queue::{LinkQueue, PushOutcome},
    prelude::*,
};
use medlarpost_wire::prelude::{FleetKey, Heartbeat, Hello, Message, Side, WireError};
use tokio::net::TcpStream;

/// Time limit for the handshake, and for the first heartbeat after it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Heartbeat intervals without a heartbeat after which a peer counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Lower and upper bound of the heartbeat interval that a peer announces.
const PEER_INTERVAL_LIMITS: [Duration; 2] = [Duration::from_millis(50), Duration::from_mins(1)];

/// Lower bound of this node's heartbeat interval.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the heartbeat interval for each published node. The interval grows with the fleet, so that a node sends at
/// most one heartbeat each 20 ms however many peers it has.
const HEARTBEAT_INTERVAL_PER_NODE: Duration = Duration::from_millis(20);

/// Content that the heartbeats of this node have in common.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatContent {
    /// Active version; 0 if none.
    pub version: u64,
    /// Time until the next heartbeat.
    pub interval: Duration,
    /// Whether peers have to answer a heartbeat at once.
    pub answer_wanted: bool,
}

impl HeartbeatContent {
    /// Content for a fleet of `published` nodes. A node that the platform leaves `unconfirmed` sends more often and
    /// asks for answers, so that its peers confirm its version before its confirmation lapses.
    pub(crate) fn new(version: u64, unconfirmed: bool, published: u32) -> Self {
        let interval = if unconfirmed {
            FRESHNESS_PERIOD / 4
        } else {
            (HEARTBEAT_INTERVAL_PER_NODE * published).max(MIN_HEARTBEAT_INTERVAL)
        };
        Self {
            version,
            interval,
            answer_wanted: unconfirmed,
        }
    }
}

/// A notice of a link to the control task.
#[derive(Debug)]
pub enum LinkNotice {
    /// A peer is authenticated. The link waits until the control task has sent its key.
    Up {
        /// Name and start of the peer.
        peer: Hello,
        /// Sends messages to the peer; the link closes when it is dropped.
        sender: mpsc::Sender<Message>,
        /// Receives the key that identifies the peer in later notices.
        key: oneshot::Sender<PeerKey>,
    },
    /// The peer reported its active version.
    PeerVersion {
        /// The peer.
        peer: PeerKey,
        /// Version active at the peer; 0 if none.
        version: u64,
        /// When this node sent the heartbeat that the peer answers; zero if the peer has received none yet.
        asked: Timestamp,
    },
    /// The peer sent another message.
    Received {
        /// The peer.
        peer: PeerKey,
        /// The message.
        message: Message,
    },
    /// The link to this peer ended.
    Down(PeerKey),
}

/// Dependencies that all links of a node share.
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
    /// Identifies this run of the node's process.
    pub start: u64,
    /// Key that all nodes of the fleet hold.
    pub key: FleetKey,
    /// Content of the heartbeats.
    pub heartbeat_content: watch::Receiver<HeartbeatContent>,
    /// Queue of the control task. When it is full, links wait and read no more, which slows the peers down.
    pub control: mpsc::Sender<LinkNotice>,
}

struct LinkTask {
    parts: LinkParts,
    chart: Arc<Chart<LinkMachine>>,
    state: LinkState,
    peer: PeerKey,
    /// Set once the peer is authenticated and registered.
    established: Option<EstablishedLink>,
}

struct EstablishedLink {
    link: Link<Authenticated>,
    queue: LinkQueue,
    outgoing: mpsc::Receiver<Message>,
    /// Latest send time, by the peer's clock, of its heartbeats; echoed so that it can date the answer.
    newest_peer_time: Timestamp,
    last_sent: Timestamp,
    next_heartbeat: Timestamp,
    silence_deadline: Timestamp,
    /// Bytes sent and received that the metrics already include.
    counted_bytes: (u64, u64),
}

/// Runs a link from its handshake to its end.
pub async fn run(parts: LinkParts, stream: TcpStream, side: Side) {
    let Ok(chart) = Chart::load() else {
        // Unreachable: the chart was checked when the node started.
        return;
    };
    let state = chart.initial();
    let mut task = LinkTask {
        parts,
        chart: Arc::new(chart),
        state,
        peer: PeerKey::default(),
        established: None,
    };
    task.authenticate(Link::<Connected>::new(stream, side))
        .await;
    while task.state == LinkState::Up {
        if let Err((event, reason)) = task.handle_next_input().await {
            task.handle_event(event, reason).await;
        }
    }
}

impl LinkTask {
    async fn authenticate(&mut self, link: Link<Connected>) {
        let mut nonce = [0; 16];
        fastrand::Rng::new().fill(&mut nonce);
        let hello = Hello::new(&self.parts.node, self.parts.start, nonce);
        let handshake = link.authenticate(self.parts.key.clone(), &hello);
        let event = match actix_rt::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Err(_) => (LinkEvent::Silent, "timeout"),
            Ok(Err(error)) => (handshake_failure(&error), fault_label(&error)),
            Ok(Ok((peer, _))) if peer.node == self.parts.node => (LinkEvent::Refused, "own_name"),
            Ok(Ok((peer, link))) => self.register_with_control(peer, link).await,
        };
        self.handle_event(event.0, event.1).await;
    }

    async fn register_with_control(
        &mut self,
        peer: Hello,
        link: Link<Authenticated>,
    ) -> (LinkEvent, &'static str) {
        let (sender, outgoing) = mpsc::channel(LinkQueue::CAPACITY);
        let (key, key_rx) = oneshot::channel();
        let notice = LinkNotice::Up { peer, sender, key };
        let _ended = self.parts.control.send(notice).await;
        let Ok(peer) = key_rx.await else {
            return (LinkEvent::Retired, "retired");
        };
        let now = self.parts.clock.now();
        self.peer = peer;
        self.established = Some(EstablishedLink {
            link,
            queue: LinkQueue::new(LinkQueue::CAPACITY),
            outgoing,
            newest_peer_time: Timestamp::ZERO,
            last_sent: Timestamp::ZERO,
            next_heartbeat: now,
            silence_deadline: now + HANDSHAKE_TIMEOUT,
            counted_bytes: (0, 0),
        });
        (LinkEvent::Greeted, "greeted")
    }

    async fn handle_event(&mut self, event: LinkEvent, reason: &'static str) {
        let chart = Arc::clone(&self.chart);
        let step = chart.step(self.state, event, |guard| match guard {});
        self.state = step.next;
        for action in step.actions {
            match action {
                LinkAction::Announce => self.parts.metrics.change_link_count(1),
                LinkAction::Beat => self.send_heartbeat(),
                LinkAction::CountRefusal => {
                    self.parts.metrics.record_refused_link(reason);
                    warn!(self.parts.log, "link_refused"; "reason" => reason);
                }
                LinkAction::CountLoss => {
                    self.parts.metrics.record_lost_link(reason);
                    info!(self.parts.log, "link_lost"; "reason" => reason);
                }
                LinkAction::Report => {
                    self.parts.metrics.change_link_count(-1);
                    let _ended = self.parts.control.send(LinkNotice::Down(self.peer)).await;
                }
            }
        }
    }

    /// Waits for the next input and handles it.
    async fn handle_next_input(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let clock = self.parts.clock;
        let Some(established) = &mut self.established else {
            return Err((LinkEvent::Retired, "retired"));
        };
        let wakeup = clock.instant(established.next_heartbeat.min(established.silence_deadline));
        tokio::select! {
            input = established.link.next_input(!established.queue.is_empty()) => match input {
                Ok(LinkInput::Writable) => self.send_queued()?,
                Ok(LinkInput::Received(message)) => self.on_message(message).await,
                Err(error) => return Err((LinkEvent::Broken, fault_label(&error))),
            },
            message = established.outgoing.recv() => match message {
                Some(message) => self.enqueue(message)?,
                None => return Err((LinkEvent::Retired, "retired")),
            },
            changed = self.parts.heartbeat_content.changed() => match changed {
                Ok(()) => self.send_heartbeat(),
                Err(_) => return Err((LinkEvent::Retired, "retired")),
            },
            () = tokio::time::sleep_until(wakeup) => self.on_timer()?,
        }
        Ok(())
    }

    fn send_queued(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let Some(established) = &mut self.established else {
            return Ok(());
        };
        if let Some(message) = established.queue.pop() {
            let sent = established.link.send(&message);
            sent.map_err(|error| (LinkEvent::Broken, fault_label(&error)))?;
        }
        self.count_bytes();
        Ok(())
    }

    fn enqueue(&mut self, message: Message) -> Result<(), (LinkEvent, &'static str)> {
        let Some(established) = &mut self.established else {
            return Ok(());
        };
        match established.queue.push(message) {
            PushOutcome::Queued => Ok(()),
            PushOutcome::DroppedNews => {
                self.parts.metrics.record_dropped_news();
                Ok(())
            }
            PushOutcome::Full => Err((LinkEvent::Broken, "slow")),
        }
    }

    async fn on_message(&mut self, message: Message) {
        let now = self.parts.clock.now();
        self.count_bytes();
        let Some(established) = &mut self.established else {
            return;
        };
        let peer = self.peer;
        let Message::Heartbeat(heartbeat) = message else {
            let notice = LinkNotice::Received { peer, message };
            let _ended = self.parts.control.send(notice).await;
            return;
        };
        let [shortest, longest] = PEER_INTERVAL_LIMITS;
        let interval = heartbeat.interval.clamp(shortest, longest);
        established.silence_deadline = now + interval * MAX_MISSED_HEARTBEATS;
        established.newest_peer_time = established.newest_peer_time.max(heartbeat.sent);
        // An echo later than the last heartbeat sent can't come from this node and must not count as a newer answer.
        let asked = heartbeat.echo.min(established.last_sent);
        if heartbeat.answer_wanted || asked == Timestamp::ZERO {
            self.answer_heartbeat();
        }
        let version = heartbeat.version;
        let notice = LinkNotice::PeerVersion {
            peer,
            version,
            asked,
        };
        let _ended = self.parts.control.send(notice).await;
    }

    /// Queues a heartbeat and schedules the next one.
    fn send_heartbeat(&mut self) {
        let heartbeat_content = *self.parts.heartbeat_content.borrow_and_update();
        if let Some(established) = &mut self.established {
            established.next_heartbeat = self.parts.clock.now() + heartbeat_content.interval;
        }
        self.enqueue_heartbeat(heartbeat_content);
    }

    /// Answers a heartbeat. The answer wants no answer itself, or two nodes would answer each other without end.
    fn answer_heartbeat(&mut self) {
        let heartbeat_content = *self.parts.heartbeat_content.borrow();
        self.enqueue_heartbeat(HeartbeatContent {
            answer_wanted: false,
            ..heartbeat_content
        });
    }

    fn enqueue_heartbeat(&mut self, heartbeat_content: HeartbeatContent) {
        let Some(established) = &mut self.established else {
            return;
        };
        established.last_sent = self.parts.clock.now();
        let heartbeat = Message::Heartbeat(Heartbeat {
            version: heartbeat_content.version,
            sent: established.last_sent,
            echo: established.newest_peer_time,
            interval: heartbeat_content.interval,
            answer_wanted: heartbeat_content.answer_wanted,
        });
        // If the queue is full, the heartbeat is lost, and the next message of another kind closes the link.
        let _full = established.queue.push(heartbeat);
    }

    fn on_timer(&mut self) -> Result<(), (LinkEvent, &'static str)> {
        let now = self.parts.clock.now();
        let Some(established) = &self.established else {
            return Ok(());
        };
        if now >= established.silence_deadline {
            return Err((LinkEvent::Silent, "silent"));
        }
        if now >= established.next_heartbeat {
            self.send_heartbeat();
        }
        Ok(())
    }

    fn count_bytes(&mut self) {
        if let Some(established) = &mut self.established {
            let (sent, received) = established.link.byte_counts();
            let (sent_before, received_before) = established.counted_bytes;
            established.counted_bytes = (sent, received);
            self.parts
                .metrics
                .add_link_bytes(sent - sent_before, received - received_before);
        }
    }
}

/// Chart event of a failed handshake.
fn handshake_failure(error: &WireError) -> LinkEvent {
    match error {
        WireError::Socket { .. } | WireError::Truncated => LinkEvent::Broken,
        _ => LinkEvent::Refused,
    }
}

/// Label of an error in metrics and logs.
fn fault_label(error: &WireError) -> &'static str {
    match error {
        WireError::Socket { .. } => "socket",
        WireError::TooLong { .. } => "too_long",
        WireError::Truncated => "ended",
        WireError::NotAuthentic => "not_authentic",
        WireError::WrongKey => "wrong_key",
        WireError::SequenceMismatch { .. } => "sequence",
        WireError::Malformed { .. } => "malformed",
        WireError::UnknownType => "unknown_type",
        WireError::MajorVersion { .. } => "major_version",
    }
}

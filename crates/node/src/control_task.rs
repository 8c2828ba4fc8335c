//! The task that decides which configuration is in force and whether it is fresh, and that talks to the peers.

use crate::{
    control_parts::{ControlInputs, ControlOrder, ControlParts},
    engine_task::EngineNotice,
    forwarded_calls::{self, ForwardedBooking, ForwardedCalls},
    link_task::{LinkNotice, Statement},
    news_exchange::NewsExchange,
    peers::Peers,
    platform_watcher::PlatformMessage,
    prelude::*,
    redeem_calls::{self, RedeemedSender},
    relay::{Candidate, Relay, RelayStep},
    status_json::{ControlStatus, PeerStatus},
};
use medlarpost_core::bundle_check;
use medlarpost_wire::prelude::{Document, DocumentRequest, Hello, Message, Redeemed};

/// Time for which a confirmation of the configuration holds, F: 2 s today, from the design.
pub const FRESHNESS_PERIOD: Duration = Duration::from_secs(2);

/// Peers that a fresh start asks for the states of upstreams. All would send each of 2,500 states 440 times.
const STATES_FROM: u32 = 3;

/// Bookings of peers at a time; as many as messages that may wait for the engine.
const MAX_REDEEMING: usize = 4_096;

struct ControlTask {
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    engine: EngineSender,
    ready: watch::Sender<bool>,
    drained: watch::Sender<bool>,
    chart: Chart<NodeMachine>,
    state: NodeState,
    agreement: ConfigAgreement,
    fleet: Fleet,
    relay: Relay,
    /// The bundle in force.
    bundle: Option<Arc<ApprovedBundle>>,
    min_version: u64,
    last_refused: Option<String>,
    /// Version of the newest approved bundle that the platform has published.
    platform_version: u64,
    peers: Peers,
    news: NewsExchange,
    calls: ForwardedCalls,
    redeemed: RedeemedSender,
    /// Peers that were asked for the states of upstreams since the start or since this node was last cut off.
    asked_for_states: u32,
    /// Bookings of peers that the engine has not answered; at most [`MAX_REDEEMING`].
    redeeming: usize,
}

/// Starts the control task on the current runtime. It runs until the node ends.
///
/// # Errors
///
/// A faulty state chart.
pub fn start(parts: ControlParts, inputs: ControlInputs) -> Result<(), NodeError> {
    let (redeemed, redeemed_rx) = mpsc::unbounded_channel();
    let task = ControlTask::new(parts, redeemed)?;
    actix_rt::spawn(run(task, inputs, redeemed_rx));
    Ok(())
}

async fn run(
    mut task: ControlTask,
    mut inputs: ControlInputs,
    mut redeemed_rx: mpsc::UnboundedReceiver<(PeerKey, Redeemed)>,
) {
    loop {
        let wakeup = task.clock.instant(task.next_wakeup());
        tokio::select! {
            Some(message) = inputs.platform.recv() => task.platform(message).await,
            Some(notice) = inputs.notices.recv() => task.notice(notice),
            Some(notice) = inputs.links.recv() => task.link(notice).await,
            Some((peer, redeemed)) = redeemed_rx.recv() => task.redeemed(peer, redeemed),
            order = inputs.orders.recv() => match order {
                Some(order) => task.order(order).await,
                None => return,
            },
            () = tokio::time::sleep_until(wakeup) => task.calls.refuse_expired(task.clock.now()),
        }
        task.agree(ConfigAgreementInput::Reevaluate, None).await;
        task.state_version();
    }
}

impl ControlTask {
    fn new(parts: ControlParts, redeemed: RedeemedSender) -> Result<Self, NodeError> {
        let now = parts.clock.now();
        let settings = ConfigAgreementSettings {
            freshness: FRESHNESS_PERIOD,
            join_wait: parts.join_wait,
            min_version: parts.min_version,
        };
        let agreement = ConfigAgreement::new(settings, now).context(node_error::ChartSnafu)?;
        let chart: Chart<NodeMachine> = Chart::load().context(node_error::ChartSnafu)?;
        Ok(Self {
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            engine: parts.engine,
            ready: parts.ready,
            drained: parts.drained,
            state: chart.initial(),
            chart,
            agreement,
            fleet: Fleet::new(&parts.links.node),
            relay: Relay::new(parts.owners),
            bundle: None,
            min_version: parts.min_version,
            last_refused: None,
            platform_version: 0,
            news: NewsExchange::new(&parts.links.node, parts.links.start),
            peers: Peers::new(parts.links, parts.workers, parts.statement),
            calls: ForwardedCalls::default(),
            redeemed,
            asked_for_states: 0,
            redeeming: 0,
        })
    }

    fn next_wakeup(&self) -> Timestamp {
        let now = self.clock.now();
        let agreement = self.agreement.next_wakeup();
        // Without a platform the statement changes before the confirmation runs out.
        let platform = (self.bundle.is_some()).then(|| now + FRESHNESS_PERIOD / 4);
        [agreement, platform, self.calls.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    async fn platform(&mut self, message: PlatformMessage) {
        match message {
            PlatformMessage::Envelope { envelope, parts } => {
                match self.relay.assemble(envelope, parts) {
                    Ok(candidate) => {
                        let version = candidate.bundle.version;
                        // One that is refused leaves what the platform published before as confirmed.
                        if self.offer(candidate).await {
                            self.platform_version = version;
                        }
                    }
                    Err(fault) => self.refuse_bundle(&fault),
                }
            }
            PlatformMessage::Refused(fault) => self.refuse_bundle(&fault),
            PlatformMessage::Vms(list) => self.publish(list.into_nodes()).await,
            PlatformMessage::Answered { asked } => {
                let version = self.platform_version;
                self.agree(
                    ConfigAgreementInput::PlatformVersion { version, asked },
                    None,
                )
                .await;
            }
        }
    }

    async fn publish(&mut self, nodes: Vec<FleetNode>) {
        if self.fleet.set_published_nodes(nodes) {
            self.peers
                .dial(self.fleet.published_nodes().unwrap_or_default());
            self.tell_fleet().await;
        }
    }

    async fn tell_fleet(&self) {
        let upstreams = self
            .bundle
            .as_ref()
            .map(|bundle| bundle.upstreams.as_slice());
        let view = self.fleet.view(upstreams.unwrap_or_default());
        self.tell_engine(Event::FleetChanged(view)).await;
    }

    /// Returns whether the bundle has no faults; one that is not newer stays out all the same.
    async fn offer(&mut self, candidate: Candidate) -> bool {
        let faults = bundle_check::check(&candidate.bundle, None);
        if let Some(first) = faults.first() {
            self.refuse_bundle(first);
            return false;
        }
        let offered = ConfigAgreementInput::BundleAvailable {
            version: candidate.bundle.version,
            digest: candidate.bundle.digest(),
        };
        self.agree(offered, Some(candidate)).await;
        true
    }

    /// Hands an input to the agreement and carries out what follows.
    async fn agree(&mut self, input: ConfigAgreementInput, candidate: Option<Candidate>) {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        self.agreement.handle(now, &self.fleet, input, &mut outputs);
        let mut candidate = candidate;
        for output in outputs {
            match output {
                ConfigAgreementOutput::Adopt(_) => {
                    if let Some(candidate) = candidate.take() {
                        self.adopt(candidate).await;
                    }
                }
                ConfigAgreementOutput::Conflict(version) => {
                    self.metrics.bundle_conflict();
                    warn!(self.log, "bundle_conflict"; "version" => version,
                        "remedy" => "publish a higher version");
                }
                ConfigAgreementOutput::RequestEnvelope { peer, .. } => {
                    self.ask(peer, DocumentRequest::for_envelope());
                }
                ConfigAgreementOutput::FreshUntil(until) => {
                    self.tell_engine(Event::FreshUntil(until)).await;
                    self.step(NodeEvent::Granted);
                }
                ConfigAgreementOutput::Lapsed => {
                    self.metrics.lapsed();
                    warn!(self.log, "freshness_lapsed"; "version" => self.agreement.version());
                    // Peers' news may have been missed as well.
                    self.asked_for_states = 0;
                    self.step(NodeEvent::Lapsed);
                }
            }
        }
    }

    async fn adopt(&mut self, candidate: Candidate) {
        let bundle = Arc::clone(&candidate.bundle);
        self.metrics.version(bundle.version);
        info!(self.log, "bundle_in_force"; "version" => bundle.version, "digest" => %bundle.digest());
        self.relay.set_current(candidate);
        self.bundle = Some(Arc::clone(&bundle));
        self.tell_engine(Event::Configure(bundle)).await;
        self.tell_fleet().await;
        self.step(NodeEvent::Configured);
    }

    /// Sets what heartbeats say; peers are asked at once while the platform's confirmation is about to end.
    fn state_version(&self) {
        let alone = !self
            .agreement
            .is_confirmed_by_platform(self.clock.now() + FRESHNESS_PERIOD / 4);
        let published = self.fleet.published_nodes().map_or(1, <[FleetNode]>::len) as u32;
        let version = self.agreement.version();
        self.peers.state(Statement::new(version, alone, published));
    }

    async fn link(&mut self, notice: LinkNotice) {
        match notice {
            LinkNotice::Up { peer, sender, key } => self.link_up(&peer, sender, key).await,
            LinkNotice::Said {
                peer,
                version,
                asked,
            } => {
                // A link that was replaced may still have notices under way.
                if asked > Timestamp::ZERO && self.fleet.has_peer(peer) {
                    let said = ConfigAgreementInput::PeerVersion {
                        peer,
                        version,
                        asked,
                    };
                    self.agree(said, None).await;
                }
            }
            LinkNotice::Received { peer, message } => self.message(peer, message).await,
            LinkNotice::Down(peer) => {
                self.fleet.remove_peer(peer);
                self.gone(peer).await;
            }
        }
    }

    async fn link_up(
        &mut self,
        hello: &Hello,
        sender: mpsc::Sender<Message>,
        key: oneshot::Sender<PeerKey>,
    ) {
        let peer = Peer {
            name: hello.node.clone(),
            start: hello.start,
        };
        let (peer, earlier) = self.fleet.add_peer(peer);
        info!(self.log, "link_up"; "peer" => &hello.node, "start" => hello.start);
        self.peers.up(peer, &hello.node, sender);
        if let Some(earlier) = earlier {
            self.gone(earlier).await;
        }
        // The link may have ended already; it then reports nothing, because it has no key.
        if key.send(peer).is_err() {
            self.fleet.remove_peer(peer);
            return self.gone(peer).await;
        }
        let wants_states = self.asked_for_states < STATES_FROM;
        self.asked_for_states += u32::from(wants_states);
        let request = DocumentRequest {
            nodes: self.fleet.published_nodes().is_none(),
            upstream_states: wants_states,
            ..DocumentRequest::default()
        };
        if request.nodes || request.upstream_states {
            self.ask(peer, request);
        }
        for batch in self.news.own(self.clock.now()) {
            self.peers.send(peer, Message::News(batch));
        }
    }

    async fn gone(&mut self, peer: PeerKey) {
        self.peers.down(peer);
        if self.fleet.lacks_majority() {
            self.asked_for_states = 0;
        }
        self.calls.refuse_for_lost_peer(peer);
        self.agree(ConfigAgreementInput::PeerDisconnected(peer), None)
            .await;
    }

    async fn message(&mut self, peer: PeerKey, message: Message) {
        match message {
            // Links keep heartbeats to themselves.
            Message::Heartbeat(_) => {}
            Message::DocumentRequest(request) => self.answer(peer, &request).await,
            Message::Document(Document::Nodes(nodes)) => {
                if self.fleet.published_nodes().is_none() {
                    self.publish(nodes).await;
                }
            }
            Message::Document(Document::Envelope(text)) => {
                let version = self.agreement.version();
                let step = self.relay.receive_envelope(peer, text, version);
                self.relayed(peer, step).await;
            }
            Message::Document(Document::Part(value)) => {
                let step = self.relay.receive_part(peer, &value);
                self.relayed(peer, step).await;
            }
            Message::News(items) => {
                for news in self.news.receive(self.clock.now(), items) {
                    self.tell_engine(Event::News(news)).await;
                }
            }
            Message::Redeem(redeem) if self.redeeming >= MAX_REDEEMING => {
                let redeemed = redeem_calls::overloaded(&redeem);
                self.peers.send(peer, Message::Redeemed(redeemed));
            }
            Message::Redeem(redeem) => {
                self.redeeming += 1;
                let (engine, outcomes) = (self.engine.clone(), self.redeemed.clone());
                redeem_calls::start(peer, redeem, engine, outcomes);
            }
            Message::Redeemed(redeemed) => self.calls.complete(peer, redeemed),
        }
    }

    async fn answer(&self, peer: PeerKey, request: &DocumentRequest) {
        if request.upstream_states {
            let _ended = self.engine.send(EngineMessage::States(peer)).await;
        }
        let nodes = self.fleet.published_nodes().filter(|_| request.nodes);
        let nodes = nodes.map(|nodes| Document::Nodes(nodes.to_vec()));
        for document in nodes.into_iter().chain(self.relay.documents_for(request)) {
            self.peers.send(peer, Message::Document(document));
        }
    }

    /// Asks the linked peers for the states of upstreams; peers whose links come up later are asked then.
    fn ask_for_states(&mut self) {
        let peers: Vec<_> = self.fleet.peers().take(STATES_FROM as usize).collect();
        self.asked_for_states = peers.len() as u32;
        for peer in peers {
            self.ask(peer, DocumentRequest::for_upstream_states());
        }
    }

    fn ask(&self, peer: PeerKey, request: DocumentRequest) {
        // A request that gets no answer is repeated, to another peer if there is one.
        self.peers.send(peer, Message::DocumentRequest(request));
    }

    async fn relayed(&mut self, peer: PeerKey, step: Result<RelayStep, EnvelopeError>) {
        match step {
            Ok(RelayStep::Wait) => {}
            Ok(RelayStep::RequestParts(request)) => self.ask(peer, request),
            Ok(RelayStep::Complete(candidate)) => {
                self.offer(*candidate).await;
            }
            Err(fault) => self.refuse_bundle(&fault),
        }
    }

    fn refuse_bundle(&mut self, fault: &impl std::fmt::Display) {
        self.last_refused = Some(fault.to_string());
        self.metrics.bundle_refused();
        warn!(self.log, "bundle_refused"; "fault" => %fault);
    }

    fn notice(&mut self, notice: EngineNotice) {
        match notice {
            EngineNotice::Share(news) => self.share(news),
            EngineNotice::States(peer, states) => {
                for batch in self.news.states(states) {
                    self.peers.send(peer, Message::News(batch));
                }
            }
            EngineNotice::Forward(booking) => self.forward(booking),
            EngineNotice::Able => self.step(NodeEvent::Able),
            EngineNotice::Unable => {
                warn!(self.log, "news_missed"; "version" => self.agreement.version());
                self.step(NodeEvent::Unable);
                self.ask_for_states();
            }
            EngineNotice::Drained => self.step(NodeEvent::Drained),
        }
    }

    fn share(&mut self, news: News) {
        let named = self.news.share(self.clock.now(), news);
        self.peers.broadcast(&Message::News(vec![named]));
    }

    fn forward(&mut self, booking: ForwardedBooking) {
        let Some(peer) = self.fleet.peer_key(&booking.node) else {
            return forwarded_calls::refuse_unreachable(booking);
        };
        let redeem = self.calls.add(self.clock.now(), peer, booking);
        let number = redeem.call;
        if !self.peers.send(peer, Message::Redeem(redeem)) {
            self.calls.refuse_unsent(number);
        }
    }

    fn redeemed(&mut self, peer: PeerKey, redeemed: Redeemed) {
        self.redeeming -= 1;
        // If the link is gone or full, the peer has refused its caller or will.
        self.peers.send(peer, Message::Redeemed(redeemed));
    }

    async fn order(&mut self, order: ControlOrder) {
        if let ControlOrder::Status(tx) = order {
            // The administrator may have closed the connection.
            let _gone = tx.send(self.status());
            return;
        }
        self.step(NodeEvent::Drain);
        if matches!(order, ControlOrder::Drain) {
            self.tell_engine(Event::Drain).await;
        }
    }

    fn status(&self) -> ControlStatus {
        let from_platform = self.platform_version >= self.agreement.version();
        let source = if from_platform { "platform" } else { "peers" };
        let nodes = self.fleet.published_nodes().unwrap_or_default();
        ControlStatus {
            version: self.agreement.version(),
            digest: self.bundle.as_ref().map(|bundle| bundle.digest()),
            source: self.bundle.as_ref().map(|_| source.to_owned()),
            min_version: self.min_version,
            ready: *self.ready.borrow(),
            reason: self.state.reason().to_owned(),
            last_refused_bundle: self.last_refused.clone(),
            peers: nodes
                .iter()
                .map(|node| PeerStatus::new(node, self.fleet.peer_key(&node.name).is_some()))
                .collect(),
        }
    }

    fn step(&mut self, event: NodeEvent) {
        let step = self.chart.step(self.state, event, |guard| match guard {});
        self.state = step.next;
        for action in step.actions {
            match action {
                NodeAction::Ready => self.ready.send_replace(true),
                NodeAction::Unready => self.ready.send_replace(false),
                NodeAction::Stop => self.drained.send_replace(true),
            };
        }
    }

    async fn tell_engine(&self, event: Event) {
        // The engine ends only with the node.
        let _ended = self.engine.send(EngineMessage::Event(event)).await;
    }
}

//! The task that decides which bundle is active and whether its confirmation is fresh, and that exchanges messages with
//! the peers.

use crate::{
    control_parts::{ControlCommand, ControlInputs, ControlParts},
    engine_task::EngineNotice,
    forwarded_calls::{self, ForwardedBooking, ForwardedCalls},
    link_task::{HeartbeatContent, LinkNotice},
    news_exchange::NewsExchange,
    peer_links::PeerLinks,
    platform_watcher::PlatformMessage,
    prelude::*,
    redeem_calls::{self, RedeemedSender},
    relay::{Candidate, Relay, RelayStep},
    status_json::{ControlStatus, PeerStatus},
};
use medlarpost_core::bundle_check;
use medlarpost_wire::prelude::{Document, DocumentRequest, Hello, Message, Redeemed};

/// Time for which a confirmation of the configuration is valid; the design calls it F and sets it to 2 s.
pub const FRESHNESS_PERIOD: Duration = Duration::from_secs(2);

/// Most peers that a node asks for the states of upstreams. In a fleet of 440 nodes, asking all would transfer each of
/// 2,500 states 440 times.
const MAX_PEERS_ASKED_FOR_STATES: u32 = 3;

/// Most forwarded bookings of peers that may wait for the engine; equal to the capacity of the engine's queue.
const MAX_PEER_BOOKINGS: usize = 4_096;

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
    /// The active bundle; `None` until the first is adopted.
    bundle: Option<Arc<ApprovedBundle>>,
    min_version: u64,
    last_bundle_error: Option<String>,
    /// Version of the newest valid bundle read from the platform; 0 before the first.
    platform_version: u64,
    peers: PeerLinks,
    news: NewsExchange,
    forwarded_calls: ForwardedCalls,
    redeemed: RedeemedSender,
    /// Peers asked for the states of upstreams since the start, the last loss of the majority or the last lapse.
    peers_asked_for_states: u32,
    /// Forwarded bookings of peers that the engine has not answered; at most [`MAX_PEER_BOOKINGS`].
    running_peer_bookings: usize,
}

/// Starts the control task on the current runtime. It ends when the channel of its commands closes.
///
/// # Errors
///
/// If a state chart is invalid.
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
            Some(message) = inputs.platform.recv() => task.on_platform_message(message).await,
            Some(notice) = inputs.notices.recv() => task.on_engine_notice(notice),
            Some(notice) = inputs.links.recv() => task.on_link_notice(notice).await,
            Some((peer, redeemed)) = redeemed_rx.recv() => task.on_redeemed(peer, redeemed),
            command = inputs.commands.recv() => match command {
                Some(command) => task.on_command(command).await,
                None => return,
            },
            () = tokio::time::sleep_until(wakeup) => task.forwarded_calls.refuse_expired(task.clock.now()),
        }
        task.update_agreement(ConfigAgreementInput::Reevaluate, None)
            .await;
        task.update_heartbeat_content();
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
            last_bundle_error: None,
            platform_version: 0,
            news: NewsExchange::new(&parts.links.node, parts.links.start),
            peers: PeerLinks::new(parts.links, parts.workers, parts.heartbeat_content),
            forwarded_calls: ForwardedCalls::default(),
            redeemed,
            peers_asked_for_states: 0,
            running_peer_bookings: 0,
        })
    }

    fn next_wakeup(&self) -> Timestamp {
        let now = self.clock.now();
        let agreement = self.agreement.next_wakeup();
        // Heartbeats change a quarter of the period before the platform's confirmation expires; checked as often.
        let platform = (self.bundle.is_some()).then(|| now + FRESHNESS_PERIOD / 4);
        [agreement, platform, self.forwarded_calls.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    async fn on_platform_message(&mut self, message: PlatformMessage) {
        match message {
            PlatformMessage::Envelope { envelope, parts } => {
                match self.relay.assemble(envelope, parts) {
                    Ok(candidate) => {
                        let version = candidate.bundle.version;
                        // A refused bundle leaves the platform's previous version confirmed.
                        if self.offer_bundle(candidate).await {
                            self.platform_version = version;
                        }
                    }
                    Err(error) => self.record_refused_bundle(&error),
                }
            }
            PlatformMessage::BundleRefused(error) => self.record_refused_bundle(&error),
            PlatformMessage::Vms(list) => self.set_published_nodes(list.into_nodes()).await,
            PlatformMessage::Answered { asked } => {
                let version = self.platform_version;
                self.update_agreement(
                    ConfigAgreementInput::PlatformVersion { version, asked },
                    None,
                )
                .await;
            }
        }
    }

    async fn set_published_nodes(&mut self, nodes: Vec<FleetNode>) {
        if self.fleet.set_published_nodes(nodes) {
            self.peers
                .update_diallers(self.fleet.published_nodes().unwrap_or_default());
            self.send_fleet_view().await;
        }
    }

    async fn send_fleet_view(&self) {
        let upstreams = self
            .bundle
            .as_ref()
            .map(|bundle| bundle.upstreams.as_slice());
        let view = self.fleet.view(upstreams.unwrap_or_default());
        self.send_to_engine(Event::FleetChanged(view)).await;
    }

    /// Offers a bundle to the agreement. Returns whether it is valid; a valid bundle is adopted only if it is newer.
    async fn offer_bundle(&mut self, candidate: Candidate) -> bool {
        let errors = bundle_check::check(&candidate.bundle, None);
        if let Some(first) = errors.first() {
            self.record_refused_bundle(first);
            return false;
        }
        let offered = ConfigAgreementInput::BundleAvailable {
            version: candidate.bundle.version,
            digest: candidate.bundle.digest(),
        };
        self.update_agreement(offered, Some(candidate)).await;
        true
    }

    /// Hands an input to the agreement and executes its outputs.
    async fn update_agreement(
        &mut self,
        input: ConfigAgreementInput,
        candidate: Option<Candidate>,
    ) {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        self.agreement.handle(now, &self.fleet, input, &mut outputs);
        let mut candidate = candidate;
        for output in outputs {
            match output {
                ConfigAgreementOutput::Adopt(_) => {
                    if let Some(candidate) = candidate.take() {
                        self.adopt_bundle(candidate).await;
                    }
                }
                ConfigAgreementOutput::Conflict(version) => {
                    self.metrics.record_bundle_conflict();
                    warn!(self.log, "bundle_conflict"; "version" => version,
                        "remedy" => "publish a bundle with a higher version");
                }
                ConfigAgreementOutput::RequestEnvelope { peer, .. } => {
                    self.request_documents(peer, DocumentRequest::for_envelope());
                }
                ConfigAgreementOutput::FreshUntil(until) => {
                    self.send_to_engine(Event::FreshUntil(until)).await;
                    self.handle_event(NodeEvent::Granted);
                }
                ConfigAgreementOutput::Lapsed => {
                    self.metrics.record_lapse();
                    warn!(self.log, "freshness_lapsed"; "version" => self.agreement.version());
                    // News of peers may have been missed as well.
                    self.peers_asked_for_states = 0;
                    self.handle_event(NodeEvent::Lapsed);
                }
            }
        }
    }

    async fn adopt_bundle(&mut self, candidate: Candidate) {
        let bundle = Arc::clone(&candidate.bundle);
        self.metrics.set_active_version(bundle.version);
        info!(self.log, "bundle_in_force"; "version" => bundle.version, "digest" => %bundle.digest());
        self.relay.set_current(candidate);
        self.bundle = Some(Arc::clone(&bundle));
        self.send_to_engine(Event::Configure(bundle)).await;
        self.send_fleet_view().await;
        self.handle_event(NodeEvent::Configured);
    }

    /// Sets the content of heartbeats. While the platform's confirmation has expired or is about to, they ask the peers
    /// for an immediate answer.
    fn update_heartbeat_content(&self) {
        let unconfirmed = !self
            .agreement
            .is_confirmed_by_platform(self.clock.now() + FRESHNESS_PERIOD / 4);
        let published = self.fleet.published_nodes().map_or(1, <[FleetNode]>::len) as u32;
        let version = self.agreement.version();
        self.peers
            .set_heartbeat_content(HeartbeatContent::new(version, unconfirmed, published));
    }

    async fn on_link_notice(&mut self, notice: LinkNotice) {
        match notice {
            LinkNotice::Up { peer, sender, key } => self.on_link_up(&peer, sender, key).await,
            LinkNotice::PeerVersion {
                peer,
                version,
                asked,
            } => {
                // A link that was replaced may still have notices in the queue.
                if asked > Timestamp::ZERO && self.fleet.has_peer(peer) {
                    let report = ConfigAgreementInput::PeerVersion {
                        peer,
                        version,
                        asked,
                    };
                    self.update_agreement(report, None).await;
                }
            }
            LinkNotice::Received { peer, message } => self.on_peer_message(peer, message).await,
            LinkNotice::Down(peer) => {
                self.fleet.remove_peer(peer);
                self.on_peer_gone(peer).await;
            }
        }
    }

    async fn on_link_up(
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
        self.peers.add_link(peer, &hello.node, sender);
        if let Some(earlier) = earlier {
            self.on_peer_gone(earlier).await;
        }
        // If the link has already ended, it has no key and can't report its end itself.
        if key.send(peer).is_err() {
            self.fleet.remove_peer(peer);
            return self.on_peer_gone(peer).await;
        }
        let wants_states = self.peers_asked_for_states < MAX_PEERS_ASKED_FOR_STATES;
        self.peers_asked_for_states += u32::from(wants_states);
        let request = DocumentRequest {
            nodes: self.fleet.published_nodes().is_none(),
            upstream_states: wants_states,
            ..DocumentRequest::default()
        };
        if request.nodes || request.upstream_states {
            self.request_documents(peer, request);
        }
        for batch in self.news.unexpired_own(self.clock.now()) {
            self.peers.send(peer, Message::News(batch));
        }
    }

    async fn on_peer_gone(&mut self, peer: PeerKey) {
        self.peers.remove_link(peer);
        if self.fleet.lacks_majority() {
            self.peers_asked_for_states = 0;
        }
        self.forwarded_calls.refuse_for_lost_peer(peer);
        self.update_agreement(ConfigAgreementInput::PeerDisconnected(peer), None)
            .await;
    }

    async fn on_peer_message(&mut self, peer: PeerKey, message: Message) {
        match message {
            // Link tasks handle heartbeats and don't pass them on.
            Message::Heartbeat(_) => {}
            Message::DocumentRequest(request) => self.answer_document_request(peer, &request).await,
            Message::Document(Document::Nodes(nodes)) => {
                if self.fleet.published_nodes().is_none() {
                    self.set_published_nodes(nodes).await;
                }
            }
            Message::Document(Document::Envelope(text)) => {
                let version = self.agreement.version();
                let step = self.relay.receive_envelope(peer, text, version);
                self.on_relay_step(peer, step).await;
            }
            Message::Document(Document::Part(value)) => {
                let step = self.relay.receive_part(peer, &value);
                self.on_relay_step(peer, step).await;
            }
            Message::News(items) => {
                for news in self.news.insert_unknown(self.clock.now(), items) {
                    self.send_to_engine(Event::News(news)).await;
                }
            }
            Message::Redeem(redeem) if self.running_peer_bookings >= MAX_PEER_BOOKINGS => {
                let redeemed = redeem_calls::overloaded_outcome(&redeem);
                self.peers.send(peer, Message::Redeemed(redeemed));
            }
            Message::Redeem(redeem) => {
                self.running_peer_bookings += 1;
                let (engine, outcomes) = (self.engine.clone(), self.redeemed.clone());
                redeem_calls::start(peer, redeem, engine, outcomes);
            }
            Message::Redeemed(redeemed) => self.forwarded_calls.complete(peer, redeemed),
        }
    }

    async fn answer_document_request(&self, peer: PeerKey, request: &DocumentRequest) {
        if request.upstream_states {
            let _ended = self
                .engine
                .send(EngineMessage::ReportUpstreamStates(peer))
                .await;
        }
        let nodes = self.fleet.published_nodes().filter(|_| request.nodes);
        let nodes = nodes.map(|nodes| Document::Nodes(nodes.to_vec()));
        for document in nodes.into_iter().chain(self.relay.documents_for(request)) {
            self.peers.send(peer, Message::Document(document));
        }
    }

    /// Asks linked peers for the states of upstreams; if there are too few, peers that connect later are asked too.
    fn request_upstream_states(&mut self) {
        let peers: Vec<_> = self
            .fleet
            .peers()
            .take(MAX_PEERS_ASKED_FOR_STATES as usize)
            .collect();
        self.peers_asked_for_states = peers.len() as u32;
        for peer in peers {
            self.request_documents(peer, DocumentRequest::for_upstream_states());
        }
    }

    fn request_documents(&self, peer: PeerKey, request: DocumentRequest) {
        // A lost request is harmless: it is repeated, to another peer if there is one.
        self.peers.send(peer, Message::DocumentRequest(request));
    }

    async fn on_relay_step(&mut self, peer: PeerKey, step: Result<RelayStep, EnvelopeError>) {
        match step {
            Ok(RelayStep::Wait) => {}
            Ok(RelayStep::RequestParts(request)) => self.request_documents(peer, request),
            Ok(RelayStep::Complete(candidate)) => {
                self.offer_bundle(*candidate).await;
            }
            Err(error) => self.record_refused_bundle(&error),
        }
    }

    fn record_refused_bundle(&mut self, error: &impl std::fmt::Display) {
        self.last_bundle_error = Some(error.to_string());
        self.metrics.record_refused_bundle();
        warn!(self.log, "bundle_refused"; "fault" => %error);
    }

    fn on_engine_notice(&mut self, notice: EngineNotice) {
        match notice {
            EngineNotice::Broadcast(news) => self.broadcast_news(news),
            EngineNotice::UpstreamStates(peer, states) => {
                for batch in self.news.number_states(states) {
                    self.peers.send(peer, Message::News(batch));
                }
            }
            EngineNotice::ForwardBooking(booking) => self.forward_booking(booking),
            EngineNotice::CanServe => self.handle_event(NodeEvent::Able),
            EngineNotice::CannotServe => {
                warn!(self.log, "news_missed"; "version" => self.agreement.version());
                self.handle_event(NodeEvent::Unable);
                self.request_upstream_states();
            }
            EngineNotice::Drained => self.handle_event(NodeEvent::Drained),
        }
    }

    fn broadcast_news(&mut self, news: News) {
        let identified = self.news.record_own(self.clock.now(), news);
        self.peers.broadcast(&Message::News(vec![identified]));
    }

    fn forward_booking(&mut self, booking: ForwardedBooking) {
        let Some(peer) = self.fleet.peer_key(&booking.node) else {
            return forwarded_calls::refuse_unreachable(booking);
        };
        let redeem = self.forwarded_calls.add(self.clock.now(), peer, booking);
        let number = redeem.call;
        if !self.peers.send(peer, Message::Redeem(redeem)) {
            self.forwarded_calls.refuse_unsent(number);
        }
    }

    fn on_redeemed(&mut self, peer: PeerKey, redeemed: Redeemed) {
        self.running_peer_bookings -= 1;
        // If the link has ended or its queue is full, the peer refuses its caller without this outcome.
        self.peers.send(peer, Message::Redeemed(redeemed));
    }

    async fn on_command(&mut self, command: ControlCommand) {
        if let ControlCommand::Status(tx) = command {
            // Fails if the administrator has closed the connection.
            let _gone = tx.send(self.status());
            return;
        }
        self.handle_event(NodeEvent::Drain);
        if matches!(command, ControlCommand::Drain) {
            self.send_to_engine(Event::Drain).await;
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
            last_refused_bundle: self.last_bundle_error.clone(),
            peers: nodes
                .iter()
                .map(|node| PeerStatus::new(node, self.fleet.peer_key(&node.name).is_some()))
                .collect(),
        }
    }

    fn handle_event(&mut self, event: NodeEvent) {
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

    async fn send_to_engine(&self, event: Event) {
        // Fails only if the engine task has ended, which it does together with the node.
        let _ended = self.engine.send(EngineMessage::Event(event)).await;
    }
}

//! A node that forwards requests: binds its listeners, starts its tasks and drains them.

use crate::{
    admin_token::AdminToken,
    caller_connection::{self, CallerParts},
    clock::sleep_until_some,
    dialect::Dialect,
    forward_metrics::ForwardMetrics,
    forward_task::{self, ForwardMessage, ForwardParts, ForwardSender, ForwardStatus},
    http_server::{self, ServerPhase},
    member_task::{self, Announcement, MemberChannels},
    metrics_page::MetricsHandler,
    peer_load_metrics::PeerLoadMetrics,
    prelude::*,
    registry::Registry,
    registry_watcher::RegistryWatcher,
    reply_memory::ReplyMemory,
};
use actix_http::{ServiceConfig, StatusCode};
use tokio::{net::TcpSocket, time::Instant};

pub use crate::caller_connection::ListenerPhase;

/// Backlog of the caller listener. A connection that finds it full opens only seconds later.
const CALLER_BACKLOG: u32 = 4096;

/// Backlog of the listener for registry snapshots, which only other nodes use.
const NODE_BACKLOG: u32 = 64;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time for which a node that stops listening still accepts connections that the system has opened meanwhile.
const BACKLOG_GRACE: Duration = Duration::from_millis(20);

/// Settings of a forwarding node.
#[derive(Clone, Debug)]
pub struct ForwardNodeSettings {
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the balancer's readiness check.
    pub readiness: SocketAddr,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Address for heartbeats and snapshots, and the seeds for finding other nodes.
    pub membership: MembershipSettings,
    /// Zone of this node, and the limits of the forwarder.
    pub forwarder: ForwarderSettings,
    /// Token for the page that tries requests. Without one, the page does not exist.
    pub admin_token: AdminToken,
    /// Limits of the stages in which the registry is read.
    pub registry: RegistryLimits,
    /// Memory that the replies of upstreams may hold together while they are read, in bytes.
    pub reply_memory_bytes: usize,
    /// Time after a failed readiness check for which the balancer may still send new connections.
    pub balancer_lag: Duration,
    /// Time from the request to stop until the process must have ended.
    pub stop_within: Duration,
}

/// Phase of a node whose listeners are bound but serve nobody yet.
#[derive(Debug)]
pub struct Bound {
    callers: tokio::net::TcpListener,
    readiness: std::net::TcpListener,
    metrics: std::net::TcpListener,
    members: tokio::net::UdpSocket,
    snapshots: tokio::net::TcpListener,
}

/// Phase of a node whose tasks run.
#[derive(Debug)]
pub struct Serving {
    forward: ForwardSender,
    phase: watch::Sender<ListenerPhase>,
    ready: watch::Sender<Readiness>,
    registry_limits: watch::Sender<RegistryLimits>,
    open_connections: mpsc::Receiver<std::convert::Infallible>,
    clock: Clock,
    shutdown: Shutdown,
    /// Names of essential tasks that have ended by a panic.
    failed_tasks: mpsc::UnboundedReceiver<&'static str>,
}

/// A forwarding node; the type parameter is its phase, [`Bound`] or [`Serving`].
#[derive(Debug)]
pub struct ForwardNode<Phase> {
    settings: ForwardNodeSettings,
    log: Logger,
    phase: Phase,
}

/// What the tasks that read the registry and talk to other nodes are built from.
struct FleetParts<R> {
    registry: R,
    /// Listener for the nodes that ask for snapshots or follow this one.
    snapshots: tokio::net::TcpListener,
    members: tokio::net::UdpSocket,
    announcements: mpsc::UnboundedReceiver<Announcement>,
    forward: ForwardSender,
    metrics: ForwardMetrics,
    peer_load_metrics: PeerLoadMetrics,
    clock: Clock,
    log: Logger,
}

impl<R: Registry> FleetParts<R> {
    /// Starts the tasks. Returns the sender of the limits of the registry.
    fn spawn(
        self,
        settings: &ForwardNodeSettings,
        failures: &mpsc::UnboundedSender<&'static str>,
    ) -> Result<watch::Sender<RegistryLimits>, NodeError> {
        let membership = Membership::new(settings.membership.clone());
        let (contacts, contacts_rx) = watch::channel(membership.contacts());
        let (registry_fleet, registry_fleet_rx) = watch::channel(None);
        let (registry_limits, registry_limits_rx) = watch::channel(settings.registry);
        let watcher = RegistryWatcher::new(
            self.registry,
            registry_limits_rx,
            self.forward.clone(),
            contacts_rx,
            self.metrics,
            self.log.clone(),
        )
        .context(node_error::ChartSnafu)?
        .with_fleet(registry_fleet_rx);
        let snapshots = watcher.serve_nodes(self.snapshots);
        spawn_essential("snapshots", snapshots, failures);
        spawn_essential("registry", watcher.run(), failures);
        let channels = MemberChannels {
            announcements: self.announcements,
            forward: self.forward,
            contacts,
            registry_fleet,
            metrics: self.peer_load_metrics,
        };
        let members = member_task::run(self.members, membership, self.clock, channels, self.log);
        spawn_essential("members", members, failures);
        Ok(registry_limits)
    }
}

/// What the readiness check reports to the balancer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// There is a configuration with upstreams, so that requests can be answered.
    pub ready: bool,
    /// The node is stopping. It fails the check but still answers requests.
    pub draining: bool,
}

impl ForwardNode<Bound> {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub fn bind(settings: ForwardNodeSettings, log: Logger) -> Result<Self, NodeError> {
        let bind = |address: SocketAddr| {
            std::net::TcpListener::bind(address).context(node_error::ListenSnafu { address })
        };
        let address = settings.callers;
        let phase = Bound {
            callers: bind_caller_listener(address).context(node_error::ListenSnafu { address })?,
            readiness: bind(settings.readiness)?,
            metrics: bind(settings.metrics)?,
            members: bind_member_socket(settings.membership.address)?,
            snapshots: bind_snapshot_listener(settings.membership.address).context(
                node_error::ListenSnafu {
                    address: settings.membership.address,
                },
            )?,
        };
        Ok(Self {
            settings,
            log,
            phase,
        })
    }

    /// Starts the tasks on the calling thread's runtime.
    ///
    /// # Errors
    ///
    /// If an embedded state chart is invalid or two metrics have the same name.
    pub fn start<D: Dialect, R: Registry>(
        self,
        dialect: D,
        registry: R,
    ) -> Result<ForwardNode<Serving>, NodeError> {
        let Self {
            settings,
            log,
            phase: bound,
        } = self;
        let forwarder =
            Forwarder::new(settings.forwarder.clone()).context(node_error::ChartSnafu)?;
        let shutdown = Shutdown::new().context(node_error::ChartSnafu)?;
        let metrics_registry = prometheus::Registry::new();
        let metrics =
            ForwardMetrics::register(&metrics_registry).context(node_error::MetricsSnafu)?;
        let peer_load_metrics =
            PeerLoadMetrics::register(&metrics_registry).context(node_error::MetricsSnafu)?;
        let (forward, forward_rx) = mpsc::unbounded_channel();
        let (announcements, announcements_rx) = mpsc::unbounded_channel();
        let (limits, limits_rx) = watch::channel(CallerLimits::default());
        let (phase, phase_rx) = watch::channel(ListenerPhase::Open);
        let (ready, ready_rx) = watch::channel(Readiness::default());
        let (server_phase, server_phase_rx) = watch::channel(ServerPhase::Open);
        let config = ServiceConfig::default();
        let clock = Clock::start();
        let parts = ForwardParts {
            dialect: dialect.clone(),
            forwarder,
            clock,
            config: config.clone(),
            reply_memory: ReplyMemory::new(settings.reply_memory_bytes),
            metrics: metrics.clone(),
            log: log.clone(),
            limits,
            ready: ready.clone(),
            announcements,
        };
        let (failures, failed_tasks) = mpsc::unbounded_channel();
        let forward_task = forward_task::run(parts, forward.clone(), forward_rx);
        spawn_essential("forward", forward_task, &failures);
        let fleet = FleetParts {
            registry,
            snapshots: bound.snapshots,
            members: bound.members,
            announcements: announcements_rx,
            forward: forward.clone(),
            metrics,
            peer_load_metrics,
            clock,
            log: log.clone(),
        };
        let registry_limits = fleet.spawn(&settings, &failures)?;
        let workers = Workers::current_thread();
        let readiness = ReadinessHandler { ready: ready_rx };
        spawn_server(bound.readiness, readiness, &server_phase_rx, &workers, &log);
        let metrics = MetricsHandler {
            registry: metrics_registry,
            admin_token: settings.admin_token,
            forward: forward.clone(),
        };
        spawn_server(bound.metrics, metrics, &server_phase_rx, &workers, &log);
        let (open_connections_tx, open_connections) = mpsc::channel(1);
        let callers = CallerParts {
            dialect,
            forward: forward.clone(),
            limits: limits_rx,
            phase: phase_rx,
            clock,
            config,
            log: log.clone(),
        };
        // The readiness and metrics pages are served until the drain ends: their servers stop when this sender is
        // dropped.
        let accepting = async move {
            let _kept = server_phase;
            accept_callers(bound.callers, callers, open_connections_tx).await;
        };
        spawn_essential("callers", accepting, &failures);
        info!(log, "node_started"; "callers" => %settings.callers, "zone" => &*settings.forwarder.zone);
        Ok(ForwardNode {
            settings,
            log,
            phase: Serving {
                forward,
                phase,
                ready,
                registry_limits,
                open_connections,
                clock,
                shutdown,
                failed_tasks,
            },
        })
    }
}

impl ForwardNode<Serving> {
    /// Applies changed settings. Addresses, the zone and the membership can't change while a node serves.
    pub fn reload(&mut self, settings: &ForwardNodeSettings) {
        info!(self.log, "settings_reloaded"; "zone" => &*settings.forwarder.zone);
        self.settings.balancer_lag = settings.balancer_lag;
        self.settings.stop_within = settings.stop_within;
        self.phase.registry_limits.send_replace(settings.registry);
        let events = [
            ForwardEvent::LimitsChanged(settings.forwarder.limits),
            ForwardEvent::RevokeWithinChanged(settings.forwarder.revoke_within),
        ];
        for event in events {
            // The receiver ends only with the process.
            let _ended = self.phase.forward.send(ForwardMessage::Event(event));
        }
    }

    /// Waits until a task that the node can't do without has ended by a panic. Returns its name.
    pub async fn failed_task(&mut self) -> &'static str {
        match self.phase.failed_tasks.recv().await {
            Some(task) => task,
            None => std::future::pending().await,
        }
    }

    /// State of the forward task, or `None` if it has ended.
    pub async fn status(&self) -> Option<ForwardStatus> {
        let (tx, rx) = oneshot::channel();
        self.phase.forward.send(ForwardMessage::Status(tx)).ok()?;
        rx.await.ok()
    }

    /// Stops gracefully: fails the readiness check, keeps serving while the balancer may still send connections, then
    /// stops listening and answers the requests that it has. Returns whether all connections were closed before
    /// `stop_within` was over.
    pub async fn drain(mut self) -> bool {
        info!(self.log, "node_draining"; "stop_within_ms" => self.settings.stop_within.as_millis() as u64);
        let clock = self.phase.clock;
        let started = clock.now();
        let settings = &self.settings;
        let schedule = ShutdownSchedule::new(started, settings.balancer_lag, settings.stop_within);
        let mut actions = self.phase.shutdown.begin(schedule).to_vec();
        let mut all_closed = false;
        loop {
            for action in actions {
                self.phase.carry_out(action, schedule);
            }
            let Some((at, due)) = self.phase.shutdown.next_due() else {
                break;
            };
            let event = tokio::select! {
                biased;
                _none = self.phase.open_connections.recv() => ShutdownEvent::ConnectionsClosed,
                () = tokio::time::sleep_until(clock.instant(at)) => due,
            };
            all_closed = event == ShutdownEvent::ConnectionsClosed;
            actions = self.phase.shutdown.handle(event).to_vec();
        }
        info!(self.log, "node_stopped"; "all_connections_closed" => all_closed,
            "after_ms" => clock.now().since(started).as_millis() as u64);
        all_closed
    }
}

impl Serving {
    fn carry_out(&self, action: ShutdownAction, schedule: ShutdownSchedule) {
        match action {
            ShutdownAction::FailReadiness => {
                self.ready.send_modify(|ready| ready.draining = true);
            }
            ShutdownAction::BoundRequests => {
                let event = ForwardEvent::ShutdownBegan(schedule);
                // The receiver ends only with the process.
                let _ended = self.forward.send(ForwardMessage::Event(event));
            }
            ShutdownAction::CloseAfterAnswers => {
                self.phase.send_replace(ListenerPhase::Closing(schedule));
            }
            // Under load there may be no moment without a request, so that waiting for one would end with requests that
            // have just arrived.
            ShutdownAction::StopListening => {
                self.phase.send_replace(ListenerPhase::Ending(schedule));
            }
        }
    }
}

/// Runs a task and reports its name if it panics. Without the report a node that has lost such a task would look alive.
fn spawn_essential(
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
    failures: &mpsc::UnboundedSender<&'static str>,
) {
    let failures = failures.clone();
    actix_rt::spawn(async move {
        if actix_rt::spawn(task).await.is_err() {
            // The receiver ends only with the node.
            let _ended = failures.send(name);
        }
    });
}

fn bind_member_socket(address: SocketAddr) -> Result<tokio::net::UdpSocket, NodeError> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        tokio::net::UdpSocket::from_std(socket)
    };
    bind().context(node_error::ListenSnafu { address })
}

fn bind_caller_listener(address: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    bind_listener(address, CALLER_BACKLOG)
}

fn bind_snapshot_listener(address: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    bind_listener(address, NODE_BACKLOG)
}

/// Listens with `SO_REUSEADDR`, so that a restarted process can bind its address at once.
fn bind_listener(address: SocketAddr, backlog: u32) -> std::io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

async fn accept_callers<D: Dialect>(
    listener: tokio::net::TcpListener,
    parts: CallerParts<D>,
    open_connections: mpsc::Sender<std::convert::Infallible>,
) {
    let mut phase = parts.phase.clone();
    let mut end = None;
    loop {
        let accepted = tokio::select! {
            biased;
            () = sleep_until_some(end) => return,
            accepted = listener.accept() => accepted,
            changed = phase.changed(), if end.is_none() => {
                if changed.is_err() || matches!(*phase.borrow(), ListenerPhase::Ending(_)) {
                    end = Some(Instant::now() + BACKLOG_GRACE);
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let (parts, open_connections) = (parts.clone(), open_connections.clone());
                actix_rt::spawn(async move {
                    caller_connection::run(stream, parts).await;
                    drop(open_connections);
                });
            }
            Err(fault) => {
                warn!(parts.log, "accept_failed"; "fault" => %fault);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_server<H: Handler>(
    listener: std::net::TcpListener,
    handler: H,
    phase: &watch::Receiver<ServerPhase>,
    workers: &Workers,
    log: &Logger,
) {
    let (phase, workers, log) = (phase.clone(), workers.clone(), log.clone());
    actix_rt::spawn(async move {
        if let Err(fault) = http_server::serve(listener, handler, phase, workers).await {
            error!(log, "listener_lost"; "fault" => %fault);
        }
    });
}

/// Answers the balancer's readiness check.
#[derive(Clone, Debug)]
struct ReadinessHandler {
    ready: watch::Receiver<Readiness>,
}

impl Handler for ReadinessHandler {
    async fn respond(&self, _req: HttpRequest) -> HttpReply {
        let ready = *self.ready.borrow();
        match ready {
            Readiness {
                ready: true,
                draining: false,
            } => HttpReply::text(StatusCode::OK, "ready"),
            Readiness { draining: true, .. } => {
                HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "draining")
            }
            Readiness { ready: false, .. } => HttpReply::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration or no upstreams",
            ),
        }
    }
}

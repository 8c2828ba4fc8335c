//! Life cycle of a node as a typestate: configured, running, draining.

use crate::{
    admin_api::AdminApi,
    admin_token::AdminToken,
    caller_api::CallerApi,
    control_parts::{ControlCommand, ControlInputs, ControlParts},
    control_task,
    engine_task::{self, EngineNotice, EngineParts},
    http_server::{self, ServerPhase},
    link_listener,
    link_machine::LinkMachine,
    link_task::{HeartbeatContent, LinkParts},
    platform_watcher::{self, WatcherParts},
    prelude::*,
    tls::TlsConfigs,
};
use std::net::TcpListener;

/// Notices that links may queue for the control task before they wait.
const LINK_NOTICE_CAPACITY: usize = 1_024;

/// A node; `S` is the state of its life cycle.
#[derive(Debug)]
pub struct Node<S> {
    state: S,
}

/// State of a node whose addresses are bound and whose tasks have not started.
#[derive(Debug)]
pub struct Configured {
    settings: Settings,
    log: Logger,
    caller_listener: TcpListener,
    admin_listener: TcpListener,
    tls: TlsConfigs,
    link_listener: TcpListener,
}

/// State of a node whose tasks run and that accepts connections.
#[derive(Debug)]
pub struct Running {
    settings: Settings,
    log: Logger,
    control: ControlHandle,
    metrics: Metrics,
    phase: watch::Sender<ServerPhase>,
    listeners: Vec<actix_rt::task::JoinHandle<()>>,
    workers: Workers,
    addresses: NodeAddresses,
}

/// Channels between the node and its control task.
#[derive(Debug)]
struct ControlHandle {
    /// The control task ends when this sender and its clone in the administrators' listener are dropped.
    commands: mpsc::Sender<ControlCommand>,
    ready: watch::Receiver<bool>,
    drained: watch::Receiver<bool>,
}

/// Handles that all tasks of a node share.
struct SharedParts {
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    engine: EngineSender,
    workers: Workers,
}

/// State of a node that accepts no new connections and finishes the work that runs.
#[derive(Debug)]
pub struct Draining {
    running: Running,
}

/// Addresses that a node listens on, with the ports that the system assigned.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for administrators.
    pub admin: SocketAddr,
    /// Listener for links from peers.
    pub links: SocketAddr,
}

impl Node<Configured> {
    /// Binds the listeners at the addresses of the settings.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub fn bind(settings: Settings, log: Logger) -> Result<Self, NodeError> {
        let bind = |address: SocketAddr| {
            TcpListener::bind(address).context(node_error::ListenSnafu { address })
        };
        let caller_listener = bind(settings.caller_address)?;
        let admin_listener = bind(settings.admin_address)?;
        let link_listener = bind(settings.link_address)?;
        Ok(Self {
            state: Configured {
                settings,
                log,
                caller_listener,
                admin_listener,
                tls: TlsConfigs::default(),
                link_listener,
            },
        })
    }

    /// Sets the TLS configuration of the listeners and of connections to upstreams.
    #[must_use]
    pub fn with_tls(mut self, tls: TlsConfigs) -> Self {
        self.state.tls = tls;
        self
    }

    /// Starts all tasks, on the current runtime and on worker threads.
    ///
    /// # Errors
    ///
    /// If a state chart is invalid or the address of a listener can't be read.
    pub fn start(self) -> Result<Node<Running>, NodeError> {
        let Configured {
            settings,
            log,
            caller_listener,
            admin_listener,
            tls,
            link_listener,
        } = self.state;
        let addresses = NodeAddresses {
            callers: local_address(&caller_listener)?,
            admin: local_address(&admin_listener)?,
            links: local_address(&link_listener)?,
        };
        let clock = Clock::start();
        let metrics = Metrics::new();
        let workers = Workers::start(settings.workers);
        let (notice_tx, notice_rx) = mpsc::unbounded_channel();
        let engine_settings = EngineSettings {
            node: settings.name.clone(),
            start: settings.start,
            zone: settings.zone.clone(),
            policy: settings.policy,
            ticket_key: settings.ticket_key,
            seed: settings.seed,
        };
        let engine_parts = EngineParts {
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            workers: workers.clone(),
            tls: tls.upstreams,
            notices: notice_tx,
        };
        let engine = engine_task::start(&engine_settings, engine_parts)?;
        let shared = SharedParts {
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            engine: engine.clone(),
            workers: workers.clone(),
        };
        let control = start_control(&settings, shared, notice_rx, link_listener)?;
        let (phase, phase_rx) = watch::channel(ServerPhase::Open);
        let caller_api = CallerApi::new(engine.clone(), &settings.name);
        let admin_api = AdminApi {
            node: settings.name.clone().into(),
            zone: settings.zone.clone().into(),
            token: AdminToken::for_token(settings.admin_token.as_deref()),
            engine,
            control: control.commands.clone(),
            metrics: metrics.clone(),
            ready: control.ready.clone(),
        };
        let listeners = vec![
            listen(
                (caller_listener, tls.listeners.clone()),
                caller_api,
                phase_rx.clone(),
                workers.clone(),
                log.clone(),
            ),
            listen(
                (admin_listener, tls.listeners),
                admin_api,
                phase_rx,
                workers.clone(),
                log.clone(),
            ),
        ];
        info!(log, "node_started"; "node" => &settings.name, "zone" => &settings.zone,
            "callers" => %addresses.callers, "admin" => %addresses.admin, "links" => %addresses.links);
        let state = Running {
            settings,
            log,
            control,
            metrics,
            phase,
            listeners,
            workers,
            addresses,
        };
        Ok(Node { state })
    }
}

impl Node<Running> {
    /// Addresses of the listeners, with the ports that the system assigned.
    pub fn addresses(&self) -> NodeAddresses {
        self.state.addresses
    }

    /// Threads that run the tasks which own sockets.
    pub fn workers(&self) -> &Workers {
        &self.state.workers
    }

    /// The node's metrics; clones share their values.
    pub fn metrics(&self) -> &Metrics {
        &self.state.metrics
    }

    /// Waits until the node passes its readiness check.
    pub async fn wait_until_ready(&self) {
        let mut ready = self.state.control.ready.clone();
        // Fails only if the control task has ended.
        let _ended = ready.wait_for(|ready| *ready).await;
    }

    /// Fails the readiness check, serves until the balancer has had time to notice, then stops accepting connections.
    pub async fn drain(self) -> Node<Draining> {
        let running = self.state;
        info!(running.log, "drain_started"; "node" => &running.settings.name);
        let _ended = running
            .control
            .commands
            .send(ControlCommand::FailReadiness)
            .await;
        running.phase.send_replace(ServerPhase::Closing);
        actix_rt::time::sleep(running.settings.balancer_lag).await;
        running.phase.send_replace(ServerPhase::Stopped);
        Node {
            state: Draining { running },
        }
    }
}

impl Node<Draining> {
    /// Waits for the end of running work and open connections, then stops all tasks and threads.
    pub async fn stop(self) {
        let running = self.state.running;
        for listener in running.listeners {
            let _ended = listener.await;
        }
        let _ended = running.control.commands.send(ControlCommand::Drain).await;
        let mut drained = running.control.drained.clone();
        let _ended = drained.wait_for(|drained| *drained).await;
        running.workers.stop();
        info!(running.log, "node_stopped"; "node" => &running.settings.name);
    }
}

/// Starts the control task, the platform watcher and the listener for links.
fn start_control(
    settings: &Settings,
    shared: SharedParts,
    notices: mpsc::UnboundedReceiver<EngineNotice>,
    listener: TcpListener,
) -> Result<ControlHandle, NodeError> {
    let SharedParts {
        clock,
        log,
        metrics,
        engine,
        workers,
    } = shared;
    let (ready_tx, ready) = watch::channel(false);
    let (drained_tx, drained) = watch::channel(false);
    let (commands, command_rx) = mpsc::channel(4);
    let (platform_tx, platform) = mpsc::channel(16);
    let (link_tx, links) = mpsc::channel(LINK_NOTICE_CAPACITY);
    let (heartbeat_content, heartbeat_content_rx) = watch::channel(HeartbeatContent::default());
    // Each link loads this chart again when it starts, where an error could not be returned.
    Chart::<LinkMachine>::load().context(node_error::ChartSnafu)?;
    let link_parts = LinkParts {
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        node: settings.name.clone(),
        start: settings.start,
        key: settings.fleet_key.clone(),
        heartbeat_content: heartbeat_content_rx,
        control: link_tx,
    };
    let control = ControlParts {
        clock,
        log: log.clone(),
        metrics,
        engine,
        ready: ready_tx,
        drained: drained_tx,
        owners: settings.owners.clone(),
        min_version: settings.min_version,
        join_wait: settings.join_wait,
        links: link_parts.clone(),
        heartbeat_content,
        workers: workers.clone(),
    };
    let inputs = ControlInputs {
        platform,
        notices,
        links,
        commands: command_rx,
    };
    control_task::start(control, inputs)?;
    actix_rt::spawn(link_listener::run(listener, link_parts, workers));
    let watcher = WatcherParts {
        address: settings.platform,
        owners: settings.owners.clone(),
        clock,
        log,
        seed: settings.seed,
    };
    actix_rt::spawn(platform_watcher::run(watcher, platform_tx));
    Ok(ControlHandle {
        commands,
        ready,
        drained,
    })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().context(node_error::ListenSnafu {
        address: unspecified,
    })
}

fn listen<H: Handler>(
    (listener, tls): (TcpListener, Option<Arc<rustls::ServerConfig>>),
    handler: H,
    phase: watch::Receiver<ServerPhase>,
    workers: Workers,
    log: Logger,
) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        if let Err(error) = http_server::serve_tls(listener, tls, handler, phase, workers).await {
            error!(log, "listener_failed"; "fault" => %error);
        }
    })
}

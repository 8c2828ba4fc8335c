//! Life cycle of a node, as a typestate: configured, running, draining.

use crate::{
    admin_api::AdminApi,
    caller_api::CallerApi,
    control_parts::{ControlInputs, ControlOrder, ControlParts},
    control_task,
    engine_task::{self, EngineNotice, EngineParts},
    http_server::{self, ServerPhase},
    link_listener,
    link_machine::LinkMachine,
    link_task::{LinkParts, Statement},
    platform_watcher::{self, WatcherParts},
    prelude::*,
    tls::TlsConfigs,
};
use std::net::TcpListener;

/// Notices of links that may wait for the control task.
const LINK_NOTICES: usize = 1_024;

/// A node in one state of its life cycle.
#[derive(Debug)]
pub struct Node<S> {
    state: S,
}

/// Settings are checked and addresses are bound; nothing runs.
#[derive(Debug)]
pub struct Configured {
    settings: Settings,
    log: Logger,
    callers: TcpListener,
    admin: TcpListener,
    tls: TlsConfigs,
    links: TcpListener,
}

/// All tasks run.
#[derive(Debug)]
pub struct Running {
    settings: Settings,
    log: Logger,
    control: Control,
    metrics: Metrics,
    phase: watch::Sender<ServerPhase>,
    listeners: Vec<actix_rt::task::JoinHandle<()>>,
    workers: Workers,
    addresses: NodeAddresses,
}

/// The node's end of its control task.
#[derive(Debug)]
struct Control {
    /// The task ends when this and the copy of the administrators' listener are dropped.
    orders: mpsc::Sender<ControlOrder>,
    ready: watch::Receiver<bool>,
    drained: watch::Receiver<bool>,
}

/// What all tasks of a node share.
struct Common {
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    engine: EngineSender,
    workers: Workers,
}

/// Accepts no new connections; running work goes on.
#[derive(Debug)]
pub struct Draining {
    running: Running,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For administrators.
    pub admin: SocketAddr,
    /// For links from peers.
    pub links: SocketAddr,
}

impl Node<Configured> {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub fn bind(settings: Settings, log: Logger) -> Result<Self, NodeError> {
        let bind = |address: SocketAddr| {
            TcpListener::bind(address).context(node_error::ListenSnafu { address })
        };
        let callers = bind(settings.caller_address)?;
        let admin = bind(settings.admin_address)?;
        let links = bind(settings.link_address)?;
        Ok(Self {
            state: Configured {
                settings,
                log,
                callers,
                admin,
                tls: TlsConfigs::default(),
                links,
            },
        })
    }

    /// Uses TLS on the listeners and towards upstreams, as far as it is configured.
    #[must_use]
    pub fn with_tls(mut self, tls: TlsConfigs) -> Self {
        self.state.tls = tls;
        self
    }

    /// Starts all tasks on the current runtime and on worker threads.
    ///
    /// # Errors
    ///
    /// A faulty state chart, or a listener that lost its address.
    pub fn start(self) -> Result<Node<Running>, NodeError> {
        let Configured {
            settings,
            log,
            callers,
            admin,
            tls,
            links,
        } = self.state;
        let addresses = NodeAddresses {
            callers: local_address(&callers)?,
            admin: local_address(&admin)?,
            links: local_address(&links)?,
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
        let common = Common {
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            engine: engine.clone(),
            workers: workers.clone(),
        };
        let control = start_control(&settings, common, notice_rx, links)?;
        let (phase, phase_rx) = watch::channel(ServerPhase::Open);
        let caller_api = CallerApi::new(engine.clone(), &settings.name);
        let admin_api = AdminApi {
            node: settings.name.clone().into(),
            zone: settings.zone.clone().into(),
            token: settings
                .admin_token
                .as_ref()
                .map(|token| Digest::of(token.as_bytes())),
            engine,
            control: control.orders.clone(),
            metrics: metrics.clone(),
            ready: control.ready.clone(),
        };
        let listeners = vec![
            listen(
                (callers, tls.listeners.clone()),
                caller_api,
                phase_rx.clone(),
                workers.clone(),
                log.clone(),
            ),
            listen(
                (admin, tls.listeners),
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
    /// Addresses that the node listens on.
    pub fn addresses(&self) -> NodeAddresses {
        self.state.addresses
    }

    /// Threads for sockets.
    pub fn workers(&self) -> &Workers {
        &self.state.workers
    }

    /// Metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.state.metrics
    }

    /// Waits until the node accepts work.
    pub async fn wait_until_ready(&self) {
        let mut ready = self.state.control.ready.clone();
        // The sender lives as long as the control task.
        let _ended = ready.wait_for(|ready| *ready).await;
    }

    /// Fails the readiness check, goes on serving for the balancer's lag, then stops accepting.
    pub async fn drain(self) -> Node<Draining> {
        let running = self.state;
        info!(running.log, "drain_started"; "node" => &running.settings.name);
        let _ended = running.control.orders.send(ControlOrder::Unready).await;
        running.phase.send_replace(ServerPhase::Closing);
        actix_rt::time::sleep(running.settings.balancer_lag).await;
        running.phase.send_replace(ServerPhase::Stopped);
        Node {
            state: Draining { running },
        }
    }
}

impl Node<Draining> {
    /// Waits for running work and open connections, then stops all tasks.
    pub async fn stop(self) {
        let running = self.state.running;
        for listener in running.listeners {
            let _ended = listener.await;
        }
        let _ended = running.control.orders.send(ControlOrder::Drain).await;
        let mut drained = running.control.drained.clone();
        let _ended = drained.wait_for(|drained| *drained).await;
        running.workers.stop();
        info!(running.log, "node_stopped"; "node" => &running.settings.name);
    }
}

/// Starts the control task, the platform watcher and the listener for links.
fn start_control(
    settings: &Settings,
    common: Common,
    notices: mpsc::UnboundedReceiver<EngineNotice>,
    listener: TcpListener,
) -> Result<Control, NodeError> {
    let Common {
        clock,
        log,
        metrics,
        engine,
        workers,
    } = common;
    let (ready_tx, ready) = watch::channel(false);
    let (drained_tx, drained) = watch::channel(false);
    let (orders, order_rx) = mpsc::channel(4);
    let (platform_tx, platform) = mpsc::channel(16);
    let (link_tx, links) = mpsc::channel(LINK_NOTICES);
    let (statement, statement_rx) = watch::channel(Statement::default());
    // Links load their chart when they start, where nobody waits for a fault.
    Chart::<LinkMachine>::load().context(node_error::ChartSnafu)?;
    let link_parts = LinkParts {
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        node: settings.name.clone(),
        start: settings.start,
        key: settings.fleet_key.clone(),
        statement: statement_rx,
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
        statement,
        workers: workers.clone(),
    };
    let inputs = ControlInputs {
        platform,
        notices,
        links,
        orders: order_rx,
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
    Ok(Control {
        orders,
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
        if let Err(fault) = http_server::serve_tls(listener, tls, handler, phase, workers).await {
            error!(log, "listener_failed"; "fault" => %fault);
        }
    })
}

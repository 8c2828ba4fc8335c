//! Task that owns the listener and the connections of a fake upstream.

use crate::{prelude::*, upstream_api::UpstreamApi};
use medlarpost_node::http_server::{self, ServerPhase};
use std::net::TcpListener;
use tokio::sync::Semaphore;

/// Pause between attempts to bind an address that is still in use, and after a failed accept.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// How the connections opened since the last command are handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ConnectionMode {
    #[default]
    Serve,
    /// Requests are read but never answered.
    Silent,
    Closed,
}

/// Command to the listener task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListenerCommand {
    SilenceOpen,
    CloseOpen,
    StopListening,
    Listen,
}

/// Settings and handler for the listener task's connections.
pub(crate) struct ListenerParts {
    pub(crate) address: SocketAddr,
    pub(crate) connect_time: Duration,
    pub(crate) max_connections: u32,
    pub(crate) api: UpstreamApi,
    pub(crate) workers: Workers,
}

/// Accepts connections until the sender of commands is dropped.
pub(crate) async fn run(
    listener: TcpListener,
    mut parts: ListenerParts,
    mut commands: mpsc::UnboundedReceiver<ListenerCommand>,
) {
    let slots = Arc::new(Semaphore::new(parts.max_connections as usize));
    let mut listener = register_listener(listener);
    let (mut mode, _) = watch::channel(ConnectionMode::Serve);
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            stream = accept(listener.as_ref()) => {
                parts.open_connection(stream, &mode, &slots);
                continue;
            }
        };
        let Some(command) = command else { return };
        let new_mode = match command {
            ListenerCommand::SilenceOpen => ConnectionMode::Silent,
            ListenerCommand::CloseOpen => ConnectionMode::Closed,
            ListenerCommand::StopListening => {
                listener = None;
                ConnectionMode::Closed
            }
            ListenerCommand::Listen => {
                listener = rebind(parts.address).await;
                continue;
            }
        };
        mode.send_replace(new_mode);
        // A connection ends when its sender is dropped. A silent one must not, so a task keeps the sender until the
        // last receiver is gone.
        let retired = std::mem::replace(&mut mode, watch::channel(ConnectionMode::Serve).0);
        actix_rt::spawn(async move { retired.closed().await });
    }
}

impl ListenerParts {
    fn open_connection(
        &mut self,
        stream: std::net::TcpStream,
        mode: &watch::Sender<ConnectionMode>,
        slots: &Arc<Semaphore>,
    ) {
        let Ok(slot) = Arc::clone(slots).try_acquire_owned() else {
            return;
        };
        let (mode, connect_time) = (mode.subscribe(), self.connect_time);
        let api = self.api.clone().with_connection_mode(mode.clone());
        self.workers.spawn(move || async move {
            serve_connection(stream, api, mode, connect_time).await;
            drop(slot);
        });
    }
}

async fn serve_connection(
    stream: std::net::TcpStream,
    api: UpstreamApi,
    mut mode: watch::Receiver<ConnectionMode>,
    connect_time: Duration,
) {
    let (_phase, phase_rx) = watch::channel(ServerPhase::Open);
    let serve = async {
        actix_rt::time::sleep(connect_time).await;
        http_server::serve_connection(stream, None, api, phase_rx).await;
    };
    tokio::select! {
        () = serve => {}
        _closed = mode.wait_for(|mode| *mode == ConnectionMode::Closed) => {}
    }
}

async fn accept(listener: Option<&tokio::net::TcpListener>) -> std::net::TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await
            && let Ok(stream) = stream.into_std()
        {
            return stream;
        }
        // Accepting fails when the process is out of file descriptors; some may be closed during the pause.
        actix_rt::time::sleep(REBIND_PAUSE).await;
    }
}

fn register_listener(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    listener.set_nonblocking(true).ok()?;
    tokio::net::TcpListener::from_std(listener).ok()
}

async fn rebind(address: SocketAddr) -> Option<tokio::net::TcpListener> {
    const MAX_TRIES: u32 = 400;
    for _ in 0..MAX_TRIES {
        if let Ok(listener) = TcpListener::bind(address) {
            return register_listener(listener);
        }
        actix_rt::time::sleep(REBIND_PAUSE).await;
    }
    None
}

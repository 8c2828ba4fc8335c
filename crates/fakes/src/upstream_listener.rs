//! The task that owns the listener and the connections of a fake upstream.

use crate::{prelude::*, upstream_api::UpstreamApi};
use medlarpost_node::http_server::{self, ServerPhase};
use std::net::TcpListener;
use tokio::sync::Semaphore;

/// Pause between tries to listen again on an address that is still in use.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// What becomes of the connections that were opened since the last command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ConnectionMode {
    #[default]
    Serve,
    /// Requests are read but never answered.
    Silent,
    Closed,
}

/// Input of the listener task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListenerCommand {
    SilenceOpen,
    CloseOpen,
    StopListening,
    Listen,
}

/// What the listener task needs.
pub(crate) struct ListenerParts {
    pub(crate) address: SocketAddr,
    pub(crate) connect: Duration,
    pub(crate) connections: u32,
    pub(crate) api: UpstreamApi,
    pub(crate) workers: Workers,
}

/// Accepts connections until the sender of orders is gone.
pub(crate) async fn run(
    listener: TcpListener,
    mut parts: ListenerParts,
    mut commands: mpsc::UnboundedReceiver<ListenerCommand>,
) {
    let slots = Arc::new(Semaphore::new(parts.connections as usize));
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
        let end = match command {
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
        mode.send_replace(end);
        // A silent connection must not end with its sender, so the sender moves to a task of its own.
        let ended = std::mem::replace(&mut mode, watch::channel(ConnectionMode::Serve).0);
        actix_rt::spawn(async move { ended.closed().await });
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
        let (mode, connect) = (mode.subscribe(), self.connect);
        let api = self.api.clone().with_connection_mode(mode.clone());
        self.workers.spawn(move || async move {
            serve_connection(stream, api, mode, connect).await;
            drop(slot);
        });
    }
}

async fn serve_connection(
    stream: std::net::TcpStream,
    api: UpstreamApi,
    mut mode: watch::Receiver<ConnectionMode>,
    connect: Duration,
) {
    let (_phase, phase_rx) = watch::channel(ServerPhase::Open);
    let exchange = async {
        actix_rt::time::sleep(connect).await;
        http_server::serve_connection(stream, None, api, phase_rx).await;
    };
    tokio::select! {
        () = exchange => {}
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
        // Accepting fails when the process is out of file descriptors; waiting lets some close.
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

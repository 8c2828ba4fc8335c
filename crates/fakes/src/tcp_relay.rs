//! A TCP relay that can stop forwarding without closing connections, to simulate a network partition.

use crate::prelude::*;
use std::net::TcpListener;
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

/// Pause after a failed accept, during which file descriptors may be closed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Target of new connections, and whether the relay simulates a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RelayState {
    target: SocketAddr,
    cut: bool,
}

/// A running TCP relay. Dropping it stops it.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
}

impl TcpRelay {
    /// Starts a relay to `target` on `workers`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(
        address: SocketAddr,
        target: SocketAddr,
        mut workers: Workers,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, state_rx) = watch::channel(RelayState { target, cut: false });
        workers.spawn(move || run(listener, state_rx));
        Ok(Self { address, state })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Starts or ends a partition. Connections that were open or accepted during a partition never recover.
    pub fn set_cut(&self, cut: bool) {
        self.state.send_modify(|state| state.cut = cut);
    }
}

async fn run(listener: TcpListener, mut state: watch::Receiver<RelayState>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = state.changed() => match changed {
                Ok(()) => continue,
                Err(_dropped) => return,
            },
        };
        match accepted {
            Ok((stream, _)) => drop(actix_rt::spawn(relay(stream, state.clone()))),
            Err(_out_of_files) => actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn relay(mut near: TcpStream, mut state: watch::Receiver<RelayState>) {
    let RelayState { target, cut } = *state.borrow();
    if !cut {
        let Ok(mut far) = TcpStream::connect(target).await else {
            return;
        };
        // Otherwise Nagle's algorithm holds back small frames until the peer's delayed acknowledgement.
        let _best_effort = (near.set_nodelay(true), far.set_nodelay(true));
        tokio::select! {
            _ended = copy_bidirectional(&mut near, &mut far) => return,
            _cut = state.wait_for(|state| state.cut) => {}
        }
        // Both ends stay open and silent until the partition ends.
        let _ended = state.wait_for(|state| !state.cut).await;
        return;
    }
    let _ended = state.wait_for(|state| !state.cut).await;
}

//! The task that opens links to one peer.

use crate::{
    link_task::{self, LinkParts},
    prelude::*,
};
use medlarpost_wire::prelude::Side;
use tokio::net::TcpStream;

/// Mean delay before an attempt; the actual delay is 0.5 to 1.5 times as long.
const MEAN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Extra delay of the node with the larger name, so that the other one dials first and there is one link a pair. It
/// does dial after the delay, because a node that has just started may know no addresses.
const YIELD_DELAY: Duration = Duration::from_secs(2);

/// Time limit for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a connection to a peer whenever there is no link to it, until the sender of `linked` is dropped.
pub(crate) async fn run(
    parts: LinkParts,
    (name, address): (String, SocketAddr),
    mut linked: watch::Receiver<bool>,
) {
    let yield_delay = if parts.node < name {
        Duration::ZERO
    } else {
        YIELD_DELAY
    };
    loop {
        if linked.wait_for(|linked| !linked).await.is_err() {
            return;
        }
        let jitter = MEAN_RETRY_DELAY.mul_f64(0.5 + fastrand::f64());
        tokio::select! {
            () = actix_rt::time::sleep(yield_delay + jitter) => {}
            changed = linked.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        }
        let connect = TcpStream::connect(address);
        if let Ok(Ok(stream)) = actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await {
            link_task::run(parts.clone(), stream, Side::Dialler).await;
        }
    }
}

//! The task that opens connections to one peer.

use crate::{
    link_task::{self, LinkParts},
    prelude::*,
};
use medlarpost_wire::prelude::Side;
use tokio::net::TcpStream;

/// Mean time between tries; each try waits from half to one and a half times as long.
const MEAN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time that the node with the larger name leaves to the other to dial, so that there is one link a pair. It dials in
/// the end, because the other may be a fresh start that knows no addresses.
const YIELD_DELAY: Duration = Duration::from_secs(2);

/// Time that a peer has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens connections to a peer whenever it has no link, until `linked` is closed.
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

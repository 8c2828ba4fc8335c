//! Exchange of registry snapshots between nodes, so that a node that can't read the registry gets what others have
//! read.

use crate::{known_items::KnownItems, prelude::*};
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_wire::snapshot_codec::{SnapshotClientCodec, SnapshotServerCodec};
use std::io;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::Framed;

/// Time limit for one exchange, including the connection. A node that is down or unreachable uses up all of it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Concurrent exchanges to answer. When a fleet restarts, many nodes ask at once; those turned away ask again.
const MAX_CONCURRENT_EXCHANGES: usize = 16;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers the snapshot requests of other nodes, for the life of the process.
pub(crate) async fn serve(listener: TcpListener, known: watch::Receiver<KnownItems>, log: Logger) {
    let exchanges = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_EXCHANGES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(fault) => {
                warn!(log, "snapshot_accept_failed"; "fault" => %fault);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&exchanges).try_acquire_owned() else {
            continue;
        };
        let (known, log) = (known.clone(), log.clone());
        actix_rt::spawn(async move {
            let answered = timeout(EXCHANGE_TIMEOUT, answer_request(stream, &known)).await;
            if let Ok(Err(fault)) = answered {
                debug!(log, "snapshot_not_sent"; "fault" => %fault);
            }
            drop(permit);
        });
    }
}

async fn answer_request(stream: TcpStream, known: &watch::Receiver<KnownItems>) -> io::Result<()> {
    let mut framed = Framed::new(stream, SnapshotServerCodec::default());
    if let Some(request) = framed.next().await.transpose()? {
        let snapshot = known.borrow().snapshot_after(request.after);
        framed.send(snapshot).await?;
    }
    Ok(())
}

/// Requests a snapshot from a node; its revision is 0 if that node knows nothing later than `after`.
///
/// # Errors
///
/// If the node does not answer in time or violates the protocol.
pub(crate) async fn request_snapshot(node: SocketAddr, after: u64) -> io::Result<Snapshot> {
    let exchange = async {
        let stream = TcpStream::connect(node).await?;
        let mut framed = Framed::new(stream, SnapshotClientCodec::default());
        framed.send(SnapshotRequest { after }).await?;
        let answer = framed.next().await.transpose()?;
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        answer.ok_or_else(ended)
    };
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

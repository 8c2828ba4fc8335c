//! The task that accepts links from peers.

use crate::{
    link_task::{self, LinkParts},
    prelude::*,
};
use medlarpost_wire::prelude::Side;
use std::{
    net::TcpListener,
    sync::atomic::{AtomicUsize, Ordering},
};

/// Most accepted connections at a time: a link and its replacement for each of 440 nodes, with room for growth.
const MAX_CONNECTIONS: usize = 2_000;

/// Accepts connections until the control task ends. Connections above the limit are closed at once.
pub(crate) async fn run(listener: TcpListener, parts: LinkParts, mut workers: Workers) {
    let registered = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    let listener = match registered {
        Ok(listener) => listener,
        Err(error) => return error!(parts.log, "listener_failed"; "fault" => %error),
    };
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let connection = tokio::select! {
            connection = listener.accept() => connection,
            () = parts.control.closed() => return,
        };
        // Accepting fails when the process is out of file descriptors; after a pause some may have been closed.
        let Ok((stream, _)) = connection else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (Ok(stream), true) = (
            stream.into_std(),
            open.load(Ordering::Relaxed) < MAX_CONNECTIONS,
        ) else {
            continue;
        };
        let (parts, open) = (parts.clone(), Arc::clone(&open));
        open.fetch_add(1, Ordering::Relaxed);
        workers.spawn(move || async move {
            if let Ok(stream) = tokio::net::TcpStream::from_std(stream) {
                link_task::run(parts, stream, Side::Listener).await;
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

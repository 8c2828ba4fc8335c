//! Guards against a gate that closes connections when it is cut, or that stays cut.

use medlarpost_fakes::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Time in which nothing may come through a cut; a correct gate passes at any value.
const SILENCE: Duration = Duration::from_millis(50);

#[actix_rt::test]
async fn a_cut_gate_is_silent_and_an_open_one_passes_bytes() {
    let target = echo().await;
    let relay = TcpRelay::start(loopback(), target, Workers::start(1)).expect("a free port");

    let mut open = TcpStream::connect(relay.address())
        .await
        .expect("connected");
    let before = exchange(&mut open).await;
    relay.set_cut(true);
    let during = exchange(&mut open).await;
    relay.set_cut(false);
    let mut again = TcpStream::connect(relay.address())
        .await
        .expect("connected");
    let after = exchange(&mut again).await;

    assert_eq!(before, Some(1));
    assert_eq!(during, None);
    assert_eq!(after, Some(1));
}

#[actix_rt::test]
async fn a_gate_leads_new_connections_to_its_new_target() {
    let relay = TcpRelay::start(loopback(), loopback(), Workers::start(1)).expect("a free port");
    relay.set_target(echo().await);

    let mut stream = TcpStream::connect(relay.address())
        .await
        .expect("connected");
    let received = exchange(&mut stream).await;

    assert_eq!(received, Some(1));
}

/// A listener that sends back what it reads.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ended = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    address
}

/// Bytes that come back for one byte; `None` if the gate is silent.
async fn exchange(stream: &mut TcpStream) -> Option<usize> {
    stream.write_all(b"x").await.ok()?;
    let mut buf = [0; 1];
    let read = tokio::time::timeout(SILENCE * 20, stream.read(&mut buf));
    read.await.ok()?.ok()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

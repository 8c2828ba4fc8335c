//! Guards against a relay that still forwards or closes connections while it is cut, or that stays cut.

use medlarpost_fakes::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// A twentieth of the time after which a relay counts as silent. A correct relay passes with any value.
const SILENCE_UNIT: Duration = Duration::from_millis(50);

#[actix_rt::test]
async fn a_cut_relay_forwards_nothing_until_the_cut_ends() {
    let target = start_echo_server().await;
    let relay = TcpRelay::start(loopback(), target, Workers::start(1)).expect("a free port");

    let mut open = TcpStream::connect(relay.address())
        .await
        .expect("the relay accepts");
    let before = echo_one_byte(&mut open).await;
    relay.set_cut(true);
    let during = echo_one_byte(&mut open).await;
    relay.set_cut(false);
    let mut again = TcpStream::connect(relay.address())
        .await
        .expect("the relay accepts");
    let after = echo_one_byte(&mut again).await;

    assert_eq!(before, Some(1));
    assert_eq!(during, None);
    assert_eq!(after, Some(1));
}

#[actix_rt::test]
async fn new_connections_go_to_a_changed_target() {
    let relay = TcpRelay::start(loopback(), loopback(), Workers::start(1)).expect("a free port");
    relay.set_target(start_echo_server().await);

    let mut stream = TcpStream::connect(relay.address())
        .await
        .expect("the relay accepts");
    let received = echo_one_byte(&mut stream).await;

    assert_eq!(received, Some(1));
}

/// Starts a server that sends back the bytes that it reads.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
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

/// Sends one byte and returns the number of bytes that come back; `None` if none come in time.
async fn echo_one_byte(stream: &mut TcpStream) -> Option<usize> {
    stream.write_all(b"x").await.ok()?;
    let mut buf = [0; 1];
    let read = tokio::time::timeout(SILENCE_UNIT * 20, stream.read(&mut buf));
    read.await.ok()?.ok()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

//! A TCP proxy on loopback that injects faults into the connections which pass through it.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Size of the buffer of each direction of a connection.
const CHUNK_BYTES: usize = 16 * 1024;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// Each chunk, in both directions, is held for this time.
    Delayed(Duration),
    /// Open connections are reset, and new ones as soon as they open.
    Reset,
    /// Connections that are open when the fault begins are reset; new ones work.
    Cut,
    /// Connections that are open when the fault begins pass no more bytes, even after it has ended; new ones work.
    Silent,
    /// Requests pass; replies are dropped.
    OneWay,
}

/// Direction of bytes through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Request,
    Reply,
}

/// A proxy to one address. Dropping it ends its listener and its connections.
#[derive(Debug)]
pub struct LoopbackProxy {
    fault: watch::Sender<LinkFault>,
}

impl LoopbackProxy {
    /// Starts a proxy that listens on `address` and connects to `target`.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (fault, rx) = watch::channel(LinkFault::None);
        actix_rt::spawn(accept(listener, target, rx));
        Ok(Self { fault })
    }

    /// Resets the open connections, unless another fault lasts.
    pub fn cut(&self) {
        let has_other_fault = !matches!(*self.fault.borrow(), LinkFault::None | LinkFault::Cut);
        if !has_other_fault {
            self.fault.send_replace(LinkFault::Cut);
        }
    }

    /// Sets the fault of open and new connections; `LinkFault::None` ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut fault: watch::Receiver<LinkFault>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(forward(stream, target, fault.clone()));
                }
            }
            changed = fault.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    if *fault.borrow() == LinkFault::Reset {
        return reset_on_drop(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset_on_drop(&near);
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let requests = copy_bytes(near_read, far_write, Direction::Request, fault.clone());
    let replies = copy_bytes(far_read, near_write, Direction::Reply, fault);
    // The end of one direction ends the connection, as with most programs that speak HTTP/1.1.
    tokio::select! {
        (read, write) = requests => reset_both(&read, &write),
        (read, write) = replies => reset_both(&read, &write),
    }
}

/// Copies bytes until one side or a fault ends the connection.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut fault: watch::Receiver<LinkFault>,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut buf = vec![0; CHUNK_BYTES];
    fault.mark_unchanged();
    loop {
        let read = tokio::select! {
            biased;
            changed = fault.changed() => {
                let current = *fault.borrow_and_update();
                match current {
                    _ if changed.is_err() => return (from, to),
                    LinkFault::Reset | LinkFault::Cut => return (from, to),
                    LinkFault::Silent => wait_for_proxy_end(&mut fault).await,
                    _ => {}
                }
                continue;
            }
            read = from.read(&mut buf) => read,
        };
        let Some(length) = read.ok().filter(|length| *length > 0) else {
            return (from, to);
        };
        let current = *fault.borrow();
        match current {
            LinkFault::Delayed(time) => tokio::time::sleep(time).await,
            LinkFault::OneWay if direction == Direction::Reply => continue,
            _ => {}
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return (from, to);
        }
    }
}

/// Waits until the proxy is dropped, so that a silent connection stays silent through later faults.
async fn wait_for_proxy_end(fault: &mut watch::Receiver<LinkFault>) {
    while fault.changed().await.is_ok() {}
}

fn reset_both(read: &OwnedReadHalf, write: &OwnedWriteHalf) {
    reset_on_drop(read.as_ref());
    reset_on_drop(write.as_ref());
}

/// Makes the connection end with a reset when the stream is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // Fails only if the connection has ended.
    let _ended = stream.set_zero_linger();
}

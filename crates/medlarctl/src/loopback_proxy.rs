//! A proxy on loopback that harms the connections which pass through it.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Everything that comes is held for this time.
    Delayed(Duration),
    /// Open connections are reset, and new ones as soon as they open.
    Reset,
    /// Connections that are open when it begins pass nothing on any more, also after it has ended; new ones work.
    Silent,
    /// Requests pass, replies don't.
    OneWay,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Request,
    Reply,
}

/// A proxy to one address. Dropping it ends its listener and its connections.
#[derive(Debug)]
pub struct LoopbackProxy {
    fault: watch::Sender<LinkFault>,
}

impl LoopbackProxy {
    /// A proxy that listens on an address.
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

    /// Sets what it does to connections.
    pub fn harm(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut fault: watch::Receiver<LinkFault>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(pass(stream, target, fault.clone()));
                }
            }
            changed = fault.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

async fn pass(near: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    if *fault.borrow() == LinkFault::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let requests = pump(near_read, far_write, Way::Request, fault.clone());
    let replies = pump(far_read, near_write, Way::Reply, fault);
    // The end of one direction ends the connection, as with most programs that speak HTTP/1.1.
    tokio::select! {
        (read, write) = requests => close(&read, &write),
        (read, write) = replies => close(&read, &write),
    }
}

/// Passes bytes on until one side ends the connection or a fault does.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut fault: watch::Receiver<LinkFault>,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut buf = vec![0; CHUNK_BYTES];
    fault.mark_unchanged();
    loop {
        let read = tokio::select! {
            biased;
            changed = fault.changed() => {
                let harm = *fault.borrow_and_update();
                match harm {
                    _ if changed.is_err() => return (from, to),
                    LinkFault::Reset => return (from, to),
                    LinkFault::Silent => silence(&mut fault).await,
                    _ => {}
                }
                continue;
            }
            read = from.read(&mut buf) => read,
        };
        let Some(length) = read.ok().filter(|length| *length > 0) else {
            return (from, to);
        };
        let harm = *fault.borrow();
        match harm {
            LinkFault::Delayed(time) => tokio::time::sleep(time).await,
            LinkFault::OneWay if way == Way::Reply => continue,
            _ => {}
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return (from, to);
        }
    }
}

/// Waits for the end of the proxy.
async fn silence(fault: &mut watch::Receiver<LinkFault>) {
    while fault.changed().await.is_ok() {}
}

fn close(read: &OwnedReadHalf, write: &OwnedWriteHalf) {
    reset(read.as_ref());
    reset(write.as_ref());
}

/// Lets the connection be reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Fails only if the connection has ended.
    let _ended = stream.set_zero_linger();
}

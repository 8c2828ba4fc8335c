//! A connection to a peer as a typestate: messages can be exchanged only after both sides have proved that they hold
//! the fleet key.

use crate::prelude::*;
use futures_util::{Sink as _, SinkExt as _, Stream as _, StreamExt as _};
use medlarpost_wire::prelude::{
    FleetKey, FrameCodec, Handshake, HandshakeCodec, Hello, Message, Side, WireError,
};
use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A connection to a peer; `S` is its state.
#[derive(Debug)]
pub struct Link<S> {
    state: S,
}

/// State of a link whose TCP connection is open and whose peer is not authenticated.
#[derive(Debug)]
pub struct Connected {
    framed: Framed<TcpStream, HandshakeCodec>,
    side: Side,
}

/// State of a link whose peer has proved that it holds the fleet key.
#[derive(Debug)]
pub struct Authenticated {
    framed: Framed<TcpStream, FrameCodec>,
    /// Whether written frames may still be in the buffer.
    unflushed: bool,
}

/// An input of an authenticated link.
#[derive(Debug)]
pub enum LinkInput {
    /// A message arrived.
    Received(Message),
    /// One more message can be sent.
    Writable,
}

impl Link<Connected> {
    /// A link over an open TCP connection; `side` says which node opened it.
    pub fn new(stream: TcpStream, side: Side) -> Self {
        // With Nagle's algorithm, small frames would wait for the peer's delayed acknowledgement.
        let _best_effort = stream.set_nodelay(true);
        let framed = Framed::new(stream, HandshakeCodec);
        Self {
            state: Connected { framed, side },
        }
    }

    /// Exchanges hellos and proofs of the fleet key. Returns the peer's hello and the authenticated link.
    ///
    /// # Errors
    ///
    /// If the connection ends, or the peer sends an invalid frame or has another major version or fleet key.
    pub async fn authenticate(
        self,
        key: FleetKey,
        hello: &Hello,
    ) -> Result<(Hello, Link<Authenticated>), WireError> {
        let Connected { mut framed, side } = self.state;
        let own = hello.encode();
        framed.send(own.clone()).await?;
        let received = framed.next().await.ok_or(WireError::Truncated)??;
        let handshake = Handshake::new(key, side, own, received)?;
        framed.send(handshake.proof()).await?;
        let proof = framed.next().await.ok_or(WireError::Truncated)??;
        let (peer, codec) = handshake.verify(&proof)?;
        let state = Authenticated {
            framed: framed.map_codec(|_| codec),
            unflushed: false,
        };
        Ok((peer, Link { state }))
    }
}

impl Link<Authenticated> {
    /// Waits until a message arrives or, if `has_message`, until one can be sent. Cancel-safe: no message is lost.
    ///
    /// # Errors
    ///
    /// If the connection ends or carries an invalid frame.
    pub async fn next_input(&mut self, has_message: bool) -> Result<LinkInput, WireError> {
        poll_fn(|cx| self.poll_input(cx, has_message)).await
    }

    /// Buffers a message to be sent; allowed once after each [`LinkInput::Writable`].
    ///
    /// # Errors
    ///
    /// If the message is longer than a frame may be.
    pub fn send(&mut self, message: &Message) -> Result<(), WireError> {
        self.state.unflushed = true;
        Pin::new(&mut self.state.framed).start_send(message)
    }

    /// Bytes of the frames sent and received so far, in this order.
    pub fn byte_counts(&self) -> (u64, u64) {
        let codec = self.state.framed.codec();
        (codec.sent_bytes(), codec.received_bytes())
    }

    fn poll_input(
        &mut self,
        cx: &mut Context<'_>,
        has_message: bool,
    ) -> Poll<Result<LinkInput, WireError>> {
        let Authenticated { framed, unflushed } = &mut self.state;
        let mut framed = Pin::new(framed);
        if has_message && framed.as_mut().poll_ready(cx)?.is_ready() {
            return Poll::Ready(Ok(LinkInput::Writable));
        }
        if *unflushed && framed.as_mut().poll_flush(cx)?.is_ready() {
            *unflushed = false;
        }
        framed.poll_next(cx).map(|message| match message {
            Some(message) => message.map(LinkInput::Received),
            None => Err(WireError::Truncated),
        })
    }
}

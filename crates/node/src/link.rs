//! A connection to a peer, as a typestate: messages pass only once both sides have proved that they hold the fleet key.

use crate::prelude::*;
use futures_util::{Sink as _, SinkExt as _, Stream as _, StreamExt as _};
use medlarpost_wire::prelude::{
    FleetKey, FrameCodec, GreetingCodec, Handshake, Hello, Message, Side, WireError,
};
use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A connection to a peer.
#[derive(Debug)]
pub struct Link<S> {
    state: S,
}

/// The TCP connection is open; the peer may be anybody.
#[derive(Debug)]
pub struct Connected {
    framed: Framed<TcpStream, GreetingCodec>,
    side: Side,
}

/// The peer holds the fleet key.
#[derive(Debug)]
pub struct Authenticated {
    framed: Framed<TcpStream, FrameCodec>,
    /// Whether bytes wait to be written.
    unflushed: bool,
}

/// What happened on a link.
#[derive(Debug)]
pub enum LinkInput {
    /// A message arrived.
    Received(Message),
    /// Another message can be taken.
    Writable,
}

impl Link<Connected> {
    /// A link over an open connection.
    pub fn new(stream: TcpStream, side: Side) -> Self {
        // Without this, small frames wait for the peer's delayed acknowledgement.
        let _best_effort = stream.set_nodelay(true);
        let framed = Framed::new(stream, GreetingCodec);
        Self {
            state: Connected { framed, side },
        }
    }

    /// Exchanges hellos and proofs.
    ///
    /// # Errors
    ///
    /// A connection that ended, a frame of another form, another major version or another fleet key.
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
    /// Waits for a message or, if `has_message`, for room for one. Can be cancelled without losing anything.
    ///
    /// # Errors
    ///
    /// The connection ended or carried a bad frame.
    pub async fn next_input(&mut self, has_message: bool) -> Result<LinkInput, WireError> {
        poll_fn(|cx| self.poll_input(cx, has_message)).await
    }

    /// Takes a message; allowed once after each [`LinkInput::Writable`].
    ///
    /// # Errors
    ///
    /// A message over the limit of a frame.
    pub fn send(&mut self, message: &Message) -> Result<(), WireError> {
        self.state.unflushed = true;
        Pin::new(&mut self.state.framed).start_send(message)
    }

    /// Bytes of the frames sent and received so far.
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

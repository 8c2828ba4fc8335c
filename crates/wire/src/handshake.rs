//! Proof that both sides of a link hold the fleet key, and the keys of the link.

use crate::{fleet_key::HmacSha256, frame_codec::DirectionState, generated, prelude::*};
use hmac::Mac as _;
use prost::Message as _;

/// Which end of a link a node is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Opened the connection.
    Dialler,
    /// Accepted it.
    Listener,
}

/// Both hellos of a link.
#[derive(Debug)]
pub struct Handshake {
    key: FleetKey,
    side: Side,
    /// Exact bytes of the dialler's hello.
    dialler: Bytes,
    /// Exact bytes of the listener's hello.
    listener: Bytes,
    peer: Hello,
}

impl Side {
    fn opposite(self) -> Self {
        match self {
            Self::Dialler => Self::Listener,
            Self::Listener => Self::Dialler,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialler => b"dialler",
            Self::Listener => b"listener",
        }
    }
}

impl Handshake {
    /// Takes the hello that this side sent and the one that it received.
    ///
    /// # Errors
    ///
    /// As for [`Hello::decode`].
    pub fn new(key: FleetKey, side: Side, own: Bytes, received: Bytes) -> Result<Self, WireError> {
        let peer = Hello::decode(&received)?;
        let (dialler, listener) = match side {
            Side::Dialler => (own, received),
            Side::Listener => (received, own),
        };
        Ok(Self {
            key,
            side,
            dialler,
            listener,
            peer,
        })
    }

    /// The proof of this side, encoded.
    pub fn proof(&self) -> Bytes {
        let code = self.mac(b"proof", self.side).finalize();
        let proof = generated::Proof {
            code: Bytes::copy_from_slice(&code.into_bytes()),
        };
        proof.encode_to_vec().into()
    }

    /// Checks the peer's proof and returns who the peer is and the codec for all later frames.
    ///
    /// # Errors
    ///
    /// Bytes of another form, or a proof with another key, of the other side or of another link.
    pub fn verify(self, frame: &[u8]) -> Result<(Hello, FrameCodec), WireError> {
        let proof = generated::Proof::decode(frame).map_err(wire_error::malformed)?;
        let expected = self.mac(b"proof", self.side.opposite());
        if expected.verify_slice(&proof.code).is_err() {
            return wire_error::WrongKeySnafu.fail();
        }
        let outgoing = self.direction_state(self.side);
        let incoming = self.direction_state(self.side.opposite());
        let codec = FrameCodec::new(outgoing, incoming, self.peer.minor);
        Ok((self.peer, codec))
    }

    /// Key and count of the frames that one side sends.
    fn direction_state(&self, from: Side) -> DirectionState {
        let key = self.mac(b"frames", from).finalize().into_bytes();
        DirectionState::new(&key)
    }

    fn mac(&self, purpose: &[u8], side: Side) -> HmacSha256 {
        let mut code = self.key.mac();
        for field in [purpose, side.label(), &self.dialler, &self.listener] {
            // Lengths come first, so that no two inputs are the same.
            code.update(&(field.len() as u64).to_be_bytes());
            code.update(field);
        }
        code
    }
}

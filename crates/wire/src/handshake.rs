//! Mutual authentication of a link with the fleet key, and derivation of the link's keys.

use crate::{fleet_key::HmacSha256, frame_codec::DirectionState, generated, prelude::*};
use hmac::Mac as _;
use prost::Message as _;

/// The role of a node on a link. It goes into the proofs and the keys, so that neither can be reflected to its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The node that opened the connection.
    Dialler,
    /// The node that accepted the connection.
    Listener,
}

/// A link after both hellos were exchanged and before the peer's proof was verified.
#[derive(Debug)]
pub struct Handshake {
    key: FleetKey,
    side: Side,
    /// Hello of the dialler, byte for byte as sent: MACs cover these bytes.
    dialler: Bytes,
    /// Hello of the listener, byte for byte as sent.
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
    /// Starts from the encoded hello that this side sent and the one that it received.
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

    /// Returns this side's encoded proof: a MAC over both hellos with the fleet key.
    pub fn proof(&self) -> Bytes {
        let code = self.mac(b"proof", self.side).finalize();
        let proof = generated::Proof {
            code: Bytes::copy_from_slice(&code.into_bytes()),
        };
        proof.encode_to_vec().into()
    }

    /// Verifies the peer's proof and returns the peer's hello and the codec for all later frames.
    ///
    /// # Errors
    ///
    /// Fails if the frame can't be decoded, or if the proof was made with another key, by the other side or for another
    /// link.
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

    /// Derives the MAC key for the frames that `from` sends; its sequence numbers start at 0.
    fn direction_state(&self, from: Side) -> DirectionState {
        let key = self.mac(b"frames", from).finalize().into_bytes();
        DirectionState::new(&key)
    }

    fn mac(&self, purpose: &[u8], side: Side) -> HmacSha256 {
        let mut code = self.key.mac();
        for field in [purpose, side.label(), &self.dialler, &self.listener] {
            // Each field is preceded by its length, so that different inputs can't yield the same bytes.
            code.update(&(field.len() as u64).to_be_bytes());
            code.update(field);
        }
        code
    }
}

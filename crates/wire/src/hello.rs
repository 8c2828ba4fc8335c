//! The first frame that each side of a link sends.

use crate::{generated, prelude::*};
use prost::Message as _;

/// Longest node name that is accepted, in bytes.
const MAX_NODE_NAME_BYTES: usize = 128;

/// Identity and protocol version of a side. Unauthenticated until [`Handshake::verify`] succeeds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Major version of the link protocol; both sides must have the same.
    pub major: u32,
    /// Minor version of the link protocol; may differ between the sides.
    pub minor: u32,
    /// Name of the node; 1 to 128 bytes.
    pub node: String,
    /// Start number of the node's process; differs between two starts of a node.
    pub start: u64,
    /// Random value that differs for each link, so that a recorded proof can't be replayed.
    pub nonce: [u8; 16],
}

impl Hello {
    /// Major version that this crate speaks. A hello with another major version is rejected.
    pub const MAJOR: u32 = 1;
    /// Minor version that this crate speaks. Other minor versions interoperate.
    pub const MINOR: u32 = 0;

    /// Creates this node's hello with the versions that this crate speaks.
    pub fn new(node: &str, start: u64, nonce: [u8; 16]) -> Self {
        Self {
            major: Self::MAJOR,
            minor: Self::MINOR,
            node: node.to_owned(),
            start,
            nonce,
        }
    }

    /// Encodes the hello as protobuf, without a length prefix.
    pub fn encode(&self) -> Bytes {
        let hello = generated::Hello {
            major: self.major,
            minor: self.minor,
            node: self.node.clone(),
            start: self.start,
            nonce: Bytes::copy_from_slice(&self.nonce),
        };
        hello.encode_to_vec().into()
    }

    /// Decodes and validates a peer's hello.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid hello, or if its major version is another than [`Self::MAJOR`].
    pub fn decode(frame: &[u8]) -> Result<Self, WireError> {
        let hello = generated::Hello::decode(frame).map_err(wire_error::malformed)?;
        if hello.major != Self::MAJOR {
            let (major, own) = (hello.major, Self::MAJOR);
            return wire_error::MajorVersionSnafu { major, own }.fail();
        }
        if hello.node.is_empty() || hello.node.len() > MAX_NODE_NAME_BYTES {
            return Err(wire_error::malformed(
                "node name must be 1 to 128 bytes long",
            ));
        }
        let nonce = hello.nonce.as_ref().try_into();
        Ok(Self {
            major: hello.major,
            minor: hello.minor,
            node: hello.node,
            start: hello.start,
            nonce: nonce.map_err(wire_error::malformed)?,
        })
    }
}

//! The first frame of each side.

use crate::{generated, prelude::*};
use prost::Message as _;

/// Longest node name that is read, in bytes.
const MAX_NODE_NAME_BYTES: usize = 128;

/// Who a side is. Not authentic until the side has proved that it holds the fleet key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Major version of the protocol that the side speaks.
    pub major: u32,
    /// Minor version of the protocol that the side speaks.
    pub minor: u32,
    /// Name of the node; 1 to 128 bytes.
    pub node: String,
    /// Number of its start.
    pub start: u64,
    /// Random; differs for each link, so that no proof is valid twice.
    pub nonce: [u8; 16],
}

impl Hello {
    /// Major version that this crate speaks. Another major version is refused.
    pub const MAJOR: u32 = 1;
    /// Minor version that this crate speaks. Other minor versions interoperate.
    pub const MINOR: u32 = 0;

    /// The hello of this node.
    pub fn new(node: &str, start: u64, nonce: [u8; 16]) -> Self {
        Self {
            major: Self::MAJOR,
            minor: Self::MINOR,
            node: node.to_owned(),
            start,
            nonce,
        }
    }

    /// Encodes the hello.
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

    /// Reads a peer's hello.
    ///
    /// # Errors
    ///
    /// Bytes of another form, or another major version.
    pub fn decode(frame: &[u8]) -> Result<Self, WireError> {
        let hello = generated::Hello::decode(frame).map_err(wire_error::malformed)?;
        if hello.major != Self::MAJOR {
            let (major, own) = (hello.major, Self::MAJOR);
            return wire_error::MajorVersionSnafu { major, own }.fail();
        }
        if hello.node.is_empty() || hello.node.len() > MAX_NODE_NAME_BYTES {
            return Err(wire_error::malformed("a node name of no valid length"));
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

//! Faults of links.

use crate::prelude::*;

/// Why a link can't go on.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The socket failed.
    #[snafu(display("link socket failed: {source}; check the network and the peer"))]
    Socket {
        /// What the system said.
        source: std::io::Error,
    },
    /// A frame over the limit.
    #[snafu(display(
        "frame of {bytes} bytes is over the limit of {limit}; check what is sent on this port"
    ))]
    TooLong {
        /// Length found.
        bytes: usize,
        /// Length allowed.
        limit: usize,
    },
    /// A frame that is shorter than its fixed fields, or a stream that ended within a frame.
    #[snafu(display("frame is cut short; check what is sent on this port"))]
    Truncated,
    /// A frame whose code is not valid.
    #[snafu(display("frame is not authentic; check that all nodes have the same fleet key"))]
    NotAuthentic,
    /// A proof that is not valid.
    #[snafu(display("peer does not hold the fleet key; give all nodes the same fleet key"))]
    WrongKey,
    /// A frame that was repeated or left out.
    #[snafu(display(
        "frame {found} came in place of frame {expected}; the link must be opened again"
    ))]
    SequenceMismatch {
        /// Number of the next frame.
        expected: u64,
        /// Number found.
        found: u64,
    },
    /// An authentic frame that is no message.
    #[snafu(display("frame holds no valid message: {detail}; check the peer's version"))]
    Malformed {
        /// What was found.
        detail: String,
    },
    /// An authentic frame with a message type that the peer's version doesn't have.
    #[snafu(display("frame holds a message of an unknown type; check the peer's version"))]
    UnknownType,
    /// A peer that speaks another protocol.
    #[snafu(display(
        "peer speaks version {major} of the link protocol, this node version {own}; update the older node"
    ))]
    MajorVersion {
        /// Major version of the peer.
        major: u32,
        /// Major version of this node.
        own: u32,
    },
}

impl From<std::io::Error> for WireError {
    fn from(source: std::io::Error) -> Self {
        Self::Socket { source }
    }
}

/// A fault of an authentic frame.
pub(crate) fn malformed(detail: impl std::fmt::Display) -> WireError {
    WireError::Malformed {
        detail: detail.to_string(),
    }
}

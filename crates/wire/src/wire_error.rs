//! Errors of links between nodes.

use crate::prelude::*;

/// Why a link was closed or couldn't be opened.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// Reading from or writing to the socket failed.
    #[snafu(display("link socket failed: {source}; check the network and the peer"))]
    Socket {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A frame longer than the codec allows, sent or announced by a length prefix.
    #[snafu(display(
        "frame of {bytes} bytes is over the limit of {limit}; check what is sent on this port"
    ))]
    TooLong {
        /// Length of the frame, in bytes.
        bytes: usize,
        /// Largest allowed length, in bytes.
        limit: usize,
    },
    /// A frame shorter than its fixed fields, or a stream that ended within a frame.
    #[snafu(display("frame is truncated; check what is sent on this port"))]
    Truncated,
    /// A frame whose MAC is not valid.
    #[snafu(display("frame failed authentication; check that all nodes have the same fleet key"))]
    NotAuthentic,
    /// A handshake proof that is not valid.
    #[snafu(display("peer does not hold the fleet key; give all nodes the same fleet key"))]
    WrongKey,
    /// A frame that was replayed, or that follows a lost one.
    #[snafu(display("received frame {found} instead of frame {expected}; reconnect the link"))]
    SequenceMismatch {
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number of the received frame.
        found: u64,
    },
    /// A handshake frame or an authentic frame whose content can't be decoded.
    #[snafu(display("frame can't be decoded: {detail}; check the peer's version"))]
    Malformed {
        /// What is wrong with the content.
        detail: String,
    },
    /// An authentic frame with a message type that the peer's own version doesn't define.
    #[snafu(display("message type of the frame is unknown; check the peer's version"))]
    UnknownType,
    /// A peer with another major version of the link protocol.
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

/// Creates a [`WireError::Malformed`] from any decoding error or text.
pub(crate) fn malformed(detail: impl std::fmt::Display) -> WireError {
    WireError::Malformed {
        detail: detail.to_string(),
    }
}

//! Framing of an authenticated link: length, sequence number, authentication code, message.

use crate::{
    decode, encode,
    fleet_key::{self, HmacSha256},
    handshake_codec::{LENGTH_BYTES, check_stream_end, take_frame},
    prelude::*,
};
use hmac::Mac as _;
use tokio_util::codec::{Decoder, Encoder};

/// Longest frame, in bytes: a part of 1 MB with room for a few fields.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024 + 64 * 1024;

/// Bytes of a sequence number.
const SEQUENCE_BYTES: usize = 8;

/// Bytes of the authentication code: HMAC-SHA-256, of which the first half is sent.
const MAC_BYTES: usize = 16;

/// Bytes that each frame has in addition to its message.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + SEQUENCE_BYTES + MAC_BYTES;

/// Key and count of the frames in one direction.
#[derive(Clone)]
pub(crate) struct DirectionState {
    mac: HmacSha256,
    next_sequence: u64,
}

/// Frames of an authenticated link. Made by a handshake.
#[derive(Clone)]
pub struct FrameCodec {
    outgoing: DirectionState,
    incoming: DirectionState,
    /// Minor version of the peer.
    peer_minor: u32,
    sent_bytes: u64,
    received_bytes: u64,
}

impl DirectionState {
    pub(crate) fn new(key: &[u8]) -> Self {
        Self {
            mac: fleet_key::hmac_with_key(key),
            next_sequence: 0,
        }
    }

    fn mac(&self, sequence: [u8; SEQUENCE_BYTES], message: &[u8]) -> HmacSha256 {
        let mut code = self.mac.clone();
        code.update(&sequence);
        code.update(message);
        code
    }
}

impl FrameCodec {
    pub(crate) fn new(outgoing: DirectionState, incoming: DirectionState, peer_minor: u32) -> Self {
        Self {
            outgoing,
            incoming,
            peer_minor,
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Bytes of all frames encoded, without those of TCP and IP.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Bytes of all frames decoded, without those of TCP and IP.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Checks a frame and returns its message bytes.
    fn verify_frame(&mut self, mut frame: Bytes) -> Result<Bytes, WireError> {
        if frame.len() < SEQUENCE_BYTES + MAC_BYTES {
            return wire_error::TruncatedSnafu.fail();
        }
        let sequence = frame.get_u64();
        let code = frame.split_to(MAC_BYTES);
        let expected = self.incoming.mac(sequence.to_be_bytes(), &frame);
        if expected.verify_truncated_left(&code).is_err() {
            return wire_error::NotAuthenticSnafu.fail();
        }
        if sequence != self.incoming.next_sequence {
            let (expected, found) = (self.incoming.next_sequence, sequence);
            return wire_error::SequenceMismatchSnafu { expected, found }.fail();
        }
        self.incoming.next_sequence += 1;
        Ok(frame)
    }
}

impl Debug for FrameCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameCodec")
            .field("peer_minor", &self.peer_minor)
            .finish_non_exhaustive()
    }
}

impl Decoder for FrameCodec {
    type Error = WireError;
    type Item = Message;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Message>, WireError> {
        while let Some(frame) = take_frame(src, MAX_FRAME_BYTES)? {
            self.received_bytes += (LENGTH_BYTES + frame.len()) as u64;
            let message = self.verify_frame(frame)?;
            match decode::message(message)? {
                Some(message) => return Ok(Some(message)),
                // A newer peer may send messages that this version doesn't know.
                None if self.peer_minor > Hello::MINOR => {}
                None => return wire_error::UnknownTypeSnafu.fail(),
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Message>, WireError> {
        check_stream_end(self.decode(buf)?, buf)
    }
}

impl Encoder<&Message> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, item: &Message, dst: &mut BytesMut) -> Result<(), WireError> {
        let message = encode::message(item);
        let (bytes, limit) = (SEQUENCE_BYTES + MAC_BYTES + message.len(), MAX_FRAME_BYTES);
        if bytes > limit {
            return wire_error::TooLongSnafu { bytes, limit }.fail();
        }
        let sequence = self.outgoing.next_sequence.to_be_bytes();
        let code = self.outgoing.mac(sequence, &message).finalize();
        self.outgoing.next_sequence += 1;
        self.sent_bytes += (LENGTH_BYTES + bytes) as u64;
        dst.reserve(LENGTH_BYTES + bytes);
        dst.put_u32(bytes as u32);
        dst.put_slice(&sequence);
        dst.put_slice(&code.into_bytes()[..MAC_BYTES]);
        dst.put_slice(&message);
        Ok(())
    }
}

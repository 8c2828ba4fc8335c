//! Framing of an authenticated link: length, sequence number, message authentication code (MAC), message.

use crate::{
    decode, encode,
    fleet_key::{self, HmacSha256},
    handshake_codec::{LENGTH_BYTES, check_stream_end, take_frame},
    prelude::*,
};
use hmac::Mac as _;
use tokio_util::codec::{Decoder, Encoder};

/// Largest frame, in bytes, without the length prefix: a bundle part of 1 MB and some room for the other fields.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024 + 64 * 1024;

const SEQUENCE_BYTES: usize = 8;

/// Bytes of the MAC: HMAC-SHA-256, truncated to its first half.
const MAC_BYTES: usize = 16;

/// Bytes that framing adds to each message.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + SEQUENCE_BYTES + MAC_BYTES;

/// MAC key and next sequence number for the frames of one direction.
#[derive(Clone)]
pub(crate) struct DirectionState {
    mac: HmacSha256,
    next_sequence: u64,
}

/// Encodes, authenticates and decodes the messages of a link. Created by [`Handshake::verify`].
#[derive(Clone)]
pub struct FrameCodec {
    outgoing: DirectionState,
    incoming: DirectionState,
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

    /// Bytes of all encoded frames, length prefixes included, TCP and IP headers excluded.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Bytes of all decoded frames, length prefixes included, TCP and IP headers excluded.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Verifies the MAC and the sequence number of a frame and returns its message bytes.
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
                // A peer with a newer minor version may send message types that this version doesn't have.
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

//! Framing of the handshake: the hello and the proof that each side sends before the link is authenticated.

use crate::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

/// Largest handshake frame, in bytes; a hello with the longest node name takes less than 200.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 512;

/// Bytes of the big-endian length prefix of a frame.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Length-prefixed frames of at most 512 bytes, so that an unauthenticated peer can't make a node buffer more.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandshakeCodec;

/// Removes one length-prefixed frame from the front of `src`; `None` if it is still incomplete.
pub(crate) fn take_frame(src: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, WireError> {
    let Some(length) = src.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let bytes = u32::from_be_bytes(*length) as usize;
    if bytes > limit {
        return wire_error::TooLongSnafu { bytes, limit }.fail();
    }
    if src.len() < LENGTH_BYTES + bytes {
        src.reserve(LENGTH_BYTES + bytes - src.len());
        return Ok(None);
    }
    src.advance(LENGTH_BYTES);
    Ok(Some(src.split_to(bytes).freeze()))
}

impl Decoder for HandshakeCodec {
    type Error = WireError;
    type Item = Bytes;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, WireError> {
        take_frame(src, MAX_HANDSHAKE_FRAME_BYTES)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, WireError> {
        check_stream_end(self.decode(buf)?, buf)
    }
}

/// Passes on the last frame of a stream; fails if the stream ended within a frame.
pub(crate) fn check_stream_end<T>(
    frame: Option<T>,
    rest: &BytesMut,
) -> Result<Option<T>, WireError> {
    if frame.is_none() && !rest.is_empty() {
        return wire_error::TruncatedSnafu.fail();
    }
    Ok(frame)
}

impl Encoder<Bytes> for HandshakeCodec {
    type Error = WireError;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> Result<(), WireError> {
        if item.len() > MAX_HANDSHAKE_FRAME_BYTES {
            let (bytes, limit) = (item.len(), MAX_HANDSHAKE_FRAME_BYTES);
            return wire_error::TooLongSnafu { bytes, limit }.fail();
        }
        dst.put_u32(item.len() as u32);
        dst.put_slice(&item);
        Ok(())
    }
}

//! Frames by which nodes pass on what the registry has published.

use crate::{generated_snapshot as gen_snapshot, prelude::*};
use prost::Message as _;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Version of the protocol.
const MAJOR_VERSION: u32 = 1;

/// Longest frame, in bytes: a configuration of 1 MB and the entries of 2,500 upstreams, twice over.
pub const MAX_SNAPSHOT_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A message of this protocol.
pub trait SnapshotMessage: Sized {
    /// Its bytes.
    fn to_bytes(&self) -> Vec<u8>;

    /// The message with these bytes, or `None` for another version.
    ///
    /// # Errors
    ///
    /// If the bytes are no message.
    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError>;
}

/// One message a frame, after its length.
#[derive(Debug)]
pub struct SnapshotCodec<Out, In> {
    frames: LengthDelimitedCodec,
    messages: PhantomData<(Out, In)>,
}

/// Frames of the node that asks.
pub type SnapshotClientCodec = SnapshotCodec<SnapshotRequest, Snapshot>;

/// Frames of the node that answers.
pub type SnapshotServerCodec = SnapshotCodec<Snapshot, SnapshotRequest>;

impl<Out, In> Default for SnapshotCodec<Out, In> {
    fn default() -> Self {
        Self {
            frames: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_SNAPSHOT_FRAME_BYTES)
                .new_codec(),
            messages: PhantomData,
        }
    }
}

impl<Out: SnapshotMessage, In> Encoder<Out> for SnapshotCodec<Out, In> {
    type Error = std::io::Error;

    fn encode(&mut self, item: Out, dst: &mut BytesMut) -> std::io::Result<()> {
        self.frames.encode(Bytes::from(item.to_bytes()), dst)
    }
}

impl<Out, In: SnapshotMessage> Decoder for SnapshotCodec<Out, In> {
    type Error = std::io::Error;
    type Item = In;

    fn decode(&mut self, src: &mut BytesMut) -> std::io::Result<Option<In>> {
        while let Some(frame) = self.frames.decode(src)? {
            // A message of another version is passed over.
            if let Some(message) = In::from_bytes(&frame)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }
}

impl SnapshotMessage for SnapshotRequest {
    fn to_bytes(&self) -> Vec<u8> {
        let message = gen_snapshot::Ask {
            major: MAJOR_VERSION,
            after: self.after,
        };
        message.encode_to_vec()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let message = gen_snapshot::Ask::decode(bytes)?;
        let after = message.after;
        Ok((message.major == MAJOR_VERSION).then_some(Self { after }))
    }
}

impl SnapshotMessage for Snapshot {
    fn to_bytes(&self) -> Vec<u8> {
        let items = self.items.iter().map(|item| gen_snapshot::Item {
            key: item.key.to_string(),
            value: item.value.clone(),
        });
        let message = gen_snapshot::Snapshot {
            major: MAJOR_VERSION,
            revision: self.revision,
            items: items.collect(),
            current: self.current,
        };
        message.encode_to_vec()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let message = gen_snapshot::Snapshot::decode(bytes)?;
        let items = message.items.into_iter().map(|item| PublishedItem {
            key: item.key.into(),
            value: item.value,
        });
        let snapshot = Self {
            revision: message.revision,
            current: message.current,
            items: items.collect(),
        };
        Ok((message.major == MAJOR_VERSION).then_some(snapshot))
    }
}

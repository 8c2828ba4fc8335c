//! Codec for the snapshots of the registry that nodes relay to each other.

use crate::{generated_snapshot as gen_snapshot, prelude::*};
use prost::Message as _;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Major version of the snapshot protocol; messages of any other version are skipped.
const MAJOR_VERSION: u32 = 1;

/// Largest frame, in bytes: twice the size of a configuration of 1 MB with the entries of 2,500 upstreams.
pub const MAX_SNAPSHOT_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A message of the snapshot protocol.
pub trait SnapshotMessage: Sized {
    /// Encodes the message as protobuf, without a length prefix.
    fn to_bytes(&self) -> Vec<u8>;

    /// Decodes a message; `None` if it has another major version.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid protobuf of this message type.
    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError>;
}

/// Length-prefixed frames of one message each; sends `Out` and receives `In`.
#[derive(Debug)]
pub struct SnapshotCodec<Out, In> {
    frames: LengthDelimitedCodec,
    messages: PhantomData<(Out, In)>,
}

/// Codec of the node that requests snapshots.
pub type SnapshotClientCodec = SnapshotCodec<SnapshotRequest, Snapshot>;

/// Codec of the node that serves snapshots.
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
            // `None` stands for a message of another major version, which is skipped.
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

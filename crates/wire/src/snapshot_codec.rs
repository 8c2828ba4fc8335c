//! Codec for the snapshots of the registry that nodes relay to each other.

use crate::{generated_snapshot as gen_snapshot, millis::encode_millis, prelude::*};
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

/// Codec of the node that follows another one.
pub type FollowerCodec = SnapshotCodec<RegistryPoll, RegistryReply>;

/// Codec of the node that serves snapshots and followers. Its replies to both are the same message.
pub type RelayServerCodec = SnapshotCodec<RegistryReply, RelayRequest>;

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
        RelayRequest::Snapshot(*self).to_bytes()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let request = RelayRequest::from_bytes(bytes)?;
        Ok(request.map(|request| match request {
            RelayRequest::Snapshot(request) => request,
            RelayRequest::Poll(poll) => Self { after: poll.after },
        }))
    }
}

impl SnapshotMessage for RegistryPoll {
    fn to_bytes(&self) -> Vec<u8> {
        RelayRequest::Poll(*self).to_bytes()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let request = RelayRequest::from_bytes(bytes)?;
        Ok(request.and_then(|request| match request {
            RelayRequest::Poll(poll) => Some(poll),
            RelayRequest::Snapshot(_) => None,
        }))
    }
}

impl SnapshotMessage for RelayRequest {
    fn to_bytes(&self) -> Vec<u8> {
        let message = match self {
            Self::Snapshot(request) => gen_snapshot::Ask {
                major: MAJOR_VERSION,
                after: request.after,
                ..Default::default()
            },
            Self::Poll(poll) => gen_snapshot::Ask {
                major: MAJOR_VERSION,
                after: poll.after,
                follows: true,
                wait_ms: encode_millis(poll.wait),
            },
        };
        message.encode_to_vec()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let message = gen_snapshot::Ask::decode(bytes)?;
        let after = message.after;
        let request = if message.follows {
            let wait = Duration::from_millis(message.wait_ms.into());
            Self::Poll(RegistryPoll { after, wait })
        } else {
            Self::Snapshot(SnapshotRequest { after })
        };
        Ok((message.major == MAJOR_VERSION).then_some(request))
    }
}

impl SnapshotMessage for Snapshot {
    fn to_bytes(&self) -> Vec<u8> {
        encode_snapshot(self).encode_to_vec()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let reply = RegistryReply::from_bytes(bytes)?;
        Ok(reply.map(|reply| reply.snapshot))
    }
}

impl SnapshotMessage for RegistryReply {
    fn to_bytes(&self) -> Vec<u8> {
        let removals = self.removals.iter().map(|removal| gen_snapshot::Removal {
            key: removal.key.to_string(),
            refused: removal.refused.clone(),
        });
        let message = gen_snapshot::Snapshot {
            changes_only: self.changes_only,
            removals: removals.collect(),
            view_age_ms: self.ages.view_ms,
            configuration_age_ms: self.ages.configuration_ms,
            recovery_ms: self.ages.recovery_ms,
            ..encode_snapshot(&self.snapshot)
        };
        message.encode_to_vec()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, prost::DecodeError> {
        let message = gen_snapshot::Snapshot::decode(bytes)?;
        let items = message.items.into_iter().map(|item| PublishedItem {
            key: item.key.into(),
            value: item.value,
        });
        let removals = message.removals.into_iter().map(|removal| RelayedRemoval {
            key: removal.key.into(),
            refused: removal.refused,
        });
        let reply = Self {
            snapshot: Snapshot {
                revision: message.revision,
                current: message.current,
                items: items.collect(),
            },
            changes_only: message.changes_only,
            removals: removals.collect(),
            ages: RelayAges {
                view_ms: message.view_age_ms,
                configuration_ms: message.configuration_age_ms,
                recovery_ms: message.recovery_ms,
            },
        };
        Ok((message.major == MAJOR_VERSION).then_some(reply))
    }
}

fn encode_snapshot(snapshot: &Snapshot) -> gen_snapshot::Snapshot {
    let items = snapshot.items.iter().map(|item| gen_snapshot::Item {
        key: item.key.to_string(),
        value: item.value.clone(),
    });
    gen_snapshot::Snapshot {
        major: MAJOR_VERSION,
        revision: snapshot.revision,
        items: items.collect(),
        current: snapshot.current,
        ..Default::default()
    }
}

//! Codec for the UDP datagrams between nodes: heartbeats, by which they discover each other, messages about quotas, and
//! observations of upstreams.

use crate::{
    generated_member::{self as gen_member, notice::Content},
    member_datagram::MemberDatagram,
    millis::encode_millis,
    observation_codec::{decode_observations, encode_observations},
    prelude::*,
    quota_codec::{decode_quota_message, encode_quota_message},
};
use medlarpost_core::membership::{MAX_NOTICES_PER_HEARTBEAT, MAX_QUARANTINED_PER_HEARTBEAT};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder};

/// Major version of the membership protocol; datagrams of any other version are ignored.
const MAJOR_VERSION: u32 = 1;

/// Upper bound for a peer's reported fleet size; larger values are clamped to it.
const MAX_FLEET_SIZE: u32 = 100_000;

/// Largest datagram that is decoded, in bytes: 64 nodes of about 30 bytes, so that a heartbeat fits in one packet.
pub const MAX_DATAGRAM_BYTES: usize = 4096;

/// Longest name of an instance in a notice, in bytes.
const MAX_INSTANCE_BYTES: usize = 200;

/// Encodes and decodes one heartbeat, message about quotas or list of observations per datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberHeartbeatCodec;

impl Encoder<MemberHeartbeat> for MemberHeartbeatCodec {
    type Error = std::io::Error;

    fn encode(&mut self, item: MemberHeartbeat, dst: &mut bytes::BytesMut) -> std::io::Result<()> {
        let heard = item.known_members.iter().map(|heard| gen_member::Heard {
            address: heard.address.to_string(),
            age_ms: encode_millis(heard.age),
        });
        let barred = item.quarantined.iter().map(|barred| gen_member::Barred {
            digest: bytes::Bytes::copy_from_slice(&barred.digest.0),
            age_ms: encode_millis(barred.age),
        });
        let message = gen_member::Beat {
            major: MAJOR_VERSION,
            address: item.address.to_string(),
            heard: heard.collect(),
            answer_wanted: item.answer_wanted,
            fleet: item.fleet_size,
            barred: barred.collect(),
            notices: item.notices.iter().map(encode_notice).collect(),
            quota: None,
            observations: None,
        };
        write_datagram(&message, dst)
    }
}

impl Encoder<QuotaMessage> for MemberHeartbeatCodec {
    type Error = std::io::Error;

    fn encode(&mut self, item: QuotaMessage, dst: &mut bytes::BytesMut) -> std::io::Result<()> {
        let message = gen_member::Beat {
            major: MAJOR_VERSION,
            quota: Some(encode_quota_message(&item)),
            ..gen_member::Beat::default()
        };
        write_datagram(&message, dst)
    }
}

impl Encoder<Vec<LoadObservation>> for MemberHeartbeatCodec {
    type Error = std::io::Error;

    fn encode(
        &mut self,
        item: Vec<LoadObservation>,
        dst: &mut bytes::BytesMut,
    ) -> std::io::Result<()> {
        let message = gen_member::Beat {
            major: MAJOR_VERSION,
            observations: Some(encode_observations(&item)),
            ..gen_member::Beat::default()
        };
        write_datagram(&message, dst)
    }
}

fn write_datagram(message: &gen_member::Beat, dst: &mut bytes::BytesMut) -> std::io::Result<()> {
    dst.reserve(message.encoded_len());
    message.encode(dst)?;
    Ok(())
}

impl Decoder for MemberHeartbeatCodec {
    type Error = std::io::Error;
    type Item = Option<MemberDatagram>;

    /// Yields `None` as the item for a datagram that is not valid, instead of an error, so that unrelated
    /// traffic can't end the socket's task.
    fn decode(&mut self, src: &mut bytes::BytesMut) -> std::io::Result<Option<Self::Item>> {
        if src.is_empty() {
            return Ok(None);
        }
        let datagram = src.split();
        Ok(Some(decode_datagram(&datagram)))
    }
}

fn decode_datagram(datagram: &[u8]) -> Option<MemberDatagram> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let message = gen_member::Beat::decode(datagram).ok()?;
    if message.major != MAJOR_VERSION {
        return None;
    }
    if let Some(observations) = &message.observations {
        let observations = decode_observations(observations);
        return Some(MemberDatagram::Observations(observations));
    }
    match message.quota {
        Some(quota) => decode_quota_message(quota).map(MemberDatagram::Quota),
        None => decode_heartbeat(&message).map(MemberDatagram::Heartbeat),
    }
}

fn decode_heartbeat(message: &gen_member::Beat) -> Option<MemberHeartbeat> {
    let heard = message.heard.iter().map(|heard| {
        Some(KnownMember {
            address: heard.address.parse().ok()?,
            age: Duration::from_millis(heard.age_ms.into()),
        })
    });
    let barred = message
        .barred
        .iter()
        .take(MAX_QUARANTINED_PER_HEARTBEAT)
        .map(|barred| {
            Some(QuarantinedRequest {
                digest: Digest(barred.digest.as_ref().try_into().ok()?),
                age: Duration::from_millis(barred.age_ms.into()),
            })
        });
    Some(MemberHeartbeat {
        address: message.address.parse().ok()?,
        known_members: heard.collect::<Option<_>>()?,
        answer_wanted: message.answer_wanted,
        fleet_size: message.fleet.min(MAX_FLEET_SIZE),
        quarantined: barred.collect::<Option<_>>()?,
        notices: message
            .notices
            .iter()
            .take(MAX_NOTICES_PER_HEARTBEAT)
            .filter_map(decode_notice)
            .collect(),
    })
}

fn encode_notice(notice: &UpstreamNotice) -> gen_member::Notice {
    let content = match notice.kind {
        NoticeKind::Leaving => Content::Leaving(true),
        NoticeKind::Resting { left } => Content::RestingMs(encode_millis(left)),
    };
    gen_member::Notice {
        instance: notice.instance.to_string(),
        started_at_ms: notice.started_at_ms,
        age_ms: encode_millis(notice.age),
        content: Some(content),
    }
}

/// Decodes a notice; `None` if its instance can't be one or its content is unknown.
fn decode_notice(notice: &gen_member::Notice) -> Option<UpstreamNotice> {
    if notice.instance.is_empty() || notice.instance.len() > MAX_INSTANCE_BYTES {
        return None;
    }
    let kind = match notice.content? {
        Content::Leaving(_) => NoticeKind::Leaving,
        Content::RestingMs(left) => NoticeKind::Resting {
            left: Duration::from_millis(left.into()),
        },
    };
    Some(UpstreamNotice {
        instance: notice.instance.as_str().into(),
        started_at_ms: notice.started_at_ms,
        kind,
        age: Duration::from_millis(notice.age_ms.into()),
    })
}

//! Conversion of observations of upstreams between protobuf and the types of the core.

use crate::{
    generated_member::{self as gen_member, observation::Content},
    millis::encode_millis,
    prelude::*,
};
use medlarpost_core::peer_load::MAX_OBSERVATIONS;
use prost::Message as _;
use std::net::{IpAddr, SocketAddr};

/// Bytes of the port after an address.
const PORT_BYTES: usize = 2;

/// Encoded size of observations in a datagram, in bytes.
pub fn observations_size(observations: &[LoadObservation]) -> usize {
    encode_observations(observations).encoded_len()
}

pub(crate) fn encode_observations(observations: &[LoadObservation]) -> gen_member::Observations {
    let observations = observations.iter().take(MAX_OBSERVATIONS);
    gen_member::Observations {
        observations: observations.map(encode_observation).collect(),
    }
}

/// Decodes observations. Those that are not valid and those beyond the bound are left out.
pub(crate) fn decode_observations(message: &gen_member::Observations) -> Vec<LoadObservation> {
    let observations = message.observations.iter().take(MAX_OBSERVATIONS);
    observations.filter_map(decode_observation).collect()
}

fn encode_observation(observation: &LoadObservation) -> gen_member::Observation {
    let content = match observation.load {
        ObservedLoad::Replied {
            service_percent,
            queue_percent,
        } => Content::Replied(gen_member::Replied {
            service_percent,
            queue_percent,
        }),
        ObservedLoad::Silent { elapsed } => Content::SilentMs(encode_millis(elapsed)),
    };
    gen_member::Observation {
        upstream: observation.upstream.0,
        observer: observation.observer.map_or_else(Bytes::new, encode_address),
        age_ms: encode_millis(observation.age),
        content: Some(content),
    }
}

/// Decodes an observation; `None` if its observer has no valid address or its content is unknown.
fn decode_observation(message: &gen_member::Observation) -> Option<LoadObservation> {
    let observer = if message.observer.is_empty() {
        None
    } else {
        Some(decode_address(&message.observer)?)
    };
    let load = match message.content? {
        Content::Replied(replied) => ObservedLoad::Replied {
            service_percent: replied.service_percent,
            queue_percent: replied.queue_percent,
        },
        Content::SilentMs(elapsed) => ObservedLoad::Silent {
            elapsed: Duration::from_millis(elapsed.into()),
        },
    };
    Some(LoadObservation {
        upstream: UpstreamDigest(message.upstream),
        observer,
        age: Duration::from_millis(message.age_ms.into()),
        load,
    })
}

fn encode_address(address: SocketAddr) -> Bytes {
    let mut buf = BytesMut::new();
    match address.ip() {
        IpAddr::V4(ip) => buf.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => buf.extend_from_slice(&ip.octets()),
    }
    buf.put_u16(address.port());
    buf.freeze()
}

fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_at_checked(bytes.len().checked_sub(PORT_BYTES)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let ip: IpAddr = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok()?.into(),
        _ => <[u8; 16]>::try_from(ip).ok()?.into(),
    };
    Some(SocketAddr::new(ip, port))
}

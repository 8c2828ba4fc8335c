//! What nodes tell each other about the load of upstreams.

use crate::prelude::*;
use std::{net::SocketAddr, ops::RangeInclusive};

/// Most observations in one message, so that it fits in one packet.
pub const MAX_OBSERVATIONS: usize = 32;

/// Upper bound of the encoded size of an observation, in bytes.
pub const OBSERVATION_BYTES: usize = 44;

/// The same if its observer is the sender or has an IPv4 address.
pub const SHORT_OBSERVATION_BYTES: usize = 32;

/// Upper bound of the encoded size of a message without its observations, in bytes.
pub const MESSAGE_BYTES: usize = 8;

/// Age beyond which an observation says nothing about the present.
pub(crate) const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(2);

/// Longest silence that an observation may state. Upstreams are suspect long before.
pub(crate) const MAX_SILENCE: Duration = Duration::from_secs(30);

/// Service times in percent of the usual one that an observation may state.
pub(crate) const SERVICE_PERCENT: RangeInclusive<u32> = 10..=2_000;

/// Longest queue that an observation may state, in percent of the slots.
pub(crate) const MAX_QUEUE_PERCENT: u32 = 100_000;

/// Service time in percent of the usual one from which an upstream is slow.
const SLOW_PERCENT: u32 = 180;

/// Queue in percent of the slots from which an upstream is busy.
const BUSY_PERCENT: u32 = 200;

/// One start of an upstream in messages between nodes: shorter than its instance, and different for each start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamDigest(pub u64);

impl UpstreamDigest {
    /// Digest of an instance and the start of its process in milliseconds since the Unix epoch.
    pub fn of(instance: &str, started_at_ms: u64) -> Self {
        let bytes = [instance.as_bytes(), &started_at_ms.to_be_bytes()].join(&0);
        let digest = Digest::of(&bytes).0;
        let first = digest.first_chunk().copied().unwrap_or_default();
        Self(u64::from_be_bytes(first))
    }
}

/// State of an upstream as one attempt has shown it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservedLoad {
    /// It replied.
    Replied {
        /// Service time in percent of the usual one.
        service_percent: u32,
        /// Requests in its queue in percent of its slots.
        queue_percent: u32,
    },
    /// It gave no sign although a reply was due.
    Silent {
        /// Time since its last sign, or since the request was sent.
        elapsed: Duration,
    },
}

impl ObservedLoad {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replied { .. } => "replied",
            Self::Silent { .. } => "silent",
        }
    }

    /// Whether it is slow, busy or silent.
    pub(crate) fn is_unusual(self) -> bool {
        match self {
            Self::Replied {
                service_percent,
                queue_percent,
            } => service_percent >= SLOW_PERCENT || queue_percent >= BUSY_PERCENT,
            Self::Silent { .. } => true,
        }
    }

    fn is_possible(self) -> bool {
        match self {
            Self::Replied {
                service_percent,
                queue_percent,
            } => SERVICE_PERCENT.contains(&service_percent) && queue_percent <= MAX_QUEUE_PERCENT,
            Self::Silent { elapsed } => elapsed <= MAX_SILENCE,
        }
    }
}

/// An observation of one node, as it is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadObservation {
    /// Start of the upstream that was observed.
    pub upstream: UpstreamDigest,
    /// Node that observed it; `None` for the sender of the message.
    pub observer: Option<SocketAddr>,
    /// Time since the observation.
    pub age: Duration,
    /// What was observed.
    pub load: ObservedLoad,
}

impl LoadObservation {
    /// Whether its figures are possible and it is recent.
    pub fn is_usable(&self) -> bool {
        self.age <= MAX_OBSERVATION_AGE && self.load.is_possible()
    }
}

/// Observations for other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingObservations {
    /// Nodes that the message goes to.
    pub to: Vec<SocketAddr>,
    /// At most [`MAX_OBSERVATIONS`].
    pub observations: Vec<LoadObservation>,
}

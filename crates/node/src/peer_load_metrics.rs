//! Prometheus metrics of the observations of upstreams that nodes send each other.

use crate::prelude::*;
use medlarpost_wire::observation_codec::observations_size;
use prometheus::{IntCounterVec, Opts, Registry};

/// Counters of messages between nodes, as shown at `/metrics`.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoadMetrics {
    messages: IntCounterVec,
    bytes: IntCounterVec,
}

impl PeerLoadMetrics {
    /// Creates the metrics and adds them to a registry.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &["direction"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            messages: counter(
                "medlarpost_forward_observation_messages_total",
                "Messages with observations of upstreams, one for each receiver, by direction",
            )?,
            bytes: counter(
                "medlarpost_forward_observation_bytes_total",
                "Bytes of observations of upstreams, without the headers of datagrams, by direction",
            )?,
        })
    }

    /// Counts a message that was sent.
    pub(crate) fn record_sent(&self, observations: &[LoadObservation]) {
        self.record("sent", observations);
    }

    /// Counts a message that was received.
    pub(crate) fn record_received(&self, observations: &[LoadObservation]) {
        self.record("received", observations);
    }

    fn record(&self, direction: &str, observations: &[LoadObservation]) {
        let bytes = observations_size(observations) as u64;
        self.messages.with_label_values(&[direction]).inc();
        self.bytes.with_label_values(&[direction]).inc_by(bytes);
    }
}

//! Faults that keep a node from running.

use crate::prelude::*;

/// Why a node could not start or could not go on.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A state chart is faulty.
    #[snafu(display("{source}"))]
    Chart {
        /// The fault.
        source: ChartError,
    },
    /// An address can't be listened on.
    #[snafu(display(
        "can't listen on {address}: {source}; set another address or end the process that uses it"
    ))]
    Listen {
        /// Address of the setting.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Two metrics have the same name.
    #[snafu(display("metrics: {source}; report this as a defect"))]
    Metrics {
        /// The fault.
        source: prometheus::Error,
    },
    /// The platform gave no valid answer.
    #[snafu(display("platform: {detail}; check --platform and the platform's state"))]
    Platform {
        /// What was found.
        detail: String,
    },
    /// The platform published something that is no approved bundle.
    #[snafu(display("bundle refused: {source}"))]
    Bundle {
        /// The fault.
        source: EnvelopeError,
    },
}

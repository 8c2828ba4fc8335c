//! Errors that keep a node from starting or from reading its configuration.

use crate::prelude::*;

/// Why a node could not start or could not read from the platform.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A state chart is invalid.
    #[snafu(display("{source}"))]
    Chart {
        /// The underlying error.
        source: ChartError,
    },
    /// An address can't be listened on.
    #[snafu(display(
        "can't listen on {address}: {source}; set another address or end the process that uses it"
    ))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A metric could not be registered, for example because its name is used twice.
    #[snafu(display("can't register metrics: {source}; report this as a bug"))]
    Metrics {
        /// The underlying error.
        source: prometheus::Error,
    },
    /// A task that the node can't do without has ended by a panic, which standard error describes.
    #[snafu(display("the task {task} has failed; report this as a bug with the lines before"))]
    TaskFailed {
        /// Name of the task.
        task: &'static str,
    },
    /// The platform gave no valid reply.
    #[snafu(display(
        "can't read from the platform: {detail}; check --platform and that the platform is running"
    ))]
    Platform {
        /// What was wrong with the reply or the connection.
        detail: String,
    },
    /// The platform published a bundle that the owners have not approved or that can't be read.
    #[snafu(display("bundle refused: {source}"))]
    Bundle {
        /// The underlying error.
        source: EnvelopeError,
    },
}

//! Faults of commands.

use medlarpost_node::prelude::{EnvelopeError, NodeError};
use snafu::Snafu;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A value on the command line.
    #[snafu(display("{name} \"{value}\" is unknown; use one of: {known}"))]
    UnknownValue {
        /// Flag.
        name: &'static str,
        /// Value found.
        value: String,
        /// Values that exist.
        known: String,
    },
    /// A demonstration in which an invariant did not hold.
    #[snafu(display(
        "violated invariants: {names}; run the same seed and fault again with --json for the figures"
    ))]
    InvariantsViolated {
        /// Names of the invariants.
        names: String,
    },
    /// A node could not run.
    #[snafu(display("{source}"))]
    Node {
        /// The fault.
        source: NodeError,
    },
    /// A fake could not listen.
    #[snafu(display(
        "can't listen: {source}; set another address or end the process that uses it"
    ))]
    Listen {
        /// What the system said.
        source: std::io::Error,
    },
    /// A value on the command line or in a variable that can't be used.
    #[snafu(display("{name} can't be used: {detail}"))]
    InvalidValue {
        /// Flag or variable.
        name: &'static str,
        /// What was found and what to pass instead; never the value of a secret.
        detail: String,
    },
    /// A file that can't be read.
    #[snafu(display("can't read {}: {source}; check the path and its permissions", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file that can't be written.
    #[snafu(display("can't write {}: {source}; check the path, which must not exist yet for a secret", path.display()))]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A text that is no bundle.
    #[snafu(display("{} is no bundle: {source}", path.display()))]
    BundleSyntax {
        /// Path of the file.
        path: PathBuf,
        /// What the TOML reader found.
        source: Box<toml::de::Error>,
    },
    /// An envelope or its parts.
    #[snafu(display("{source}"))]
    Envelope {
        /// The fault.
        source: EnvelopeError,
    },
    /// A bundle with faults, which have been printed.
    #[snafu(display("{count} faults; correct the bundle and check it again"))]
    InvalidBundle {
        /// Faults found.
        count: usize,
    },
    /// A part over the platform's limit.
    #[snafu(display(
        "part {part} has {bytes} bytes, more than 1000000; split the service into smaller ones"
    ))]
    PartTooLarge {
        /// Name of the part.
        part: String,
        /// Length found.
        bytes: usize,
    },
    /// A soak that could not run.
    #[snafu(display(
        "the soak can't run: {source}; build both programs, and end the processes that use its addresses"
    ))]
    Soak {
        /// What the system said.
        source: std::io::Error,
    },
    /// A soak with findings, which have been printed.
    #[snafu(display(
        "{count} findings with seed {seed}; read the logs that the report names, and run the seed again"
    ))]
    SoakFindings {
        /// Findings.
        count: usize,
        /// Seed.
        seed: u64,
    },
    /// The system has no random numbers.
    #[snafu(display("the system has no random numbers; check the VM"))]
    RandomSource,
    /// A node that gave no usable answer.
    #[snafu(display("node {address}: {detail}"))]
    NodeResponse {
        /// Address asked.
        address: std::net::SocketAddr,
        /// What was found and what to do.
        detail: String,
    },
}

impl CtlError {
    /// Exit code: 2 for values that can't be used, 1 for everything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::UnknownValue { .. } | Self::InvalidValue { .. } => 2,
            _ => 1,
        }
    }
}

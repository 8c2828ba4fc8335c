//! Errors of commands, with the texts that users see.

use medlarpost_node::prelude::{EnvelopeError, NodeError};
use snafu::Snafu;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A value of a flag is not one of the known values.
    #[snafu(display("{name} \"{value}\" is unknown; use one of: {known}"))]
    UnknownValue {
        /// Name of the flag.
        name: &'static str,
        /// Value that was passed.
        value: String,
        /// Known values, or the expected form.
        known: String,
    },
    /// The demonstration violated invariants.
    #[snafu(display(
        "violated invariants: {names}; run the same seed and fault again with --json for the figures"
    ))]
    InvariantsViolated {
        /// Names of the violated invariants.
        names: String,
    },
    /// A node could not start or run.
    #[snafu(display("{source}"))]
    Node {
        /// Error of the node.
        source: NodeError,
    },
    /// A fake or stand-in could not listen on its address.
    #[snafu(display(
        "can't listen: {source}; set another address or end the process that uses it"
    ))]
    Listen {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A value of a flag or an environment variable can't be used.
    #[snafu(display("{name} can't be used: {detail}"))]
    InvalidValue {
        /// Name of the flag or variable.
        name: &'static str,
        /// What was found and what to pass instead. It never contains the value of a secret.
        detail: String,
    },
    /// A file, or standard input, can't be read.
    #[snafu(display("can't read {}: {source}; check the path and its permissions", path.display()))]
    ReadFile {
        /// Path of the file, or a name for what was read.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is longer than any of its kind.
    #[snafu(display("{} has more than {limit} bytes; check that it is the right file", path.display()))]
    FileTooLong {
        /// Path of the file.
        path: PathBuf,
        /// Longest file that is read, in bytes.
        limit: u64,
    },
    /// A file can't be written.
    #[snafu(display("can't write {}: {source}; check the path, which must not exist yet for a secret", path.display()))]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is not a bundle in TOML.
    #[snafu(display("{} is not a bundle: {source}", path.display()))]
    BundleSyntax {
        /// Path of the file.
        path: PathBuf,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// An envelope can't be read or verified, or its parts don't match it.
    #[snafu(display("{source}"))]
    Envelope {
        /// What is wrong with the envelope or the parts.
        source: EnvelopeError,
    },
    /// A bundle has errors, which have been printed.
    #[snafu(display("{count} faults; correct the bundle and check it again"))]
    InvalidBundle {
        /// Number of errors.
        count: usize,
    },
    /// A part of a bundle exceeds the platform's limit for one value.
    #[snafu(display(
        "part {part} has {bytes} bytes, more than 1000000; split the service into smaller ones"
    ))]
    PartTooLarge {
        /// Name of the part.
        part: String,
        /// Length of the part.
        bytes: usize,
    },
    /// A soak could not start its processes, or could not go on.
    #[snafu(display(
        "the soak can't run: {source}; build both programs, and end the processes that use its addresses"
    ))]
    Soak {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A soak violated invariants; the findings have been printed.
    #[snafu(display(
        "{count} findings with seed {seed}; read the logs that the report names, and run the seed again"
    ))]
    SoakFindings {
        /// Number of findings.
        count: usize,
        /// Seed of the run, with which it can be repeated.
        seed: u64,
    },
    /// The system's random source failed.
    #[snafu(display("the system's random source failed; check the VM"))]
    RandomSource,
    /// A node did not give a usable response.
    #[snafu(display("node {address}: {detail}"))]
    NodeResponse {
        /// Address of the node.
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

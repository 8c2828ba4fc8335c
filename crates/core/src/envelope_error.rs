//! Errors of reading, verifying and assembling a signed bundle.

use crate::prelude::*;

/// Why a bundle was not accepted.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EnvelopeError {
    /// An envelope, a manifest or a part is longer than `Manifest::MAX_BYTES`.
    #[snafu(display("bundle has {bytes} bytes, more than 1000000; split large services"))]
    TooLong {
        /// Length in bytes.
        bytes: usize,
    },
    /// The envelope has more signatures than `Envelope::MAX_SIGNATURES`.
    #[snafu(display(
        "envelope has {found} signatures, more than 8; build it again and have each owner sign once"
    ))]
    TooManySignatures {
        /// Number of signatures in the envelope.
        found: usize,
    },
    /// The manifest has more parts than `Manifest::MAX_PARTS`.
    #[snafu(display("manifest has {found} parts, more than 1024; use fewer services"))]
    TooManyParts {
        /// Number of parts in the manifest.
        found: usize,
    },
    /// Bytes that are not UTF-8, or a field that is not base64 or has the wrong length.
    #[snafu(display(
        "envelope is not UTF-8 or base64, or a signature has a wrong size; build it again with `medlarctl bundle build`"
    ))]
    Encoding,
    /// The envelope or the manifest is not valid TOML or has unexpected fields.
    #[snafu(display(
        "envelope or manifest is not valid: {source}; build it again with `medlarctl bundle build`"
    ))]
    Syntax {
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// The envelope has no valid signature of one of the owners.
    #[snafu(display(
        "owner {owner} has not signed this bundle ({found} signatures found); have them run `medlarctl bundle sign`"
    ))]
    NotSigned {
        /// Owner whose signature is missing, 1 or 2 in the order of the settings.
        owner: usize,
        /// Number of signatures in the envelope.
        found: usize,
    },
    /// The key of an owner is not an Ed25519 public key.
    #[snafu(display(
        "owner's key is not an Ed25519 public key; pass the one that `medlarctl keys owner` printed"
    ))]
    InvalidPublicKey,
    /// Both owners have the same key, so that one person could approve alone.
    #[snafu(display("both owner keys are the same; each owner needs a key of its own"))]
    DuplicateOwnerKey,
    /// A part is absent, or its bytes do not match the digest in the manifest.
    #[snafu(display(
        "part {part} is missing or has another digest; publish all parts before the manifest"
    ))]
    MissingPart {
        /// Name of the part in the manifest.
        part: String,
    },
    /// A part is not UTF-8.
    #[snafu(display("part {part} is not UTF-8; build the bundle again"))]
    PartEncoding {
        /// Name of the part in the manifest.
        part: String,
    },
    /// A part is not valid TOML or has unexpected fields.
    #[snafu(display("part {part} is not valid: {source}; correct the bundle and build it again"))]
    PartSyntax {
        /// Name of the part in the manifest.
        part: String,
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// The manifest and its `head` part have different versions.
    #[snafu(display(
        "manifest has version {manifest} but its head part has version {head}; build the bundle again"
    ))]
    VersionMismatch {
        /// Bundle version in the manifest.
        manifest: u64,
        /// Bundle version in the `head` part.
        head: u64,
    },
}

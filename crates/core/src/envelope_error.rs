//! Faults of a signed bundle.

use crate::prelude::*;

/// Why a bundle was not accepted.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EnvelopeError {
    /// Longer than allowed.
    #[snafu(display("bundle has {bytes} bytes, more than 1000000; split large services"))]
    TooLong {
        /// Length found.
        bytes: usize,
    },
    /// More signatures than allowed.
    #[snafu(display(
        "envelope has {found} signatures, more than 8; build it again and have each owner sign once"
    ))]
    TooManySignatures {
        /// Signatures found.
        found: usize,
    },
    /// More parts than allowed.
    #[snafu(display("manifest has {found} parts, more than 1024; use fewer services"))]
    TooManyParts {
        /// Parts found.
        found: usize,
    },
    /// Bytes that are not text or not base64.
    #[snafu(display("envelope is damaged; build it again with `medlarctl bundle build`"))]
    Encoding,
    /// Text of another form.
    #[snafu(display(
        "envelope or manifest is not valid: {source}; build it again with `medlarctl bundle build`"
    ))]
    Syntax {
        /// What the TOML reader found.
        source: toml::de::Error,
    },
    /// One owner has not signed these bytes.
    #[snafu(display(
        "owner {owner} has not signed this bundle ({found} signatures found); have them run `medlarctl bundle sign`"
    ))]
    NotSigned {
        /// 1 or 2, in the order of the settings.
        owner: usize,
        /// Signatures in the envelope.
        found: usize,
    },
    /// A key that is no public key.
    #[snafu(display(
        "owner's key is not an Ed25519 public key; pass the one that `medlarctl keys owner` printed"
    ))]
    InvalidPublicKey,
    /// One owner in place of two.
    #[snafu(display("both owner keys are the same; each owner needs a key of its own"))]
    DuplicateOwnerKey,
    /// A part that is absent or has another digest.
    #[snafu(display(
        "part {part} is missing or has another digest; publish all parts before the manifest"
    ))]
    MissingPart {
        /// Name of the part.
        part: String,
    },
    /// A part that is not text.
    #[snafu(display("part {part} is not UTF-8; build the bundle again"))]
    PartEncoding {
        /// Name of the part.
        part: String,
    },
    /// A part that is no bundle text.
    #[snafu(display("part {part} is not valid: {source}; correct the bundle and build it again"))]
    PartSyntax {
        /// Name of the part.
        part: String,
        /// What the TOML reader found.
        source: toml::de::Error,
    },
    /// Manifest and head differ.
    #[snafu(display("manifest says version {manifest}, its head {head}; build the bundle again"))]
    VersionMismatch {
        /// Version in the manifest.
        manifest: u64,
        /// Version in the head.
        head: u64,
    },
}

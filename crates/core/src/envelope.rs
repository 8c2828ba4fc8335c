//! Manifests with the owners' signatures. The type state ensures that only approved ones become the active bundle.

use crate::prelude::*;
use base64::{Engine as _, prelude::BASE64_STANDARD};
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use std::marker::PhantomData;

/// State of an envelope whose signatures have not been verified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unverified {}

/// State of an envelope with a valid signature of each owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Approved {}

/// Exact bytes of a manifest with the owners' signatures.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope<S> {
    /// Signed bytes, the TOML text of a [`Manifest`].
    manifest: Vec<u8>,
    /// Signatures by any keys, in any order.
    signatures: Vec<[u8; 64]>,
    state: PhantomData<S>,
}

/// Ed25519 public keys of the two owners, both of whom have to sign a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owners {
    keys: [VerifyingKey; 2],
}

/// A bundle that both owners have approved; it can only be made from an approved envelope.
#[derive(Clone, Debug, PartialEq)]
pub struct ApprovedBundle {
    bundle: Bundle,
    digest: Digest,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct SerializedEnvelope {
    manifest: String,
    signatures: Vec<String>,
}

impl Owners {
    /// Parses the public keys of the two owners.
    ///
    /// # Errors
    ///
    /// If a key is not an Ed25519 public key, or both keys are the same.
    pub fn new(first: [u8; 32], second: [u8; 32]) -> Result<Self, EnvelopeError> {
        if first == second {
            return envelope_error::DuplicateOwnerKeySnafu.fail();
        }
        let key = |bytes| {
            VerifyingKey::from_bytes(&bytes)
                .ok()
                .context(envelope_error::InvalidPublicKeySnafu)
        };
        Ok(Self {
            keys: [key(first)?, key(second)?],
        })
    }
}

impl<S> Envelope<S> {
    /// Digest of the signed bytes, which identifies the bundle.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.manifest)
    }

    /// Signed bytes, as they are transmitted.
    pub fn manifest_bytes(&self) -> &[u8] {
        &self.manifest
    }

    /// Signatures, which are unverified unless the envelope is approved.
    pub fn signatures(&self) -> &[[u8; 64]] {
        &self.signatures
    }

    /// Encodes the envelope as TOML, as the platform publishes it and links relay it.
    ///
    /// # Panics
    ///
    /// Never: every field has a TOML form.
    pub fn to_toml(&self) -> String {
        let serialized = SerializedEnvelope {
            manifest: BASE64_STANDARD.encode(&self.manifest),
            signatures: self
                .signatures
                .iter()
                .map(|signature| BASE64_STANDARD.encode(signature))
                .collect(),
        };
        toml::to_string(&serialized).expect("every field of an envelope has a TOML form")
    }
}

impl Envelope<Unverified> {
    /// Most signatures that an envelope may have. Each costs a verification, so the bound limits the work that an
    /// untrusted envelope causes; two are needed, and the rest leaves room for a change of keys.
    pub const MAX_SIGNATURES: usize = 8;

    /// Creates an envelope that nobody has signed yet.
    ///
    /// # Panics
    ///
    /// Never: every field has a TOML form.
    pub fn unsigned(manifest: &Manifest) -> Self {
        let text = toml::to_string(manifest).expect("every field of a manifest has a TOML form");
        Self {
            manifest: text.into_bytes(),
            signatures: Vec::new(),
            state: PhantomData,
        }
    }

    /// Parses an envelope from TOML.
    ///
    /// # Errors
    ///
    /// If the text is longer than [`Manifest::MAX_BYTES`], is not an envelope, or has too many signatures.
    pub fn from_toml(text: &[u8]) -> Result<Self, EnvelopeError> {
        if text.len() > Manifest::MAX_BYTES {
            return envelope_error::TooLongSnafu { bytes: text.len() }.fail();
        }
        let text = str::from_utf8(text)
            .ok()
            .context(envelope_error::EncodingSnafu)?;
        let parsed: SerializedEnvelope =
            toml::from_str(text).context(envelope_error::SyntaxSnafu)?;
        let manifest = BASE64_STANDARD
            .decode(parsed.manifest)
            .ok()
            .context(envelope_error::EncodingSnafu)?;
        if parsed.signatures.len() > Self::MAX_SIGNATURES {
            let found = parsed.signatures.len();
            return envelope_error::TooManySignaturesSnafu { found }.fail();
        }
        let signatures = parsed
            .signatures
            .iter()
            .map(|signature| BASE64_STANDARD.decode(signature).ok()?.try_into().ok())
            .collect::<Option<Vec<[u8; 64]>>>()
            .context(envelope_error::EncodingSnafu)?;
        Ok(Self {
            manifest,
            signatures,
            state: PhantomData,
        })
    }

    /// Adds a signature over the exact manifest bytes; signing again with the same key has no effect.
    #[must_use]
    pub fn sign(mut self, key: &SigningKey) -> Self {
        let signature = key.sign(&self.manifest).to_bytes();
        if !self.signatures.contains(&signature) {
            self.signatures.push(signature);
        }
        self
    }

    /// Verifies that both owners have signed the manifest bytes.
    ///
    /// # Errors
    ///
    /// If the signature of an owner is missing or invalid; the error names the owner.
    pub fn verify(self, owners: &Owners) -> Result<Envelope<Approved>, EnvelopeError> {
        for (position, key) in owners.keys.iter().enumerate() {
            let signed = self.signatures.iter().any(|bytes| {
                key.verify_strict(&self.manifest, &Signature::from_bytes(bytes))
                    .is_ok()
            });
            if !signed {
                return envelope_error::NotSignedSnafu {
                    owner: position + 1,
                    found: self.signatures.len(),
                }
                .fail();
            }
        }
        Ok(Envelope {
            manifest: self.manifest,
            signatures: self.signatures,
            state: PhantomData,
        })
    }
}

impl<S> Envelope<S> {
    /// Parses the manifest. It can be trusted only if the envelope is approved.
    ///
    /// # Errors
    ///
    /// If the bytes are not a manifest, or it has more than [`Manifest::MAX_PARTS`] parts.
    pub fn manifest(&self) -> Result<Manifest, EnvelopeError> {
        let text = str::from_utf8(&self.manifest)
            .ok()
            .context(envelope_error::EncodingSnafu)?;
        let manifest: Manifest = toml::from_str(text).context(envelope_error::SyntaxSnafu)?;
        if manifest.parts.len() > Manifest::MAX_PARTS {
            let found = manifest.parts.len();
            return envelope_error::TooManyPartsSnafu { found }.fail();
        }
        Ok(manifest)
    }
}

impl Envelope<Approved> {
    /// Assembles the bundle from its parts, given by digest.
    ///
    /// # Errors
    ///
    /// If the manifest is invalid, or a part is missing or invalid.
    pub fn assemble(
        &self,
        parts_by_digest: &BTreeMap<Digest, Vec<u8>>,
    ) -> Result<ApprovedBundle, EnvelopeError> {
        let bundle = self.manifest()?.assemble(parts_by_digest)?;
        Ok(ApprovedBundle {
            bundle,
            digest: self.digest(),
        })
    }
}

impl ApprovedBundle {
    /// Digest of the signed manifest, which tells two bundles of one version apart.
    pub fn digest(&self) -> Digest {
        self.digest
    }
}

impl std::ops::Deref for ApprovedBundle {
    type Target = Bundle;

    fn deref(&self) -> &Bundle {
        &self.bundle
    }
}

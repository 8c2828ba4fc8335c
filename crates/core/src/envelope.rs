//! A manifest with the signatures of the owners, as a typestate: only an approved one can be put in force.

use crate::prelude::*;
use base64::{Engine as _, prelude::BASE64_STANDARD};
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use std::marker::PhantomData;

/// State of an envelope whose signatures have not been checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unverified {}

/// State of an envelope that carries a valid signature of each owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Approved {}

/// Exact manifest bytes with the owners' signatures.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope<S> {
    /// Signed bytes; the text of a [`Manifest`].
    manifest: Vec<u8>,
    /// Signatures in any order.
    signatures: Vec<[u8; 64]>,
    state: PhantomData<S>,
}

/// Public keys of the two owners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owners {
    keys: [VerifyingKey; 2],
}

/// A bundle that both owners approved. It can only be made from an approved envelope.
#[derive(Clone, Debug, PartialEq)]
pub struct ApprovedBundle {
    bundle: Bundle,
    digest: Digest,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct EnvelopeText {
    manifest: String,
    signatures: Vec<String>,
}

impl Owners {
    /// Owners with the given public keys.
    ///
    /// # Errors
    ///
    /// A key that is no Ed25519 public key, or the same key twice.
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
    /// Digest of the signed bytes.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.manifest)
    }

    /// Signed bytes.
    pub fn manifest_bytes(&self) -> &[u8] {
        &self.manifest
    }

    /// Signatures, unchecked unless the envelope is approved.
    pub fn signatures(&self) -> &[[u8; 64]] {
        &self.signatures
    }

    /// The envelope as TOML text, as the platform publishes it and links relay it.
    ///
    /// # Panics
    ///
    /// Never: every field has a TOML form.
    pub fn to_text(&self) -> String {
        let text = EnvelopeText {
            manifest: BASE64_STANDARD.encode(&self.manifest),
            signatures: self
                .signatures
                .iter()
                .map(|signature| BASE64_STANDARD.encode(signature))
                .collect(),
        };
        toml::to_string(&text).expect("every field of an envelope has a TOML form")
    }
}

impl Envelope<Unverified> {
    /// Most signatures that are read. Each costs a verification, so that their number bounds the work of a reader; two
    /// are needed, and the rest leaves room for a change of keys.
    pub const MAX_SIGNATURES: usize = 8;

    /// An envelope without signatures.
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

    /// Reads an envelope from its text.
    ///
    /// # Errors
    ///
    /// Text over [`Manifest::MAX_BYTES`] or that is no envelope.
    pub fn from_text(text: &[u8]) -> Result<Self, EnvelopeError> {
        if text.len() > Manifest::MAX_BYTES {
            return envelope_error::TooLongSnafu { bytes: text.len() }.fail();
        }
        let text = str::from_utf8(text)
            .ok()
            .context(envelope_error::EncodingSnafu)?;
        let read: EnvelopeText = toml::from_str(text).context(envelope_error::SyntaxSnafu)?;
        let manifest = BASE64_STANDARD
            .decode(read.manifest)
            .ok()
            .context(envelope_error::EncodingSnafu)?;
        if read.signatures.len() > Self::MAX_SIGNATURES {
            let found = read.signatures.len();
            return envelope_error::TooManySignaturesSnafu { found }.fail();
        }
        let signatures = read
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

    /// Adds a signature over the exact manifest bytes.
    #[must_use]
    pub fn sign(mut self, key: &SigningKey) -> Self {
        let signature = key.sign(&self.manifest).to_bytes();
        if !self.signatures.contains(&signature) {
            self.signatures.push(signature);
        }
        self
    }

    /// Checks that each owner has signed.
    ///
    /// # Errors
    ///
    /// Which of the two signatures is missing or broken.
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
    /// The manifest, whose signatures are checked only if the envelope is approved.
    ///
    /// # Errors
    ///
    /// Bytes that both owners signed but that are no manifest, or more than [`Manifest::MAX_PARTS`] parts.
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
    /// Assembles the bundle from parts by digest.
    ///
    /// # Errors
    ///
    /// A missing or broken part.
    pub fn assemble(
        &self,
        values: &BTreeMap<Digest, Vec<u8>>,
    ) -> Result<ApprovedBundle, EnvelopeError> {
        let bundle = self.manifest()?.assemble(values)?;
        Ok(ApprovedBundle {
            bundle,
            digest: self.digest(),
        })
    }
}

impl ApprovedBundle {
    /// Digest of the signed manifest.
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

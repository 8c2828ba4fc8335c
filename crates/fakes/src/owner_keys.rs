//! Signing keys of both owners, for demonstrations and tests.

use crate::prelude::*;
use ed25519_dalek::SigningKey;

/// Signing keys of both owners.
#[derive(Clone, Debug)]
pub struct OwnerKeys {
    keys: [SigningKey; 2],
}

impl OwnerKeys {
    /// Derives both keys from `seed`. They can be predicted, so never use them outside demonstrations and tests.
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut key = || {
            let mut bytes = [0; 32];
            rng.fill(&mut bytes);
            SigningKey::from_bytes(&bytes)
        };
        Self {
            keys: [key(), key()],
        }
    }

    /// Public keys of both owners, in the form of a node's settings.
    ///
    /// # Panics
    ///
    /// Never: two random keys differ.
    pub fn owners(&self) -> Owners {
        let [first, second] = &self.keys;
        Owners::new(
            first.verifying_key().to_bytes(),
            second.verifying_key().to_bytes(),
        )
        .expect("two random keys are valid and differ")
    }

    /// Signing key of owner 0 or 1.
    pub fn signing_key(&self, owner: usize) -> &SigningKey {
        &self.keys[owner]
    }

    /// Splits a bundle into parts and signs its manifest with both keys. Returns the envelope and the parts by digest.
    pub fn sign_bundle(
        &self,
        bundle: &Bundle,
    ) -> (Envelope<Unverified>, BTreeMap<Digest, Vec<u8>>) {
        let (manifest, parts) = Manifest::split(bundle);
        let [first, second] = &self.keys;
        (
            Envelope::unsigned(&manifest).sign(first).sign(second),
            parts,
        )
    }
}

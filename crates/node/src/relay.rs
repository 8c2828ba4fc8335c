//! Signed documents that a node has and that it gets from peers. Peers are not trusted: only both owners' signatures
//! count.

use crate::prelude::*;
use medlarpost_wire::prelude::{Document, DocumentRequest};

/// Documents in force, and those that are being collected.
#[derive(Debug)]
pub struct Relay {
    owners: Owners,
    /// Text of the envelope in force.
    envelope: Option<Bytes>,
    /// Parts in force, by digest.
    values: BTreeMap<Digest, Vec<u8>>,
    pending: Option<Pending>,
}

/// A verified envelope some of whose parts are missing.
#[derive(Debug)]
struct Pending {
    peer: PeerKey,
    envelope: Envelope<Approved>,
    text: Bytes,
    missing: Vec<Digest>,
    values: BTreeMap<Digest, Vec<u8>>,
}

/// A bundle with its documents, ready to be put in force.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The bundle.
    pub bundle: Arc<ApprovedBundle>,
    /// Text of its envelope.
    pub envelope: Bytes,
    /// Its parts, by digest.
    pub values: BTreeMap<Digest, Vec<u8>>,
}

/// What follows from a document of a peer.
#[derive(Debug)]
pub enum RelayStep {
    /// Nothing.
    Wait,
    /// Ask the same peer for these parts.
    Ask(DocumentRequest),
    /// All documents are there.
    Complete(Box<Candidate>),
}

impl Relay {
    /// A node's documents at its start: none.
    pub fn new(owners: Owners) -> Self {
        Self {
            owners,
            envelope: None,
            values: BTreeMap::new(),
            pending: None,
        }
    }

    /// Verifies and assembles documents that are all there.
    ///
    /// # Errors
    ///
    /// A signature that is missing, or a part that is missing or broken.
    pub fn assemble(
        &self,
        envelope: Envelope<Unverified>,
        values: BTreeMap<Digest, Vec<u8>>,
    ) -> Result<Candidate, EnvelopeError> {
        let text = Bytes::from(envelope.to_toml());
        let bundle = envelope.verify(&self.owners)?.assemble(&values)?;
        Ok(Candidate {
            bundle: Arc::new(bundle),
            envelope: text,
            values,
        })
    }

    /// Keeps the documents of the bundle in force for peers.
    pub fn in_force(&mut self, candidate: Candidate) {
        self.envelope = Some(candidate.envelope);
        self.values = candidate.values;
        self.pending = None;
    }

    /// Documents for a peer, of those that it asks for and this node has.
    pub fn answer(&self, request: &DocumentRequest) -> Vec<Document> {
        let envelope = self.envelope.as_ref().filter(|_| request.envelope);
        let parts = request
            .parts
            .iter()
            .filter_map(|digest| self.values.get(digest));
        envelope
            .map(|text| Document::Envelope(text.clone()))
            .into_iter()
            .chain(parts.map(|value| Document::Part(Bytes::copy_from_slice(value))))
            .collect()
    }

    /// Takes an envelope from a peer. Only one with both signatures and a version above `version` is followed up.
    ///
    /// # Errors
    ///
    /// An envelope that is not approved, or whose parts don't make a bundle.
    pub fn envelope(
        &mut self,
        peer: PeerKey,
        text: Bytes,
        version: u64,
    ) -> Result<RelayStep, EnvelopeError> {
        let envelope = Envelope::from_toml(&text)?.verify(&self.owners)?;
        let manifest = envelope.manifest()?;
        if manifest.version <= version {
            return Ok(RelayStep::Wait);
        }
        let digests = manifest.parts.iter().map(|part| part.sha256);
        let (known, missing) =
            digests.partition::<Vec<_>, _>(|part| self.values.contains_key(part));
        let values = known
            .into_iter()
            .map(|part| (part, self.values[&part].clone()))
            .collect();
        let parts = missing.clone();
        self.pending = Some(Pending {
            peer,
            envelope,
            text,
            missing,
            values,
        });
        if parts.is_empty() {
            return self.complete();
        }
        Ok(RelayStep::Ask(DocumentRequest {
            parts,
            ..DocumentRequest::default()
        }))
    }

    /// Takes a part from a peer; one that was not asked for is dropped.
    ///
    /// # Errors
    ///
    /// Parts that don't make a bundle.
    pub fn part(&mut self, peer: PeerKey, value: &Bytes) -> Result<RelayStep, EnvelopeError> {
        let digest = Digest::of(value);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.peer == peer) else {
            return Ok(RelayStep::Wait);
        };
        if !pending.missing.contains(&digest) {
            return Ok(RelayStep::Wait);
        }
        pending.missing.retain(|missing| *missing != digest);
        pending.values.insert(digest, value.to_vec());
        if pending.missing.is_empty() {
            return self.complete();
        }
        Ok(RelayStep::Wait)
    }

    fn complete(&mut self) -> Result<RelayStep, EnvelopeError> {
        let Some(pending) = self.pending.take() else {
            return Ok(RelayStep::Wait);
        };
        let bundle = Arc::new(pending.envelope.assemble(&pending.values)?);
        Ok(RelayStep::Complete(Box::new(Candidate {
            bundle,
            envelope: pending.text,
            values: pending.values,
        })))
    }
}

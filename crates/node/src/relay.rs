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
    parts: BTreeMap<Digest, Vec<u8>>,
    pending: Option<PendingBundle>,
}

/// A verified envelope some of whose parts are missing.
#[derive(Debug)]
struct PendingBundle {
    peer: PeerKey,
    envelope: Envelope<Approved>,
    text: Bytes,
    missing: Vec<Digest>,
    held_parts: BTreeMap<Digest, Vec<u8>>,
}

/// A bundle with its documents, ready to be put in force.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The bundle.
    pub bundle: Arc<ApprovedBundle>,
    /// Text of its envelope.
    pub envelope: Bytes,
    /// Its parts, by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

/// What follows from a document of a peer.
#[derive(Debug)]
pub enum RelayStep {
    /// Nothing.
    Wait,
    /// Ask the same peer for these parts.
    RequestParts(DocumentRequest),
    /// All documents are there.
    Complete(Box<Candidate>),
}

impl Relay {
    /// A node's documents at its start: none.
    pub fn new(owners: Owners) -> Self {
        Self {
            owners,
            envelope: None,
            parts: BTreeMap::new(),
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
        parts: BTreeMap<Digest, Vec<u8>>,
    ) -> Result<Candidate, EnvelopeError> {
        let text = Bytes::from(envelope.to_toml());
        let bundle = envelope.verify(&self.owners)?.assemble(&parts)?;
        Ok(Candidate {
            bundle: Arc::new(bundle),
            envelope: text,
            parts,
        })
    }

    /// Keeps the documents of the bundle in force for peers.
    pub fn set_current(&mut self, candidate: Candidate) {
        self.envelope = Some(candidate.envelope);
        self.parts = candidate.parts;
        self.pending = None;
    }

    /// Documents for a peer, of those that it asks for and this node has.
    pub fn documents_for(&self, request: &DocumentRequest) -> Vec<Document> {
        let envelope = self.envelope.as_ref().filter(|_| request.envelope);
        let parts = request
            .parts
            .iter()
            .filter_map(|digest| self.parts.get(digest));
        envelope
            .map(|text| Document::Envelope(text.clone()))
            .into_iter()
            .chain(parts.map(|part| Document::Part(Bytes::copy_from_slice(part))))
            .collect()
    }

    /// Takes an envelope from a peer. Only one with both signatures and a version above `version` is followed up.
    ///
    /// # Errors
    ///
    /// An envelope that is not approved, or whose parts don't make a bundle.
    pub fn receive_envelope(
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
        let (known, missing) = digests.partition::<Vec<_>, _>(|part| self.parts.contains_key(part));
        let held_parts = known
            .into_iter()
            .map(|part| (part, self.parts[&part].clone()))
            .collect();
        let parts = missing.clone();
        self.pending = Some(PendingBundle {
            peer,
            envelope,
            text,
            missing,
            held_parts,
        });
        if parts.is_empty() {
            return self.assemble_pending();
        }
        Ok(RelayStep::RequestParts(DocumentRequest {
            parts,
            ..DocumentRequest::default()
        }))
    }

    /// Takes a part from a peer; one that was not asked for is dropped.
    ///
    /// # Errors
    ///
    /// Parts that don't make a bundle.
    pub fn receive_part(
        &mut self,
        peer: PeerKey,
        part: &Bytes,
    ) -> Result<RelayStep, EnvelopeError> {
        let digest = Digest::of(part);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.peer == peer) else {
            return Ok(RelayStep::Wait);
        };
        if !pending.missing.contains(&digest) {
            return Ok(RelayStep::Wait);
        }
        pending.missing.retain(|missing| *missing != digest);
        pending.held_parts.insert(digest, part.to_vec());
        if pending.missing.is_empty() {
            return self.assemble_pending();
        }
        Ok(RelayStep::Wait)
    }

    fn assemble_pending(&mut self) -> Result<RelayStep, EnvelopeError> {
        let Some(pending) = self.pending.take() else {
            return Ok(RelayStep::Wait);
        };
        let bundle = Arc::new(pending.envelope.assemble(&pending.held_parts)?);
        Ok(RelayStep::Complete(Box::new(Candidate {
            bundle,
            envelope: pending.text,
            parts: pending.held_parts,
        })))
    }
}

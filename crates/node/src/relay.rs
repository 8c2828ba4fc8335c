//! Collects signed configuration bundles from peers and serves them to peers. Peers are not trusted: a bundle counts
//! only with the signatures of both owners.

use crate::prelude::*;
use medlarpost_wire::prelude::{Document, DocumentRequest};

/// The documents of the bundle in force, and those of a newer bundle that is being collected.
#[derive(Debug)]
pub struct Relay {
    owners: Owners,
    /// Text of the current bundle's envelope.
    envelope: Option<Bytes>,
    /// Parts of the current bundle, by digest.
    parts: BTreeMap<Digest, Vec<u8>>,
    pending: Option<PendingBundle>,
}

/// A verified envelope with the parts collected so far; the others were requested from `peer`.
#[derive(Debug)]
struct PendingBundle {
    peer: PeerKey,
    envelope: Envelope<Approved>,
    text: Bytes,
    missing: Vec<Digest>,
    held_parts: BTreeMap<Digest, Vec<u8>>,
}

/// A verified bundle that is not yet in force, with the documents to pass on to peers.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The assembled bundle.
    pub bundle: Arc<ApprovedBundle>,
    /// Text of its signed envelope.
    pub envelope: Bytes,
    /// Its encoded parts, by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

/// What to do after a document from a peer.
#[derive(Debug)]
pub enum RelayStep {
    /// Nothing: the document was ignored, or parts are still missing.
    Wait,
    /// Request these parts from the same peer.
    RequestParts(DocumentRequest),
    /// The bundle is complete.
    Complete(Box<Candidate>),
}

impl Relay {
    /// A relay without documents, as at the start of a node.
    pub fn new(owners: Owners) -> Self {
        Self {
            owners,
            envelope: None,
            parts: BTreeMap::new(),
            pending: None,
        }
    }

    /// Verifies an envelope and assembles its bundle from a complete set of parts.
    ///
    /// # Errors
    ///
    /// If a signature is missing, or a part is missing or malformed.
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

    /// Stores the documents of the bundle that is now in force, and drops the one that is being collected.
    pub fn set_current(&mut self, candidate: Candidate) {
        self.envelope = Some(candidate.envelope);
        self.parts = candidate.parts;
        self.pending = None;
    }

    /// Those of the requested documents that this node has.
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

    /// Handles an envelope from a peer. It is ignored unless its version is above `version`. Parts that this node
    /// already has are reused; only the others are requested.
    ///
    /// # Errors
    ///
    /// If the envelope lacks an owner's signature, or its parts don't make a valid bundle.
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

    /// Handles a part from a peer. A part that was not requested from this peer is ignored.
    ///
    /// # Errors
    ///
    /// If the parts don't make a valid bundle.
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

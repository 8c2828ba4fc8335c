//! The relay accepts only documents that the owners have signed, whichever peer sends them, and does not request parts
//! that the node already has.

use bytes::Bytes;
use medlarpost_core::prelude::*;
use medlarpost_fakes::prelude::{Deployment, OwnerKeys};
use medlarpost_node::relay::{Relay, RelayStep};
use medlarpost_wire::prelude::{Document, DocumentRequest};
use std::collections::HashMap;

fn owner_keys() -> OwnerKeys {
    OwnerKeys::from_seed(1)
}

fn bundle(version: u64) -> Bundle {
    Deployment::tunelix().bundle(version, &HashMap::new())
}

fn two_peers() -> [PeerKey; 2] {
    let mut peers = SlotMap::<PeerKey, ()>::with_key();
    [peers.insert(()), peers.insert(())]
}

/// A relay whose current bundle has version 1.
fn relay() -> Relay {
    let mut relay = Relay::new(owner_keys().owners());
    let (envelope, parts) = owner_keys().sign_bundle(&bundle(1));
    let candidate = relay.assemble(envelope, parts).expect("both owners signed");
    relay.set_current(candidate);
    relay
}

fn envelope_text(envelope: &Envelope<Unverified>) -> Bytes {
    envelope.to_toml().into()
}

#[test]
fn only_the_changed_part_is_requested() {
    let mut relay = relay();
    let [peer, _] = two_peers();
    let (envelope, parts) = owner_keys().sign_bundle(&bundle(2));

    let step = relay.receive_envelope(peer, envelope_text(&envelope), 1);

    let Ok(RelayStep::RequestParts(DocumentRequest {
        parts: requested, ..
    })) = step
    else {
        panic!("{step:?}");
    };
    // Only the head changed, as it contains the version.
    assert_eq!((requested.len(), parts.len() > 1), (1, true));
    let value = Bytes::from(parts[&requested[0]].clone());
    let complete = relay.receive_part(peer, &value);
    assert!(
        matches!(&complete, Ok(RelayStep::Complete(candidate)) if candidate.bundle.version == 2),
        "{complete:?}"
    );
}

#[test]
fn envelope_with_one_signature_is_refused() {
    let mut relay = relay();
    let [peer, _] = two_peers();
    let (manifest, _) = Manifest::split(&bundle(2));
    let half_signed = Envelope::unsigned(&manifest).sign(owner_keys().signing_key(0));

    let step = relay.receive_envelope(peer, envelope_text(&half_signed), 1);

    assert!(
        matches!(step, Err(EnvelopeError::NotSigned { .. })),
        "{step:?}"
    );
}

#[test]
fn envelope_that_is_not_newer_is_ignored() {
    let mut relay = relay();
    let [peer, _] = two_peers();
    let (envelope, _) = owner_keys().sign_bundle(&bundle(2));

    let step = relay.receive_envelope(peer, envelope_text(&envelope), 2);

    assert!(matches!(step, Ok(RelayStep::Wait)), "{step:?}");
}

#[test]
fn part_with_unrequested_digest_or_from_another_peer_is_ignored() {
    let mut relay = relay();
    let [peer, other] = two_peers();
    let (envelope, parts) = owner_keys().sign_bundle(&bundle(2));
    let step = relay.receive_envelope(peer, envelope_text(&envelope), 1);
    let Ok(RelayStep::RequestParts(request)) = step else {
        panic!("{step:?}");
    };
    let value = Bytes::from(parts[&request.parts[0]].clone());

    let forged = relay.receive_part(peer, &Bytes::from_static(b"version = 2"));
    let from_other = relay.receive_part(other, &value);

    assert!(matches!(forged, Ok(RelayStep::Wait)), "{forged:?}");
    assert!(matches!(from_other, Ok(RelayStep::Wait)), "{from_other:?}");
}

#[test]
fn peer_gets_the_requested_documents_that_are_known() {
    let relay = relay();
    let (_, parts) = owner_keys().sign_bundle(&bundle(1));
    let known = *parts.keys().next().expect("a bundle has parts");

    let answer = relay.documents_for(&DocumentRequest {
        envelope: true,
        parts: vec![known, Digest::of(b"unknown")],
        ..DocumentRequest::default()
    });

    assert!(
        matches!(answer.as_slice(), [Document::Envelope(_), Document::Part(value)] if *value == parts[&known]),
        "{answer:?}"
    );
}

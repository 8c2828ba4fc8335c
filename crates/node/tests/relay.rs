//! Guards against a peer that hands over documents which the owners have not signed, or other parts than the signed ones,
//! and against reading parts that a node already has.

use bytes::Bytes;
use medlarpost_core::prelude::*;
use medlarpost_fakes::prelude::{Deployment, OwnerKeys};
use medlarpost_node::relay::{Relay, RelayStep};
use medlarpost_wire::prelude::{Document, DocumentRequest};
use std::collections::HashMap;

fn keys() -> OwnerKeys {
    OwnerKeys::from_seed(1)
}

fn bundle(version: u64) -> Bundle {
    Deployment::tunelix().bundle(version, &HashMap::new())
}

fn peers() -> [PeerKey; 2] {
    let mut peers = SlotMap::<PeerKey, ()>::with_key();
    [peers.insert(()), peers.insert(())]
}

/// A relay with the bundle of version 1 in force.
fn relay() -> Relay {
    let mut relay = Relay::new(keys().owners());
    let (envelope, parts) = keys().sign_bundle(&bundle(1));
    let candidate = relay.assemble(envelope, parts).expect("both owners signed");
    relay.in_force(candidate);
    relay
}

fn text(envelope: &Envelope<Unverified>) -> Bytes {
    envelope.to_toml().into()
}

#[test]
fn only_the_changed_part_is_asked_for() {
    let mut relay = relay();
    let [peer, _] = peers();
    let (envelope, parts) = keys().sign_bundle(&bundle(2));

    let step = relay.envelope(peer, text(&envelope), 1);

    let Ok(RelayStep::Ask(DocumentRequest { parts: asked, .. })) = step else {
        panic!("{step:?}");
    };
    // The head holds the version.
    assert_eq!((asked.len(), parts.len() > 1), (1, true));
    let value = Bytes::from(parts[&asked[0]].clone());
    let complete = relay.part(peer, &value);
    assert!(
        matches!(&complete, Ok(RelayStep::Complete(candidate)) if candidate.bundle.version == 2),
        "{complete:?}"
    );
}

#[test]
fn envelope_with_one_signature_is_refused() {
    let mut relay = relay();
    let [peer, _] = peers();
    let (manifest, _) = Manifest::split(&bundle(2));
    let half_signed = Envelope::unsigned(&manifest).sign(keys().signing_key(0));

    let step = relay.envelope(peer, text(&half_signed), 1);

    assert!(
        matches!(step, Err(EnvelopeError::NotSigned { .. })),
        "{step:?}"
    );
}

#[test]
fn envelope_that_is_not_newer_is_dropped() {
    let mut relay = relay();
    let [peer, _] = peers();
    let (envelope, _) = keys().sign_bundle(&bundle(2));

    let step = relay.envelope(peer, text(&envelope), 2);

    assert!(matches!(step, Ok(RelayStep::Wait)), "{step:?}");
}

#[test]
fn part_with_another_digest_or_of_another_peer_is_dropped() {
    let mut relay = relay();
    let [peer, other] = peers();
    let (envelope, parts) = keys().sign_bundle(&bundle(2));
    let step = relay.envelope(peer, text(&envelope), 1);
    let Ok(RelayStep::Ask(request)) = step else {
        panic!("{step:?}");
    };
    let value = Bytes::from(parts[&request.parts[0]].clone());

    let forged = relay.part(peer, &Bytes::from_static(b"version = 2"));
    let from_other = relay.part(other, &value);

    assert!(matches!(forged, Ok(RelayStep::Wait)), "{forged:?}");
    assert!(matches!(from_other, Ok(RelayStep::Wait)), "{from_other:?}");
}

#[test]
fn peer_gets_what_it_asks_for_and_nothing_that_is_unknown() {
    let relay = relay();
    let (_, parts) = keys().sign_bundle(&bundle(1));
    let known = *parts.keys().next().expect("a bundle has parts");

    let answer = relay.answer(&DocumentRequest {
        envelope: true,
        parts: vec![known, Digest::of(b"unknown")],
        ..DocumentRequest::default()
    });

    assert!(
        matches!(answer.as_slice(), [Document::Envelope(_), Document::Part(value)] if *value == parts[&known]),
        "{answer:?}"
    );
}

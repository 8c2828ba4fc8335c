//! Guards against parsers that panic on hostile input, bundles that change when they are split into parts, and
//! modified bytes that still count as approved.

use ed25519_dalek::SigningKey;
use medlarpost_core::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Fewer cases for tests that verify signatures, because one verification takes milliseconds without optimisation.
const SIGNED_CASES: u32 = 48;

const SEED: u64 = 20_240_117;

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

fn keys() -> [SigningKey; 2] {
    [
        SigningKey::from_bytes(&[1; 32]),
        SigningKey::from_bytes(&[2; 32]),
    ]
}

fn owners() -> Owners {
    let [first, second] = keys().map(|key| key.verifying_key().to_bytes());
    Owners::new(first, second).expect("the keys are valid and differ")
}

/// A bundle with this many zones, upstreams and services; each service has one shard per upstream.
fn bundle(version: u64, zones: usize, upstreams: u16, services: usize) -> Bundle {
    let service = |n: usize| Service {
        name: format!("service-{n}"),
        kind: ServiceKind::Search,
        layouts: vec![ShardLayout {
            index_version: version,
            shards: (0..upstreams).map(|u| vec![format!("u-{u}")]).collect(),
        }],
        upstreams: Vec::new(),
    };
    Bundle {
        format: 1,
        version,
        deployment: "tunelix".to_owned(),
        consents: vec!["shard-out".to_owned()],
        limits: DeploymentLimits::default(),
        policy: LoadPolicy::default(),
        zones: (0..zones)
            .map(|n| Zone {
                name: format!("z-{n}"),
                region: "poland".to_owned(),
                state: if n % 2 == 0 {
                    ZoneState::In
                } else {
                    ZoneState::Out
                },
            })
            .collect(),
        classes: Vec::new(),
        workspaces: Vec::new(),
        upstreams: (0..upstreams)
            .map(|n| Upstream {
                name: format!("u-{n}"),
                address: ([127, 0, 0, 1], 9_000 + n).into(),
                zone: "z-0".to_owned(),
                slots: 3,
                cold_slots: 1,
                connections: 30,
                connect_ms: 6,
                state: UpstreamState::Active,
                tls: n % 2 == 1,
            })
            .collect(),
        services: (0..services).map(service).collect(),
    }
}

fn signed_envelope_and_parts() -> (Envelope<Unverified>, BTreeMap<Digest, Vec<u8>>) {
    let (manifest, parts) = Manifest::split(&bundle(3, 2, 4, 0));
    let [first, second] = keys();
    let envelope = Envelope::unsigned(&manifest).sign(&first).sign(&second);
    (envelope, parts)
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn parsers_reject_arbitrary_bytes_without_panicking(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let envelope = Envelope::from_toml(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let bundle = Bundle::from_toml(&text);

        prop_assert!(envelope.is_err());
        prop_assert!(bundle.is_err());
    }

    #[test]
    fn bundle_read_from_damaged_text_survives_a_round_trip(
        position in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>(),
    ) {
        let mut text = bundle(1, 2, 3, 1).to_toml().into_bytes();
        let position = position.index(text.len());
        if cut {
            text.truncate(position);
        } else {
            text[position] = byte;
        }

        let read = str::from_utf8(&text).ok().map(Bundle::from_toml);

        // Text that still parses as a bundle must be the same bundle after it is written and read again.
        if let Some(Ok(read)) = read {
            prop_assert_eq!(Bundle::from_toml(&read.to_toml()).ok(), Some(read));
        }
    }

    #[test]
    fn splitting_and_assembling_gives_the_same_bundle(
        version in 1_u64..i64::MAX as u64, zones in 0_usize..5, upstreams in 0_u16..8, services in 0_usize..4,
    ) {
        let before = bundle(version, zones, upstreams, services);

        let (manifest, parts) = Manifest::split(&before);
        let after = manifest.assemble(&parts);

        prop_assert_eq!(after.ok(), Some(before));
    }

}

proptest! {
    #![proptest_config(config(SIGNED_CASES))]

    #[test]
    fn changed_envelope_is_rejected_or_has_the_same_manifest(
        position in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let (envelope, _) = signed_envelope_and_parts();
        let mut text = envelope.to_toml().into_bytes();
        let position = position.index(text.len());
        text[position] = byte;

        let approved = Envelope::from_toml(&text).and_then(|envelope| envelope.verify(&owners()));

        // Only a byte outside the signed ones, such as a line break of the TOML text, may differ.
        if let Ok(approved) = approved {
            prop_assert_eq!(approved.manifest_bytes(), envelope.manifest_bytes());
        }
    }

    #[test]
    fn changed_part_is_rejected(
        part in any::<prop::sample::Index>(), position in any::<prop::sample::Index>(), flip in 1_u8..,
    ) {
        let (envelope, mut parts) = signed_envelope_and_parts();
        let part = part.index(parts.len());
        let value = parts.values_mut().nth(part).expect("the index is within the parts");
        let position = position.index(value.len());
        value[position] ^= flip;

        let approved = envelope.verify(&owners()).expect("both owners have signed");
        let assembled = approved.assemble(&parts);

        prop_assert!(matches!(assembled, Err(EnvelopeError::MissingPart { .. })), "{:?}", assembled);
    }
}

#[test]
fn every_changed_byte_of_the_manifest_invalidates_the_signatures() {
    let (envelope, _) = signed_envelope_and_parts();
    let manifest = envelope.manifest_bytes().to_vec();
    let with_manifest = |bytes: &[u8]| {
        use base64::{Engine as _, prelude::BASE64_STANDARD};
        let text = envelope.to_toml();
        let old = BASE64_STANDARD.encode(&manifest);
        text.replace(&old, &BASE64_STANDARD.encode(bytes))
    };

    let rejections: Vec<_> = (0..manifest.len())
        .map(|position| {
            let mut changed = manifest.clone();
            changed[position] ^= 1;
            Envelope::from_toml(with_manifest(&changed).as_bytes())
                .and_then(|envelope| envelope.verify(&owners()))
                .is_err()
        })
        .collect();

    assert!(
        rejections.iter().all(|rejected| *rejected),
        "{rejections:?}"
    );
}

#[test]
fn two_signatures_of_one_owner_do_not_approve() {
    let (manifest, _) = Manifest::split(&bundle(3, 2, 4, 2));
    let [first, _] = keys();
    let envelope = Envelope::unsigned(&manifest).sign(&first).sign(&first);

    let rejected = envelope.verify(&owners());

    assert!(
        matches!(rejected, Err(EnvelopeError::NotSigned { owner: 2, .. })),
        "{rejected:?}"
    );
}

#[test]
fn inputs_over_the_size_limits_are_rejected() {
    let long = vec![b' '; Manifest::MAX_BYTES + 1];
    let signatures = ["\"\""; 9].join(", ");
    let many = format!("manifest = \"\"\nsignatures = [{signatures}]\n");
    let part = ManifestPart {
        name: "p".to_owned(),
        sha256: Digest::of(b""),
    };
    let parts = Manifest {
        format: 1,
        version: 1,
        deployment: "tunelix".to_owned(),
        parts: vec![part; Manifest::MAX_PARTS + 1],
    };

    let too_long = Envelope::from_toml(&long);
    let too_many = Envelope::from_toml(many.as_bytes());
    let too_many_parts = Envelope::unsigned(&parts).manifest();

    assert!(matches!(too_long, Err(EnvelopeError::TooLong { .. })));
    assert!(matches!(
        too_many,
        Err(EnvelopeError::TooManySignatures { found: 9 })
    ));
    assert!(matches!(
        too_many_parts,
        Err(EnvelopeError::TooManyParts { .. })
    ));
}

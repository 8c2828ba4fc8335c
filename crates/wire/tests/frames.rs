//! Guards against frames that crash a node, unauthenticated or replayed messages that are accepted, and nodes of other
//! protocol versions whose messages are misread.

use bytes::{BufMut as _, Bytes, BytesMut};
use medlarpost_core::prelude::*;
use medlarpost_wire::{frame_codec::MAX_FRAME_BYTES, prelude::*};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio_util::codec::{Decoder as _, Encoder as _};

fn key(byte: u8) -> FleetKey {
    FleetKey::new([byte; 32])
}

fn hello(node: &str, nonce: u8) -> Hello {
    Hello::new(node, 7, [nonce; 16])
}

/// Handshakes of the dialler and the listener, each with the fleet key of its byte in `keys`.
fn handshakes(dialler: &Hello, listener: &Hello, keys: (u8, u8)) -> (Handshake, Handshake) {
    let (a, b) = (dialler.encode(), listener.encode());
    let a_side = Handshake::new(key(keys.0), Side::Dialler, a.clone(), b.clone());
    let b_side = Handshake::new(key(keys.1), Side::Listener, b, a);
    (
        a_side.expect("the hello is valid"),
        b_side.expect("the hello is valid"),
    )
}

fn codecs_from(dialler: &Hello, listener: &Hello) -> (FrameCodec, FrameCodec) {
    let (a, b) = handshakes(dialler, listener, (1, 1));
    let (a_proof, b_proof) = (a.proof(), b.proof());
    let (_, a) = a.verify(&b_proof).expect("the keys are the same");
    let (_, b) = b.verify(&a_proof).expect("the keys are the same");
    (a, b)
}

fn codecs() -> (FrameCodec, FrameCodec) {
    codecs_from(&hello("a", 1), &hello("b", 2))
}

fn heartbeat(version: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        version,
        sent: Timestamp::from_millis(5),
        echo: Timestamp::from_millis(4),
        interval: Duration::from_millis(500),
        answer_wanted: true,
    })
}

fn encoded(codec: &mut FrameCodec, message: &Message) -> BytesMut {
    let mut frame = BytesMut::new();
    codec
        .encode(message, &mut frame)
        .expect("the message is short enough");
    frame
}

fn messages() -> Vec<Message> {
    let id = NewsId {
        origin: "a".into(),
        start: 7,
        number: 1,
    };
    let upstream = "u".to_owned();
    let digest = Digest::of(b"query");
    let node = FleetNode {
        name: "a".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "z".to_owned(),
        leaving: false,
    };
    let text = |text: &str| Arc::<str>::from(text);
    vec![
        heartbeat(5),
        Message::DocumentRequest(DocumentRequest {
            envelope: true,
            parts: vec![digest],
            nodes: true,
            upstream_states: true,
        }),
        Message::Document(Document::Envelope(Bytes::from_static(b"text"))),
        Message::Document(Document::Part(Bytes::from_static(b"part"))),
        Message::Document(Document::Nodes(vec![node])),
        Message::News(vec![
            (
                id.clone(),
                News::Crash {
                    digest,
                    upstreams: vec![upstream.clone()],
                },
            ),
            (
                id.clone(),
                News::Cold {
                    upstream: upstream.clone(),
                    started_at_ms: 0,
                    round: 2,
                },
            ),
            (
                id,
                News::Warm {
                    upstream,
                    started_at_ms: 9,
                    round: 2,
                },
            ),
        ]),
        Message::Redeem(Redeem {
            call: 3,
            request_id: text("r"),
            token: text("t"),
            workspace: text("n"),
            service: text("s"),
            ticket: text("k"),
            booking: text("{}"),
            deadline: Some(Duration::from_millis(100)),
        }),
        Message::Redeemed(Redeemed {
            call: 3,
            outcome: RedeemOutcome::Booked {
                booking_id: "b".to_owned(),
                reply: BookingReply {
                    accepted: true,
                    reference: "x".to_owned(),
                },
                replayed: true,
            },
        }),
        Message::Redeemed(Redeemed {
            call: 4,
            outcome: RedeemOutcome::Refused {
                kind: RefusalKind::TicketExpired,
                execution: Execution::NotRun,
                detail: "late".to_owned(),
            },
        }),
    ]
}

#[test]
fn every_message_round_trips() {
    let (mut a, mut b) = codecs();
    let mut stream = BytesMut::new();

    for message in &messages() {
        a.encode(message, &mut stream)
            .expect("the message is short enough");
    }
    let received: Vec<_> =
        std::iter::from_fn(|| b.decode(&mut stream).expect("frames are valid")).collect();

    assert_eq!(received, messages());
    assert_eq!(a.sent_bytes(), b.received_bytes());
}

#[test]
fn frame_with_another_key_is_not_authentic() {
    let (mut a, _) = codecs();
    let (_, mut other) = codecs_from(&hello("a", 3), &hello("b", 4));
    let mut frame = encoded(&mut a, &heartbeat(5));

    let result = other.decode(&mut frame);

    assert!(matches!(result, Err(WireError::NotAuthentic)), "{result:?}");
}

#[test]
fn reflected_frame_is_not_authentic() {
    let (mut a, _) = codecs();
    let mut frame = encoded(&mut a, &heartbeat(5));

    let result = a.decode(&mut frame);

    assert!(matches!(result, Err(WireError::NotAuthentic)), "{result:?}");
}

#[test]
fn replayed_frame_is_rejected() {
    let (mut a, mut b) = codecs();
    let frame = encoded(&mut a, &heartbeat(5));

    let first = b.decode(&mut frame.clone());
    let second = b.decode(&mut frame.clone());

    assert!(matches!(first, Ok(Some(_))), "{first:?}");
    assert!(
        matches!(
            second,
            Err(WireError::SequenceMismatch {
                expected: 1,
                found: 0
            })
        ),
        "{second:?}"
    );
}

#[test]
fn oversized_frame_is_rejected_by_encoder_and_decoder() {
    let (mut a, mut b) = codecs();
    let long = Message::Document(Document::Part(Bytes::from(vec![0; MAX_FRAME_BYTES])));
    let mut announced = BytesMut::new();
    announced.put_u32(MAX_FRAME_BYTES as u32 + 1);

    let sent = a.encode(&long, &mut BytesMut::new());
    let received = b.decode(&mut announced);

    assert!(matches!(sent, Err(WireError::TooLong { .. })), "{sent:?}");
    assert!(
        matches!(received, Err(WireError::TooLong { .. })),
        "{received:?}"
    );
}

#[test]
fn truncated_frame_is_rejected() {
    let (mut a, mut b) = codecs();
    let mut cut = encoded(&mut a, &heartbeat(5));
    cut.truncate(cut.len() - 1);
    let mut tiny = BytesMut::new();
    tiny.put_u32(3);
    tiny.put_slice(b"abc");

    let ended = b.clone().decode_eof(&mut cut);
    let too_small = b.decode(&mut tiny);

    assert!(matches!(ended, Err(WireError::Truncated)), "{ended:?}");
    assert!(
        matches!(too_small, Err(WireError::Truncated)),
        "{too_small:?}"
    );
}

/// A correctly authenticated frame around arbitrary message bytes, and the codec of the listener that receives it. The
/// MAC is computed here without the crate, so that a change of the format is found.
fn authentic_frame(peer_minor: u32, message: &[u8]) -> (BytesMut, FrameCodec) {
    use hmac::{Hmac, Mac as _};
    let dialler = Hello {
        minor: peer_minor,
        ..hello("a", 1)
    };
    let listener = hello("b", 2);
    let (_, codec) = codecs_from(&dialler, &listener);
    let mac = |key: &[u8], fields: &[&[u8]]| {
        let mut mac = Hmac::<sha2::Sha256>::new_from_slice(key).expect("HMAC takes any key");
        for field in fields {
            mac.update(field);
        }
        mac.finalize().into_bytes()
    };
    let (a, b) = (dialler.encode(), listener.encode());
    let lengths = [6_u64, 7, a.len() as u64, b.len() as u64].map(u64::to_be_bytes);
    let [use_length, side_length, a_length, b_length] = &lengths;
    let fields: [&[u8]; 8] = [
        use_length,
        b"frames",
        side_length,
        b"dialler",
        a_length,
        &a,
        b_length,
        &b,
    ];
    let key = mac(&[1; 32], &fields);
    let sequence = 0_u64.to_be_bytes();
    let mut frame = BytesMut::new();
    frame.put_u32(24 + message.len() as u32);
    frame.put_slice(&sequence);
    frame.put_slice(&mac(&key, &[&sequence, message])[..16]);
    frame.put_slice(message);
    (frame, codec)
}

/// Protobuf field 15 with one byte, which no version of the protocol defines.
const UNKNOWN_FIELD: [u8; 3] = [0x7A, 0x01, 0x00];

#[test]
fn unknown_message_type_is_rejected_from_equal_minor_and_skipped_from_newer_minor() {
    let (mut equal, mut from_equal) = authentic_frame(Hello::MINOR, &UNKNOWN_FIELD);
    let (mut newer, mut from_newer) = authentic_frame(Hello::MINOR + 1, &UNKNOWN_FIELD);

    let refused = from_equal.decode(&mut equal);
    let skipped = from_newer.decode(&mut newer);

    assert!(
        matches!(refused, Err(WireError::UnknownType)),
        "{refused:?}"
    );
    assert!(matches!(skipped, Ok(None)), "{skipped:?}");
}

#[test]
fn unknown_field_of_a_known_message_is_ignored() {
    // A heartbeat (field 1) with version 5, and the unknown field.
    let message = [[0x0A, 0x05, 0x08, 0x05].as_slice(), &UNKNOWN_FIELD].concat();
    let (mut frame, mut codec) = authentic_frame(Hello::MINOR + 1, &message);

    let decoded = codec.decode(&mut frame);

    assert!(
        matches!(&decoded, Ok(Some(Message::Heartbeat(heartbeat))) if heartbeat.version == 5),
        "{decoded:?}"
    );
}

#[test]
fn authentic_frame_with_malformed_message_is_rejected() {
    let (mut frame, mut codec) = authentic_frame(Hello::MINOR, &[0xFF; 9]);

    let result = codec.decode(&mut frame);

    assert!(
        matches!(result, Err(WireError::Malformed { .. })),
        "{result:?}"
    );
}

#[test]
fn proof_with_another_key_or_reflected_proof_is_rejected() {
    let (a, b) = handshakes(&hello("a", 1), &hello("b", 2), (1, 9));
    let (own_proof, other_proof) = (a.proof(), b.proof());

    let wrong_key = a.verify(&other_proof);
    let (a, _) = handshakes(&hello("a", 1), &hello("b", 2), (1, 1));
    let reflected = a.verify(&own_proof);

    assert!(
        matches!(wrong_key, Err(WireError::WrongKey)),
        "{wrong_key:?}"
    );
    assert!(
        matches!(reflected, Err(WireError::WrongKey)),
        "{reflected:?}"
    );
}

#[test]
fn other_major_version_is_rejected_and_other_minor_version_accepted() {
    let major = Hello {
        major: Hello::MAJOR + 1,
        ..hello("a", 1)
    };
    let minor = Hello {
        minor: Hello::MINOR + 9,
        ..hello("a", 1)
    };

    let refused = Hello::decode(&major.encode());
    let accepted = Hello::decode(&minor.encode());

    assert!(
        matches!(refused, Err(WireError::MajorVersion { major: 2, own: 1 })),
        "{refused:?}"
    );
    assert!(accepted.is_ok_and(|hello| hello == minor));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6C69_6E6B),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_decode_to_a_message(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let (_, mut codec) = codecs();
        let mut stream = BytesMut::from(bytes.as_slice());
        let mut framed = BytesMut::new();
        framed.put_u32(bytes.len() as u32);
        framed.put_slice(&bytes);

        let raw = codec.clone().decode_eof(&mut stream);
        let framed = codec.decode_eof(&mut framed);

        prop_assert!(!matches!(raw, Ok(Some(_))));
        prop_assert!(framed.is_err());
    }

    #[test]
    fn modified_byte_fails_authentication(position in 4_usize..60, change in 1_u8..=255) {
        let (mut a, mut b) = codecs();
        let mut frame = encoded(&mut a, &heartbeat(5));
        let position = 4 + position % (frame.len() - 4);
        frame[position] ^= change;

        let result = b.decode(&mut frame);

        prop_assert!(matches!(result, Err(WireError::NotAuthentic)));
    }

    #[test]
    fn arbitrary_message_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let (mut frame, mut codec) = authentic_frame(Hello::MINOR + 1, &bytes);

        let result = codec.decode(&mut frame);

        prop_assert!(frame.is_empty() || result.is_err());
    }

    #[test]
    fn arbitrary_handshake_frames_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let (own, received) = (hello("a", 1).encode(), Bytes::from(bytes.clone()));
        let (handshake, _) = handshakes(&hello("a", 1), &hello("b", 2), (1, 1));

        let greeted = Handshake::new(key(1), Side::Dialler, own, received);
        let proved = handshake.verify(&bytes);

        prop_assert!(proved.is_err());
        prop_assert!(greeted.is_ok() == Hello::decode(&bytes).is_ok());
    }
}

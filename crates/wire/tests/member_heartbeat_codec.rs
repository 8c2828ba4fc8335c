//! Guards against heartbeats that don't survive encoding and decoding, and against arbitrary datagrams that make the
//! codec fail and so end the socket's task.

use bytes::BytesMut;
use medlarpost_core::prelude::*;
use medlarpost_wire::member_heartbeat_codec::MemberHeartbeatCodec;
use proptest::{prelude::*, test_runner::RngSeed};
use tokio_util::codec::{Decoder as _, Encoder as _};

fn notice(kind: NoticeKind) -> UpstreamNotice {
    UpstreamNotice {
        instance: "i-1".into(),
        started_at_ms: 1_796_000_000_000,
        kind,
        age: Duration::from_millis(300),
    }
}

#[test]
fn member_heartbeat_round_trips() {
    let heartbeat = MemberHeartbeat {
        address: "127.0.0.1:7740".parse().unwrap(),
        known_members: vec![KnownMember {
            address: "127.0.0.1:7741".parse().unwrap(),
            age: Duration::from_millis(1_200),
        }],
        answer_wanted: true,
        fleet_size: 7,
        quarantined: vec![QuarantinedRequest {
            digest: Digest::of(b"request"),
            age: Duration::from_millis(900),
        }],
        notices: vec![
            notice(NoticeKind::Leaving),
            notice(NoticeKind::Resting {
                left: Duration::from_millis(1_500),
            }),
        ],
    };
    let mut datagram = BytesMut::new();

    MemberHeartbeatCodec
        .encode(heartbeat.clone(), &mut datagram)
        .unwrap();

    assert_eq!(
        MemberHeartbeatCodec.decode(&mut datagram).unwrap(),
        Some(Some(heartbeat))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_datagram_is_decoded_or_ignored(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let mut datagram = BytesMut::from(&*bytes);

        let decoded = MemberHeartbeatCodec.decode(&mut datagram);

        prop_assert!(decoded.is_ok());
        prop_assert!(datagram.is_empty());
    }
}

//! Guards against heartbeats that don't survive encoding and decoding, and against arbitrary datagrams that make the
//! codec fail and so end the socket's task.

use bytes::BytesMut;
use medlarpost_core::{
    peer_load::{MAX_OBSERVATIONS, MESSAGE_BYTES, OBSERVATION_BYTES, SHORT_OBSERVATION_BYTES},
    prelude::*,
    quota_message::MAX_QUOTA_ENTRIES,
};
use medlarpost_wire::{
    member_datagram::MemberDatagram,
    member_heartbeat_codec::{MAX_DATAGRAM_BYTES, MemberHeartbeatCodec},
};
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
        Some(Some(MemberDatagram::Heartbeat(heartbeat)))
    );
}

fn grant_request(workspace: &str) -> GrantRequest {
    GrantRequest {
        workspace: workspace.into(),
        wanted: 3,
    }
}

fn grant(workspace: &str) -> QuotaGrant {
    QuotaGrant {
        workspace: workspace.into(),
        tokens: 2,
        retry_after: Duration::from_millis(250),
        lifetime: Some(Duration::from_millis(310)),
    }
}

fn direct_request(requests: Vec<GrantRequest>) -> QuotaMessage {
    QuotaMessage::Request {
        id: 1,
        to_delegate: false,
        served: 0,
        requests,
    }
}

fn round_trip(message: QuotaMessage) -> (usize, Option<MemberDatagram>) {
    let mut datagram = BytesMut::new();
    MemberHeartbeatCodec.encode(message, &mut datagram).unwrap();
    let bytes = datagram.len();
    let decoded = MemberHeartbeatCodec.decode(&mut datagram).unwrap();
    (bytes, decoded.flatten())
}

#[test]
fn quota_messages_round_trip() {
    let messages = [
        QuotaMessage::Request {
            id: 7,
            to_delegate: true,
            served: 5,
            requests: vec![grant_request("w-1"), grant_request("w-2")],
        },
        QuotaMessage::Reply {
            id: 7,
            pause: Duration::from_millis(900),
            delegates: 4,
            grants: vec![grant("w-1")],
        },
    ];

    for message in messages {
        let (_, decoded) = round_trip(message.clone());

        assert_eq!(decoded, Some(MemberDatagram::Quota(message)));
    }
}

/// Guards against messages that are too large for a datagram, and against peers that make a node hold long lists.
#[test]
fn quota_messages_are_bounded_in_size_and_number() {
    let longest = "w".repeat(200);
    let largest = QuotaMessage::Reply {
        id: u32::MAX,
        pause: Duration::from_secs(9),
        delegates: u32::MAX,
        grants: vec![grant(&longest); MAX_QUOTA_ENTRIES],
    };
    let requests = vec![grant_request("w"); MAX_QUOTA_ENTRIES + 1];
    let too_long = vec![grant_request(&"w".repeat(201))];

    let (bytes, _) = round_trip(largest);
    let (_, too_many) = round_trip(direct_request(requests));
    let (_, too_long) = round_trip(direct_request(too_long));

    let requests_in = |decoded| match decoded {
        Some(MemberDatagram::Quota(QuotaMessage::Request { requests, .. })) => requests.len(),
        other => panic!("not requests: {other:?}"),
    };
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes}");
    assert_eq!(
        (requests_in(too_many), requests_in(too_long)),
        (MAX_QUOTA_ENTRIES, 0)
    );
}

fn observation(observer: Option<&str>, load: ObservedLoad) -> LoadObservation {
    LoadObservation {
        upstream: UpstreamDigest::of("i-1", 1_796_000_000_000),
        observer: observer.map(|address| address.parse().unwrap()),
        age: Duration::from_millis(1_999),
        load,
    }
}

const LONGEST_REPLY: ObservedLoad = ObservedLoad::Replied {
    service_percent: 2_000,
    queue_percent: 100_000,
};

fn observations_round_trip(observations: Vec<LoadObservation>) -> (usize, Option<MemberDatagram>) {
    let mut datagram = BytesMut::new();
    MemberHeartbeatCodec
        .encode(observations, &mut datagram)
        .unwrap();
    let bytes = datagram.len();
    let decoded = MemberHeartbeatCodec.decode(&mut datagram).unwrap();
    (bytes, decoded.flatten())
}

/// Guards against observations that are lost or changed on the way.
#[test]
fn observations_round_trip_with_all_kinds_of_observers() {
    let elapsed = Duration::from_millis(700);
    let observations = vec![
        observation(None, LONGEST_REPLY),
        observation(Some("10.0.0.1:7740"), ObservedLoad::Silent { elapsed }),
        observation(Some("[fd00::1]:7740"), LONGEST_REPLY),
    ];

    let (_, decoded) = observations_round_trip(observations.clone());

    assert_eq!(decoded, Some(MemberDatagram::Observations(observations)));
}

/// Guards against datagrams larger than the sizes by which a node limits its traffic, and against peers that make a node
/// hold long lists.
#[test]
fn observations_are_bounded_in_size_and_number() {
    let short = vec![observation(Some("255.255.255.255:65535"), LONGEST_REPLY); MAX_OBSERVATIONS];
    let long = vec![observation(Some("[ffff::ffff]:65535"), LONGEST_REPLY); MAX_OBSERVATIONS + 1];

    let (short_bytes, _) = observations_round_trip(short);
    let (long_bytes, decoded) = observations_round_trip(long);

    assert!(short_bytes <= MESSAGE_BYTES + SHORT_OBSERVATION_BYTES * MAX_OBSERVATIONS);
    assert!(long_bytes <= MESSAGE_BYTES + OBSERVATION_BYTES * MAX_OBSERVATIONS);
    assert!(long_bytes <= MAX_DATAGRAM_BYTES);
    let Some(MemberDatagram::Observations(decoded)) = decoded else {
        panic!("not observations");
    };
    assert_eq!(decoded.len(), MAX_OBSERVATIONS);
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

//! Guards against datagrams that can't be read back, and against strangers' bytes that end the socket's task.

use bytes::BytesMut;
use medlarpost_core::prelude::*;
use medlarpost_wire::beat_codec::BeatCodec;
use proptest::{prelude::*, test_runner::RngSeed};
use tokio_util::codec::{Decoder as _, Encoder as _};

#[test]
fn a_beat_is_read_as_it_was_written() {
    let beat = MemberHeartbeat {
        address: "127.0.0.1:7740".parse().unwrap(),
        known_members: vec![KnownMember {
            address: "127.0.0.1:7741".parse().unwrap(),
            age: Duration::from_millis(1_200),
        }],
        answer_wanted: true,
        fleet_size: 7,
        barred: vec![BarredRequest {
            digest: Digest::of(b"request"),
            age: Duration::from_millis(900),
        }],
    };
    let mut datagram = BytesMut::new();

    BeatCodec.encode(beat.clone(), &mut datagram).unwrap();

    assert_eq!(BeatCodec.decode(&mut datagram).unwrap(), Some(Some(beat)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_datagram_is_read_or_ignored(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let mut datagram = BytesMut::from(&*bytes);

        let read = BeatCodec.decode(&mut datagram);

        prop_assert!(read.is_ok());
        prop_assert!(datagram.is_empty());
    }
}

//! Guards against snapshots that don't survive encoding and decoding, and against arbitrary bytes that are decoded as a
//! message or allocate without bound.

use bytes::{BufMut as _, Bytes, BytesMut};
use medlarpost_core::prelude::*;
use medlarpost_wire::snapshot_codec::{
    FollowerCodec, MAX_SNAPSHOT_FRAME_BYTES, RelayServerCodec, SnapshotClientCodec,
    SnapshotServerCodec,
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio_util::codec::{Decoder as _, Encoder as _};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    }
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let value = prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    let item = (".{0,12}", value).prop_map(|(key, value)| PublishedItem {
        key: key.into(),
        value,
    });
    let items = prop::collection::vec(item, 0..8);
    (any::<u64>(), any::<bool>(), items).prop_map(|(revision, current, items)| Snapshot {
        revision,
        current,
        items,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn snapshot_split_across_reads_round_trips(snapshot in snapshot(), split in 0_usize..400) {
        let mut sent = BytesMut::new();
        SnapshotServerCodec::default().encode(snapshot.clone(), &mut sent).unwrap();
        let remainder = sent.split_off(split.min(sent.len() - 1));
        let mut client = SnapshotClientCodec::default();

        let incomplete = client.decode(&mut sent).unwrap();
        sent.extend_from_slice(&remainder);
        let complete = client.decode(&mut sent).unwrap();

        prop_assert_eq!((incomplete, complete), (None, Some(snapshot)));
    }

    #[test]
    fn arbitrary_frame_is_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut frame = BytesMut::new();
        frame.put_u32(bytes.len() as u32);
        frame.put_slice(&bytes);

        let decoded = SnapshotServerCodec::default().decode(&mut frame);

        prop_assert!(decoded.is_err() || frame.is_empty());
    }
}

#[test]
fn snapshot_request_round_trips() {
    let request = SnapshotRequest { after: 77 };
    let mut sent = BytesMut::new();

    SnapshotClientCodec::default()
        .encode(request, &mut sent)
        .unwrap();

    let decoded = SnapshotServerCodec::default().decode(&mut sent).unwrap();
    assert_eq!(decoded, Some(request));
}

/// Guards against a follower's poll that an older node, or its reply that an older follower, can't read.
#[test]
fn polls_and_their_replies_are_read_by_nodes_without_followers() {
    let poll = RegistryPoll {
        after: 77,
        wait: Duration::from_millis(1_500),
    };
    let reply = RegistryReply {
        snapshot: Snapshot {
            revision: 78,
            current: true,
            items: Vec::new(),
        },
        changes_only: true,
        removals: vec![RelayedRemoval {
            key: "gone".into(),
            refused: Some(Bytes::from_static(b"unreadable")),
        }],
        ages: RelayAges {
            view_ms: Some(-20),
            configuration_ms: Some(900),
            recovery_ms: 7,
        },
    };
    let (mut asked, mut answered) = (BytesMut::new(), BytesMut::new());

    FollowerCodec::default().encode(poll, &mut asked).unwrap();
    RelayServerCodec::default()
        .encode(reply.clone(), &mut answered)
        .unwrap();

    let (old_asked, old_answered) = (&mut asked.clone(), &mut answered.clone());
    let request = RelayServerCodec::default().decode(&mut asked).unwrap();
    assert_eq!(request, Some(RelayRequest::Poll(poll)));
    let read = FollowerCodec::default().decode(&mut answered).unwrap();
    assert_eq!(read, Some(reply.clone()));
    let request = SnapshotServerCodec::default().decode(old_asked).unwrap();
    assert_eq!(request, Some(SnapshotRequest { after: 77 }));
    let read = SnapshotClientCodec::default().decode(old_answered).unwrap();
    assert_eq!(read, Some(reply.snapshot));
}

/// Guards against a snapshot of an older node that is taken for a confirmed view.
#[test]
fn snapshot_of_a_node_without_followers_has_no_ages() {
    let snapshot = Snapshot {
        revision: 5,
        current: true,
        items: Vec::new(),
    };
    let mut sent = BytesMut::new();

    SnapshotServerCodec::default()
        .encode(snapshot, &mut sent)
        .unwrap();

    let reply = FollowerCodec::default().decode(&mut sent).unwrap().unwrap();
    assert_eq!(
        (reply.ages, reply.changes_only),
        (RelayAges::default(), false)
    );
}

#[test]
fn oversized_frame_is_rejected_from_its_length_prefix() {
    let mut frame = BytesMut::new();
    frame.put_u32(MAX_SNAPSHOT_FRAME_BYTES as u32 + 1);

    let error = SnapshotClientCodec::default()
        .decode(&mut frame)
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
}

#[test]
fn message_of_another_major_version_is_skipped() {
    // Field 1, the major version, is 9.
    let other: &[u8] = &[0, 0, 0, 2, 8, 9];
    let mut sent = BytesMut::from(other);
    SnapshotClientCodec::default()
        .encode(SnapshotRequest { after: 1 }, &mut sent)
        .unwrap();

    let decoded = SnapshotServerCodec::default().decode(&mut sent).unwrap();

    assert_eq!(decoded, Some(SnapshotRequest { after: 1 }));
}

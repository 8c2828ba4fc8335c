//! Guards against followers that act on a change later than their bound allows because their reader is disturbed, that
//! serve outdated contents, or that call the registry without need. Sockets and time are real.

mod fake_reader;
#[expect(dead_code, reason = "each test file uses a part of the fake registry")]
#[path = "../fake_registry/mod.rs"]
mod fake_registry;
mod fixture;

use fake_reader::FakeReader;
use fake_registry::{CONFIGURATION, FakeRegistry, Fault, UNREADABLE};
use fixture::{Addresses, BOUND, BOUNDS, Node, bind_fleet, start_pair, view_of};
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_core::prelude::*;
use medlarpost_wire::snapshot_codec::{FollowerCodec, SnapshotClientCodec};
use std::net::SocketAddr;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};
use tokio_util::codec::Framed;

/// Time before the end of a grace period until which an entry must return: the longest pause between reads while entries
/// are missing, and a read.
const RENEWAL_MARGIN: Duration = Duration::from_millis(400);

/// Most followers of a node.
const MAX_FOLLOWERS: usize = 64;

/// Guards against followers that call the registry although their reader works, or don't learn of changes.
#[actix_rt::test]
async fn follower_of_a_sound_reader_gets_changes_without_calls() {
    let registry = FakeRegistry::with_instances(3);
    let mut pair = start_pair(&registry, 1, &BOUNDS).await;
    let before = pair.follower.link.call_count();

    let quiet = pair.follower.events_within(BOUND * 2).await;
    registry.remove("i-0");
    let gone = pair.follower.deregistered("i-0", BOUND).await;
    registry.write("i-7", b"desk 1");
    let new = pair.follower.events_within(BOUND / 2).await;

    assert!(quiet.is_empty(), "{quiet:?}");
    assert!(gone.is_some_and(|time| time < BOUND * 8 / 10), "{gone:?}");
    assert!(matches!(
        &*new,
        [(ForwardEvent::UpstreamRegistered(upstream), _)] if &*upstream.instance == "i-7"
    ));
    assert_eq!(pair.follower.link.call_count(), before);
    assert!(pair.reader.link.call_count() > 4);
}

/// Guards against traffic for renewed leases, which change nothing that nodes use.
#[actix_rt::test]
async fn renewed_leases_are_not_relayed() {
    let registry = FakeRegistry::with_instances(3);
    let mut pair = start_pair(&registry, 11, &BOUNDS).await;

    for seq in 2..6 {
        registry.write("i-0", format!("desk {seq}").as_bytes());
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let renewed = pair.follower.events_within(BOUND / 2).await;
    registry.write("i-0", b"counter 6");
    registry.write("i-0", b"counter 7");
    let moved = pair.follower.events_within(BOUND / 2).await;

    assert!(renewed.is_empty(), "{renewed:?}");
    assert!(
        matches!(&*moved, [.., (ForwardEvent::UpstreamRegistered(upstream), _)] if &*upstream.service == "counter"),
        "{moved:?}"
    );
}

/// Guards against a follower that acts late on a change because of its reader: one that is killed, one that is cut off
/// from the registry, and one whose link is refused.
#[actix_rt::test]
async fn disturbed_reader_delays_no_change_beyond_the_bound() {
    for (network, fault) in [
        (21, None),
        (31, Some(Fault::Silent)),
        (41, Some(Fault::Down)),
    ] {
        let registry = FakeRegistry::with_instances(3);
        let mut pair = start_pair(&registry, network, &BOUNDS).await;
        match fault {
            None => pair.reader.kill(),
            Some(fault) => pair.reader.link.set_fault(fault),
        }
        registry.remove("i-0");

        let gone = pair.follower.deregistered("i-0", BOUND * 2).await;

        assert!(
            gone.is_some_and(|time| time + BOUNDS.in_flight() <= BOUND),
            "{fault:?}: {gone:?}"
        );
        drop(pair.others);
    }
}

/// Guards against a follower that keeps the bounds from before a reload while its readers are silent.
#[actix_rt::test]
async fn reloaded_bounds_apply_while_following() {
    let registry = FakeRegistry::with_instances(2);
    let loose = RegistryBounds {
        contact: BOUND * 5,
        drain: BOUND * 5,
        config_apply: BOUND * 5,
        evacuate: BOUND * 5,
        revoke: None,
    };
    let mut pair = start_pair(&registry, 221, &loose).await;
    pair.reader.kill();

    pair.follower.limits.send_replace(BOUNDS.limits());
    registry.remove("i-0");
    let gone = pair.follower.deregistered("i-0", BOUND * 5).await;

    assert!(gone.is_some_and(|time| time <= BOUND), "{gone:?}");
}

/// Guards against a follower that trusts a reader which is frozen, is too old to tell its age, has read less than the
/// follower, or no longer reads.
#[actix_rt::test]
async fn untrustworthy_readers_delay_no_change_beyond_the_bound() {
    use FakeReader::{Ageing, FreezesAfterFirst, OlderRevision, WithoutAges};
    for (network, kind) in [
        (51, FreezesAfterFirst),
        (61, WithoutAges),
        (71, OlderRevision),
        (81, Ageing),
    ] {
        let registry = FakeRegistry::with_instances(3);
        let Addresses {
            follower,
            readers,
            fleet,
            ..
        } = bind_fleet(network).await;
        for reader in readers {
            fake_reader::start(reader, kind, registry.revision());
        }
        let mut follower = Node::start(&registry, follower, Some(fleet), &BOUNDS);
        let started = follower.events_within(Duration::from_millis(300)).await;
        registry.remove("i-0");

        let gone = follower.deregistered("i-0", BOUND * 2).await;
        let later = follower.events_within(BOUND).await;

        assert!(
            gone.is_some_and(|time| time + BOUNDS.in_flight() <= BOUND),
            "{network}: {gone:?}"
        );
        let registered = started.iter().chain(&later).filter(|(event, _)| {
            matches!(event, ForwardEvent::UpstreamRegistered(upstream) if &*upstream.instance == "i-outdated")
        });
        assert_eq!(registered.count(), 0, "{network}");
    }
}

/// Guards against followers that call the registry much more often than a reader does while all readers are dead.
#[actix_rt::test]
async fn follower_without_readers_calls_no_more_often_than_a_reader() {
    let registry = FakeRegistry::with_instances(3);
    let Addresses {
        follower,
        readers,
        fleet,
        ..
    } = bind_fleet(91).await;
    drop(readers);
    let mut follower = Node::start(&registry, follower, Some(fleet), &BOUNDS);

    follower.events_within(BOUND * 2).await;

    let calls_of_a_reader = (BOUND * 2).as_millis() / BOUNDS.limits().interval.as_millis();
    let calls = follower.link.call_count();
    assert!(calls as u128 <= calls_of_a_reader + 3, "{calls}");
}

/// Guards against an entry that a reader refuses and its followers use.
#[actix_rt::test]
async fn refused_entries_are_withdrawn_without_a_grace_period() {
    for (network, value) in [(101, UNREADABLE), (111, b"counter 2".as_slice())] {
        let registry = FakeRegistry::with_instances(30);
        let mut pair = start_pair(&registry, network, &BOUNDS).await;
        let before = pair.follower.link.call_count();

        registry.write("i-0", value);
        let gone = pair.follower.deregistered("i-0", BOUND).await;
        registry.write("i-0", b"desk 3");
        let back = pair.follower.events_within(BOUND / 2).await;

        assert!(gone.is_some_and(|time| time < BOUND * 6 / 10), "{gone:?}");
        assert!(
            matches!(&*back, [(ForwardEvent::UpstreamRegistered(_), _)]),
            "{back:?}"
        );
        assert_eq!(pair.follower.link.call_count(), before);
    }
}

/// Guards against a node that relays a configuration which it can't read as confirmed.
#[actix_rt::test]
async fn reader_of_an_unreadable_configuration_confirms_nothing() {
    let registry = FakeRegistry::with_instances(3);
    registry.write(CONFIGURATION, b"1");
    let pair = start_pair(&registry, 121, &BOUNDS).await;
    let before = pair.follower.link.call_count();

    registry.write(CONFIGURATION, UNREADABLE);
    tokio::time::sleep(BOUND).await;

    assert!(pair.follower.link.call_count() > before);
    let reply = poll(pair.reader_address, 0).await;
    assert_eq!(reply.ages, RelayAges::default());
}

type Polls = Framed<TcpStream, FollowerCodec>;

async fn connect(reader: SocketAddr) -> Polls {
    let stream = TcpStream::connect(reader).await.expect("a reader listens");
    Framed::new(stream, FollowerCodec::default())
}

/// Polls for a reply at once, with everything up to `after` known; `None` if the reader closes the connection.
async fn next_reply(polls: &mut Polls, after: u64) -> Option<RegistryReply> {
    let wait = Duration::ZERO;
    polls.send(RegistryPoll { after, wait }).await.ok()?;
    polls.next().await?.ok()
}

/// Polls a reader once.
async fn poll(reader: SocketAddr, after: u64) -> RegistryReply {
    let reply = next_reply(&mut connect(reader).await, after).await;
    reply.expect("a reply")
}

/// Guards against a reader that holds connections and tasks without bound, and against one that doesn't take followers any
/// more after others have left.
#[actix_rt::test]
async fn followers_of_a_node_are_bounded() {
    let registry = FakeRegistry::with_instances(3);
    let listener = TcpListener::bind("127.81.0.181:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let _reader = Node::start(&registry, listener, None, &BOUNDS);
    let mut followers = Vec::new();
    for _ in 0..MAX_FOLLOWERS {
        followers.push(connect(address).await);
        assert!(
            next_reply(followers.last_mut().expect("one"), 0)
                .await
                .is_some()
        );
    }

    let turned_away = next_reply(&mut connect(address).await, 0).await;
    followers.clear();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let taken = next_reply(&mut connect(address).await, 0).await;

    assert!(turned_away.is_none() && taken.is_some());
}

/// Guards against a follower that confirms a configuration which the registry no longer has, and against a starting node
/// that doesn't get the configuration in force from others.
#[actix_rt::test]
async fn deleted_configuration_is_only_in_snapshots() {
    let registry = FakeRegistry::with_instances(1);
    registry.write(CONFIGURATION, b"1");
    let pair = start_pair(&registry, 201, &BOUNDS).await;
    let known = registry.revision();
    registry.remove(CONFIGURATION);
    tokio::time::sleep(BOUND / 2).await;

    let stream = TcpStream::connect(pair.reader_address).await;
    let mut snapshots = Framed::new(stream.expect("listening"), SnapshotClientCodec::default());
    let request = SnapshotRequest { after: 0 };
    snapshots.send(request).await.expect("connected");
    let snapshot = snapshots.next().await.expect("a reply").expect("valid");
    let all = poll(pair.reader_address, 0).await;
    let changes = poll(pair.reader_address, known).await;

    let has = |snapshot: &Snapshot| {
        let mut items = snapshot.items.iter();
        items.any(|item| &*item.key == CONFIGURATION)
    };
    assert!(has(&snapshot) && !has(&all.snapshot));
    let removed: Vec<_> = changes
        .removals
        .iter()
        .map(|removal| &*removal.key)
        .collect();
    assert_eq!(removed, [CONFIGURATION]);
    assert_eq!(all.ages.configuration_ms, None);
}

/// Guards against a follower that misses changes which its reader no longer has the history of.
#[actix_rt::test]
async fn reader_without_the_history_sends_all_items() {
    let registry = FakeRegistry::with_instances(3);
    let pair = start_pair(&registry, 131, &BOUNDS).await;
    let known = registry.revision();
    registry.write("i-3", b"desk 1");
    tokio::time::sleep(BOUND / 2).await;

    let changes = poll(pair.reader_address, known).await;
    registry.forget_history();
    registry.remove("i-0");
    tokio::time::sleep(BOUND).await;
    let all = poll(pair.reader_address, known).await;

    assert!(changes.changes_only && changes.snapshot.items.len() == 1);
    assert!(!all.changes_only);
    let keys: Vec<_> = all.snapshot.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["i-1", "i-2", "i-3"]);
}

/// Guards against upstreams that a follower drops because their leases expired during an outage of the registry, and
/// against ones that it keeps for good.
#[actix_rt::test]
async fn entries_that_expire_in_an_outage_are_kept_by_followers() {
    for (network, fault) in [(141, Fault::Down), (151, Fault::Silent)] {
        let registry = FakeRegistry::with_instances(20);
        let mut pair = start_pair(&registry, network, &BOUNDS).await;
        registry.set_fault(fault);
        tokio::time::sleep(BOUND * 2).await;
        registry.remove("i-0");
        registry.remove("i-1");
        registry.set_fault(Fault::None);

        let early = BOUNDS
            .limits()
            .recovery_grace
            .saturating_sub(RENEWAL_MARGIN);
        let early = pair.follower.deregistered("i-0", early).await;
        registry.write("i-1", b"desk 2");
        let late = pair.follower.events_within(BOUND).await;

        assert_eq!(early, None, "{fault:?}");
        let gone: Vec<_> = late
            .iter()
            .filter(|(event, _)| matches!(event, ForwardEvent::UpstreamDeregistered(_)))
            .collect();
        assert!(
            matches!(&*gone, [(ForwardEvent::UpstreamDeregistered(gone), _)] if &**gone == "i-0"),
            "{fault:?}: {gone:?}"
        );
    }
}

/// Guards against a follower that serves an old view although its readers read the registry, because its own link to the
/// registry is cut.
#[actix_rt::test]
async fn follower_that_is_cut_off_uses_another_reader() {
    let registry = FakeRegistry::with_instances(3);
    let mut pair = start_pair(&registry, 161, &BOUNDS).await;
    for other in pair.others.drain(..) {
        let (view, _) = view_of(other.local_addr().expect("bound"), &pair.nodes);
        let node = Node::start(&registry, other, Some(view), &BOUNDS);
        actix_rt::spawn(async move {
            let _kept = node;
            std::future::pending::<()>().await;
        });
    }
    pair.follower.link.set_fault(Fault::Silent);
    pair.reader.link.set_fault(Fault::Down);

    tokio::time::sleep(BOUND * 2).await;
    registry.remove("i-0");
    let gone = pair.follower.deregistered("i-0", BOUND).await;

    assert!(gone.is_some_and(|time| time < BOUND), "{gone:?}");
}

/// Guards against keys that a follower accepts for longer than a confirmation by its reader allows, and against a sound
/// reader that doesn't confirm in time.
#[actix_rt::test]
async fn relayed_confirmations_have_the_age_of_the_readers_read() {
    let bounds = RegistryBounds {
        revoke: Some(BOUND),
        ..BOUNDS
    };
    let registry = FakeRegistry::with_instances(3);
    registry.write(CONFIGURATION, b"1");
    let mut pair = start_pair(&registry, 171, &bounds).await;
    let before = pair.follower.link.call_count();

    let sound = pair.follower.events_within(BOUND * 2).await;
    registry.remove(CONFIGURATION);
    pair.follower.events_within(BOUND / 2).await;
    let removed = pair.follower.events_within(BOUND * 2).await;

    let mut lease = KeyLease::new(bounds.revoke);
    let mut rests = Vec::new();
    let ended = Instant::now();
    let boot_now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let boot_now = Duration::try_from(boot_now).expect("not negative");
    for (event, received_at) in &sound {
        if let ForwardEvent::ConfigurationConfirmed { version: 1, at } = event {
            let received_at = BootTime::new(boot_now.saturating_sub(ended - *received_at));
            assert!(*at <= received_at);
            rests.extend(lease.time_left(received_at));
            lease.confirm(*at);
        }
    }
    assert!(rests.len() > 3, "{rests:?}");
    assert!(rests[1..].iter().all(|rest| !rest.is_zero()), "{rests:?}");
    let is_confirmation = |(event, _): &&(ForwardEvent, Instant)| {
        matches!(event, ForwardEvent::ConfigurationConfirmed { .. })
    };
    assert_eq!(removed.iter().filter(is_confirmation).count(), 0);
    assert_eq!(pair.follower.link.call_count(), before);
}

/// Nodes of the fleet in the test of the whole fleet, of which five read.
const LARGE_FLEET: usize = 40;

/// Starts a fleet whose nodes know each other. Returns the readers and the followers.
async fn start_large_fleet(registry: &FakeRegistry) -> (Vec<Node>, Vec<Node>) {
    let mut listeners = Vec::new();
    for _ in 0..LARGE_FLEET {
        let listener = TcpListener::bind("127.81.0.191:0").await;
        listeners.push(listener.expect("a free port"));
    }
    let address = |listener: &TcpListener| listener.local_addr().expect("bound");
    let nodes: Vec<_> = listeners.iter().map(address).collect();
    let (mut readers, mut followers) = (Vec::new(), Vec::new());
    for listener in listeners {
        let own = address(&listener);
        let (fleet, preferred) = view_of(own, &nodes);
        let node = Node::start(registry, listener, Some(fleet), &BOUNDS);
        if preferred.is_empty() {
            readers.push(node);
        } else {
            followers.push(node);
        }
    }
    tokio::time::sleep(BOUND).await;
    (readers, followers)
}

/// Guards against a fleet that calls the registry almost as often as one without followers, and against followers that act
/// late when all readers are killed at once.
#[actix_rt::test]
async fn large_fleet_needs_few_calls_and_survives_the_loss_of_all_readers() {
    let registry = FakeRegistry::with_instances(20);
    let (readers, mut followers) = start_large_fleet(&registry).await;
    let alone = TcpListener::bind("127.81.0.192:0").await;
    let alone = Node::start(&registry, alone.expect("a free port"), None, &BOUNDS);
    tokio::time::sleep(BOUND / 2).await;
    let before = (registry.calls().len(), alone.link.call_count());

    for seq in 2..22 {
        registry.write("i-1", format!("desk {seq}").as_bytes());
        tokio::time::sleep(BOUND / 10).await;
    }
    let calls_alone = alone.link.call_count() - before.1;
    let calls = registry.calls().len() - before.0 - calls_alone;
    for reader in &readers {
        reader.kill();
    }
    registry.remove("i-0");
    let mut latest = Duration::ZERO;
    let removed = Instant::now();
    for follower in &mut followers {
        follower.deregistered("i-0", BOUND).await;
        latest = latest.max(removed.elapsed());
    }

    println!("{calls} calls of {LARGE_FLEET} nodes, {calls_alone} of one alone; {latest:?}");
    assert_eq!(readers.len(), 5);
    assert!(
        calls * 5 <= calls_alone * LARGE_FLEET,
        "{calls}, {calls_alone}"
    );
    assert!(latest + BOUNDS.in_flight() <= BOUND, "{latest:?}");
}

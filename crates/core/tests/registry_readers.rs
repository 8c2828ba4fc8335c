//! Guards against fleets in which no node, or a follower without need, reads the registry.

use medlarpost_core::prelude::*;
use medlarpost_core::registry_readers::reader_count;
use std::{collections::BTreeMap as Map, net::SocketAddr};

const BOUND: Duration = Duration::from_secs(5);

fn limits() -> RegistryLimits {
    let bounds = RegistryBounds {
        contact: BOUND,
        drain: BOUND,
        config_apply: BOUND,
        evacuate: BOUND,
        revoke: None,
    };
    bounds.limits()
}

fn address(node: u32) -> SocketAddr {
    SocketAddr::from(([127, 81, 0, 1], 7_000 + node as u16))
}

/// The fleet as node `own` sees it, if it has heard of these nodes just now.
fn fleet(own: u32, nodes: impl Iterator<Item = u32>) -> RegistryFleet {
    let others = nodes.filter(|node| *node != own);
    let members: Vec<_> = others
        .map(|node| KnownMember {
            address: address(node),
            age: Duration::from_secs(1),
        })
        .collect();
    RegistryFleet {
        sighting: FleetSighting {
            own: address(own),
            size: Some(members.len() as u32 + 1),
            members,
        },
        is_stable: true,
    }
}

/// A node that has read the store and knows this fleet.
fn settled(fleet: &RegistryFleet) -> RegistryReaders {
    let mut readers = RegistryReaders::new().expect("the chart is valid");
    readers.handle_read(Timestamp::ZERO);
    readers.update_fleet(Some(fleet), &limits());
    readers
}

fn followed(readers: &mut RegistryReaders, now: Timestamp) -> Option<SocketAddr> {
    match readers.next_source(now) {
        RegistrySource::Store => None,
        RegistrySource::Reader(reader) => Some(reader),
    }
}

/// Guards against followers of nodes that don't read, more readers than intended, and readers with all the followers.
#[test]
fn every_fleet_has_the_intended_readers_and_all_others_follow_them() {
    for size in (1..=40).chain([70, 118, 300, 440]) {
        let mut reading = Vec::new();
        let mut followers: Map<SocketAddr, u32> = Map::new();
        for own in (0..size).step_by(if size > 40 { 7 } else { 1 }) {
            let mut readers = settled(&fleet(own, 0..size));
            match followed(&mut readers, Timestamp::ZERO) {
                None => reading.push(address(own)),
                Some(reader) => *followers.entry(reader).or_default() += 1,
            }
        }

        if size <= 40 {
            assert_eq!(reading.len() as u32, reader_count(size), "{size} nodes");
            assert!(followers.keys().all(|reader| reading.contains(reader)));
        }
        assert!(followers.len() as u32 <= reader_count(size));
        assert!(
            followers.values().all(|count| *count <= 24),
            "{followers:?}"
        );
    }
}

/// Guards against other behaviour of the deployments for which nothing may change.
#[test]
fn small_unknown_and_unstable_fleets_read() {
    let small = fleet(0, 0..8);
    let mut unknown = fleet(0, 0..100);
    unknown.sighting.size = None;
    for own in 0..20 {
        let unstable = RegistryFleet {
            is_stable: false,
            ..fleet(own, 0..100)
        };
        for fleet in [&small, &unknown, &unstable] {
            assert_eq!(followed(&mut settled(fleet), Timestamp::ZERO), None);
        }
    }
}

/// Number of a node of a fleet of this size that follows another one.
fn follower(size: u32) -> u32 {
    let mut nodes = 0..size;
    nodes
        .find(|own| followed(&mut settled(&fleet(*own, 0..size)), Timestamp::ZERO).is_some())
        .expect("a large fleet has followers")
}

/// Guards against a node that serves what a reader says before it has read the store itself.
#[test]
fn node_that_has_read_nothing_follows_nobody() {
    let fleet = fleet(follower(40), 0..40);
    let mut readers = RegistryReaders::new().expect("the chart is valid");
    readers.update_fleet(Some(&fleet), &limits());

    readers.handle_relayed_read(Timestamp::ZERO);

    assert_eq!(followed(&mut readers, Timestamp::ZERO), None);
    readers.handle_read(Timestamp::ZERO);
    assert!(followed(&mut readers, Timestamp::ZERO).is_some());
}

/// Guards against a follower that returns to the reader that has just failed it, or does not read the store first.
#[test]
fn follower_reads_after_an_expiry_and_then_follows_another_reader() {
    let mut readers = settled(&fleet(follower(40), 0..40));
    let first = followed(&mut readers, Timestamp::ZERO);

    readers.handle_expiry(Timestamp::ZERO);
    let overdue = followed(&mut readers, Timestamp::ZERO);
    readers.handle_read(Timestamp::ZERO);
    let second = followed(&mut readers, Timestamp::ZERO);

    assert_eq!(overdue, None);
    assert!(second.is_some() && second != first);
}

/// Guards against followers that connect to one dead reader after the other instead of reading the store.
#[test]
fn follower_that_loses_two_readers_reads_the_store() {
    let mut readers = settled(&fleet(follower(40), 0..40));
    let first = followed(&mut readers, Timestamp::ZERO);

    readers.handle_reader_lost(Timestamp::ZERO);
    let second = followed(&mut readers, Timestamp::ZERO);
    readers.handle_reader_lost(Timestamp::ZERO);

    assert!(second.is_some() && second != first);
    assert_eq!(followed(&mut readers, Timestamp::ZERO), None);
    assert_eq!(readers.state(), RegistrySourceState::Overdue);
}

/// Guards against a node that follows nobody, or a reader that is gone, when members join and leave.
#[test]
fn follower_keeps_its_reader_unless_that_leaves() {
    let own = follower(40);
    let mut readers = settled(&fleet(own, 0..40));
    let first = followed(&mut readers, Timestamp::ZERO).expect("a follower");

    let mut joined = fleet(own, 0..41);
    joined.is_stable = false;
    readers.update_fleet(Some(&joined), &limits());
    let after_join = readers.readers().contains(&first);
    let followed_after_join = followed(&mut readers, Timestamp::ZERO);
    let mut silent = joined.clone();
    for member in &mut silent.sighting.members {
        if Some(member.address) == followed_after_join {
            member.age = Duration::from_secs(40);
        }
    }
    readers.update_fleet(Some(&silent), &limits());
    let followed_after_loss = followed(&mut readers, Timestamp::ZERO);

    assert_eq!(after_join, followed_after_join == Some(first));
    assert!(followed_after_join.is_some());
    assert_ne!(followed_after_loss, followed_after_join);
}

/// Guards against fleets without readers when two halves of it have not heard of each other yet.
#[test]
fn two_views_of_the_fleet_only_add_readers() {
    let reading = |own: u32, nodes: std::ops::Range<u32>| {
        followed(&mut settled(&fleet(own, nodes)), Timestamp::ZERO).is_none()
    };
    let half = (0..30).filter(|own| reading(*own, 0..30)).count();
    let whole = (30..60).filter(|own| reading(*own, 0..60)).count();

    assert!(half >= 4 && half + whole >= reader_count(30) as usize);
}

/// Guards against ages that look younger than they are, after rounding and for clocks with different origins.
#[test]
fn relayed_times_are_never_later_than_the_read() {
    let at = |micros: u64| BootTime::new(Duration::from_micros(micros));
    // The reader's clock is 7 s ahead of the follower's, and the poll takes 3.3 ms.
    let ahead = 7_000_000;
    for read_at in [4_000_000, 4_999_499, 5_000_000, 5_003_300, 5_400_001] {
        let arrived_at = 5_003_300 + ahead;
        let age = RelayAges::age_ms(at(arrived_at), at(read_at + ahead));
        let timing = PollTiming {
            sent_at: at(5_000_000),
            answered_at: at(5_500_000),
        };

        let told = timing.time_of(age).expect("after the boot");

        assert!(told <= at(read_at), "{told:?} for {read_at}");
        assert!(at(read_at).since(told) <= Duration::from_micros(4_300));
    }
}

/// Guards against a read from before the boot of the follower's VM that counts as one at its boot.
#[test]
fn read_from_before_the_boot_has_no_time() {
    let timing = PollTiming {
        sent_at: BootTime::new(Duration::from_secs(2)),
        answered_at: BootTime::new(Duration::from_secs(2)),
    };

    assert_eq!(timing.time_of(2_001), None);
    assert_eq!(
        timing.time_of(i64::MIN.saturating_add(1)),
        Some(timing.answered_at)
    );
}

fn member(number: u32) -> Membership {
    Membership::new(MembershipSettings {
        address: address(number),
        seeds: vec![address(0), address(1)],
        initial_fleet_size: 8,
        seed: number.into(),
    })
}

/// Lets all nodes send one round of heartbeats, which arrive at once.
fn exchange_heartbeats(nodes: &mut [Membership], now: Timestamp) {
    for from in 0..nodes.len() {
        let (targets, heartbeat) = nodes[from].next_heartbeat(now);
        for target in targets {
            let to = usize::from(target.port() - 7_000);
            if let Some(answer) = nodes[to].handle_heartbeat(now, &heartbeat) {
                nodes[from].handle_heartbeat(now, &answer);
            }
        }
    }
}

/// Guards against fleets in which many more nodes read than intended, or that change their readers all the time, because
/// nodes hear of each other by chance.
#[test]
fn heartbeats_make_nodes_agree_on_the_readers() {
    for (size, step) in [(118, 4), (440, 20)] {
        let mut nodes: Vec<_> = (0..size).map(member).collect();
        let mut observed: Map<usize, RegistryReaders> = Map::new();
        let (mut reading, mut changes) = (0, 0);
        for second in 0..60 {
            let now = Timestamp::from_millis(second * 1_000);
            exchange_heartbeats(&mut nodes, now);
            if second < 45 {
                continue;
            }
            for number in (0..nodes.len()).step_by(step) {
                let fleet = nodes[number].registry_fleet(now);
                let readers = observed.entry(number).or_insert_with(|| settled(&fleet));
                let before = followed(readers, now);
                readers.update_fleet(Some(&fleet), &limits());
                let after = followed(readers, now);
                reading += usize::from(after.is_none());
                changes += usize::from(before != after);
            }
        }

        let observations = observed.len() * 15;
        println!("{size} nodes: {reading} reading and {changes} changes of {observations}");
        assert!(reading * 5 <= observations, "{reading} of {observations}");
        assert!(changes * 50 <= observations, "{changes} of {observations}");
    }
}

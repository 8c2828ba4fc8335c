//! Guards against majorities that shrink with the number of linked peers, against two links to one peer, and against
//! news that is duplicated, lost or kept without bound.

use medlarpost_core::{
    prelude::*,
    rendezvous::{Candidate, warm_up_owner},
};
use std::collections::HashSet;

fn node(name: &str) -> FleetNode {
    FleetNode {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        leaving: false,
    }
}

fn peer(name: &str, start: u64) -> Peer {
    Peer {
        name: name.to_owned(),
        start,
    }
}

fn id(number: u64) -> NewsId {
    NewsId {
        origin: "a".into(),
        start: 1,
        number,
    }
}

fn cold(started_at_ms: u64) -> News {
    News::Cold {
        upstream: "u".to_owned(),
        started_at_ms,
        round: 1,
    }
}

#[test]
fn majority_is_computed_from_the_published_list() {
    let mut fleet = Fleet::new("a");

    let unknown = fleet.peers_for_majority();
    let needed: Vec<_> = [1, 2, 3, 4, 5, 440]
        .into_iter()
        .map(|size| {
            let others = (1..size).map(|number| node(&format!("n{number}")));
            fleet.set_published_nodes(others.chain([node("a")]).collect());
            fleet.peers_for_majority()
        })
        .collect();

    assert_eq!(unknown, None);
    assert_eq!(needed, [1, 1, 1, 2, 2, 220].map(Some));
}

#[test]
fn unpublished_node_needs_a_majority_of_the_published_ones() {
    let mut fleet = Fleet::new("z");

    fleet.set_published_nodes(vec![node("a"), node("b"), node("c")]);

    assert_eq!(fleet.peers_for_majority(), Some(2));
}

#[test]
fn node_linked_to_too_few_peers_lacks_a_majority() {
    let mut fleet = Fleet::new("a");
    let unknown = fleet.lacks_majority();
    fleet.set_published_nodes(vec![node("a"), node("b"), node("c")]);

    let alone = fleet.lacks_majority();
    let (linked, _) = fleet.add_peer(peer("b", 1));
    let with_peer = fleet.lacks_majority();
    fleet.remove_peer(linked);

    assert_eq!((unknown, alone, with_peer), (false, true, false));
    assert!(fleet.lacks_majority());
}

#[test]
fn second_link_of_a_peer_replaces_the_first() {
    let mut fleet = Fleet::new("a");

    let (first, none) = fleet.add_peer(peer("b", 1));
    let (second, replaced) = fleet.add_peer(peer("b", 2));

    assert_eq!((none, replaced), (None, Some(first)));
    assert_eq!((fleet.peer_key("b"), fleet.peer_count()), (Some(second), 1));
}

#[test]
fn warm_up_owner_changes_only_when_the_owner_leaves() {
    let names: Vec<_> = (0..5).map(|n| format!("node-{n}")).collect();
    let nodes: Vec<_> = names
        .iter()
        .map(|node| Candidate { node, zone: "a" })
        .collect();
    let fewer = &nodes[..4];

    let all: Vec<_> = (0..200)
        .map(|u| warm_up_owner(&format!("u{u}"), &nodes))
        .collect();
    let left: Vec<_> = (0..200)
        .map(|u| warm_up_owner(&format!("u{u}"), fewer))
        .collect();

    let moved = all.iter().zip(&left).filter(|(a, b)| a != b);
    assert!(
        moved
            .into_iter()
            .all(|(before, _)| *before == Some("node-4"))
    );
    assert_eq!(all.iter().flatten().collect::<HashSet<_>>().len(), 5);
}

#[test]
fn news_is_stored_once_and_expires() {
    let retention = Duration::from_mins(1);
    let mut log = NewsLog::new(10, retention);
    let later = Timestamp::ZERO + retention;

    let first = log.insert(Timestamp::ZERO, id(1), cold(5));
    let repeated = log.insert(Timestamp::ZERO, id(1), cold(5));
    let same_content_again = log.insert(Timestamp::ZERO, id(2), cold(5));
    let kept = log.recent(Timestamp::ZERO).count();

    assert_eq!((first, repeated, same_content_again), (true, false, true));
    assert_eq!((kept, log.recent(later).count()), (2, 0));
}

#[test]
fn full_log_evicts_the_oldest_news() {
    let mut log = NewsLog::new(2, NewsLog::RETENTION);

    for number in 1..=3 {
        log.insert(Timestamp::ZERO, id(number), cold(number));
    }

    let kept: Vec<_> = log
        .recent(Timestamp::ZERO)
        .map(|(id, _)| id.number)
        .collect();
    assert_eq!((kept, log.len()), (vec![2, 3], 2));
}

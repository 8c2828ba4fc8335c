//! Guards against nodes that take the fleet for smaller than it is: the limits of upstreams are sums over all nodes.

use medlarpost_core::prelude::*;
use std::net::SocketAddr;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + node as u16))
}

fn node(number: usize, seeds: &[usize]) -> Membership {
    Membership::new(MembershipSettings {
        address: address(number),
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        assumed_fleet: 8,
        seed: number as u64,
    })
}

/// Lets each node that `runs` send one round of heartbeats, which arrive at once.
fn exchange_heartbeats(nodes: &mut [Membership], now: Timestamp, runs: impl Fn(usize) -> bool) {
    for from in (0..nodes.len()).filter(|node| runs(*node)) {
        let (targets, heartbeat) = nodes[from].next_heartbeat(now);
        for to in (0..nodes.len()).filter(|node| runs(*node)) {
            if targets.contains(&address(to))
                && let Some(answer) = nodes[to].handle_heartbeat(now, &heartbeat)
            {
                nodes[from].handle_heartbeat(now, &answer);
            }
        }
    }
}

/// Guards against a large fleet that never learns of all its nodes.
#[test]
fn nodes_that_know_one_seed_find_all_others() {
    let mut nodes: Vec<_> = (0..40).map(|number| node(number, &[0])).collect();

    for second in 0..4 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    let now = Timestamp::from_millis(4_000);
    let sizes: Vec<_> = nodes.iter_mut().map(|node| node.fleet_size(now)).collect();
    assert_eq!(sizes, [40; 40]);
}

/// Guards against a node that takes all of each limit because it has just started and hears nobody.
#[test]
fn a_node_that_hears_nobody_assumes_others() {
    let mut alone = node(0, &[1, 2]);

    assert_eq!(alone.fleet_size(Timestamp::from_millis(60_000)), 8);
}

/// Guards against both sides of a cut that use the whole limit each.
#[test]
fn a_cut_does_not_shrink_the_fleet() {
    let mut nodes: Vec<_> = (0..4).map(|number| node(number, &[0, 1])).collect();
    for second in 0..3 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    for second in 3..30 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |node| {
            node != 0
        });
    }

    let now = Timestamp::from_millis(30_000);
    assert_eq!((nodes[0].fleet_size(now), nodes[1].fleet_size(now)), (4, 4));
}

/// Guards against a node that is gone for good but is merged on from one node to the next for ever.
#[test]
fn a_node_that_is_gone_is_forgotten() {
    let mut nodes: Vec<_> = (0..4).map(|number| node(number, &[0, 1])).collect();
    for second in 0..3 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    for second in 3..80 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |node| {
            node != 3
        });
    }

    assert_eq!(nodes[1].fleet_size(Timestamp::from_millis(80_000)), 3);
}

/// Guards against a fleet of the design size in which beats name too few nodes for all to be known.
#[test]
fn nodes_of_the_design_size_find_all_others_within_seconds() {
    let mut nodes: Vec<_> = (0..440).map(|number| node(number, &[0, 1, 2])).collect();

    for second in 0..30 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    let now = Timestamp::from_millis(30_000);
    let smallest = nodes.iter_mut().map(|node| node.fleet_size(now)).min();
    assert_eq!(smallest, Some(440));
}

/// Guards against a node that has nobody to ask while the registry is away: at its start, and once it knows others.
#[test]
fn helpers_are_the_seeds_until_another_node_is_heard() {
    let mut nodes = [node(0, &[0, 1]), node(1, &[0])];
    let first = nodes[0].contacts();

    exchange_heartbeats(&mut nodes, Timestamp::from_millis(1_000), |_| true);

    assert_eq!(first, [address(1)]);
    assert_eq!(nodes[1].contacts(), [address(0)]);
}

/// Guards against nodes that each let a request crash upstreams which another has already barred.
#[test]
fn all_nodes_are_told_of_a_barred_request_once() {
    let mut nodes: Vec<_> = (0..40).map(|number| node(number, &[0])).collect();
    let digest = Digest::of(b"request");
    for second in 0..4 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }
    nodes[7].bar_request(Timestamp::from_millis(4_000), digest);

    let mut merged = vec![0; nodes.len()];
    for second in 4..9 {
        let now = Timestamp::from_millis(second * 1_000);
        for from in 0..nodes.len() {
            let (targets, heartbeat) = nodes[from].next_heartbeat(now);
            for to in (0..nodes.len()).filter(|to| targets.contains(&address(*to))) {
                merged[to] += nodes[to].merge_barred(now, &heartbeat).len();
            }
        }
    }

    merged.remove(7);
    assert_eq!(merged, [1; 39]);
}

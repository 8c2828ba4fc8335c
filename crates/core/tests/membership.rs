//! Guards against nodes that underestimate the size of the fleet and so exceed the limits of upstreams, which are sums
//! over all nodes.

use medlarpost_core::prelude::*;
use std::net::SocketAddr;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + node as u16))
}

fn node(number: usize, seeds: &[usize]) -> Membership {
    Membership::new(MembershipSettings {
        address: address(number),
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        initial_fleet_size: 8,
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

/// Guards against a fleet larger than the fan-out in which some nodes are never known.
#[test]
fn nodes_with_one_common_seed_find_all_others() {
    let mut nodes: Vec<_> = (0..40).map(|number| node(number, &[0])).collect();

    for second in 0..4 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    let now = Timestamp::from_millis(4_000);
    let sizes: Vec<_> = nodes.iter_mut().map(|node| node.fleet_size(now)).collect();
    assert_eq!(sizes, [40; 40]);
}

/// Guards against a node that uses all of each limit because it has just started and knows no other node.
#[test]
fn isolated_node_assumes_the_configured_fleet_size() {
    let mut alone = node(0, &[1, 2]);

    assert_eq!(alone.fleet_size(Timestamp::from_millis(60_000)), 8);
}

/// Guards against both sides of a network partition using the whole limit each.
#[test]
fn partition_does_not_shrink_the_known_fleet() {
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

/// Guards against nodes that keep passing on a member that has gone for good.
#[test]
fn departed_node_is_removed() {
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

/// Guards against a fleet of the design size in which heartbeats list too few members for all to become known.
#[test]
fn fleet_of_the_design_size_is_known_to_all_nodes_within_30_s() {
    let mut nodes: Vec<_> = (0..440).map(|number| node(number, &[0, 1, 2])).collect();

    for second in 0..30 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }

    let now = Timestamp::from_millis(30_000);
    let smallest = nodes.iter_mut().map(|node| node.fleet_size(now)).min();
    assert_eq!(smallest, Some(440));
}

/// Guards against a node without contacts while the registry is away, at its start and once it knows other nodes.
#[test]
fn contacts_are_the_seeds_until_another_node_is_known() {
    let mut nodes = [node(0, &[0, 1]), node(1, &[0])];
    let first = nodes[0].contacts();

    exchange_heartbeats(&mut nodes, Timestamp::from_millis(1_000), |_| true);

    assert_eq!(first, [address(1)]);
    assert_eq!(nodes[1].contacts(), [address(0)]);
}

/// Guards against nodes that let a request crash upstreams although another node has already quarantined it.
#[test]
fn quarantined_request_reaches_each_node_once() {
    let mut nodes: Vec<_> = (0..40).map(|number| node(number, &[0])).collect();
    let digest = Digest::of(b"request");
    for second in 0..4 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }
    nodes[7].quarantine_request(Timestamp::from_millis(4_000), digest);

    let mut merged = vec![0; nodes.len()];
    for second in 4..9 {
        let now = Timestamp::from_millis(second * 1_000);
        for from in 0..nodes.len() {
            let (targets, heartbeat) = nodes[from].next_heartbeat(now);
            for to in (0..nodes.len()).filter(|to| targets.contains(&address(*to))) {
                merged[to] += nodes[to].merge_quarantined(now, &heartbeat).len();
            }
        }
    }

    merged.remove(7);
    assert_eq!(merged, [1; 39]);
}

fn notice(kind: NoticeKind) -> UpstreamNotice {
    UpstreamNotice {
        instance: "i-1".into(),
        started_at_ms: 1,
        kind,
        age: Duration::ZERO,
    }
}

/// Guards against nodes that go on using an upstream that has told another node that it is leaving, and against notices
/// that circulate for ever.
#[test]
fn notice_reaches_each_node_once() {
    let mut nodes: Vec<_> = (0..40).map(|number| node(number, &[0])).collect();
    for second in 0..4 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }
    let start = Timestamp::from_millis(4_000);
    nodes[7].announce_notice(start, notice(NoticeKind::Leaving));
    let mut heard = vec![0; nodes.len()];

    for second in 4..30 {
        let now = Timestamp::from_millis(second * 1_000);
        for from in 0..nodes.len() {
            let (targets, heartbeat) = nodes[from].next_heartbeat(now);
            for to in 0..nodes.len() {
                if targets.contains(&address(to)) {
                    heard[to] += nodes[to].merge_notices(now, &heartbeat).len();
                }
            }
        }
    }

    let missed = heard.iter().filter(|count| **count == 0).count();
    assert!(
        missed <= 1,
        "only the announcing node has not heard: {heard:?}"
    );
    assert!(heard.iter().all(|count| *count <= 1), "{heard:?}");
}

/// Guards against a rest that starts anew at each node that passes the notice on.
#[test]
fn passed_on_rest_gets_shorter_with_time() {
    let mut nodes = [node(0, &[0, 1]), node(1, &[0])];
    exchange_heartbeats(&mut nodes, Timestamp::from_millis(1_000), |_| true);
    let (left, left_later) = (Duration::from_secs(5), Duration::from_secs(3));
    nodes[0].announce_notice(
        Timestamp::from_millis(2_000),
        notice(NoticeKind::Resting { left }),
    );

    let now = Timestamp::from_millis(4_000);
    let (_, heartbeat) = nodes[0].next_heartbeat(now);
    let heard = nodes[1].merge_notices(now, &heartbeat);

    assert_eq!(
        (heard[0].kind, heard[0].age),
        (
            NoticeKind::Resting { left: left_later },
            Duration::from_secs(2)
        )
    );
}

/// Guards against control traffic that grows with the square of the fleet, and against members that are forgotten
/// because heartbeats list too few of them.
#[test]
fn stable_fleet_lists_few_members_and_forgets_none() {
    for count in [5, 118] {
        let mut nodes: Vec<_> = (0..count).map(|number| node(number, &[0, 1, 2])).collect();
        for second in 0..30 {
            exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
        }
        let mut smallest = u32::MAX;
        let mut longest_list = 0;

        for second in 30..120 {
            let now = Timestamp::from_millis(second * 1_000);
            exchange_heartbeats(&mut nodes, now, |_| true);
            let sizes = nodes.iter_mut().map(|node| node.fleet_size(now)).min();
            smallest = smallest.min(sizes.unwrap_or_default());
            let (_, heartbeat) = nodes[3].next_heartbeat(now);
            longest_list = longest_list.max(heartbeat.known_members.len());
        }

        assert_eq!(smallest, count as u32);
        assert!(
            longest_list <= (count / 10).max(8),
            "{longest_list} of {count}"
        );
    }
}

/// Guards against a node that joins a stable fleet and learns of the others only a few at a time.
#[test]
fn joining_node_gets_a_long_list() {
    let mut nodes: Vec<_> = (0..60).map(|number| node(number, &[0])).collect();
    for second in 0..30 {
        exchange_heartbeats(&mut nodes, Timestamp::from_millis(second * 1_000), |_| true);
    }
    let now = Timestamp::from_millis(30_000);
    let mut joining = node(60, &[0]);

    let (_, heartbeat) = joining.next_heartbeat(now);
    let answer = nodes[0]
        .handle_heartbeat(now, &heartbeat)
        .expect("the joining node asks for an answer");

    assert!(
        answer.known_members.len() >= 50,
        "{}",
        answer.known_members.len()
    );
}

//! Guards against nodes that revert to an older configuration, that serve without a recent confirmation, or that differ
//! from the table of joining and freshness in docs/design.md. `resumed` nodes were suspended for longer than a
//! confirmation is valid.

mod common;

use common::fleet_sim::{FRESHNESS, FleetSim, JOIN_WAIT};
use medlarpost_core::prelude::*;

/// Long enough for the fleet to handle all consequences of a change.
const SETTLE_TIME: Duration = Duration::from_secs(10);

fn running_fleet(nodes: usize) -> FleetSim {
    let mut sim = FleetSim::new(nodes, 1);
    sim.publish(5);
    sim.run(SETTLE_TIME);
    assert!(sim.all_serve(5), "the fixture serves version 5");
    sim
}

fn agreement(min_version: u64) -> ConfigAgreement {
    let settings = ConfigAgreementSettings {
        freshness: FRESHNESS,
        join_wait: JOIN_WAIT,
        min_version,
    };
    ConfigAgreement::new(settings, Timestamp::ZERO).expect("the chart is valid")
}

fn fleet_of(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(names[0]);
    let node = |name: &&str| FleetNode {
        name: (*name).to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        leaving: false,
    };
    fleet.set_published_nodes(names.iter().map(node).collect());
    fleet
}

fn available_bundle(version: u64, content: &str) -> ConfigAgreementInput {
    let digest = Digest::of(content.as_bytes());
    ConfigAgreementInput::BundleAvailable { version, digest }
}

#[test]
fn platform_up_isolated_running_node_keeps_serving() {
    let mut sim = running_fleet(5);

    sim.isolate(0);
    sim.run(SETTLE_TIME);

    assert_eq!(sim.served_version(0), Some(5));
}

#[test]
fn platform_up_restarted_node_waits_for_a_majority_or_the_join_wait() {
    let mut connected = running_fleet(5);
    let mut isolated = running_fleet(5);

    connected.restart(0);
    connected.run(JOIN_WAIT / 2);
    isolated.isolate(0);
    isolated.restart(0);
    isolated.run(JOIN_WAIT / 2);
    let before_join_wait = isolated.served_version(0);
    isolated.run(JOIN_WAIT);

    assert_eq!(connected.served_version(0), Some(5));
    assert_eq!(
        (before_join_wait, isolated.served_version(0)),
        (None, Some(5))
    );
}

#[test]
fn platform_up_resumed_node_refuses_work_until_the_first_confirmation() {
    let mut sim = running_fleet(5);

    sim.pause(0);
    sim.run(FRESHNESS * 2);
    let paused = sim.is_within_freshness(0);
    sim.resume(0);
    let resumed = sim.served_version(0);
    sim.run(SETTLE_TIME);

    assert_eq!(
        (paused, resumed, sim.served_version(0)),
        (false, None, Some(5))
    );
}

#[test]
fn stale_platform_majority_confirms_a_running_node() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.run(SETTLE_TIME);

    assert!(sim.all_serve(5));
}

#[test]
fn stale_platform_restarted_node_adopts_the_version_of_a_majority() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.restart(0);
    sim.run(SETTLE_TIME);

    assert_eq!(sim.served_version(0), Some(5));
}

#[test]
fn stale_platform_resumed_node_refuses_work_until_a_majority_confirms() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.pause(0);
    sim.run(FRESHNESS * 2);
    sim.resume(0);
    let resumed = sim.served_version(0);
    sim.run(SETTLE_TIME);

    assert_eq!((resumed, sim.served_version(0)), (None, Some(5)));
}

#[test]
fn stale_platform_minority_and_its_resumed_node_refuse_work() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.partition(&[0, 1]);
    sim.pause(1);
    sim.run(FRESHNESS * 2);
    sim.resume(1);
    sim.run(SETTLE_TIME);

    assert_eq!((sim.served_version(0), sim.served_version(1)), (None, None));
    assert_eq!(sim.served_version(2), Some(5));
}

#[test]
fn stale_platform_isolated_restarted_node_serves_the_stale_version_after_the_join_wait() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.isolate(0);
    sim.restart(0);
    sim.run(JOIN_WAIT / 2);
    let before_join_wait = sim.served_version(0);
    sim.run(JOIN_WAIT);
    let after_join_wait = sim.served_version(0);
    sim.heal();
    sim.run(SETTLE_TIME);

    assert_eq!((before_join_wait, after_join_wait), (None, Some(4)));
    assert_eq!(sim.served_version(0), Some(5));
}

#[test]
fn platform_down_only_the_majority_side_of_a_partition_serves() {
    let mut sim = running_fleet(5);

    sim.stop_platform();
    sim.partition(&[0, 1]);
    sim.run(SETTLE_TIME);

    assert_eq!((sim.served_version(0), sim.served_version(1)), (None, None));
    assert_eq!(
        (sim.served_version(2), sim.served_version(4)),
        (Some(5), Some(5))
    );
}

#[test]
fn platform_down_restarted_node_serves_only_with_a_majority() {
    let mut majority = running_fleet(5);
    let mut minority = running_fleet(5);

    majority.stop_platform();
    majority.restart(0);
    majority.run(SETTLE_TIME);
    minority.stop_platform();
    minority.partition(&[0, 1]);
    minority.restart(0);
    minority.run(SETTLE_TIME);

    assert_eq!(majority.served_version(0), Some(5));
    assert_eq!(minority.served_version(0), None);
}

#[test]
fn platform_down_resumed_node_refuses_work_until_a_majority_confirms() {
    let mut sim = running_fleet(5);

    sim.stop_platform();
    sim.pause(0);
    sim.run(FRESHNESS * 2);
    sim.resume(0);
    let resumed = sim.served_version(0);
    sim.run(SETTLE_TIME);

    assert_eq!((resumed, sim.served_version(0)), (None, Some(5)));
}

#[test]
fn whole_fleet_restarted_with_a_stale_platform_reverts_unless_min_version_forbids_it() {
    let mut unprotected = running_fleet(4);
    let mut protected = running_fleet(4);

    unprotected.make_stale(4);
    unprotected.restart_all(0);
    unprotected.run(SETTLE_TIME);
    protected.make_stale(4);
    protected.restart_all(5);
    protected.run(SETTLE_TIME);

    assert!(unprotected.all_serve(4));
    assert!((0..4).all(|node| protected.served_version(node).is_none()));
}

#[test]
fn second_bundle_with_the_active_version_is_a_conflict() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a"]);
    let mut outputs = Vec::new();

    for input in [
        available_bundle(5, "one"),
        available_bundle(5, "one"),
        available_bundle(5, "two"),
    ] {
        agreement.handle(Timestamp::ZERO, &fleet, input, &mut outputs);
    }

    assert_eq!(
        outputs,
        [
            ConfigAgreementOutput::Adopt(5),
            ConfigAgreementOutput::Conflict(5)
        ]
    );
}

#[test]
fn bundle_below_the_minimum_is_neither_adopted_nor_requested() {
    let mut agreement = agreement(6);
    let mut fleet = fleet_of(&["a", "b"]);
    let (peer, _) = fleet.add_peer(Peer {
        name: "b".to_owned(),
        start: 1,
    });
    let (version, asked) = (5, Timestamp::ZERO);
    let report = ConfigAgreementInput::PeerVersion {
        peer,
        version,
        asked,
    };
    let mut outputs = Vec::new();

    agreement.handle(Timestamp::ZERO, &fleet, report, &mut outputs);
    agreement.handle(
        Timestamp::ZERO,
        &fleet,
        available_bundle(5, "one"),
        &mut outputs,
    );

    assert_eq!((outputs, agreement.version()), (Vec::new(), 0));
}

#[test]
fn peer_that_does_not_deliver_does_not_delay_the_others() {
    let mut agreement = agreement(0);
    let mut fleet = fleet_of(&["a", "b", "c"]);
    let mut link = |name: &str| {
        let name = name.to_owned();
        fleet.add_peer(Peer { name, start: 1 }).0
    };
    let (silent, delivering) = (link("b"), link("c"));
    let mut asked_peers = Vec::new();

    for second in 0..4 {
        let asked = Timestamp::from_millis(second * 1_000);
        for (peer, version) in [(silent, 99 + second), (delivering, 7)] {
            let mut outputs = Vec::new();
            let report = ConfigAgreementInput::PeerVersion {
                peer,
                version,
                asked,
            };
            agreement.handle(asked, &fleet, report, &mut outputs);
            asked_peers.extend(outputs.iter().filter_map(|output| match output {
                ConfigAgreementOutput::RequestEnvelope { peer, .. } => Some(*peer),
                _ => None,
            }));
        }
    }

    assert_eq!(asked_peers, [silent, delivering, silent, delivering]);
}

#[test]
fn node_missing_from_the_published_list_does_not_count_for_a_majority() {
    let mut agreement = agreement(0);
    let mut fleet = fleet_of(&["a", "b", "c"]);
    let unlisted = Peer {
        name: "z".to_owned(),
        start: 1,
    };
    let (peer, _) = fleet.add_peer(unlisted);
    let (version, asked) = (5, Timestamp::ZERO);
    let mut outputs = Vec::new();

    agreement.handle(
        Timestamp::ZERO,
        &fleet,
        available_bundle(5, "one"),
        &mut outputs,
    );
    let report = ConfigAgreementInput::PeerVersion {
        peer,
        version,
        asked,
    };
    agreement.handle(Timestamp::ZERO, &fleet, report, &mut outputs);

    assert!(!agreement.is_fresh(Timestamp::ZERO));
}

#[test]
fn answer_that_waited_during_a_pause_confirms_nothing() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a"]);
    let resumed = Timestamp::ZERO + JOIN_WAIT + FRESHNESS;
    let mut outputs = Vec::new();

    agreement.handle(
        Timestamp::ZERO,
        &fleet,
        available_bundle(5, "one"),
        &mut outputs,
    );
    let answer = ConfigAgreementInput::PlatformVersion {
        version: 5,
        asked: Timestamp::ZERO,
    };
    agreement.handle(resumed, &fleet, answer, &mut outputs);

    assert!(!agreement.is_fresh(resumed));
}

/// A node whose first bundle was rejected can stay unconfirmed for long. A wake-up time in the past would make its
/// thread spin.
#[test]
fn unconfirmed_node_needs_no_wakeup_after_the_join_wait() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a", "b", "c"]);
    let before = agreement.next_wakeup();
    let join_wait_end = Timestamp::ZERO + JOIN_WAIT;

    agreement.handle(
        join_wait_end,
        &fleet,
        ConfigAgreementInput::Reevaluate,
        &mut Vec::new(),
    );

    assert_eq!(
        (before, agreement.next_wakeup()),
        (Some(join_wait_end), None)
    );
}

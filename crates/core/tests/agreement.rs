//! Guards against a configuration that reverts, against serving without a recent confirmation, and against cells of the
//! table of joining and freshness in docs/design.md that do something else than the table says.

mod common;

use common::fleet_sim::{F, JOIN_WAIT, Sim};
use medlarpost_core::prelude::*;

/// Time in which all inputs of a step are handled.
const SETTLED: Duration = Duration::from_secs(10);

fn running_fleet(nodes: usize) -> Sim {
    let mut sim = Sim::new(nodes, 1);
    sim.publish(5);
    sim.run(SETTLED);
    assert!(sim.all_serve(5), "the fixture serves version 5");
    sim
}

fn agreement(min_version: u64) -> ConfigAgreement {
    let settings = ConfigAgreementSettings {
        freshness: F,
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

fn offered(version: u64, content: &str) -> ConfigAgreementInput {
    let digest = Digest::of(content.as_bytes());
    ConfigAgreementInput::BundleAvailable { version, digest }
}

#[test]
fn platform_up_running_node_serves_alone() {
    let mut sim = running_fleet(5);

    sim.isolate(0);
    sim.run(SETTLED);

    assert_eq!(sim.serves(0), Some(5));
}

#[test]
fn platform_up_fresh_node_waits_for_a_majority_or_the_join_wait() {
    let mut among_peers = running_fleet(5);
    let mut alone = running_fleet(5);

    among_peers.restart(0);
    among_peers.run(JOIN_WAIT / 2);
    alone.isolate(0);
    alone.restart(0);
    alone.run(JOIN_WAIT / 2);
    let early = alone.serves(0);
    alone.run(JOIN_WAIT);

    assert_eq!(among_peers.serves(0), Some(5));
    assert_eq!((early, alone.serves(0)), (None, Some(5)));
}

#[test]
fn platform_up_woken_node_is_lapsed_until_the_first_confirmation() {
    let mut sim = running_fleet(5);

    sim.pause(0);
    sim.run(F * 2);
    let paused = sim.is_within_freshness(0);
    sim.wake(0);
    let woken = sim.serves(0);
    sim.run(SETTLED);

    assert_eq!((paused, woken, sim.serves(0)), (false, None, Some(5)));
}

#[test]
fn stale_platform_majority_confirms_a_running_node() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.run(SETTLED);

    assert!(sim.all_serve(5));
}

#[test]
fn stale_platform_fresh_node_adopts_the_version_of_a_majority() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.restart(0);
    sim.run(SETTLED);

    assert_eq!(sim.serves(0), Some(5));
}

#[test]
fn stale_platform_woken_node_is_lapsed_until_a_majority_confirms() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.pause(0);
    sim.run(F * 2);
    sim.wake(0);
    let woken = sim.serves(0);
    sim.run(SETTLED);

    assert_eq!((woken, sim.serves(0)), (None, Some(5)));
}

#[test]
fn stale_platform_minority_lapses_and_a_woken_node_stays_lapsed() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.partition(&[0, 1]);
    sim.pause(1);
    sim.run(F * 2);
    sim.wake(1);
    sim.run(SETTLED);

    assert_eq!((sim.serves(0), sim.serves(1)), (None, None));
    assert_eq!(sim.serves(2), Some(5));
}

#[test]
fn stale_platform_lone_fresh_node_serves_its_version_after_the_join_wait() {
    let mut sim = running_fleet(5);

    sim.make_stale(4);
    sim.isolate(0);
    sim.restart(0);
    sim.run(JOIN_WAIT / 2);
    let early = sim.serves(0);
    sim.run(JOIN_WAIT);
    let late = sim.serves(0);
    sim.heal();
    sim.run(SETTLED);

    assert_eq!((early, late), (None, Some(4)));
    assert_eq!(sim.serves(0), Some(5));
}

#[test]
fn platform_down_majority_serves_for_as_long_as_it_confirms() {
    let mut sim = running_fleet(5);

    sim.stop_platform();
    sim.partition(&[0, 1]);
    sim.run(SETTLED);

    assert_eq!((sim.serves(0), sim.serves(1)), (None, None));
    assert_eq!((sim.serves(2), sim.serves(4)), (Some(5), Some(5)));
}

#[test]
fn platform_down_fresh_node_adopts_only_after_a_majority_answered() {
    let mut majority = running_fleet(5);
    let mut minority = running_fleet(5);

    majority.stop_platform();
    majority.restart(0);
    majority.run(SETTLED);
    minority.stop_platform();
    minority.partition(&[0, 1]);
    minority.restart(0);
    minority.run(SETTLED);

    assert_eq!(majority.serves(0), Some(5));
    assert_eq!(minority.serves(0), None);
}

#[test]
fn platform_down_woken_node_is_lapsed_until_a_majority_confirms() {
    let mut sim = running_fleet(5);

    sim.stop_platform();
    sim.pause(0);
    sim.run(F * 2);
    sim.wake(0);
    let woken = sim.serves(0);
    sim.run(SETTLED);

    assert_eq!((woken, sim.serves(0)), (None, Some(5)));
}

#[test]
fn whole_fleet_that_restarts_against_a_stale_platform_reverts_unless_min_version_forbids_it() {
    let mut remembered_by_nobody = running_fleet(4);
    let mut guarded = running_fleet(4);

    remembered_by_nobody.make_stale(4);
    remembered_by_nobody.restart_all(0);
    remembered_by_nobody.run(SETTLED);
    guarded.make_stale(4);
    guarded.restart_all(5);
    guarded.run(SETTLED);

    assert!(remembered_by_nobody.all_serve(4));
    assert!((0..4).all(|node| guarded.serves(node).is_none()));
}

#[test]
fn second_bundle_with_the_version_in_force_stays_out() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a"]);
    let mut outputs = Vec::new();

    for input in [offered(5, "one"), offered(5, "one"), offered(5, "two")] {
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
    let said = ConfigAgreementInput::PeerVersion {
        peer,
        version,
        asked,
    };
    let mut outputs = Vec::new();

    agreement.handle(Timestamp::ZERO, &fleet, said, &mut outputs);
    agreement.handle(Timestamp::ZERO, &fleet, offered(5, "one"), &mut outputs);

    assert_eq!((outputs, agreement.version()), (Vec::new(), 0));
}

#[test]
fn peer_that_does_not_deliver_does_not_hold_up_the_others() {
    let mut agreement = agreement(0);
    let mut fleet = fleet_of(&["a", "b", "c"]);
    let mut link = |name: &str| {
        let name = name.to_owned();
        fleet.add_peer(Peer { name, start: 1 }).0
    };
    let (liar, honest) = (link("b"), link("c"));
    let mut asked_peers = Vec::new();

    for second in 0..4 {
        let asked = Timestamp::from_millis(second * 1_000);
        for (peer, version) in [(liar, 99 + second), (honest, 7)] {
            let mut outputs = Vec::new();
            let said = ConfigAgreementInput::PeerVersion {
                peer,
                version,
                asked,
            };
            agreement.handle(asked, &fleet, said, &mut outputs);
            asked_peers.extend(outputs.iter().filter_map(|output| match output {
                ConfigAgreementOutput::RequestEnvelope { peer, .. } => Some(*peer),
                _ => None,
            }));
        }
    }

    assert_eq!(asked_peers, [liar, honest, liar, honest]);
}

#[test]
fn node_off_the_published_list_does_not_count_for_a_majority() {
    let mut agreement = agreement(0);
    let mut fleet = fleet_of(&["a", "b", "c"]);
    let stranger = Peer {
        name: "z".to_owned(),
        start: 1,
    };
    let (peer, _) = fleet.add_peer(stranger);
    let (version, asked) = (5, Timestamp::ZERO);
    let mut outputs = Vec::new();

    agreement.handle(Timestamp::ZERO, &fleet, offered(5, "one"), &mut outputs);
    let said = ConfigAgreementInput::PeerVersion {
        peer,
        version,
        asked,
    };
    agreement.handle(Timestamp::ZERO, &fleet, said, &mut outputs);

    assert!(!agreement.is_fresh(Timestamp::ZERO));
}

#[test]
fn answer_that_waited_while_the_process_was_paused_confirms_nothing() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a"]);
    let woken = Timestamp::ZERO + JOIN_WAIT + F;
    let mut outputs = Vec::new();

    agreement.handle(Timestamp::ZERO, &fleet, offered(5, "one"), &mut outputs);
    let answer = ConfigAgreementInput::PlatformVersion {
        version: 5,
        asked: Timestamp::ZERO,
    };
    agreement.handle(woken, &fleet, answer, &mut outputs);

    assert!(!agreement.is_fresh(woken));
}

/// A node whose first bundle was refused stays in this state for long; its thread must not spin.
#[test]
fn unconfirmed_node_asks_for_no_wakeup_after_the_join_wait() {
    let mut agreement = agreement(0);
    let fleet = fleet_of(&["a", "b", "c"]);
    let before = agreement.next_wakeup();
    let over = Timestamp::ZERO + JOIN_WAIT;

    agreement.handle(
        over,
        &fleet,
        ConfigAgreementInput::Reevaluate,
        &mut Vec::new(),
    );

    assert_eq!((before, agreement.next_wakeup()), (Some(over), None));
}

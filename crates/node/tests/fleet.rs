//! Guards against nodes that revert to an older bundle, miss a newer one, activate one that not all owners have signed,
//! run a booking twice, or link to nodes without the fleet key.

mod common;

use common::test_fleet::{FleetBuilder, run_test, wait_until};
use std::time::Duration;

/// Longer than any test runs, so that a node can serve only after it has heard from a majority.
const NEVER: Duration = Duration::from_mins(10);

#[test]
fn published_change_is_in_force_on_all_nodes() {
    run_test(async {
        let fleet = FleetBuilder::new().start().await;

        fleet.publish(&fleet.main_platform, 2);

        for node in 0..3 {
            fleet.wait_until_serving(node, 2).await;
        }
    });
}

#[test]
fn node_with_a_stale_platform_gets_the_change_from_a_peer() {
    run_test(async {
        let mut fleet = FleetBuilder::new().start().await;
        let stale = fleet.start_platform(1);
        fleet.stop(2).await;
        fleet.restart(2, stale.address()).await;
        fleet.wait_until_serving(2, 1).await;

        fleet.publish(&fleet.main_platform, 2);

        fleet.wait_until_serving(2, 2).await;
    });
}

#[test]
fn node_restarted_against_a_stale_platform_does_not_revert() {
    run_test(async {
        let mut fleet = FleetBuilder::new().join_wait(NEVER).start().await;
        fleet.publish(&fleet.main_platform, 2);
        for node in 0..3 {
            fleet.wait_until_serving(node, 2).await;
        }
        let stale = fleet.start_platform(1);
        fleet.stop(0).await;

        fleet.restart(0, stale.address()).await;

        wait_until("the node serves", async || {
            fleet.request_ticket(0).await.is_some()
        })
        .await;
        assert_eq!(fleet.metric(0, "medlarpost_bundle_version").await, 2);
    });
}

#[test]
fn node_restarted_without_a_platform_gets_the_bundle_and_the_node_list_from_its_peers() {
    run_test(async {
        let mut fleet = FleetBuilder::new().join_wait(NEVER).start().await;
        let down = fleet.stopped_platform();
        // The node with the smaller name dials first. Node 0 has the smallest but knows no addresses now.
        fleet.stop(0).await;

        fleet.restart(0, down).await;

        fleet.wait_until_serving(0, 1).await;
    });
}

#[test]
fn fleet_serves_without_a_platform_until_the_majority_is_gone() {
    run_test(async {
        let mut fleet = FleetBuilder::new().start().await;
        fleet.wait_for_metric(0, "medlarpost_links", 2).await;

        fleet.main_platform.silence();
        // Longer than a confirmation is valid, so that the nodes can serve only by the confirmations of peers.
        actix_rt::time::sleep(medlarpost_node::control_task::FRESHNESS_PERIOD * 2).await;
        for node in 0..3 {
            fleet.wait_until_serving(node, 1).await;
        }
        fleet.stop(1).await;
        fleet.stop(2).await;

        fleet.wait_until_refusing(0).await;
    });
}

#[test]
fn bundle_with_one_signature_is_refused_and_the_last_one_stays_in_force() {
    run_test(async {
        let fleet = FleetBuilder::new().start().await;

        fleet.publish_half_signed(&fleet.main_platform, 2);

        let refused = "medlarpost_bundles_refused_total";
        for node in 0..3 {
            fleet.wait_for_metric(node, refused, 1).await;
            fleet.wait_until_serving(node, 1).await;
        }
        fleet.publish(&fleet.main_platform, 3);
        fleet.wait_until_serving(0, 3).await;
    });
}

#[test]
fn booking_sent_through_another_node_runs_once() {
    run_test(async {
        let mut fleet = FleetBuilder::new().start().await;
        fleet.wait_for_metric(0, "medlarpost_links", 2).await;
        fleet.wait_for_booking_at(0).await;
        let ticket = fleet.request_ticket(0).await.expect("the node serves");

        let (first_status, first) = fleet.book_when_warm(1, &ticket).await;
        let (_, second) = fleet.book(2, &ticket).await;
        let (_, third) = fleet.book(0, &ticket).await;

        assert_eq!(
            (first_status, &first["replayed"]),
            (200, &false.into()),
            "{first}"
        );
        assert_eq!(
            [&second["replayed"], &third["replayed"]],
            [&true; 2],
            "{second} {third}"
        );
        assert_eq!(fleet.take_booking_ids().len(), 1);
    });
}

#[test]
fn booking_for_an_unreachable_node_is_refused_with_an_unknown_outcome() {
    run_test(async {
        let mut fleet = FleetBuilder::new().start().await;
        let ticket = fleet.request_ticket(0).await.expect("the node serves");
        fleet.stop(0).await;
        let mut last = serde_json::Value::Null;

        wait_until("the link is gone", async || {
            let (status, reply) = fleet.book(1, &ticket).await;
            last = reply;
            status != 200 && last["type"] == "urn:medlarpost:refusal:ticket-start-gone"
        })
        .await;

        assert_eq!(last["execution"], "unknown");
        assert_eq!(fleet.take_booking_ids().len(), 0);
    });
}

#[test]
fn link_with_a_wrong_key_is_refused_and_counted() {
    run_test(async {
        let fleet = FleetBuilder::new().wrong_key(2).start().await;

        let refused = "medlarpost_links_refused_total{reason=\"wrong_key\"}";
        fleet.wait_for_metric(0, refused, 1).await;
        fleet.wait_for_metric(2, refused, 1).await;

        fleet.wait_for_metric(0, "medlarpost_links", 1).await;
        assert_eq!(fleet.metric(0, "medlarpost_links").await, 1);
        assert_eq!(fleet.metric(2, "medlarpost_links").await, 0);
    });
}

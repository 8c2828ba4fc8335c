//! Guards against limits outside their bounds, upstreams with two warm-up owners at a time, owners that change without
//! need, and a choice of replicas that ignores load.

use medlarpost_core::{
    prelude::*,
    rendezvous::{Candidate, connection_owners, warm_up_owner},
    replica_choice::{self, ReplicaLoad},
    upstream_chart::UpstreamMachine,
    upstream_limiter::{LoadSignal, UpstreamLimiter},
    warm_up_ownership::{HANDOVER_DELAY, WarmUpOwnership},
};
use proptest::{prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

fn signal() -> impl Strategy<Value = LoadSignal> {
    prop_oneof![
        (1_u64..200).prop_map(|ms| LoadSignal::Replied(Duration::from_millis(ms))),
        Just(LoadSignal::Shed),
        Just(LoadSignal::Silent),
    ]
}

fn view(published_nodes: u32, names: &[&str]) -> FleetView {
    FleetView {
        published_nodes,
        warm_up_owner_of: names.iter().map(|name| (*name).to_owned()).collect(),
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("node-{n}")).collect()
}

/// Assigns the nodes to three zones in turn.
fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let zones = ["a", "b", "c"];
    let numbered = names.iter().enumerate();
    numbered
        .map(|(n, node)| Candidate {
            node,
            zone: zones[n % zones.len()],
        })
        .collect()
}

fn load(in_flight: u32, latency_ms: u64, same_zone: bool) -> ReplicaLoad {
    ReplicaLoad {
        in_flight,
        slots: 3,
        latency: Some(Duration::from_millis(latency_ms)),
        reported: None,
        same_zone,
    }
}

#[test]
fn upstream_chart_loads() {
    let chart = Chart::<UpstreamMachine>::load();

    assert!(chart.is_ok(), "{chart:?}");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn limit_stays_between_one_and_its_ceiling(
        start in 0_u32..40,
        steps in prop::collection::vec((signal(), 0_u32..50, 0_u32..40), 1..200),
    ) {
        let mut limiter = UpstreamLimiter::new(start, 30);

        for (n, (signal, in_flight, ceiling)) in steps.into_iter().enumerate() {
            let now = Timestamp::from_millis(n as u64 * 10);
            let sent = now - Duration::from_millis(5);
            limiter.set_ceiling(ceiling);
            limiter.observe(now, sent, in_flight, Some(Duration::from_millis(20)), signal);

            prop_assert!((1..=ceiling.max(1)).contains(&limiter.limit()));
        }
    }

    #[test]
    fn removing_a_node_moves_only_the_warm_ups_that_it_owned(count in 2_usize..40, gone in 0_usize..40) {
        let all = names(count);
        let mut fewer = all.clone();
        let gone = fewer.remove(gone % count);

        for upstream in names(60) {
            let before = warm_up_owner(&upstream, &candidates(&all));
            let after = warm_up_owner(&upstream, &candidates(&fewer));

            prop_assert!(before == after || before == Some(gone.as_str()));
        }
    }

    #[test]
    fn owners_do_not_depend_on_the_list_order(count in 1_usize..30, wanted in 0_usize..6, turn in 0_usize..30) {
        let all = names(count);
        let list = candidates(&all);
        let mut rotated = list.clone();
        rotated.rotate_left(turn % count);

        prop_assert_eq!(warm_up_owner("u", &list), warm_up_owner("u", &rotated));
        prop_assert_eq!(connection_owners("u", "b", &list, wanted), connection_owners("u", "b", &rotated, wanted));
    }

    #[test]
    fn connection_owners_are_distinct_and_prefer_the_zone(count in 1_usize..30, wanted in 0_usize..6) {
        let all = names(count);
        let list = candidates(&all);

        let found = connection_owners("u", "b", &list, wanted);

        let mut unique = found.clone();
        unique.sort_unstable();
        unique.dedup();
        prop_assert_eq!(found.len(), wanted.min(count));
        prop_assert_eq!(unique.len(), found.len());
        let near = list.iter().filter(|candidate| candidate.zone == "b").count();
        let in_zone = found.iter().filter(|node| list.iter().any(|c| c.node == **node && c.zone == "b")).count();
        prop_assert!(in_zone + 1 >= wanted.min(near), "{found:?}");
    }
}

#[test]
fn warm_up_owners_are_spread_evenly() {
    let all = names(10);
    let list = candidates(&all);

    let mut counts = BTreeMap::new();
    for n in 0..2_500 {
        *counts
            .entry(warm_up_owner(&format!("upstream-{n}"), &list))
            .or_insert(0_u32) += 1;
    }

    // 250 on average; the standard deviation of a fair draw is 15.
    assert!(
        counts.values().all(|count| (175..=325).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn limit_decreases_once_for_attempts_in_flight_together() {
    let mut limiter = UpstreamLimiter::new(16, 30);
    let (sent, now) = (Timestamp::from_millis(1), Timestamp::from_millis(9));

    for _ in 0..16 {
        limiter.observe(now, sent, 16, None, LoadSignal::Shed);
    }

    assert_eq!(limiter.limit(), 11);
}

#[test]
fn gained_ownership_starts_after_the_handover_delay_and_a_lost_one_ends_at_once() {
    let mut warm_up_ownership = WarmUpOwnership::default();
    let (start, gained) = (Timestamp::ZERO, Timestamp::from_millis(10));
    warm_up_ownership.fleet_changed(start, &view(2, &["u1"]));

    warm_up_ownership.fleet_changed(gained, &view(2, &["u2"]));

    assert!(!warm_up_ownership.owns(gained + HANDOVER_DELAY, "u1"));
    assert!(!warm_up_ownership.owns(gained + HANDOVER_DELAY - Duration::from_millis(1), "u2"));
    assert!(warm_up_ownership.owns(gained + HANDOVER_DELAY, "u2"));
}

#[test]
fn list_of_one_other_node_gives_no_ownership() {
    let mut warm_up_ownership = WarmUpOwnership::default();

    warm_up_ownership.fleet_changed(Timestamp::ZERO, &view(1, &[]));

    assert!(!warm_up_ownership.owns(Timestamp::MAX, "u1"));
}

#[test]
fn ownership_of_a_single_node_starts_at_once_and_stays_when_others_join() {
    let mut warm_up_ownership = WarmUpOwnership::default();
    warm_up_ownership.fleet_changed(Timestamp::ZERO, &view(1, &["u1", "u2"]));

    warm_up_ownership.fleet_changed(Timestamp::ZERO, &view(2, &["u1"]));

    assert!(warm_up_ownership.owns(Timestamp::ZERO, "u1"));
    assert!(!warm_up_ownership.owns(Timestamp::ZERO + HANDOVER_DELAY, "u2"));
}

#[test]
fn choice_prefers_the_own_zone_unless_it_is_slower() {
    let mut rng = fastrand::Rng::with_seed(1);
    let equal = [load(0, 10, false), load(0, 10, true), load(0, 10, false)];
    let slower = [load(0, 10, false), load(0, 12, true)];

    let chosen = (0..50).map(|_| replica_choice::choose(&equal, &mut rng));
    let equal_choices: Vec<_> = chosen.collect();
    let slower_choice = replica_choice::choose(&slower, &mut rng);

    assert!(equal_choices.iter().all(|choice| *choice == Some(1)));
    assert_eq!(slower_choice, Some(0));
}

#[test]
fn misleading_load_report_weighs_less_than_slow_replies() {
    let mut rng = fastrand::Rng::with_seed(1);
    let reports_much = ReplicaLoad {
        reported: Some((1_000_000, Duration::ZERO)),
        ..load(0, 10, true)
    };
    let replies_slowly = ReplicaLoad {
        reported: Some((0, Duration::ZERO)),
        ..load(0, 20, true)
    };

    let choice = replica_choice::choose(&[replies_slowly, reports_much], &mut rng);

    assert_eq!(choice, Some(1));
}

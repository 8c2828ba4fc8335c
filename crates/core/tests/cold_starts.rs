//! Guards against overloading upstreams that have just started, and against new requests to a zone that is out, under
//! random schedules of restarts, broken links, lost platform access and changes of the bundle.

mod fixtures;
mod fleet_model;

use fleet_model::{Fault, FleetModel, WARM_UP_US};
use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use std::sync::OnceLock;

const NODES: usize = 4;
const UPSTREAMS: usize = 3;

/// Signed once, because signing would take most of the time of a run.
static BUNDLES: OnceLock<fleet_model::Bundles> = OnceLock::new();

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4_711),
        ..ProptestConfig::default()
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let node = 0..NODES;
    prop_oneof![
        20 => (node.clone(), 1_usize..12).prop_map(|(node, count)| Fault::Queries { node, count }),
        2 => (0..UPSTREAMS).prop_map(|upstream| Fault::Restart { upstream }),
        1 => (node.clone(), node.clone()).prop_map(|(a, b)| Fault::CutLink { a, b }),
        1 => Just(Fault::HealAll),
        1 => node.prop_map(|node| Fault::LosePlatform { node }),
        1 => (1_u8..1 << NODES).prop_map(|mask| Fault::Publish { mask }),
        1 => any::<bool>().prop_map(|out| Fault::ZoneAOut { out }),
    ]
}

/// Faults, each with the time since the previous one in milliseconds.
fn fault_schedule() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0_u64..300, any_fault()), 1..120)
}

fn simulate(policy: PolicyMode, seed: u64, faults: &[(u64, Fault)]) -> FleetModel {
    let bundles = BUNDLES.get_or_init(|| fleet_model::bundles(UPSTREAMS));
    let mut model = FleetModel::new(NODES, policy, seed, bundles.clone());
    let mut time = 1_000;
    for (gap, fault) in faults {
        time += gap * 1_000;
        model.fault_at(time, *fault);
    }
    model.run_until(time + 1_000_000);
    model
}

/// Steady queries through all nodes, with a restart of each upstream.
fn rolling_restart() -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for round in 0..1_500 {
        let node = round % NODES;
        faults.push((5, Fault::Queries { node, count: 1 }));
        if round % 400 == 399 {
            let upstream = round / 400 % UPSTREAMS;
            faults.push((0, Fault::Restart { upstream }));
        }
    }
    faults
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn cold_upstream_never_runs_more_than_its_capacity(seed in any::<u64>(), faults in fault_schedule()) {
        let model = simulate(PolicyMode::Adaptive, seed, &faults);

        prop_assert_eq!(&model.findings.overloads, &Vec::<String>::new());
    }

    #[test]
    fn upstream_in_an_out_zone_gets_no_requests(seed in any::<u64>(), faults in fault_schedule()) {
        let model = simulate(PolicyMode::Adaptive, seed, &faults);

        prop_assert_eq!(&model.findings.sent_to_out_zone, &Vec::<String>::new());
    }
}

#[test]
fn model_detects_the_overload_caused_by_the_baseline_policy() {
    let faults = rolling_restart();

    let model = simulate(PolicyMode::Baseline, 1, &faults);

    assert!(!model.findings.overloads.is_empty(), "{:?}", model.findings);
}

#[test]
fn fleet_warms_up_and_answers_during_a_rolling_restart() {
    let faults = rolling_restart();

    let model = simulate(PolicyMode::Adaptive, 1, &faults);

    let findings = &model.findings;
    assert_eq!(findings.overloads, Vec::<String>::new());
    // Full service starts after the handover delay of 3 s and one warm-up time.
    let before_warm = (3_000_000 + WARM_UP_US) / 5_000;
    assert!(
        findings.answered as u64 + before_warm >= findings.queries as u64,
        "{findings:?}"
    );
}

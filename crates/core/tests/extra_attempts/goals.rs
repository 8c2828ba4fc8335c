//! Figures of the decision about extra attempts.

use crate::{
    figures::KindFigures,
    fleet::{self, Case, Disturbance, Figures, KINDS},
};
use std::collections::BTreeMap;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

const QUIET: Case = Case {
    nodes: 70,
    disturbance: Disturbance::None,
    replicas: 0,
    shard_step: 1,
    extra_slack: 54.0,
};

/// Figures over all seeds.
fn run(case: Case) -> Figures {
    let mut all = Figures::default();
    for seed in SEEDS {
        let figures = fleet::run(case, seed);
        for (sum, kind) in all.kinds.iter_mut().zip(figures.kinds) {
            sum.merge(kind);
        }
        all.sent += figures.sent;
        for (cause, count) in figures.extra {
            *all.extra.entry(cause).or_default() += count;
        }
        all.most_beyond_ratio = all.most_beyond_ratio.max(figures.most_beyond_ratio);
    }
    all
}

fn print(name: &str, figures: &Figures) {
    println!(
        "{name}: sent {} extra {:?} beyond the ratio {:.1}",
        figures.sent, figures.extra, figures.most_beyond_ratio
    );
    let kinds: BTreeMap<_, &KindFigures> = KINDS.into_iter().zip(&figures.kinds).collect();
    for (kind, figures) in kinds {
        println!("    {kind}: {figures}");
    }
}

fn disturbed(nodes: usize, disturbance: Disturbance, replicas: usize, shard_step: usize) -> Case {
    Case {
        nodes,
        disturbance,
        replicas,
        shard_step,
        ..QUIET
    }
}

/// Figures before extra attempts were judged by what they gain, by index into [`KINDS`].
struct Earlier {
    values: [f64; KINDS.len()],
    extra: u32,
}

/// Checks that callers of each kind get more than before, from fewer extra attempts.
fn check_gain(case: Case, earlier: &Earlier) {
    let figures = run(case);
    print("now", &figures);

    for ((kind, earlier), now) in KINDS.iter().zip(earlier.values).zip(figures.kinds) {
        assert!(
            now.mean_value() > earlier,
            "{kind}: {} <= {earlier}",
            now.mean_value()
        );
    }
    assert!(figures.extra.values().sum::<u32>() < earlier.extra);
    assert!(figures.most_beyond_ratio <= case.extra_slack);
}

/// Guards against losses of callers on a quiet load.
#[test]
fn quiet_load_loses_nothing() {
    let earlier = Earlier {
        values: [0.9974, 0.9975, 0.9991, 0.9988],
        extra: 3_642,
    };
    check_gain(Case { nodes: 4, ..QUIET }, &earlier);
}

/// Guards against hedges to slow replicas that use up the budget.
#[test]
fn one_slow_replica_of_each_shard_costs_less() {
    let earlier = Earlier {
        values: [0.9723, 0.9718, 0.9874, 0.9823],
        extra: 9_229,
    };
    check_gain(disturbed(4, Disturbance::Slow, 1, 1), &earlier);
}

/// The same if most replicas of a shard are slow.
#[test]
fn two_slow_replicas_of_each_second_shard_cost_less() {
    let earlier = Earlier {
        values: [0.8651, 0.8595, 0.9230, 0.9180],
        extra: 8_742,
    };
    check_gain(disturbed(4, Disturbance::Slow, 2, 2), &earlier);
}

/// Guards against hedges to silent replicas.
#[test]
fn one_silent_replica_of_each_shard_costs_less() {
    let earlier = Earlier {
        values: [0.9612, 0.9626, 0.9847, 0.9784],
        extra: 9_197,
    };
    check_gain(disturbed(4, Disturbance::Hang, 1, 1), &earlier);
}

/// Guards against a sum of extra attempts beyond the limits while each node decides by itself.
#[test]
fn extra_attempts_of_seventy_nodes_stay_within_the_limits() {
    for disturbance in [Disturbance::Hang, Disturbance::Fail] {
        let case = disturbed(70, disturbance, 2, 2);
        let figures = fleet::run(case, 1);

        assert!(figures.most_beyond_ratio <= case.extra_slack);
    }
}

/// Prints the figures of all cases.
#[test]
#[ignore = "a measurement that checks nothing; run with --nocapture"]
fn print_figures() {
    for nodes in [4, 70] {
        print(&format!("{nodes} quiet"), &run(Case { nodes, ..QUIET }));
        for disturbance in [Disturbance::Slow, Disturbance::Hang, Disturbance::Fail] {
            for (replicas, step) in [(1, 1), (2, 2)] {
                let case = disturbed(nodes, disturbance, replicas, step);
                let name = format!("{nodes} {disturbance:?} {replicas}/3 of every {step}. shard");
                print(&name, &run(case));
            }
        }
    }
}

//! Guards against a fleet that together runs more of a workspace's requests than its quota tolerates.

use crate::quota_sim::{LIMITS, Links, QuotaSim, STEP, workspace};
use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Fault {
    Restart(prop::sample::Index),
    RestartMany(u64),
    RestartAll,
    Freeze(prop::sample::Index),
    Suspend(prop::sample::Index),
    ResumeAll,
    /// Separates nodes by a hash of this seed and their number.
    Partition(u64),
    Isolate(prop::sample::Index),
    Heal,
    Lose(f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = any::<prop::sample::Index>;
    prop_oneof![
        2 => node().prop_map(Fault::Restart),
        1 => any::<u64>().prop_map(Fault::RestartMany),
        1 => Just(Fault::RestartAll),
        2 => node().prop_map(Fault::Freeze),
        2 => node().prop_map(Fault::Suspend),
        3 => Just(Fault::ResumeAll),
        2 => any::<u64>().prop_map(Fault::Partition),
        1 => node().prop_map(Fault::Isolate),
        3 => Just(Fault::Heal),
        1 => (0.0..0.5).prop_map(Fault::Lose),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6D65_646C),
        ..ProptestConfig::default()
    }
}

fn chosen(size: usize, seed: u64, share: f64) -> BTreeSet<usize> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..size).filter(|_| random.f64() < share).collect()
}

fn apply(sim: &mut QuotaSim, fault: &Fault) {
    let size = sim.size();
    match fault {
        Fault::Restart(node) => sim.restart(node.index(size)),
        Fault::RestartMany(seed) => {
            for node in chosen(size, *seed, 0.3) {
                sim.restart(node);
            }
        }
        Fault::RestartAll => (0..size).for_each(|node| sim.restart(node)),
        Fault::Freeze(node) => sim.freeze(node.index(size)),
        Fault::Suspend(node) => sim.suspend(node.index(size)),
        Fault::ResumeAll => (0..size).for_each(|node| sim.resume(node)),
        Fault::Partition(seed) => sim.cut_off(&chosen(size, *seed, 0.5)),
        Fault::Isolate(node) => sim.cut_off(&[node.index(size)].into()),
        Fault::Heal => sim.cut_off(&BTreeSet::new()),
        Fault::Lose(loss) => sim.links.loss = *loss,
    }
}

/// Sends `demand` times the quota to nodes that are chosen with a skew: 0 for even, larger for uneven demand.
fn overload(sim: &mut QuotaSim, quota: &Quota, demand: f64, skew: f64) {
    let mean = (quota.rate * demand + 4.0) * STEP.as_secs_f64();
    let requests = mean as usize + usize::from(sim.random().f64() < mean.fract());
    for _ in 0..requests {
        let position = sim.random().f64().powf(1.0 + skew);
        let node = (position * sim.size() as f64) as usize;
        sim.request(node, &"w".into());
    }
}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against more requests than tolerated in any window, whatever happens to messages and nodes.
    #[test]
    fn sum_over_all_nodes_stays_within_the_bound(
        size in 1_usize..=70,
        rate in prop_oneof![0.3..3.0, 3.0..60.0],
        burst in 0.0..40.0,
        demand in 1.0..6.0,
        skew in 0.0..4.0,
        max_delay_ms in 1_u64..300,
        faults in prop::collection::vec((fault(), 500_u64..25_000), 1..6),
        seed in any::<u64>(),
    ) {
        let quota = Quota { rate, burst };
        let mut sim = QuotaSim::settled(size, vec![workspace("w", quota)], seed);
        sim.links = Links { loss: 0.0, max_delay: Duration::from_millis(max_delay_ms) };

        for (fault, millis) in &faults {
            apply(&mut sim, fault);
            sim.advance_with(Duration::from_millis(*millis), |sim| {
                overload(sim, &quota, demand, skew);
            });
        }

        let most = sim.busiest_window("w") as f64;
        prop_assert!(most <= LIMITS.bound(&quota), "{most} of {}", LIMITS.bound(&quota));
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// Guards against requests that count twice because a delegate hands them on, with lost and late messages, stopped and
    /// restarted delegates, two owners, and nodes of an earlier version.
    #[test]
    fn sum_stays_within_the_bound_with_delegates(
        size in 20_usize..=60,
        rate in 20.0..80.0,
        burst in 0.0..40.0,
        demand in 1.0..2.0,
        earlier_version in 0.0..0.5,
        max_delay_ms in 1_u64..150,
        faults in prop::collection::vec((fault(), 500_u64..15_000), 1..5),
        seed in any::<u64>(),
    ) {
        let quota = Quota { rate, burst };
        let mut sim = QuotaSim::settled(size, vec![workspace("w", quota)], seed);
        sim.links = Links { loss: 0.0, max_delay: Duration::from_millis(max_delay_ms) };
        sim.earlier_version = chosen(size, seed, earlier_version);
        sim.advance_with(LIMITS.window, |sim| overload(sim, &quota, demand, 0.0));

        for (fault, millis) in &faults {
            apply(&mut sim, fault);
            sim.advance_with(Duration::from_millis(*millis), |sim| {
                overload(sim, &quota, demand, 0.0);
            });
        }

        let most = sim.busiest_window("w") as f64;
        prop_assert!(most <= LIMITS.bound(&quota), "{most} of {}", LIMITS.bound(&quota));
    }
}

/// Lets a fleet of 25 nodes, overloaded everywhere, pass through a disturbance. Returns the busiest window and the bound.
fn busiest_window_with(
    size: usize,
    mut disturb: impl FnMut(&mut QuotaSim, usize, u64),
) -> (f64, f64) {
    const SECONDS: u64 = 150;
    let quota = Quota {
        rate: 10.0,
        burst: 30.0,
    };
    let mut sim = QuotaSim::settled(size, vec![workspace("w", quota)], 9);
    let owner = sim.owners(&"w".into())[0];
    for second in 0..SECONDS {
        disturb(&mut sim, owner, second);
        sim.advance_with(Duration::from_secs(1), |sim| {
            overload(sim, &quota, 4.0, 0.0);
        });
    }
    (sim.busiest_window("w") as f64, LIMITS.bound(&quota))
}

/// Guards against two parts of a fleet that both use the whole quota, from the cut until after it has healed.
#[test]
fn partition_does_not_double_the_quota() {
    for size in [2, 5, 25] {
        let half: BTreeSet<usize> = (0..size / 2).collect();

        let (most, bound) = busiest_window_with(size, |sim, _, second| match second {
            10 => sim.cut_off(&half),
            65 => sim.cut_off(&BTreeSet::new()),
            _ => {}
        });

        assert!(most <= bound, "{size} nodes: {most} of {bound}");
    }
}

/// Guards against an owner that is cut off and goes on with the whole quota while another takes over.
#[test]
fn owner_that_is_cut_off_gives_way_to_the_next() {
    let (most, bound) = busiest_window_with(25, |sim, owner, second| match second {
        10 => sim.cut_off(&[owner].into()),
        60 => sim.cut_off(&BTreeSet::new()),
        _ => {}
    });

    assert!(most <= bound, "{most} of {bound}");
}

/// Guards against an owner that issues a whole burst after each of its restarts.
#[test]
fn restarts_of_the_owner_do_not_refill_its_bucket() {
    let (most, bound) = busiest_window_with(25, |sim, owner, _| sim.restart(owner));

    assert!(most <= bound, "{most} of {bound}");
}

/// Guards against an owner that was stopped for so long that another has taken over, and goes on where it was.
#[test]
fn owner_that_was_stopped_does_not_go_on_where_it_was() {
    for suspended in [false, true] {
        let (most, bound) = busiest_window_with(25, |sim, owner, second| match second % 50 {
            10 if suspended => sim.suspend(owner),
            10 => sim.freeze(owner),
            45 => sim.resume(owner),
            _ => {}
        });

        assert!(most <= bound, "suspended {suspended}: {most} of {bound}");
    }
}

/// Guards against a lower limit that is not binding one window after it is in force.
#[test]
fn lower_quota_binds_after_one_window() {
    let high = Quota {
        rate: 40.0,
        burst: 40.0,
    };
    let low = Quota {
        rate: 1.0,
        burst: 1.0,
    };
    let mut sim = QuotaSim::settled(25, vec![workspace("w", high)], 1);
    sim.advance_with(Duration::from_secs(20), |sim| {
        overload(sim, &high, 2.0, 1.0);
    });

    sim.configure(vec![workspace("w", low)]);
    sim.advance_with(LIMITS.window, |sim| overload(sim, &high, 2.0, 1.0));
    let changed_at = sim.now;
    sim.advance_with(Duration::from_secs(20), |sim| {
        overload(sim, &high, 2.0, 1.0);
    });

    sim.runs.retain(|run| run.at >= changed_at);
    let most = sim.busiest_window("w") as f64;
    assert!(most <= LIMITS.bound(&low), "{most}");
}

//! Guards against nodes that revert to an older configuration, that serve without a recent confirmation or that miss a
//! published change, over random schedules of restarts, pauses, partitions and platform outages.

mod common;

use common::fleet_sim::{FRESHNESS, FleetSim, JOIN_WAIT, TIME_STEP};
use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

/// A published change has to be active at every connected node within 3 s, as the design states.
const PROPAGATION_BOUND: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum ScheduleEvent {
    Publish,
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(u8),
    Heal,
    MakePlatformStale,
    StopPlatform,
    RepairPlatform,
}

fn schedule_event() -> impl Strategy<Value = ScheduleEvent> {
    prop_oneof![
        3 => Just(ScheduleEvent::Publish),
        3 => (0_usize..7).prop_map(ScheduleEvent::Restart),
        2 => (0_usize..7).prop_map(ScheduleEvent::Pause),
        2 => (0_usize..7).prop_map(ScheduleEvent::Resume),
        2 => any::<u8>().prop_map(ScheduleEvent::Partition),
        2 => Just(ScheduleEvent::Heal),
        2 => Just(ScheduleEvent::MakePlatformStale),
        1 => Just(ScheduleEvent::StopPlatform),
        2 => Just(ScheduleEvent::RepairPlatform),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<(ScheduleEvent, u64)>> {
    prop::collection::vec((schedule_event(), 1_u64..8_000), 1..30)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6D65_646C),
        ..ProptestConfig::default()
    }
}

/// A simulated fleet that checks in every step what its nodes serve.
struct CheckedFleet {
    sim: FleetSim,
    nodes: usize,
    /// Version that each node served last, also before a restart.
    last_served: Vec<u64>,
    /// Whether each node must not serve less than `last_served`; cleared by a scheduled restart until it serves again.
    has_served: Vec<bool>,
}

impl CheckedFleet {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut sim = FleetSim::new(nodes, seed);
        sim.publish(2);
        sim.run(JOIN_WAIT * 2);
        Self {
            sim,
            nodes,
            last_served: vec![2; nodes],
            has_served: vec![true; nodes],
        }
    }

    fn apply(&mut self, event: ScheduleEvent) {
        let sim = &mut self.sim;
        match event {
            ScheduleEvent::Publish => sim.publish(sim.newest_version() + 1),
            ScheduleEvent::Restart(node) => {
                sim.restart(node % self.nodes);
                self.has_served[node % self.nodes] = false;
            }
            ScheduleEvent::Pause(node) => sim.pause(node % self.nodes),
            ScheduleEvent::Resume(node) => sim.resume(node % self.nodes),
            ScheduleEvent::Partition(bits) => {
                let isolated_nodes: Vec<_> =
                    (0..self.nodes).filter(|n| bits >> n & 1 == 1).collect();
                sim.partition(&isolated_nodes);
            }
            ScheduleEvent::Heal => sim.heal(),
            ScheduleEvent::MakePlatformStale => sim.make_stale(sim.newest_version() - 1),
            ScheduleEvent::StopPlatform => sim.stop_platform(),
            ScheduleEvent::RepairPlatform => sim.repair_platform(),
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.sim.step();
        for node in 0..self.nodes {
            prop_assert!(
                !self.sim.version_has_decreased(node),
                "active version of node {node} decreased without a restart"
            );
            let Some(version) = self.sim.served_version(node) else {
                continue;
            };
            let age = self.sim.confirmation_age(node);
            prop_assert!(
                age.is_some_and(|age| age <= FRESHNESS),
                "node {node} serves although its last confirmation is {age:?} old"
            );
            if self.has_served[node] {
                prop_assert!(
                    version >= self.last_served[node],
                    "node {node} serves a lower version than before"
                );
            }
            (self.last_served[node], self.has_served[node]) = (version, true);
        }
        Ok(())
    }

    fn run(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let steps = time.as_micros() / TIME_STEP.as_micros();
        (0..=steps).try_for_each(|_| self.step())
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn version_never_decreases_and_serving_needs_a_recent_confirmation(
        (nodes, seed, schedule) in (1_usize..=7, any::<u64>(), schedule()),
    ) {
        let mut checked = CheckedFleet::new(nodes, seed);

        for (event, pause_ms) in schedule {
            checked.apply(event);
            checked.run(Duration::from_millis(pause_ms))?;
        }

        prop_assert!((0..nodes).all(|node| !checked.sim.version_has_decreased(node)));
    }

    #[test]
    fn restarts_one_at_a_time_never_revert(
        (nodes, seed, restarts) in (
            3_usize..=7,
            any::<u64>(),
            prop::collection::vec((0_usize..7, any::<bool>(), any::<bool>()), 1..12),
        ),
    ) {
        let mut checked = CheckedFleet::new(nodes, seed);

        for (node, stale, publish) in restarts {
            checked.apply(ScheduleEvent::RepairPlatform);
            if publish {
                checked.apply(ScheduleEvent::Publish);
            }
            checked.run(PROPAGATION_BOUND)?;
            checked.apply(if stale { ScheduleEvent::MakePlatformStale } else { ScheduleEvent::StopPlatform });
            checked.sim.restart(node % nodes);
            // `has_served` stays set: the node must not serve a lower version than before its restart.
            checked.run(JOIN_WAIT * 2)?;
            prop_assert!(checked.sim.all_serve(checked.sim.newest_version()));
        }

        prop_assert!(checked.sim.all_serve(checked.sim.newest_version()));
    }

    #[test]
    fn published_change_reaches_every_connected_node_within_the_bound(
        (nodes, seed, schedule) in (1_usize..=7, any::<u64>(), schedule()),
    ) {
        let mut checked = CheckedFleet::new(nodes, seed);

        for (event, pause_ms) in schedule {
            checked.apply(event);
            checked.run(Duration::from_millis(pause_ms))?;
        }
        checked.apply(ScheduleEvent::Publish);
        checked.run(PROPAGATION_BOUND)?;

        let newest = checked.sim.newest_version();
        for node in 0..nodes {
            prop_assert!(checked.sim.is_paused(node) || checked.sim.version(node) == newest);
        }
    }
}

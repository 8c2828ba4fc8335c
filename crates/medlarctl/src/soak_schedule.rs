//! The schedule of faults of a soak test, drawn from a seed.

use crate::{loopback_proxy::LinkFault, soak_fault::SoakFault};
use medlarpost_stand_in::Behaviour;
use std::time::Duration;

/// Time without faults at the start, in which every node becomes ready.
const FAULT_FREE_START: Duration = Duration::from_secs(3);

/// Time between the starts of two faults, in milliseconds. Most faults last longer, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..2_200;

/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..5_000;

/// Duration of a fault of the link to the store, in milliseconds. Some last longer than the bound on revocation.
const STORE_LINK_FAULT_MS: std::ops::Range<u64> = 100..15_000;

/// Factor on the time for which the store refuses calls, so that some of these faults last longer than the bound on
/// revocation.
const STORE_REFUSAL_FACTOR: u32 = 3;

/// Number of cuts of watches in a row.
const WATCH_CUTS: std::ops::Range<u32> = 1..8;

/// Delay of a slowed link, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 20..300;

/// Faults with their time since the start, in order of time.
pub type SoakSchedule = Vec<(Duration, SoakFault)>;

/// Sizes of the fleet and length of the run.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams of all services.
    pub upstreams: usize,
    /// Number of zones.
    pub zones: usize,
    /// Time from which no fault begins.
    pub end: Duration,
}

/// Generates the schedule of a seed; the same options and seed give the same schedule.
pub fn generate_schedule(options: &ScheduleOptions, seed: u64) -> SoakSchedule {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < options.end {
        faults.push((at, random_fault(options, &mut random)));
        at += Duration::from_millis(random.u64(FAULT_INTERVAL_MS));
    }
    faults
}

fn random_fault(options: &ScheduleOptions, random: &mut fastrand::Rng) -> SoakFault {
    let node = random.usize(..options.nodes);
    let upstream = random.usize(..options.upstreams);
    let time = Duration::from_millis(random.u64(FAULT_DURATION_MS));
    match random.u32(..26) {
        0 => SoakFault::KillNode(node, time),
        1 | 2 => SoakFault::StopNode(node),
        3 => SoakFault::PauseNode(node, time),
        4 => SoakFault::ReloadNode(node),
        5 => SoakFault::KillUpstream(upstream, time),
        6 | 7 => SoakFault::ReplaceUpstream(upstream),
        8 => SoakFault::PauseUpstream(upstream, time),
        9..=11 => SoakFault::Misbehave(upstream, random_misbehaviour(random), time),
        12 => SoakFault::RefuseStoreCalls(time * STORE_REFUSAL_FACTOR),
        13 => SoakFault::PauseStore(time),
        14 => SoakFault::CompactStore,
        15 | 21 => {
            let time = Duration::from_millis(random.u64(STORE_LINK_FAULT_MS));
            SoakFault::StoreLink(node, random_link_fault(random), time)
        }
        16 | 17 => SoakFault::UpstreamLink(upstream, random_link_fault(random), time),
        18 => SoakFault::PublishConfiguration,
        19 => SoakFault::Repartition,
        22 => SoakFault::CutWatches(random.u32(WATCH_CUTS)),
        23 => SoakFault::OddEntry(upstream),
        24 | 25 => SoakFault::RemoveUpstream(upstream),
        _ => SoakFault::ZoneOut(random.usize(..options.zones), time),
    }
}

fn random_misbehaviour(random: &mut fastrand::Rng) -> Behaviour {
    Behaviour::ALL[random.usize(1..Behaviour::ALL.len())]
}

fn random_link_fault(random: &mut fastrand::Rng) -> LinkFault {
    match random.u32(..4) {
        0 => LinkFault::Delayed(Duration::from_millis(random.u64(LINK_DELAY_MS))),
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    }
}

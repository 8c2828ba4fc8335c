//! The seeded series of faults of a soak.

use crate::{loopback_proxy::LinkFault, soak_fault::SoakFault};
use medlarpost_stand_in::Behaviour;
use std::time::Duration;

/// Time before the first fault, in which every node becomes ready.
const CALM_START: Duration = Duration::from_secs(3);

/// Time between two faults, in milliseconds. Most faults last longer, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 200..2_200;

/// Time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..5_000;

/// Delay of a slowed link, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..300;

/// Faults by their time since the start, in order.
pub type SoakSchedule = Vec<(Duration, SoakFault)>;

/// Sizes that a schedule needs.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleTerms {
    /// Nodes.
    pub nodes: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Zones.
    pub zones: usize,
    /// Time from which no fault begins.
    pub end: Duration,
}

/// The schedule of a seed; the same terms and seed give the same schedule.
pub fn schedule(terms: &ScheduleTerms, seed: u64) -> SoakSchedule {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut steps = Vec::new();
    let mut at = CALM_START;
    while at < terms.end {
        steps.push((at, fault(terms, &mut random)));
        at += Duration::from_millis(random.u64(GAP_MS));
    }
    steps
}

fn fault(terms: &ScheduleTerms, random: &mut fastrand::Rng) -> SoakFault {
    let node = random.usize(..terms.nodes);
    let upstream = random.usize(..terms.upstreams);
    let time = Duration::from_millis(random.u64(LASTS_MS));
    match random.u32(..21) {
        0 => SoakFault::KillNode(node, time),
        1 | 2 => SoakFault::StopNode(node),
        3 => SoakFault::PauseNode(node, time),
        4 => SoakFault::ReloadNode(node),
        5 => SoakFault::KillUpstream(upstream, time),
        6 | 7 => SoakFault::ReplaceUpstream(upstream),
        8 => SoakFault::PauseUpstream(upstream, time),
        9..=11 => SoakFault::Misbehave(upstream, misbehaviour(random), time),
        12 => SoakFault::RefuseReads(time),
        13 => SoakFault::PauseStore(time),
        14 => SoakFault::ForgetHistory,
        15 => SoakFault::StoreLink(node, link_fault(random), time),
        16 | 17 => SoakFault::UpstreamLink(upstream, link_fault(random), time),
        18 => SoakFault::Configure,
        19 => SoakFault::Repartition,
        _ => SoakFault::ZoneOut(random.usize(..terms.zones), time),
    }
}

fn misbehaviour(random: &mut fastrand::Rng) -> Behaviour {
    Behaviour::ALL[random.usize(1..Behaviour::ALL.len())]
}

fn link_fault(random: &mut fastrand::Rng) -> LinkFault {
    match random.u32(..4) {
        0 => LinkFault::Delayed(Duration::from_millis(random.u64(DELAY_MS))),
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    }
}

//! What happens when during a demonstration.

use crate::fault::Fault;
use medlarpost_fakes::prelude::*;
use std::fmt::{self, Display, Formatter};

/// Length of the overload.
pub(crate) const OVERLOAD_DURATION: Duration = Duration::from_secs(5);

/// Load during the overload, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 2.0;

/// One change at one time.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// From the start of the measured time.
    pub(crate) at: Duration,
    pub(crate) action: Action,
}

/// A change that the director makes.
impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms: {:?}", self.at.as_millis(), self.action)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Order to the search upstreams with these positions.
    Order(Vec<usize>, UpstreamOrder),
    /// Publish these upstreams as leaving or as active.
    Announce(Vec<usize>, UpstreamState),
    /// Publish the state of a zone.
    Zone(usize, ZoneState),
    /// Order to all upstreams of a zone.
    ZoneOrder(usize, UpstreamOrder),
    /// Publish an index version with fewer shards beside the old one.
    AddLayout,
    /// Upstreams stop serving all index versions but the newest.
    DropOldVersions,
    /// Publish a bundle that changes nothing else.
    Publish,
    /// All entrances of the platform.
    Platform(PlatformMode),
    /// Cut a node off from the platform and its peers, or connect it again.
    Cut(usize, bool),
    /// Stop the threads of a node for a time.
    Pause(usize, Duration),
    /// Replace a node.
    Replace(usize),
    /// Send a query that crashes upstreams, through each node in turn.
    CrashQuery,
}

/// Steps of a fault and the load that goes with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) steps: Vec<Step>,
    /// Start of a time with twice the capacity.
    pub(crate) overload_start: Option<Duration>,
}

/// What a schedule needs to know of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduleSizes {
    pub(crate) upstreams: usize,
    pub(crate) replicas: usize,
    pub(crate) zones: usize,
    pub(crate) nodes: usize,
}

impl Schedule {
    /// Schedule of a fault for a run of this length.
    pub(crate) fn for_fault(
        fault: Fault,
        seed: u64,
        duration: Duration,
        sizes: ScheduleSizes,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = Self::default();
        if fault == Fault::Random {
            schedule.add_random_faults(&mut rng, duration, sizes);
        } else {
            schedule.add_fault(fault, Duration::from_secs(1), &mut rng, sizes);
        }
        schedule.steps.sort_by_key(|step| step.at);
        schedule
    }

    /// Queries a second at a time of the run.
    pub(crate) fn rate_at(&self, time: Duration, normal: f64, capacity: f64) -> f64 {
        let is_overloaded = self
            .overload_start
            .is_some_and(|start| time >= start && time < start + OVERLOAD_DURATION);
        if is_overloaded {
            OVERLOAD_FACTOR * capacity
        } else {
            normal
        }
    }

    fn add_random_faults(
        &mut self,
        rng: &mut fastrand::Rng,
        duration: Duration,
        sizes: ScheduleSizes,
    ) {
        const FAULTS: [Fault; 13] = [
            Fault::Straggler,
            Fault::ColdStart,
            Fault::SilentCold,
            Fault::ZoneReturn,
            Fault::Leaving,
            Fault::CrashRequest,
            Fault::SilentConnection,
            Fault::Repartition,
            Fault::PlatformDown,
            Fault::PlatformStale,
            Fault::Partition,
            Fault::Pause,
            Fault::RollingStop,
        ];
        let mut at = Duration::from_secs(1);
        while at < duration {
            let fault = FAULTS[rng.usize(..FAULTS.len())];
            self.add_fault(fault, at, rng, sizes);
            at += Duration::from_millis(rng.u64(500..4_000));
        }
    }

    fn add_fault(
        &mut self,
        fault: Fault,
        start: Duration,
        rng: &mut fastrand::Rng,
        sizes: ScheduleSizes,
    ) {
        use Action as A;
        use UpstreamOrder as O;
        let all: Vec<usize> = (0..sizes.upstreams).collect();
        // One replica of each third shard.
        let replica = rng.usize(..sizes.replicas);
        let affected: Vec<usize> = (replica..sizes.upstreams)
            .step_by(3 * sizes.replicas)
            .collect();
        let (zone, node) = (rng.usize(..sizes.zones), rng.usize(..sizes.nodes));
        let actions: Vec<(u64, A)> = match fault {
            Fault::None | Fault::Random => Vec::new(),
            Fault::Straggler => vec![
                (0, A::Order(all.clone(), O::Straggle(0.01))),
                (20_000, A::Order(all, O::Straggle(0.0))),
            ],
            Fault::ColdStart => vec![
                (0, A::Announce(affected.clone(), UpstreamState::Leaving)),
                (0, A::Order(affected.clone(), O::Leave)),
                (3_100, A::Order(affected.clone(), O::Stop)),
                (3_400, A::Order(affected.clone(), O::Start)),
                (3_500, A::Announce(affected, UpstreamState::Active)),
            ],
            Fault::SilentCold => {
                let (with_reset, without_reset): (Vec<_>, Vec<_>) =
                    affected.into_iter().partition(|position| position % 2 == 0);
                vec![
                    (0, A::Order(with_reset, O::TurnCold { reset: true })),
                    (0, A::Order(without_reset, O::TurnCold { reset: false })),
                ]
            }
            Fault::ZoneOut => vec![
                (0, A::Zone(zone, ZoneState::Out)),
                (3_500, A::ZoneOrder(zone, O::Stop)),
            ],
            Fault::ZoneReturn => vec![
                (0, A::Zone(zone, ZoneState::Out)),
                (3_100, A::ZoneOrder(zone, O::Stop)),
                (3_500, A::ZoneOrder(zone, O::Start)),
                (3_700, A::Zone(zone, ZoneState::In)),
            ],
            Fault::Leaving => vec![
                (0, A::Announce(affected.clone(), UpstreamState::Leaving)),
                (0, A::Order(affected.clone(), O::Leave)),
                (4_000, A::Order(affected, O::Stop)),
            ],
            Fault::CrashRequest => vec![(0, A::CrashQuery)],
            Fault::SilentConnection => vec![(0, A::Order(affected, O::SilenceConnections))],
            Fault::Repartition => vec![
                (0, A::AddLayout),
                (10, A::DropOldVersions),
                (3_000, A::Publish),
            ],
            Fault::PlatformDown => vec![
                (0, A::Platform(PlatformMode::Silent)),
                (5_000, A::Platform(PlatformMode::Current)),
                (5_100, A::Publish),
            ],
            Fault::PlatformStale => vec![
                (0, A::Publish),
                (500, A::Platform(PlatformMode::Stale)),
                (5_000, A::Platform(PlatformMode::Current)),
            ],
            Fault::Partition => vec![
                (0, A::Cut(node, true)),
                (100, A::Publish),
                (4_500, A::Cut(node, false)),
            ],
            Fault::Pause => vec![
                (0, A::Pause(node, Duration::from_millis(3_500))),
                (200, A::Zone(zone, ZoneState::Out)),
                (4_500, A::Zone(zone, ZoneState::In)),
            ],
            Fault::RollingStop => (0..sizes.nodes)
                .map(|node| (1_600 * node as u64, A::Replace(node)))
                .collect(),
            Fault::Overload => {
                self.overload_start = Some(start);
                Vec::new()
            }
        };
        self.steps
            .extend(actions.into_iter().map(|(after, action)| Step {
                at: start + Duration::from_millis(after),
                action,
            }));
    }
}

//! Schedules of the steps by which a demonstration injects a fault, made from a seed.

use crate::fault::Fault;
use medlarpost_fakes::prelude::*;
use std::fmt::{self, Display, Formatter};

pub(crate) const OVERLOAD_DURATION: Duration = Duration::from_secs(5);

/// Load during the overload, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 2.0;

/// An action and its time. Its `Display` form, with the action's `Debug` form, is part of the report.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the start of the measurement.
    pub(crate) at: Duration,
    pub(crate) action: Action,
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms: {:?}", self.at.as_millis(), self.action)
    }
}

/// An action of the fault injector. Upstreams, zones and nodes are given by their positions in the deployment.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Send a command to these upstreams.
    Order(Vec<usize>, UpstreamCommand),
    /// Publish these upstreams as leaving or as active.
    Announce(Vec<usize>, UpstreamState),
    /// Publish a zone as in or out.
    Zone(usize, ZoneState),
    /// Send a command to all upstreams of a zone.
    ZoneOrder(usize, UpstreamCommand),
    /// Publish an index version with fewer shards in addition to the newest.
    AddLayout,
    /// Let the search upstreams stop serving all index versions except the newest.
    DropOldVersions,
    /// Publish a bundle with a higher version and otherwise unchanged services.
    Publish,
    /// Set how the platform answers all nodes.
    Platform(PlatformMode),
    /// Cut a node off from the platform and its peers (true), or reconnect it.
    Cut(usize, bool),
    /// Block all threads of a node for a time.
    Pause(usize, Duration),
    /// Stop a node and start its successor at the same position.
    Replace(usize),
    /// Send a query that crashes upstreams through each node in turn.
    CrashQuery,
}

/// Steps of a fault, in the order of time, and its overload.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    pub(crate) steps: Vec<Step>,
    /// Start of the overload, since the start of the measurement.
    pub(crate) overload_start: Option<Duration>,
}

/// Numbers of upstreams, replicas, zones and nodes from which a schedule chooses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduleSizes {
    pub(crate) upstreams: usize,
    pub(crate) replicas: usize,
    pub(crate) zones: usize,
    pub(crate) nodes: usize,
}

impl Schedule {
    /// Makes the schedule of a fault; `duration` limits the start of random faults. The same arguments give the same
    /// schedule.
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

    /// Queries per second at `time` since the start of the measurement; `normal` outside the overload.
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
        use UpstreamCommand as O;
        let all: Vec<usize> = (0..sizes.upstreams).collect();
        // The same replica of every third shard.
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

//! Faults that a demonstration can inject.

use medlarpost_core::{prelude::*, vocabulary};

vocabulary! {
    /// A fault and its name on the command line.
    pub enum Fault {
        /// No fault.
        None = "none",
        /// 1 in 100 sub-requests takes 20 times as long.
        Straggler = "straggler",
        /// An upstream of every third shard is announced as leaving, restarts and comes back cold.
        ColdStart = "cold-start",
        /// Warm upstreams turn cold unannounced, with and without closing their connections.
        SilentCold = "silent-cold",
        /// Operators take a zone out.
        ZoneOut = "zone-out",
        /// A zone is taken out and returns with cold upstreams.
        ZoneReturn = "zone-return",
        /// Upstreams are announced as leaving and stop.
        Leaving = "leaving",
        /// A query crashes each upstream that runs it, and its caller resends it.
        CrashRequest = "crash-request",
        /// Open connections of some upstreams stop responding; new ones work.
        SilentConnection = "silent-connection",
        /// A new index version with fewer shards replaces the old one while queries run.
        Repartition = "repartition",
        /// The platform does not answer.
        PlatformDown = "platform-down",
        /// The platform answers with the state before its last change.
        PlatformStale = "platform-stale",
        /// One node is cut off from the platform and the other nodes.
        Partition = "partition",
        /// The threads of one node are blocked for a time.
        Pause = "pause",
        /// All nodes are replaced, one after another.
        RollingStop = "rolling-stop",
        /// Load of twice the capacity for 5 s.
        Overload = "overload",
        /// A seeded schedule of several faults.
        Random = "random",
    }
}

impl Fault {
    /// Names of all faults, joined by commas for messages.
    pub fn names() -> String {
        let names: Vec<_> = Self::NAMES.iter().map(|(name, _)| *name).collect();
        names.join(", ")
    }

    /// Default measured time in seconds, long enough for the whole schedule of the fault.
    pub fn default_seconds(self) -> u64 {
        match self {
            Self::None => 5,
            Self::Straggler | Self::SilentCold | Self::CrashRequest | Self::SilentConnection => 6,
            Self::Overload | Self::RollingStop | Self::ZoneReturn => 10,
            Self::Random => 20,
            _ => 8,
        }
    }

    /// Whether the fault keeps nodes from reading new configuration, so that its propagation has no bound.
    pub fn hides_configuration(self) -> bool {
        matches!(
            self,
            Self::PlatformDown | Self::PlatformStale | Self::Partition | Self::Pause | Self::Random
        )
    }
}

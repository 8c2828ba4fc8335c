//! Faults and planned changes of a fake upstream.

/// What the owner of a run tells a fake upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamCommand {
    /// Take this share of the sub-requests, 0 to 1, 20 times as long.
    Straggle(f64),
    /// Turn cold without a word; with `reset`, all connections are closed.
    TurnCold {
        /// Whether connections are closed.
        reset: bool,
    },
    /// Open connections go silent; new ones work.
    SilenceConnections,
    /// Finish the work before a stop.
    Leave,
    /// Stop; the listener and all connections close.
    Stop,
    /// Start again, cold.
    Start,
    /// No longer serve this index version; every other one is served.
    DropVersion(u64),
}

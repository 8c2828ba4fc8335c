//! Commands that trigger faults and planned changes of a fake upstream.

/// Fault or planned change of a fake upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamCommand {
    /// From now on, run this share of the requests, from 0 to 1, 20 times slower.
    Straggle(f64),
    /// Lose the caches and become cold without a stop.
    TurnCold {
        /// Whether all connections are closed as well, which nodes notice.
        reset: bool,
    },
    /// Read requests on open connections without answering them; new connections work.
    SilenceConnections,
    /// Announce a stop and finish the running requests.
    Leave,
    /// Stop, which closes the listener and all connections.
    Stop,
    /// Start again after a stop, cold.
    Start,
    /// No longer serve this index version; all others are still served.
    DropVersion(u64),
}

//! Faults that a soak injects from outside the processes.

use crate::loopback_proxy::LinkFault;
use medlarpost_stand_in::Behaviour;
use std::{fmt, time::Duration};

/// One fault or planned change. Positions count the nodes or the upstreams of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// SIGKILL; the node starts again after a time.
    KillNode(usize, Duration),
    /// SIGTERM; the node starts again once it has ended.
    StopNode(usize),
    /// SIGSTOP, and SIGCONT after a time.
    PauseNode(usize, Duration),
    /// SIGHUP.
    ReloadNode(usize),
    /// SIGKILL; another instance starts at the same address after a time, cold.
    KillUpstream(usize, Duration),
    /// Another instance starts at another address, and this one leaves.
    ReplaceUpstream(usize),
    /// SIGSTOP, and SIGCONT after a time.
    PauseUpstream(usize, Duration),
    /// It misbehaves for a time.
    Misbehave(usize, Behaviour, Duration),
    /// The store refuses every call for a time.
    RefuseReads(Duration),
    /// SIGSTOP of the store, and SIGCONT after a time.
    PauseStore(Duration),
    /// The store forgets its history.
    ForgetHistory,
    /// The way from a node to the store is harmed for a time.
    StoreLink(usize, LinkFault, Duration),
    /// The way from all nodes to an upstream is harmed for a time.
    UpstreamLink(usize, LinkFault, Duration),
    /// A configuration adds a route and drops an older one.
    Configure,
    /// A configuration names the other set of shards.
    Repartition,
    /// A zone is taken out for a time.
    ZoneOut(usize, Duration),
}

impl fmt::Display for SoakFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

//! Faults that a soak test injects from outside the processes.

use crate::loopback_proxy::LinkFault;
use medlarpost_stand_in::Behaviour;
use std::{fmt, time::Duration};

/// One fault or planned change. The `usize` is the position of a node, upstream or zone in the fleet; the `Duration`
/// says how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// SIGKILL; the node starts again after the duration.
    KillNode(usize, Duration),
    /// SIGTERM; the node starts again once it has ended.
    StopNode(usize),
    /// SIGSTOP, then SIGCONT after the duration.
    PauseNode(usize, Duration),
    /// SIGHUP.
    ReloadNode(usize),
    /// SIGKILL; after the duration another instance, which is cold, starts at the same address.
    KillUpstream(usize, Duration),
    /// Another instance starts at another address, and the present one leaves.
    ReplaceUpstream(usize),
    /// SIGSTOP, then SIGCONT after the duration.
    PauseUpstream(usize, Duration),
    /// An upstream misbehaves.
    Misbehave(usize, Behaviour, Duration),
    /// The store refuses every call.
    RefuseStoreCalls(Duration),
    /// SIGSTOP of the store, then SIGCONT after the duration.
    PauseStore(Duration),
    /// The store compacts its history, so that watches from an earlier revision can not resume.
    CompactStore,
    /// The connections of all nodes to the store are cut, so many times with a second between them. Watches may be cut at
    /// any time, so this is no disturbance.
    CutWatches(u32),
    /// Another writer leaves an incomplete entry of another service under the key of an upstream. The upstream's next
    /// entry replaces it.
    OddEntry(usize),
    /// Another instance starts at another address, and the entry of the present one is removed before it ends.
    RemoveUpstream(usize),
    /// Fault of the link from one node to the store.
    StoreLink(usize, LinkFault, Duration),
    /// Fault of the link from all nodes to an upstream.
    UpstreamLink(usize, LinkFault, Duration),
    /// A configuration is published that adds a route and drops an older one.
    PublishConfiguration,
    /// A configuration is published that names the other set of shards.
    Repartition,
    /// A zone is taken out.
    ZoneOut(usize, Duration),
}

impl fmt::Display for SoakFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

//! What happens to the decisions about forwarded requests.

use crate::prelude::*;
use std::collections::BTreeSet;

/// Input of [`Forwarder`].
#[derive(Clone, Debug)]
pub enum ForwardEvent {
    /// A configuration is in force.
    Configured(Arc<RoutingTable>),
    /// The registry has this entry.
    UpstreamRegistered(RegisteredUpstream),
    /// The registry no longer has the entry of this instance.
    UpstreamDeregistered(Arc<str>),
    /// Zones that operators have taken out.
    ZonesOut(BTreeSet<Arc<str>>),
    /// Nodes that share the limits of upstreams, this one included.
    FleetSize(u32),
    /// Another node has barred a request because it crashes upstreams.
    QuarantinedElsewhere {
        /// Digest of the request.
        digest: Digest,
        /// Time since it was barred.
        age: Duration,
    },
    /// A caller asks.
    RequestArrived {
        /// Who waits for the answer.
        caller: CallerKey,
        /// What it asks.
        request: Arc<ForwardRequest>,
    },
    /// A caller no longer waits.
    CallerGone(CallerKey),
    /// An attempt ended; exactly one for each [`ForwardCommand::SendAttempt`].
    AttemptEnded(AttemptEnd),
    /// The time of [`Forwarder::next_wakeup`] has come.
    Wakeup,
}

/// End of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Attempt of the command.
    pub attempt: AttemptKey,
    /// How it ended.
    pub outcome: ForwardOutcome,
    /// Load that the upstream reported with its reply.
    pub load: Option<ReportedLoad>,
}

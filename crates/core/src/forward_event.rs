//! Events that the node reports to the forwarder.

use crate::prelude::*;
use std::{collections::BTreeSet, net::SocketAddr};

/// Input of [`Forwarder::handle`].
#[derive(Clone, Debug)]
pub enum ForwardEvent {
    /// A configuration was published; ignored unless it is newer than the one in force.
    Configured(Arc<RoutingTable>),
    /// The registry held a configuration at a time that has passed; sent after [`Self::Configured`] for that one.
    ConfigurationConfirmed {
        /// Version of the configuration that the registry held.
        version: u64,
        /// Latest time at which it is known to have held it.
        at: BootTime,
    },
    /// The bound on the revocation of keys in the settings has changed; `None` for no bound.
    RevokeWithinChanged(Option<Duration>),
    /// An entry of the registry is new or has changed.
    UpstreamRegistered(RegisteredUpstream),
    /// The entry of this instance has gone from the registry.
    UpstreamDeregistered(Arc<str>),
    /// Zones that operators have evacuated, replacing the previous set.
    ZonesEvacuated(BTreeSet<Arc<str>>),
    /// The limits in the settings have changed.
    LimitsChanged(FleetLimits),
    /// The node is shutting down. Running requests and new ones must be answered within this schedule.
    ShutdownBegan(ShutdownSchedule),
    /// Number of nodes that share the limits of upstreams, including this one.
    FleetSize(u32),
    /// The members of the fleet that this node remembers; sent every second.
    FleetSighted(FleetSighting),
    /// The process was interrupted for a time that its clock does not show, such as a suspension of the VM.
    Interrupted,
    /// Another node sent a message about quotas.
    QuotaMessageReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// Its message.
        message: QuotaMessage,
    },
    /// Another node quarantined a request that crashes upstreams.
    QuarantinedElsewhere {
        /// Digest of the request.
        digest: Digest,
        /// Time since it was quarantined.
        age: Duration,
    },
    /// Another node reports what an upstream told it.
    UpstreamNoticed(UpstreamNotice),
    /// Another node sent observations of upstreams.
    ObservationsReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// Its own observations and those that it passes on.
        observations: Vec<LoadObservation>,
    },
    /// A request arrived from a caller.
    RequestArrived {
        /// Key for the answer.
        caller: CallerKey,
        /// Request to forward.
        request: Arc<ForwardRequest>,
        /// When it had arrived completely, or later.
        arrived_at: BootTime,
    },
    /// A caller disconnected before it was answered.
    CallerGone(CallerKey),
    /// An attempt ended; sent exactly once for each [`ForwardCommand::SendAttempt`].
    AttemptEnded(AttemptEnd),
    /// The time returned by [`Forwarder::next_wakeup`] has come.
    Wakeup,
}

/// End of one attempt, as reported by its connection.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Key from [`ForwardCommand::SendAttempt`].
    pub attempt: AttemptKey,
    /// How the attempt ended.
    pub outcome: ForwardOutcome,
    /// What the upstream said of itself with its reply; empty if there was none.
    pub report: UpstreamReport,
}

//! Datagrams that nodes exchange on the socket of the membership protocol.

use crate::prelude::*;

/// Content of one datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberDatagram {
    /// A heartbeat, which lists members.
    Heartbeat(MemberHeartbeat),
    /// A message about quotas of workspaces.
    Quota(QuotaMessage),
    /// Observations of upstreams.
    Observations(Vec<LoadObservation>),
}

//! Messages by which nodes share the quotas of workspaces.

use crate::prelude::*;

/// Most workspaces named in one message, so that it fits into a datagram.
pub const MAX_QUOTA_ENTRIES: usize = 16;

/// Most requests that one grant can cover.
pub const MAX_GRANT: u32 = 100_000;

/// Message between a node and the owner of workspaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaMessage {
    /// A node requests grants.
    Request {
        /// Number of the message, which the reply repeats.
        id: u32,
        /// Whether the receiver is asked to hand on what the owner granted it.
        to_delegate: bool,
        /// Requests of other nodes that the sender has served as a delegate since its last message to this owner.
        served: u32,
        /// One for each workspace.
        requests: Vec<GrantRequest>,
    },
    /// The reply of the owner or of a delegate.
    Reply {
        /// Number of the message that this answers.
        id: u32,
        /// Time that the node should let pass before it asks this owner again, so that a large fleet does not flood
        /// it.
        pause: Duration,
        /// Delegates of the owner, one of which the node should send its requests to. Zero if it should ask the owner.
        delegates: u32,
        /// One for each workspace that the owner knows.
        grants: Vec<QuotaGrant>,
    },
}

/// A node's demand for requests of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests that wait or are expected soon.
    pub wanted: u32,
}

/// Requests of one workspace that the asking node may admit.
///
/// The grant ends a fixed time after it was asked for, so that a delay on the way only shortens it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests granted.
    pub tokens: u32,
    /// Time after which one more request fits; zero if the node may ask for more at once.
    pub retry_after: Duration,
    /// Time for which the requests may be used, counted from the moment at which they were asked for, if a delegate hands
    /// them on. A grant of the owner itself lasts as the limits say.
    pub lifetime: Option<Duration>,
}

//! Generational `Copy` keys into the arenas of the engine and the forwarder.

use slotmap::new_key_type;

new_key_type! {
    /// An upstream of the bundle in force, or a replica in the forwarder.
    pub struct UpstreamKey;
    /// A service of the engine or of the forwarder.
    pub struct ServiceKey;
    /// A workspace of the bundle in force.
    pub struct WorkspaceKey;
    /// A queued or running query.
    pub struct QueryKey;
    /// One sub-request to one upstream. The first reply removes it, which makes duplicate replies recognisable.
    pub struct AttemptKey;
    /// A request that is being forwarded to upstreams.
    pub struct FlowKey;
    /// A booking without an outcome.
    pub struct BookingKey;
    /// A caller that is waiting for an answer.
    pub struct CallerKey;
    /// Another node of the fleet with which there is a link.
    pub struct PeerKey;
}

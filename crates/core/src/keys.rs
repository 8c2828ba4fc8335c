//! Generational `Copy` keys into the arenas of the decisions.

use slotmap::new_key_type;

new_key_type! {
    /// An upstream of the bundle in force.
    pub struct UpstreamKey;
    /// A service of the bundle in force.
    pub struct ServiceKey;
    /// A tenant of the bundle in force.
    pub struct TenantKey;
    /// A running query.
    pub struct QueryKey;
    /// One sub-request to one upstream; its key goes out of use with its one reply.
    pub struct AttemptKey;
    /// A running forwarded request.
    pub struct FlowKey;
    /// A running booking.
    pub struct BookingKey;
    /// A caller that waits for an answer.
    pub struct CallerKey;
    /// Another node of the fleet.
    pub struct PeerKey;
}

//! Simulated fleet whose upstreams are disturbed while urgent and latency-tolerant requests, gathered and plain, share
//! the budgets of extra attempts. Measured without a network.

#[path = "../placement/event_queue.rs"]
mod event_queue;
mod figures;
mod fleet;
#[expect(dead_code, reason = "the simulation uses a part of the fixtures")]
#[path = "../forwarding/forward_fixtures.rs"]
mod forward_fixtures;
mod goals;
#[expect(
    dead_code,
    reason = "only the placement tests disturb single upstreams"
)]
#[path = "../placement/upstream_model.rs"]
mod upstream_model;

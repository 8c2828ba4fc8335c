//! Simulated fleet whose upstreams are disturbed while urgent and latency-tolerant requests, gathered and plain, share
//! the budgets of extra attempts. Measured without a network.

mod figures;
mod fleet;
mod goals;
#[expect(
    dead_code,
    reason = "only the placement tests disturb single upstreams"
)]
#[path = "../placement/upstream_model.rs"]
mod upstream_model;

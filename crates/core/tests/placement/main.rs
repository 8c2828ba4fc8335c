//! Simulated fleets that share upstreams and know their load only from replies, measured without a network.

mod connections;
mod event_queue;
mod figures;
mod fleet;
#[expect(dead_code, reason = "the simulation uses a part of the fixtures")]
#[path = "../forwarding/forward_fixtures.rs"]
mod forward_fixtures;
mod goals;
mod upstream_model;

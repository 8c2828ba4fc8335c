//! Simulated fleets that share upstreams and know their load only from replies, measured without a network.

mod connections;
mod figures;
mod fleet;
mod goals;
mod upstream_model;

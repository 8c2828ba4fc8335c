//! Tests of the interfaces for callers and administrators over real HTTP.

#[path = "../common/test_node.rs"]
mod common;
mod metrics;
mod privacy;
mod refusals;
mod status;
mod tls;

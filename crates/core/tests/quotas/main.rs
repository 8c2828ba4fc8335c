//! Quotas of workspaces over a simulated fleet.

mod bounds;
mod quota_sim;
mod service;
mod traffic;

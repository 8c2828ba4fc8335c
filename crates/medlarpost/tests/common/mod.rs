//! Fixtures for tests that run nodes as processes.

pub mod node_process;
pub mod process_fleet;

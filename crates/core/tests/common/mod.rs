//! Fixtures shared by several test files.

#[expect(dead_code, reason = "each test file uses a part of the simulation")]
pub mod fleet_sim;

//! Fixtures of the tests that start a fleet.

#[expect(dead_code, reason = "each test file uses a part of the fixtures")]
pub mod test_fleet;

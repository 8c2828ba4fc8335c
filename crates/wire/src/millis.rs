//! Times as milliseconds in messages.

use crate::prelude::*;

/// Whole milliseconds, rounded down; a time that does not fit is sent as the longest that does.
pub(crate) fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

//! Rate limit for log lines, by event.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    sync::atomic::{AtomicU64, Ordering},
};

/// Lines of one event that are written in each window.
pub const MAX_LINES_PER_WINDOW: u32 = 200;

/// Length of a window, in seconds.
pub const WINDOW_SECONDS: u64 = 10;

/// Number of counters. Events are assigned by hash; two events with the same counter share its limit.
const SLOTS: usize = 64;

/// Counts lines by event without a lock: each slot packs a window number and the number of lines in that window.
#[derive(Debug)]
pub struct LogLimiter {
    slots: [AtomicU64; SLOTS],
    suppressed: AtomicU64,
}

/// Whether to write a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// Write it.
    Write {
        /// Lines of the event that were suppressed in its last window.
        suppressed_before: u32,
    },
    /// Don't write it; [`LogLimiter::suppressed`] counts it.
    Suppress,
}

impl LogLimiter {
    /// A limiter that has counted no lines.
    pub const fn new() -> Self {
        Self {
            slots: [const { AtomicU64::new(0) }; SLOTS],
            suppressed: AtomicU64::new(0),
        }
    }

    /// Counts a line of an event and decides whether to write it. `seconds` is the time since any fixed origin.
    pub fn decide(&self, event: &str, seconds: u64) -> LogDecision {
        let mut hasher = DefaultHasher::new();
        event.hash(&mut hasher);
        let slot = &self.slots[hasher.finish() as usize % SLOTS];
        // Windows count from 1, because 0 marks a slot that has not been used.
        let window = (seconds / WINDOW_SECONDS + 1) as u32;
        let mut suppressed_before = 0;
        let update = slot.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |packed| {
            let (seen, lines) = ((packed >> 32) as u32, packed as u32);
            if seen == window {
                suppressed_before = 0;
                return Some(packed.saturating_add(u64::from(lines < u32::MAX)));
            }
            suppressed_before = lines.saturating_sub(MAX_LINES_PER_WINDOW);
            Some(u64::from(window) << 32 | 1)
        });
        let before = update.unwrap_or_else(|packed| packed);
        let same_window = (before >> 32) as u32 == window;
        if same_window && before as u32 >= MAX_LINES_PER_WINDOW {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return LogDecision::Suppress;
        }
        LogDecision::Write { suppressed_before }
    }

    /// Lines suppressed since the process started.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self::new()
    }
}

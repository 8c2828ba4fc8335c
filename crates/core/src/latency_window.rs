//! Median of the recent reply times of one upstream.

use crate::prelude::*;

/// Reply times kept.
const CAPACITY: usize = 64;

/// Reply times needed for a median.
const MIN_SAMPLES: usize = 16;

/// Replies between two computations of the median, each of which sorts the window.
const MEDIAN_REFRESH: usize = 8;

/// The latest 64 reply times and their median.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    median: Option<Duration>,
}

impl LatencyWindow {
    /// Adds a reply time, replacing the oldest one if the window is full.
    pub fn add(&mut self, time: Duration) {
        if self.samples.len() < CAPACITY {
            self.samples.push(time);
        } else {
            self.samples[self.next % CAPACITY] = time;
        }
        self.next = self.next.wrapping_add(1);
        if self.samples.len() >= MIN_SAMPLES && self.next.is_multiple_of(MEDIAN_REFRESH) {
            let mut sorted = self.samples.clone();
            sorted.sort_unstable();
            self.median = Some(sorted[sorted.len() / 2]);
        }
    }

    /// Median as of at most 8 replies ago; `None` until there are 16.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }
}

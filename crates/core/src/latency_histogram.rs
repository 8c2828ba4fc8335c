//! Histogram of the recent latencies of one service.

use crate::prelude::*;

/// Buckets of each power of two, which bound the relative error of a quantile by 1/16.
const BUCKETS_PER_POWER: usize = 16;

/// Powers of two covered, from 1 µs to about 18 minutes.
const POWERS_OF_TWO: usize = 30;

/// Values in one half of the window. When the newer half is full, the older one is dropped.
const HALF_WINDOW: u32 = 512;

/// Most values between two computations of a cached quantile.
const QUANTILE_REFRESH: u32 = 16;

/// Log-linear histogram of the latest 512 to 1,024 latencies, in microseconds.
#[derive(Debug)]
pub struct LatencyHistogram {
    halves: [Vec<u32>; 2],
    counts: [u32; 2],
    /// Quantile, number of values recorded when it was computed, and its value.
    cached_quantiles: Vec<(f64, u64, Duration)>,
    recorded: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            halves: [
                vec![0; BUCKETS_PER_POWER * POWERS_OF_TWO],
                vec![0; BUCKETS_PER_POWER * POWERS_OF_TWO],
            ],
            counts: [0; 2],
            cached_quantiles: Vec::new(),
            recorded: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds one value.
    pub fn record(&mut self, latency: Duration) {
        if self.counts[0] == HALF_WINDOW {
            self.halves.swap(0, 1);
            self.counts = [0, self.counts[0]];
            self.halves[0].fill(0);
        }
        self.halves[0][bucket_index(latency)] += 1;
        self.counts[0] += 1;
        self.recorded += 1;
    }

    /// Number of values in the window; at most 1,024.
    pub fn len(&self) -> u32 {
        self.counts[0] + self.counts[1]
    }

    /// Whether the window has no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Upper bound of the bucket that holds quantile `q` (0 to 1), at most 16 values old; `None` without values.
    pub fn quantile(&mut self, q: f64) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let recorded = self.recorded;
        let fresh = |at: u64| recorded < at + u64::from(QUANTILE_REFRESH.min(self.len() / 8 + 1));
        let known = self
            .cached_quantiles
            .iter()
            .position(|(asked, ..)| asked.to_bits() == q.to_bits());
        if let Some(entry) = known.map(|position| &self.cached_quantiles[position])
            && fresh(entry.1)
        {
            return Some(entry.2);
        }
        let value = self.compute_quantile(q);
        match known {
            Some(position) => self.cached_quantiles[position] = (q, recorded, value),
            None => self.cached_quantiles.push((q, recorded, value)),
        }
        Some(value)
    }

    fn compute_quantile(&self, q: f64) -> Duration {
        let rank = (q.clamp(0.0, 1.0) * f64::from(self.len())).ceil().max(1.0) as u32;
        let mut seen = 0;
        for position in 0..BUCKETS_PER_POWER * POWERS_OF_TWO {
            seen += self.halves[0][position] + self.halves[1][position];
            if seen >= rank {
                return upper_bound(position);
            }
        }
        upper_bound(BUCKETS_PER_POWER * POWERS_OF_TWO - 1)
    }
}

fn bucket_index(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1);
    let power = micros.ilog2() as usize;
    // The four bits below the leading one select the bucket within the power.
    let step = if power >= 4 {
        (micros >> (power - 4)) as usize & (BUCKETS_PER_POWER - 1)
    } else {
        ((micros << (4 - power)) as usize) & (BUCKETS_PER_POWER - 1)
    };
    (power * BUCKETS_PER_POWER + step).min(BUCKETS_PER_POWER * POWERS_OF_TWO - 1)
}

fn upper_bound(position: usize) -> Duration {
    let (power, step) = (position / BUCKETS_PER_POWER, position % BUCKETS_PER_POWER);
    let micros = (1u64 << power) * (BUCKETS_PER_POWER + step + 1) as u64 / BUCKETS_PER_POWER as u64;
    Duration::from_micros(micros)
}

//! Token bucket for quotas and for the rate of messages about them.

use crate::prelude::*;

/// Token bucket whose rate and burst are passed in with each call, because they follow the configuration and the share
/// of the fleet that the owner hears.
///
/// The crate `governor` fixes rate and burst when a limiter is made and grants all of a request or nothing, while the
/// owner grants as much as there is.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    /// From 0 to the burst of the last call.
    tokens: f64,
    updated_at: Timestamp,
}

impl QuotaBucket {
    /// A bucket that was empty at this time, because another process may have granted its tokens a moment before.
    pub fn empty(at: Timestamp) -> Self {
        Self {
            tokens: 0.0,
            updated_at: at,
        }
    }

    /// A bucket with this many tokens.
    pub fn with_tokens(at: Timestamp, tokens: f64) -> Self {
        Self {
            tokens,
            updated_at: at,
        }
    }

    /// Adds the tokens of the time since the last call, and returns how many there are.
    pub fn refill(&mut self, now: Timestamp, rate: f64, burst: f64) -> f64 {
        let added = now.since(self.updated_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(burst);
        self.updated_at = self.updated_at.max(now);
        self.tokens
    }

    /// Takes whole tokens, at most those that the last refill found.
    pub fn take(&mut self, count: u32) {
        self.tokens = (self.tokens - f64::from(count)).max(0.0);
    }

    /// Time until a whole token is there, if tokens are added at `rate`. Zero if there is one now.
    pub fn time_to_token(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }
}

//! Budget of the extra load from hedges and retries.

/// Upper bound of the balance, in sub-requests. A query of 230 shards deposits 9 at the default share.
const MAX_BALANCE: f64 = 20.0;

/// Token bucket filled only by primary sub-requests, so that extra sub-requests never exceed their share of the primary
/// ones. It starts empty.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Deposits the `share` (0 to 1) of an extra sub-request that one primary sub-request allows.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share.clamp(0.0, 1.0)).min(MAX_BALANCE);
    }

    /// Balance in sub-requests.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    /// Whether the balance covers one extra sub-request.
    pub fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws one extra sub-request if the balance covers it. Returns whether it did.
    pub fn try_withdraw(&mut self) -> bool {
        let covered = self.covers_one();
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}

//! Budget of the load that hedges and retries add.

/// Most extra sub-requests that can be saved up. A query of 230 shards earns 9 at the default share.
const MAX_BALANCE: f64 = 20.0;

/// Token bucket that is filled by primary sub-requests only, so that extra sub-requests never exceed their share of
/// the primary ones. It starts empty.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Earns for one primary sub-request; `share` is 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share.clamp(0.0, 1.0)).min(MAX_BALANCE);
    }

    /// What is left, in sub-requests.
    pub fn balance(&self) -> f64 {
        self.tokens
    }

    /// Whether one extra sub-request is within the budget.
    pub fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one extra sub-request out of the budget, if it is within it.
    pub fn try_withdraw(&mut self) -> bool {
        let covered = self.covers_one();
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}

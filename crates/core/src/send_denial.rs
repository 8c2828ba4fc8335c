//! Reasons not to send a further attempt.

use crate::prelude::*;

vocabulary! {
    /// Why no further attempt was sent for a shard, in the order in which the conditions are checked.
    pub enum SendDenial {
        /// An earlier attempt may have run and the route is not idempotent.
        AtMostOnce = "once",
        /// Too little time is left before the deadline.
        TooLittleTime = "time",
        /// The route allows no more attempts.
        MaxAttempts = "attempts",
        /// No upstream that has not been tried yet accepts requests.
        NoUpstream = "no_upstream",
        /// The service's budget of extra requests is used up.
        BudgetExhausted = "budget",
    }
}

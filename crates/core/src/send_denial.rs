//! Why no further attempt was sent for a shard.

use crate::prelude::*;

vocabulary! {
    /// Why no further attempt was sent for a shard, in the order in which it is looked at.
    pub enum SendDenial {
        /// It may have run and must not run twice.
        AtMostOnce = "once",
        /// Too little time is left.
        TooLittleTime = "time",
        /// The route allows no more attempts.
        MaxAttempts = "attempts",
        /// No upstream that has not been tried takes work.
        NoUpstream = "no_upstream",
        /// The budget of extra requests of the service is used up.
        BudgetExhausted = "budget",
    }
}

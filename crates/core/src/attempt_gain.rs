//! What an extra attempt adds to its answer, and how much of the budget of extra attempts must remain for those that add
//! more.

use crate::{forward_sends::SendCause, prelude::*};

vocabulary! {
    /// Gain of an extra attempt, by which the budget is shared out.
    pub enum AttemptGain {
        /// A trial of a suspect, which adds nothing to the answer.
        Trial = "trial",
        /// A hedge whose reply is expected after the objective, for a request that is not gathered.
        Late = "late",
        /// A hedge for a request that tolerates latency.
        Tolerant = "tolerant",
        /// A hedge for an urgent request.
        Urgent = "urgent",
        /// A retry, or a hedge without which the answer would have too few shards.
        Decisive = "decisive",
    }
}

impl AttemptGain {
    /// Share of the budget that must remain after the attempt, for attempts that gain more. A late hedge needs more of it
    /// than a trial, which may bring back an upstream for many requests.
    pub(crate) fn reserve_share(self) -> f64 {
        match self {
            Self::Late => 0.4,
            Self::Trial => 0.2,
            Self::Tolerant => 0.16,
            Self::Urgent => 0.12,
            Self::Decisive => 0.0,
        }
    }
}

/// An extra attempt that may be sent, and the answer that it is for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExtraAttempt {
    pub(crate) cause: SendCause,
    /// Whether the request is urgent.
    pub(crate) is_urgent: bool,
    /// Shards that are expected to answer without the attempt.
    pub(crate) expected_shards: usize,
    /// Shards that a gathered answer needs; `None` for a request that is not sharded.
    pub(crate) needed_shards: Option<usize>,
    /// Time left to the latency objective, or to the deadline if the objective has passed.
    pub(crate) time_left: Duration,
    /// Expected time to the reply.
    pub(crate) reply_time: Duration,
    /// Whether `reply_time` follows from load reports of the upstream.
    pub(crate) is_reported: bool,
}

impl ExtraAttempt {
    /// What the attempt gains.
    ///
    /// # Errors
    ///
    /// [`SendDenial::TooLittleTime`] if it gains nothing, because the answer would be sent before its reply.
    pub(crate) fn gain(&self) -> Result<AttemptGain, SendDenial> {
        if self.cause == SendCause::Trial {
            return Ok(AttemptGain::Trial);
        }
        if self.cause == SendCause::Retry || self.is_short_of_shards() {
            return Ok(AttemptGain::Decisive);
        }
        if self.is_late() {
            // A gathered answer is sent at the objective without the shard.
            return match self.needed_shards {
                Some(_) => Err(SendDenial::TooLittleTime),
                None => Ok(AttemptGain::Late),
            };
        }
        Ok(if self.is_urgent {
            AttemptGain::Urgent
        } else {
            AttemptGain::Tolerant
        })
    }

    /// Whether a gathered answer would have too few shards without the attempt.
    fn is_short_of_shards(&self) -> bool {
        self.needed_shards
            .is_some_and(|needed| self.expected_shards < needed)
    }

    /// Whether the reply is expected too late. Without load reports, little is known about that.
    fn is_late(&self) -> bool {
        self.is_reported && self.reply_time > self.time_left
    }
}

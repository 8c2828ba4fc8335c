//! States, events, guards and actions of the state chart `charts/upstream.toml`: the health of an upstream.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/upstream.toml`.
    pub enum UpstreamCondition {
        /// Nothing is known since the last start, loss or opening.
        Unknown = "unknown",
        /// The first attempts of the warm-up's owner are in flight.
        Probing = "probing",
        /// The warm-up's owner sends attempts within a growing allowance.
        Warming = "warming",
        /// All nodes may send to it.
        Warm = "warm",
        /// A connection was lost or replies became slow.
        Suspect = "suspect",
        /// Will be removed and gets no new work.
        Leaving = "leaving",
        /// Its zone is out and gets no new work.
        Out = "out",
    }
}

impl UpstreamCondition {
    /// Whether only the owner of its warm-up may send to it.
    pub fn is_cold(self) -> bool {
        match self {
            Self::Unknown | Self::Probing | Self::Warming | Self::Suspect => true,
            Self::Warm | Self::Leaving | Self::Out => false,
        }
    }
}

vocabulary! {
    /// Events of `charts/upstream.toml`.
    pub enum UpstreamEvent {
        /// An attempt was sent.
        Sent = "sent",
        /// A successful reply arrived that was not slow.
        Good = "good",
        /// A connection was lost, or replies stopped.
        Lost = "lost",
        /// A reply carried another start time.
        Restarted = "restarted",
        /// Several replies in a row were slow.
        Slow = "slow",
        /// A peer reported it as cold.
        ColdNews = "cold_news",
        /// The owner of its warm-up reported it as warm.
        WarmNews = "warm_news",
        /// This node may have missed a report that it is cold.
        MissedNews = "missed_news",
        /// The bundle takes its zone out.
        ZoneOut = "zone_out",
        /// The bundle marks it as leaving.
        Leave = "leave",
        /// The bundle lets it take work.
        Open = "open",
    }
}

vocabulary! {
    /// Guards of `charts/upstream.toml`.
    pub enum UpstreamGuard {
        /// Its process has run for the warm-up time, and nothing but a start could have made it cold.
        LongRunning = "long_running",
        /// The allowance has reached the slots, and the warm-up time has passed.
        RampComplete = "ramp_complete",
        /// A report that it is warm arrived while it was closed at this node.
        HeardWarm = "heard_warm",
    }
}

vocabulary! {
    /// Actions of `charts/upstream.toml`.
    pub enum FakeUpstreamEvent {
        /// Count a successful reply towards the allowance.
        CountGood = "count_good",
        /// Start the ramp again.
        ResetAllowance = "reset_allowance",
        /// Require the whole ramp before it counts as warm again.
        RequireRamp = "require_ramp",
        /// Start a new round, so that reports of earlier rounds become stale.
        NextRound = "next_round",
        /// Start a new round and report to the peers that it is cold.
        ShareCold = "share_cold",
        /// Report to the peers that it is warm.
        ShareWarm = "share_warm",
    }
}

/// State machine of the health of one upstream.
#[derive(Debug)]
pub enum UpstreamMachine {}

impl Machine for UpstreamMachine {
    type Action = FakeUpstreamEvent;
    type Event = UpstreamEvent;
    type Guard = UpstreamGuard;
    type State = UpstreamCondition;

    const SOURCE: &'static str = include_str!("../charts/upstream.toml");
}

//! Names of the state chart of an upstream's health.

use crate::prelude::*;

vocabulary! {
    /// States of `charts/upstream.toml`.
    pub enum UpstreamCondition {
        /// Nothing is known since the last start, loss or opening.
        Unknown = "unknown",
        /// The steward's first attempts are running.
        Probing = "probing",
        /// Takes the steward's attempts within a growing allowance.
        Warming = "warming",
        /// Takes work from all nodes.
        Warm = "warm",
        /// A connection was lost or replies became slow.
        Suspect = "suspect",
        /// Will be removed and takes no new work.
        Leaving = "leaving",
        /// Its zone takes no new work.
        Out = "out",
    }
}

vocabulary! {
    /// Events of `charts/upstream.toml`.
    pub enum UpstreamEvent {
        /// An attempt was sent.
        Sent = "sent",
        /// A good reply came in the usual time.
        Good = "good",
        /// A connection was lost, or nothing is heard any more.
        Lost = "lost",
        /// A reply carried another start time.
        Restarted = "restarted",
        /// Several replies in a row were slow.
        Slow = "slow",
        /// A peer found it cold.
        ColdNews = "cold_news",
        /// The steward found it warm.
        WarmNews = "warm_news",
        /// This node was cut off for a time in which peers may have found it cold.
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
        /// The allowance has reached the slots and the warm-up time has passed.
        RampComplete = "ramp_complete",
        /// News that it is warm came while this node had it closed.
        HeardWarm = "heard_warm",
    }
}

vocabulary! {
    /// Actions of `charts/upstream.toml`.
    pub enum UpstreamAction {
        /// Count a good reply towards the allowance.
        CountGood = "count_good",
        /// Begin the ramp again.
        ResetAllowance = "reset_allowance",
        /// Let nothing but the whole ramp make it warm.
        RequireRamp = "require_ramp",
        /// Begin a new round of the knowledge about it.
        NextRound = "next_round",
        /// Begin a new round and tell the peers that it is cold.
        ShareCold = "share_cold",
        /// Tell the peers that it is warm.
        ShareWarm = "share_warm",
    }
}

/// Machine of one upstream's health.
#[derive(Debug)]
pub enum UpstreamMachine {}

impl Machine for UpstreamMachine {
    type Action = UpstreamAction;
    type Event = UpstreamEvent;
    type Guard = UpstreamGuard;
    type State = UpstreamCondition;

    const SOURCE: &'static str = include_str!("../charts/upstream.toml");
}

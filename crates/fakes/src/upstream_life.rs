//! Types of the chart of a fake upstream's life cycle.

use medlarpost_core::{prelude::*, vocabulary};

vocabulary! {
    /// States of `charts/upstream_life.toml`.
    pub enum LifeState {
        /// Runs as many requests as it has slots.
        Warm = "warm",
        /// Has just started and runs only its cold slots.
        Cold = "cold",
        /// Has replied since its start; its capacity rises step by step.
        Warming = "warming",
        /// Does not listen, after a crash or a planned stop.
        Crashed = "crashed",
        /// Finishes its requests before a planned stop.
        Leaving = "leaving",
    }
}

vocabulary! {
    /// Events of `charts/upstream_life.toml`.
    pub enum LifeEvent {
        /// A request was answered.
        Replied = "replied",
        /// The caches were lost.
        Chilled = "chilled",
        /// More requests arrived than its capacity while cold.
        Overloaded = "overloaded",
        /// A request crashed the process.
        Crash = "crash",
        /// A planned stop was announced.
        Leave = "leave",
        /// The planned stop took place.
        Gone = "gone",
        /// The process started again.
        Restarted = "restarted",
    }
}

vocabulary! {
    /// Guards of `charts/upstream_life.toml`.
    pub enum LifeGuard {
        /// The capacity has risen to the number of slots.
        FullCapacity = "full_capacity",
    }
}

vocabulary! {
    /// Actions of `charts/upstream_life.toml`.
    pub enum LifeAction {
        /// Reset the capacity to the cold slots and set a new start time.
        ForgetWarmth = "forget_warmth",
        /// Record an overload event.
        RecordOverload = "record_overload",
        /// Record a crash event.
        RecordCrash = "record_crash",
        /// Close the listener and all connections, and drop all requests.
        LoseWork = "lose_work",
        /// Restart after a fixed delay.
        ScheduleRestart = "schedule_restart",
        /// Accept connections again.
        Listen = "listen",
    }
}

/// State machine of a fake upstream's life cycle.
#[derive(Debug)]
pub enum LifeMachine {}

impl Machine for LifeMachine {
    type Action = LifeAction;
    type Event = LifeEvent;
    type Guard = LifeGuard;
    type State = LifeState;

    const SOURCE: &'static str = include_str!("../charts/upstream_life.toml");
}

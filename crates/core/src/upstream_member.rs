//! An upstream of the current bundle, with its health and load.

use crate::{
    prelude::*,
    upstream_chart::{UpstreamCondition, UpstreamEvent, UpstreamMachine},
    upstream_health::{HealthNews, RampSettings, UpstreamHealth},
    upstream_limiter::{LoadSignal, UpstreamLimiter},
};

/// Inverse of the weight of a new reply time in the moving average.
const LATENCY_SMOOTHING: u32 = 8;

/// Time after which an upstream has noticed that a caller closed its connection.
const CANCEL_LAG: Duration = Duration::from_millis(250);

/// An upstream of the current bundle, with its health and load.
#[derive(Debug)]
pub(crate) struct UpstreamMember {
    pub(crate) key: UpstreamKey,
    pub(crate) spec: Upstream,
    pub(crate) ramp: RampSettings,
    /// Whether the upstream and its zone take new work.
    pub(crate) open: bool,
    /// Attempts sent whose end has not been reported.
    pub(crate) in_flight: u32,
    /// For each attempt that ended without a reply, the time until which it may still be running there.
    unconfirmed: Vec<Timestamp>,
    pub(crate) health: UpstreamHealth,
    pub(crate) limiter: UpstreamLimiter,
    pub(crate) latency: Option<Duration>,
    pub(crate) reported: Option<(u32, Timestamp)>,
}

impl UpstreamMember {
    /// An upstream to which nothing was sent.
    pub(crate) fn new(
        key: UpstreamKey,
        spec: Upstream,
        ramp: RampSettings,
        health: UpstreamHealth,
        connections: u32,
    ) -> Self {
        Self {
            key,
            limiter: UpstreamLimiter::new(spec.slots, connections),
            spec,
            ramp,
            open: false,
            in_flight: 0,
            unconfirmed: Vec::new(),
            health,
            latency: None,
            reported: None,
        }
    }

    /// Number of attempts in flight, or ended so recently without a reply that they may still run there.
    pub(crate) fn possibly_running(&self, now: Timestamp) -> u32 {
        let unconfirmed = self.unconfirmed.iter().filter(|until| **until > now);
        self.in_flight + unconfirmed.count() as u32
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, now: Timestamp, outcome: &Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Silent | Outcome::Broken) {
            self.unconfirmed.retain(|until| *until > now);
            self.unconfirmed.push(now + CANCEL_LAG);
        }
    }

    /// Applies an event to the health and reports the news that follows.
    pub(crate) fn apply_event(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        event: UpstreamEvent,
        commands: &mut Vec<Command>,
    ) {
        let ramp = self.ramp;
        let news = self.change_health(commands, |health| {
            health.apply_event(chart, now, &ramp, event)
        });
        self.share_news(news, commands);
    }

    /// Changes the health. If the upstream ceases to be warm, attempts that were allowed for a warm one are withdrawn
    /// as far as they have not been written: however long they wait for a connection, they would overload a cold one.
    pub(crate) fn change_health<T>(
        &mut self,
        commands: &mut Vec<Command>,
        change: impl FnOnce(&mut UpstreamHealth) -> T,
    ) -> T {
        let was_warm = self.health.condition() == UpstreamCondition::Warm;
        let result = change(&mut self.health);
        if was_warm && self.health.condition().is_cold() {
            commands.push(Command::WithdrawUnsent(self.key));
        }
        result
    }

    /// Updates limiter and latency by the end of an attempt.
    pub(crate) fn observe_load(&mut self, now: Timestamp, sent: Timestamp, reply: &Reply) {
        let time = now.since(sent);
        let signal = match reply.outcome {
            Outcome::Answered(_) | Outcome::Booked(_) => LoadSignal::Replied(time),
            Outcome::Shed => LoadSignal::Shed,
            Outcome::Silent => LoadSignal::Silent,
            _ => return,
        };
        let median = self.health.median_reply_time();
        self.limiter
            .observe(now, sent, self.in_flight, median, signal);
        // The wait for a missing reply counts as its reply time, so that replica choice avoids the upstream.
        if signal != LoadSignal::Shed {
            let latency = self.latency.unwrap_or(time);
            self.latency = Some((latency * (LATENCY_SMOOTHING - 1) + time) / LATENCY_SMOOTHING);
        }
        if let Some(report) = reply.report {
            self.reported = Some((report.in_flight, now));
        }
    }

    /// Reports news to the peers.
    pub(crate) fn share_news(&self, news: Option<HealthNews>, commands: &mut Vec<Command>) {
        commands.extend(news.map(|news| Command::Broadcast(self.named_news(news))));
    }

    /// Adds the upstream's name, because keys differ between nodes.
    pub(crate) fn named_news(&self, news: HealthNews) -> News {
        let upstream = self.spec.name.clone();
        match news {
            HealthNews::Cold {
                started_at_ms,
                round,
            } => News::Cold {
                upstream,
                started_at_ms,
                round,
            },
            HealthNews::Warm {
                started_at_ms,
                round,
            } => News::Warm {
                upstream,
                started_at_ms,
                round,
            },
        }
    }

    /// Status for operators. `owns_warm_up` says whether this node owns the upstream's warm-up.
    pub(crate) fn status(&self, owns_warm_up: bool) -> UpstreamStatus {
        let condition = self.health.condition();
        let cold = condition.is_cold();
        let mut reason = state_reason(condition).map(str::to_owned);
        if let Some(reason) = reason.as_mut().filter(|_| cold && owns_warm_up) {
            reason.push_str("; this node owns its warm-up");
        }
        UpstreamStatus {
            name: self.spec.name.clone(),
            zone: self.spec.zone.clone(),
            state: condition.name().to_owned(),
            reason,
            allowance: cold.then(|| self.health.allowance()),
            limit: self.limiter.limit(),
            running: self.in_flight,
            latency_ms: self.latency.map(|time| time.as_secs_f64() * 1_000.0),
        }
    }
}

/// Parameters of the upstream's warm-up ramp.
pub(crate) fn ramp_settings(spec: &Upstream, bundle: &Bundle) -> RampSettings {
    RampSettings {
        cold_slots: spec.cold_slots,
        slots: spec.slots,
        step_replies: bundle.policy.warm_step_replies,
        warm_up: Duration::from_millis(bundle.policy.warm_up_ms),
    }
}

fn state_reason(condition: UpstreamCondition) -> Option<&'static str> {
    match condition {
        UpstreamCondition::Warm => None,
        UpstreamCondition::Unknown => Some("no reply yet; only its warm-up owner may send to it"),
        UpstreamCondition::Suspect => Some("a connection broke or stopped replying"),
        UpstreamCondition::Probing => Some("its warm-up owner waits for a first reply"),
        UpstreamCondition::Warming => {
            Some("its warm-up owner raises the allowance with each run of good replies")
        }
        UpstreamCondition::Leaving => Some("leaving in the bundle"),
        UpstreamCondition::Out => Some("zone out in the bundle"),
    }
}

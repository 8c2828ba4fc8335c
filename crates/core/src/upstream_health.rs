//! Health of one upstream as seen by one node.

use crate::{
    latency_window::LatencyWindow,
    prelude::*,
    upstream_chart::{
        FakeUpstreamEvent, UpstreamCondition, UpstreamEvent, UpstreamGuard, UpstreamMachine,
    },
};

/// Ratio of a reply time to the median above which the reply is slow.
const SLOW_REPLY_RATIO: u32 = 4;

/// Consecutive slow replies that make an upstream suspect.
const SUSPECT_AFTER_SLOW: u32 = 3;

/// Consecutive attempts without a connection that make an upstream suspect. One or two may also be attempts that were
/// cancelled before they were sent.
const SUSPECT_AFTER_NOT_SENT: u32 = 3;

/// Shortest wait after which a missing reply counts as a loss while the median reply time is not known. Callers may set
/// deadlines of 1 ms, whose misses show nothing.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Time for which an upstream that was warm may still run what other nodes sent before they heard that it is cold: the
/// way of the news, and a slow request.
const PEER_WORK_DRAIN: Duration = Duration::from_secs(1);

/// Parameters of an upstream's warm-up ramp, from the bundle.
#[derive(Clone, Copy, Debug)]
pub struct RampSettings {
    /// Concurrent requests that the upstream can run just after a cold start.
    pub cold_slots: u32,
    /// Concurrent requests that the upstream can run when warm.
    pub slots: u32,
    /// Consecutive successful replies after which the allowance grows by one.
    pub step_replies: u32,
    /// Least time from the start of the process until the upstream is warm.
    pub warm_up: Duration,
}

/// Health of one upstream: the state of its chart and the evidence that drives it.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    condition: UpstreamCondition,
    /// Start time of its process in milliseconds since the Unix epoch; 0 if unknown.
    started_at_ms: u64,
    /// When this start time was first seen, which gives a lower bound of the process's age.
    first_seen: Timestamp,
    /// How often it has been found cold. Nodes agree on the highest round that any of them reports; news of earlier
    /// rounds is ignored.
    round: u64,
    /// Highest round of warm news received while it was closed here.
    pending_warm_round: Option<u64>,
    /// Concurrent requests that the warm-up's owner may run there while it is not warm.
    allowance: u32,
    /// Until then, other nodes' attempts may still use up the allowance.
    peer_work_until: Timestamp,
    good_run: u32,
    slow_run: u32,
    not_sent_run: u32,
    ramp_required: bool,
    /// Attempts sent earlier are no evidence for the current ramp.
    ignore_sent_before: Timestamp,
    last_reply: Timestamp,
    reply_times: LatencyWindow,
}

/// A change of health to report to the peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthNews {
    /// It was found cold.
    Cold {
        /// Start time of its process in milliseconds since the Unix epoch; 0 if unknown.
        started_at_ms: u64,
        /// Cold round that begins.
        round: u64,
    },
    /// It was found warm.
    Warm {
        /// Start time of its process in milliseconds since the Unix epoch.
        started_at_ms: u64,
        /// Cold round that ends.
        round: u64,
    },
}

impl UpstreamHealth {
    /// Health in the chart's initial state.
    pub fn new(chart: &Chart<UpstreamMachine>, ramp: &RampSettings) -> Self {
        Self {
            condition: chart.initial(),
            started_at_ms: 0,
            first_seen: Timestamp::ZERO,
            round: 0,
            pending_warm_round: None,
            allowance: ramp.cold_slots.max(1),
            peer_work_until: Timestamp::ZERO,
            good_run: 0,
            slow_run: 0,
            not_sent_run: 0,
            ramp_required: false,
            ignore_sent_before: Timestamp::ZERO,
            last_reply: Timestamp::ZERO,
            reply_times: LatencyWindow::default(),
        }
    }

    /// Current state of the chart.
    pub fn condition(&self) -> UpstreamCondition {
        self.condition
    }

    /// Concurrent requests that the warm-up's owner may run there while it is not warm.
    pub fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Whether other nodes' attempts, sent while it was warm, may still run there.
    pub fn may_run_peer_work(&self, now: Timestamp) -> bool {
        now < self.peer_work_until
    }

    /// Median of the recent reply times; `None` until there are enough.
    pub fn median_reply_time(&self) -> Option<Duration> {
        self.reply_times.median()
    }

    /// News that brings a newly connected peer up to date, if there is any.
    pub fn state_news(&self) -> Option<HealthNews> {
        let (started_at_ms, round) = (self.started_at_ms, self.round);
        match self.condition {
            UpstreamCondition::Warm => Some(HealthNews::Warm {
                started_at_ms,
                round,
            }),
            UpstreamCondition::Leaving | UpstreamCondition::Out => None,
            _ if round > 0 => Some(HealthNews::Cold {
                started_at_ms,
                round,
            }),
            _ => None,
        }
    }

    /// Applies an event that is not the end of an attempt or a probe. Returns the news to report.
    pub fn apply_event(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        ramp: &RampSettings,
        event: UpstreamEvent,
    ) -> Option<HealthNews> {
        let age = now.since(self.first_seen);
        self.transition(chart, now, ramp, event, age)
    }

    /// Applies the end of an attempt that was sent at `sent`. Returns the news to report.
    pub fn record_attempt_end(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        (now, sent): (Timestamp, Timestamp),
        ramp: &RampSettings,
        outcome: &Outcome,
        report: Option<&LoadReport>,
    ) -> Option<HealthNews> {
        if let Some(report) = report
            && self.detect_restart(now, sent, report)
        {
            return self.apply_event(chart, now, ramp, UpstreamEvent::Restarted);
        }
        let previous_reply = self.last_reply;
        let replied = !matches!(
            outcome,
            Outcome::Broken | Outcome::Silent | Outcome::NotSent
        );
        if replied {
            (self.last_reply, self.not_sent_run) = (now, 0);
        }
        if sent < self.ignore_sent_before {
            return None;
        }
        let event = match outcome {
            Outcome::Answered(_) | Outcome::Booked(_) => self.classify_reply(now.since(sent))?,
            Outcome::Broken => UpstreamEvent::Lost,
            Outcome::Silent if self.shows_loss(now, sent, previous_reply) => UpstreamEvent::Lost,
            Outcome::NotSent => self.count_not_sent()?,
            Outcome::Shed => {
                self.good_run = 0;
                return None;
            }
            _ => return None,
        };
        let age = report
            .and_then(|report| report.uptime_ms)
            .map_or_else(|| now.since(self.first_seen), Duration::from_millis);
        self.transition(chart, now, ramp, event, age)
    }

    /// Applies the reply to a probe. It can only show that the process has run for longer than the warm-up time,
    /// because the load in health reports lags behind.
    pub fn record_probe(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        ramp: &RampSettings,
        report: &LoadReport,
    ) -> Option<HealthNews> {
        let uptime = Duration::from_millis(report.uptime_ms?);
        let awaits_reply = matches!(
            self.condition,
            UpstreamCondition::Unknown | UpstreamCondition::Suspect
        );
        if !awaits_reply || self.ramp_required || uptime < ramp.warm_up {
            return None;
        }
        if report.started_at_ms != self.started_at_ms {
            (self.started_at_ms, self.first_seen) = (report.started_at_ms, now);
        }
        self.transition(chart, now, ramp, UpstreamEvent::Good, uptime)
    }

    /// Applies a peer's news that the upstream is cold.
    pub fn apply_cold_news(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        ramp: &RampSettings,
        (started_at_ms, round): (u64, u64),
    ) {
        let newer_start = started_at_ms > self.started_at_ms;
        if newer_start {
            let known = self.started_at_ms != 0;
            (self.started_at_ms, self.first_seen) = (started_at_ms, now);
            if !known && round <= self.round {
                return;
            }
        }
        if round > self.round || newer_start {
            self.round = self.round.max(round);
            self.apply_event(chart, now, ramp, UpstreamEvent::ColdNews);
        }
    }

    /// Applies news from the warm-up's owner that the upstream is warm.
    pub fn apply_warm_news(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        ramp: &RampSettings,
        (started_at_ms, round): (u64, u64),
    ) {
        let closed = matches!(
            self.condition,
            UpstreamCondition::Leaving | UpstreamCondition::Out
        );
        if closed {
            self.pending_warm_round = self.pending_warm_round.max(Some(round));
            return;
        }
        let same_round = round == self.round && started_at_ms >= self.started_at_ms;
        if round > self.round || same_round {
            self.round = round;
            if started_at_ms != self.started_at_ms {
                (self.started_at_ms, self.first_seen) = (started_at_ms, now);
            }
            self.ramp_required = false;
            self.apply_event(chart, now, ramp, UpstreamEvent::WarmNews);
        }
    }

    /// Whether a reply comes from another process than the known one. A reply of an earlier process to an attempt sent
    /// before the known one was seen is no restart.
    fn detect_restart(&mut self, now: Timestamp, sent: Timestamp, report: &LoadReport) -> bool {
        let (old, new) = (self.started_at_ms, report.started_at_ms);
        if old == new || (new < old && sent < self.first_seen) {
            return false;
        }
        (self.started_at_ms, self.first_seen) = (new, now);
        old != 0
    }

    /// Event for a successful reply after this time; `None` for a slow one that does not complete a run.
    fn classify_reply(&mut self, time: Duration) -> Option<UpstreamEvent> {
        let median = self.reply_times.median();
        self.reply_times.add(time);
        if median.is_none_or(|median| time <= median * SLOW_REPLY_RATIO) {
            self.slow_run = 0;
            return Some(UpstreamEvent::Good);
        }
        self.slow_run += 1;
        if self.slow_run < SUSPECT_AFTER_SLOW {
            return None;
        }
        self.slow_run = 0;
        Some(UpstreamEvent::Slow)
    }

    /// Whether a missing reply indicates the loss of the upstream. If other replies arrived meanwhile, the connection
    /// failed or the upstream is overloaded, and restricting who may send to it would not help.
    fn shows_loss(&self, now: Timestamp, sent: Timestamp, previous_reply: Timestamp) -> bool {
        let min_silence = self
            .reply_times
            .median()
            .map_or(MIN_SILENCE, |median| median * SLOW_REPLY_RATIO);
        previous_reply <= sent && now.since(sent) >= min_silence
    }

    fn count_not_sent(&mut self) -> Option<UpstreamEvent> {
        self.not_sent_run += 1;
        if self.not_sent_run < SUSPECT_AFTER_NOT_SENT {
            return None;
        }
        self.not_sent_run = 0;
        Some(UpstreamEvent::Lost)
    }

    fn transition(
        &mut self,
        chart: &Chart<UpstreamMachine>,
        now: Timestamp,
        ramp: &RampSettings,
        event: UpstreamEvent,
        age: Duration,
    ) -> Option<HealthNews> {
        let old_enough = age >= ramp.warm_up;
        let was_warm = self.condition == UpstreamCondition::Warm;
        let step = chart.step(self.condition, event, |guard| match guard {
            UpstreamGuard::LongRunning => old_enough && !self.ramp_required,
            UpstreamGuard::RampComplete => old_enough && self.allowance >= ramp.slots,
            UpstreamGuard::HeardWarm => self.pending_warm_round > Some(self.round),
        });
        self.condition = step.next;
        if was_warm && self.condition != UpstreamCondition::Warm {
            self.peer_work_until = now + PEER_WORK_DRAIN;
        }
        let mut news = None;
        for action in step.actions {
            match action {
                FakeUpstreamEvent::CountGood => self.count_good(ramp),
                FakeUpstreamEvent::ResetAllowance => self.reset_allowance(now, ramp, event),
                FakeUpstreamEvent::RequireRamp => self.ramp_required = true,
                FakeUpstreamEvent::NextRound => {
                    self.round = (self.round + 1).max(self.pending_warm_round.take().unwrap_or(0));
                }
                FakeUpstreamEvent::ShareCold => {
                    self.round += 1;
                    let restarted = event == UpstreamEvent::Restarted;
                    news = Some(HealthNews::Cold {
                        started_at_ms: if restarted { self.started_at_ms } else { 0 },
                        round: self.round,
                    });
                }
                FakeUpstreamEvent::ShareWarm => {
                    self.ramp_required = false;
                    news = self.state_news();
                }
            }
        }
        news
    }

    fn count_good(&mut self, ramp: &RampSettings) {
        self.good_run += 1;
        if self.good_run >= ramp.step_replies {
            self.good_run = 0;
            self.allowance = (self.allowance + 1).min(ramp.slots.max(ramp.cold_slots));
        }
    }

    fn reset_allowance(&mut self, now: Timestamp, ramp: &RampSettings, event: UpstreamEvent) {
        self.allowance = ramp.cold_slots.max(1);
        (self.good_run, self.slow_run, self.not_sent_run) = (0, 0, 0);
        self.ignore_sent_before = now;
        if event == UpstreamEvent::Restarted {
            self.ramp_required = false;
        }
    }
}

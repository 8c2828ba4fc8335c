//! A registered upstream as this node sees it.

use crate::{prelude::*, reply_times::ReplyTimes};
use std::collections::VecDeque;

/// First wait before a suspect gets a trial request.
const FIRST_BACK_OFF: Duration = Duration::from_millis(250);

/// Longest wait between two trials.
const MAX_BACK_OFF: Duration = Duration::from_secs(2);

/// Connections that break in a row before an upstream is suspect. Single ones break in working upstreams too.
const BREAKS_IN_A_ROW: u32 = 4;

/// Weight of a new sample in the slowness and the share of failures.
const WEIGHT: f64 = 0.2;

/// Age at which a reported load says nothing any more.
const LOAD_LIFETIME: Duration = Duration::from_millis(150);

/// Time within which the memory of failures fades to half, so that an upstream that has recovered gets work again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Time within which the memory of slow replies fades to half. A trial of a slow upstream costs a late reply or a hedge.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Multiple of the usual reply time after which an attempt that was cancelled without a reply shows something.
const UNANSWERED_RATIO: f64 = 3.0;

/// Bounds of the reply time of one sample as a multiple of the usual one.
const SLOWNESS_BOUNDS: (f64, f64) = (0.3, 20.0);

/// Cost of a certain failure, as a share of the objective: the time that a second attempt takes, and the budget that it
/// uses.
const FAILURE_COST: f64 = 4.0;

/// Length of the window in which the requests of a cold upstream are counted. A little over the second for which its
/// rate is given, because requests may be held up on the way.
const COLD_WINDOW: Duration = Duration::from_millis(1_200);

/// A registered upstream.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) entry: RegisteredUpstream,
    pub(crate) service: ServiceKey,
    pub(crate) state: ReplicaState,
    /// Whether the registry still has it. One without an entry ends when nothing runs on it.
    pub(crate) registered: bool,
    cold_until: Timestamp,
    /// Sends within the last [`COLD_WINDOW`].
    recent_sends: VecDeque<Timestamp>,
    trial_at: Timestamp,
    back_off: Duration,
    breaks: u32,
    may_have_restarted: bool,
    /// Attempts that run, oldest first.
    running: Vec<(AttemptKey, Timestamp)>,
    last_reply: Timestamp,
    /// Its reply times as a multiple of the usual ones, at the time of the last sample.
    slowness: f64,
    /// Time of the last sample of the slowness.
    timed: Timestamp,
    /// Share of its recent replies that are failures, at the time of the last one.
    failures: f64,
    /// Time of the last reply or failure.
    judged: Timestamp,
    load: Option<(Timestamp, ReportedLoad)>,
}

impl Replica {
    pub(crate) fn new(
        now: Timestamp,
        entry: RegisteredUpstream,
        service: ServiceKey,
        state: ReplicaState,
    ) -> Self {
        Self {
            cold_until: now + entry.cold_for,
            entry,
            service,
            state,
            registered: true,
            recent_sends: VecDeque::new(),
            trial_at: Timestamp::ZERO,
            back_off: FIRST_BACK_OFF,
            breaks: 0,
            may_have_restarted: false,
            running: Vec::new(),
            last_reply: Timestamp::ZERO,
            slowness: 1.0,
            timed: Timestamp::ZERO,
            failures: 0.0,
            judged: Timestamp::ZERO,
            load: None,
        }
    }

    /// Steps its chart, and returns the note if the belief changed.
    pub(crate) fn step(
        &mut self,
        chart: &Chart<ReplicaMachine>,
        now: Timestamp,
        event: ReplicaEvent,
        warm_up: Duration,
    ) -> Option<ForwardTelemetry> {
        let from = self.state;
        let step = chart.step(from, event, |guard| match guard {
            ReplicaGuard::RunOfBreaks => self.breaks >= BREAKS_IN_A_ROW,
            ReplicaGuard::MayHaveRestarted => self.may_have_restarted,
        });
        self.state = step.next;
        for action in step.actions {
            match action {
                ReplicaAction::BeginWarmUp => {
                    self.cold_until = self.cold_until.max(now + warm_up);
                    self.may_have_restarted = false;
                    self.breaks = 0;
                    self.slowness = 1.0;
                    self.back_off = FIRST_BACK_OFF;
                }
                ReplicaAction::ExpectRestart => self.may_have_restarted = true,
                ReplicaAction::BackOff => {
                    self.trial_at = now + self.back_off;
                    self.back_off = (self.back_off * 2).min(MAX_BACK_OFF);
                }
            }
        }
        (from != self.state).then(|| ForwardTelemetry::UpstreamChanged {
            instance: Arc::clone(&self.entry.instance),
            service: Arc::clone(&self.entry.service),
            from,
            to: self.state,
            cause: event,
            silent_for: now.since(self.last_reply),
        })
    }

    /// Whether the warm-up time is over.
    pub(crate) fn is_warmed(&self, now: Timestamp) -> bool {
        self.state == ReplicaState::Cold && self.cold_until <= now
    }

    /// Whether a new attempt may go there, when this node may hold `connections` to it and send it `cold_sends`
    /// requests in one window while it is cold.
    pub(crate) fn takes_work(&mut self, now: Timestamp, connections: u32, cold_sends: u32) -> bool {
        if self.running.len() >= connections as usize {
            return false;
        }
        match self.state {
            ReplicaState::Warm => true,
            ReplicaState::Cold => {
                self.forget_sends(now);
                self.recent_sends.len() < cold_sends as usize
            }
            ReplicaState::Suspect | ReplicaState::Trial | ReplicaState::Leaving => false,
        }
    }

    /// Whether a suspect's next trial is due.
    pub(crate) fn trial_due(&self, now: Timestamp) -> bool {
        self.state == ReplicaState::Suspect && self.trial_at <= now
    }

    /// Time in seconds until a reply is expected to a request with these usual reply times.
    pub(crate) fn expected(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        let failing = self.failures(now) * FAILURE_COST * times.objective();
        let service_time = times.mean() * self.slowness(now);
        // An idle upstream is a little better than a busy one.
        let slots = self.entry.slots.max(1);
        let busy = f64::from(self.ahead(now).min(slots)) / f64::from(slots) * 0.1;
        let time = service_time * (1.0 + self.rounds_ahead(now) + busy);
        time + self.silence(now, times) + failing
    }

    /// Time in seconds that a request spends there because of the requests before it. A slow upstream with an empty queue
    /// is not overloaded.
    pub(crate) fn queue_time(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        times.mean() * (1.0 + self.rounds_ahead(now))
    }

    /// How often all its slots are used before a new request gets one.
    fn rounds_ahead(&self, now: Timestamp) -> f64 {
        let slots = self.entry.slots.max(1);
        f64::from((self.ahead(now) + 1).saturating_sub(slots)) / f64::from(slots)
    }

    /// Requests that run or wait there, as far as is known.
    fn ahead(&self, now: Timestamp) -> u32 {
        let reported = match self.load {
            Some((at, load)) if now.since(at) < LOAD_LIFETIME => load.running + load.waiting,
            _ => 0,
        };
        reported.max(self.running.len() as u32)
    }

    /// How long it has been silent, in seconds, if that is longer than a reply takes; otherwise 0.
    fn silence(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        let Some(&(_, oldest)) = self.running.first() else {
            return 0.0;
        };
        let silent = now.since(oldest.max(self.last_reply));
        if silent <= times.late().mul_f64(self.slowness(now).max(1.0)) {
            return 0.0;
        }
        // A pause that has lasted for some time lasts about as long again.
        silent.as_secs_f64() + 0.05
    }

    /// Share of its recent replies that are failures, faded by the time since the last one.
    fn failures(&self, now: Timestamp) -> f64 {
        self.failures * fade(now.since(self.judged), FAILURE_HALF_LIFE)
    }

    /// Its reply times as a multiple of the usual ones, faded by the time since the last sample.
    fn slowness(&self, now: Timestamp) -> f64 {
        1.0 + (self.slowness - 1.0) * fade(now.since(self.timed), SLOWNESS_HALF_LIFE)
    }

    /// Takes a reply time as a sample of the slowness. Replies that a pause held up come together and count as one.
    fn time(&mut self, now: Timestamp, time: Duration, usual: f64) {
        if now.since(self.timed).as_secs_f64() < usual {
            return;
        }
        let (least, most) = SLOWNESS_BOUNDS;
        let ratio = (time.as_secs_f64() / usual.max(f64::MIN_POSITIVE)).clamp(least, most);
        let slowness = self.slowness(now);
        self.slowness = slowness + WEIGHT * (ratio - slowness);
        self.timed = now;
    }

    /// Takes account of an attempt that ended without any sign of the upstream since it was sent. Without this, a dark
    /// upstream would be asked again as soon as its cancelled attempts have ended.
    fn unanswered(&mut self, now: Timestamp, sent: Timestamp, usual: f64) {
        let waited = now.since(sent);
        if waited.as_secs_f64() > usual * self.slowness(now).max(1.0) * UNANSWERED_RATIO {
            self.time(now, waited, usual);
            self.judge(now, 1.0);
        }
    }

    fn judge(&mut self, now: Timestamp, failure: f64) {
        let failures = self.failures(now);
        self.failures = failures + WEIGHT * (failure - failures);
        self.judged = now;
    }

    /// Records that an attempt was sent.
    pub(crate) fn sent(&mut self, now: Timestamp, attempt: AttemptKey) {
        self.running.push((attempt, now));
        self.forget_sends(now);
        self.recent_sends.push_back(now);
    }

    /// Records the end of an attempt that usually takes `usual` seconds, and returns what it shows.
    pub(crate) fn finished(
        &mut self,
        now: Timestamp,
        end: &AttemptEnd,
        usual: f64,
    ) -> Option<ReplicaEvent> {
        let position = self
            .running
            .iter()
            .position(|(key, _)| *key == end.attempt)?;
        let (_, sent) = self.running.remove(position);
        if let Some(load) = end.load {
            self.load = Some((now, load));
        }
        match &end.outcome {
            ForwardOutcome::Served(_) => {
                self.time(now, now.since(sent), usual);
                Some(self.answered(now, 0.0))
            }
            ForwardOutcome::NotRun(NotRunCause::OtherInstance) => Some(ReplicaEvent::Leave),
            ForwardOutcome::Failed(_) | ForwardOutcome::Invalid | ForwardOutcome::NotRun(_) => {
                Some(self.answered(now, 1.0))
            }
            ForwardOutcome::ConnectionLost => {
                self.breaks += 1;
                self.judge(now, 1.0);
                Some(ReplicaEvent::Broken)
            }
            ForwardOutcome::NotSent => Some(ReplicaEvent::Unreachable),
            ForwardOutcome::TimedOut if self.last_reply <= sent => Some(ReplicaEvent::Unreachable),
            ForwardOutcome::TimedOut => {
                self.judge(now, 1.0);
                (self.state == ReplicaState::Trial).then_some(ReplicaEvent::Broken)
            }
            ForwardOutcome::Cancelled => {
                if self.last_reply <= sent {
                    self.unanswered(now, sent, usual);
                }
                (self.state == ReplicaState::Trial).then_some(ReplicaEvent::Broken)
            }
        }
    }

    /// Whether nothing runs on it.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Takes over a changed entry of the registry.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        entry: RegisteredUpstream,
    ) -> Option<ReplicaEvent> {
        if self.registered && entry == self.entry {
            return None;
        }
        self.registered = true;
        let restarted = entry.started_at_ms != self.entry.started_at_ms
            || (!entry.cold_for.is_zero() && self.state != ReplicaState::Cold);
        self.cold_until = self.cold_until.max(now + entry.cold_for);
        let (was_leaving, leaving) = (self.state == ReplicaState::Leaving, entry.leaving);
        self.entry = entry;
        if leaving {
            return Some(ReplicaEvent::Leave);
        }
        if was_leaving {
            return Some(ReplicaEvent::Stay);
        }
        restarted.then_some(ReplicaEvent::Restarted)
    }

    fn answered(&mut self, now: Timestamp, failure: f64) -> ReplicaEvent {
        self.last_reply = now;
        self.breaks = 0;
        self.judge(now, failure);
        ReplicaEvent::Answered
    }

    fn forget_sends(&mut self, now: Timestamp) {
        while self
            .recent_sends
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            self.recent_sends.pop_front();
        }
    }
}

/// Weight that is left of a memory of this age.
fn fade(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

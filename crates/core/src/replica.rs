//! State and load of a registered upstream as seen by this node.

use crate::{
    decay::decay,
    load_estimate::{ExpectedLoad, LoadEstimate},
    peer_evidence::PeerEvidence,
    prelude::*,
    replica_draw::Candidate,
    reply_times::ReplyTimes,
    upstream_notice::AbsentNotice,
};
use std::collections::VecDeque;

/// Wait before the first trial request of a suspect; doubles after each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest wait between two trials.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Connections lost in a row after which an upstream is suspect. Healthy upstreams lose single connections too.
const SUSPECT_AFTER_LOSSES: u32 = 4;

/// Weight of a new sample in the moving averages of slowness and failure rate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Age at which reported load no longer counts as known requests.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);

/// Time that a pause is expected to last beyond the time that it has lasted.
const MIN_REMAINING_PAUSE_SECS: f64 = 0.05;

/// Multiple of the expected reply time after which silence is taken for a pause, if the upstream reports its load: a
/// reply that the queue delays is expected later.
const REPORTED_LATE_RATIO: f64 = 1.25;

/// Multiple of the expected reply time after which other nodes are told of the silence. Single requests may take twice as
/// long as usual.
pub(crate) const SHARED_LATE_RATIO: f64 = 3.0;

/// Half-life of the failure rate, so that an upstream that has recovered receives requests again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Half-life of the slowness. Longer than that of failures, because trying a slow upstream again costs a late reply or
/// a hedge.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Multiple of the usual reply time after which a cancelled attempt without a reply counts against the upstream.
const MIN_UNANSWERED_RATIO: f64 = 3.0;

/// Bounds of a reply time sample, as multiples of the usual reply time.
const SLOWNESS_SAMPLE_BOUNDS: (f64, f64) = (0.3, 20.0);

/// Cost of a certain failure as a multiple of the latency objective: the time of a second attempt and its share of the
/// budget.
const FAILURE_COST: f64 = 4.0;

/// Longest time for which an upstream's own word keeps requests away from it. A faulty one may state any number.
const MAX_REST: Duration = Duration::from_mins(5);

/// Cost of a replica that another node advises against, in seconds: more than any reply takes, so that it is used only if
/// no other one accepts work.
const ADVISED_AGAINST_COST_SECS: f64 = 60.0;

/// Window in which requests to a cold upstream are counted. A little longer than the second for which its rate is
/// given, because requests may be delayed on the way.
const COLD_WINDOW: Duration = Duration::from_millis(1_200);

/// A registered upstream, or one that finishes its attempts after its entry has gone.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) entry: RegisteredUpstream,
    /// When `entry` was set.
    entry_changed_at: Timestamp,
    pub(crate) service: ServiceKey,
    pub(crate) state: ReplicaState,
    /// Whether the registry still has its entry. A replica without one is removed once it is idle.
    pub(crate) registered: bool,
    cold_until: Timestamp,
    /// Send times within the last [`COLD_WINDOW`].
    recent_sends: VecDeque<Timestamp>,
    trial_at: Timestamp,
    backoff: Duration,
    connection_losses: u32,
    may_have_restarted: bool,
    /// Attempts in flight with their send times, oldest first.
    running: Vec<(AttemptKey, Timestamp)>,
    last_reply_at: Timestamp,
    /// Reply times as a multiple of the usual ones, at `slowness_updated_at`.
    slowness: f64,
    slowness_updated_at: Timestamp,
    /// Share of recent attempts that failed, at `failures_updated_at`.
    failure_rate: f64,
    failures_updated_at: Timestamp,
    load: LoadEstimate,
    /// Digest of the start in `entry`.
    pub(crate) digest: UpstreamDigest,
    /// What this node and others have observed lately.
    pub(crate) peers: PeerEvidence,
    /// Whether it is leaving by its own word. The registry's entry, which may be older, brings it back only with a new
    /// start or after it has shown the upstream as leaving.
    announced_leaving: bool,
    /// Time until which the upstream wants no requests from this node.
    rest_until: Timestamp,
    /// Time until which other replicas are preferred, because another node advises against this one.
    avoid_until: Timestamp,
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
            digest: UpstreamDigest::of(&entry.instance, entry.started_at_ms),
            peers: PeerEvidence::default(),
            entry,
            entry_changed_at: now,
            service,
            state,
            registered: true,
            recent_sends: VecDeque::new(),
            trial_at: Timestamp::ZERO,
            backoff: INITIAL_BACKOFF,
            connection_losses: 0,
            may_have_restarted: false,
            running: Vec::new(),
            last_reply_at: Timestamp::ZERO,
            slowness: 1.0,
            slowness_updated_at: Timestamp::ZERO,
            failure_rate: 0.0,
            failures_updated_at: Timestamp::ZERO,
            load: LoadEstimate::default(),
            announced_leaving: false,
            rest_until: Timestamp::ZERO,
            avoid_until: Timestamp::ZERO,
        }
    }

    /// Applies what was known of the upstream before its entry appeared.
    pub(crate) fn apply_absent_notice(&mut self, notice: AbsentNotice) {
        self.avoid_until = notice.avoid_until;
        if notice.leaving && self.state != ReplicaState::Leaving {
            self.announced_leaving = true;
            self.state = ReplicaState::Leaving;
        }
    }

    /// Applies another node's notice. Returns whether it applies to this start of the upstream.
    pub(crate) fn apply_peer_notice(&mut self, now: Timestamp, notice: &UpstreamNotice) -> bool {
        let applies = notice.started_at_ms == self.entry.started_at_ms;
        if applies {
            self.avoid_until = self.avoid_until.max(now + notice.holds_for());
        }
        applies
    }

    /// Keeps requests away for the time that the upstream states. Returns how long that is, bounded.
    pub(crate) fn rest(&mut self, now: Timestamp, time: Duration) -> Duration {
        let time = time.min(MAX_REST);
        self.rest_until = self.rest_until.max(now + time);
        time
    }

    /// Time for which it still wants no requests; `None` if it takes them.
    pub(crate) fn rest_left(&self, now: Timestamp) -> Option<Duration> {
        (self.rest_until > now).then(|| self.rest_until.since(now))
    }

    /// Marks it as leaving by its own word. The chart event follows separately.
    pub(crate) fn announce_leaving(&mut self) {
        self.announced_leaving = true;
    }

    /// Whether it is leaving by its own word.
    pub(crate) fn has_announced_leaving(&self) -> bool {
        self.announced_leaving
    }

    /// Applies an event to the state chart. Returns the change for the log if the state differs.
    pub(crate) fn apply_event(
        &mut self,
        chart: &Chart<ReplicaMachine>,
        now: Timestamp,
        event: ReplicaEvent,
        warm_up: Duration,
    ) -> Option<ForwardTelemetry> {
        let from = self.state;
        let step = chart.step(from, event, |guard| match guard {
            ReplicaGuard::RunOfBreaks => self.connection_losses >= SUSPECT_AFTER_LOSSES,
            ReplicaGuard::MayHaveRestarted => self.may_have_restarted,
        });
        self.state = step.next;
        for action in step.actions {
            match action {
                ReplicaAction::BeginWarmUp => {
                    self.cold_until = self.cold_until.max(now + warm_up);
                    self.may_have_restarted = false;
                    self.connection_losses = 0;
                    self.slowness = 1.0;
                    self.load = LoadEstimate::default();
                    self.peers.clear();
                    self.backoff = INITIAL_BACKOFF;
                }
                ReplicaAction::ExpectRestart => self.may_have_restarted = true,
                ReplicaAction::BackOff => {
                    self.trial_at = now + self.backoff;
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
        (from != self.state).then(|| ForwardTelemetry::UpstreamChanged {
            instance: Arc::clone(&self.entry.instance),
            service: Arc::clone(&self.entry.service),
            from,
            to: self.state,
            cause: event,
            silent_for: now.since(self.last_reply_at),
        })
    }

    /// Whether it is cold and its warm-up time has passed.
    pub(crate) fn is_warmed(&self, now: Timestamp) -> bool {
        self.state == ReplicaState::Cold && self.cold_until <= now
    }

    /// Whether it can be sent another attempt, given the connections that this node may use and the requests that it
    /// may send in one [`COLD_WINDOW`] while the upstream is cold.
    pub(crate) fn accepts_work(&self, now: Timestamp, connections: u32, cold_sends: u32) -> bool {
        self.obstacle(now, connections, cold_sends).is_none()
    }

    /// Why it can't be sent another attempt, as [`Self::accepts_work`] judges it; `None` if it can. A replica whose
    /// warm-up time has passed counts as warm.
    pub(crate) fn obstacle(
        &self,
        now: Timestamp,
        connections: u32,
        cold_sends: u32,
    ) -> Option<ReplicaObstacle> {
        if let Some(left) = self.rest_left(now) {
            return Some(ReplicaObstacle::Resting { left });
        }
        if self.running.len() >= connections as usize {
            return Some(ReplicaObstacle::ConnectionsInUse { limit: connections });
        }
        match self.state {
            ReplicaState::Warm => None,
            ReplicaState::Cold if self.is_warmed(now) => None,
            ReplicaState::Cold => {
                let recent = |at: &&Timestamp| now.since(**at) < COLD_WINDOW;
                let is_full =
                    self.recent_sends.iter().filter(recent).count() >= cold_sends as usize;
                is_full.then(|| ReplicaObstacle::ColdRate {
                    limit: cold_sends,
                    left: self.cold_until.since(now),
                })
            }
            ReplicaState::Suspect => Some(ReplicaObstacle::Suspect {
                trial_in: self.trial_at.since(now),
            }),
            ReplicaState::Trial => Some(ReplicaObstacle::TrialInFlight),
            ReplicaState::Leaving => Some(ReplicaObstacle::Leaving),
        }
    }

    /// What is known about it, for operators. The obstacle is left out, because it depends on the request.
    pub(crate) fn belief(
        &self,
        now: Timestamp,
        upstream: UpstreamKey,
        times: Option<&ReplyTimes>,
    ) -> ReplicaBelief {
        let load = self.load.latest().map(|(at, load)| LoadBelief {
            source: LoadSource::OwnReply,
            age: now.since(at),
            load,
        });
        let has_replied = self.last_reply_at > Timestamp::ZERO;
        ReplicaBelief {
            upstream,
            instance: Arc::clone(&self.entry.instance),
            zone: Arc::clone(&self.entry.zone),
            slots: self.entry.slots,
            state: if self.is_warmed(now) {
                ReplicaState::Warm
            } else {
                self.state
            },
            obstacle: None,
            entry_age: now.since(self.entry_changed_at),
            reply_age: has_replied.then(|| now.since(self.last_reply_at)),
            load,
            expected_requests: self.expected_load(now).requests(),
            running: self.running.len(),
            expected_reply: times.map(|times| {
                let failure_cost = self.failure_cost(now, times);
                self.reply_time(now, times).saturating_add(failure_cost)
            }),
            slowness: self.slowness(now),
            failure_rate: self.failure_rate(now),
            advised_against_for: (self.avoid_until > now).then(|| self.avoid_until.since(now)),
        }
    }

    /// Whether it is suspect and its backoff has passed.
    pub(crate) fn trial_due(&self, now: Timestamp) -> bool {
        self.state == ReplicaState::Suspect && self.trial_at <= now && self.rest_until <= now
    }

    /// Expected time to a reply, plus the cost of its likely failure, without regard to its reports.
    pub(crate) fn expected_reply_secs(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        self.unreported_reply_secs(now, times) + self.failure_cost_secs(now, times)
    }

    /// Expected time to a reply, without regard to its reports.
    fn unreported_reply_secs(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        let service_time = times.mean_secs() * self.slowness(now);
        // Prefers an idle upstream slightly to a busy one.
        let slots = self.entry.slots.max(1);
        let busy = f64::from(self.known_requests(now).min(slots)) / f64::from(slots) * 0.1;
        let time = service_time * (1.0 + self.rounds_ahead(now) + busy);
        let late_after = times.late_after().mul_f64(self.slowness(now).max(1.0));
        let pause = match self.silent_secs(now, late_after) {
            Some(secs) => secs + MIN_REMAINING_PAUSE_SECS,
            None => 0.0,
        };
        time + pause
    }

    /// Expected time to a reply, judged by its reports if it has sent any.
    pub(crate) fn reply_time(&self, now: Timestamp, times: &ReplyTimes) -> Duration {
        let secs = if self.load.latest().is_some() {
            self.reported_reply_secs(now, times)
        } else {
            self.unreported_reply_secs(now, times)
        };
        duration_from_secs(secs)
    }

    /// Cost of its likely failure, which is added to the time to a reply in the choice.
    pub(crate) fn failure_cost(&self, now: Timestamp, times: &ReplyTimes) -> Duration {
        duration_from_secs(self.failure_cost_secs(now, times))
    }

    /// Age of its latest load report.
    pub(crate) fn report_age(&self, now: Timestamp) -> Option<Duration> {
        self.load.latest().map(|(at, _)| now.since(at))
    }

    /// Its expected reply time and free capacity, judged by its reports.
    pub(crate) fn candidate(
        &self,
        now: Timestamp,
        upstream: UpstreamKey,
        in_own_zone: bool,
        times: &ReplyTimes,
    ) -> Candidate {
        let free_slots = self.expected_load(now).free_slots();
        let failure_secs = self.failure_cost_secs(now, times);
        Candidate {
            upstream,
            in_own_zone,
            expected_secs: self.reported_reply_secs(now, times) + failure_secs,
            failure_secs,
            free_capacity: free_slots / self.service_secs(now, times),
        }
    }

    /// Expected time to a reply, judged by its reports.
    fn reported_reply_secs(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        let rounds_ahead = self.expected_load(now).rounds_ahead();
        let time = self.service_secs(now, times) * (1.0 + rounds_ahead);
        let late_after = duration_from_secs(time * REPORTED_LATE_RATIO);
        let own = time + self.silent_secs(now, late_after).unwrap_or(0.0);
        let usual_secs = times.mean_secs();
        let excess = self
            .peers
            .excess_secs(now, usual_secs, own, self.last_reply_at);
        own + excess
    }

    /// Oldest attempt in flight.
    pub(crate) fn oldest_attempt(&self) -> Option<AttemptKey> {
        self.running.first().map(|(attempt, _)| *attempt)
    }

    /// Time without a reply, counted from `from` at the earliest, if that is [`SHARED_LATE_RATIO`] times the expected
    /// one; `None` otherwise. Upstreams that have not reported their load are not judged.
    pub(crate) fn overdue(
        &self,
        now: Timestamp,
        usual_secs: f64,
        from: Timestamp,
    ) -> Option<Duration> {
        self.load.latest()?;
        let (_, oldest) = self.running.first()?;
        let silent = now.since(self.last_reply_at.max(*oldest).max(from));
        let service_secs = self.usual_multiple(now) * usual_secs;
        let expected_secs = service_secs * (1.0 + self.expected_load(now).rounds_ahead());
        (silent.as_secs_f64() > expected_secs * SHARED_LATE_RATIO).then_some(silent)
    }

    /// Service time, judged by its replies and its reports.
    fn service_secs(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        times.mean_secs() * self.usual_multiple(now)
    }

    /// Service time as a multiple of the usual one.
    fn usual_multiple(&self, now: Timestamp) -> f64 {
        self.slowness(now) * self.load.service_factor(now)
    }

    fn expected_load(&self, now: Timestamp) -> ExpectedLoad {
        let reported_at = self.load.latest().map_or(Timestamp::ZERO, |(at, _)| at);
        let sent_since = self.running.iter().filter(|(_, sent)| *sent >= reported_at);
        let slots = self.entry.slots.max(1);
        self.load
            .expected_load(now, slots, sent_since.count(), self.running.len())
    }

    /// Cost of its likely failure, and of using it against another node's advice.
    fn failure_cost_secs(&self, now: Timestamp, times: &ReplyTimes) -> f64 {
        let failing = self.failure_rate(now) * FAILURE_COST * times.objective_secs();
        let advised_against = if self.avoid_until > now {
            ADVISED_AGAINST_COST_SECS
        } else {
            0.0
        };
        failing + advised_against
    }

    /// Whether a request gets through its queue and service within this time, or finds a slot free. Ignores slowness,
    /// because a slow upstream with an empty queue is not overloaded: refusing its requests would help nobody, and no
    /// reply would show when it has become faster.
    pub(crate) fn answers_within(&self, now: Timestamp, times: &ReplyTimes, secs: f64) -> bool {
        let rounds_ahead = self.rounds_ahead(now);
        rounds_ahead <= 0.0 || times.mean_secs() * (1.0 + rounds_ahead) <= secs
    }

    /// Number of times that all slots are used before a new request gets one.
    fn rounds_ahead(&self, now: Timestamp) -> f64 {
        let slots = self.entry.slots.max(1);
        let waiting = self.known_requests(now).saturating_add(1);
        f64::from(waiting.saturating_sub(slots)) / f64::from(slots)
    }

    /// Known requests in service or in its queue: the reported ones or this node's own, whichever are more.
    fn known_requests(&self, now: Timestamp) -> u32 {
        let reported = match self.load.latest() {
            Some((at, load)) if now.since(at) < MAX_LOAD_AGE => load.requests(),
            _ => 0,
        };
        reported.max(self.running.len() as u32)
    }

    /// Time for which it has given no sign with attempts in flight, if that is longer than `late_after`. A pause that has
    /// lasted for some time is expected to last as long again.
    fn silent_secs(&self, now: Timestamp, late_after: Duration) -> Option<f64> {
        let (_, oldest) = self.running.first()?;
        let silent = now.since(self.last_reply_at.max(*oldest));
        (silent > late_after).then_some(silent.as_secs_f64())
    }

    /// Share of recent attempts that failed, decayed since the last one.
    fn failure_rate(&self, now: Timestamp) -> f64 {
        self.failure_rate * decay(now.since(self.failures_updated_at), FAILURE_HALF_LIFE)
    }

    /// Reply times as a multiple of the usual ones, decayed towards 1 since the last sample.
    fn slowness(&self, now: Timestamp) -> f64 {
        1.0 + (self.slowness - 1.0) * decay(now.since(self.slowness_updated_at), SLOWNESS_HALF_LIFE)
    }

    /// Adds a reply time to the slowness. Replies delayed by one pause arrive together and count as one sample.
    fn record_reply_time(&mut self, now: Timestamp, time: Duration, usual_secs: f64) {
        if now.since(self.slowness_updated_at).as_secs_f64() < usual_secs {
            return;
        }
        let (least, most) = SLOWNESS_SAMPLE_BOUNDS;
        let ratio = (time.as_secs_f64() / usual_secs.max(f64::MIN_POSITIVE)).clamp(least, most);
        let slowness = self.slowness(now);
        self.slowness = slowness + SAMPLE_WEIGHT * (ratio - slowness);
        self.slowness_updated_at = now;
    }

    /// Counts an attempt that was cancelled with no sign of the upstream since it was sent. Otherwise an unresponsive
    /// upstream would be chosen again as soon as its cancelled attempts have ended.
    fn record_unanswered(&mut self, now: Timestamp, sent: Timestamp, usual_secs: f64) {
        let waited = now.since(sent);
        if waited.as_secs_f64() > usual_secs * self.slowness(now).max(1.0) * MIN_UNANSWERED_RATIO {
            self.record_reply_time(now, waited, usual_secs);
            self.record_failure_sample(now, 1.0);
        }
    }

    fn record_failure_sample(&mut self, now: Timestamp, failure: f64) {
        let failures = self.failure_rate(now);
        self.failure_rate = failures + SAMPLE_WEIGHT * (failure - failures);
        self.failures_updated_at = now;
    }

    pub(crate) fn record_send(&mut self, now: Timestamp, attempt: AttemptKey) {
        self.running.push((attempt, now));
        self.expire_sends(now);
        self.recent_sends.push_back(now);
    }

    /// Records the end of an attempt and returns the resulting chart event. `usual_secs` is the usual reply time.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Timestamp,
        end: &AttemptEnd,
        usual_secs: f64,
    ) -> Option<ReplicaEvent> {
        let position = self
            .running
            .iter()
            .position(|(key, _)| *key == end.attempt)?;
        let (_, sent) = self.running.remove(position);
        if let Some(load) = end.report.load {
            self.load.record(now, load);
        }
        match &end.outcome {
            ForwardOutcome::Served(_) => {
                let load = end.report.load.and_then(ReportedLoad::checked);
                let usual_secs = usual_secs * load.map_or(1.0, ReportedLoad::reply_factor);
                self.record_reply_time(now, now.since(sent), usual_secs);
                Some(self.record_answer(now, 0.0))
            }
            ForwardOutcome::NotRun(NotRunCause::OtherInstance) => Some(ReplicaEvent::Leave),
            ForwardOutcome::Failed(_) | ForwardOutcome::Invalid | ForwardOutcome::NotRun(_) => {
                Some(self.record_answer(now, 1.0))
            }
            ForwardOutcome::ConnectionLost => {
                self.connection_losses += 1;
                self.record_failure_sample(now, 1.0);
                Some(ReplicaEvent::Broken)
            }
            ForwardOutcome::NotSent => Some(ReplicaEvent::Unreachable),
            ForwardOutcome::TimedOut if self.last_reply_at <= sent => {
                Some(ReplicaEvent::Unreachable)
            }
            ForwardOutcome::TimedOut => {
                self.record_failure_sample(now, 1.0);
                (self.state == ReplicaState::Trial).then_some(ReplicaEvent::Broken)
            }
            ForwardOutcome::Cancelled => {
                if self.last_reply_at <= sent {
                    self.record_unanswered(now, sent, usual_secs);
                }
                (self.state == ReplicaState::Trial).then_some(ReplicaEvent::Broken)
            }
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Replaces the registry entry and returns the resulting chart event.
    pub(crate) fn update_entry(
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
        if entry.started_at_ms != self.entry.started_at_ms {
            self.announced_leaving = false;
            (self.rest_until, self.avoid_until) = (Timestamp::ZERO, Timestamp::ZERO);
            self.digest = UpstreamDigest::of(&entry.instance, entry.started_at_ms);
            self.peers.clear();
        }
        self.entry = entry;
        self.entry_changed_at = now;
        if leaving {
            // From here on the registry is at least as recent as the upstream's own word.
            self.announced_leaving = false;
            return Some(ReplicaEvent::Leave);
        }
        if was_leaving {
            return (!self.announced_leaving).then_some(ReplicaEvent::Stay);
        }
        restarted.then_some(ReplicaEvent::Restarted)
    }

    fn record_answer(&mut self, now: Timestamp, failure: f64) -> ReplicaEvent {
        self.last_reply_at = now;
        self.connection_losses = 0;
        self.record_failure_sample(now, failure);
        ReplicaEvent::Answered
    }

    fn expire_sends(&mut self, now: Timestamp) {
        while self
            .recent_sends
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            self.recent_sends.pop_front();
        }
    }
}

/// The longest duration if the time is out of range.
fn duration_from_secs(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
}

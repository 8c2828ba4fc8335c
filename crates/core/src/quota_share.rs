//! A node's share of the quota of one workspace: requests that it may admit without asking, and grants of the owner.

use crate::{prelude::*, quota_limits::QuotaDivision, quota_message::MAX_GRANT};
use std::collections::VecDeque;

/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time after which a grant request without a reply is repeated.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after which no reply to a grant request is expected any more.
const MAX_REPLY_TIME: Duration = Duration::from_millis(100);

/// Requests expected during the life of a grant below which none is asked for ahead, because it would mostly be wasted.
const MIN_EXPECTED: f64 = 0.8;

/// Standard deviations of the expected requests by which a node asks for more of them.
const AHEAD_DEVIATIONS: f64 = 0.5;

/// Least time between a reply that does not cover what was wanted and the next grant request.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// The same for a node that serves others as a delegate. It tells them to wait, so that they don't ask meanwhile either.
const DELEGATE_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which this node acts as a delegate, and asks ahead for others, after it has served another one.
const SERVING_TIME: Duration = Duration::from_secs(1);

/// Share of the requests expected during the life of a grant that a delegate asks for ahead. What it holds is used in the
/// order in which it came, so that with a larger stock the last of it would end unused.
const DELEGATE_STOCK_SHARE: f64 = 0.6;

/// Longest time until the next grant request. The owner's share may have grown meanwhile.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest retry time that a refused caller is given, which its header field can express.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Least time for which a request can still be used that a delegate hands on: its reply has to arrive meanwhile.
const MIN_HANDED_ON_TIME: Duration = Duration::from_millis(50);

/// Share of a quota from which on a node asks the owner itself rather than a delegate. No more than a few nodes have so
/// much of the demand.
const DIRECT_SHARE: f64 = 0.125;

/// Grant requests of which a late reply is still accepted.
const MAX_OPEN_REQUESTS: usize = 4;

/// What this node may admit of one workspace's requests.
#[derive(Clone, Debug)]
pub(crate) struct QuotaShare {
    /// Division of the workspace's quota.
    pub(crate) division: QuotaDivision,
    /// When each request was admitted without a grant, oldest first; not more than a local window ago.
    local: VecDeque<Timestamp>,
    /// Grants of which something is left, the next one to end first.
    grants: VecDeque<HeldGrant>,
    /// Requests admitted although nothing covered them, to be covered by the next grants.
    debt: u32,
    /// Requests per second, as of `demand_updated_at`.
    demand: f64,
    demand_updated_at: Timestamp,
    /// Grant requests that may still be answered, oldest first.
    open_requests: VecDeque<OpenRequest>,
    /// When this node last served another one as a delegate.
    served_at: Option<Timestamp>,
    /// Time before which nothing is asked for.
    next_request_at: Timestamp,
    /// Time before which the quota is known to be used up.
    exhausted_until: Timestamp,
    /// When the last reply arrived.
    pub(crate) replied_at: Option<Timestamp>,
}

/// What is left of a grant.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    ends_at: Timestamp,
    /// Requests that may still be admitted; not zero.
    tokens: u32,
}

/// What a delegate hands on for a grant request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandedOn {
    /// Requests that the receiver may admit; zero if nothing is left.
    pub(crate) tokens: u32,
    /// Time for which all of them may be used.
    pub(crate) lifetime: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    id: u32,
    requested_at: Timestamp,
    wanted: u32,
    /// Whether a delegate was asked.
    to_delegate: bool,
}

/// Decision about one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It may be sent.
    Admitted,
    /// The owner has been asked, and its reply will decide.
    Pending,
    /// It is over the quota.
    Refused {
        /// Time after which one more request fits.
        retry_after: Duration,
    },
}

/// What became of a reply to a grant request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GrantOutcome {
    /// It is a copy, or too late.
    Ignored,
    Applied,
    /// The delegate had nothing to hand on.
    Declined,
    /// The node does not act as a delegate.
    NoDelegate,
}

impl QuotaShare {
    pub(crate) fn new(now: Timestamp, division: QuotaDivision) -> Self {
        Self {
            division,
            local: VecDeque::new(),
            grants: VecDeque::new(),
            debt: 0,
            demand: 0.0,
            demand_updated_at: now,
            open_requests: VecDeque::new(),
            served_at: None,
            next_request_at: Timestamp::ZERO,
            exhausted_until: Timestamp::ZERO,
            replied_at: None,
        }
    }

    /// Counts requests of callers, here or at a node that this one serves as a delegate, in the demand.
    pub(crate) fn record_demand(&mut self, now: Timestamp, requests: u32) {
        let time = DEMAND_TIME.as_secs_f64();
        self.demand = self.current_demand(now) + f64::from(requests) / time;
        self.demand_updated_at = now;
    }

    /// Takes a request out of a grant, or out of the local allowance, for which all requests count that were admitted
    /// within `local_window`. Returns whether one was left.
    pub(crate) fn try_take(
        &mut self,
        now: Timestamp,
        allowance: u32,
        local_window: Duration,
    ) -> bool {
        self.expire(now, local_window);
        if let Some(grant) = self.grants.front_mut() {
            grant.tokens -= 1;
            if grant.tokens == 0 {
                self.grants.pop_front();
            }
            return true;
        }
        let is_left = self.local.len() < allowance as usize;
        if is_left {
            self.local.push_back(now);
        }
        is_left
    }

    /// Takes up to `wanted` requests for another node out of the first grant that lasts long enough.
    pub(crate) fn hand_on(&mut self, now: Timestamp, wanted: u32) -> HandedOn {
        self.served_at = Some(now);
        let lasts = |grant: &&mut HeldGrant| grant.ends_at.since(now) >= MIN_HANDED_ON_TIME;
        let Some(grant) = self.grants.iter_mut().find(lasts) else {
            return HandedOn {
                tokens: 0,
                lifetime: MIN_HANDED_ON_TIME,
            };
        };
        let tokens = wanted.min(grant.tokens);
        let lifetime = grant.ends_at.since(now);
        grant.tokens -= tokens;
        self.grants.retain(|grant| grant.tokens > 0);
        HandedOn { tokens, lifetime }
    }

    /// Time until more can be granted, if the quota is known to be used up.
    pub(crate) fn exhausted_for(&self, now: Timestamp) -> Duration {
        self.exhausted_until.since(now)
    }

    /// Whether so much of the demand is here that the owner should be asked directly.
    pub(crate) fn is_large(&self, now: Timestamp) -> bool {
        self.current_demand(now) >= self.division.rate * DIRECT_SHARE
    }

    /// Charges a request that is not refused whatever the quota says. The debt is bounded, so that such requests can't
    /// use up the quota of a long time to come.
    pub(crate) fn charge_unconditionally(&mut self) {
        let max_debt = (self.division.rate + self.division.burst).ceil() as u32;
        self.debt = (self.debt + 1).min(max_debt);
    }

    /// Time until one more request fits, if no reply will tell earlier. A reply can come if a grant request is open or if the
    /// owner `accepts_requests`.
    pub(crate) fn refusal_time(
        &self,
        now: Timestamp,
        accepts_requests: bool,
        local_window: Duration,
    ) -> Option<Duration> {
        if self.exhausted_until > now && self.next_request_at > now {
            return Some(self.exhausted_until.since(now).max(MIN_RETRY_AFTER));
        }
        let is_awaiting = self.is_awaiting(now, MAX_REPLY_TIME);
        if is_awaiting || (accepts_requests && self.next_request_at <= now) {
            return None;
        }
        let oldest = self.local.front();
        let local_left = oldest.map(|at| (*at + local_window).since(now));
        let usual = Duration::try_from_secs_f64(1.0 / self.division.rate);
        let usual = usual.unwrap_or(local_window).min(local_window);
        Some(local_left.map_or(usual, |left| left.min(usual)))
    }

    /// Requests to ask for now, with `waiting` ones that a reply will decide; `None` if it is not the time to ask.
    ///
    /// Grants are asked for ahead of the requests that are expected during the life of one, so that a request rarely
    /// has to wait. A delegate is asked for no more than is needed now: it asks ahead for many nodes together, of which
    /// less is wasted.
    pub(crate) fn next_request(
        &mut self,
        now: Timestamp,
        waiting: u32,
        lifetime: Duration,
        to_delegate: bool,
    ) -> Option<u32> {
        self.expire_requests(now, lifetime);
        if self.is_awaiting(now, REPLY_TIMEOUT) || now < self.next_request_at {
            return None;
        }
        let mut expected = self.current_demand(now) * lifetime.as_secs_f64();
        if self.is_delegate(now) {
            expected *= DELEGATE_STOCK_SHARE;
        }
        let expected = if expected < MIN_EXPECTED || to_delegate {
            0.0
        } else {
            expected
        };
        let held: u32 = self.grants.iter().map(|grant| grant.tokens).sum();
        let is_low = f64::from(held) < expected / 2.0;
        if waiting == 0 && self.debt == 0 && !is_low {
            return None;
        }
        let margin = expected.sqrt() * AHEAD_DEVIATIONS;
        let ahead = ((expected + margin).round() as u32).saturating_sub(held);
        Some(
            waiting
                .saturating_add(self.debt)
                .saturating_add(ahead)
                .min(MAX_GRANT),
        )
    }

    /// Records that a grant request is sent.
    pub(crate) fn record_request(
        &mut self,
        now: Timestamp,
        id: u32,
        wanted: u32,
        to_delegate: bool,
    ) {
        let requested_at = now;
        self.open_requests.push_back(OpenRequest {
            id,
            requested_at,
            wanted,
            to_delegate,
        });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
    }

    /// Adds a grant. One that does not belong to an open grant request is a copy, or too late, and is ignored.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        id: u32,
        grant: &QuotaGrant,
        lifetime: Duration,
    ) -> GrantOutcome {
        let position = self
            .open_requests
            .iter()
            .position(|request| request.id == id);
        let Some(request) = position.and_then(|i| self.open_requests.remove(i)) else {
            return GrantOutcome::Ignored;
        };
        self.open_requests.retain(|other| other.id > id);
        let wait = grant.retry_after;
        if request.to_delegate && grant.tokens == 0 {
            if grant.lifetime.is_none() {
                return GrantOutcome::NoDelegate;
            }
            if wait.is_zero() {
                return GrantOutcome::Declined;
            }
        }
        self.replied_at = Some(now);
        if grant.tokens < request.wanted && !wait.is_zero() {
            let least = self.min_request_interval(now);
            self.next_request_at = now + wait.clamp(least, MAX_REQUEST_INTERVAL);
            self.exhausted_until = now + wait.max(least);
        }
        let lifetime = grant.lifetime.map_or(lifetime, |left| left.min(lifetime));
        self.add(now, grant.tokens, request.requested_at + lifetime);
        GrantOutcome::Applied
    }

    fn is_delegate(&self, now: Timestamp) -> bool {
        self.served_at
            .is_some_and(|at| now.since(at) < SERVING_TIME)
    }

    fn min_request_interval(&self, now: Timestamp) -> Duration {
        if self.is_delegate(now) {
            DELEGATE_REQUEST_INTERVAL
        } else {
            MIN_REQUEST_INTERVAL
        }
    }

    /// Adds requests that may be admitted, less those that the debt takes.
    fn add(&mut self, now: Timestamp, tokens: u32, ends_at: Timestamp) {
        if ends_at <= now {
            return;
        }
        let repaid = self.debt.min(tokens);
        self.debt -= repaid;
        let tokens = tokens - repaid;
        if tokens > 0 {
            let place = self.grants.partition_point(|held| held.ends_at <= ends_at);
            self.grants.insert(place, HeldGrant { ends_at, tokens });
        }
    }

    /// Ends all grants, after an interruption of unknown length.
    pub(crate) fn end_grants(&mut self) {
        self.grants.clear();
        self.open_requests.clear();
        self.next_request_at = Timestamp::ZERO;
        self.exhausted_until = Timestamp::ZERO;
    }

    /// Whether it holds nothing that another division of the quota would have to respect.
    pub(crate) fn is_idle(&self, now: Timestamp, idle_time: Duration) -> bool {
        now.since(self.demand_updated_at) > idle_time && self.debt == 0
    }

    /// Whether something was asked for so lately that a reply may come.
    fn is_awaiting(&self, now: Timestamp, time: Duration) -> bool {
        let last = self.open_requests.back();
        last.is_some_and(|request| now.since(request.requested_at) < time)
    }

    fn current_demand(&self, now: Timestamp) -> f64 {
        let age = now.since(self.demand_updated_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn expire(&mut self, now: Timestamp, local_window: Duration) {
        while self
            .grants
            .front()
            .is_some_and(|grant| grant.ends_at <= now)
        {
            self.grants.pop_front();
        }
        while self
            .local
            .front()
            .is_some_and(|at| now.since(*at) > local_window)
        {
            self.local.pop_front();
        }
    }

    fn expire_requests(&mut self, now: Timestamp, lifetime: Duration) {
        while self
            .open_requests
            .front()
            .is_some_and(|request| now.since(request.requested_at) > lifetime)
        {
            self.open_requests.pop_front();
        }
    }
}

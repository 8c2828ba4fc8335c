//! The owner's side of the quotas: grants out of one token bucket for each workspace.

use crate::{
    prelude::*, quota_bucket::QuotaBucket, quota_fleet::QuotaFleet, quota_limits::QuotaDivision,
};
use std::{collections::HashMap, net::SocketAddr};

/// Share of the tokens at hand that one grant takes if they don't cover all that is wanted, so that one node can't take
/// them all.
const MAX_TOKEN_SHARE: f64 = 0.5;

/// Grant requests that a node takes in one second in a fleet of up to [`SMALL_FLEET_SIZE`] nodes.
const SMALL_FLEET_RATE: f64 = 64.0;

/// The same in a fleet of [`LARGE_FLEET_SIZE`] nodes or more. A reply has about 70 bytes, and the heartbeats of a large
/// fleet leave less of the 6 KB a second for control traffic. Between the two sizes the rate falls linearly.
const LARGE_FLEET_RATE: f64 = 32.0;

/// Number of nodes up to which the lists in heartbeats are short. They grow with a larger fleet.
const SMALL_FLEET_SIZE: f64 = 128.0;

/// Number of nodes from which on these lists count as having their full length.
const LARGE_FLEET_SIZE: f64 = 440.0;

/// Share of the greatest rate of grant requests from which on the owner asks the nodes to pause.
const PAUSE_THRESHOLD: f64 = 0.9;

/// Share of the greatest rate of grant requests from which on the owner has delegates, and that each of them may take.
/// Well below [`PAUSE_THRESHOLD`], so that delegates serve before nodes have to pause.
const DELEGATE_THRESHOLD: f64 = 0.5;

/// Rate of grant requests, per second, that an owner expects from each delegate at most. Half of the owner's greatest rate
/// is left for nodes that ask it directly.
const REQUESTS_PER_DELEGATE: f64 = 4.0;

/// Least number of delegates, so that one can be lost.
const MIN_DELEGATES: f64 = 2.0;

/// Share of the greatest rate of grant requests that a node takes as a delegate: its own requests are part of its traffic.
const DELEGATE_RATE_SHARE: f64 = 0.8;

/// Takes the place of [`PAUSE_THRESHOLD`] while an owner has delegates: nodes learn of them with their next request, and
/// need not pause for that.
const DELEGATING_PAUSE_THRESHOLD: f64 = 2.0;

/// Time for which the owner keeps its delegates after it needed as many. A fleet that pauses sends few requests, and would
/// send all of them to the owner again.
const DELEGATION_TIME: Duration = Duration::from_secs(20);

/// Time for which a node counts as a delegate after a message in which it said that it has served others.
const SERVING_TIME: Duration = Duration::from_secs(10);

/// Time over which grant requests are counted.
const REQUEST_WINDOW: Duration = Duration::from_secs(4);

/// Time for which nodes are asked to pause at least. Nodes ask for what they need in a pause only once they know of it, so
/// that pauses which come and go would leave them short.
const PAUSING_TIME: Duration = Duration::from_secs(20);

/// Longest pause that an owner asks for.
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Most nodes that are counted as asking; more of them lengthen the pause no further.
const MAX_REQUESTERS: usize = 1_000;

/// Retry time of a node that does not act as the owner, or whose share is nothing yet.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// Buckets of the workspaces that this node was asked for.
#[derive(Clone, Debug, Default)]
pub struct QuotaOwner {
    buckets: HashMap<Arc<str>, QuotaBucket>,
    load: RequestLoad,
    /// Time until which grants that last longer than usual may still count in a window.
    long_until: Timestamp,
}

/// The role in which a node receives a grant request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// As the owner, which grants out of its own bucket.
    ToOwner {
        /// Requests that the sender has served as a delegate.
        served: u32,
    },
    /// As a delegate, which hands on grants of the owner.
    ToDelegate,
}

/// Rate at which other nodes request grants.
#[derive(Clone, Debug, Default)]
struct RequestLoad {
    window_start: Timestamp,
    requests: u32,
    /// Requests in the last whole window.
    last_requests: u32,
    /// Requests that delegates have served, in this window and in the last whole one.
    served: u32,
    last_served: u32,
    /// Delegates that were needed lately, and until when they are kept.
    kept_delegates: u32,
    kept_until: Timestamp,
    /// Time until which nodes are asked to pause.
    pausing_until: Timestamp,
    /// When each node last asked.
    requesters: HashMap<SocketAddr, Timestamp>,
    /// When each delegate last said that it has served others.
    served_at: HashMap<SocketAddr, Timestamp>,
}

impl QuotaOwner {
    /// Empties all buckets, after an interruption during which another node may have been the owner.
    pub fn restart(&mut self) {
        self.buckets.clear();
    }

    /// Forgets the workspaces that have no quota any more.
    pub fn retain(&mut self, has_quota: impl Fn(&Arc<str>) -> bool) {
        self.buckets.retain(|workspace, _| has_quota(workspace));
    }

    /// Counts a message of another node, and returns the pause that it should make before the next one. A delegate
    /// makes none, because others wait for it.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: RequestKind,
        fleet: &QuotaFleet,
        limits: &QuotaLimits,
    ) -> Duration {
        let max_rate = max_request_rate(fleet);
        self.load.record(now, from, message);
        self.load.keep_delegates(now, max_rate);
        if self.load.is_delegate(now, from) {
            return Duration::ZERO;
        }
        let pause = self.load.pause(now, message, max_rate);
        if !pause.is_zero() {
            self.long_until = now + limits.max_grant_lifetime() + limits.local_window();
        }
        pause
    }

    /// Number of delegates that nodes should send their grant requests to; zero while the owner can take them all.
    pub fn delegates(&self, now: Timestamp, fleet: &QuotaFleet) -> u32 {
        self.load.delegates(now, max_request_rate(fleet))
    }

    /// Grants what a node asks for, as far as the quota reaches.
    pub fn grant(
        &mut self,
        now: Timestamp,
        fleet: &mut QuotaFleet,
        division: &QuotaDivision,
        request: &GrantRequest,
    ) -> QuotaGrant {
        let workspace = &request.workspace;
        let refused = |retry_after| QuotaGrant {
            workspace: Arc::clone(workspace),
            tokens: 0,
            retry_after,
            lifetime: None,
        };
        if !fleet.may_grant(now, workspace) {
            return refused(NO_SHARE_RETRY);
        }
        let share = fleet.owner_share(now);
        let whole_rate = if now < self.long_until {
            division.long_rate
        } else {
            division.rate
        };
        let (rate, burst) = (whole_rate * share, division.burst * share);
        let bucket = self
            .buckets
            .entry(Arc::clone(workspace))
            .or_insert_with(|| QuotaBucket::empty(fleet.started_at()));
        let tokens = bucket.refill(now, rate, burst);
        if rate <= 0.0 {
            return refused(NO_SHARE_RETRY);
        }
        let available = tokens as u32;
        let granted = if request.wanted <= available {
            request.wanted
        } else {
            let most = (tokens * MAX_TOKEN_SHARE).ceil() as u32;
            most.min(available)
        };
        bucket.take(granted);
        QuotaGrant {
            tokens: granted,
            ..refused(bucket.time_to_token(rate))
        }
    }
}

/// Greatest rate of grant requests that a node takes, per second.
fn max_request_rate(fleet: &QuotaFleet) -> f64 {
    let size = fleet.size().map_or(LARGE_FLEET_SIZE, f64::from);
    let size = size.clamp(SMALL_FLEET_SIZE, LARGE_FLEET_SIZE);
    let position = (size - SMALL_FLEET_SIZE) / (LARGE_FLEET_SIZE - SMALL_FLEET_SIZE);
    SMALL_FLEET_RATE + (LARGE_FLEET_RATE - SMALL_FLEET_RATE) * position
}

impl RequestLoad {
    fn record(&mut self, now: Timestamp, from: SocketAddr, message: RequestKind) {
        let age = now.since(self.window_start);
        if age >= REQUEST_WINDOW {
            let is_recent = age < REQUEST_WINDOW * 2;
            (self.last_requests, self.last_served) = if is_recent {
                (self.requests, self.served)
            } else {
                (0, 0)
            };
            (self.requests, self.served) = (0, 0);
            self.window_start = now;
            self.requesters
                .retain(|_, requested_at| now.since(*requested_at) < MAX_PAUSE + REQUEST_WINDOW);
            self.served_at
                .retain(|_, served_at| now.since(*served_at) < SERVING_TIME);
        }
        self.requests += 1;
        if let RequestKind::ToOwner { served } = message
            && served > 0
        {
            self.record_delegate(now, from, served);
        }
        if self.requesters.len() < MAX_REQUESTERS || self.requesters.contains_key(&from) {
            self.requesters.insert(from, now);
        }
    }

    fn record_delegate(&mut self, now: Timestamp, node: SocketAddr, served: u32) {
        self.served = self.served.saturating_add(served);
        if self.served_at.len() < MAX_REQUESTERS || self.served_at.contains_key(&node) {
            self.served_at.insert(node, now);
        }
    }

    fn is_delegate(&self, now: Timestamp, node: SocketAddr) -> bool {
        let served_at = self.served_at.get(&node);
        served_at.is_some_and(|at| now.since(*at) < SERVING_TIME)
    }

    /// Keeps the number of delegates that are needed now for [`DELEGATION_TIME`], unless more are kept already.
    fn keep_delegates(&mut self, now: Timestamp, max_rate: f64) {
        let needed = self.needed_delegates(max_rate);
        if needed > 0 && (needed >= self.kept_delegates || now >= self.kept_until) {
            self.kept_delegates = needed;
            self.kept_until = now + DELEGATION_TIME;
        }
    }

    fn delegates(&self, now: Timestamp, max_rate: f64) -> u32 {
        let kept = if now < self.kept_until {
            self.kept_delegates
        } else {
            0
        };
        kept.max(self.needed_delegates(max_rate))
    }

    /// Delegates with which neither they nor the owner take more than a part of the greatest rate.
    fn needed_delegates(&self, max_rate: f64) -> u32 {
        let current = self.requests.saturating_add(self.served);
        let last = self.last_requests.saturating_add(self.last_served);
        let rate = f64::from(current.max(last)) / REQUEST_WINDOW.as_secs_f64();
        let usual_rate = max_rate * DELEGATE_THRESHOLD;
        if rate <= usual_rate {
            return 0;
        }
        let most = usual_rate / REQUESTS_PER_DELEGATE;
        (rate / usual_rate).ceil().clamp(MIN_DELEGATES, most) as u32
    }

    /// Time in which each of the nodes may send one request without exceeding the rate; nothing while the rate is kept.
    fn pause(&mut self, now: Timestamp, message: RequestKind, max_rate: f64) -> Duration {
        let rate = f64::from(self.requests.max(self.last_requests)) / REQUEST_WINDOW.as_secs_f64();
        let (max_rate, threshold) = match message {
            RequestKind::ToDelegate => (max_rate * DELEGATE_RATE_SHARE, PAUSE_THRESHOLD),
            RequestKind::ToOwner { .. } if self.delegates(now, max_rate) > 0 => {
                (max_rate, DELEGATING_PAUSE_THRESHOLD)
            }
            RequestKind::ToOwner { .. } => (max_rate, PAUSE_THRESHOLD),
        };
        if rate > max_rate * threshold {
            self.pausing_until = now + PAUSING_TIME;
        }
        if now >= self.pausing_until {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.requesters.len() as f64 / max_rate).min(MAX_PAUSE)
    }
}

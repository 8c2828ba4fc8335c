//! The owner's side of the quotas: grants out of one token bucket for each workspace.

use crate::{
    prelude::*, quota_bucket::QuotaBucket, quota_fleet::QuotaFleet, quota_limits::QuotaDivision,
};
use std::{collections::HashMap, net::SocketAddr};

/// Share of the tokens at hand that one grant takes if they don't cover all that is wanted, so that one node can't take
/// them all.
const MAX_TOKEN_SHARE: f64 = 0.5;

/// Grant requests that an owner takes in one second, in a fleet of up to [`SMALL_FLEET`] nodes and in a larger one. A reply has
/// about 70 bytes, and the heartbeats of a large fleet leave less of the 6 KB a second for control traffic.
const MAX_REQUESTS_PER_SECOND: (f64, f64) = (64.0, 32.0);

/// Nodes up to which heartbeats are short.
const SMALL_FLEET: u32 = 128;

/// Share of the greatest rate of grant requests from which on the owner asks the nodes to pause.
const PAUSE_THRESHOLD: f64 = 0.9;

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

/// Rate at which other nodes request grants.
#[derive(Clone, Debug, Default)]
struct RequestLoad {
    window_start: Timestamp,
    requests: u32,
    /// Requests in the last whole window.
    last_requests: u32,
    /// Time until which nodes are asked to pause.
    pausing_until: Timestamp,
    /// When each node last asked.
    requesters: HashMap<SocketAddr, Timestamp>,
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

    /// Counts a message of another node, and returns the pause that it should make before the next one.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        fleet: &QuotaFleet,
        limits: &QuotaLimits,
    ) -> Duration {
        let (in_small_fleet, in_large_fleet) = MAX_REQUESTS_PER_SECOND;
        let is_small = fleet.size().is_some_and(|size| size <= SMALL_FLEET);
        let max_rate = if is_small {
            in_small_fleet
        } else {
            in_large_fleet
        };
        self.load.record(now, from);
        let pause = self.load.pause(now, max_rate);
        if !pause.is_zero() {
            self.long_until = now + limits.max_grant_lifetime() + limits.local_window();
        }
        pause
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

impl RequestLoad {
    fn record(&mut self, now: Timestamp, from: SocketAddr) {
        let age = now.since(self.window_start);
        if age >= REQUEST_WINDOW {
            self.last_requests = if age < REQUEST_WINDOW * 2 {
                self.requests
            } else {
                0
            };
            self.requests = 0;
            self.window_start = now;
            self.requesters
                .retain(|_, requested_at| now.since(*requested_at) < MAX_PAUSE + REQUEST_WINDOW);
        }
        self.requests += 1;
        if self.requesters.len() < MAX_REQUESTERS || self.requesters.contains_key(&from) {
            self.requesters.insert(from, now);
        }
    }

    /// Time in which each of the nodes may send one request without exceeding the rate; nothing while the rate is kept.
    fn pause(&mut self, now: Timestamp, max_rate: f64) -> Duration {
        let rate = f64::from(self.requests.max(self.last_requests)) / REQUEST_WINDOW.as_secs_f64();
        if rate > max_rate * PAUSE_THRESHOLD {
            self.pausing_until = now + PAUSING_TIME;
        }
        if now >= self.pausing_until {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.requesters.len() as f64 / max_rate).min(MAX_PAUSE)
    }
}

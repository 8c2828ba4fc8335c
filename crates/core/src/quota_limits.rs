//! Bounds of the quotas of workspaces, and how their tolerance is divided.

use crate::prelude::*;

/// Share of the window for which a grant may be used, counted from the moment at which it was asked for.
const GRANT_LIFETIME_SHARE: f64 = 0.1;

/// Share of the window for which a grant may be used if the owner can't take grant requests as often as that.
const MAX_GRANT_LIFETIME_SHARE: f64 = 0.5;

/// Time between the admission of a request and its run by an upstream that the division of the tolerance allows for.
const RUN_DELAY: Duration = Duration::from_millis(500);

/// Share of the free tolerance that nodes may use without asking. The rest, less a margin for nodes that disagree about
/// the members of the fleet, enlarges the burst of the owner.
const UNCOORDINATED_SHARE: f64 = 0.7;

/// Share of the free tolerance by which the burst of the owner is enlarged.
const OWNER_BURST_SHARE: f64 = 0.2;

/// Share of the whole bound by which the burst of the owner is enlarged at least, so that grants can be taken in steps
/// also where the quota has no burst.
const OWNER_RESERVE_SHARE: f64 = 0.05;

/// Bounds on the requests of a workspace that run within a window, over all nodes together:
/// `(rate * window + burst) * (1 + excess) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated excess, as a share of what the quota allows in a window.
    pub excess: f64,
    /// Requests tolerated in a window beyond the excess.
    pub slack: f64,
}

/// How the requests that a quota tolerates are divided between the owner of the workspace and the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaDivision {
    /// Requests per second that the owner may grant.
    pub rate: f64,
    /// Requests per second that it may grant while nodes use grants of up to [`QuotaLimits::max_grant_lifetime`].
    pub long_rate: f64,
    /// Requests beyond the rate that the owner may grant at once.
    pub burst: f64,
    /// Requests in [`QuotaLimits::local_window`] that all nodes together may admit without a grant.
    pub uncoordinated: f64,
}

impl QuotaLimits {
    /// Time for which a grant may be used, counted from the moment at which it was asked for. If its owner wants the
    /// node to pause, the grant has to last for the pause, up to [`Self::max_grant_lifetime`].
    pub fn grant_lifetime(&self, pause: Duration) -> Duration {
        let usual = self.window.mul_f64(GRANT_LIFETIME_SHARE);
        pause.min(self.max_grant_lifetime()).max(usual)
    }

    /// Longest time for which a grant may be used.
    pub fn max_grant_lifetime(&self) -> Duration {
        self.window.mul_f64(MAX_GRANT_LIFETIME_SHARE)
    }

    /// Window within which a node counts the requests that it admits without a grant. Longer than the window of the
    /// quota, because requests run later than they are admitted.
    pub fn local_window(&self) -> Duration {
        self.window + RUN_DELAY
    }

    /// Requests of a workspace that may run in one window, over all nodes together.
    pub fn bound(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * (1.0 + self.excess) + self.slack
    }

    /// Divides what is tolerated so that owner and nodes together stay within [`Self::bound`].
    ///
    /// Requests that run in a window were granted in a time that is longer by the life of a grant and the delay of the
    /// run. What the owner may grant in the longer time is taken out of the tolerance first.
    pub fn divide(&self, quota: &Quota) -> QuotaDivision {
        let spread = (self.grant_lifetime(Duration::ZERO) + RUN_DELAY).as_secs_f64();
        let reserve = self.bound(quota) * OWNER_RESERVE_SHARE;
        let available = self.bound(quota) - reserve;
        let granted = self.allowed(quota) + quota.rate * spread;
        let scale = (available / granted).min(1.0);
        let free = available - granted * scale;
        let rate = quota.rate * scale;
        let burst = quota.burst * scale + reserve + free * OWNER_BURST_SHARE;
        let long_time = self.window + self.max_grant_lifetime() + RUN_DELAY;
        let left = self.bound(quota) - burst - free * (1.0 - OWNER_BURST_SHARE);
        QuotaDivision {
            rate,
            long_rate: rate.min(left / long_time.as_secs_f64()),
            burst,
            uncoordinated: free * UNCOORDINATED_SHARE,
        }
    }

    fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }
}

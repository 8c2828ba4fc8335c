//! Bounds of the quotas of workspaces, and how their tolerance is divided.

use crate::prelude::*;

/// Share of the window for which a grant may be used, counted from the moment at which it was asked for.
const GRANT_LIFETIME_SHARE: f64 = 0.1;

/// Time between the admission of a request and its run by an upstream that the division of the tolerance allows for.
const RUN_DELAY: Duration = Duration::from_millis(500);

/// Share of the free tolerance that nodes may use without asking. The rest, less a margin for nodes that disagree about
/// the members of the fleet, enlarges the burst of the owner.
const UNCOORDINATED_SHARE: f64 = 0.7;

/// Share of the free tolerance by which the burst of the owner is enlarged.
const OWNER_BURST_SHARE: f64 = 0.2;

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
    /// Requests beyond the rate that the owner may grant at once.
    pub burst: f64,
    /// Requests in [`QuotaLimits::local_window`] that all nodes together may admit without a grant.
    pub uncoordinated: f64,
}

impl QuotaLimits {
    /// Time for which a grant may be used, counted from the moment at which it was asked for.
    pub fn grant_lifetime(&self) -> Duration {
        self.window.mul_f64(GRANT_LIFETIME_SHARE)
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
        let spread = (self.grant_lifetime() + RUN_DELAY).as_secs_f64();
        let granted = self.allowed(quota) + quota.rate * spread;
        let free = self.bound(quota) - granted;
        if free < 0.0 {
            let scale = self.bound(quota) / granted;
            return QuotaDivision {
                rate: quota.rate * scale,
                burst: quota.burst * scale,
                uncoordinated: 0.0,
            };
        }
        QuotaDivision {
            rate: quota.rate,
            burst: quota.burst + free * OWNER_BURST_SHARE,
            uncoordinated: free * UNCOORDINATED_SHARE,
        }
    }

    fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }
}

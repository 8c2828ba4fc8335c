//! How much of each workspace's demand was admitted lately, so that an overload does not fall on a few workspaces.

use crate::{decay::decay, prelude::*};
use std::collections::HashMap;

/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A workspace is underserved if less of its demand was admitted than this share of what was admitted of all.
const MIN_RELATIVE_SERVICE: f64 = 0.5;

/// Demand of which a workspace is forgotten.
const MIN_DEMAND: f64 = 0.01;

/// Requests of each workspace that arrived, and those that were not refused for overload, with old ones fading.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedShares {
    workspaces: HashMap<Arc<str>, Service>,
    all: Service,
    next_cleanup: Timestamp,
}

/// Requests that arrived and those that were admitted, as of `updated_at`.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    arrived: f64,
    admitted: f64,
    updated_at: Timestamp,
}

impl ServedShares {
    /// Counts a request that was admitted or refused for overload.
    pub(crate) fn record(&mut self, now: Timestamp, workspace: &Arc<str>, admitted: bool) {
        self.forget_idle(now);
        self.all.add(now, admitted);
        let service = self.workspaces.entry(Arc::clone(workspace)).or_default();
        service.add(now, admitted);
    }

    /// Whether much less of the workspace's demand was admitted than of the demand of all.
    pub(crate) fn is_underserved(&self, workspace: &Arc<str>) -> bool {
        let Some(own) = self.workspaces.get(workspace) else {
            return false;
        };
        // Both ratios multiplied by both demands.
        own.admitted * self.all.arrived < MIN_RELATIVE_SERVICE * self.all.admitted * own.arrived
    }

    fn forget_idle(&mut self, now: Timestamp) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + HALF_LIFE;
        self.workspaces
            .retain(|_, service| service.decayed(now).arrived >= MIN_DEMAND);
    }
}

impl Service {
    fn add(&mut self, now: Timestamp, admitted: bool) {
        *self = self.decayed(now);
        self.arrived += 1.0;
        self.admitted += f64::from(u8::from(admitted));
    }

    fn decayed(self, now: Timestamp) -> Self {
        let factor = decay(now.since(self.updated_at), HALF_LIFE);
        Self {
            arrived: self.arrived * factor,
            admitted: self.admitted * factor,
            updated_at: now,
        }
    }
}

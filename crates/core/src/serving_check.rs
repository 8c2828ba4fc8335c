//! Readiness check: whether a node knows enough warm upstreams to serve.

use crate::{engine::Shared, prelude::*};

/// Maximum wait for warm upstreams after a start. Without it, one shard with only cold replicas would keep all nodes
/// unready.
const MAX_WAIT_AFTER_START: Duration = Duration::from_secs(10);

/// Maximum wait for warm upstreams after a lapse: time for the owners of their warm-up to probe them once and to
/// broadcast the results.
const MAX_WAIT_AFTER_LAPSE: Duration = Duration::from_secs(2);

/// Minimum time between two checks, because each scans every shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Decides once, after a start or a lapse, that the node can serve. It stays so when upstreams are lost later, which
/// callers see from the coverage of their answers.
#[derive(Debug)]
pub(crate) struct ServingCheck {
    can_serve: bool,
    max_wait: Duration,
    /// Time of the first check at which new work was accepted; the maximum wait counts from it.
    accepting_since: Option<Timestamp>,
    next_check: Timestamp,
}

impl ServingCheck {
    pub(crate) fn after_start() -> Self {
        Self::with_max_wait(MAX_WAIT_AFTER_START)
    }

    pub(crate) fn after_lapse() -> Self {
        Self::with_max_wait(MAX_WAIT_AFTER_LAPSE)
    }

    fn with_max_wait(max_wait: Duration) -> Self {
        Self {
            can_serve: false,
            max_wait,
            accepting_since: None,
            next_check: Timestamp::ZERO,
        }
    }

    /// Returns `true` once: when every service has warm upstreams or the maximum wait is over. The baseline policy also
    /// sends to cold upstreams and does not wait.
    pub(crate) fn check(&mut self, now: Timestamp, cx: &Shared) -> bool {
        if self.can_serve || now < self.next_check || now >= cx.fresh_until {
            return false;
        }
        let Some(bundle) = &cx.bundle else {
            return false;
        };
        self.next_check = now + CHECK_INTERVAL;
        let accepting_since = *self.accepting_since.get_or_insert(now);
        let waited = now.since(accepting_since) >= self.max_wait;
        self.can_serve =
            waited || cx.policy == PolicyMode::Baseline || has_warm_upstreams(bundle, cx);
        self.can_serve
    }
}

fn has_warm_upstreams(bundle: &Bundle, cx: &Shared) -> bool {
    bundle.services.iter().all(|service| match service.kind {
        ServiceKind::Search => service.layouts.last().is_none_or(|layout| {
            layout
                .shards
                .iter()
                .all(|names| cx.upstreams.has_warm(names))
        }),
        ServiceKind::Booking => cx.upstreams.has_warm(&service.upstreams),
    })
}

//! Whether a node that has started can answer.

use crate::{engine::Shared, prelude::*};

/// Longest wait for warm upstreams after a start, so that a shard without any does not keep all nodes from being ready.
const MAX_WAIT_AFTER_START: Duration = Duration::from_secs(10);

/// Longest wait of a node that has served before. Its stewards need one round of probes and the news of it.
const MAX_WAIT_AFTER_LAPSE: Duration = Duration::from_secs(2);

/// Time between two checks, each of which looks at every shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a node that has started can answer. Once it can, it stays so: coverage tells callers of later losses.
#[derive(Debug)]
pub(crate) struct ServingCheck {
    can_serve: bool,
    max_wait: Duration,
    /// When the node was first allowed to accept work.
    since: Option<Timestamp>,
    next_check: Timestamp,
}

impl ServingCheck {
    /// Of a node that has just started.
    pub(crate) fn after_start() -> Self {
        Self::waiting(MAX_WAIT_AFTER_START)
    }

    /// Of a node that no longer knows which upstreams are warm.
    pub(crate) fn after_lapse() -> Self {
        Self::waiting(MAX_WAIT_AFTER_LAPSE)
    }

    fn waiting(max_wait: Duration) -> Self {
        Self {
            can_serve: false,
            max_wait,
            since: None,
            next_check: Timestamp::ZERO,
        }
    }

    /// Returns `true` once, when each service has warm upstreams or the longest wait has passed.
    pub(crate) fn check(&mut self, now: Timestamp, cx: &Shared) -> bool {
        if self.can_serve || now < self.next_check || now >= cx.fresh_until {
            return false;
        }
        let Some(bundle) = &cx.bundle else {
            return false;
        };
        self.next_check = now + CHECK_INTERVAL;
        let since = *self.since.get_or_insert(now);
        let waited = now.since(since) >= self.max_wait;
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

//! Upstreams whose steward this node is, and from when.

use crate::prelude::*;
use std::collections::HashMap;

/// Time that a new steward waits, so that the former one has seen the list or has lapsed: the freshness period of
/// 2 s and 1 s for work under way.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);

/// Upstreams whose steward this node is.
#[derive(Clone, Debug, Default)]
pub struct WarmUpOwnership {
    /// Nodes on the published list; 0 until it is known.
    published: u32,
    /// Time from which this node is the steward of an upstream.
    owned_from: HashMap<String, Timestamp>,
    /// Whether every list so far had one node. Its upstreams had no steward before.
    always_single_node: bool,
}

impl WarmUpOwnership {
    /// Nodes on the published list; 0 until it is known.
    pub fn published_nodes(&self) -> u32 {
        self.published
    }

    /// Takes over a changed list. A lost warm_up_ownership ends at once, a gained one begins after [`HANDOVER_DELAY`]. Only
    /// named upstreams count, also for a list of one node, because the one node may be another.
    pub fn fleet_changed(&mut self, now: Timestamp, view: &FleetView) {
        let first = self.published == 0;
        self.always_single_node = view.published <= 1 && (first || self.always_single_node);
        let gained_from = if self.always_single_node {
            now
        } else {
            now + HANDOVER_DELAY
        };
        self.owned_from = view
            .warm_up_owner_of
            .iter()
            .map(|name| {
                let from = self.owned_from.get(name).copied().unwrap_or(gained_from);
                (name.clone(), from)
            })
            .collect();
        self.published = view.published.max(1);
    }

    /// Whether this node may send to the upstream while it is cold.
    pub fn owns(&self, now: Timestamp, upstream: &str) -> bool {
        self.owned_from
            .get(upstream)
            .is_some_and(|from| *from <= now)
    }
}

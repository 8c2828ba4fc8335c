//! Upstreams whose warm-up this node owns, and from when.

use crate::prelude::*;
use std::collections::HashMap;

/// Time that a new owner waits before it sends, so that the previous one has received the list or lost its freshness:
/// the freshness period of 2 s, and 1 s for attempts in flight.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);

/// Upstreams whose warm-up this node owns: while they are cold, no other node sends to them.
#[derive(Clone, Debug, Default)]
pub struct WarmUpOwnership {
    /// Number of nodes on the published list; 0 until it is known.
    published: u32,
    /// Time from which this node owns the warm-up of an upstream.
    owned_from: HashMap<String, Timestamp>,
    /// Whether every list so far had one node, so that there is no previous owner to wait for.
    always_single_node: bool,
}

impl WarmUpOwnership {
    /// Number of nodes on the published list; 0 until it is known.
    pub fn published_nodes(&self) -> u32 {
        self.published
    }

    /// Whether there never was another node that could have sent anything to an upstream.
    pub fn has_no_peers(&self) -> bool {
        self.always_single_node
    }

    /// Applies a changed list. A lost ownership ends at once, a gained one begins after [`HANDOVER_DELAY`]. A list of
    /// one node doesn't make this node the owner of all upstreams, because that node may be another one.
    pub fn fleet_changed(&mut self, now: Timestamp, view: &FleetView) {
        let first = self.published == 0;
        self.always_single_node = view.published_nodes <= 1 && (first || self.always_single_node);
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
        self.published = view.published_nodes.max(1);
    }

    /// Whether this node may send to the upstream while it is cold.
    pub fn owns(&self, now: Timestamp, upstream: &str) -> bool {
        self.owned_from
            .get(upstream)
            .is_some_and(|from| *from <= now)
    }
}

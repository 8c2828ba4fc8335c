//! Upstreams whose steward this node is, and from when.

use crate::prelude::*;
use std::collections::HashMap;

/// Time that a new steward waits, so that the former one has seen the list or has lapsed: the freshness period of
/// 2 s and 1 s for work under way.
pub const HANDOVER: Duration = Duration::from_secs(3);

/// Upstreams whose steward this node is.
#[derive(Clone, Debug, Default)]
pub struct Stewardship {
    /// Nodes on the published list; 0 until it is known.
    published: u32,
    /// Time from which this node is the steward of an upstream.
    since: HashMap<String, Timestamp>,
    /// Whether every list so far had one node. Its upstreams had no steward before.
    always_alone: bool,
}

impl Stewardship {
    /// Nodes on the published list; 0 until it is known.
    pub fn published(&self) -> u32 {
        self.published
    }

    /// Takes over a changed list. A lost stewardship ends at once, a gained one begins after [`HANDOVER`]. Only
    /// named upstreams count, also for a list of one node, because the one node may be another.
    pub fn fleet_changed(&mut self, now: Timestamp, view: &FleetView) {
        let first = self.published == 0;
        self.always_alone = view.published_nodes <= 1 && (first || self.always_alone);
        let gained = if self.always_alone {
            now
        } else {
            now + HANDOVER
        };
        self.since = view
            .steward_of
            .iter()
            .map(|name| {
                let since = self.since.get(name).copied().unwrap_or(gained);
                (name.clone(), since)
            })
            .collect();
        self.published = view.published_nodes.max(1);
    }

    /// Whether this node may send to the upstream while it is cold.
    pub fn holds(&self, now: Timestamp, upstream: &str) -> bool {
        self.since.get(upstream).is_some_and(|since| *since <= now)
    }
}

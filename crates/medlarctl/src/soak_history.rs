//! What a soak test did to its fleet, and when. The checks derive from it what was allowed at a given time.

use crate::{soak_keys::KeyHolders, soak_observation::SoakTime};
use std::collections::{BTreeMap, BTreeSet};

/// Bounds that the settings of the nodes state. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SoakBounds {
    /// The other bounds hold for a node that had undisturbed contact with the store for this long.
    pub store_contact: SoakTime,
    /// Time after which a leaving upstream must receive no more requests.
    pub drain: SoakTime,
    /// Time after which a published configuration must be in force.
    pub config_apply: SoakTime,
    /// Time after which no node accepts a removed key.
    pub revoke: SoakTime,
    /// Time after which the upstreams of a zone that is out must receive no more requests.
    pub evacuate: SoakTime,
    /// Time after the last disturbance by which requests must be served again.
    pub recovery: SoakTime,
    /// Requests that one cold upstream may receive in one second from all nodes together.
    pub cold_requests_per_second: usize,
    /// Extra requests that a service may receive for each request of a caller.
    pub extra_ratio: f64,
    /// Extra requests that a service may receive in one window beyond the ratio.
    pub extra_slack: f64,
    /// Window in which `extra_ratio` and `extra_slack` are counted.
    pub extra_window: SoakTime,
}

/// A span of time; both ends belong to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeSpan {
    /// Start of the span.
    pub from: SoakTime,
    /// End of the span; `None` while it lasts.
    pub until: Option<SoakTime>,
}

impl TimeSpan {
    fn overlaps(self, from: SoakTime, until: SoakTime) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// How a node was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// Orderly stop or reload, which must not cut off any request.
    Planned,
    /// Kill, pause, or fault of the link to the store.
    Unplanned,
}

/// One instance of an upstream.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    /// Service that the instance belongs to.
    pub service: String,
    /// Zone that the instance is registered in.
    pub zone: String,
    /// End of the cold time; equal to the start time for an instance that started warm.
    pub cold_until: SoakTime,
    /// When the store acknowledged that the instance is leaving.
    pub leaving: Option<SoakTime>,
}

/// A configuration that the store has acknowledged.
#[derive(Clone, Debug)]
pub struct PublishedConfiguration {
    /// Version; rises with each publication, not always by one.
    pub version: u64,
    /// When the store acknowledged it.
    pub published_at: SoakTime,
    /// Versions whose `/added-` route this configuration contains.
    pub added_routes: Vec<u64>,
    /// Services that hold the shards of the query route.
    pub shard_services: Vec<String>,
    /// Workspace that holds each key.
    pub key_holders: KeyHolders,
}

/// Disturbances, instances, zone changes and configurations of one run.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Disturbances of each node, by position.
    pub node_disturbances: Vec<Vec<(Disturbance, TimeSpan)>>,
    /// Times in which the store was disturbed for all nodes.
    pub store_disturbances: Vec<TimeSpan>,
    /// Positions in `store_disturbances` of those in which the store stood still, and took no new configuration.
    pub store_pauses: BTreeSet<usize>,
    /// Times in which an upstream or the link to it was disturbed, by position.
    pub upstream_disturbances: BTreeMap<usize, Vec<TimeSpan>>,
    /// Instances of upstreams by name.
    pub instances: BTreeMap<String, InstanceRecord>,
    /// Times in which zones were out, with the name of the zone.
    pub zones_out: Vec<(String, TimeSpan)>,
    /// Configurations in the order of their versions.
    pub configurations: Vec<PublishedConfiguration>,
}

impl SoakHistory {
    /// Records that a zone is back in service. Other zones may still be out.
    pub fn end_zone_out(&mut self, zone: &str, now: SoakTime) {
        let spans = self.zones_out.iter_mut().filter(|(out, _)| out == zone);
        for (_, span) in spans {
            span.until.get_or_insert(now);
        }
    }

    /// Whether neither the node nor the store was disturbed for the contact time before `at`.
    pub fn has_store_contact(&self, bounds: &SoakBounds, node: usize, at: SoakTime) -> bool {
        self.has_store_contact_between(node, at.saturating_sub(bounds.store_contact), at)
    }

    /// Whether neither the node nor the store was disturbed from `from` to `until`.
    pub fn has_store_contact_between(&self, node: usize, from: SoakTime, until: SoakTime) -> bool {
        let disturbed = self.node_disturbances[node]
            .iter()
            .any(|(_, s)| s.overlaps(from, until));
        !disturbed
            && !self
                .store_disturbances
                .iter()
                .any(|span| span.overlaps(from, until))
    }

    /// Whether the node had no unplanned disturbance from `from` to `until`.
    pub fn without_unplanned_disturbance(
        &self,
        node: usize,
        from: SoakTime,
        until: SoakTime,
    ) -> bool {
        let unplanned = |(kind, span): &(Disturbance, TimeSpan)| {
            *kind == Disturbance::Unplanned && span.overlaps(from, until)
        };
        !self.node_disturbances[node].iter().any(unplanned)
    }

    /// End of the last disturbance of the fleet; `None` while one lasts.
    pub fn last_disturbance_end(&self) -> Option<SoakTime> {
        let nodes = self
            .node_disturbances
            .iter()
            .flatten()
            .map(|(_, span)| *span);
        let upstreams = self.upstream_disturbances.values().flatten().copied();
        let zones = self.zones_out.iter().map(|(_, span)| *span);
        let all = nodes.chain(upstreams).chain(zones);
        all.chain(self.store_disturbances.iter().copied())
            .try_fold(0, |last, span| Some(span.until?.max(last)))
    }

    /// Configurations by which a node with store contact may decide a request at `at`: the newest one whose apply bound
    /// has passed, and all later ones.
    pub fn possible_configurations(
        &self,
        bounds: &SoakBounds,
        at: SoakTime,
    ) -> impl Iterator<Item = &PublishedConfiguration> {
        let is_due = move |c: &PublishedConfiguration| c.published_at + bounds.config_apply < at;
        let newest_due = self.configurations.iter().rposition(is_due);
        self.configurations.iter().skip(newest_due.unwrap_or(0))
    }
}

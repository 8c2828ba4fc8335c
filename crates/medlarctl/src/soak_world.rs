//! What a soak did to its fleet, and when, so that checks know what was allowed.

use crate::soak_observation::SoakTime;
use std::collections::BTreeMap;

/// Bounds that the settings of the nodes state, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SoakBounds {
    /// Time without a disturbance after which the other bounds hold.
    pub contact: SoakTime,
    /// Time after which a leaving upstream gets nothing.
    pub drain: SoakTime,
    /// Time after which a configuration is in force.
    pub apply: SoakTime,
    /// Time after which a zone that is out gets nothing.
    pub evacuate: SoakTime,
    /// Time after the last disturbance by which requests are served again.
    pub recovery: SoakTime,
    /// Requests that one cold upstream bears in one second, over all nodes.
    pub cold_requests: usize,
    /// Extra requests to a service for each that callers send to it.
    pub extra_ratio: f64,
    /// Extra requests to a service in one window beyond the ratio.
    pub extra_slack: f64,
    /// Window of both.
    pub extra_window: SoakTime,
}

/// A span of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// Its begin.
    pub from: SoakTime,
    /// Its end; `None` while it lasts.
    pub until: Option<SoakTime>,
}

impl Span {
    fn meets(self, from: SoakTime, until: SoakTime) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// What disturbs a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// A planned stop or reload, which must cut off nothing.
    Planned,
    /// A kill, a pause, or a harmed way to the store.
    Unplanned,
}

/// One instance of an upstream.
#[derive(Clone, Debug)]
pub struct InstanceLife {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Until when it is cold; the time of its start for one that started warm.
    pub cold_until: SoakTime,
    /// When the store acknowledged that it leaves or is gone.
    pub leaving: Option<SoakTime>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct PublishedConfiguration {
    /// Its version.
    pub version: u64,
    /// When the store acknowledged it.
    pub at: SoakTime,
    /// Versions whose added routes it has.
    pub added: Vec<u64>,
    /// Services of its shards.
    pub shards: Vec<String>,
}

/// What was done, and when.
#[derive(Clone, Debug, Default)]
pub struct SoakWorld {
    /// Disturbances of each node.
    pub nodes: Vec<Vec<(Disturbance, Span)>>,
    /// Times in which the store was harmed for all nodes.
    pub store: Vec<Span>,
    /// Times in which an upstream or the way to it was harmed, by position.
    pub upstreams: BTreeMap<usize, Vec<Span>>,
    /// Instances of upstreams by name.
    pub instances: BTreeMap<String, InstanceLife>,
    /// Times in which zones were out.
    pub zones_out: Vec<(String, Span)>,
    /// Configurations in the order of their versions.
    pub configurations: Vec<PublishedConfiguration>,
}

impl SoakWorld {
    /// Whether a node was in touch at a time: neither it nor the store was disturbed for the contact time before.
    pub fn in_touch(&self, bounds: &SoakBounds, node: usize, at: SoakTime) -> bool {
        self.in_touch_since(node, at.saturating_sub(bounds.contact), at)
    }

    /// Whether neither a node nor the store was disturbed in a span of time.
    pub fn in_touch_since(&self, node: usize, from: SoakTime, until: SoakTime) -> bool {
        let harmed = self.nodes[node].iter().any(|(_, s)| s.meets(from, until));
        !harmed && !self.store.iter().any(|span| span.meets(from, until))
    }

    /// Whether nothing unplanned happened to a node in a span of time.
    pub fn undisturbed(&self, node: usize, from: SoakTime, until: SoakTime) -> bool {
        let unplanned = |(kind, span): &(Disturbance, Span)| {
            *kind == Disturbance::Unplanned && span.meets(from, until)
        };
        !self.nodes[node].iter().any(unplanned)
    }

    /// End of the last disturbance; `None` while one lasts.
    pub fn calm_since(&self) -> Option<SoakTime> {
        let nodes = self.nodes.iter().flatten().map(|(_, span)| *span);
        let upstreams = self.upstreams.values().flatten().copied();
        let zones = self.zones_out.iter().map(|(_, span)| *span);
        let all = nodes.chain(upstreams).chain(zones);
        all.chain(self.store.iter().copied())
            .try_fold(0, |last, span| Some(span.until?.max(last)))
    }

    /// Configurations that may decide a request at a time for a node in touch: those that are not yet due and the
    /// newest of the others.
    pub fn in_force(
        &self,
        bounds: &SoakBounds,
        at: SoakTime,
    ) -> impl Iterator<Item = &PublishedConfiguration> {
        let is_due = move |c: &PublishedConfiguration| c.at + bounds.apply < at;
        let newest_due = self.configurations.iter().rposition(is_due);
        self.configurations.iter().skip(newest_due.unwrap_or(0))
    }
}

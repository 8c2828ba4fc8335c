//! Decides which nodes of a large fleet read the registry themselves, and which of them the other nodes follow.
//!
//! Nodes may have different views of the fleet. The only effect is that more nodes read, or that a node follows one that
//! itself follows another: a relayed read keeps the time at which it was made.

use crate::{
    prelude::*,
    registry_source_chart::{RegistrySourceAction, RegistrySourceEvent, RegistrySourceMachine},
    rendezvous,
};
use std::{collections::BTreeSet, net::SocketAddr};

/// Largest fleet in which every node reads.
const MAX_READING_FLEET: u32 = 8;

/// Fewest readers of a larger fleet, so that the loss of a few leaves others to follow.
const MIN_READERS: u32 = 4;

/// Nodes for each reader in a large fleet.
const NODES_PER_READER: u32 = 8;

/// Time since a member was last known to be alive after which it is no reader. Members are reported by chance, so that
/// a live one of a large fleet can be silent for more than 20 s.
const MAX_READER_SILENCE: Duration = Duration::from_secs(30);

/// Time for which a follower does not choose a reader again that failed it.
const AVOIDANCE: Duration = Duration::from_secs(15);

/// Readers that a follower may lose in a row, without a confirmed read, before it reads the store.
const MAX_READERS_LOST: u32 = 1;

/// Key under which nodes are ranked as readers.
const READER_RANK_KEY: &str = "registry-reader";

/// The fleet as far as it determines the readers.
#[derive(Clone, Debug)]
pub struct RegistryFleet {
    /// The members that this node remembers.
    pub sighting: FleetSighting,
    /// Whether no new member has appeared for some time.
    pub is_stable: bool,
}

/// From where a node takes the contents of the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrySource {
    /// It reads the store.
    Store,
    /// It polls this node.
    Reader(SocketAddr),
}

/// A node's role in reading the registry for the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Role {
    /// Every node reads: the fleet is small or not known yet.
    #[default]
    Alone,
    /// The node reads, for others too.
    Reader,
    /// The node polls a reader.
    Follower,
}

/// Chooses where a node takes the contents of the registry from.
#[derive(Debug)]
pub struct RegistryReaders {
    chart: Chart<RegistrySourceMachine>,
    state: RegistrySourceState,
    role: Role,
    /// Readers, in the order in which this node prefers them; empty unless it is a follower.
    readers: Vec<SocketAddr>,
    /// The reader that this node follows; `None` in any state but `Following`.
    followed: Option<SocketAddr>,
    /// Until when readers that failed this node are not chosen again.
    avoided: BTreeMap<SocketAddr, Timestamp>,
    /// Readers lost since the last confirmed read.
    lost: u32,
}

impl RegistryReaders {
    /// The choice of a node that has not read the store yet.
    ///
    /// # Errors
    ///
    /// If the embedded state chart is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let chart = Chart::load()?;
        Ok(Self {
            state: chart.initial(),
            chart,
            role: Role::Alone,
            readers: Vec::new(),
            followed: None,
            avoided: BTreeMap::new(),
            lost: 0,
        })
    }

    /// State of the choice.
    pub fn state(&self) -> RegistrySourceState {
        self.state
    }

    /// Whether the fleet is so large that some nodes read for others. All reads must then be fit to be relayed.
    pub fn is_relaying_fleet(&self) -> bool {
        self.role != Role::Alone
    }

    /// Whether this node reads for others.
    pub fn is_reader(&self) -> bool {
        self.role == Role::Reader
    }

    /// Readers that this node may follow, preferred ones first.
    pub fn readers(&self) -> &[SocketAddr] {
        &self.readers
    }

    /// Applies the current view of the fleet. `limits` may be too tight for relayed reads, in which case every node reads.
    pub fn update_fleet(&mut self, fleet: Option<&RegistryFleet>, limits: &RegistryLimits) {
        let fleet = fleet.filter(|fleet| {
            let is_large = fleet.sighting.size.is_some_and(|n| n > MAX_READING_FLEET);
            // A fleet that grows later does not make all of its nodes read again.
            is_large && limits.allows_following() && (fleet.is_stable || self.role != Role::Alone)
        });
        let Some(fleet) = fleet else {
            self.role = Role::Alone;
            self.readers.clear();
            return;
        };
        let own = fleet.sighting.own;
        let mut readers = ranked_readers(&fleet.sighting);
        if readers.contains(&own) {
            self.role = Role::Reader;
            self.readers.clear();
        } else {
            self.role = Role::Follower;
            let own = own.to_string();
            rendezvous::sort_nodes(&mut readers, &own);
            self.readers = readers;
        }
    }

    /// Where to take the contents of the registry from next. A follower stays with its reader while that is one.
    pub fn next_source(&mut self, now: Timestamp) -> RegistrySource {
        if let Some(reader) = self.followed {
            if self.readers.contains(&reader) {
                return RegistrySource::Reader(reader);
            }
            self.apply(now, RegistrySourceEvent::Unassigned);
        }
        if self.state == RegistrySourceState::Reading
            && let Some(reader) = self.usable_reader(now)
        {
            self.apply(now, RegistrySourceEvent::Assigned);
            self.followed = Some(reader);
            return RegistrySource::Reader(reader);
        }
        RegistrySource::Store
    }

    fn usable_reader(&mut self, now: Timestamp) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| now < *until);
        let mut readers = self.readers.iter();
        readers
            .find(|reader| !self.avoided.contains_key(*reader))
            .copied()
    }

    /// Notes that the node has read the store.
    pub fn handle_read(&mut self, now: Timestamp) {
        self.lost = 0;
        self.apply(now, RegistrySourceEvent::Read);
    }

    /// Notes that a relayed read was newer than the view. It ends a state in which the node reads the store.
    pub fn handle_relayed_read(&mut self, now: Timestamp) {
        if self.state != RegistrySourceState::Starting {
            self.handle_read(now);
        }
    }

    /// Notes that the connection to the reader failed. The node follows the next one, unless it has lost more than
    /// [`MAX_READERS_LOST`] in a row and must read the store.
    pub fn handle_reader_lost(&mut self, now: Timestamp) {
        self.lost += 1;
        if self.lost > MAX_READERS_LOST {
            self.handle_expiry(now);
        } else if self.followed.is_some() {
            self.avoid_followed(now);
            self.followed = self.usable_reader(now);
            if self.followed.is_none() {
                self.apply(now, RegistrySourceEvent::Expired);
            }
        }
    }

    /// Notes that the view is too old, or that the reader can't confirm it. The node must read the store.
    pub fn handle_expiry(&mut self, now: Timestamp) {
        self.apply(now, RegistrySourceEvent::Expired);
    }

    fn avoid_followed(&mut self, now: Timestamp) {
        let until = now + AVOIDANCE;
        self.avoided
            .extend(self.followed.map(|reader| (reader, until)));
    }

    fn apply(&mut self, now: Timestamp, event: RegistrySourceEvent) {
        let step = self.chart.step(self.state, event, |guard| match guard {});
        let (next, actions) = (step.next, step.actions.to_vec());
        for action in actions {
            match action {
                RegistrySourceAction::AvoidReader => self.avoid_followed(now),
            }
        }
        self.state = next;
        if self.state != RegistrySourceState::Following {
            self.followed = None;
        }
    }
}

/// Number of nodes that read in a fleet of this size.
pub fn reader_count(fleet_size: u32) -> u32 {
    if fleet_size <= MAX_READING_FLEET {
        fleet_size
    } else {
        fleet_size.div_ceil(NODES_PER_READER).max(MIN_READERS)
    }
}

/// The nodes that read, this one included if it does.
fn ranked_readers(sighting: &FleetSighting) -> Vec<SocketAddr> {
    let members = sighting.members.iter();
    let recent = members.filter(|member| member.age < MAX_READER_SILENCE);
    let nodes: BTreeSet<_> = recent
        .map(|member| member.address)
        .chain([sighting.own])
        .collect();
    let mut nodes: Vec<_> = nodes.into_iter().collect();
    rendezvous::sort_nodes(&mut nodes, READER_RANK_KEY);
    nodes.truncate(reader_count(sighting.size.unwrap_or(0)) as usize);
    nodes
}

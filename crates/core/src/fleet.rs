//! Published nodes, and the peers to which this node has a link.

use crate::{
    prelude::*,
    rendezvous::{self, Candidate},
};

/// A node on the published list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetNode {
    /// Unique name within the fleet.
    pub name: String,
    /// Address at which it listens for links.
    pub address: std::net::SocketAddr,
    /// Availability zone that its VM runs in.
    pub zone: String,
    /// Whether its VM is about to end. It still counts as published until it is off the list.
    pub leaving: bool,
}

/// A peer with an authenticated link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the peer's node.
    pub name: String,
    /// Identifies this run of the peer's process.
    pub start: u64,
}

/// Published nodes and linked peers.
#[derive(Debug)]
pub struct Fleet {
    own_name: String,
    /// Last published list, sorted by name; `None` until one is known.
    published: Option<Vec<FleetNode>>,
    /// At most one peer for each name.
    peers: SlotMap<PeerKey, Peer>,
}

impl Fleet {
    /// A fleet without a published list or peers, as seen by the node `name`.
    pub fn new(name: &str) -> Self {
        Self {
            own_name: name.to_owned(),
            published: None,
            peers: SlotMap::with_key(),
        }
    }

    /// Stores a published list, sorted and without duplicate names. Returns whether it differs from the previous one.
    pub fn set_published_nodes(&mut self, mut nodes: Vec<FleetNode>) -> bool {
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        nodes.dedup_by(|a, b| a.name == b.name);
        let changed = self.published.as_ref() != Some(&nodes);
        self.published = Some(nodes);
        changed
    }

    /// Last published list; `None` until one is known.
    pub fn published_nodes(&self) -> Option<&[FleetNode]> {
        self.published.as_deref()
    }

    /// Whether the published list contains `node`.
    pub fn is_published(&self, node: &str) -> bool {
        self.published_nodes()
            .is_some_and(|nodes| nodes.iter().any(|listed| listed.name == node))
    }

    /// Number of peers that, together with this node, form a majority of the published list; `None` without a list. At
    /// least 1: a node without peers can't tell a fleet of one from an outdated list.
    pub fn peers_for_majority(&self) -> Option<usize> {
        let nodes = self.published_nodes()?;
        let majority = nodes.len() / 2 + 1;
        let own = usize::from(self.is_published(&self.own_name));
        Some((majority - own).max(1))
    }

    /// Whether fewer peers are linked than a majority needs, so that news may have been missed.
    pub fn lacks_majority(&self) -> bool {
        self.peers_for_majority()
            .is_some_and(|needed| self.peer_count() < needed)
    }

    /// Adds a peer whose link was authenticated. Replaces a peer of the same name, whose key is returned.
    pub fn add_peer(&mut self, peer: Peer) -> (PeerKey, Option<PeerKey>) {
        let earlier = self.peer_key(&peer.name);
        if let Some(earlier) = earlier {
            self.peers.remove(earlier);
        }
        (self.peers.insert(peer), earlier)
    }

    /// Removes a peer whose link has closed.
    pub fn remove_peer(&mut self, peer: PeerKey) -> Option<Peer> {
        self.peers.remove(peer)
    }

    /// Whether the peer still has a link.
    pub fn has_peer(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(peer)
    }

    /// Key of the linked peer of this name.
    pub fn peer_key(&self, name: &str) -> Option<PeerKey> {
        let mut peers = self.peers.iter();
        peers
            .find(|(_, peer)| peer.name == name)
            .map(|(key, _)| key)
    }

    /// Whether the peer is linked and on the published list.
    pub fn is_published_peer(&self, peer: PeerKey) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|peer| self.is_published(&peer.name))
    }

    /// Keys of all linked peers.
    pub fn peers(&self) -> impl Iterator<Item = PeerKey> {
        self.peers.keys()
    }

    /// Number of linked peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// What the engine needs of the fleet: its size, and those of `upstreams` whose warm-up this node owns.
    pub fn view(&self, upstreams: &[Upstream]) -> FleetView {
        let nodes = self.published_nodes().unwrap_or_default();
        let candidates: Vec<_> = nodes
            .iter()
            .map(|node| Candidate {
                node: &node.name,
                zone: &node.zone,
            })
            .collect();
        let warm_up_owner_of = upstreams
            .iter()
            .filter(|u| rendezvous::warm_up_owner(&u.name, &candidates) == Some(&self.own_name))
            .map(|u| u.name.clone())
            .collect();
        FleetView {
            published_nodes: u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1),
            warm_up_owner_of,
        }
    }
}

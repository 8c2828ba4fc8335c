//! The published nodes and the peers that this node has a link to.

use crate::{
    prelude::*,
    rendezvous::{self, Candidate},
};

/// A node on the published list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetNode {
    /// Name.
    pub name: String,
    /// Address of its link listener.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether its VM is about to end. It counts as published until it is off the list.
    pub leaving: bool,
}

/// A peer with an authenticated link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the node.
    pub name: String,
    /// Number of its start.
    pub start: u64,
}

/// Published and reached nodes.
#[derive(Debug)]
pub struct Fleet {
    name: String,
    /// The last list known; `None` until one is.
    published: Option<Vec<FleetNode>>,
    /// At most one peer of each name.
    peers: SlotMap<PeerKey, Peer>,
}

impl Fleet {
    /// A fleet of which only this node is known.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            published: None,
            peers: SlotMap::with_key(),
        }
    }

    /// Takes over a published list, without repeated names. Returns whether it differs from the last one.
    pub fn set_published_nodes(&mut self, mut nodes: Vec<FleetNode>) -> bool {
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        nodes.dedup_by(|a, b| a.name == b.name);
        let changed = self.published.as_ref() != Some(&nodes);
        self.published = Some(nodes);
        changed
    }

    /// The last published list known.
    pub fn published_nodes(&self) -> Option<&[FleetNode]> {
        self.published.as_deref()
    }

    /// Whether the published list names `node`.
    pub fn is_published(&self, node: &str) -> bool {
        self.published_nodes()
            .is_some_and(|nodes| nodes.iter().any(|listed| listed.name == node))
    }

    /// Peers that must be heard so that they and this node are a majority of the published list; `None` without a
    /// list. At least 1: a node that hears nobody can't tell a fleet of one from an outdated list.
    pub fn peers_for_majority(&self) -> Option<usize> {
        let nodes = self.published_nodes()?;
        let majority = nodes.len() / 2 + 1;
        let own = usize::from(self.is_published(&self.name));
        Some((majority - own).max(1))
    }

    /// Whether fewer peers are reached than a majority of the published list needs, so that news may have been missed.
    pub fn lacks_majority(&self) -> bool {
        self.peers_for_majority()
            .is_some_and(|needed| self.peer_count() < needed)
    }

    /// Adds a peer whose link was authenticated. A peer of the same name is removed and returned.
    pub fn add_peer(&mut self, peer: Peer) -> (PeerKey, Option<PeerKey>) {
        let earlier = self.peer_key(&peer.name);
        if let Some(earlier) = earlier {
            self.peers.remove(earlier);
        }
        (self.peers.insert(peer), earlier)
    }

    /// Removes a peer whose link ended.
    pub fn remove_peer(&mut self, peer: PeerKey) -> Option<Peer> {
        self.peers.remove(peer)
    }

    /// Whether a peer has a link.
    pub fn has_peer(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(peer)
    }

    /// Key of the peer with this name.
    pub fn peer_key(&self, name: &str) -> Option<PeerKey> {
        let mut peers = self.peers.iter();
        peers
            .find(|(_, peer)| peer.name == name)
            .map(|(key, _)| key)
    }

    /// Whether a linked peer is on the published list.
    pub fn is_published_peer(&self, peer: PeerKey) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|peer| self.is_published(&peer.name))
    }

    /// Keys of the peers with a link.
    pub fn peers(&self) -> impl Iterator<Item = PeerKey> {
        self.peers.keys()
    }

    /// Number of peers with a link.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// What the engine needs to know, for the upstreams of a bundle.
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
            .filter(|spec| rendezvous::warm_up_owner(&spec.name, &candidates) == Some(&self.name))
            .map(|spec| spec.name.clone())
            .collect();
        FleetView {
            published: u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1),
            warm_up_owner_of,
        }
    }
}

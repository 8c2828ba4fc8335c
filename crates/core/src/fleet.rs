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
    me: String,
    /// The last list known; `None` until one is.
    published: Option<Vec<FleetNode>>,
    /// At most one peer of each name.
    peers: SlotMap<PeerKey, Peer>,
}

impl Fleet {
    /// A fleet of which only this node is known.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            published: None,
            peers: SlotMap::with_key(),
        }
    }

    /// Takes over a published list, without repeated names. Returns whether it differs from the last one.
    pub fn publish(&mut self, mut nodes: Vec<FleetNode>) -> bool {
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        nodes.dedup_by(|a, b| a.name == b.name);
        let changed = self.published.as_ref() != Some(&nodes);
        self.published = Some(nodes);
        changed
    }

    /// The last published list known.
    pub fn published(&self) -> Option<&[FleetNode]> {
        self.published.as_deref()
    }

    /// Whether the published list names `node`.
    pub fn is_published(&self, node: &str) -> bool {
        self.published()
            .is_some_and(|nodes| nodes.iter().any(|listed| listed.name == node))
    }

    /// Peers that must be heard so that they and this node are a majority of the published list; `None` without a
    /// list. At least 1: a node that hears nobody can't tell a fleet of one from an outdated list.
    pub fn peers_for_majority(&self) -> Option<usize> {
        let nodes = self.published()?;
        let majority = nodes.len() / 2 + 1;
        let own = usize::from(self.is_published(&self.me));
        Some((majority - own).max(1))
    }

    /// Whether fewer peers are reached than a majority of the published list needs, so that news may have been missed.
    pub fn is_cut_off(&self) -> bool {
        self.peers_for_majority()
            .is_some_and(|needed| self.reached() < needed)
    }

    /// Adds a peer whose link was authenticated. A peer of the same name is removed and returned.
    pub fn link(&mut self, peer: Peer) -> (PeerKey, Option<PeerKey>) {
        let earlier = self.peer(&peer.name);
        if let Some(earlier) = earlier {
            self.peers.remove(earlier);
        }
        (self.peers.insert(peer), earlier)
    }

    /// Removes a peer whose link ended.
    pub fn unlink(&mut self, peer: PeerKey) -> Option<Peer> {
        self.peers.remove(peer)
    }

    /// Whether a peer has a link.
    pub fn has(&self, peer: PeerKey) -> bool {
        self.peers.contains_key(peer)
    }

    /// Key of the peer with this name.
    pub fn peer(&self, name: &str) -> Option<PeerKey> {
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
    pub fn reached(&self) -> usize {
        self.peers.len()
    }

    /// What the engine needs to know, for the upstreams of a bundle.
    pub fn view(&self, upstreams: &[Upstream]) -> FleetView {
        let nodes = self.published().unwrap_or_default();
        let candidates: Vec<_> = nodes
            .iter()
            .map(|node| Candidate {
                node: &node.name,
                zone: &node.zone,
            })
            .collect();
        let steward_of = upstreams
            .iter()
            .filter(|upstream| rendezvous::steward(&upstream.name, &candidates) == Some(&self.me))
            .map(|upstream| upstream.name.clone())
            .collect();
        FleetView {
            published_nodes: u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1),
            steward_of,
        }
    }
}

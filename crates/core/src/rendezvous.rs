//! Rendezvous (highest-random-weight) hashing of upstreams over the published nodes.

use sha2::{Digest as _, Sha256};
use std::{cmp::Reverse, net::SocketAddr};

/// A published node that upstreams can be assigned to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Unique name, which is hashed.
    pub node: &'a str,
    /// Availability zone, which [`connection_owners`] prefers to match.
    pub zone: &'a str,
}

/// The only node that may send to the upstream while it is cold; `None` for an empty list.
///
/// Zones are ignored, so that moving an upstream to another zone does not move the ownership of its warm-up.
pub fn warm_up_owner<'a>(upstream: &str, nodes: &[Candidate<'a>]) -> Option<&'a str> {
    nodes
        .iter()
        .max_by_key(|candidate| (weight(upstream, candidate.node), Reverse(candidate.node)))
        .map(|candidate| candidate.node)
}

/// At most `count` nodes that hold connections to the upstream, nodes of its own zone first.
///
/// If there are several owners, one of them is outside the upstream's zone where possible, so that losing the nodes of
/// the zone does not lose all owners.
pub fn connection_owners<'a>(
    upstream: &str,
    zone: &str,
    nodes: &[Candidate<'a>],
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = nodes.to_vec();
    ranked.sort_by_key(|candidate| (Reverse(weight(upstream, candidate.node)), candidate.node));
    let (near, far): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|candidate| candidate.zone == zone);
    let kept_far = usize::from(count > 1 && !far.is_empty());
    let near_count = near.len().min(count - kept_far.min(count));
    let names = near[..near_count].iter().chain(&far);
    names.take(count).map(|candidate| candidate.node).collect()
}

/// Orders nodes by their weights for a key, the highest one first.
pub(crate) fn sort_nodes(nodes: &mut [SocketAddr], key: &str) {
    nodes.sort_by_cached_key(|node| Reverse((weight(key, &node.to_string()), *node)));
}

/// Weight of a node for a key, such as the name of an upstream. SHA-256 gives the same value on every node and in every
/// version of the program, which the standard hasher does not guarantee.
fn weight(key: &str, node: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key.as_bytes());
    hasher.update(node.as_bytes());
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

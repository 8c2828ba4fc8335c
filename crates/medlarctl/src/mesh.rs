//! TCP relays on the links between nodes, by which the test bed partitions the fleet.

use crate::ctl_error::{CtlError, ListenSnafu};
use medlarpost_fakes::prelude::*;
use std::collections::btree_map::Entry;

/// One relay for each ordered pair of nodes, by the positions of the connecting and the listening node.
#[derive(Debug)]
pub(crate) struct Mesh {
    relays: BTreeMap<(usize, usize), TcpRelay>,
    workers: Workers,
}

impl Mesh {
    pub(crate) fn new(workers: Workers) -> Self {
        Self {
            relays: BTreeMap::new(),
            workers,
        }
    }

    /// Address at which node `from` connects to node `to`, which listens for links on `target`. Starts the relay of the
    /// pair, or points it to the new `target`; a node connects to itself directly.
    pub(crate) fn link_address(
        &mut self,
        (from, to): (usize, usize),
        target: SocketAddr,
    ) -> Result<SocketAddr, CtlError> {
        if from == to {
            return Ok(target);
        }
        let relay = match self.relays.entry((from, to)) {
            Entry::Occupied(entry) => {
                entry.get().set_target(target);
                entry.into_mut()
            }
            Entry::Vacant(entry) => {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let relay = TcpRelay::start(address, target, self.workers.clone());
                entry.insert(relay.context(ListenSnafu)?)
            }
        };
        Ok(relay.address())
    }

    /// Cuts all links of a node to and from the others, or restores them.
    pub(crate) fn set_isolated(&self, node: usize, isolated: bool) {
        for ((from, to), relay) in &self.relays {
            if *from == node || *to == node {
                relay.set_cut(isolated);
            }
        }
    }
}

//! Proxies on the links between nodes, so that the test bed can partition the fleet.

use crate::ctl_error::{CtlError, ListenSnafu};
use medlarpost_fakes::prelude::*;
use std::collections::btree_map::Entry;

/// One proxy for each ordered pair of nodes, by the positions of the connecting and the listening node.
#[derive(Debug)]
pub(crate) struct Mesh {
    gates: BTreeMap<(usize, usize), TcpRelay>,
    workers: Workers,
}

impl Mesh {
    pub(crate) fn new(workers: Workers) -> Self {
        Self {
            gates: BTreeMap::new(),
            workers,
        }
    }

    /// Address at which node `from` connects to node `to`, which listens for links on `target`. Starts the proxy of the
    /// pair, or points it to the new `target`; a node connects to itself directly.
    pub(crate) fn link_address(
        &mut self,
        (from, to): (usize, usize),
        target: SocketAddr,
    ) -> Result<SocketAddr, CtlError> {
        if from == to {
            return Ok(target);
        }
        let gate = match self.gates.entry((from, to)) {
            Entry::Occupied(entry) => {
                entry.get().set_target(target);
                entry.into_mut()
            }
            Entry::Vacant(entry) => {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let gate = TcpRelay::start(address, target, self.workers.clone());
                entry.insert(gate.context(ListenSnafu)?)
            }
        };
        Ok(gate.address())
    }

    /// Cuts all links of a node to and from the others, or restores them.
    pub(crate) fn set_isolated(&self, node: usize, isolated: bool) {
        for ((from, to), gate) in &self.gates {
            if *from == node || *to == node {
                gate.set_cut(isolated);
            }
        }
    }
}

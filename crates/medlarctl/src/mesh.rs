//! Gates between each two nodes, so that partitions can be made.

use crate::ctl_error::{CtlError, ListenSnafu};
use medlarpost_fakes::prelude::*;
use std::collections::btree_map::Entry;

/// A gate from each node to each other one, by their positions.
#[derive(Debug)]
pub(crate) struct Mesh {
    gates: BTreeMap<(usize, usize), Gate>,
    workers: Workers,
}

impl Mesh {
    pub(crate) fn new(workers: Workers) -> Self {
        Self {
            gates: BTreeMap::new(),
            workers,
        }
    }

    /// Address at which node `from` reaches the links of node `to`, which listens on `target`.
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
                entry.get().lead_to(target);
                entry.into_mut()
            }
            Entry::Vacant(entry) => {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let gate = Gate::start(address, target, self.workers.clone());
                entry.insert(gate.context(ListenSnafu)?)
            }
        };
        Ok(gate.address())
    }

    /// Cuts a node off from all others, or connects it again.
    pub(crate) fn set_isolated(&self, node: usize, isolated: bool) {
        for ((from, to), gate) in &self.gates {
            if *from == node || *to == node {
                gate.set_cut(isolated);
            }
        }
    }
}

//! Events of a simulation in the order of their times.

use medlarpost_core::prelude::*;
use std::{cmp::Reverse, collections::BinaryHeap};

/// Events that are still to come. Those of the same time come in the order in which they were pushed.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<(Timestamp, u64, E)>>,
    pushed: u64,
}

impl<E: Ord> EventQueue<E> {
    pub fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            pushed: 0,
        }
    }

    pub fn push(&mut self, at: Timestamp, event: E) {
        self.pushed += 1;
        self.events.push(Reverse((at, self.pushed, event)));
    }

    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}

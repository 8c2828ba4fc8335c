//! Model of the connections that all nodes keep open to the upstreams.

use medlarpost_core::prelude::*;
use std::collections::HashMap;

const FIRST_IDLE_LIFETIME: Duration = Duration::from_secs(20);
const FURTHER_IDLE_LIFETIME: Duration = Duration::from_secs(2);

/// Connections by node and upstream.
#[derive(Debug, Default)]
pub struct Connections {
    /// Times until which idle connections stay open.
    idle: HashMap<(usize, usize), Vec<Timestamp>>,
    in_use: HashMap<usize, usize>,
}

impl Connections {
    /// Takes a connection for a request. Returns whether a new one was opened.
    pub fn take(&mut self, now: Timestamp, node: usize, upstream: usize) -> bool {
        *self.in_use.entry(upstream).or_default() += 1;
        let idle = self.idle.entry((node, upstream)).or_default();
        idle.retain(|until| *until > now);
        idle.pop().is_none()
    }

    pub fn give_back(&mut self, now: Timestamp, node: usize, upstream: usize) {
        *self.in_use.entry(upstream).or_default() -= 1;
        let idle = self.idle.entry((node, upstream)).or_default();
        let lifetime = if idle.is_empty() {
            FIRST_IDLE_LIFETIME
        } else {
            FURTHER_IDLE_LIFETIME
        };
        idle.push(now + lifetime);
    }

    /// Connections of all nodes to an upstream.
    pub fn open(&self, now: Timestamp, upstream: usize) -> usize {
        let idle = self
            .idle
            .iter()
            .filter(|((_, other), _)| *other == upstream);
        let idle = idle
            .flat_map(|(_, until)| until)
            .filter(|until| **until > now);
        idle.count() + self.in_use.get(&upstream).copied().unwrap_or_default()
    }
}

//! Recent news known to this node, without duplicates.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Identifies one item of news. Equal content may be reported again later, so that the content can't identify it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NewsId {
    /// Name of the node that reported it first.
    pub origin: Arc<str>,
    /// Identifies the run of that node's process.
    pub start: u64,
    /// Sequence number within that run.
    pub number: u64,
}

/// News by id, bounded in age and number.
#[derive(Debug)]
pub struct NewsLog {
    /// Has the same ids as `order`.
    known: HashMap<NewsId, News>,
    /// Oldest first.
    order: VecDeque<(Timestamp, NewsId)>,
    capacity: usize,
    retention: Duration,
}

impl NewsLog {
    /// Time for which news is kept: as long as a quarantine lasts.
    pub const RETENTION: Duration = Duration::from_mins(10);
    /// Most items kept: one state change for each of 2,500 upstreams, with room for quarantines.
    pub const CAPACITY: usize = 4_096;

    /// An empty log that keeps at most `capacity` items for `retention` each.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            known: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            retention,
        }
    }

    /// Adds news, evicting the oldest item if the log is full. Returns whether it was not known.
    pub fn insert(&mut self, now: Timestamp, id: NewsId, news: News) -> bool {
        self.expire(now);
        if self.capacity == 0 || self.known.contains_key(&id) {
            return false;
        }
        if self.order.len() >= self.capacity {
            self.remove_oldest();
        }
        self.known.insert(id.clone(), news);
        self.order.push_back((now, id));
        true
    }

    /// News that has not expired, oldest first.
    pub fn recent(&mut self, now: Timestamp) -> impl Iterator<Item = (&NewsId, &News)> {
        self.expire(now);
        self.order
            .iter()
            .filter_map(|(_, id)| self.known.get_key_value(id))
    }

    /// Number of items kept, possibly with expired ones.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no item is kept.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= self.retention
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.known.remove(&id);
        }
    }
}

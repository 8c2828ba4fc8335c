//! News that this node knows, without duplicates.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Names one piece of news. The same words may be news again later, so that the content is no name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NewsId {
    /// Node that shared it first.
    pub origin: Arc<str>,
    /// Start of that node.
    pub start: u64,
    /// Number within that start.
    pub number: u64,
}

/// News by id, for a limited time and up to a limited number.
#[derive(Debug)]
pub struct NewsLog {
    /// Same keys as in `order`.
    known: HashMap<NewsId, News>,
    /// Oldest first.
    order: VecDeque<(Timestamp, NewsId)>,
    capacity: usize,
    retention: Duration,
}

impl NewsLog {
    /// Time that news is kept: as long as a quarantine lasts.
    pub const RETENTION: Duration = Duration::from_mins(10);
    /// News kept: a change of state of each of 2,500 upstreams, with room for quarantines.
    pub const CAPACITY: usize = 4_096;

    /// An empty log.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            known: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            retention,
        }
    }

    /// Records news. Returns whether it was not known; the oldest news makes room.
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

    /// Number of news kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing is kept.
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

//! Ids for the news of this node, and detection of news of peers that is already known.

use crate::prelude::*;

/// Most items of news in a message; bounds the length of its frame.
const MAX_NEWS_PER_MESSAGE: usize = 256;

/// News with the id under which it is sent on links.
pub(crate) type IdentifiedNews = (NewsId, News);

/// Numbers the news of this run of the process and stores recent news.
#[derive(Debug)]
pub(crate) struct NewsExchange {
    origin: Arc<str>,
    start: u64,
    /// Sequence number that was assigned last.
    number: u64,
    log: NewsLog,
}

impl NewsExchange {
    pub(crate) fn new(node: &str, start: u64) -> Self {
        Self {
            origin: Arc::from(node),
            start,
            number: 0,
            log: NewsLog::new(NewsLog::CAPACITY, NewsLog::RETENTION),
        }
    }

    /// Assigns an id to news of this node and stores it.
    pub(crate) fn record_own(&mut self, now: Timestamp, news: News) -> IdentifiedNews {
        let (id, news) = self.assign_id(news);
        self.log.insert(now, id.clone(), news.clone());
        (id, news)
    }

    /// Assigns ids to states that one peer asked for, in batches. They are not stored, because other peers know them.
    pub(crate) fn number_states(&mut self, states: Vec<News>) -> Vec<Vec<IdentifiedNews>> {
        let identified: Vec<_> = states
            .into_iter()
            .map(|news| self.assign_id(news))
            .collect();
        identified
            .chunks(MAX_NEWS_PER_MESSAGE)
            .map(<[_]>::to_vec)
            .collect()
    }

    fn assign_id(&mut self, news: News) -> IdentifiedNews {
        self.number += 1;
        let id = NewsId {
            origin: Arc::clone(&self.origin),
            start: self.start,
            number: self.number,
        };
        (id, news)
    }

    /// Stores news of peers and returns the items that were not known.
    pub(crate) fn insert_unknown(
        &mut self,
        now: Timestamp,
        items: Vec<IdentifiedNews>,
    ) -> Vec<News> {
        let fresh = items
            .into_iter()
            .filter(|(id, news)| self.log.insert(now, id.clone(), news.clone()));
        fresh.map(|(_, news)| news).collect()
    }

    /// Unexpired news of this run of the process, in batches. A peer gets the news of other nodes from those nodes.
    pub(crate) fn unexpired_own(&mut self, now: Timestamp) -> Vec<Vec<IdentifiedNews>> {
        let own: Vec<_> = self
            .log
            .recent(now)
            .filter(|(id, _)| id.origin == self.origin && id.start == self.start)
            .map(|(id, news)| (id.clone(), news.clone()))
            .collect();
        own.chunks(MAX_NEWS_PER_MESSAGE)
            .map(<[IdentifiedNews]>::to_vec)
            .collect()
    }
}

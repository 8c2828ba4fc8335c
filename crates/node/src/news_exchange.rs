//! News of this node and of its peers.

use crate::prelude::*;

/// Most news in one message, which bounds its length.
const MAX_NEWS_PER_MESSAGE: usize = 256;

/// News with its id, as links carry it.
pub(crate) type IdentifiedNews = (NewsId, News);

/// Numbers the news of this start and keeps what is known.
#[derive(Debug)]
pub(crate) struct NewsExchange {
    origin: Arc<str>,
    start: u64,
    /// Number of the last news of this start.
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

    /// Names news of this node.
    pub(crate) fn record_own(&mut self, now: Timestamp, news: News) -> IdentifiedNews {
        let (id, news) = self.assign_id(news);
        self.log.insert(now, id.clone(), news.clone());
        (id, news)
    }

    /// Names what one peer asked for, in batches. It is not kept, because other peers know it.
    pub(crate) fn number_states(&mut self, states: Vec<News>) -> Vec<Vec<IdentifiedNews>> {
        let named: Vec<_> = states
            .into_iter()
            .map(|news| self.assign_id(news))
            .collect();
        named
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

    /// Takes news of peers and returns what was not known.
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

    /// News of this start that has not expired, in batches. A peer gets that of other nodes from them.
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

//! Fixture with one fake upstream and clients for it.

use medlarpost_fakes::prelude::*;
use serde_json::{Value, json};

/// Time after which a request counts as unanswered; far above the fixture's service time of 5 ms.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of tries until an upstream is up or down, so that a faulty one can't block a test forever.
const MAX_TRIES: u32 = 500;

/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A fake upstream under test and its recorded events.
#[derive(Debug)]
pub struct UpstreamFixture {
    /// Upstream under test.
    pub upstream: FakeUpstream,
    events: mpsc::UnboundedReceiver<RecordedEvent>,
    received: Vec<FakeUpstreamEvent>,
}

/// Reply as a client reads it.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Start of the upstream's process, in milliseconds since the Unix epoch; 0 if the reply does not say.
    pub start: u64,
    /// Body, or null if it is not JSON.
    pub body: Value,
}

impl UpstreamFixture {
    /// Starts a search upstream of Tunelix with a service time of 5 ms; `adjust` may change its behaviour first.
    pub fn start(adjust: impl FnOnce(&mut UpstreamBehaviour)) -> Self {
        let pool = Deployment::tunelix().search;
        let mut behaviour = UpstreamBehaviour::for_pool(&pool, "pl-a", Duration::from_millis(5), 1);
        adjust(&mut behaviour);
        let (recorder, events) = EventRecorder::new();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream =
            FakeUpstream::start("upstream", address, behaviour, recorder, Workers::start(1))
                .expect("a loopback address can be bound");
        Self {
            upstream,
            events,
            received: Vec::new(),
        }
    }

    /// Client with at most one connection.
    pub fn client() -> awc::Client {
        awc::Client::builder()
            .connector(awc::Connector::new().limit(1))
            .timeout(REPLY_TIMEOUT)
            .finish()
    }

    /// Sends a search on a new connection; `None` without a reply.
    pub async fn search(&self, query: &str, shard: u32, version: u64) -> Option<Reply> {
        self.search_with(&Self::client(), query, shard, version)
            .await
    }

    /// Sends a search with this client; `None` without a reply.
    pub async fn search_with(
        &self,
        client: &awc::Client,
        query: &str,
        shard: u32,
        version: u64,
    ) -> Option<Reply> {
        let path = format!("/v1/shards/{shard}/search");
        let body = json!({"service": "slot-search", "query": query, "limit": 100});
        self.send(client, "node-0-1-1", &path, version, &body).await
    }

    /// Sends this many searches at the same time, each on its own connection.
    pub async fn search_concurrently(&self, number: usize) -> Vec<Option<Reply>> {
        let body = json!({"service": "slot-search", "query": "wing", "limit": 100});
        let searches = (0..number).map(|n| {
            let (client, body) = (Self::client(), &body);
            async move {
                let id = format!("node-0-1-{n}");
                self.send(&client, &id, "/v1/shards/0/search", 1, body)
                    .await
            }
        });
        futures_util::future::join_all(searches).await
    }

    /// Repeats a search until it is answered.
    pub async fn search_until_answered(&self, query: &str) -> Reply {
        for _ in 0..MAX_TRIES {
            if let Some(reply) = self.search(query, 0, 1).await {
                return reply;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        panic!("the upstream did not answer after {MAX_TRIES} tries");
    }

    /// Repeats a search until it is not answered.
    pub async fn search_until_refused(&self) {
        for _ in 0..MAX_TRIES {
            if self.search("wing", 0, 1).await.is_none() {
                return;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        panic!("the upstream still answered after {MAX_TRIES} tries");
    }

    /// Sends a booking; `None` without a reply.
    pub async fn book(&self, content: &str) -> Option<Reply> {
        let booking: Value = serde_json::from_str(content).expect("the fixture is JSON");
        let body = json!({"service": "tunnel-booking", "booking_id": "b-1", "booking": booking});
        self.send(&Self::client(), "node-0-1-2", "/v1/bookings", 0, &body)
            .await
    }

    /// Cancels the search of [`UpstreamFixture::search`], repeatedly because it may not have arrived yet.
    pub async fn cancel(&self) {
        for _ in 0..20 {
            let url = format!("http://{}/v1/cancel/node-0-1-1", self.upstream.address());
            let _reply = Self::client().post(url).send().await;
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Number of events recorded so far for which `wanted` holds.
    pub fn count_events(&mut self, wanted: impl Fn(&FakeUpstreamEvent) -> bool) -> usize {
        while let Ok(event) = self.events.try_recv() {
            self.received.push(event.event);
        }
        self.received.iter().filter(|event| wanted(event)).count()
    }

    async fn send(
        &self,
        client: &awc::Client,
        id: &str,
        path: &str,
        version: u64,
        body: &Value,
    ) -> Option<Reply> {
        let mut reply = client
            .post(format!("http://{}{path}", self.upstream.address()))
            .insert_header(("x-attempt-id", id))
            .insert_header(("x-index-version", version.to_string()))
            .insert_header(("x-deadline-ms", "60000"))
            .send_json(body)
            .await
            .ok()?;
        let bytes = reply.body().await.ok()?;
        let start = reply.headers().get("x-start-time");
        Some(Reply {
            status: reply.status().as_u16(),
            not_run: reply.headers().contains_key("x-not-run"),
            start: start
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .unwrap_or_default(),
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
        })
    }
}

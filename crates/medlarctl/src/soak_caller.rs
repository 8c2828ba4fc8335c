//! Callers of a soak test. Each sends random requests and keeps its connection until the node closes it.

use crate::{
    soak_keys,
    soak_observation::{Observation, RequestKind, RequestOutcome, SentRequest, monotonic_micros},
    soak_options::SoakAddresses,
};
use medlarpost_stand_in::{AnswerError, Caller};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::{mpsc, watch};

/// Port on which nodes accept callers.
pub(crate) const CALLERS_PORT: u16 = 18_080;

/// Deadline that callers send with each request.
const REQUEST_DEADLINE: Duration = Duration::from_millis(1_500);

/// Time beyond the deadline after which a missing answer counts as timed out.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1_500);

/// Pause before each request of a caller, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 10..90;

/// One request in this many is abandoned before its answer.
const REQUESTS_PER_ABANDONED: u32 = 40;

/// Time after which a caller abandons a request, in milliseconds.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..40;

/// Mean number of requests on a connection before the caller drops it, so that new ones are opened.
const MEAN_REQUESTS_PER_CONNECTION: u32 = 50;

/// One caller in this many sends bookings in pieces, as over a slow link. A node that stops meanwhile has read a part of
/// them.
const CALLERS_PER_SLOW: usize = 4;

/// Time that a slow caller takes to send a request, in milliseconds. Nodes allow 3 s for the head and as much for the
/// body.
const SENDING_TIME_MS: std::ops::Range<u64> = 1_000..2_800;

/// Number of pieces in which a slow caller sends a request.
const PIECES: usize = 9;

/// State of the fleet that callers need to choose nodes and routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallersView {
    /// Positions of the nodes that the balancer gives to callers.
    pub(crate) ready: Vec<usize>,
    /// Versions of the configuration whose added routes are requested: those in the newest one, and the one dropped
    /// last.
    pub(crate) added_routes: Vec<u64>,
    /// Whether callers stop sending.
    pub(crate) finished: bool,
}

/// One caller.
pub(crate) struct SoakCaller {
    pub(crate) number: usize,
    pub(crate) random: fastrand::Rng,
    pub(crate) addresses: SoakAddresses,
    pub(crate) view: watch::Receiver<CallersView>,
    pub(crate) observations: mpsc::UnboundedSender<Observation>,
}

impl SoakCaller {
    /// Sends requests until the soak is over.
    pub(crate) async fn run(mut self) {
        let mut connection = None;
        let mut sent = 0;
        while !self.view.borrow().finished {
            tokio::time::sleep(Duration::from_millis(self.random.u64(THINK_TIME_MS))).await;
            if self.random.u32(..MEAN_REQUESTS_PER_CONNECTION) == 0 {
                connection = None;
            }
            let Some((node, caller)) = self.reuse_or_connect(connection.take()).await else {
                continue;
            };
            sent += 1;
            connection = self.send_request(node, caller, sent).await;
        }
    }

    async fn reuse_or_connect(&mut self, open: Option<(usize, Caller)>) -> Option<(usize, Caller)> {
        if open.is_some() {
            return open;
        }
        let ready = self.view.borrow().ready.clone();
        if ready.is_empty() {
            return None;
        }
        let node = ready[self.random.usize(..ready.len())];
        let address = SocketAddr::from((self.addresses.node(node), CALLERS_PORT));
        let caller = tokio::time::timeout(REQUEST_DEADLINE, Caller::try_connect(address)).await;
        Some((node, caller.ok()?.ok()?))
    }

    /// Sends a request and waits for its outcome. Returns the connection if it stays open.
    async fn send_request(
        &mut self,
        node: usize,
        mut caller: Caller,
        sent: u32,
    ) -> Option<(usize, Caller)> {
        let id = format!("c{}-{sent}", self.number);
        let (kind, line, body) = self.random_request(&id);
        let versions = self.view.borrow().added_routes.clone();
        let key = soak_keys::random_key(&mut self.random, &versions);
        let authorization = key
            .as_ref()
            .map_or_else(String::new, |key| format!("Authorization: Token {key}\r\n"));
        let request = SentRequest {
            id: id.clone(),
            sent_at: monotonic_micros(),
            node,
            kind,
            request_line: line.clone(),
            body: body.clone(),
            key,
        };
        self.report(Observation::RequestSent(request));
        let text = format!(
            "{line} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{authorization}Content-Length: {}\r\n\r\n{body}",
            REQUEST_DEADLINE.as_millis(),
            body.len()
        );
        let abandons = self.random.u32(..REQUESTS_PER_ABANDONED) == 0;
        let timeout = if abandons {
            Duration::from_millis(self.random.u64(ABANDON_AFTER_MS))
        } else {
            REQUEST_DEADLINE + DEADLINE_TOLERANCE
        };
        // A node may answer before it has read the whole request, and closes the connection then.
        let _refused_early = if self.is_slow() {
            self.send_in_pieces(&mut caller, &text).await
        } else {
            caller.try_send(&text).await
        };
        let received = caller.read_answer_within(timeout).await;
        let (outcome, stays_open) = match received {
            Ok(answer) => {
                let stays_open = !answer.closes_connection();
                (RequestOutcome::Answered(answer), stays_open)
            }
            Err(AnswerError::ConnectionClosed) => (RequestOutcome::CutOff, false),
            Err(AnswerError::TimedOut) if abandons => (RequestOutcome::Abandoned, false),
            Err(AnswerError::TimedOut) => (RequestOutcome::TimedOut, false),
        };
        let at = monotonic_micros();
        self.report(Observation::RequestEnded { id, at, outcome });
        stays_open.then_some((node, caller))
    }

    fn is_slow(&self) -> bool {
        self.number.is_multiple_of(CALLERS_PER_SLOW)
    }

    async fn send_in_pieces(&mut self, caller: &mut Caller, text: &str) -> std::io::Result<()> {
        let pause = Duration::from_millis(self.random.u64(SENDING_TIME_MS)) / PIECES as u32;
        let size = text.len().div_ceil(PIECES);
        let mut rest = text;
        while !rest.is_empty() {
            tokio::time::sleep(pause).await;
            let (piece, left) = rest.split_at(size.min(rest.len()));
            caller.try_send(piece).await?;
            rest = left;
        }
        Ok(())
    }

    fn random_request(&mut self, id: &str) -> (RequestKind, String, String) {
        if self.is_slow() {
            return booking_request(id);
        }
        let added_routes = self.view.borrow().added_routes.clone();
        match self.random.u32(..20) {
            0..=9 => (RequestKind::Query, format!("GET /q/{id}"), String::new()),
            10..=13 => (RequestKind::Read, format!("GET /read/{id}"), String::new()),
            14..=18 => booking_request(id),
            _ => {
                let version = added_routes[self.random.usize(..added_routes.len())];
                let line = format!("GET /added-{version}/{id}");
                (RequestKind::Added(version), line, String::new())
            }
        }
    }

    fn report(&self, observation: Observation) {
        // Fails only if the receiver has ended, which it does with the soak.
        let _ended = self.observations.send(observation);
    }
}

fn booking_request(id: &str) -> (RequestKind, String, String) {
    let body = format!("booking-{id}");
    (RequestKind::Book, format!("POST /book/{id}"), body)
}

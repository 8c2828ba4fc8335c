//! Callers of a soak. They use open connections until the node ends them.

use crate::{
    soak_observation::{Asked, AskedKind, Ending, Observation, soak_now},
    soak_options::SoakAddresses,
};
use medlarpost_stand_in::{AnswerError, Caller};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::{mpsc, watch};

/// Port on which nodes take callers.
pub(crate) const CALLERS_PORT: u16 = 18_080;

/// Time that callers wait for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time beyond the deadline after which a missing answer counts as late.
const LATE: Duration = Duration::from_millis(1_500);

/// Time between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..90;

/// One request in this many is left before its answer.
const LEAVES: u32 = 40;

/// Time after which a caller leaves, in milliseconds.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 1..40;

/// Connections are given up after this many requests on average, so that others are opened.
const REQUESTS_ON_CONNECTION: u32 = 50;

/// What callers know.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallersView {
    /// Nodes that the balancer gives to callers.
    pub(crate) ready: Vec<usize>,
    /// Versions of the configuration whose added routes are asked for: of the newest, and of ones before.
    pub(crate) added: Vec<u64>,
    /// Whether the soak is over.
    pub(crate) over: bool,
}

/// One caller.
pub(crate) struct SoakCaller {
    pub(crate) number: usize,
    pub(crate) random: fastrand::Rng,
    pub(crate) addresses: SoakAddresses,
    pub(crate) view: watch::Receiver<CallersView>,
    pub(crate) observed: mpsc::UnboundedSender<Observation>,
}

impl SoakCaller {
    /// Sends requests until the soak is over.
    pub(crate) async fn run(mut self) {
        let mut connection = None;
        let mut sent = 0;
        while !self.view.borrow().over {
            tokio::time::sleep(Duration::from_millis(self.random.u64(PAUSE_MS))).await;
            if self.random.u32(..REQUESTS_ON_CONNECTION) == 0 {
                connection = None;
            }
            let Some((node, caller)) = self.connected(connection.take()).await else {
                continue;
            };
            sent += 1;
            connection = self.ask(node, caller, sent).await;
        }
    }

    async fn connected(&mut self, open: Option<(usize, Caller)>) -> Option<(usize, Caller)> {
        if open.is_some() {
            return open;
        }
        let ready = self.view.borrow().ready.clone();
        if ready.is_empty() {
            return None;
        }
        let node = ready[self.random.usize(..ready.len())];
        let address = SocketAddr::from((self.addresses.node(node), CALLERS_PORT));
        let caller = tokio::time::timeout(DEADLINE, Caller::try_connect(address)).await;
        Some((node, caller.ok()?.ok()?))
    }

    /// Sends a request and waits for its end. Returns the connection if it goes on.
    async fn ask(&mut self, node: usize, mut caller: Caller, sent: u32) -> Option<(usize, Caller)> {
        let id = format!("c{}-{sent}", self.number);
        let (kind, line, body) = self.request(&id);
        let asked = Asked {
            id: id.clone(),
            at: soak_now(),
            node,
            kind,
            line: line.clone(),
            body: body.clone(),
        };
        self.tell(Observation::Asked(asked));
        let text = format!(
            "{line} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len()
        );
        let leaves = self.random.u32(..LEAVES) == 0;
        let patience = if leaves {
            Duration::from_millis(self.random.u64(LEAVES_AFTER_MS))
        } else {
            DEADLINE + LATE
        };
        let sent = caller.try_send(&text).await;
        let received = match sent {
            Ok(()) => caller.read_answer_within(patience).await,
            Err(_) => Err(AnswerError::ConnectionClosed),
        };
        let (ending, goes_on) = match received {
            Ok(answer) => {
                let goes_on = !answer.closes_connection();
                (Ending::Answered(answer), goes_on)
            }
            Err(AnswerError::ConnectionClosed) => (Ending::CutOff, false),
            Err(AnswerError::TimedOut) if leaves => (Ending::Left, false),
            Err(AnswerError::TimedOut) => (Ending::Late, false),
        };
        let at = soak_now();
        self.tell(Observation::Ended { id, at, ending });
        goes_on.then_some((node, caller))
    }

    fn request(&mut self, id: &str) -> (AskedKind, String, String) {
        let added = self.view.borrow().added.clone();
        match self.random.u32(..20) {
            0..=9 => (AskedKind::Query, format!("GET /q/{id}"), String::new()),
            10..=13 => (AskedKind::Read, format!("GET /read/{id}"), String::new()),
            14..=18 => {
                let body = format!("booking-{id}");
                (AskedKind::Book, format!("POST /book/{id}"), body)
            }
            _ => {
                let version = added[self.random.usize(..added.len())];
                let line = format!("GET /added-{version}/{id}");
                (AskedKind::Added(version), line, String::new())
            }
        }
    }

    fn tell(&self, observation: Observation) {
        // The reader ends only with the soak.
        let _ended = self.observed.send(observation);
    }
}

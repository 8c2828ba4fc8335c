//! Forwarded requests, the outcomes of their attempts and the answers to callers.

use crate::prelude::*;
use bytes::Bytes;
use std::fmt::{self, Formatter};

/// A caller's request, whose content is opaque to the node.
#[derive(Clone)]
pub struct ForwardRequest {
    /// Id that the caller gave this request; a repetition has another one.
    pub id: Arc<str>,
    /// Host that selects the routes.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Request target: path and query string, forwarded unchanged.
    pub target: String,
    /// What the request says about its caller.
    pub credential: Credential,
    /// Header fields to forward.
    pub fields: Vec<(String, Bytes)>,
    /// Complete body.
    pub body: Bytes,
    /// Time that the caller still waits for the answer.
    pub time_left: Duration,
}

impl ForwardRequest {
    /// Digest of method, host, target and body, which repetitions of a request share. Requests of different workspaces
    /// never share one, so that one workspace's request can't get that of another quarantined.
    pub fn digest(&self, identity: &CallerIdentity) -> Digest {
        let parts = [&self.method, &self.host, &self.target].map(String::as_bytes);
        let mut bytes = parts.join(&0);
        bytes.push(0);
        bytes.extend_from_slice(&self.body);
        let content = Digest::of(&bytes);
        match identity {
            CallerIdentity::Unchecked | CallerIdentity::Anonymous => content,
            CallerIdentity::Workspace(name) => {
                Digest::of(&[Digest::of(name.as_bytes()).0, content.0].concat())
            }
        }
    }

    /// Path of the target, without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Writes no values of header fields, which may hold a key, and nothing of the body.
impl Debug for ForwardRequest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.fields.iter().map(|(name, _)| name).collect();
        f.debug_struct("ForwardRequest")
            .field("id", &self.id)
            .field("host", &self.host)
            .field("method", &self.method)
            .field("target", &self.target)
            .field("credential", &self.credential)
            .field("fields", &names)
            .field("body_bytes", &self.body.len())
            .field("time_left", &self.time_left)
            .finish()
    }
}

/// A complete reply of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields to pass on to the caller.
    pub fields: Vec<(String, Bytes)>,
    /// The upstream's proof that it ran this request, if it sent one.
    pub proof: Option<Bytes>,
    /// Complete body.
    pub body: Bytes,
}

/// How one attempt at one upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardOutcome {
    /// The upstream replied with success.
    Served(UpstreamReply),
    /// The upstream ran the request and replied with a failure.
    Failed(UpstreamReply),
    /// The upstream states that it did not run the request and never will.
    NotRun(NotRunCause),
    /// Nothing was written to the connection.
    NotSent,
    /// The connection was lost after something was written, so the request may have run.
    ConnectionLost,
    /// The reply can't be parsed or does not belong to this request.
    Invalid,
    /// No complete reply arrived before the deadline.
    TimedOut,
    /// The attempt was cancelled after it was sent; it may have run.
    Cancelled,
}

vocabulary! {
    /// Why an upstream did not run a request.
    pub enum NotRunCause {
        /// It has no free slot or room in its queue, or the deadline passed in the queue.
        Full = "full",
        /// Another process now listens on its address.
        OtherInstance = "other_instance",
        /// It does not accept this request.
        Rejected = "rejected",
    }
}

/// Load that an upstream reports with a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Service time at this moment in percent of the usual one, if it states that.
    pub service_percent: Option<u32>,
}

/// Slots, requests and percentages beyond which a report is taken for a fault.
const MAX_REPORTED_SLOTS: u32 = 10_000;
const MAX_REPORTED_WAITING: u32 = 1_000_000;
const REPORTED_PERCENT: std::ops::RangeInclusive<u32> = 10..=2_000;

impl ReportedLoad {
    /// The report without an impossible service time; `None` if another figure is impossible.
    pub fn checked(self) -> Option<Self> {
        let possible = (1..=MAX_REPORTED_SLOTS).contains(&self.slots)
            && self.running <= self.slots
            && self.waiting <= MAX_REPORTED_WAITING;
        possible.then_some(Self {
            service_percent: self
                .service_percent
                .filter(|percent| REPORTED_PERCENT.contains(percent)),
            ..self
        })
    }

    /// Requests that it runs and that wait.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Service time as a multiple of the usual one, if it states that.
    pub fn service_factor(self) -> Option<f64> {
        self.service_percent
            .map(|percent| f64::from(percent) / 100.0)
    }

    /// Time from the arrival of a request that just ended to its end, as a multiple of its usual service time, if it
    /// waited in a queue like the one that the report shows.
    pub(crate) fn reply_factor(self) -> f64 {
        let rounds = f64::from(self.waiting) / f64::from(self.slots.max(1));
        (1.0 + rounds) * self.service_factor().unwrap_or(1.0)
    }
}

/// What an upstream says of itself in the head of a reply, whatever the outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Load that it reports, if any.
    pub load: Option<ReportedLoad>,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this node. Given with a refusal, and not bounded.
    pub rest: Option<Duration>,
}

/// The final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// An upstream's reply, unchanged.
    Reply(UpstreamReply),
    /// Merged records of several shards.
    Merged(MergedAnswer),
    /// Refusal by the node itself.
    Refused(ForwardRefusal),
}

/// Merged records of the shards that answered in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergedAnswer {
    /// Proofs of the shards in the answer, one each.
    pub proofs: Vec<Bytes>,
    /// Number of shards that are not in the answer.
    pub missing: u32,
    /// The greatest records, in descending order.
    pub records: Bytes,
}

/// Why the node refuses a request, and whether it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardRefusal {
    /// No route matches the host and path; not run.
    NoRoute,
    /// The node has no configuration yet; not run.
    NotReady {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// No upstream can take the request now, or it is quarantined; not run.
    Unavailable {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The route needs a key, and the request has none that a workspace holds; not run.
    Unauthenticated,
    /// The workspace has used up its quota; not run.
    OverQuota {
        /// Time after which one more request fits.
        retry_after: Duration,
    },
    /// The request may have run, and its reply was lost.
    OutcomeUnknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl ForwardAnswer {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Reply(_) => "reply",
            Self::Merged(_) => "merged",
            Self::Refused(refusal) => refusal.name(),
        }
    }
}

impl ForwardRefusal {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NotReady { .. } => "not_ready",
            Self::Unavailable { .. } => "unavailable",
            Self::Unauthenticated => "unauthenticated",
            Self::OverQuota { .. } => "over_quota",
            Self::OutcomeUnknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}

impl ForwardOutcome {
    /// Name in logs and metrics. For [`Self::NotRun`] it is that of the cause.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Failed(_) => "failed",
            Self::NotRun(cause) => cause.name(),
            Self::NotSent => "not_sent",
            Self::ConnectionLost => "broken",
            Self::Invalid => "invalid",
            Self::TimedOut => "silent",
            Self::Cancelled => "cancelled",
        }
    }
}

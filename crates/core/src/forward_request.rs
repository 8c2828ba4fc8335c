//! A caller's request that is passed on, and what comes of it.

use crate::prelude::*;
use bytes::Bytes;

/// A request whose content only callers and upstreams understand.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// Id of the caller's attempt, unique to it.
    pub id: Arc<str>,
    /// Host that the caller names.
    pub host: String,
    /// Method.
    pub method: String,
    /// Path and query string, unchanged.
    pub target: String,
    /// Header fields that are passed on.
    pub fields: Vec<(String, Bytes)>,
    /// Whole body.
    pub body: Bytes,
    /// How much longer the caller waits.
    pub time_left: Duration,
}

impl ForwardRequest {
    /// Digest of what an upstream runs, the same for each repetition by a caller.
    pub fn digest(&self) -> Digest {
        let parts = [&self.method, &self.host, &self.target].map(String::as_bytes);
        let mut bytes = parts.join(&0);
        bytes.push(0);
        bytes.extend_from_slice(&self.body);
        Digest::of(&bytes)
    }

    /// Path without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A complete reply of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReply {
    /// Status code.
    pub status: u16,
    /// Header fields that are passed on.
    pub fields: Vec<(String, Bytes)>,
    /// The upstream's proof that it ran this request, if it gave one.
    pub proof: Option<Bytes>,
    /// Whole body.
    pub body: Bytes,
}

/// How one attempt at one upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardOutcome {
    /// It answered.
    Served(UpstreamReply),
    /// It ran the request and failed.
    Failed(UpstreamReply),
    /// It states that the request did not run there and never will.
    NotRun(NotRunCause),
    /// Nothing was written to it.
    NotSent,
    /// The connection ended after something was written.
    ConnectionLost,
    /// What came is no reply to this request.
    Invalid,
    /// Nothing came in time.
    TimedOut,
    /// The attempt was cancelled after it was sent.
    Cancelled,
}

vocabulary! {
    /// Why an upstream did not run a request.
    pub enum NotRunCause {
        /// It has no room, or the deadline passed in its queue.
        Full = "full",
        /// Another process has the address now.
        OtherInstance = "other_instance",
        /// It rejects the request.
        Rejected = "rejected",
    }
}

/// What an upstream says of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// The final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardAnswer {
    /// An upstream's reply, unchanged.
    Reply(UpstreamReply),
    /// Merged records of several shards.
    Merged(MergedAnswer),
    /// No success.
    Refused(ForwardRefusal),
}

/// Merged records and what they were drawn from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergedAnswer {
    /// Proof of each shard that is in the answer.
    pub proofs: Vec<Bytes>,
    /// Shards that are not.
    pub missing: u32,
    /// The greatest records, greatest first.
    pub records: Bytes,
}

/// Why a caller gets no success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardRefusal {
    /// No route has this host and path.
    NoRoute,
    /// The node has no configuration yet; not run.
    NotReady {
        /// When to come back.
        retry_after: Duration,
    },
    /// No upstream can take it now; not run.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run; the reply is lost.
    OutcomeUnknown,
    /// The time is over; it may have run.
    TimedOut,
}

impl ForwardRefusal {
    /// Short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NotReady { .. } => "not_ready",
            Self::Unavailable { .. } => "unavailable",
            Self::OutcomeUnknown => "unknown",
            Self::TimedOut => "timed_out",
        }
    }
}

impl ForwardOutcome {
    /// Short name, for logs and metrics.
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

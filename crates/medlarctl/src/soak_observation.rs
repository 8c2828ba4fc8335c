//! What a soak test observes from outside its nodes.

use medlarpost_stand_in::{ReceivedAnswer, StartedRequest};
use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock, which all processes of a machine share.
pub type SoakTime = u64;

/// Kind of a request, which decides how the checks judge its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Idempotent request, answered by one upstream; may run more than once.
    Read,
    /// Booking, answered by one upstream; may run once at most.
    Book,
    /// Query, answered by the merge of all shards.
    Query,
    /// Request to the route that this version of the configuration added.
    Added(u64),
}

/// A request that a caller is about to send.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// When it was sent.
    pub sent_at: SoakTime,
    /// Position of the node that it was sent to.
    pub node: usize,
    /// Decides how the outcome is judged.
    pub kind: RequestKind,
    /// Method and target.
    pub request_line: String,
    /// Empty for all but bookings.
    pub body: String,
    /// Key that it was sent with, if any.
    pub key: Option<String>,
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// A whole answer came, of any status.
    Answered(ReceivedAnswer),
    /// The connection ended before a whole answer.
    CutOff,
    /// No answer came within the deadline and its tolerance.
    TimedOut,
    /// The caller closed the connection before the answer.
    Abandoned,
}

/// A run as an upstream reports it, one JSON object a line.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RunReport {
    /// When the run began.
    pub at: SoakTime,
    /// Instance that ran the request.
    pub instance: String,
    /// Id of the caller's attempt.
    pub id: String,
    /// Stamp of the reply; unique for each run.
    pub stamp: String,
    /// Method and target.
    pub line: String,
    /// Body as it reached the upstream.
    pub body: String,
    /// Workspace that the node named, if any.
    pub workspace: Option<String>,
    /// Whether the upstream received an `Authorization` field.
    pub has_key: bool,
}

impl RunReport {
    /// The report of a run that an instance has just begun.
    pub fn of(instance: &str, run: &StartedRequest) -> Self {
        Self {
            at: monotonic_micros(),
            instance: instance.to_owned(),
            id: run.id.clone(),
            stamp: run.stamp.clone(),
            line: run.method_and_target().to_owned(),
            body: run.body.clone(),
            workspace: run.header("tenant"),
            has_key: run.header("authorization").is_some(),
        }
    }
}

/// Something that a caller or an upstream reports.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller is about to send a request.
    RequestSent(SentRequest),
    /// A request has ended for its caller.
    RequestEnded {
        /// Id of the attempt.
        id: String,
        /// When it ended.
        at: SoakTime,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// An upstream began to run a request.
    RequestRan(RunReport),
}

/// The present time on the monotonic clock.
pub fn monotonic_micros() -> SoakTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

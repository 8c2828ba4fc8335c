//! What a soak sees from outside its nodes.

use medlarpost_stand_in::{ReceivedAnswer, StartedRequest};
use serde::{Deserialize, Serialize};

/// A time on the steady clock that all processes of a machine share, in microseconds.
pub type SoakTime = u64;

/// What a request asks for, and so what may become of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskedKind {
    /// One upstream's reply; may run more than once.
    Read,
    /// One upstream's reply; may run once.
    Book,
    /// The merge of all shards.
    Query,
    /// The route that a version of the configuration adds.
    Added(u64),
}

/// A request that a caller is about to send.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Id of the attempt.
    pub id: String,
    /// When.
    pub at: SoakTime,
    /// Position of the node that takes it.
    pub node: usize,
    /// What it asks for.
    pub kind: AskedKind,
    /// Method and target.
    pub line: String,
    /// Body.
    pub body: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Ending {
    /// It was answered.
    Answered(ReceivedAnswer),
    /// The connection ended before a whole answer.
    CutOff,
    /// No answer came in time.
    Late,
    /// The caller left.
    Left,
}

/// A run as an upstream reports it, one JSON object a line.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RunReport {
    /// When it began.
    pub at: SoakTime,
    /// Instance that ran it.
    pub instance: String,
    /// Id of the caller's attempt.
    pub id: String,
    /// Stamp of the reply.
    pub stamp: String,
    /// Method and target.
    pub line: String,
    /// Body.
    pub body: String,
}

impl RunReport {
    /// The report of a run that an instance has just begun.
    pub fn of(instance: &str, run: &StartedRequest) -> Self {
        Self {
            at: soak_now(),
            instance: instance.to_owned(),
            id: run.id.clone(),
            stamp: run.stamp.clone(),
            line: run.method_and_target().to_owned(),
            body: run.body.clone(),
        }
    }
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller sends a request.
    Asked(Asked),
    /// A request has ended for its caller.
    Ended {
        /// Id of the attempt.
        id: String,
        /// When.
        at: SoakTime,
        /// How.
        ending: Ending,
    },
    /// An upstream began to run a request.
    Ran(RunReport),
}

/// The present time.
pub fn soak_now() -> SoakTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

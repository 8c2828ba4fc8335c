//! What the decisions about forwarded requests ask of the node.

use crate::prelude::*;
use std::net::SocketAddr;

/// Output of [`Forwarder`].
#[derive(Clone, Debug)]
pub enum ForwardCommand {
    /// Keep connections to this upstream.
    Open {
        /// Its key.
        upstream: UpstreamKey,
        /// Where it listens.
        address: SocketAddr,
        /// Name of its start.
        instance: Arc<str>,
    },
    /// Close the connections to this upstream once running attempts have ended.
    Close(UpstreamKey),
    /// Send one attempt.
    Send {
        /// Names the attempt in its one [`AttemptEnd`].
        attempt: AttemptKey,
        /// Where to send it.
        upstream: UpstreamKey,
        /// What to send.
        request: Arc<ForwardRequest>,
        /// Time after which the reply is of no use.
        deadline: Timestamp,
        /// Whether it must not run twice.
        once: bool,
    },
    /// The reply of an attempt is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
        /// Where it was sent.
        upstream: UpstreamKey,
    },
    /// The final answer to a caller.
    Answer {
        /// Who waits.
        caller: CallerKey,
        /// What it gets.
        answer: ForwardAnswer,
    },
    /// Tell the other nodes that this request crashes upstreams.
    Bar(Digest),
    /// A decision to record.
    Note(ForwardNote),
}

/// A decision with the inputs that decided it.
#[derive(Clone, Debug)]
pub enum ForwardNote {
    /// A further attempt was sent.
    Extra {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Service that gets it.
        service: Arc<str>,
        /// Instance that gets it.
        instance: Arc<str>,
        /// Why: `hedge`, `retry` or `trial`.
        cause: &'static str,
        /// Extra requests that the budget still allows.
        budget_left: f64,
    },
    /// A request was refused because it would be late.
    Overloaded {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Route.
        route: Arc<str>,
        /// Rank of the route.
        rank: u32,
    },
    /// Requests with this digest crash upstreams and are not sent for a while.
    Barred {
        /// Digest of the request.
        digest: Digest,
        /// Whether another node has found it.
        told: bool,
    },
    /// A request was refused because it crashes upstreams.
    RefusedBarred {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Its digest.
        digest: Digest,
    },
    /// A shard, or the one service, was given up.
    GaveUp {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Service that was given up.
        service: Arc<str>,
        /// Instance that was asked last, unless nothing was sent or it has ended.
        instance: Option<Arc<str>>,
        /// Last outcome, if anything was sent.
        cause: &'static str,
        /// Why nothing more was sent.
        denial: SendDenial,
        /// Attempts that were sent.
        sent: u32,
    },
    /// A shard had not answered when the caller's answer went out.
    CutOff {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Service of the shard.
        service: Arc<str>,
        /// Instance that was asked.
        instance: Arc<str>,
        /// Time since it was asked.
        waited: Duration,
    },
    /// A caller got its answer.
    Answered {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Route.
        route: Arc<str>,
        /// `reply`, `merged` or the name of a refusal.
        outcome: &'static str,
        /// Shards in the answer.
        covered: u32,
        /// Shards of the route.
        shards: u32,
        /// Time since the request came.
        elapsed: Duration,
        /// Configuration that decided it.
        version: u64,
    },
    /// The node changed its belief about an upstream.
    Upstream {
        /// Name of its start.
        instance: Arc<str>,
        /// Service.
        service: Arc<str>,
        /// Belief before.
        from: ReplicaState,
        /// Belief now.
        to: ReplicaState,
        /// What changed it.
        cause: ReplicaEvent,
        /// Time since its last reply.
        silent_for: Duration,
    },
    /// A configuration came into force.
    InForce {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
}

//! What the decisions about forwarded requests ask of the node.

use crate::prelude::*;
use std::net::SocketAddr;

/// Output of [`Forwarder`].
#[derive(Clone, Debug)]
pub enum ForwardCommand {
    /// Keep connections to this upstream.
    OpenUpstream {
        /// Its key.
        upstream: UpstreamKey,
        /// Where it listens.
        address: SocketAddr,
        /// Name of its start.
        instance: Arc<str>,
    },
    /// Close the connections to this upstream once running attempts have ended.
    CloseUpstream(UpstreamKey),
    /// Send one attempt.
    SendAttempt {
        /// Names the attempt in its one [`AttemptEnd`].
        attempt: AttemptKey,
        /// Where to send it.
        upstream: UpstreamKey,
        /// What to send.
        request: Arc<ForwardRequest>,
        /// Time after which the reply is of no use.
        deadline: Timestamp,
        /// Whether it must not run twice.
        at_most_once: bool,
    },
    /// The reply of an attempt is no longer wanted.
    CancelAttempt {
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
    AnnounceQuarantine(Digest),
    /// A decision to record.
    Record(ForwardTelemetry),
}

/// A decision with the inputs that decided it.
#[derive(Clone, Debug)]
pub enum ForwardTelemetry {
    /// A further attempt was sent.
    ExtraAttempt {
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
    RefusedOverloaded {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Route.
        route: Arc<str>,
        /// Rank of the route.
        rank: u32,
    },
    /// Requests with this digest crash upstreams and are not sent for a while.
    Quarantined {
        /// Digest of the request.
        digest: Digest,
        /// Whether another node has found it.
        from_peer: bool,
    },
    /// A request was refused because it crashes upstreams.
    RefusedQuarantined {
        /// Id of the caller's attempt.
        request: Arc<str>,
        /// Its digest.
        digest: Digest,
    },
    /// A shard, or the one service, was given up.
    ShardGivenUp {
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
    ShardCutOff {
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
    UpstreamChanged {
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
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
}

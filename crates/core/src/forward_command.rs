//! Commands that the forwarder returns to the node.

use crate::prelude::*;
use std::net::SocketAddr;

/// Output of [`Forwarder::handle`], carried out by the node.
#[derive(Clone, Debug)]
pub enum ForwardCommand {
    /// Prepare to send attempts to this upstream.
    OpenUpstream {
        /// Key of the upstream in later commands.
        upstream: UpstreamKey,
        /// Address that it listens on.
        address: SocketAddr,
        /// Name of this start of its process, sent with each request.
        instance: Arc<str>,
    },
    /// Close the connections to this upstream once its attempts have ended.
    CloseUpstream(UpstreamKey),
    /// Send one attempt.
    SendAttempt {
        /// Returned in the one [`AttemptEnd`] of this attempt.
        attempt: AttemptKey,
        /// Upstream to send it to.
        upstream: UpstreamKey,
        /// Request to send.
        request: Arc<ForwardRequest>,
        /// On whose behalf it is sent.
        identity: CallerIdentity,
        /// Time after which the reply is of no use.
        deadline: Timestamp,
        /// Whether the request is not idempotent and must not run twice.
        at_most_once: bool,
        /// Age of the load report that the upstream was chosen by; `None` if it has sent none.
        report_age: Option<Duration>,
    },
    /// Cancel an attempt whose reply is no longer wanted.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: AttemptKey,
        /// Upstream that it was sent to.
        upstream: UpstreamKey,
    },
    /// Send the final answer to a caller.
    Answer {
        /// Caller that waits for it.
        caller: CallerKey,
        /// Reply, merged records or refusal.
        answer: ForwardAnswer,
    },
    /// Count the answer to this caller for a workspace; sent before the answer.
    CountForWorkspace {
        /// Caller that waits for the answer.
        caller: CallerKey,
        /// Workspace that holds its key.
        workspace: Arc<str>,
    },
    /// Announce to the other nodes that this request crashes upstreams.
    AnnounceQuarantine(Digest),
    /// Tell the other nodes what an upstream says of itself.
    AnnounceNotice(UpstreamNotice),
    /// Send a message about quotas to another node. It may be lost.
    SendQuotaMessage(OutgoingQuotaMessage),
    /// Send observations of upstreams to other nodes. They may be lost.
    SendObservations(OutgoingObservations),
    /// Log and count this decision.
    Record(ForwardTelemetry),
}

/// A decision or change of state, with its inputs, for logs and metrics.
#[derive(Clone, Debug)]
pub enum ForwardTelemetry {
    /// An attempt beyond the primary one was sent.
    ExtraAttempt {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Service whose budget it is charged to.
        service: Arc<str>,
        /// Upstream instance that it was sent to.
        instance: Arc<str>,
        /// `hedge`, `retry` or `trial`.
        cause: &'static str,
        /// What it adds to the answer.
        gain: AttemptGain,
        /// Extra requests left in the service's budget.
        budget_left: f64,
        /// Expected time to its reply.
        expected: Duration,
        /// Age of the upstream's load report; `None` if it has sent none.
        report_age: Option<Duration>,
    },
    /// A hedge was not sent.
    HedgeDenied {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Service of the shard whose reply is late.
        service: Arc<str>,
        /// Why it was not sent.
        denial: SendDenial,
    },
    /// A request was refused because the queues of the upstreams would make its answer late.
    RefusedOverloaded {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// Priority of the route; 0 is the most urgent.
        rank: u32,
    },
    /// A request was refused because the upstreams of too many of its shards want no requests for a while.
    RefusedResting {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// Time after which enough of them take requests again.
        retry_after: Duration,
    },
    /// A request was refused because the node exits before it could be answered.
    RefusedStopping {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// Time in which an answer would have been possible.
        time_left: Duration,
    },
    /// A request was refused because it has no key that a workspace holds.
    RefusedUnauthenticated {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// What it says about its caller.
        credential: Credential,
        /// Version of the configuration that it was checked against.
        version: u64,
    },
    /// A request was refused because the configuration has not been confirmed for so long that its key may be revoked.
    RefusedUnconfirmed {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// Version of the configuration in force.
        version: u64,
        /// Time since the configuration was confirmed; `None` if it never was.
        age: Option<Duration>,
    },
    /// A request was refused because its workspace has used up its quota.
    RefusedOverQuota {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// Time after which one more request fits.
        retry_after: Duration,
        /// This node's share of the quota.
        share: QuotaShareStatus,
    },
    /// A request of a workspace was admitted by its quota, or has none that applies.
    WithinQuota {
        /// Workspace of the caller.
        workspace: Arc<str>,
        /// `admitted`, or `admitted_after_wait` if the owner of the quota was asked first.
        decision: &'static str,
    },
    /// Requests with this digest crash upstreams and are refused for a while.
    RequestQuarantined {
        /// Digest of the requests.
        digest: Digest,
        /// Whether another node announced it.
        from_peer: bool,
    },
    /// A request was refused because it is quarantined.
    RefusedQuarantined {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Its digest.
        digest: Digest,
    },
    /// No further attempt is sent for a shard, or for the service of a request that is not sharded.
    ShardGivenUp {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Service of the shard.
        service: Arc<str>,
        /// Instance of the last attempt; `None` if nothing was sent or the upstream has gone.
        instance: Option<Arc<str>>,
        /// Outcome of the last attempt, or `no_upstream` if nothing was sent.
        cause: &'static str,
        /// Why no further attempt was sent.
        denial: SendDenial,
        /// Number of attempts sent.
        sent: u32,
    },
    /// An attempt was still in flight when the caller was answered without its shard.
    ShardCutOff {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Service of the shard.
        service: Arc<str>,
        /// Instance of the attempt.
        instance: Arc<str>,
        /// Time since the attempt was sent.
        waited: Duration,
    },
    /// A caller was answered.
    Answered {
        /// Id of the caller's request.
        request: Arc<str>,
        /// Name of its route.
        route: Arc<str>,
        /// `reply`, `failure`, `merged` or the name of a refusal.
        outcome: &'static str,
        /// Shards in the answer.
        covered: u32,
        /// Shards of the route.
        shards: u32,
        /// Time since the request arrived.
        elapsed: Duration,
        /// Version of the configuration that the request was routed by.
        version: u64,
    },
    /// The state of an upstream, as seen by this node, changed.
    UpstreamChanged {
        /// Instance of the upstream.
        instance: Arc<str>,
        /// Service that it serves.
        service: Arc<str>,
        /// State before the event.
        from: ReplicaState,
        /// State after the event.
        to: ReplicaState,
        /// Event that caused the change.
        cause: ReplicaEvent,
        /// Time since its last reply.
        silent_for: Duration,
    },
    /// An upstream said of itself that it leaves or wants no requests for a while.
    UpstreamNoticed {
        /// The notice; its age is zero if the upstream told this node.
        notice: UpstreamNotice,
        /// Service of the upstream; `None` if it is not registered here.
        service: Option<Arc<str>>,
        /// Whether another node passed it on.
        from_peer: bool,
    },
    /// Another node's observation of an upstream counts from now on.
    LoadObserved {
        /// Instance of the upstream.
        instance: Arc<str>,
        /// Node that observed it.
        observer: SocketAddr,
        /// Time since the observation.
        age: Duration,
        /// What was observed.
        load: ObservedLoad,
    },
    /// A newer configuration was applied.
    ConfigurationApplied {
        /// Version of the configuration.
        version: u64,
        /// Number of its routes.
        routes: usize,
    },
}

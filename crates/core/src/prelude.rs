//! Re-exports of the types that most modules of this crate and its users need.

pub use crate::{
    answer::{Answer, Coverage, Hit, MissingReason, MissingShard},
    answer_deadline::AnswerDeadline,
    boot_time::BootTime,
    bundle::{
        Bundle, DeploymentLimits, LateShardPreference, LoadPolicy, Service, ServiceKind,
        ShardLayout, Upstream, UpstreamState, Workspace, WorkspaceClass, Zone, ZoneState,
    },
    bundle_diff::BundleDiff,
    chart::{Chart, Machine, Nothing, Step, Vocabulary},
    chart_error::{self, ChartError},
    command::{Command, SubRequest},
    config_agreement::{
        ConfigAgreement, ConfigAgreementInput, ConfigAgreementOutput, ConfigAgreementSettings,
    },
    digest::Digest,
    engine::{Engine, EngineSettings, PolicyMode},
    engine_statistics::EngineStatistics,
    engine_status::{EngineStatus, RunningStatus, UpstreamStatus, ZoneStatus},
    envelope::{Approved, ApprovedBundle, Envelope, Owners, Unverified},
    envelope_error::{self, EnvelopeError},
    event::{
        BookingReply, BookingRequest, Event, FleetView, LoadReport, Outcome, Reply, SearchRequest,
        ShardReply, TicketRequest,
    },
    fleet::{Fleet, FleetNode, Peer},
    forward_command::{ForwardCommand, ForwardTelemetry},
    forward_event::{AttemptEnd, ForwardEvent},
    forward_request::{
        ForwardAnswer, ForwardOutcome, ForwardRefusal, ForwardRequest, MergedAnswer, NotRunCause,
        ReportedLoad, UpstreamReply, UpstreamReport,
    },
    forwarder::{FleetLimits, Forwarder, ForwarderSettings},
    key_lease::{KeyLease, WatchTiming},
    keys::{
        AttemptKey, BookingKey, CallerKey, FlowKey, PeerKey, QueryKey, ServiceKey, UpstreamKey,
        WorkspaceKey,
    },
    manifest::{Manifest, ManifestPart},
    membership::{
        KnownMember, MemberHeartbeat, Membership, MembershipSettings, QuarantinedRequest,
    },
    news::News,
    news_log::{NewsId, NewsLog},
    node_chart::{NodeAction, NodeEvent, NodeMachine, NodeState},
    quota_fleet::FleetSighting,
    quota_limits::QuotaLimits,
    quota_message::{QuotaAsk, QuotaGrant, QuotaMessage},
    refusal::{Execution, Refusal, RefusalKind},
    registered_upstream::RegisteredUpstream,
    replica_chart::{ReplicaAction, ReplicaEvent, ReplicaGuard, ReplicaMachine, ReplicaState},
    routing::{
        CallerLimits, Route, RouteIndex, RoutingTable, ServiceSettings, ShardTarget, Target,
    },
    send_denial::SendDenial,
    shutdown::Shutdown,
    shutdown_chart::{ShutdownAction, ShutdownEvent, ShutdownMachine, ShutdownState},
    shutdown_schedule::ShutdownSchedule,
    snapshot::{PublishedItem, Snapshot, SnapshotRequest},
    timestamp::Timestamp,
    upstream_notice::{NoticeKind, UpstreamNotice},
    validation_error::{ValidationCode, ValidationError},
    workspace_quotas::{OutgoingQuotaMessage, QuotaShareStatus, WorkspaceQuotas},
    workspace_settings::{
        CallerIdentity, Credential, Quota, WorkspaceIndex, WorkspaceSettings, Workspaces,
    },
};

pub use {
    serde::{Deserialize, Serialize},
    slotmap::SlotMap,
    snafu::{OptionExt, ResultExt, Snafu},
    std::{collections::BTreeMap, fmt::Debug, sync::Arc, time::Duration},
};

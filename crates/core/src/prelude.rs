//! Re-exports of the types that most modules of this crate and its users need.

pub use crate::{
    answer::{Answer, Coverage, Hit, MissingReason, MissingShard},
    bundle::{
        Bundle, DeploymentLimits, LateShardPreference, LoadPolicy, Service, ServiceKind,
        ShardLayout, Tenant, TenantClass, Upstream, UpstreamState, Zone, ZoneState,
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
    entry_history::{EntryConflict, EntryHistories},
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
    keys::{
        AttemptKey, BookingKey, CallerKey, FlowKey, PeerKey, QueryKey, ServiceKey, TenantKey,
        UpstreamKey,
    },
    manifest::{Manifest, ManifestPart},
    membership::{
        KnownMember, MemberHeartbeat, Membership, MembershipSettings, QuarantinedRequest,
    },
    news::News,
    news_log::{NewsId, NewsLog},
    node_chart::{NodeAction, NodeEvent, NodeMachine, NodeState},
    refusal::{Execution, Refusal, RefusalKind},
    registered_upstream::RegisteredUpstream,
    registry_bounds::{RegistryBounds, RegistryLimits},
    registry_contact::{RegistryContact, WatchTimes},
    registry_contact_chart::{RegistryContactEvent, RegistryState},
    replica_chart::{ReplicaAction, ReplicaEvent, ReplicaGuard, ReplicaMachine, ReplicaState},
    routing::{
        CallerLimits, Route, RouteIndex, RoutingTable, ServiceSettings, ShardTarget, Target,
    },
    send_denial::SendDenial,
    snapshot::{PublishedItem, Snapshot, SnapshotRequest},
    timestamp::Timestamp,
    upstream_notice::{NoticeKind, UpstreamNotice},
    upstream_registration::UpstreamRegistration,
    validation_error::{ValidationCode, ValidationError},
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

//! Dependencies and inputs of the control task.

use crate::{
    engine_task::EngineNotice,
    link_task::{HeartbeatContent, LinkNotice, LinkParts},
    platform_watcher::PlatformMessage,
    prelude::*,
    status_json::ControlStatus,
};

/// Dependencies of the control task.
#[derive(Debug)]
pub struct ControlParts {
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Queue of the engine task.
    pub engine: EngineSender,
    /// Result of the readiness check.
    pub ready: watch::Sender<bool>,
    /// Set to `true` when the engine has drained.
    pub drained: watch::Sender<bool>,
    /// Public keys of the owners, both of whom have to sign a bundle.
    pub owners: Owners,
    /// Lowest version of a bundle that is accepted.
    pub min_version: u64,
    /// Longest time that a node which has just started waits for the versions of peers that it can't reach.
    pub join_wait: Duration,
    /// Dependencies of each link.
    pub links: LinkParts,
    /// Content of the heartbeats on all links.
    pub heartbeat_content: watch::Sender<HeartbeatContent>,
    /// Threads that run the link tasks.
    pub workers: Workers,
}

/// Input channels of the control task.
#[derive(Debug)]
pub struct ControlInputs {
    /// Messages of the platform watcher.
    pub platform: mpsc::Receiver<PlatformMessage>,
    /// Notices of the engine task.
    pub notices: mpsc::UnboundedReceiver<EngineNotice>,
    /// Notices of the link tasks.
    pub links: mpsc::Receiver<LinkNotice>,
    /// Commands of the node and its administrators; the control task ends when this channel closes.
    pub commands: mpsc::Receiver<ControlCommand>,
}

/// A command of the node or its administrators.
#[derive(Debug)]
pub enum ControlCommand {
    /// Fail the readiness check while work is still accepted.
    FailReadiness,
    /// Accept no new work and finish the work that runs.
    Drain,
    /// Send the state of the configuration and the fleet.
    Status(oneshot::Sender<ControlStatus>),
}

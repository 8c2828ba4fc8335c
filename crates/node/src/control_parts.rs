//! Surroundings and input of the control task.

use crate::{
    engine_task::EngineNotice,
    link_task::{HeartbeatContent, LinkNotice, LinkParts},
    platform_watcher::PlatformMessage,
    prelude::*,
    status_json::ControlStatus,
};

/// What the control task needs.
#[derive(Debug)]
pub struct ControlParts {
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The engine.
    pub engine: EngineSender,
    /// Readiness, for the platform's balancer.
    pub ready: watch::Sender<bool>,
    /// Set when the engine has drained.
    pub drained: watch::Sender<bool>,
    /// Public keys of the owners.
    pub owners: Owners,
    /// Version below which no bundle is accepted.
    pub min_version: u64,
    /// Longest wait of a fresh start for peers that it can't reach.
    pub join_wait: Duration,
    /// What links share.
    pub links: LinkParts,
    /// What heartbeats say.
    pub heartbeat_content: watch::Sender<HeartbeatContent>,
    /// Threads for links.
    pub workers: Workers,
}

/// Input channels of the control task.
#[derive(Debug)]
pub struct ControlInputs {
    /// From the platform watcher.
    pub platform: mpsc::Receiver<PlatformMessage>,
    /// From the engine.
    pub notices: mpsc::UnboundedReceiver<EngineNotice>,
    /// From the links.
    pub links: mpsc::Receiver<LinkNotice>,
    /// From the node's owner; the task ends when it closes.
    pub commands: mpsc::Receiver<ControlCommand>,
}

/// Input from the node's owner and its administrators.
#[derive(Debug)]
pub enum ControlCommand {
    /// Report the node as not ready.
    FailReadiness,
    /// Accept no new work.
    Drain,
    /// State for operators.
    Status(oneshot::Sender<ControlStatus>),
}

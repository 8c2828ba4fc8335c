//! A node on threads of its own, so that all of them can be blocked for a time, like those of a stopped process.

use crate::ctl_error::{CtlError, NodeSnafu};
use medlarpost_fakes::prelude::*;
use medlarpost_node::{
    key_value_drain,
    node::{Node, NodeAddresses, Running},
};

/// Handle of a running node; dropping it drains the node.
#[derive(Debug)]
pub(crate) struct NodeThread {
    pub(crate) addresses: NodeAddresses,
    commands: mpsc::UnboundedSender<NodeCommand>,
    stopped: watch::Receiver<bool>,
}

#[derive(Clone, Copy, Debug)]
enum NodeCommand {
    Pause(Duration),
    Stop,
}

impl NodeThread {
    /// Starts a node and waits until it is listening.
    pub(crate) async fn start(settings: Settings) -> Result<Self, CtlError> {
        let (started_tx, started) = oneshot::channel();
        let (commands, commands_rx) = mpsc::unbounded_channel();
        let (stopped_tx, stopped) = watch::channel(false);
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(run(settings, started_tx, commands_rx));
            stopped_tx.send_replace(true);
        });
        let addresses = started
            .await
            .unwrap_or(Err(NodeError::Platform {
                detail: "the node's thread ended before the node was listening".to_owned(),
            }))
            .context(NodeSnafu)?;
        Ok(Self {
            addresses,
            commands,
            stopped,
        })
    }

    /// Blocks all threads of the node for this time.
    pub(crate) fn pause(&self, time: Duration) {
        let _ended = self.commands.send(NodeCommand::Pause(time));
    }

    /// Starts to drain the node; it stops once its requests have ended.
    pub(crate) fn stop(&self) {
        let _ended = self.commands.send(NodeCommand::Stop);
    }

    /// Waits until the node has drained and its threads have ended.
    pub(crate) async fn wait_until_stopped(&self) {
        let mut stopped = self.stopped.clone();
        let _ended = stopped.wait_for(|stopped| *stopped).await;
    }
}

async fn run(
    settings: Settings,
    started: oneshot::Sender<Result<NodeAddresses, NodeError>>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let thread_count = settings.workers;
    let log = key_value_drain::logger(slog::Level::Error);
    let node = match Node::bind(settings, log).and_then(Node::start) {
        Ok(node) => node,
        Err(fault) => {
            let _gone = started.send(Err(fault));
            return;
        }
    };
    let _gone = started.send(Ok(node.addresses()));
    while let Some(NodeCommand::Pause(time)) = commands.recv().await {
        block_threads(&node, thread_count, time);
    }
    node.drain().await.stop().await;
}

/// Blocks this thread and every worker of the node, by one blocking task for each worker.
fn block_threads(node: &Node<Running>, thread_count: usize, time: Duration) {
    let mut workers = node.workers().clone();
    for _ in 0..thread_count {
        workers.spawn(move || async move { std::thread::sleep(time) });
    }
    std::thread::sleep(time);
}

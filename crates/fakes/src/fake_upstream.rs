//! A stand-in for an upstream, with slots, a queue, a life cycle and faults. It records what it runs.

use crate::{
    prelude::*,
    upstream_api::UpstreamApi,
    upstream_listener::{self, ListenerParts},
    upstream_task::{TaskMessage, UpstreamTask},
};
use std::net::TcpListener;

/// A running fake upstream. Dropping it stops its tasks.
#[derive(Debug)]
pub struct FakeUpstream {
    address: SocketAddr,
    tx: mpsc::UnboundedSender<TaskMessage>,
}

impl FakeUpstream {
    /// Starts a warm upstream on `workers`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound or the life-cycle chart is invalid.
    pub fn start(
        name: &str,
        address: SocketAddr,
        behaviour: UpstreamBehaviour,
        recorder: EventRecorder,
        mut workers: Workers,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(behaviour);
        let (tx, rx) = mpsc::unbounded_channel();
        let (listener_tx, listener_rx) = mpsc::unbounded_channel();
        let task = UpstreamTask::new(
            name,
            Arc::clone(&behaviour),
            recorder,
            tx.downgrade(),
            listener_tx,
        )
        .map_err(std::io::Error::other)?;
        let parts = ListenerParts {
            address,
            connect_time: behaviour.connect_time,
            max_connections: behaviour.max_connections,
            api: UpstreamApi::new(tx.clone(), behaviour),
            workers: workers.clone(),
        };
        workers.spawn(move || task.run(rx));
        workers.spawn(move || upstream_listener::run(listener, parts, listener_rx));
        Ok(Self { address, tx })
    }

    /// Address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Triggers a fault or a planned change; the upstream's task executes it soon after.
    pub fn send_command(&self, command: UpstreamCommand) {
        // Fails only if the task has already stopped, and then there is nothing to command.
        let _ended = self.tx.send(TaskMessage::Command(command));
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        let _ended = self.tx.send(TaskMessage::Stop);
    }
}

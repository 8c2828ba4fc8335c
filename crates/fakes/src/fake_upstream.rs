//! A stand-in for an upstream: slots, a queue, a life cycle, faults, and a record of what ran.

use crate::{
    prelude::*,
    upstream_api::UpstreamApi,
    upstream_listener::{self, ListenerParts},
    upstream_task::{TaskMessage, UpstreamTask},
};
use std::net::TcpListener;

/// An upstream on a loopback address. Dropping it stops its tasks.
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
    /// The address can't be listened on, or the chart of the life cycle is faulty.
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
            connect: behaviour.connect,
            connections: behaviour.connections,
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

    /// Causes a fault or a planned change.
    pub fn send_command(&self, command: UpstreamCommand) {
        // The task ends only with the process that runs the fakes.
        let _ended = self.tx.send(TaskMessage::Command(command));
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        let _ended = self.tx.send(TaskMessage::End);
    }
}

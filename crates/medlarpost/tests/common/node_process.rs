//! A node that runs in a process of its own.

use medlarpost_fakes::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    net::TcpListener,
    process::{Child, Command, ExitStatus},
    sync::atomic::{AtomicU32, Ordering},
};

/// Administrators' token of every node.
pub const ADMIN_TOKEN: &str = "token-of-the-administrators";

/// Lowest port of a node. The ports are below the range of ephemeral ports for outgoing connections, so that a port
/// that was found free stays free until the node listens on it.
const FIRST_PORT: u32 = 20_000;

/// Size of the range of ports for nodes.
const PORT_COUNT: u32 = 12_000;

/// Number of ports that this process has probed; gives tests that run in parallel different ports.
static PORTS_PROBED: AtomicU32 = AtomicU32::new(0);

/// Settings of a node. All but `platform` stay the same when the node is restarted.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub link_address: SocketAddr,
    pub platform: SocketAddr,
    /// Public keys of both owners, in hexadecimal.
    pub owners: [String; 2],
}

/// A running node. Dropping it kills the process.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
}

impl NodeProcess {
    /// Starts the `medlarpost` binary with these settings as environment variables.
    pub fn start(settings: &NodeSettings) -> Self {
        let variables = [
            ("NAME", settings.name.clone()),
            ("ZONE", settings.zone.clone()),
            ("CALLER_ADDRESS", settings.caller_address.to_string()),
            ("ADMIN_ADDRESS", settings.admin_address.to_string()),
            ("LINK_ADDRESS", settings.link_address.to_string()),
            ("PLATFORM", settings.platform.to_string()),
            ("ADMIN_TOKEN", ADMIN_TOKEN.to_owned()),
            ("FLEET_KEY", "01".repeat(32)),
            ("FIRST_OWNER", settings.owners[0].clone()),
            ("SECOND_OWNER", settings.owners[1].clone()),
            // Longer than any test, so that a node that serves must have heard from a majority.
            ("JOIN_WAIT_MS", "600000".to_owned()),
            ("BALANCER_LAG_MS", "300".to_owned()),
            ("WORKERS", "1".to_owned()),
            ("LOG_LEVEL", "error".to_owned()),
        ];
        let child = Command::new(env!("CARGO_BIN_EXE_medlarpost"))
            .env_clear()
            .envs(variables.map(|(name, value)| (format!("MEDLARPOST_{name}"), value)))
            .spawn()
            .expect("the built program can be started");
        Self { child }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process has not ended");
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is a child")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Finds a loopback address whose port is free.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(131);
    let mut candidates = (0..PORT_COUNT).map(|_| {
        let tried = PORTS_PROBED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(tried) % PORT_COUNT;
        SocketAddr::from(([127, 0, 0, 1], port as u16))
    });
    candidates
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("one of the ports is free")
}

//! What a soak runs.

use std::{net::Ipv4Addr, path::PathBuf, time::Duration};

/// Options of one run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults, the callers and their requests.
    pub seed: u64,
    /// Time under load, quiet end included.
    pub duration: Duration,
    /// Nodes.
    pub nodes: usize,
    /// Shards of each of the two sets.
    pub shards: usize,
    /// Upstreams of each service.
    pub replicas: usize,
    /// Callers.
    pub callers: usize,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// The node's program.
    pub node_program: PathBuf,
    /// The program with the stand-ins.
    pub stand_in_program: PathBuf,
}

/// Loopback addresses of one run, so that several can run beside each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakAddresses {
    network: [u8; 2],
}

impl SoakAddresses {
    /// The addresses of this process.
    pub(crate) fn of_process() -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        // 127.0 to 127.63 stay free for other uses.
        Self {
            network: [64 + high % 128, low],
        }
    }

    /// Address of the store.
    pub(crate) fn store(self) -> Ipv4Addr {
        self.host(1)
    }

    /// Address of the proxies to the store.
    pub(crate) fn store_proxies(self) -> Ipv4Addr {
        self.host(2)
    }

    /// Address of the upstreams.
    pub(crate) fn upstreams(self) -> Ipv4Addr {
        self.host(3)
    }

    /// Address of the proxies to upstreams.
    pub(crate) fn upstream_proxies(self) -> Ipv4Addr {
        self.host(4)
    }

    /// Address of a node.
    pub(crate) fn node(self, position: usize) -> Ipv4Addr {
        self.host(10 + position as u8)
    }

    fn host(self, host: u8) -> Ipv4Addr {
        let [high, low] = self.network;
        Ipv4Addr::new(127, high, low, host)
    }
}

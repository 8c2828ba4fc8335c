//! Options of a soak, and the loopback addresses that it uses.

use std::{net::Ipv4Addr, path::PathBuf, time::Duration};

/// Options of one run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults, the callers and their requests.
    pub seed: u64,
    /// Time under load, including the end without faults.
    pub duration: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of shards in each of the two sets.
    pub shards: usize,
    /// Number of upstreams of each service.
    pub replicas: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Path of `medlarpost`, the program of a node.
    pub node_program: PathBuf,
    /// Path of the program with the stand-in commands: this one.
    pub stand_in_program: PathBuf,
}

/// Loopback addresses of one run. They derive from the process id, so that several soaks can run at the same time.
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

    /// Address of the proxies to the store; each node has its own port.
    pub(crate) fn store_proxies(self) -> Ipv4Addr {
        self.host(2)
    }

    /// Address of the upstreams; each has its own port.
    pub(crate) fn upstreams(self) -> Ipv4Addr {
        self.host(3)
    }

    /// Address of the proxies to upstreams; each uses the port of its upstream.
    pub(crate) fn upstream_proxies(self) -> Ipv4Addr {
        self.host(4)
    }

    /// Address of the node at a position.
    pub(crate) fn node(self, position: usize) -> Ipv4Addr {
        self.host(10 + position as u8)
    }

    fn host(self, host: u8) -> Ipv4Addr {
        let [high, low] = self.network;
        Ipv4Addr::new(127, high, low, host)
    }
}

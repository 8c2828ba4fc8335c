//! Client of the platform's read-only HTTP protocol.

use crate::prelude::*;
use awc::Client;

/// Longest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Reply to `GET /v1/watch`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WatchReply {
    /// Revision of the platform's content; increases with each change.
    pub revision: u64,
    /// Digest of the published envelope, if there is one.
    pub manifest: Option<Digest>,
    /// Digest of the published list of VMs, if there is one.
    pub vms: Option<Digest>,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmList {
    /// All VMs that run a node, those about to end included.
    pub vms: Vec<Vm>,
}

impl VmList {
    /// Converts the list to nodes of the fleet.
    pub fn into_nodes(self) -> Vec<FleetNode> {
        let nodes = self.vms.into_iter().map(|vm| FleetNode {
            name: vm.name,
            address: vm.address,
            zone: vm.zone,
            leaving: vm.state == VmState::Leaving,
        });
        nodes.collect()
    }
}

/// A VM that runs a node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Vm {
    /// Name of the node.
    pub name: String,
    /// Address of its link listener.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: String,
    /// Whether the VM is about to end.
    pub state: VmState,
}

/// Whether a VM is about to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs and stays.
    Live,
    /// The VM is about to end.
    Leaving,
}

/// HTTP client of one platform; owns the connections to it.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
}

impl Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// A client of the platform at `address`. Each request sets its own time limit.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client, address }
    }

    /// Long-polls the platform: it replies when its revision is above `after`, or after `wait`.
    ///
    /// # Errors
    ///
    /// If the platform can't be reached, does not reply within `wait` plus one second, or sends an invalid reply.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<WatchReply, NodeError> {
        let url = format!(
            "http://{}/v1/watch?after={after}&wait_ms={}",
            self.address,
            wait.as_millis()
        );
        let body = self.get(url, wait + Duration::from_secs(1)).await?;
        serde_json::from_slice(&body).map_err(|error| platform_error(&error))
    }

    /// Reads the value with this digest and verifies it.
    ///
    /// # Errors
    ///
    /// If the platform can't be reached, does not reply within 2 s, or sends a value with another digest.
    pub async fn read_value(&self, digest: Digest) -> Result<Bytes, NodeError> {
        let body = self
            .get(
                format!("http://{}/v1/values/{digest}", self.address),
                Duration::from_secs(2),
            )
            .await?;
        if Digest::of(&body) != digest {
            return Err(platform_error(&format!(
                "the value read for digest {digest} has another digest"
            )));
        }
        Ok(body)
    }

    async fn get(&self, url: String, timeout: Duration) -> Result<Bytes, NodeError> {
        let exchange = async {
            let mut response = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|error| platform_error(&error))?;
            if !response.status().is_success() {
                return Err(platform_error(&format!(
                    "HTTP status {}",
                    response.status()
                )));
            }
            response
                .body()
                .limit(MAX_VALUE_BYTES)
                .await
                .map_err(|error| platform_error(&error))
        };
        actix_rt::time::timeout(timeout, exchange)
            .await
            .map_err(|elapsed| platform_error(&elapsed))?
    }
}

fn platform_error(error: &impl std::fmt::Display) -> NodeError {
    NodeError::Platform {
        detail: error.to_string(),
    }
}

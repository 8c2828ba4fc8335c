//! The platform's read-only HTTP protocol.

use crate::prelude::*;
use awc::Client;

/// Longest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Reply of `GET /v1/watch`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WatchReply {
    /// Rises with every published change.
    pub revision: u64,
    /// Digest of the current envelope, if one is published.
    pub manifest: Option<Digest>,
    /// Digest of the current list of VMs, if one is published.
    pub vms: Option<Digest>,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

impl VmList {
    /// The list as the fleet sees it.
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

/// One VM that runs a node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Vm {
    /// Name of the node.
    pub name: String,
    /// Address of its link listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is about to end.
    pub state: VmState,
}

/// Whether a VM is about to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Runs.
    Live,
    /// Will end.
    Leaving,
}

/// Reads from the platform. Owns its connections.
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
    /// A client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client, address }
    }

    /// Waits until the revision is above `after` or `wait` has passed.
    ///
    /// # Errors
    ///
    /// No connection, no reply within `wait` and a second, or a reply of another form.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<WatchReply, NodeError> {
        let url = format!(
            "http://{}/v1/watch?after={after}&wait_ms={}",
            self.address,
            wait.as_millis()
        );
        let body = self.get(url, wait + Duration::from_secs(1)).await?;
        serde_json::from_slice(&body).map_err(|fault| platform_error(&fault))
    }

    /// Reads a value and checks its digest.
    ///
    /// # Errors
    ///
    /// As for [`PlatformClient::watch`]; or a value with another digest.
    pub async fn read_value(&self, digest: Digest) -> Result<Bytes, NodeError> {
        let body = self
            .get(
                format!("http://{}/v1/values/{digest}", self.address),
                Duration::from_secs(2),
            )
            .await?;
        if Digest::of(&body) != digest {
            return Err(platform_error(&format!(
                "value {digest} has another digest"
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
                .map_err(|fault| platform_error(&fault))?;
            if !response.status().is_success() {
                return Err(platform_error(&format!("status {}", response.status())));
            }
            response
                .body()
                .limit(MAX_VALUE_BYTES)
                .await
                .map_err(|fault| platform_error(&fault))
        };
        actix_rt::time::timeout(timeout, exchange)
            .await
            .map_err(|elapsed| platform_error(&elapsed))?
    }
}

fn platform_error(fault: &impl std::fmt::Display) -> NodeError {
    NodeError::Platform {
        detail: fault.to_string(),
    }
}

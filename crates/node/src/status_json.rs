//! JSON bodies of the administrators' interface.

use crate::{platform_client::VmState, prelude::*};

/// Reply to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReply {
    /// Name of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// State of the configuration and the fleet.
    pub control: ControlStatus,
    /// State of the work and the upstreams, in the same JSON object.
    #[serde(flatten)]
    pub report: EngineReport,
}

/// Status report of the engine task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineReport {
    /// State of the engine.
    pub engine: EngineStatus,
    /// Number of refusals in the last one to two minutes, by the code of the kind.
    pub recent_refusals: BTreeMap<String, u64>,
}

/// Status report of the control task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ControlStatus {
    /// Version of the active bundle; 0 before the first.
    pub version: u64,
    /// Digest of the signed manifest of the active bundle.
    pub digest: Option<Digest>,
    /// Source of the active bundle: `platform` if the platform has published its version or a higher one, else `peers`.
    pub source: Option<String>,
    /// Lowest version of a bundle that is accepted.
    pub min_version: u64,
    /// Whether the node passes its readiness check.
    pub ready: bool,
    /// Why the node is ready or not.
    pub reason: String,
    /// Why a bundle was last refused; `None` if none was.
    pub last_refused_bundle: Option<String>,
    /// Nodes on the published list of VMs.
    pub peers: Vec<PeerStatus>,
}

/// A node on the published list of VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the node.
    pub name: String,
    /// Address of its link listener.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub zone: String,
    /// Whether its VM is about to end.
    pub state: VmState,
    /// Whether a link to it is up; `false` for the reporting node itself.
    pub reached: bool,
}

impl PeerStatus {
    pub(crate) fn new(node: &FleetNode, reached: bool) -> Self {
        Self {
            name: node.name.clone(),
            address: node.address,
            zone: node.zone.clone(),
            state: if node.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
            reached,
        }
    }
}

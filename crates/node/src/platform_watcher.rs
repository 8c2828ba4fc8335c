//! The task that watches the platform.

use crate::{
    platform_client::{PlatformClient, VmList},
    prelude::*,
};

/// Mean time between tries while the platform doesn't answer; each waits from half to one and a half times as long, so
/// that a fleet does not return to the platform all at once.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Shortest time that a watch is held; also the interval of confirmations when nothing changes.
const MIN_HOLD: Duration = Duration::from_secs(1);

/// Waiting watches that the platform answers for all nodes together, in a second: a quarter of its 2,000 reads.
const WATCHES_PER_SECOND: f64 = 500.0;

/// Reads of values by all nodes together, in a second. With the watches it stays below the platform's 2,000 reads when
/// the whole fleet restarts at once.
const VALUES_PER_SECOND: f64 = 1_400.0;

/// What the watcher tells the control task.
#[derive(Clone, Debug)]
pub enum PlatformMessage {
    /// The platform published a signed bundle; its signatures have not been checked.
    Envelope {
        /// The envelope.
        envelope: Envelope<Unverified>,
        /// Values of its parts, by digest.
        parts: BTreeMap<Digest, Vec<u8>>,
    },
    /// The platform published a list of VMs.
    Vms(VmList),
    /// The platform published a bundle that is not approved.
    Refused(Arc<EnvelopeError>),
    /// The platform answered a watch; everything it holds has been passed on.
    Answered {
        /// The platform made its statement no earlier than this.
        asked: Timestamp,
    },
}

/// Surroundings of a watcher.
#[derive(Debug)]
pub struct WatcherParts {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Public keys of the owners.
    pub owners: Owners,
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Seed of the pauses.
    pub seed: u64,
}

struct PlatformWatcher {
    client: PlatformClient,
    owners: Owners,
    clock: Clock,
    rng: fastrand::Rng,
    /// Nodes on the last published list; at least 1.
    nodes: usize,
    revision: u64,
    /// Whether the last reply was a change.
    changed: bool,
    envelope: Option<Digest>,
    vms: Option<Digest>,
    /// Values of parts that were read, so that a change costs only what changed.
    parts: BTreeMap<Digest, Vec<u8>>,
    control: mpsc::Sender<PlatformMessage>,
}

/// Watches the platform until the control task ends.
pub async fn run(parts: WatcherParts, control: mpsc::Sender<PlatformMessage>) {
    let log = parts.log;
    let mut watcher = PlatformWatcher {
        client: PlatformClient::new(parts.address),
        owners: parts.owners,
        clock: parts.clock,
        rng: fastrand::Rng::with_seed(parts.seed),
        nodes: 1,
        revision: 0,
        changed: false,
        envelope: None,
        vms: None,
        parts: BTreeMap::new(),
        control,
    };
    let mut failing = false;
    while !watcher.control.is_closed() {
        match watcher.read_once().await {
            Ok(()) => failing = false,
            Err(fault) => {
                if !failing {
                    warn!(log, "platform_unavailable"; "fault" => %fault);
                }
                failing = true;
                watcher.pause(RETRY_PAUSE).await;
            }
        }
    }
}

impl PlatformWatcher {
    async fn read_once(&mut self) -> Result<(), NodeError> {
        let sent = self.clock.now();
        // A change is followed by a watch that is not held, because its own confirmation is as old as its watch.
        let hold = if self.changed {
            Duration::ZERO
        } else {
            hold(self.nodes)
        };
        let reply = self.client.watch(self.revision, hold).await?;
        self.changed = reply.revision > self.revision;
        let asked = statement_time(sent, hold, self.changed, self.clock.now());
        // The list comes first: its length paces the reads of parts and divides the upstreams' connections.
        if reply.vms != self.vms
            && let Some(digest) = reply.vms
        {
            self.read_vms(digest).await?;
        }
        if reply.manifest != self.envelope
            && let Some(digest) = reply.manifest
        {
            match self.read_envelope(digest).await {
                // Reading it again would not change it; what the platform published before stays.
                Err(NodeError::Bundle { source }) => {
                    self.envelope = Some(digest);
                    let fault = Arc::new(source);
                    self.tell(PlatformMessage::Refused(fault)).await;
                }
                read => read?,
            }
        }
        self.revision = reply.revision;
        self.tell(PlatformMessage::Answered { asked }).await;
        Ok(())
    }

    async fn read_envelope(&mut self, digest: Digest) -> Result<(), NodeError> {
        let text = self.client.read_value(digest).await?;
        let envelope = Envelope::from_toml(&text).context(node_error::BundleSnafu)?;
        let approved = envelope
            .clone()
            .verify(&self.owners)
            .context(node_error::BundleSnafu)?;
        let manifest = approved.manifest().context(node_error::BundleSnafu)?;
        let mut parts = BTreeMap::new();
        for part in manifest.parts {
            let value = match self.parts.remove(&part.sha256) {
                Some(value) => value,
                None => self.paced_value(part.sha256).await?,
            };
            parts.insert(part.sha256, value);
        }
        self.parts.clone_from(&parts);
        self.envelope = Some(digest);
        self.tell(PlatformMessage::Envelope { envelope, parts })
            .await;
        Ok(())
    }

    async fn read_vms(&mut self, digest: Digest) -> Result<(), NodeError> {
        let text = self.client.read_value(digest).await?;
        let list: VmList = serde_json::from_slice(&text).map_err(|fault| NodeError::Platform {
            detail: format!("list of VMs: {fault}"),
        })?;
        self.vms = Some(digest);
        self.nodes = list.vms.len().max(1);
        self.tell(PlatformMessage::Vms(list)).await;
        Ok(())
    }

    /// Reads a value after a pause that grows with the fleet.
    async fn paced_value(&mut self, digest: Digest) -> Result<Vec<u8>, NodeError> {
        let pace = self.nodes as f64 / VALUES_PER_SECOND;
        self.pause(Duration::from_secs_f64(pace)).await;
        Ok(self.client.read_value(digest).await?.to_vec())
    }

    /// Waits from half to one and a half times as long as `mean`.
    async fn pause(&mut self, mean: Duration) {
        let share = 0.5 + self.rng.f64();
        actix_rt::time::sleep(mean.mul_f64(share)).await;
    }

    async fn tell(&self, message: PlatformMessage) {
        // The control task ends only with the node.
        let _ended = self.control.send(message).await;
    }
}

/// Earliest time at which the platform can have made its statement. A change is told at any time after the watch was
/// sent; a watch without a change is answered only when it has been held.
pub fn statement_time(
    sent: Timestamp,
    hold: Duration,
    changed: bool,
    answered: Timestamp,
) -> Timestamp {
    if changed {
        sent
    } else {
        (sent + hold).min(answered)
    }
}

/// Time that a watch is held in a fleet of so many nodes.
pub fn hold(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / WATCHES_PER_SECOND).max(MIN_HOLD)
}

//! The task that watches the platform and passes its bundle, list of VMs and confirmations to the control task.

use crate::{
    platform_client::{PlatformClient, VmList},
    prelude::*,
};

/// Mean delay before the next attempt after an error. The actual delay is 0.5 to 1.5 times as long, so that the nodes
/// of a fleet don't return to the platform all at once.
const MEAN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Shortest time that the platform holds a watch; also the shortest interval of confirmations if nothing changes.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);

/// Held watches of the whole fleet that end in a second: a quarter of the platform's 2,000 reads a second.
const FLEET_WATCHES_PER_SECOND: f64 = 500.0;

/// Reads of values by the whole fleet in a second. Together with the watches they stay below the platform's 2,000 reads
/// a second when all nodes restart at once.
const FLEET_READS_PER_SECOND: f64 = 1_400.0;

/// A message of the watcher to the control task.
#[derive(Clone, Debug)]
pub enum PlatformMessage {
    /// The platform published a bundle. The control task verifies its signatures when it assembles the bundle.
    Envelope {
        /// Signed envelope of the bundle's manifest.
        envelope: Envelope<Unverified>,
        /// Parts that the manifest names, by digest.
        parts: BTreeMap<Digest, Vec<u8>>,
    },
    /// The platform published a list of VMs.
    Vms(VmList),
    /// The platform published a bundle that is not approved or can't be read.
    BundleRefused(Arc<EnvelopeError>),
    /// The platform replied to a watch; all that it published has been passed on before this message.
    Answered {
        /// Earliest time at which the platform can have made the reply.
        asked: Timestamp,
    },
}

/// Dependencies of the platform watcher.
#[derive(Debug)]
pub struct WatcherParts {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Public keys of the owners, both of whom have to sign a bundle.
    pub owners: Owners,
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the node.
    pub log: Logger,
    /// Seed of the random delays.
    pub seed: u64,
}

struct PlatformWatcher {
    client: PlatformClient,
    owners: Owners,
    clock: Clock,
    rng: fastrand::Rng,
    /// Number of nodes on the last list of VMs; at least 1.
    nodes: usize,
    revision: u64,
    /// Whether the last reply had a new revision.
    changed: bool,
    envelope: Option<Digest>,
    vms: Option<Digest>,
    /// Parts of the last bundle by digest, so that a new bundle needs reads only of the parts that changed.
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
        match watcher.poll_platform().await {
            Ok(()) => failing = false,
            Err(error) => {
                if !failing {
                    warn!(log, "platform_unavailable"; "fault" => %error);
                }
                failing = true;
                watcher.sleep_with_jitter(MEAN_RETRY_DELAY).await;
            }
        }
    }
}

impl PlatformWatcher {
    async fn poll_platform(&mut self) -> Result<(), NodeError> {
        let sent = self.clock.now();
        // A reply with a change is only known to be as new as its watch. The next watch is not held, and so gives a
        // newer confirmation.
        let hold = if self.changed {
            Duration::ZERO
        } else {
            hold_time(self.nodes)
        };
        let reply = self.client.watch(self.revision, hold).await?;
        self.changed = reply.revision > self.revision;
        let asked = confirmation_time(sent, hold, self.changed, self.clock.now());
        // The list of VMs is read first: its length paces the reads of parts and divides the upstreams' connections.
        if reply.vms != self.vms
            && let Some(digest) = reply.vms
        {
            self.read_vms(digest).await?;
        }
        if reply.manifest != self.envelope
            && let Some(digest) = reply.manifest
        {
            match self.read_envelope(digest).await {
                // The value of a digest never changes, so it is not read again; the previous bundle stays active.
                Err(NodeError::Bundle { source }) => {
                    self.envelope = Some(digest);
                    let error = Arc::new(source);
                    self.send_to_control(PlatformMessage::BundleRefused(error))
                        .await;
                }
                read => read?,
            }
        }
        self.revision = reply.revision;
        self.send_to_control(PlatformMessage::Answered { asked })
            .await;
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
                None => self.read_value_paced(part.sha256).await?,
            };
            parts.insert(part.sha256, value);
        }
        self.parts.clone_from(&parts);
        self.envelope = Some(digest);
        self.send_to_control(PlatformMessage::Envelope { envelope, parts })
            .await;
        Ok(())
    }

    async fn read_vms(&mut self, digest: Digest) -> Result<(), NodeError> {
        let text = self.client.read_value(digest).await?;
        let list: VmList = serde_json::from_slice(&text).map_err(|error| NodeError::Platform {
            detail: format!("list of VMs: {error}"),
        })?;
        self.vms = Some(digest);
        self.nodes = list.vms.len().max(1);
        self.send_to_control(PlatformMessage::Vms(list)).await;
        Ok(())
    }

    /// Reads a value after a delay that grows with the fleet, to stay below [`FLEET_READS_PER_SECOND`].
    async fn read_value_paced(&mut self, digest: Digest) -> Result<Vec<u8>, NodeError> {
        let pace = self.nodes as f64 / FLEET_READS_PER_SECOND;
        self.sleep_with_jitter(Duration::from_secs_f64(pace)).await;
        Ok(self.client.read_value(digest).await?.to_vec())
    }

    /// Waits for a random time of 0.5 to 1.5 times `mean`.
    async fn sleep_with_jitter(&mut self, mean: Duration) {
        let share = 0.5 + self.rng.f64();
        actix_rt::time::sleep(mean.mul_f64(share)).await;
    }

    async fn send_to_control(&self, message: PlatformMessage) {
        // Fails only if the control task has ended.
        let _ended = self.control.send(message).await;
    }
}

/// Earliest time at which the platform can have made its reply to a watch. A change is reported at any time after the
/// watch was sent; a watch without a change is answered only at the end of its hold.
pub fn confirmation_time(
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

/// Time that the platform holds a watch of a node in a fleet of this many nodes.
pub fn hold_time(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / FLEET_WATCHES_PER_SECOND).max(MIN_HOLD_TIME)
}

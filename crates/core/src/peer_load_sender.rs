//! When and to which nodes observations of upstreams are sent.

use crate::{
    peer_load::{MAX_OBSERVATIONS, MESSAGE_BYTES, OBSERVATION_BYTES, SHORT_OBSERVATION_BYTES},
    prelude::*,
};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

/// Fewest nodes of a fleet that share observations. In smaller ones each node has most of the replies itself.
const MIN_FLEET_SIZE: usize = 10;

/// Shortest time between two messages.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which attempts in flight are checked for silent upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Nodes that a message goes to.
const FAN_OUT: usize = 4;

/// Age up to which a member counts as running.
const MAX_MEMBER_AGE: Duration = Duration::from_secs(5);

/// Bytes that a node sends per second: less than half of the limit on its control traffic.
const BYTES_PER_SEC: f64 = 2_600.0;

/// Bytes that may be sent at once after a time without messages.
const BURST_BYTES: f64 = BYTES_PER_SEC;

/// Delay of a check beyond which this node was too busy to judge the upstreams by it.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Upstreams whose observations are to be sent, and the nodes and bytes for them.
#[derive(Clone, Debug)]
pub(crate) struct PeerLoadSender {
    /// Replicas by the digest of their start.
    replicas: HashMap<UpstreamDigest, UpstreamKey>,
    /// Address of this node; `None` before the first update of the members.
    own: Option<SocketAddr>,
    /// Other nodes that were heard recently.
    members: Vec<SocketAddr>,
    /// Whether an upstream has stated its service time.
    knows_service_times: bool,
    /// Replicas with observations that are to be passed on.
    pending: BTreeSet<UpstreamKey>,
    next_send: Timestamp,
    next_check: Timestamp,
    /// Time before which silence is not held against upstreams, because this node did not run.
    judges_from: Timestamp,
    /// Bytes that may be sent, at `allowance_at`.
    allowance: f64,
    allowance_at: Timestamp,
    random: fastrand::Rng,
}

impl PeerLoadSender {
    /// A sender without members. `seed` determines which members messages go to.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            replicas: HashMap::new(),
            own: None,
            members: Vec::new(),
            knows_service_times: false,
            pending: BTreeSet::new(),
            next_send: Timestamp::ZERO,
            next_check: Timestamp::ZERO,
            judges_from: Timestamp::ZERO,
            allowance: BURST_BYTES,
            allowance_at: Timestamp::ZERO,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a replica under the digest of its start.
    pub(crate) fn insert(&mut self, upstream: UpstreamDigest, key: UpstreamKey) {
        self.replicas.insert(upstream, key);
    }

    /// Removes the start of a replica.
    pub(crate) fn remove(&mut self, upstream: UpstreamDigest) {
        if let Some(key) = self.replicas.remove(&upstream) {
            self.pending.remove(&key);
        }
    }

    /// Replica with this digest of its start.
    pub(crate) fn replica(&self, upstream: UpstreamDigest) -> Option<UpstreamKey> {
        self.replicas.get(&upstream).copied()
    }

    /// Replaces the members by those that were heard recently.
    pub(crate) fn update_members(&mut self, sighting: &FleetSighting) {
        self.own = Some(sighting.own);
        let recent = sighting.members.iter().filter(|m| m.age < MAX_MEMBER_AGE);
        self.members = recent.map(|member| member.address).collect();
        if !self.is_enabled() {
            self.pending.clear();
        }
    }

    /// Whether observations are shared: in a large fleet whose upstreams state their service times.
    pub(crate) fn is_enabled(&self) -> bool {
        self.knows_service_times && self.members.len() + 1 >= MIN_FLEET_SIZE
    }

    /// Notes that an upstream has stated its service time.
    pub(crate) fn note_service_time(&mut self) {
        self.knows_service_times = true;
    }

    /// Whether this is the address of this node.
    pub(crate) fn is_own(&self, address: SocketAddr) -> bool {
        self.own == Some(address)
    }

    /// Drops what was to be sent, because its age is no longer known.
    pub(crate) fn interrupt(&mut self, now: Timestamp) {
        self.pending.clear();
        self.judges_from = now;
    }

    /// Marks a replica whose observations are to be sent with the next message.
    pub(crate) fn mark_pending(&mut self, key: UpstreamKey) {
        self.pending.insert(key);
    }

    /// When [`Self::start_check`] or [`Self::take_pending`] has something to do next.
    pub(crate) fn next_due(&self, has_attempts: bool) -> Option<Timestamp> {
        if !self.is_enabled() {
            return None;
        }
        let check = has_attempts.then_some(self.next_check);
        let send = (!self.pending.is_empty()).then_some(self.next_send);
        check.into_iter().chain(send).min()
    }

    /// Starts a check of the attempts in flight if one is due. Returns the time from which silence counts.
    pub(crate) fn start_check(&mut self, now: Timestamp) -> Option<Timestamp> {
        if !self.is_enabled() || now < self.next_check {
            return None;
        }
        let delay = now.since(self.next_check);
        if delay > MAX_CHECK_DELAY {
            self.judges_from = now;
        }
        self.next_check = now + CHECK_INTERVAL;
        Some(self.judges_from)
    }

    /// Takes the replicas whose observations are to be sent if a message is due.
    pub(crate) fn take_pending(&mut self, now: Timestamp) -> BTreeSet<UpstreamKey> {
        if !self.is_enabled() || now < self.next_send {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.pending)
    }

    /// A message with as many observations as may be sent now; `None` if there is none. The first ones are the most
    /// important.
    pub(crate) fn message(
        &mut self,
        now: Timestamp,
        mut observations: Vec<LoadObservation>,
    ) -> Option<OutgoingObservations> {
        let earned = now.since(self.allowance_at).as_secs_f64() * BYTES_PER_SEC;
        self.allowance = (self.allowance + earned).min(BURST_BYTES);
        self.allowance_at = now;
        observations.truncate(MAX_OBSERVATIONS);
        let mut bytes = MESSAGE_BYTES;
        observations.retain(|observation| {
            let needed = bytes + encoded_bound(observation);
            let fits = (needed * FAN_OUT) as f64 <= self.allowance;
            if fits {
                bytes = needed;
            }
            fits
        });
        self.next_send = now + SEND_INTERVAL;
        if observations.is_empty() {
            return None;
        }
        self.allowance -= (bytes * FAN_OUT) as f64;
        let to = self.random.choose_multiple(&self.members, FAN_OUT);
        Some(OutgoingObservations {
            to: to.into_iter().copied().collect(),
            observations,
        })
    }
}

/// Upper bound of the encoded size in bytes.
fn encoded_bound(observation: &LoadObservation) -> usize {
    match observation.observer {
        Some(SocketAddr::V6(_)) => OBSERVATION_BYTES,
        Some(SocketAddr::V4(_)) | None => SHORT_OBSERVATION_BYTES,
    }
}

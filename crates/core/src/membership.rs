//! Gossip membership of the fleet, for deployments without a published list of nodes.
//!
//! The size of the fleet determines this node's share of the limits of each upstream.

use crate::prelude::*;
use std::net::SocketAddr;

/// Most members listed in one heartbeat. A node that joins or still finds new members gets as many.
const MAX_MEMBERS_PER_HEARTBEAT: usize = 64;

/// Fewest members listed in a heartbeat of a stable fleet.
const MIN_MEMBERS_PER_HEARTBEAT: usize = 8;

/// Share of a stable fleet that a heartbeat lists. With three heartbeats a second each member is seen several times in
/// [`MAX_GOSSIP_AGE`], and most of a node's control traffic is these lists.
const STABLE_LIST_DIVISOR: usize = 10;

/// Most quarantined requests listed in one heartbeat, the latest first.
pub const MAX_QUARANTINED_PER_HEARTBEAT: usize = 8;

/// Most notices of upstreams listed in one heartbeat, the latest first.
pub const MAX_NOTICES_PER_HEARTBEAT: usize = 12;

/// Age up to which a notice of an upstream is passed on to other nodes.
const MAX_NOTICE_GOSSIP_AGE: Duration = Duration::from_secs(8);

/// Difference up to which two notices of an upstream count as the same one: ages are rounded and the way takes time.
const NOTICE_CLOCK_ERROR: Duration = Duration::from_millis(200);

/// Notices of upstreams kept for the heartbeats. While it is full, new ones are not passed on.
const MAX_KEPT_NOTICES: usize = 256;

/// Age up to which a quarantined request is passed on to other nodes.
const MAX_QUARANTINE_GOSSIP_AGE: Duration = Duration::from_secs(30);

/// Most members that one round of heartbeats goes to: while new members still appear, and once the fleet is stable.
/// A fixed number, so that a node's traffic does not grow with the fleet.
const FAN_OUT: (usize, usize) = (4, 2);

/// Time since the last new member after which the fleet counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// Time since the last new member after which the readers of the registry are chosen: a few heartbeats. Nodes whose views
/// still differ only read more often or follow a follower, so that this time is shorter than [`STABLE_AFTER`].
const READERS_CHOSEN_AFTER: Duration = Duration::from_secs(3);

/// Time for which a silent member still counts. During a network partition a node must not underestimate the fleet: the
/// limits are sums over all nodes, including those on the other side.
const MEMBER_RETENTION: Duration = Duration::from_mins(1);

/// Age up to which a member is passed on to other nodes, so that all nodes forget one that has gone.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(10);

/// Configuration of a node's [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Address at which this node receives heartbeats.
    pub address: SocketAddr,
    /// Addresses that the first heartbeats go to; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// Fleet size assumed while no other node is known.
    pub initial_fleet_size: u32,
    /// Seed of the random choice of members.
    pub seed: u64,
}

/// Heartbeat of a node, with the members and quarantined requests that it knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberHeartbeat {
    /// Address at which the sender receives heartbeats.
    pub address: SocketAddr,
    /// Other nodes that were seen alive recently, in random order.
    pub known_members: Vec<KnownMember>,
    /// Whether the receiver should reply with a heartbeat of its own at once.
    pub answer_wanted: bool,
    /// Fleet size known to the sender, itself included.
    pub fleet_size: u32,
    /// Requests that were quarantined recently because they crash upstreams, the latest first.
    pub quarantined: Vec<QuarantinedRequest>,
    /// What upstreams said of themselves recently, the latest first.
    pub notices: Vec<UpstreamNotice>,
}

/// A request that is refused because it crashes upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedRequest {
    /// Digest of the request's content.
    pub digest: Digest,
    /// Time since a node quarantined it.
    pub age: Duration,
}

/// A node and the time since it was last known to be alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownMember {
    /// Address at which it receives heartbeats.
    pub address: SocketAddr,
    /// Time since it was last known to be alive, by its own heartbeat or by the report of another node.
    pub age: Duration,
}

/// This node's view of the fleet, built from heartbeats.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    /// When each other node was last known to be alive, by its own heartbeat or by the report of another node.
    members: BTreeMap<SocketAddr, Timestamp>,
    /// Largest fleet size that a recent heartbeat reported, and when it arrived.
    reported_fleet_size: Option<(u32, Timestamp)>,
    /// When each recent request was quarantined.
    quarantined: BTreeMap<Digest, Timestamp>,
    /// Latest notice of each upstream, and when the upstream gave it.
    notices: BTreeMap<Arc<str>, (UpstreamNotice, Timestamp)>,
    /// When a new member last appeared.
    last_growth: Timestamp,
    random: fastrand::Rng,
}

impl Membership {
    /// A membership without other nodes.
    pub fn new(settings: MembershipSettings) -> Self {
        let random = fastrand::Rng::with_seed(settings.seed);
        Self {
            settings,
            members: BTreeMap::new(),
            reported_fleet_size: None,
            quarantined: BTreeMap::new(),
            notices: BTreeMap::new(),
            last_growth: Timestamp::ZERO,
            random,
        }
    }

    /// Number of nodes that share the limits, this one included: the larger of the nodes known here and the size that
    /// others reported recently.
    pub fn fleet_size(&mut self, now: Timestamp) -> u32 {
        self.remove_expired(now);
        if self.members.is_empty() {
            return self.settings.initial_fleet_size.max(1);
        }
        let reported_fleet_size = self
            .reported_fleet_size
            .filter(|(_, at)| now.since(*at) < MAX_GOSSIP_AGE);
        self.known_nodes()
            .max(reported_fleet_size.map_or(0, |(fleet, _)| fleet))
    }

    /// The members that are remembered, and the size of the fleet unless this node has heard of no other one yet. A node
    /// without other seeds that nobody contacts is the only one.
    pub fn sighting(&mut self, now: Timestamp) -> FleetSighting {
        let fleet_size = self.fleet_size(now);
        let own = self.settings.address;
        let is_alone = self.settings.seeds.iter().all(|seed| *seed == own)
            && now.since(Timestamp::ZERO) >= STABLE_AFTER;
        let size = match (self.members.is_empty(), is_alone) {
            (false, _) => Some(fleet_size),
            (true, true) => Some(1),
            (true, false) => None,
        };
        let members = self.members.iter().map(|(address, at)| KnownMember {
            address: *address,
            age: now.since(*at),
        });
        FleetSighting {
            own,
            members: members.collect(),
            size,
        }
    }

    /// What the choice of the nodes that read the registry depends on.
    pub fn registry_fleet(&mut self, now: Timestamp) -> RegistryFleet {
        RegistryFleet {
            sighting: self.sighting(now),
            is_stable: now.since(self.last_growth) >= READERS_CHOSEN_AFTER,
        }
    }

    /// Nodes to ask for published state while the registry is away: the known members, or the seeds if there are none.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        if self.members.is_empty() {
            let seeds = self.settings.seeds.iter().copied();
            return seeds
                .filter(|seed| *seed != self.settings.address)
                .collect();
        }
        self.members.keys().copied().collect()
    }

    /// Includes a request that crashes upstreams in the next heartbeats.
    pub fn quarantine_request(&mut self, now: Timestamp, digest: Digest) {
        self.quarantined.insert(digest, now);
    }

    /// Adds the quarantined requests of a heartbeat. Returns those that were not known.
    pub fn merge_quarantined(
        &mut self,
        now: Timestamp,
        heartbeat: &MemberHeartbeat,
    ) -> Vec<QuarantinedRequest> {
        let mut added = Vec::new();
        for quarantined in &heartbeat.quarantined {
            let recent = quarantined.age < MAX_QUARANTINE_GOSSIP_AGE;
            if recent && !self.quarantined.contains_key(&quarantined.digest) {
                self.quarantined
                    .insert(quarantined.digest, now - quarantined.age);
                added.push(*quarantined);
            }
        }
        added
    }

    /// Includes what an upstream said of itself in the next heartbeats.
    pub fn announce_notice(&mut self, now: Timestamp, notice: UpstreamNotice) {
        self.keep_notice(now, notice);
    }

    /// Adds the notices of a heartbeat. Returns those that are newer than what was known.
    pub fn merge_notices(
        &mut self,
        now: Timestamp,
        heartbeat: &MemberHeartbeat,
    ) -> Vec<UpstreamNotice> {
        let recent = heartbeat
            .notices
            .iter()
            .filter(|notice| notice.age < MAX_NOTICE_GOSSIP_AGE);
        recent
            .filter(|notice| self.keep_notice(now, (*notice).clone()))
            .cloned()
            .collect()
    }

    /// Keeps a notice if it is newer than the known one of the same upstream. A leaving upstream stays noted as such.
    fn keep_notice(&mut self, now: Timestamp, notice: UpstreamNotice) -> bool {
        let given_at = now - notice.age;
        let is_newer = match self.notices.get(&notice.instance) {
            None => self.notices.len() < MAX_KEPT_NOTICES,
            Some((known, _)) if known.started_at_ms != notice.started_at_ms => {
                known.started_at_ms < notice.started_at_ms
            }
            Some((known, at)) => {
                known.kind != NoticeKind::Leaving
                    && (notice.kind == NoticeKind::Leaving || given_at > *at + NOTICE_CLOCK_ERROR)
            }
        };
        if is_newer {
            self.notices
                .insert(Arc::clone(&notice.instance), (notice, given_at));
        }
        is_newer
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.notices
            .retain(|_, (_, given_at)| now.since(*given_at) < MAX_NOTICE_GOSSIP_AGE);
        self.quarantined
            .retain(|_, at| now.since(*at) < MAX_QUARANTINE_GOSSIP_AGE);
        self.members
            .retain(|_, sighted| now.since(*sighted) < MEMBER_RETENTION);
    }

    fn known_nodes(&self) -> u32 {
        self.members.len() as u32 + 1
    }

    /// Updates the members from a heartbeat. Returns the reply, if one is wanted.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &MemberHeartbeat,
    ) -> Option<MemberHeartbeat> {
        if self
            .reported_fleet_size
            .is_none_or(|(max, at)| heartbeat.fleet_size >= max || now.since(at) >= MAX_GOSSIP_AGE)
        {
            self.reported_fleet_size = Some((heartbeat.fleet_size, now));
        }
        let known_before = self.members.len();
        self.record_sighting(heartbeat.address, now);
        for member in &heartbeat.known_members {
            // A time before this process started is clamped to its start.
            if member.age < MAX_GOSSIP_AGE {
                self.record_sighting(member.address, now - member.age);
            }
        }
        if self.members.len() > known_before {
            self.last_growth = now;
        }
        heartbeat
            .answer_wanted
            .then(|| self.build_heartbeat(now, false, MAX_MEMBERS_PER_HEARTBEAT))
    }

    /// Members to list in the next round of heartbeats.
    fn list_length(&self, now: Timestamp) -> usize {
        if self.is_stable(now) {
            let share = self.members.len() / STABLE_LIST_DIVISOR;
            share.clamp(MIN_MEMBERS_PER_HEARTBEAT, MAX_MEMBERS_PER_HEARTBEAT)
        } else {
            MAX_MEMBERS_PER_HEARTBEAT
        }
    }

    fn is_stable(&self, now: Timestamp) -> bool {
        now.since(self.last_growth) >= STABLE_AFTER
    }

    /// Returns the heartbeat of the next round and where it goes: to random members and a random seed, or to all seeds
    /// while no other node is known. The seed lets the two sides of a partition find each other again.
    pub fn next_heartbeat(&mut self, now: Timestamp) -> (Vec<SocketAddr>, MemberHeartbeat) {
        self.remove_expired(now);
        let alone = self.members.is_empty();
        let mut targets: Vec<SocketAddr> = self.members.keys().copied().collect();
        self.random.shuffle(&mut targets);
        let (while_growing, when_stable) = FAN_OUT;
        targets.truncate(if self.is_stable(now) {
            when_stable
        } else {
            while_growing
        });
        let seeds = self.settings.seeds.iter().copied();
        let seeds: Vec<_> = seeds
            .filter(|seed| *seed != self.settings.address)
            .collect();
        if alone {
            targets = seeds;
        } else if !seeds.is_empty() {
            let seed = seeds[self.random.usize(..seeds.len())];
            if !targets.contains(&seed) {
                targets.push(seed);
            }
        }
        let list_length = self.list_length(now);
        (targets, self.build_heartbeat(now, alone, list_length))
    }

    fn build_heartbeat(
        &mut self,
        now: Timestamp,
        answer_wanted: bool,
        list_length: usize,
    ) -> MemberHeartbeat {
        let mut known_members: Vec<_> = self
            .members
            .iter()
            .map(|(address, at)| KnownMember {
                address: *address,
                age: now.since(*at),
            })
            .filter(|member| member.age < MAX_GOSSIP_AGE)
            .collect();
        // Selecting by age would make all nodes list the same few members, so that a large fleet would never be known.
        self.random.shuffle(&mut known_members);
        known_members.truncate(list_length);
        let quarantined = self
            .quarantined
            .iter()
            .map(|(digest, at)| QuarantinedRequest {
                digest: *digest,
                age: now.since(*at),
            });
        let mut quarantined: Vec<_> = quarantined.collect();
        quarantined.sort_by_key(|quarantined| quarantined.age);
        quarantined.truncate(MAX_QUARANTINED_PER_HEARTBEAT);
        MemberHeartbeat {
            notices: self.recent_notices(now),
            quarantined,
            address: self.settings.address,
            known_members,
            answer_wanted,
            fleet_size: self.known_nodes(),
        }
    }

    fn recent_notices(&self, now: Timestamp) -> Vec<UpstreamNotice> {
        let notices = self.notices.values().map(|(notice, given_at)| {
            let age = now.since(*given_at);
            let passed = age.saturating_sub(notice.age);
            let kind = match notice.kind {
                NoticeKind::Leaving => NoticeKind::Leaving,
                NoticeKind::Resting { left } => NoticeKind::Resting {
                    left: left.saturating_sub(passed),
                },
            };
            UpstreamNotice {
                kind,
                age,
                ..notice.clone()
            }
        });
        let mut notices: Vec<_> = notices.collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES_PER_HEARTBEAT);
        notices
    }

    fn record_sighting(&mut self, address: SocketAddr, at: Timestamp) {
        if address == self.settings.address {
            return;
        }
        let last_sighting = self.members.entry(address).or_insert(at);
        *last_sighting = at.max(*last_sighting);
    }
}

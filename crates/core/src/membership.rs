//! Which nodes share the limits of upstreams, where no list of them is published.

use crate::prelude::*;
use std::net::SocketAddr;

/// Members that one beat names at most.
const MAX_MEMBERS_PER_HEARTBEAT: usize = 64;

/// Requests that crash upstreams which one beat names at most, the latest first.
pub const MAX_BARRED_PER_HEARTBEAT: usize = 8;

/// Time for which a request that crashes upstreams is reported_fleet_size to others.
const BARRED_GOSSIP_AGE: Duration = Duration::from_secs(30);

/// Members that one round of beats goes to at most, so that a node's traffic does not grow with the fleet: while the fleet
/// is still becoming known, and afterwards.
const FAN_OUT: (usize, usize) = (4, 2);

/// Time since the last new member after which the fleet counts as known.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// Time for which a silent member counts. A cut node must not take the fleet for smaller than it is: the limits are sums
/// over all nodes, also over those on the other side.
const MEMBER_RETENTION: Duration = Duration::from_mins(1);

/// Age at which a member is no longer reported_fleet_size to others, so that a node that is gone is forgotten by all.
const GOSSIP_AGE: Duration = Duration::from_secs(10);

/// What a node knows before it has heard anything.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Where this node takes beats.
    pub address: SocketAddr,
    /// Nodes to ask first; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// Nodes assumed until another one was heard.
    pub assumed_fleet: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// A sign of life, and what the sender knows of others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberHeartbeat {
    /// Where the sender takes beats.
    pub address: SocketAddr,
    /// Other nodes that were heard lately, in no order.
    pub known_members: Vec<KnownMember>,
    /// Whether the sender wants a beat in return at once.
    pub answer_wanted: bool,
    /// Nodes that the sender knows, itself included.
    pub fleet_size: u32,
    /// Requests that were barred lately because they crash upstreams.
    pub barred: Vec<BarredRequest>,
}

/// A request that crashes upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BarredRequest {
    /// Its digest.
    pub digest: Digest,
    /// Time since a node found it.
    pub age: Duration,
}

/// A node and how long ago there was a sign of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownMember {
    /// Where it takes beats.
    pub address: SocketAddr,
    /// Time since the last sign.
    pub age: Duration,
}

/// The nodes of the fleet as this one has heard of them.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    /// Last sign of each other node, its own or one that another node reported_fleet_size.
    members: BTreeMap<SocketAddr, Timestamp>,
    /// Largest fleet that another node has reported_fleet_size lately, and when.
    reported_fleet_size: Option<(u32, Timestamp)>,
    /// Requests that were barred lately, and when.
    barred: BTreeMap<Digest, Timestamp>,
    /// When a member was last added.
    last_growth: Timestamp,
    random: fastrand::Rng,
}

impl Membership {
    /// A fleet of which nothing is known.
    pub fn new(settings: MembershipSettings) -> Self {
        let random = fastrand::Rng::with_seed(settings.seed);
        Self {
            settings,
            members: BTreeMap::new(),
            reported_fleet_size: None,
            barred: BTreeMap::new(),
            last_growth: Timestamp::ZERO,
            random,
        }
    }

    /// Nodes that share the limits, this one included.
    pub fn fleet_size(&mut self, now: Timestamp) -> u32 {
        self.remove_expired(now);
        if self.members.is_empty() {
            return self.settings.assumed_fleet.max(1);
        }
        let reported_fleet_size = self
            .reported_fleet_size
            .filter(|(_, at)| now.since(*at) < GOSSIP_AGE);
        self.known_nodes()
            .max(reported_fleet_size.map_or(0, |(fleet, _)| fleet))
    }

    /// Nodes to ask for what they know: those that were heard, or the seeds while none was.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        if self.members.is_empty() {
            let seeds = self.settings.seeds.iter().copied();
            return seeds
                .filter(|seed| *seed != self.settings.address)
                .collect();
        }
        self.members.keys().copied().collect()
    }

    /// Lets the others be reported_fleet_size of a request that crashes upstreams.
    pub fn bar_request(&mut self, now: Timestamp, digest: Digest) {
        self.barred.insert(digest, now);
    }

    /// Takes over the barred requests of a beat. Returns those that are news.
    pub fn merge_barred(
        &mut self,
        now: Timestamp,
        heartbeat: &MemberHeartbeat,
    ) -> Vec<BarredRequest> {
        let mut added = Vec::new();
        for barred in &heartbeat.barred {
            let recent = barred.age < BARRED_GOSSIP_AGE;
            if recent && !self.barred.contains_key(&barred.digest) {
                self.barred.insert(barred.digest, now - barred.age);
                added.push(*barred);
            }
        }
        added
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.barred
            .retain(|_, at| now.since(*at) < BARRED_GOSSIP_AGE);
        self.members
            .retain(|_, sighted| now.since(*sighted) < MEMBER_RETENTION);
    }

    fn known_nodes(&self) -> u32 {
        self.members.len() as u32 + 1
    }

    /// Takes a beat. Returns the one to answer with, if one is wanted.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &MemberHeartbeat,
    ) -> Option<MemberHeartbeat> {
        if self
            .reported_fleet_size
            .is_none_or(|(fleet, at)| heartbeat.fleet_size >= fleet || now.since(at) >= GOSSIP_AGE)
        {
            self.reported_fleet_size = Some((heartbeat.fleet_size, now));
        }
        let known_before = self.members.len();
        self.record_sighting(heartbeat.address, now);
        for member in &heartbeat.known_members {
            // Ages are cut at the origin of this process's time, before which nothing was heard.
            if member.age < GOSSIP_AGE {
                self.record_sighting(member.address, now - member.age);
            }
        }
        if self.members.len() > known_before {
            self.last_growth = now;
        }
        heartbeat
            .answer_wanted
            .then(|| self.build_heartbeat(now, false))
    }

    /// Where the next round of beats goes, and the beat. Until another node was heard, and now and then afterwards, it
    /// goes to the seeds as well, so that groups that lost each other meet again.
    pub fn next_heartbeat(&mut self, now: Timestamp) -> (Vec<SocketAddr>, MemberHeartbeat) {
        self.remove_expired(now);
        let alone = self.members.is_empty();
        let mut targets: Vec<SocketAddr> = self.members.keys().copied().collect();
        self.random.shuffle(&mut targets);
        let (while_growing, when_stable) = FAN_OUT;
        let is_stable = now.since(self.last_growth) >= STABLE_AFTER;
        targets.truncate(if is_stable {
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
        (targets, self.build_heartbeat(now, alone))
    }

    fn build_heartbeat(&mut self, now: Timestamp, answer_wanted: bool) -> MemberHeartbeat {
        let mut known_members: Vec<_> = self
            .members
            .iter()
            .map(|(address, at)| KnownMember {
                address: *address,
                age: now.since(*at),
            })
            .filter(|member| member.age < GOSSIP_AGE)
            .collect();
        // A choice by age would tell all the same few, and a large fleet would never be known.
        self.random.shuffle(&mut known_members);
        known_members.truncate(MAX_MEMBERS_PER_HEARTBEAT);
        let barred = self.barred.iter().map(|(digest, at)| BarredRequest {
            digest: *digest,
            age: now.since(*at),
        });
        let mut barred: Vec<_> = barred.collect();
        barred.sort_by_key(|barred| barred.age);
        barred.truncate(MAX_BARRED_PER_HEARTBEAT);
        MemberHeartbeat {
            barred,
            address: self.settings.address,
            known_members,
            answer_wanted,
            fleet_size: self.known_nodes(),
        }
    }

    fn record_sighting(&mut self, address: SocketAddr, at: Timestamp) {
        if address == self.settings.address {
            return;
        }
        let last_sighting = self.members.entry(address).or_insert(at);
        *last_sighting = at.max(*last_sighting);
    }
}

//! Which nodes share the limits of upstreams, where no list of them is published.

use crate::prelude::*;
use std::net::SocketAddr;

/// Members that one beat names at most.
const HEARD_IN_BEAT: usize = 64;

/// Requests that crash upstreams which one beat names at most, the latest first.
pub const BARRED_IN_BEAT: usize = 8;

/// Time for which a request that crashes upstreams is told to others.
const BARRED_TOLD_FOR: Duration = Duration::from_secs(30);

/// Members that one round of beats goes to at most, so that a node's traffic does not grow with the fleet: while the fleet
/// is still becoming known, and afterwards.
const FAN_OUT: (usize, usize) = (4, 2);

/// Time since the last new member after which the fleet counts as known.
const SETTLED_AFTER: Duration = Duration::from_secs(10);

/// Time for which a silent member counts. A cut node must not take the fleet for smaller than it is: the limits are sums
/// over all nodes, also over those on the other side.
const MEMORY: Duration = Duration::from_mins(1);

/// Age at which a member is no longer told to others, so that a node that is gone is forgotten by all.
const TOLD_FOR: Duration = Duration::from_secs(10);

/// What a node knows before it has heard anything.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Where this node takes beats.
    pub address: SocketAddr,
    /// Nodes to ask first; they may be down.
    pub seeds: Vec<SocketAddr>,
    /// Nodes assumed until another one was heard.
    pub initial_fleet_size: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// A sign of life, and what the sender knows of others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberBeat {
    /// Where the sender takes beats.
    pub address: SocketAddr,
    /// Other nodes that were heard lately, in no order.
    pub heard: Vec<HeardMember>,
    /// Whether the sender wants a beat in return at once.
    pub answer_wanted: bool,
    /// Nodes that the sender knows, itself included.
    pub fleet: u32,
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
pub struct HeardMember {
    /// Where it takes beats.
    pub address: SocketAddr,
    /// Time since the last sign.
    pub age: Duration,
}

/// The nodes of the fleet as this one has heard of them.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    /// Last sign of each other node, its own or one that another node told.
    members: BTreeMap<SocketAddr, Timestamp>,
    /// Largest fleet that another node has told lately, and when.
    told: Option<(u32, Timestamp)>,
    /// Requests that were barred lately, and when.
    barred: BTreeMap<Digest, Timestamp>,
    /// When a member was last added.
    grown: Timestamp,
    random: fastrand::Rng,
}

impl Membership {
    /// A fleet of which nothing is known.
    pub fn new(settings: MembershipSettings) -> Self {
        let random = fastrand::Rng::with_seed(settings.seed);
        Self {
            settings,
            members: BTreeMap::new(),
            told: None,
            barred: BTreeMap::new(),
            grown: Timestamp::ZERO,
            random,
        }
    }

    /// Nodes that share the limits, this one included.
    pub fn size(&mut self, now: Timestamp) -> u32 {
        self.forget(now);
        if self.members.is_empty() {
            return self.settings.initial_fleet_size.max(1);
        }
        let told = self.told.filter(|(_, at)| now.since(*at) < TOLD_FOR);
        self.known().max(told.map_or(0, |(fleet, _)| fleet))
    }

    /// Nodes to ask for what they know: those that were heard, or the seeds while none was.
    pub fn helpers(&self) -> Vec<SocketAddr> {
        if self.members.is_empty() {
            let seeds = self.settings.seeds.iter().copied();
            return seeds
                .filter(|seed| *seed != self.settings.address)
                .collect();
        }
        self.members.keys().copied().collect()
    }

    /// Lets the others be told of a request that crashes upstreams.
    pub fn bar(&mut self, now: Timestamp, digest: Digest) {
        self.barred.insert(digest, now);
    }

    /// Takes over the barred requests of a beat. Returns those that are news.
    pub fn barred(&mut self, now: Timestamp, beat: &MemberBeat) -> Vec<BarredRequest> {
        let mut news = Vec::new();
        for barred in &beat.barred {
            let lately = barred.age < BARRED_TOLD_FOR;
            if lately && !self.barred.contains_key(&barred.digest) {
                self.barred.insert(barred.digest, now - barred.age);
                news.push(*barred);
            }
        }
        news
    }

    fn forget(&mut self, now: Timestamp) {
        self.barred.retain(|_, at| now.since(*at) < BARRED_TOLD_FOR);
        self.members.retain(|_, heard| now.since(*heard) < MEMORY);
    }

    fn known(&self) -> u32 {
        self.members.len() as u32 + 1
    }

    /// Takes a beat. Returns the one to answer with, if one is wanted.
    pub fn heard(&mut self, now: Timestamp, beat: &MemberBeat) -> Option<MemberBeat> {
        if self
            .told
            .is_none_or(|(fleet, at)| beat.fleet >= fleet || now.since(at) >= TOLD_FOR)
        {
            self.told = Some((beat.fleet, now));
        }
        let known = self.members.len();
        self.sign(beat.address, now);
        for member in &beat.heard {
            // Ages are cut at the origin of this process's time, before which nothing was heard.
            if member.age < TOLD_FOR {
                self.sign(member.address, now - member.age);
            }
        }
        if self.members.len() > known {
            self.grown = now;
        }
        beat.answer_wanted.then(|| self.beat(now, false))
    }

    /// Where the next round of beats goes, and the beat. Until another node was heard, and now and then afterwards, it
    /// goes to the seeds as well, so that groups that lost each other meet again.
    pub fn round(&mut self, now: Timestamp) -> (Vec<SocketAddr>, MemberBeat) {
        self.forget(now);
        let alone = self.members.is_empty();
        let mut targets: Vec<SocketAddr> = self.members.keys().copied().collect();
        self.random.shuffle(&mut targets);
        let (settling, settled) = FAN_OUT;
        let is_settled = now.since(self.grown) >= SETTLED_AFTER;
        targets.truncate(if is_settled { settled } else { settling });
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
        (targets, self.beat(now, alone))
    }

    fn beat(&mut self, now: Timestamp, answer_wanted: bool) -> MemberBeat {
        let mut heard: Vec<_> = self
            .members
            .iter()
            .map(|(address, at)| HeardMember {
                address: *address,
                age: now.since(*at),
            })
            .filter(|member| member.age < TOLD_FOR)
            .collect();
        // A choice by age would tell all the same few, and a large fleet would never be known.
        self.random.shuffle(&mut heard);
        heard.truncate(HEARD_IN_BEAT);
        let barred = self.barred.iter().map(|(digest, at)| BarredRequest {
            digest: *digest,
            age: now.since(*at),
        });
        let mut barred: Vec<_> = barred.collect();
        barred.sort_by_key(|barred| barred.age);
        barred.truncate(BARRED_IN_BEAT);
        MemberBeat {
            barred,
            address: self.settings.address,
            heard,
            answer_wanted,
            fleet: self.known(),
        }
    }

    fn sign(&mut self, address: SocketAddr, at: Timestamp) {
        if address == self.settings.address {
            return;
        }
        let heard = self.members.entry(address).or_insert(at);
        *heard = at.max(*heard);
    }
}

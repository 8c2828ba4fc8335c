//! What a node knows of the fleet, as far as it decides about quotas.

use crate::{prelude::*, rendezvous};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

/// Time without news of a member after which it does not count as heard, in a fleet of one node.
const BASE_SILENCE: Duration = Duration::from_secs(5);

/// Added to the silence for each node: news takes longer in a larger fleet.
const SILENCE_PER_NODE: Duration = Duration::from_millis(200);

/// Half of the time for which members are remembered.
const MAX_SILENCE: Duration = Duration::from_secs(30);

/// Silence limits after which the next node takes over the workspaces of one that is silent.
const OWNER_SILENCES: u32 = 2;

/// Time over which the share of a node that has started grows, once it finds no more members. Until then it may take itself
/// for the owner of a workspace that has another one, or underestimate the fleet.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Age of the last update up to which a node acts as an owner. After an interruption its view is outdated.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(2_500);

/// This node's view of the members, from which the owners of workspaces and this node's share follow.
///
/// The owner of a workspace is the first of its rendezvous order that was heard of within two silence limits. By then an
/// earlier one that is cut off has noticed that it hears only a part of the fleet, and grants only the share of that part.
#[derive(Clone, Debug)]
pub struct QuotaFleet {
    own: Option<SocketAddr>,
    /// Start of the process, or the end of the last interruption.
    started_at: Timestamp,
    updated_at: Timestamp,
    /// Whether the process has started and its share has not reached the whole yet.
    is_discovering: bool,
    /// When a new member last appeared.
    last_join_at: Timestamp,
    /// Time after its start until which new members reduce this node's share.
    starting_time: Duration,
    /// When each remembered member was last known to be alive.
    members: BTreeMap<SocketAddr, Timestamp>,
    /// Number of nodes, this one included; `None` until another one was heard of or there can be none.
    size: Option<u32>,
    /// Shares of the fleet that were heard within the last silence limit, oldest first.
    reachable_shares: VecDeque<(Timestamp, f64)>,
    /// Rendezvous order of all remembered nodes, by workspace. Cleared when a node appears or is forgotten.
    orders: HashMap<Arc<str>, Vec<SocketAddr>>,
}

/// Members of the fleet as a node knows them.
#[derive(Clone, Debug)]
pub struct FleetSighting {
    /// Address of this node.
    pub own: SocketAddr,
    /// The other nodes that are remembered.
    pub members: Vec<KnownMember>,
    /// Number of nodes, this one included; `None` if it can't be told yet.
    pub size: Option<u32>,
}

impl QuotaFleet {
    /// A view without other members at the start of the process. The node's share is nothing at first. It grows to the
    /// whole once no more members appear, at the latest within `starting_time`.
    pub fn new(now: Timestamp, starting_time: Duration) -> Self {
        Self {
            own: None,
            started_at: now,
            updated_at: now,
            is_discovering: true,
            last_join_at: now,
            starting_time,
            members: BTreeMap::new(),
            size: None,
            reachable_shares: VecDeque::new(),
            orders: HashMap::new(),
        }
    }

    /// Changes the time after a start until which new members reduce this node's share.
    pub fn set_starting_time(&mut self, starting_time: Duration) {
        self.starting_time = starting_time;
    }

    /// Updates the members. Members that all are forgotten are kept: a node that hears from nobody must not take itself
    /// for the whole fleet.
    pub fn update(&mut self, now: Timestamp, sighting: &FleetSighting) {
        self.own = Some(sighting.own);
        self.updated_at = now;
        if !sighting.members.is_empty() {
            let members = sighting.members.iter().map(|member| {
                let contact = self.members.get(&member.address);
                let heard_at = (now - member.age).max(contact.copied().unwrap_or_default());
                (member.address, heard_at)
            });
            let members: BTreeMap<_, _> = members.collect();
            if !members.keys().eq(self.members.keys()) {
                self.orders.clear();
            }
            if members.keys().any(|node| !self.members.contains_key(node)) {
                self.last_join_at = now;
            }
            self.members = members;
        }
        let remembered = self.members.len() as u32 + 1;
        if !sighting.members.is_empty() || self.size.is_none() {
            self.size = sighting.size.map(|size| size.max(remembered));
        }
        self.record_reachable_share(now);
    }

    /// Notes a message of a member.
    pub fn record_contact(&mut self, now: Timestamp, from: SocketAddr) {
        if let Some(heard_at) = self.members.get_mut(&from) {
            *heard_at = now;
        }
    }

    /// Starts anew after an interruption: the members heard before it say nothing about now.
    pub fn restart(&mut self, now: Timestamp) {
        self.started_at = now;
        self.reachable_shares.clear();
    }

    /// Start of the process, or the end of the last interruption.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Node to ask for grants of a workspace; `None` before the first update.
    pub fn owner(&mut self, now: Timestamp, workspace: &Arc<str>) -> Option<SocketAddr> {
        let own = self.own?;
        self.update_order(own, workspace);
        self.heard_nodes(now, own, workspace).next()
    }

    /// Nodes that may own a workspace, this one included, in the workspace's order. The first one is the owner.
    fn heard_nodes(
        &self,
        now: Timestamp,
        own: SocketAddr,
        workspace: &Arc<str>,
    ) -> impl Iterator<Item = SocketAddr> {
        let silence = self.failure_timeout() * OWNER_SILENCES;
        let order = self.orders[workspace].iter().copied();
        order.filter(move |node| *node == own || self.silent_for(now, *node) < silence)
    }

    /// Delegates of the owner of a workspace that this node may ask, the preferred one first. There are `count` of them:
    /// the nodes that follow the owner in the workspace's order. None if this node is the owner or one of them.
    pub fn delegates(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        count: u32,
    ) -> Vec<SocketAddr> {
        let Some(own) = self.own.filter(|_| count > 0) else {
            return Vec::new();
        };
        self.update_order(own, workspace);
        let heard: Vec<_> = self.heard_nodes(now, own, workspace).collect();
        let count = count as usize;
        let own_rank = heard.iter().position(|node| *node == own);
        let Some(own_rank) = own_rank.filter(|rank| *rank > count) else {
            return Vec::new();
        };
        let mut delegates = heard[1..=count].to_vec();
        delegates.rotate_left(own_rank % count);
        delegates
    }

    /// Whether an address is that of this node.
    pub fn is_own(&self, node: SocketAddr) -> bool {
        self.own == Some(node)
    }

    /// Whether this node may act as the owner of a workspace.
    pub fn may_grant(&mut self, now: Timestamp, workspace: &Arc<str>) -> bool {
        let Some(own) = self.own else {
            return false;
        };
        let silence = self.failure_timeout();
        self.update_order(own, workspace);
        let mut earlier = self.orders[workspace].iter().take_while(|n| **n != own);
        earlier.all(|node| self.silent_for(now, *node) >= silence * OWNER_SILENCES)
    }

    /// Share of a quota that this node may grant as an owner: that of the fleet which it has heard for as long as the
    /// silence limit.
    pub fn owner_share(&self, now: Timestamp) -> f64 {
        if self.is_outdated(now) {
            return 0.0;
        }
        let shares = self.reachable_shares.iter().map(|(_, share)| *share);
        shares.fold(1.0, f64::min) * self.startup_share(now)
    }

    /// Requests that this node may admit in one window without a grant, if all nodes together may admit `amount`. The
    /// part that can't be divided evenly goes to the first nodes of the workspace's order.
    pub fn local_allowance(&mut self, now: Timestamp, workspace: &Arc<str>, amount: f64) -> u32 {
        let (Some(own), Some(size)) = (self.own, self.size) else {
            return 0;
        };
        if self.startup_share(now) < 1.0 {
            return 0;
        }
        let each = (amount / f64::from(size)) as u32;
        let rest = amount as u32 - each * size;
        self.update_order(own, workspace);
        let mut order = self.orders[workspace].iter();
        let is_first = order.position(|node| *node == own) < Some(rest as usize);
        each + u32::from(is_first)
    }

    /// Number of nodes, this one included; `None` if it can't be told yet.
    pub fn size(&self) -> Option<u32> {
        self.size
    }

    /// Whether the last update is too old to act as an owner.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        now.since(self.updated_at) > MAX_UPDATE_AGE
    }

    fn failure_timeout(&self) -> Duration {
        let size = self.size.unwrap_or(1);
        (BASE_SILENCE + SILENCE_PER_NODE * size).min(MAX_SILENCE)
    }

    fn silent_for(&self, now: Timestamp, node: SocketAddr) -> Duration {
        let heard_at = self.members.get(&node);
        heard_at.map_or(Duration::MAX, |at| now.since(*at))
    }

    /// Share of the node's normal rights that it has so soon after its start: until it has heard from all others it may
    /// underestimate the fleet.
    fn startup_share(&self, now: Timestamp) -> f64 {
        if self.size.is_none() {
            return 0.0;
        }
        if now.since(self.started_at) >= self.starting_time {
            return 1.0;
        }
        let settled_for = now.since(self.last_join_at.max(self.started_at));
        (settled_for.as_secs_f64() / SETTLING_TIME.as_secs_f64()).min(1.0)
    }

    fn record_reachable_share(&mut self, now: Timestamp) {
        let Some(size) = self.size else {
            return;
        };
        // A share that was heard while the members are only being discovered would count for a whole silence limit.
        if self.is_discovering && self.startup_share(now) < 1.0 {
            return;
        }
        self.is_discovering = false;
        let silence = self.failure_timeout();
        let heard = self.members.values().filter(|at| now.since(**at) < silence);
        let share = (heard.count() + 1) as f64 / f64::from(size);
        self.reachable_shares.push_back((now, share));
        while let Some((at, _)) = self.reachable_shares.front()
            && now.since(*at) > silence
        {
            self.reachable_shares.pop_front();
        }
    }

    fn update_order(&mut self, own: SocketAddr, workspace: &Arc<str>) {
        if self.orders.contains_key(workspace) {
            return;
        }
        let mut order: Vec<_> = self.members.keys().copied().chain([own]).collect();
        rendezvous::sort_nodes(&mut order, workspace);
        self.orders.insert(Arc::clone(workspace), order);
    }
}

//! Quotas of workspaces over all nodes: what this node admits, and what it grants to others.

use crate::{
    owner_contact::OwnerContact,
    prelude::*,
    quota_bucket::QuotaBucket,
    quota_fleet::QuotaFleet,
    quota_message::MAX_QUOTA_ENTRIES,
    quota_owner::{QuotaOwner, RequestKind},
    quota_replies::{ParkedRequest, RequestSender},
    quota_share::{GrantOutcome, QuotaDecision, QuotaShare},
};
use std::{collections::HashMap, net::SocketAddr};

/// Messages that a node sends in one second to ask for grants.
const MAX_REQUESTS_PER_SECOND: f64 = 25.0;

/// Messages that it may send at once.
const REQUEST_BURST: f64 = 10.0;

/// Longest time for which a request waits for the owner's reply. It covers one lost message.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(90);

/// Most delegates that a message may state.
const MAX_DELEGATES: u32 = 64;

/// Time without requests after which the share of a workspace is forgotten, in windows of the quota.
const IDLE_WINDOWS: u32 = 4;

/// Decides about requests against the quotas of their workspaces, from messages and the time alone.
///
/// Each workspace has an owner among the nodes, which runs its token bucket and issues grants that end by themselves.
/// Nodes ask ahead for what they expect. Besides, each node may admit a few requests in a window without a grant; these
/// allowances add up to a part of the tolerance that the limits give.
#[derive(Clone, Debug)]
pub struct WorkspaceQuotas {
    pub(crate) limits: QuotaLimits,
    pub(crate) fleet: QuotaFleet,
    pub(crate) owner: QuotaOwner,
    /// Quotas of the configuration in force, by workspace.
    pub(crate) quotas: HashMap<Arc<str>, Quota>,
    /// Shares of the workspaces that had requests lately.
    shares: BTreeMap<Arc<str>, QuotaShare>,
    /// Requests that wait for a reply, by workspace.
    waiting: HashMap<Arc<str>, u32>,
    /// Exchange with each node that was asked lately.
    pub(crate) contacts: HashMap<SocketAddr, OwnerContact>,
    /// Requests of other nodes that wait for the owner, oldest first.
    pub(crate) parked: Vec<ParkedRequest>,
    next_id: u32,
    /// Grant requests that this node may send.
    request_bucket: QuotaBucket,
    next_cleanup: Timestamp,
}

/// A message and the node that it goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingQuotaMessage {
    /// Address of the receiving node.
    pub to: SocketAddr,
    /// Message to send.
    pub message: QuotaMessage,
}

/// A node that is asked for grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct GrantSource {
    node: SocketAddr,
    /// Whether it is this node, as the owner.
    is_own: bool,
    /// Whether it hands on grants of the owner.
    is_delegate: bool,
}

/// State of one workspace's share, for logs and dry runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShareStatus {
    /// Number of nodes that the local allowance is computed for; `None` if it is not known.
    pub fleet_size: Option<u32>,
    /// Requests that may be admitted in a window without a grant.
    pub local_allowance: u32,
    /// Whether this node is the owner.
    pub is_owner: bool,
    /// Time since the owner's last reply; `None` if there was none.
    pub reply_age: Option<Duration>,
}

impl WorkspaceQuotas {
    /// Quotas at the start of the process.
    pub fn new(now: Timestamp, limits: QuotaLimits) -> Self {
        Self {
            limits,
            fleet: QuotaFleet::new(now, limits.window),
            owner: QuotaOwner::default(),
            quotas: HashMap::new(),
            shares: BTreeMap::new(),
            waiting: HashMap::new(),
            contacts: HashMap::new(),
            parked: Vec::new(),
            next_id: 0,
            request_bucket: QuotaBucket::with_tokens(now, REQUEST_BURST),
            next_cleanup: now,
        }
    }

    /// Applies the quotas of a configuration.
    pub fn configure(&mut self, workspaces: Option<&Workspaces>) {
        let limited = workspaces.into_iter().flat_map(Workspaces::iter);
        let limited = limited.filter_map(|workspace| {
            let quota = workspace.quota?;
            Some((Arc::clone(&workspace.name), quota))
        });
        self.quotas = limited.collect();
        self.apply_quotas();
    }

    /// Applies other limits.
    pub fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
        self.fleet.set_starting_time(limits.window);
        self.apply_quotas();
    }

    fn apply_quotas(&mut self) {
        let (quotas, limits) = (&self.quotas, self.limits);
        self.owner
            .retain(|workspace| quotas.contains_key(workspace));
        self.shares.retain(|workspace, share| {
            let quota = quotas.get(workspace);
            if let Some(quota) = quota {
                share.division = limits.divide(quota);
            }
            quota.is_some()
        });
    }

    /// Updates the members of the fleet, which must be done every second.
    pub fn update_fleet(&mut self, now: Timestamp, sighting: &FleetSighting) {
        if self.fleet.is_outdated(now) {
            self.handle_interruption(now);
        }
        self.fleet.update(now, sighting);
    }

    /// Gives up everything that may have ended, after the process was interrupted for an unknown time.
    pub fn handle_interruption(&mut self, now: Timestamp) {
        self.fleet.restart(now);
        self.owner.restart();
        self.parked.clear();
        for share in self.shares.values_mut() {
            share.end_grants();
        }
    }

    /// Whether the workspace has a quota in the configuration in force.
    pub fn has_quota(&self, workspace: &Arc<str>) -> bool {
        self.quotas.contains_key(workspace)
    }

    /// Decides about a new request of a workspace. `Pending` counts it as waiting until [`Self::stop_waiting`].
    pub fn admit(&mut self, now: Timestamp, workspace: &Arc<str>) -> QuotaDecision {
        if !self.quotas.contains_key(workspace) {
            return QuotaDecision::Admitted;
        }
        self.share(now, workspace).record_demand(now, 1);
        if self.try_take(now, workspace) {
            return QuotaDecision::Admitted;
        }
        if let Some(retry_after) = self.refusal_time(now, workspace) {
            return QuotaDecision::Refused { retry_after };
        }
        *self.waiting.entry(Arc::clone(workspace)).or_default() += 1;
        QuotaDecision::Pending
    }

    /// Charges a request that is admitted whatever the quota says.
    pub fn charge(&mut self, now: Timestamp, workspace: &Arc<str>) {
        if !self.quotas.contains_key(workspace) {
            return;
        }
        self.share(now, workspace).record_demand(now, 1);
        if !self.try_take(now, workspace) {
            self.share(now, workspace).charge_unconditionally();
        }
    }

    /// Decides again about a request that waits, after a message or a time-out.
    pub fn admit_waiting(&mut self, now: Timestamp, workspace: &Arc<str>) -> QuotaDecision {
        if !self.quotas.contains_key(workspace) || self.try_take(now, workspace) {
            return QuotaDecision::Admitted;
        }
        match self.refusal_time(now, workspace) {
            Some(retry_after) => QuotaDecision::Refused { retry_after },
            None => QuotaDecision::Pending,
        }
    }

    /// Ends the wait of one request of a workspace, however it was decided.
    pub fn stop_waiting(&mut self, workspace: &Arc<str>) {
        if let Some(waiting) = self.waiting.get_mut(workspace) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(workspace);
            }
        }
    }

    /// Time for which a request that has so much time left may wait for a reply.
    pub fn max_wait(time_left: Duration) -> Duration {
        MAX_WAIT.min(time_left / 4)
    }

    /// Time after which the caller of a request should retry whose wait for a reply has ended.
    pub fn retry_after_silence(&self, workspace: &Arc<str>) -> Duration {
        let rate = self.quotas.get(workspace).map_or(1.0, |quota| quota.rate);
        let usual = Duration::try_from_secs_f64(1.0 / rate);
        usual.map_or(self.limits.window, |usual| usual.min(self.limits.window))
    }

    /// Sends the grant requests that are due for this workspace.
    pub fn request_grants(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        if self.fleet.size().is_none() {
            return;
        }
        let Some(source) = self.source(now, workspace) else {
            return;
        };
        if source.is_own {
            return self.grant_to_itself(now, source, workspace);
        }
        if !self.has_request_token(now) {
            return;
        }
        let id = self.next_id;
        let requests = self.due_requests(now, id, source, workspace);
        if requests.is_empty() {
            return;
        }
        self.next_id = id.wrapping_add(1);
        self.request_bucket.take(1);
        let contact = self.contacts.entry(source.node).or_default();
        contact.record_request(now);
        let message = QuotaMessage::Request {
            id,
            to_delegate: source.is_delegate,
            served: contact.take_served(),
            requests,
        };
        let to = source.node;
        outgoing.push(OutgoingQuotaMessage { to, message });
    }

    /// Handles a message of another node. Returns whether it may have decided waiting requests.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &QuotaMessage,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) -> bool {
        self.fleet.record_contact(now, from);
        match message {
            QuotaMessage::Request {
                id,
                to_delegate,
                served,
                requests,
            } => {
                let kind = if *to_delegate {
                    RequestKind::ToDelegate
                } else {
                    RequestKind::ToOwner { served: *served }
                };
                let (fleet, limits) = (&self.fleet, &self.limits);
                let sender = RequestSender {
                    from,
                    id: *id,
                    pause: self.owner.record_request(now, from, kind, fleet, limits),
                    received_at: now,
                };
                self.answer_requests(now, &sender, *to_delegate, requests, outgoing);
                false
            }
            QuotaMessage::Reply {
                id,
                pause,
                delegates,
                grants,
            } => {
                let Some(contact) = self.contacts.get_mut(&from) else {
                    return false;
                };
                contact.record_reply(now, *pause);
                self.record_delegates(now, *delegates, grants);
                let declined = self.apply_grants(now, from, *id, *pause, grants);
                for workspace in declined {
                    self.request_grants(now, &workspace, outgoing);
                }
                self.serve_parked(now, outgoing);
                true
            }
        }
    }

    /// State of a workspace's share, for logs and dry runs.
    pub fn share_status(&mut self, now: Timestamp, workspace: &Arc<str>) -> QuotaShareStatus {
        let share = self.shares.get(workspace);
        let reply_age = share.and_then(|share| share.replied_at.map(|at| now.since(at)));
        let uncoordinated = share.map_or(0.0, |share| share.division.uncoordinated);
        QuotaShareStatus {
            fleet_size: self.fleet.size(),
            local_allowance: self.fleet.local_allowance(now, workspace, uncoordinated),
            is_owner: self.fleet.may_grant(now, workspace),
            reply_age,
        }
    }

    /// Time until one more request fits, unless a reply of the owner may tell earlier.
    fn refusal_time(&mut self, now: Timestamp, workspace: &Arc<str>) -> Option<Duration> {
        // Other nodes answer the first heartbeat of a new one within milliseconds, so that it is worth waiting for.
        self.fleet.size()?;
        let accepts_requests =
            self.source(now, workspace).is_some() || self.has_delegate(now, workspace);
        let local_window = self.limits.local_window();
        self.share(now, workspace)
            .refusal_time(now, accepts_requests, local_window)
    }

    /// Node to ask for grants of a workspace now: a delegate, if its owner has some, or else the owner; `None` if neither
    /// may be asked.
    fn source(&mut self, now: Timestamp, workspace: &Arc<str>) -> Option<GrantSource> {
        let owner = self.fleet.owner(now, workspace)?;
        let is_own = self.fleet.is_own(owner);
        let delegates = self.delegates(now, owner, workspace);
        let accepts = |node: &SocketAddr| self.contact(*node).accepts_as_delegate(now);
        if let Some(node) = delegates.iter().copied().find(accepts) {
            return Some(GrantSource {
                node,
                is_own: false,
                is_delegate: true,
            });
        }
        // If none of the delegates is lost, they are only busy, and the owner can't take what they can't.
        let is_present = |node: &SocketAddr| self.contact(*node).is_present(now);
        if !delegates.is_empty() && delegates.iter().all(is_present) {
            return None;
        }
        let accepts_requests = is_own || self.contact(owner).accepts_requests(now);
        accepts_requests.then_some(GrantSource {
            node: owner,
            is_own,
            is_delegate: false,
        })
    }

    /// Delegates that this node may ask for grants of a workspace of this owner, the preferred one first.
    fn delegates(
        &mut self,
        now: Timestamp,
        owner: SocketAddr,
        workspace: &Arc<str>,
    ) -> Vec<SocketAddr> {
        let share = self.shares.get(workspace);
        if self.fleet.is_own(owner) || share.is_some_and(|share| share.is_large(now)) {
            return Vec::new();
        }
        let count = self.contact(owner).delegates(now);
        self.fleet.delegates(now, workspace, count)
    }

    /// Whether a delegate has something to hand on, now or in a moment.
    fn has_delegate(&mut self, now: Timestamp, workspace: &Arc<str>) -> bool {
        let Some(owner) = self.fleet.owner(now, workspace) else {
            return false;
        };
        let delegates = self.delegates(now, owner, workspace);
        delegates
            .into_iter()
            .any(|node| self.contact(node).is_delegate(now))
    }

    pub(crate) fn contact(&self, node: SocketAddr) -> OwnerContact {
        self.contacts.get(&node).copied().unwrap_or_default()
    }

    fn try_take(&mut self, now: Timestamp, workspace: &Arc<str>) -> bool {
        let local_window = self.limits.local_window();
        let amount = self.share(now, workspace).division.uncoordinated;
        let allowance = self.fleet.local_allowance(now, workspace, amount);
        self.share(now, workspace)
            .try_take(now, allowance, local_window)
    }

    /// Share of a workspace that has a quota, with nothing in it if it is new.
    pub(crate) fn share(&mut self, now: Timestamp, workspace: &Arc<str>) -> &mut QuotaShare {
        self.forget_idle_shares(now);
        let division = self.limits.divide(&self.quotas[workspace]);
        self.shares
            .entry(Arc::clone(workspace))
            .or_insert_with(|| QuotaShare::new(now, division))
    }

    fn forget_idle_shares(&mut self, now: Timestamp) {
        if now < self.next_cleanup {
            return;
        }
        let idle_time = self.limits.window * IDLE_WINDOWS;
        self.next_cleanup = now + idle_time;
        self.shares
            .retain(|_, share| !share.is_idle(now, idle_time));
        self.contacts
            .retain(|_, contact| !contact.is_idle(now, idle_time));
    }

    /// Grant requests that are due for all workspaces for which one node is asked, `first` before the others.
    fn due_requests(
        &mut self,
        now: Timestamp,
        id: u32,
        source: GrantSource,
        first: &Arc<str>,
    ) -> Vec<GrantRequest> {
        let due = self.due_request(now, id, source, first);
        let mut requests: Vec<_> = due.into_iter().collect();
        if requests.is_empty() {
            return requests;
        }
        let others = self.shares.keys().filter(|w| *w != first);
        let others: Vec<_> = others.cloned().collect();
        for workspace in others {
            if requests.len() == MAX_QUOTA_ENTRIES {
                break;
            }
            if self.source(now, &workspace) == Some(source) {
                requests.extend(self.due_request(now, id, source, &workspace));
            }
        }
        requests
    }

    fn due_request(
        &mut self,
        now: Timestamp,
        id: u32,
        source: GrantSource,
        workspace: &Arc<str>,
    ) -> Option<GrantRequest> {
        let parked = self.parked.iter().filter(|parked| !parked.is_late(now));
        let parked = parked.map(|parked| &parked.request);
        let parked = parked.filter(|request| request.workspace == *workspace);
        let parked: u32 = parked.map(|request| request.wanted).sum();
        let waiting = self.waiting.get(workspace).copied().unwrap_or_default();
        let waiting = waiting.saturating_add(parked);
        let pause = self.contact(source.node).pause();
        let lifetime = self.limits.grant_lifetime(pause);
        let share = self.shares.get_mut(workspace)?;
        let wanted = share.next_request(now, waiting, lifetime, source.is_delegate)?;
        share.record_request(now, id, wanted, source.is_delegate);
        Some(GrantRequest {
            workspace: Arc::clone(workspace),
            wanted,
        })
    }

    /// Grants what this node needs of a workspace that it owns.
    fn grant_to_itself(&mut self, now: Timestamp, own: GrantSource, workspace: &Arc<str>) {
        let id = self.next_id;
        let Some(request) = self.due_request(now, id, own, workspace) else {
            return;
        };
        self.next_id = id.wrapping_add(1);
        let grants = self.grant_all(now, &[request]);
        self.apply_grants(now, own.node, id, Duration::ZERO, &grants);
    }

    /// Remembers how many delegates the owner of the workspaces in a reply has.
    fn record_delegates(&mut self, now: Timestamp, delegates: u32, grants: &[QuotaGrant]) {
        let Some(grant) = grants.first() else {
            return;
        };
        if let Some(owner) = self.fleet.owner(now, &grant.workspace) {
            let contact = self.contacts.entry(owner).or_default();
            contact.set_delegates(now, delegates.min(MAX_DELEGATES));
        }
    }

    /// Applies grants. Returns the workspaces of which a delegate had nothing to hand on.
    fn apply_grants(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        id: u32,
        pause: Duration,
        grants: &[QuotaGrant],
    ) -> Vec<Arc<str>> {
        let lifetime = self.limits.grant_lifetime(pause);
        let mut declined = Vec::new();
        for grant in grants {
            let Some(share) = self.shares.get_mut(&grant.workspace) else {
                continue;
            };
            let outcome = share.receive(now, id, grant, lifetime);
            let contact = self.contacts.entry(from).or_default();
            match outcome {
                GrantOutcome::Ignored | GrantOutcome::Applied => continue,
                GrantOutcome::Declined => contact.record_decline(now),
                GrantOutcome::NoDelegate => contact.record_inability(now),
            }
            declined.push(Arc::clone(&grant.workspace));
        }
        declined
    }

    fn has_request_token(&mut self, now: Timestamp) -> bool {
        let bucket = &mut self.request_bucket;
        bucket.refill(now, MAX_REQUESTS_PER_SECOND, REQUEST_BURST) >= 1.0
    }
}

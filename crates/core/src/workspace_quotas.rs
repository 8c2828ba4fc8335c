//! Quotas of workspaces over all nodes: what this node admits, and what it grants to others.

use crate::{
    owner_contact::OwnerContact,
    prelude::*,
    quota_bucket::QuotaBucket,
    quota_fleet::QuotaFleet,
    quota_message::MAX_QUOTA_ENTRIES,
    quota_owner::QuotaOwner,
    quota_share::{QuotaDecision, QuotaShare},
};
use std::{collections::HashMap, net::SocketAddr};

/// Messages that a node sends in one second to ask for grants.
const MAX_REQUESTS_PER_SECOND: f64 = 25.0;

/// Messages that it may send at once.
const REQUEST_BURST: f64 = 10.0;

/// Longest time for which a request waits for the owner's reply. It covers one lost message.
const MAX_WAIT: Duration = Duration::from_millis(90);

/// Time without requests after which the share of a workspace is forgotten, in windows of the quota.
const IDLE_WINDOWS: u32 = 4;

/// Decides about requests against the quotas of their workspaces, from messages and the time alone.
///
/// Each workspace has an owner among the nodes, which runs its token bucket and issues grants that end by themselves.
/// Nodes ask ahead for what they expect. Besides, each node may admit a few requests in a window without a grant; these
/// allowances add up to a part of the tolerance that the limits give.
#[derive(Clone, Debug)]
pub struct WorkspaceQuotas {
    limits: QuotaLimits,
    fleet: QuotaFleet,
    owner: QuotaOwner,
    /// Quotas of the configuration in force, by workspace.
    quotas: HashMap<Arc<str>, Quota>,
    /// Shares of the workspaces that had requests lately.
    shares: BTreeMap<Arc<str>, QuotaShare>,
    /// Requests that wait for a reply, by workspace.
    waiting: HashMap<Arc<str>, u32>,
    /// Exchange with each node that was asked lately.
    contacts: HashMap<SocketAddr, OwnerContact>,
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

/// State of one workspace's share, for logs.
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
        self.share(now, workspace).record_demand(now);
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
        self.share(now, workspace).record_demand(now);
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
        let Some(owner) = self.fleet.owner(now, workspace) else {
            return;
        };
        if self.fleet.size().is_none() {
            return;
        }
        let is_own = self.fleet.is_own(owner);
        let may_send = is_own || (self.accepts_requests(now, owner) && self.has_request_token(now));
        if !may_send {
            return;
        }
        let id = self.next_id;
        let requests = if is_own {
            self.due_request(now, id, workspace).into_iter().collect()
        } else {
            self.due_requests(now, id, owner, workspace)
        };
        if requests.is_empty() {
            return;
        }
        self.next_id = id.wrapping_add(1);
        if is_own {
            let grants = self.grant_all(now, &requests);
            return self.apply_grants(now, id, Duration::ZERO, &grants);
        }
        self.request_bucket.take(1);
        self.contacts.entry(owner).or_default().record_request(now);
        let message = QuotaMessage::Request { id, requests };
        outgoing.push(OutgoingQuotaMessage { to: owner, message });
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
            QuotaMessage::Request { id, requests } => {
                let pause = self
                    .owner
                    .record_request(now, from, &self.fleet, &self.limits);
                let grants = self.grant_all(now, requests);
                let message = QuotaMessage::Reply {
                    id: *id,
                    pause,
                    grants,
                };
                outgoing.push(OutgoingQuotaMessage { to: from, message });
                false
            }
            QuotaMessage::Reply { id, pause, grants } => {
                let Some(contact) = self.contacts.get_mut(&from) else {
                    return false;
                };
                contact.record_reply(now, *pause);
                self.apply_grants(now, *id, *pause, grants);
                true
            }
        }
    }

    /// State of a workspace's share, for logs.
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
        let owner = self.fleet.owner(now, workspace);
        let accepts_requests = owner.is_some_and(|owner| self.accepts_requests(now, owner));
        let local_window = self.limits.local_window();
        self.share(now, workspace)
            .refusal_time(now, accepts_requests, local_window)
    }

    fn accepts_requests(&self, now: Timestamp, owner: SocketAddr) -> bool {
        let contact = self.contacts.get(&owner);
        contact.is_none_or(|contact| contact.accepts_requests(now))
    }

    fn try_take(&mut self, now: Timestamp, workspace: &Arc<str>) -> bool {
        let local_window = self.limits.local_window();
        let amount = self.share(now, workspace).division.uncoordinated;
        let allowance = self.fleet.local_allowance(now, workspace, amount);
        self.share(now, workspace)
            .try_take(now, allowance, local_window)
    }

    /// Share of a workspace that has a quota, with nothing in it if it is new.
    fn share(&mut self, now: Timestamp, workspace: &Arc<str>) -> &mut QuotaShare {
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

    /// Grant requests that are due for all workspaces of one owner, `first` before the others.
    fn due_requests(
        &mut self,
        now: Timestamp,
        id: u32,
        owner: SocketAddr,
        first: &Arc<str>,
    ) -> Vec<GrantRequest> {
        let mut requests: Vec<_> = self.due_request(now, id, first).into_iter().collect();
        if requests.is_empty() {
            return requests;
        }
        let others: Vec<_> = self
            .shares
            .keys()
            .filter(|w| *w != first)
            .cloned()
            .collect();
        for workspace in others {
            if requests.len() == MAX_QUOTA_ENTRIES {
                break;
            }
            if self.fleet.owner(now, &workspace) == Some(owner) {
                requests.extend(self.due_request(now, id, &workspace));
            }
        }
        requests
    }

    fn due_request(
        &mut self,
        now: Timestamp,
        id: u32,
        workspace: &Arc<str>,
    ) -> Option<GrantRequest> {
        let waiting = self.waiting.get(workspace).copied().unwrap_or_default();
        let owner = self.fleet.owner(now, workspace)?;
        let pause = self.contacts.get(&owner).map(OwnerContact::pause);
        let lifetime = self.limits.grant_lifetime(pause.unwrap_or_default());
        let share = self.shares.get_mut(workspace)?;
        let wanted = share.next_request(now, waiting, lifetime)?;
        share.record_request(now, id, wanted);
        Some(GrantRequest {
            workspace: Arc::clone(workspace),
            wanted,
        })
    }

    /// Grants for requests, without those for workspaces that have no quota here.
    fn grant_all(&mut self, now: Timestamp, requests: &[GrantRequest]) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            if let Some(quota) = self.quotas.get(&request.workspace) {
                let division = self.limits.divide(quota);
                grants.push(self.owner.grant(now, &mut self.fleet, &division, request));
            }
        }
        grants
    }

    fn apply_grants(&mut self, now: Timestamp, id: u32, pause: Duration, grants: &[QuotaGrant]) {
        let lifetime = self.limits.grant_lifetime(pause);
        for grant in grants {
            if let Some(share) = self.shares.get_mut(&grant.workspace) {
                share.receive(now, id, grant, lifetime);
            }
        }
    }

    fn has_request_token(&mut self, now: Timestamp) -> bool {
        let bucket = &mut self.request_bucket;
        bucket.refill(now, MAX_REQUESTS_PER_SECOND, REQUEST_BURST) >= 1.0
    }
}

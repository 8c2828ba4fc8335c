//! Replies of a node to grant requests of other nodes, as the owner of a workspace or as a delegate of the owner.

use crate::{prelude::*, workspace_quotas::MAX_WAIT};
use std::net::SocketAddr;

/// Most requests of other nodes that a delegate parks; others are not answered and go elsewhere.
const MAX_PARKED: usize = 64;

/// Sender of a message with grant requests, as far as the reply depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSender {
    pub(crate) from: SocketAddr,
    /// Number of the message.
    pub(crate) id: u32,
    /// Pause that the reply states.
    pub(crate) pause: Duration,
    pub(crate) received_at: Timestamp,
}

impl RequestSender {
    fn reply(&self, delegates: u32, grants: Vec<QuotaGrant>) -> OutgoingQuotaMessage {
        OutgoingQuotaMessage {
            to: self.from,
            message: QuotaMessage::Reply {
                id: self.id,
                pause: self.pause,
                delegates,
                grants,
            },
        }
    }
}

/// A request of another node for which this delegate waits for its owner.
#[derive(Clone, Debug)]
pub(crate) struct ParkedRequest {
    sender: RequestSender,
    pub(crate) request: GrantRequest,
}

impl ParkedRequest {
    /// Whether its sender no longer waits for the reply.
    pub(crate) fn is_late(&self, now: Timestamp) -> bool {
        now.since(self.sender.received_at) >= MAX_WAIT
    }
}

impl WorkspaceQuotas {
    /// Replies to the grant requests of another node. A delegate sends no reply as long as it has parked all of them.
    pub(crate) fn answer_requests(
        &mut self,
        now: Timestamp,
        sender: &RequestSender,
        to_delegate: bool,
        requests: &[GrantRequest],
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        let grants = if to_delegate {
            self.hand_on_all(now, sender, requests, outgoing)
        } else {
            self.grant_all(now, requests)
        };
        // The sender applies the number to the owner of the first grant's workspace.
        let workspace = grants.first().filter(|_| to_delegate);
        let workspace = workspace.map(|grant| Arc::clone(&grant.workspace));
        let delegates = self.delegates_to_state(now, workspace.as_ref());
        if !grants.is_empty() || !to_delegate {
            outgoing.push(sender.reply(delegates, grants));
        }
    }

    /// Grants for requests, without those for workspaces that have no quota here.
    pub(crate) fn grant_all(
        &mut self,
        now: Timestamp,
        requests: &[GrantRequest],
    ) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            if let Some(quota) = self.quotas.get(&request.workspace) {
                let division = self.limits.divide(quota);
                grants.push(self.owner.grant(now, &mut self.fleet, &division, request));
            }
        }
        grants
    }

    /// Hands on grants as a delegate, and asks the owners for more where little is left. Requests for which nothing is left
    /// are parked until the owner replies.
    fn hand_on_all(
        &mut self,
        now: Timestamp,
        sender: &RequestSender,
        requests: &[GrantRequest],
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            if self.fleet.may_grant(now, &request.workspace) {
                grants.extend(self.grant_all(now, std::slice::from_ref(request)));
            } else if self.has_quota(&request.workspace) {
                if let Some(owner) = self.fleet.owner(now, &request.workspace) {
                    self.contacts.entry(owner).or_default().count_served();
                }
                let share = self.share(now, &request.workspace);
                share.record_demand(now, request.wanted);
                match self.hand_on(now, request) {
                    Some(grant) => grants.push(grant),
                    None => self.park(now, *sender, request),
                }
                self.request_grants(now, &request.workspace, outgoing);
            }
        }
        grants
    }

    /// What a delegate hands on for a request; `None` if it has nothing and more may come.
    fn hand_on(&mut self, now: Timestamp, request: &GrantRequest) -> Option<QuotaGrant> {
        let share = self.share(now, &request.workspace);
        let handed_on = share.hand_on(now, request.wanted);
        let retry_after = share.exhausted_for(now);
        let is_decided = handed_on.tokens > 0 || !retry_after.is_zero();
        is_decided.then(|| QuotaGrant {
            workspace: Arc::clone(&request.workspace),
            tokens: handed_on.tokens,
            retry_after,
            lifetime: Some(handed_on.lifetime),
        })
    }

    fn park(&mut self, now: Timestamp, sender: RequestSender, request: &GrantRequest) {
        // An owner that is silent, or is this node by now, sends no reply upon which late ones would be dropped.
        self.parked.retain(|parked| !parked.is_late(now));
        if self.parked.len() < MAX_PARKED {
            let request = request.clone();
            self.parked.push(ParkedRequest { sender, request });
        }
    }

    /// Replies to parked requests that can be decided now, and drops those whose sender no longer waits.
    pub(crate) fn serve_parked(
        &mut self,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingQuotaMessage>,
    ) {
        for parked in std::mem::take(&mut self.parked) {
            if parked.is_late(now) || !self.has_quota(&parked.request.workspace) {
                continue;
            }
            let Some(grant) = self.hand_on(now, &parked.request) else {
                self.parked.push(parked);
                continue;
            };
            let delegates = self.delegates_to_state(now, Some(&parked.request.workspace));
            outgoing.push(parked.sender.reply(delegates, vec![grant]));
        }
    }

    /// Number of delegates to state in a reply: those of the owner of the workspace that this node is a delegate for, or
    /// its own if there is none.
    fn delegates_to_state(&mut self, now: Timestamp, workspace: Option<&Arc<str>>) -> u32 {
        let owner = workspace.and_then(|workspace| self.fleet.owner(now, workspace));
        match owner {
            Some(owner) if !self.fleet.is_own(owner) => self.contact(owner).delegates(now),
            _ => self.owner.delegates(now, &self.fleet),
        }
    }
}

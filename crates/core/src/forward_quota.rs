//! Quotas of workspaces in the admission of requests, and the requests that wait for the owner of a quota.

use crate::{
    forward_admission::{Admission, Arrival},
    prelude::*,
    quota_share::QuotaDecision,
};
use std::net::SocketAddr;

/// Interval at which a request that waits is decided again, so that a lost message is repeated within its wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits until the owner of its workspace's quota has replied.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    arrival: Arrival,
    admission: Admission,
    workspace: Arc<str>,
    /// When it is refused if no reply has come.
    wait_until: Timestamp,
}

impl Forwarder {
    /// Applies limits on all nodes together that the settings have changed.
    pub(crate) fn change_limits(&mut self, now: Timestamp, limits: FleetLimits) {
        self.settings.limits = limits;
        match (&mut self.quotas, limits.quotas) {
            (Some(quotas), Some(limits)) => quotas.set_limits(limits),
            (quotas, limits) => {
                *quotas = limits.map(|limits| WorkspaceQuotas::new(now, limits));
                self.configure_quotas();
            }
        }
    }

    /// Puts the quotas of the configuration in force.
    pub(crate) fn configure_quotas(&mut self) {
        let workspaces = self.table.as_ref().and_then(|t| t.workspaces.as_ref());
        if let Some(quotas) = &mut self.quotas {
            quotas.configure(workspaces);
        }
    }

    /// Updates the members of the fleet for the quotas.
    pub(crate) fn update_quota_fleet(&mut self, now: Timestamp, sighting: &FleetSighting) {
        if let Some(quotas) = &mut self.quotas {
            quotas.update_fleet(now, sighting);
            self.waiting_retry_at = now;
        }
    }

    /// Gives up grants and ownerships, which may have ended while the process was interrupted.
    pub(crate) fn handle_interruption(&mut self, now: Timestamp) {
        if let Some(quotas) = &mut self.quotas {
            quotas.handle_interruption(now);
        }
    }

    /// Handles a message of another node about quotas.
    pub(crate) fn handle_quota_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &QuotaMessage,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        let mut outgoing = Vec::new();
        let decides_waiting = quotas.receive(now, from, message, &mut outgoing);
        push_messages(outgoing, commands);
        if decides_waiting {
            self.decide_waiting(now, commands);
        }
    }

    /// Charges a request to the quota of its workspace. Returns its admission if it can be sent now; otherwise it has been
    /// refused or waits.
    ///
    /// On a public route a request is charged but never refused.
    pub(crate) fn charge_quota(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        admission: Admission,
        commands: &mut Vec<ForwardCommand>,
    ) -> Option<Admission> {
        let (Some(quotas), CallerIdentity::Workspace(workspace)) =
            (&mut self.quotas, &admission.identity)
        else {
            return Some(admission);
        };
        if !quotas.has_quota(workspace) {
            return Some(admission);
        }
        let workspace = Arc::clone(workspace);
        let decision = if admission.table.route(admission.route).public {
            quotas.charge(now, &workspace);
            QuotaDecision::Admitted
        } else {
            quotas.admit(now, &workspace)
        };
        match decision {
            QuotaDecision::Admitted => {
                record_admission(&workspace, "admitted", commands);
                self.request_grants(now, &workspace, commands);
                Some(admission)
            }
            QuotaDecision::Refused { retry_after } => {
                self.refuse_over_quota(now, arrival, &workspace, retry_after, commands);
                self.request_grants(now, &workspace, commands);
                None
            }
            QuotaDecision::Pending => {
                self.waiting.push(WaitingRequest {
                    arrival: arrival.clone(),
                    admission,
                    workspace: Arc::clone(&workspace),
                    wait_until: now + WorkspaceQuotas::max_wait(arrival.request.time_left),
                });
                self.request_grants(now, &workspace, commands);
                self.waiting_retry_at = now + RETRY_INTERVAL;
                self.decide_waiting(now, commands);
                None
            }
        }
    }

    /// Time at which the requests that wait are decided again.
    pub(crate) fn next_waiting_retry(&self) -> Option<Timestamp> {
        let first = self
            .waiting
            .iter()
            .map(|waiting| waiting.wait_until)
            .min()?;
        Some(first.min(self.waiting_retry_at))
    }

    /// Repeats lost messages and ends the waits that are over.
    pub(crate) fn retry_waiting(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        if self.next_waiting_retry().is_none_or(|at| at > now) {
            return;
        }
        self.waiting_retry_at = now + RETRY_INTERVAL;
        let mut workspaces: Vec<_> = self.waiting.iter().map(|p| &p.workspace).cloned().collect();
        workspaces.sort();
        workspaces.dedup();
        for workspace in workspaces {
            self.request_grants(now, &workspace, commands);
        }
        self.decide_waiting(now, commands);
    }

    /// Forgets the waiting request of a caller that has gone.
    pub(crate) fn remove_waiting(&mut self, caller: CallerKey) {
        let Some(position) = self.waiting.iter().position(|p| p.arrival.caller == caller) else {
            return;
        };
        let waiting = self.waiting.remove(position);
        if let Some(quotas) = &mut self.quotas {
            quotas.stop_waiting(&waiting.workspace);
        }
    }

    /// Sends the requests that wait, as if their quota had been granted. Only for dry runs.
    pub(crate) fn admit_waiting_unconditionally(
        &mut self,
        now: Timestamp,
        commands: &mut Vec<ForwardCommand>,
    ) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.resume_request(now, &waiting.arrival, waiting.admission, commands);
        }
    }

    fn request_grants(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let mut outgoing = Vec::new();
        if let Some(quotas) = &mut self.quotas {
            quotas.request_grants(now, workspace, &mut outgoing);
        }
        push_messages(outgoing, commands);
    }

    /// Decides about the requests that wait, in the order of their arrival.
    fn decide_waiting(&mut self, now: Timestamp, commands: &mut Vec<ForwardCommand>) {
        for waiting in std::mem::take(&mut self.waiting) {
            let decision = match &mut self.quotas {
                Some(quotas) => quotas.admit_waiting(now, &waiting.workspace),
                None => QuotaDecision::Admitted,
            };
            if decision == QuotaDecision::Pending && now < waiting.wait_until {
                self.waiting.push(waiting);
            } else {
                self.end_wait(now, waiting, decision, commands);
            }
        }
    }

    fn end_wait(
        &mut self,
        now: Timestamp,
        waiting: WaitingRequest,
        decision: QuotaDecision,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let workspace = &waiting.workspace;
        let mut silence_time = Duration::ZERO;
        if let Some(quotas) = &mut self.quotas {
            quotas.stop_waiting(workspace);
            silence_time = quotas.retry_after_silence(workspace);
        }
        let retry_after = match decision {
            QuotaDecision::Admitted => {
                record_admission(workspace, "admitted_after_wait", commands);
                return self.resume_request(now, &waiting.arrival, waiting.admission, commands);
            }
            QuotaDecision::Pending => silence_time,
            QuotaDecision::Refused { retry_after } => retry_after,
        };
        self.refuse_over_quota(now, &waiting.arrival, workspace, retry_after, commands);
    }

    fn refuse_over_quota(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        workspace: &Arc<str>,
        retry_after: Duration,
        commands: &mut Vec<ForwardCommand>,
    ) {
        let share = self.quotas.as_mut();
        let share = share.map(|quotas| quotas.share_status(now, workspace));
        commands.push(ForwardCommand::Record(ForwardTelemetry::RefusedOverQuota {
            request: Arc::clone(&arrival.request.id),
            workspace: Arc::clone(workspace),
            retry_after,
            share: share.unwrap_or_default(),
        }));
        commands.push(ForwardCommand::Answer {
            caller: arrival.caller,
            answer: ForwardAnswer::Refused(ForwardRefusal::OverQuota { retry_after }),
        });
    }
}

fn push_messages(messages: Vec<OutgoingQuotaMessage>, commands: &mut Vec<ForwardCommand>) {
    commands.extend(messages.into_iter().map(ForwardCommand::SendQuotaMessage));
}

fn record_admission(
    workspace: &Arc<str>,
    decision: &'static str,
    commands: &mut Vec<ForwardCommand>,
) {
    commands.push(ForwardCommand::Record(ForwardTelemetry::WithinQuota {
        workspace: Arc::clone(workspace),
        decision,
    }));
}

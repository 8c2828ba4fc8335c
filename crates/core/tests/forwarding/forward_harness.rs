//! Test harness: a forwarder with registered upstreams and a simulated clock.

use medlarpost_core::prelude::*;
use std::collections::BTreeSet;

pub use crate::forward_fixtures::{
    OBJECTIVE, TIMEOUT, reply, request, route, served_reply, service_route, settings,
    shards_target, table, upstream,
};

pub const LOW: &[u8] = b"0000000000000001";
pub const HIGH: &[u8] = b"9000000000000001";

pub fn booking_route() -> Route {
    Route {
        idempotent: false,
        ..service_route("book")
    }
}

/// A forwarder, its simulated time and the commands that a test has not taken yet.
#[derive(Debug)]
pub struct Harness {
    pub forwarder: Forwarder,
    pub now: Timestamp,
    /// Arrival time of the requests that are sent.
    pub boot_time: BootTime,
    commands: Vec<ForwardCommand>,
    callers: SlotMap<CallerKey, ()>,
    upstreams: BTreeMap<String, UpstreamKey>,
    /// Caller of the last request with each id.
    caller_by_request: BTreeMap<Arc<str>, CallerKey>,
}

/// An attempt sent to an upstream.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: AttemptKey,
    pub instance: String,
}

/// A harness with these routes in force and one upstream of each service in each zone.
pub fn harness(routes: Vec<Route>, zones: &[&str]) -> Harness {
    let services: BTreeSet<Arc<str>> = routes.iter().flat_map(Route::services).collect();
    let mut harness = Harness::new(settings());
    harness.handle(ForwardEvent::Configured(table(1, routes)));
    for service in &services {
        for zone in zones {
            harness.handle(ForwardEvent::UpstreamRegistered(upstream(service, zone)));
        }
    }
    harness
}

impl Harness {
    pub fn new(settings: ForwarderSettings) -> Self {
        Self {
            forwarder: Forwarder::new(settings).expect("embedded charts are valid"),
            now: Timestamp::from_millis(10_000),
            boot_time: BootTime::default(),
            commands: Vec::new(),
            callers: SlotMap::with_key(),
            upstreams: BTreeMap::new(),
            caller_by_request: BTreeMap::new(),
        }
    }

    pub fn handle(&mut self, event: ForwardEvent) {
        let before = self.commands.len();
        self.forwarder.handle(self.now, event, &mut self.commands);
        for command in &self.commands[before..] {
            if let ForwardCommand::OpenUpstream {
                upstream, instance, ..
            } = command
            {
                self.upstreams.insert(instance.to_string(), *upstream);
            }
        }
    }

    pub fn send_request(&mut self, request: ForwardRequest) -> CallerKey {
        let caller = self.callers.insert(());
        self.caller_by_request
            .insert(Arc::clone(&request.id), caller);
        let request = Arc::new(request);
        let arrived_at = self.boot_time;
        self.handle(ForwardEvent::RequestArrived {
            caller,
            request,
            arrived_at,
        });
        caller
    }

    pub fn end_attempt(&mut self, sent: &Sent, outcome: ForwardOutcome) {
        self.end_attempt_with_load(sent, outcome, None);
    }

    pub fn end_attempt_with_load(
        &mut self,
        sent: &Sent,
        outcome: ForwardOutcome,
        load: Option<ReportedLoad>,
    ) {
        let report = UpstreamReport {
            load,
            ..UpstreamReport::default()
        };
        self.end_attempt_with_report(sent, outcome, report);
    }

    pub fn end_attempt_with_report(
        &mut self,
        sent: &Sent,
        outcome: ForwardOutcome,
        report: UpstreamReport,
    ) {
        self.handle(ForwardEvent::AttemptEnded(AttemptEnd {
            attempt: sent.attempt,
            outcome,
            report,
        }));
    }

    /// Advances the time, delivering each wakeup when it is due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.forwarder.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(ForwardEvent::Wakeup);
        }
        self.now = end;
    }

    /// Attempts sent since the last call.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        self.take_sent_with_callers()
            .into_iter()
            .map(|(_, sent)| sent)
            .collect()
    }

    /// Attempts sent since the last call, with their callers.
    pub fn take_sent_with_callers(&mut self) -> Vec<(CallerKey, Sent)> {
        let sent = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::SendAttempt {
                attempt,
                upstream,
                request,
                ..
            } => {
                let found = self.upstreams.iter().find(|(_, key)| *key == upstream);
                let sent = Sent {
                    attempt: *attempt,
                    instance: found.expect("an upstream is opened first").0.clone(),
                };
                Some((self.caller_by_request[&request.id], sent))
            }
            _ => None,
        });
        let sent = sent.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::SendAttempt { .. }));
        sent
    }

    /// On whose behalf attempts were sent, since the last call.
    pub fn take_identities(&mut self) -> Vec<CallerIdentity> {
        let sent = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::SendAttempt { identity, .. } => Some(identity.clone()),
            _ => None,
        });
        let identities = sent.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::SendAttempt { .. }));
        identities
    }

    /// Messages about quotas since the last call.
    pub fn take_quota_messages(&mut self) -> Vec<OutgoingQuotaMessage> {
        let messages = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::SendQuotaMessage(message) => Some(message.clone()),
            _ => None,
        });
        let messages = messages.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::SendQuotaMessage(_)));
        messages
    }

    /// Messages with observations since the last call.
    pub fn take_observations(&mut self) -> Vec<OutgoingObservations> {
        let messages = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::SendObservations(message) => Some(message.clone()),
            _ => None,
        });
        let messages = messages.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::SendObservations(_)));
        messages
    }

    /// Attempts cancelled since the last call.
    pub fn take_cancelled(&mut self) -> Vec<AttemptKey> {
        let cancelled = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::CancelAttempt { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let cancelled = cancelled.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::CancelAttempt { .. }));
        cancelled
    }

    /// Answers since the last call.
    pub fn take_answers(&mut self) -> Vec<(CallerKey, ForwardAnswer)> {
        let answers = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Answer { caller, answer } => Some((*caller, answer.clone())),
            _ => None,
        });
        let answers = answers.collect();
        self.commands
            .retain(|command| !matches!(command, ForwardCommand::Answer { .. }));
        answers
    }

    /// The only answer since the last call.
    pub fn take_answer(&mut self) -> ForwardAnswer {
        let mut answers = self.take_answers();
        assert_eq!(answers.len(), 1, "expected exactly one answer");
        answers.remove(0).1
    }

    /// Reasons for which shards were given up, since the start.
    pub fn denials(&self) -> Vec<SendDenial> {
        let denials = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::ShardGivenUp { denial, .. }) => Some(*denial),
            _ => None,
        });
        denials.collect()
    }

    /// Digests of the quarantines announced to other nodes, since the start.
    pub fn announced_quarantines(&self) -> Vec<Digest> {
        let digests = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::AnnounceQuarantine(digest) => Some(*digest),
            _ => None,
        });
        digests.collect()
    }

    /// Notices announced to other nodes, since the start.
    pub fn announced_notices(&self) -> Vec<UpstreamNotice> {
        let notices = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::AnnounceNotice(notice) => Some(notice.clone()),
            _ => None,
        });
        notices.collect()
    }

    /// Instance and waiting time of the attempts cut off, since the start.
    pub fn cut_off_shards(&self) -> Vec<(String, Duration)> {
        let cut_off = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::ShardCutOff {
                instance, waited, ..
            }) => Some((instance.to_string(), *waited)),
            _ => None,
        });
        cut_off.collect()
    }

    /// Upstreams whose state changed, with the new state, since the start.
    pub fn state_changes(&mut self) -> Vec<(String, ReplicaState)> {
        let changes = self.commands.iter().filter_map(|command| match command {
            ForwardCommand::Record(ForwardTelemetry::UpstreamChanged { instance, to, .. }) => {
                Some((instance.to_string(), *to))
            }
            _ => None,
        });
        changes.collect()
    }
}

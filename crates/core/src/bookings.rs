//! Redeems tickets and runs bookings, each at most once.

use crate::{
    attempt::AttemptPurpose,
    booking::{Booking, BookingAction, BookingEvent, BookingGuard, BookingMachine, BookingState},
    engine::Shared,
    prelude::*,
    ticket::{Authentic, Ticket},
    ticket_registry::{Redemption, TICKET_LIFETIME, TicketRegistry},
    upstreams::ReplicaCandidates,
};
use std::collections::BTreeSet;

/// The running bookings of a node and the record of those that ran.
#[derive(Debug)]
pub(crate) struct Bookings {
    chart: Chart<BookingMachine>,
    tickets: TicketRegistry,
    running: SlotMap<BookingKey, Booking>,
    /// One entry per running booking, earliest deadline first.
    deadlines: BTreeSet<(Timestamp, BookingKey)>,
}

/// Kind, execution and detail of a [`Refusal`].
type RefusalParts = (RefusalKind, Execution, String);

impl Bookings {
    pub(crate) fn new(settings: &EngineSettings) -> Result<Self, ChartError> {
        let tickets = TicketRegistry::new(&settings.node, settings.start, settings.ticket_key);
        Ok(Self {
            chart: Chart::load()?,
            tickets,
            running: SlotMap::with_key(),
            deadlines: BTreeSet::new(),
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Issues a ticket. Draining nodes issue none: only the process that issued a ticket can redeem it.
    pub(crate) fn issue_ticket(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: &TicketRequest,
        commands: &mut Vec<Command>,
    ) {
        // A request for a ticket has no deadline of its own; 1 ms passes the check of the deadline.
        let issued = cx
            .check_new_work(now, Some(TICKET_LIFETIME.min(Duration::from_millis(1))))
            .and_then(|_| cx.authenticate_or_refuse(&request.workspace, &request.token))
            .and_then(|_| {
                let exhausted = || {
                    (
                        RefusalKind::TicketsExhausted,
                        "too many tickets are in use".to_owned(),
                    )
                };
                self.tickets
                    .issue(now, &request.workspace)
                    .ok_or_else(exhausted)
            });
        let command = match issued {
            Ok(ticket) => Command::AnswerTicket {
                caller: request.caller,
                ticket: ticket.to_string(),
                expires_in: TICKET_LIFETIME,
            },
            Err((kind, detail)) => {
                let refused = (kind, Execution::NotRun, detail);
                refuse_command(request.caller, &request.request_id, &Arc::from(""), refused)
            }
        };
        commands.push(command);
    }

    pub(crate) fn handle_request(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookingRequest,
        commands: &mut Vec<Command>,
    ) {
        let (caller, request_id) = (request.caller, Arc::clone(&request.request_id));
        if let Err(refused) = self.redeem_ticket(cx, now, request, commands) {
            commands.push(refuse_command(caller, &request_id, &Arc::from(""), refused));
        }
    }

    fn redeem_ticket(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookingRequest,
        commands: &mut Vec<Command>,
    ) -> Result<(), RefusalParts> {
        cx.authenticate_or_refuse(&request.workspace, &request.token)
            .map_err(as_not_run)?;
        let content = Digest::of(format!("{}\n{}", request.service, request.booking).as_bytes());
        match self
            .tickets
            .redeem(now, &request.ticket, &request.workspace, content)
        {
            Redemption::Granted(ticket) => {
                self.start_booking(cx, now, request, ticket, content, commands)
            }
            Redemption::InProgress(booking) => {
                if let Some(booking) = self.running.get_mut(booking) {
                    booking.waiting.push((request.caller, request.request_id));
                }
                Ok(())
            }
            Redemption::Completed { booking_id, reply } => {
                let (caller, workspace) = (request.caller, request.workspace);
                commands.push(Command::AnswerBooking {
                    caller,
                    workspace,
                    booking_id,
                    reply,
                    replayed: true,
                });
                Ok(())
            }
            Redemption::OutcomeUnknown => {
                let detail = "the booking was sent earlier and its outcome is not known".to_owned();
                Err((RefusalKind::OutcomeUnknown, Execution::Unknown, detail))
            }
            Redemption::OtherNode(node) if !request.forwarded => {
                commands.push(Command::ForwardBooking { node, request });
                Ok(())
            }
            Redemption::OtherNode(node) => {
                let detail = format!("the ticket names node {node}");
                Err((RefusalKind::TicketStartGone, Execution::Unknown, detail))
            }
            Redemption::Refused(kind, execution) => {
                Err((kind, execution, kind.name().replace('-', " ")))
            }
        }
    }

    fn start_booking(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookingRequest,
        ticket: Ticket<Authentic>,
        content: Digest,
        commands: &mut Vec<Command>,
    ) -> Result<(), RefusalParts> {
        let (bundle, deadline) = cx
            .check_new_work(now, request.deadline)
            .map_err(as_not_run)?;
        if upstreams_of_service(&bundle, &request.service).is_none() {
            let detail = format!("no booking service \"{}\"", request.service);
            return Err((RefusalKind::UnknownService, Execution::NotRun, detail));
        }
        let booking = Booking {
            state: self.chart.initial(),
            ticket,
            workspace: request.workspace,
            service: request.service,
            body: request.booking,
            deadline: now + deadline,
            tried: Vec::new(),
            attempt: None,
            waiting: vec![(request.caller, request.request_id)],
        };
        let key = self.running.insert(booking);
        self.deadlines.insert((self.running[key].deadline, key));
        self.tickets
            .record_running(&self.running[key].ticket, key, content);
        self.send_to_next_upstream(cx, now, key, commands);
        Ok(())
    }

    /// Sends the booking to an upstream that was not tried. If there is none, the booking ends as not run.
    fn send_to_next_upstream(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: BookingKey,
        commands: &mut Vec<Command>,
    ) {
        let booking = &mut self.running[key];
        let Some(upstream) = next_upstream(cx, now, booking) else {
            return self.apply_event(cx, now, key, BookingEvent::Refused, None, commands);
        };
        let request = SubRequest::Booking {
            service: Arc::clone(&booking.service),
            booking_id: Arc::from(booking.ticket.booking_id()),
            booking: Arc::clone(&booking.body),
        };
        let attempt = cx.send_attempt(
            now,
            AttemptPurpose::Booking(key),
            upstream,
            (request, booking.deadline),
            commands,
        );
        booking.tried.push(upstream);
        booking.attempt = Some(attempt);
    }

    pub(crate) fn handle_reply(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: BookingKey,
        reply: Reply,
        commands: &mut Vec<Command>,
    ) {
        if !self.running.contains_key(key) {
            return;
        }
        let (event, booked) = match reply.outcome {
            Outcome::Booked(reply) => (BookingEvent::Replied, Some(reply)),
            Outcome::NotSent | Outcome::Shed => (BookingEvent::Refused, None),
            Outcome::Answered(_)
            | Outcome::Broken
            | Outcome::Silent
            | Outcome::VersionGone
            | Outcome::Cancelled
            | Outcome::Invalid => (BookingEvent::Lost, None),
        };
        self.apply_event(cx, now, key, event, booked.as_ref(), commands);
    }

    pub(crate) fn expire_overdue(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        commands: &mut Vec<Command>,
    ) {
        // A passed deadline ends the booking, which removes its entry, so the loop ends.
        while let Some(&(deadline, key)) = self.deadlines.first()
            && deadline <= now
        {
            self.apply_event(cx, now, key, BookingEvent::DeadlinePassed, None, commands);
        }
    }

    /// Removes a caller that disconnected. Its booking still runs, and the outcome is recorded.
    pub(crate) fn handle_caller_gone(&mut self, caller: CallerKey) {
        for booking in self.running.values_mut() {
            booking.waiting.retain(|(waiting, _)| *waiting != caller);
        }
    }

    fn apply_event(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: BookingKey,
        event: BookingEvent,
        reply: Option<&BookingReply>,
        commands: &mut Vec<Command>,
    ) {
        let booking = &self.running[key];
        let step = self.chart.step(booking.state, event, |guard| match guard {
            BookingGuard::AnotherUpstream => {
                now < booking.deadline
                    && now < cx.fresh_until
                    && next_upstream(cx, now, booking).is_some()
            }
        });
        let (next, actions) = (step.next, step.actions.to_vec());
        self.running[key].state = next;
        for action in actions {
            self.run_action(cx, now, key, action, reply, commands);
        }
        if next != BookingState::Sending
            && let Some(booking) = self.running.remove(key)
        {
            self.deadlines.remove(&(booking.deadline, key));
            // A booking is never cancelled at the upstream; a late reply only ends the attempt there.
            if let Some(running) = booking.attempt.and_then(|a| cx.attempts.get_mut(a)) {
                running.purpose = AttemptPurpose::Abandoned;
            }
        }
    }

    fn run_action(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: BookingKey,
        action: BookingAction,
        reply: Option<&BookingReply>,
        commands: &mut Vec<Command>,
    ) {
        let booking = &self.running[key];
        match action {
            BookingAction::Send => self.send_to_next_upstream(cx, now, key, commands),
            BookingAction::RecordReply => {
                if let Some(reply) = reply {
                    self.tickets.record_reply(&booking.ticket, reply.clone());
                }
            }
            BookingAction::RecordUnknown => self.tickets.record_unknown(&booking.ticket),
            BookingAction::Forget => self.tickets.reset(&booking.ticket),
            BookingAction::Answer => {
                let Some(reply) = reply else { return };
                for (caller, _) in &booking.waiting {
                    commands.push(Command::AnswerBooking {
                        caller: *caller,
                        workspace: Arc::clone(&booking.workspace),
                        booking_id: booking.ticket.booking_id(),
                        reply: reply.clone(),
                        replayed: false,
                    });
                }
            }
            BookingAction::RefuseNotRun => {
                let detail = "no upstream of the service could take the booking";
                refuse_all(
                    booking,
                    RefusalKind::NoUpstream,
                    Execution::NotRun,
                    detail,
                    commands,
                );
            }
            BookingAction::RefuseUnknown => {
                let detail = "the booking was sent and no reply came";
                refuse_all(
                    booking,
                    RefusalKind::OutcomeUnknown,
                    Execution::Unknown,
                    detail,
                    commands,
                );
            }
        }
    }
}

fn next_upstream(cx: &mut Shared, now: Timestamp, booking: &Booking) -> Option<UpstreamKey> {
    let bundle = cx.bundle.clone()?;
    let replicas = upstreams_of_service(&bundle, &booking.service)?;
    let candidates = ReplicaCandidates {
        replicas,
        tried: &booking.tried,
    };
    cx.upstreams.pick_replica(now, &candidates).ok()
}

fn refuse_all(
    booking: &Booking,
    kind: RefusalKind,
    execution: Execution,
    detail: &str,
    commands: &mut Vec<Command>,
) {
    for (caller, request_id) in &booking.waiting {
        commands.push(refuse_command(
            *caller,
            request_id,
            &booking.workspace,
            (kind, execution, detail.to_owned()),
        ));
    }
}

fn refuse_command(
    caller: CallerKey,
    request_id: &Arc<str>,
    workspace: &Arc<str>,
    refused: RefusalParts,
) -> Command {
    let (kind, execution, detail) = refused;
    let refusal = Refusal {
        request_id: Arc::clone(request_id),
        kind,
        execution,
        detail,
    };
    Command::Refuse {
        caller,
        workspace: Arc::clone(workspace),
        refusal,
    }
}

fn as_not_run((kind, detail): (RefusalKind, String)) -> RefusalParts {
    (kind, Execution::NotRun, detail)
}

fn upstreams_of_service<'bundle>(
    bundle: &'bundle Bundle,
    service: &str,
) -> Option<&'bundle [String]> {
    let service = bundle
        .services
        .iter()
        .find(|s| s.name == service && s.kind == ServiceKind::Booking)?;
    Some(&service.upstreams)
}

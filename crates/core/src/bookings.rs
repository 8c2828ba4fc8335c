//! Bookings, each run at most once.

use crate::{
    attempt::AttemptPurpose,
    booking::{Booking, BookingAction, BookingEvent, BookingGuard, BookingMachine, BookingState},
    engine::Shared,
    prelude::*,
    ticket::{Genuine, Ticket},
    ticket_desk::{Redemption, TICKET_LIFETIME, TicketDesk},
    upstreams::ReplicaCandidates,
};
use std::collections::BTreeSet;

/// Running bookings and the record of those that ran.
#[derive(Debug)]
pub(crate) struct Bookings {
    chart: Chart<BookingMachine>,
    desk: TicketDesk,
    running: SlotMap<BookingKey, Booking>,
    /// One entry a running booking.
    deadlines: BTreeSet<(Timestamp, BookingKey)>,
}

/// Why a request is refused.
type Refused = (RefusalKind, Execution, String);

impl Bookings {
    pub(crate) fn new(settings: &EngineSettings) -> Result<Self, ChartError> {
        let desk = TicketDesk::new(&settings.node, settings.start, settings.ticket_key);
        Ok(Self {
            chart: Chart::load()?,
            desk,
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

    /// Issues a ticket. Draining nodes issue none, because their start ends soon.
    pub(crate) fn issue(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: &TicketRequest,
        commands: &mut Vec<Command>,
    ) {
        let issued = cx
            .check_new_work(now, Some(TICKET_LIFETIME.min(Duration::from_millis(1))))
            .and_then(|_| cx.authenticate_or_refuse(&request.tenant, &request.token))
            .and_then(|_| {
                let exhausted = || {
                    (
                        RefusalKind::TicketsExhausted,
                        "too many tickets are in use".to_owned(),
                    )
                };
                self.desk.issue(now, &request.tenant).ok_or_else(exhausted)
            });
        let command = match issued {
            Ok(ticket) => Command::Ticketed {
                caller: request.caller,
                ticket: ticket.to_string(),
                expires_in: TICKET_LIFETIME,
            },
            Err((kind, detail)) => {
                let refused = (kind, Execution::NotRun, detail);
                refusal(request.caller, &request.request_id, &Arc::from(""), refused)
            }
        };
        commands.push(command);
    }

    pub(crate) fn arrive(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookRequest,
        commands: &mut Vec<Command>,
    ) {
        let (caller, request_id) = (request.caller, Arc::clone(&request.request_id));
        if let Err(refused) = self.redeem(cx, now, request, commands) {
            commands.push(refusal(caller, &request_id, &Arc::from(""), refused));
        }
    }

    fn redeem(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookRequest,
        commands: &mut Vec<Command>,
    ) -> Result<(), Refused> {
        cx.authenticate_or_refuse(&request.tenant, &request.token)
            .map_err(not_run)?;
        let content = Digest::of(format!("{}\n{}", request.service, request.booking).as_bytes());
        match self
            .desk
            .redeem(now, &request.ticket, &request.tenant, content)
        {
            Redemption::Run(ticket) => self.start(cx, now, request, ticket, content, commands),
            Redemption::Running(booking) => {
                if let Some(booking) = self.running.get_mut(booking) {
                    booking.waiting.push((request.caller, request.request_id));
                }
                Ok(())
            }
            Redemption::Ran { booking_id, reply } => {
                let (caller, tenant) = (request.caller, request.tenant);
                commands.push(Command::Booked {
                    caller,
                    tenant,
                    booking_id,
                    reply,
                    replayed: true,
                });
                Ok(())
            }
            Redemption::Unknown => {
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

    fn start(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        request: BookRequest,
        ticket: Ticket<Genuine>,
        content: Digest,
        commands: &mut Vec<Command>,
    ) -> Result<(), Refused> {
        let (bundle, deadline) = cx.check_new_work(now, request.deadline).map_err(not_run)?;
        if booking_upstreams(&bundle, &request.service).is_none() {
            let detail = format!("no booking service \"{}\"", request.service);
            return Err((RefusalKind::UnknownService, Execution::NotRun, detail));
        }
        let booking = Booking {
            state: self.chart.initial(),
            ticket,
            tenant: request.tenant,
            service: request.service,
            body: request.booking,
            deadline: now + deadline,
            tried: Vec::new(),
            attempt: None,
            waiting: vec![(request.caller, request.request_id)],
        };
        let key = self.running.insert(booking);
        self.deadlines.insert((self.running[key].deadline, key));
        self.desk.running(&self.running[key].ticket, key, content);
        self.send(cx, now, key, commands);
        Ok(())
    }

    /// Sends to an upstream that has not been asked; without one, the booking ends as not run.
    fn send(
        &mut self,
        cx: &mut Shared,
        now: Timestamp,
        key: BookingKey,
        commands: &mut Vec<Command>,
    ) {
        let booking = &mut self.running[key];
        let Some(upstream) = next_upstream(cx, now, booking) else {
            return self.step(cx, now, key, BookingEvent::Refused, None, commands);
        };
        let request = SubRequest::Booking {
            service: Arc::clone(&booking.service),
            booking_id: Arc::from(booking.ticket.booking_id()),
            booking: Arc::clone(&booking.body),
        };
        let attempt = cx.send(
            now,
            AttemptPurpose::Booking(key),
            upstream,
            (request, booking.deadline),
            commands,
        );
        booking.tried.push(upstream);
        booking.attempt = Some(attempt);
    }

    pub(crate) fn reply(
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
        self.step(cx, now, key, event, booked.as_ref(), commands);
    }

    pub(crate) fn wakeup(&mut self, cx: &mut Shared, now: Timestamp, commands: &mut Vec<Command>) {
        // Each step ends its booking and takes its entry out.
        while let Some(&(deadline, key)) = self.deadlines.first()
            && deadline <= now
        {
            self.step(cx, now, key, BookingEvent::DeadlinePassed, None, commands);
        }
    }

    /// A caller that has gone no longer waits; its booking goes on and is recorded.
    pub(crate) fn caller_gone(&mut self, caller: CallerKey) {
        for booking in self.running.values_mut() {
            booking.waiting.retain(|(waiting, _)| *waiting != caller);
        }
    }

    fn step(
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
            self.act(cx, now, key, action, reply, commands);
        }
        if next != BookingState::Sending
            && let Some(booking) = self.running.remove(key)
        {
            self.deadlines.remove(&(booking.deadline, key));
            // A booking is never cancelled upstream; a late reply only frees the upstream.
            if let Some(running) = booking.attempt.and_then(|a| cx.attempts.get_mut(a)) {
                running.purpose = AttemptPurpose::Abandoned;
            }
        }
    }

    fn act(
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
            BookingAction::Send => self.send(cx, now, key, commands),
            BookingAction::RecordReply => {
                if let Some(reply) = reply {
                    self.desk.ran(&booking.ticket, reply.clone());
                }
            }
            BookingAction::RecordUnknown => self.desk.lost(&booking.ticket),
            BookingAction::Forget => self.desk.not_run(&booking.ticket),
            BookingAction::Answer => {
                let Some(reply) = reply else { return };
                for (caller, _) in &booking.waiting {
                    commands.push(Command::Booked {
                        caller: *caller,
                        tenant: Arc::clone(&booking.tenant),
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
    let replicas = booking_upstreams(&bundle, &booking.service)?;
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
        commands.push(refusal(
            *caller,
            request_id,
            &booking.tenant,
            (kind, execution, detail.to_owned()),
        ));
    }
}

fn refusal(
    caller: CallerKey,
    request_id: &Arc<str>,
    tenant: &Arc<str>,
    refused: Refused,
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
        tenant: Arc::clone(tenant),
        refusal,
    }
}

fn not_run((kind, detail): (RefusalKind, String)) -> Refused {
    (kind, Execution::NotRun, detail)
}

fn booking_upstreams<'bundle>(bundle: &'bundle Bundle, service: &str) -> Option<&'bundle [String]> {
    let service = bundle
        .services
        .iter()
        .find(|s| s.name == service && s.kind == ServiceKind::Booking)?;
    Some(&service.upstreams)
}

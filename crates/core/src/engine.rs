//! The engine of one node: it turns events into commands.

use crate::{
    attempt::{Attempt, AttemptPurpose},
    bookings::Bookings,
    prelude::*,
    searches::Searches,
    serving_check::ServingCheck,
    upstreams::Upstreams,
};

/// Policy for choosing upstreams, retries and limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyMode {
    /// Choice of replicas by load, hedges, adaptive limits and allowances for cold upstreams.
    #[default]
    Adaptive,
    /// Round robin over replicas with a fixed timeout and no hedges, as a baseline for comparison.
    Baseline,
}

/// Settings of an engine, fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the node in the published fleet list.
    pub node: String,
    /// Number of this start of the process, different for each start of the same node.
    pub start: u64,
    /// Availability zone of the node.
    pub zone: String,
    /// Policy for choosing upstreams, retries and limits.
    pub policy: PolicyMode,
    /// Secret key that authenticates the tickets issued since this start.
    pub ticket_key: [u8; 32],
    /// Seed of the random number generator.
    pub seed: u64,
}

/// State that searches and bookings share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) bundle: Option<Arc<ApprovedBundle>>,
    pub(crate) workspaces: SlotMap<WorkspaceKey, Workspace>,
    pub(crate) upstreams: Upstreams,
    pub(crate) attempts: SlotMap<AttemptKey, Attempt>,
    /// Time from which new work is refused, unless the configuration is confirmed again.
    pub(crate) fresh_until: Timestamp,
    pub(crate) draining: bool,
    pub(crate) policy: PolicyMode,
}

/// State machine of one node. It does no I/O and reads no clock: the caller passes the time and carries out commands.
#[derive(Debug)]
pub struct Engine {
    shared: Shared,
    searches: Searches,
    bookings: Bookings,
    drained: bool,
    serving_check: ServingCheck,
    late_replies: u64,
}

impl Engine {
    /// Creates an engine, which refuses all work until [`Event::Configure`] and [`Event::FreshUntil`].
    ///
    /// # Errors
    ///
    /// A [`ChartError`] if one of the embedded state charts is invalid.
    pub fn new(settings: &EngineSettings) -> Result<Self, ChartError> {
        let bookings = Bookings::new(settings)?;
        let shared = Shared {
            bundle: None,
            workspaces: SlotMap::with_key(),
            upstreams: Upstreams::new(settings)?,
            attempts: SlotMap::with_key(),
            fresh_until: Timestamp::ZERO,
            draining: false,
            policy: settings.policy,
        };
        Ok(Self {
            shared,
            searches: Searches::new()?,
            bookings,
            drained: false,
            serving_check: ServingCheck::after_start(),
            late_replies: 0,
        })
    }

    /// Handles one event and appends the resulting commands to `commands`.
    pub fn handle(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::Configure(bundle) => {
                self.shared.configure(now, bundle, commands);
                self.searches
                    .handle_configuration(&mut self.shared, now, commands);
            }
            Event::FleetChanged(view) => {
                self.shared.upstreams.fleet_changed(now, &view, commands);
            }
            Event::FreshUntil(until) => {
                self.extend_freshness(now, until, commands);
            }
            Event::Search(request) => {
                self.searches
                    .handle_search(&mut self.shared, now, request, commands);
            }
            Event::Ticket(request) => {
                self.bookings
                    .issue_ticket(&mut self.shared, now, &request, commands);
            }
            Event::Booking(request) => {
                self.bookings
                    .handle_request(&mut self.shared, now, request, commands);
            }
            Event::CallerGone(caller) => {
                self.searches
                    .handle_caller_gone(&mut self.shared, now, caller, commands);
                self.bookings.handle_caller_gone(caller);
            }
            Event::Reply(reply) => self.handle_reply(now, reply, commands),
            Event::ProbeResult(upstream, report) => {
                self.shared
                    .upstreams
                    .record_probe(now, upstream, report, commands);
            }
            Event::News(news) => {
                self.shared.upstreams.apply_news(now, &news, commands);
                self.searches
                    .handle_news(&mut self.shared, now, &news, commands);
            }
            Event::Wakeup => {
                self.searches.handle_wakeup(&mut self.shared, now, commands);
                self.bookings
                    .expire_overdue(&mut self.shared, now, commands);
                let fresh = now < self.shared.fresh_until;
                self.shared.upstreams.send_due_probes(now, fresh, commands);
            }
            Event::Drain => self.shared.draining = true,
        }
        if self.serving_check.check(now, &self.shared) {
            commands.push(Command::CanServe);
        }
        if self.shared.draining
            && !self.drained
            && self.searches.is_idle()
            && self.bookings.is_idle()
        {
            self.drained = true;
            commands.push(Command::Drained);
        }
    }

    /// Counts since the start and current sizes.
    pub fn statistics(&self) -> EngineStatistics {
        EngineStatistics {
            late_replies: self.late_replies,
            ..self.searches.statistics()
        }
    }

    /// Earliest time at which the caller must pass [`Event::Wakeup`]; `None` if only other events matter.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let work = [self.searches.next_wakeup(), self.bookings.next_wakeup()];
        let probe = self.shared.upstreams.next_probe_at(self.shared.fresh_until);
        work.into_iter().chain([probe]).flatten().min()
    }

    /// Updates that bring a newly connected peer up to date on the upstreams.
    pub fn upstream_states(&self) -> Vec<News> {
        self.shared.upstreams.state_news()
    }

    /// Snapshot of the state for operators.
    pub fn status(&self, now: Timestamp) -> EngineStatus {
        let bundle = self.shared.bundle.as_ref();
        let zone = |zone: &Zone| ZoneStatus {
            name: zone.name.clone(),
            state: zone.state,
        };
        EngineStatus {
            version: bundle.map(|bundle| bundle.version),
            digest: bundle.map(|bundle| bundle.digest()),
            fresh_for_ms: self.shared.fresh_until.since(now).as_millis() as u64,
            draining: self.shared.draining,
            running: RunningStatus {
                queries: self.searches.len(),
                bookings: self.bookings.len(),
                attempts: self.shared.attempts.len(),
            },
            late_replies: self.late_replies,
            zones: bundle.map_or_else(Vec::new, |bundle| bundle.zones.iter().map(zone).collect()),
            upstreams: self.shared.upstreams.status(now),
            statistics: self.statistics(),
            budgets: bundle.map_or_else(BTreeMap::new, |bundle| self.searches.budgets(bundle)),
        }
    }

    /// Sets the time until which new work is accepted. After a lapse, updates from peers may have been missed, so
    /// upstreams have to be found warm again.
    fn extend_freshness(&mut self, now: Timestamp, until: Timestamp, commands: &mut Vec<Command>) {
        let previous_until = self.shared.fresh_until;
        if previous_until > Timestamp::ZERO && previous_until <= now {
            self.shared.upstreams.handle_missed_news(now, commands);
            self.serving_check = ServingCheck::after_lapse();
            commands.push(Command::CannotServe);
        }
        self.shared.fresh_until = until;
        self.searches
            .handle_freshness(&mut self.shared, now, commands);
    }

    fn handle_reply(&mut self, now: Timestamp, reply: Reply, commands: &mut Vec<Command>) {
        // The first reply removes the attempt, so later replies to it are only counted.
        let Some(attempt) = self.shared.attempts.remove(reply.attempt) else {
            self.late_replies += 1;
            return;
        };
        self.shared
            .upstreams
            .record_attempt_end(now, attempt.sent_at, &reply, commands);
        let answered = matches!(reply.outcome, Outcome::Answered(_) | Outcome::Booked(_));
        if matches!(attempt.purpose, AttemptPurpose::Abandoned) {
            self.late_replies += u64::from(answered);
        }
        if let AttemptPurpose::Booking(booking) = attempt.purpose {
            self.bookings
                .handle_reply(&mut self.shared, now, booking, reply.clone(), commands);
        }
        self.searches
            .handle_attempt_end(&mut self.shared, now, &attempt, reply, commands);
    }
}

impl Shared {
    fn configure(
        &mut self,
        now: Timestamp,
        bundle: Arc<ApprovedBundle>,
        commands: &mut Vec<Command>,
    ) {
        self.workspaces.clear();
        for workspace in &bundle.workspaces {
            self.workspaces.insert(workspace.clone());
        }
        self.upstreams.configure(now, &bundle, commands);
        self.bundle = Some(bundle);
    }

    /// Returns the named workspace if the token is one of its own. Every hash of the workspace is compared in constant time.
    pub(crate) fn authenticate(&self, name: &str, token: &str) -> Option<WorkspaceKey> {
        let digest = Digest::of(token.as_bytes());
        let (key, workspace) = self
            .workspaces
            .iter()
            .find(|(_, workspace)| workspace.name == name)?;
        digest.is_any_of(&workspace.token_sha256).then_some(key)
    }

    /// Like [`Shared::authenticate`], with a refusal as the error.
    pub(crate) fn authenticate_or_refuse(
        &self,
        name: &str,
        token: &str,
    ) -> Result<WorkspaceKey, (RefusalKind, String)> {
        let refused = || {
            (
                RefusalKind::Unauthenticated,
                "token and tenant don't match".to_owned(),
            )
        };
        self.authenticate(name, token).ok_or_else(refused)
    }

    /// Registers an attempt and commands its send, which must happen before its deadline and while the configuration is
    /// fresh.
    pub(crate) fn send_attempt(
        &mut self,
        now: Timestamp,
        purpose: AttemptPurpose,
        upstream: UpstreamKey,
        (request, deadline): (SubRequest, Timestamp),
        commands: &mut Vec<Command>,
    ) -> AttemptKey {
        let attempt = self.attempts.insert(Attempt {
            purpose,
            upstream,
            sent_at: now,
        });
        self.upstreams.record_sent(now, upstream);
        let not_after = deadline.min(self.fresh_until);
        commands.push(Command::Send {
            attempt,
            upstream,
            request,
            deadline,
            not_after,
        });
        attempt
    }

    /// Cancels an attempt. It counts as running at its upstream until its reply arrives.
    pub(crate) fn cancel_attempt(&mut self, attempt: AttemptKey, commands: &mut Vec<Command>) {
        if let Some(running) = self.attempts.get_mut(attempt) {
            running.purpose = AttemptPurpose::Abandoned;
            let upstream = running.upstream;
            commands.push(Command::Cancel { attempt, upstream });
        }
    }

    /// Checks that apply to every kind of request: draining, configuration, freshness and the deadline.
    pub(crate) fn check_new_work(
        &self,
        now: Timestamp,
        deadline: Option<Duration>,
    ) -> Result<(Arc<ApprovedBundle>, Duration), (RefusalKind, String)> {
        let refuse = |kind, detail: &str| Err((kind, detail.to_owned()));
        if self.draining {
            return refuse(RefusalKind::Draining, "this node is shutting down");
        }
        let Some(bundle) = &self.bundle else {
            return refuse(
                RefusalKind::NotConfigured,
                "no approved bundle has been received",
            );
        };
        if now >= self.fresh_until {
            return refuse(
                RefusalKind::NotFresh,
                "neither the platform nor enough peers confirmed the configuration",
            );
        }
        let Some(deadline) = deadline else {
            return refuse(
                RefusalKind::DeadlineMissing,
                "the request has no deadline_ms",
            );
        };
        let limit = Duration::from_millis(bundle.limits.max_deadline_ms);
        if deadline.is_zero() || deadline > limit {
            return refuse(
                RefusalKind::DeadlineInvalid,
                "deadline_ms is zero or over the limit of the bundle",
            );
        }
        Ok((Arc::clone(bundle), deadline))
    }
}

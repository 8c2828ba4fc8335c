//! The decisions of one node, driven by events.

use crate::{
    ability::Ability,
    attempt::{Attempt, AttemptPurpose},
    bookings::Bookings,
    prelude::*,
    searches::Searches,
    upstreams::Upstreams,
};

/// Which policy the engine follows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyMode {
    /// Load-aware choice, hedges, adaptive limits, cold-start allowances.
    #[default]
    Adaptive,
    /// Round robin over replicas with a fixed timeout and no hedges, for comparison.
    Baseline,
}

/// What distinguishes one engine from another.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the node on the published list.
    pub node: String,
    /// Number of this start of the process; differs from every earlier one of the same node.
    pub start: u64,
    /// Availability zone of the node.
    pub zone: String,
    /// Policy to follow.
    pub policy: PolicyMode,
    /// Key that authenticates tickets of this start.
    pub ticket_key: [u8; 32],
    /// Seed of the random choices.
    pub seed: u64,
}

/// State that searches and bookings share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) bundle: Option<Arc<ApprovedBundle>>,
    pub(crate) tenants: SlotMap<TenantKey, Tenant>,
    pub(crate) upstreams: Upstreams,
    pub(crate) attempts: SlotMap<AttemptKey, Attempt>,
    /// New work is refused from this time on.
    pub(crate) fresh_until: Timestamp,
    pub(crate) draining: bool,
    pub(crate) policy: PolicyMode,
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Engine {
    shared: Shared,
    searches: Searches,
    bookings: Bookings,
    drained: bool,
    ability: Ability,
    late_replies: u64,
}

impl Engine {
    /// An engine without configuration.
    ///
    /// # Errors
    ///
    /// A state chart that fails its checks.
    pub fn new(settings: &EngineSettings) -> Result<Self, ChartError> {
        let bookings = Bookings::new(settings)?;
        let shared = Shared {
            bundle: None,
            tenants: SlotMap::with_key(),
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
            ability: Ability::of_start(),
            late_replies: 0,
        })
    }

    /// Handles one event and appends what is to be done.
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
            Event::Freshness(until) => {
                self.freshened(now, until, commands);
            }
            Event::Search(request) => {
                self.searches
                    .handle_search(&mut self.shared, now, request, commands);
            }
            Event::Ticket(request) => {
                self.bookings
                    .issue(&mut self.shared, now, &request, commands);
            }
            Event::Book(request) => self
                .bookings
                .arrive(&mut self.shared, now, request, commands),
            Event::CallerGone(caller) => {
                self.searches
                    .handle_caller_gone(&mut self.shared, now, caller, commands);
                self.bookings.caller_gone(caller);
            }
            Event::Reply(reply) => self.reply(now, reply, commands),
            Event::Probed(upstream, report) => {
                self.shared
                    .upstreams
                    .record_probe(now, upstream, report, commands);
            }
            Event::News(news) => {
                self.shared.upstreams.apply_news(now, &news);
                self.searches
                    .handle_news(&mut self.shared, now, &news, commands);
            }
            Event::Wakeup => {
                self.searches.handle_wakeup(&mut self.shared, now, commands);
                self.bookings.wakeup(&mut self.shared, now, commands);
                let fresh = now < self.shared.fresh_until;
                self.shared.upstreams.send_due_probes(now, fresh, commands);
            }
            Event::Drain => self.shared.draining = true,
        }
        if self.ability.check(now, &self.shared) {
            commands.push(Command::Able);
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

    /// Counters since the start and present sizes.
    pub fn statistics(&self) -> EngineStatistics {
        EngineStatistics {
            late_replies: self.late_replies,
            ..self.searches.statistics()
        }
    }

    /// Earliest time at which the engine wants [`Event::Wakeup`].
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let work = [self.searches.next_wakeup(), self.bookings.next_wakeup()];
        let probe = self.shared.upstreams.next_probe_at(self.shared.fresh_until);
        work.into_iter().chain([probe]).flatten().min()
    }

    /// What a newly connected peer must hear about upstreams.
    pub fn upstream_states(&self) -> Vec<News> {
        self.shared.upstreams.state_news()
    }

    /// State for operators.
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

    /// Takes over until when new work may be accepted. After a lapse, what peers know of upstreams was missed.
    fn freshened(&mut self, now: Timestamp, until: Timestamp, commands: &mut Vec<Command>) {
        let lapsed = self.shared.fresh_until;
        if lapsed > Timestamp::ZERO && lapsed <= now {
            self.shared.upstreams.handle_missed_news(now, commands);
            self.ability = Ability::of_return();
            commands.push(Command::Unable);
        }
        self.shared.fresh_until = until;
        self.searches
            .handle_freshness(&mut self.shared, now, commands);
    }

    fn reply(&mut self, now: Timestamp, reply: Reply, commands: &mut Vec<Command>) {
        // A second reply to the same attempt finds its key out of use and is dropped.
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
                .reply(&mut self.shared, now, booking, reply.clone(), commands);
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
        self.tenants.clear();
        for tenant in &bundle.tenants {
            self.tenants.insert(tenant.clone());
        }
        self.upstreams.configure(now, &bundle, commands);
        self.bundle = Some(bundle);
    }

    /// Tenant that a token proves, if it is the named one.
    pub(crate) fn authenticate(&self, name: &str, token: &str) -> Option<TenantKey> {
        use subtle::ConstantTimeEq as _;
        let digest = Digest::of(token.as_bytes());
        let (key, tenant) = self
            .tenants
            .iter()
            .find(|(_, tenant)| tenant.name == name)?;
        let known = tenant
            .token_sha256
            .iter()
            .fold(0, |known, hash| known | hash.0.ct_eq(&digest.0).unwrap_u8());
        (known == 1).then_some(key)
    }

    /// As [`Shared::authenticate`], with the refusal.
    pub(crate) fn authenticate_or_refuse(
        &self,
        name: &str,
        token: &str,
    ) -> Result<TenantKey, (RefusalKind, String)> {
        let refused = || {
            (
                RefusalKind::Unauthenticated,
                "token and tenant don't match".to_owned(),
            )
        };
        self.authenticate(name, token).ok_or_else(refused)
    }

    /// Sends one attempt.
    pub(crate) fn send(
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

    /// Cancels an attempt. Its upstream counts it as running until its reply has come.
    pub(crate) fn cancel(&mut self, attempt: AttemptKey, commands: &mut Vec<Command>) {
        if let Some(running) = self.attempts.get_mut(attempt) {
            running.purpose = AttemptPurpose::Abandoned;
            let upstream = running.upstream;
            commands.push(Command::Cancel { attempt, upstream });
        }
    }

    /// Checks that hold for every kind of request: configuration, freshness, draining and the deadline.
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

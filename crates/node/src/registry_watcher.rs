//! The task that follows a registry and sends its changes to the forward task.

use crate::{
    boot_clock::BootClock,
    configuration_confirmation::ConfigurationConfirmation,
    forward_metrics::ForwardMetrics,
    forward_task::ForwardSender,
    known_items::KnownItems,
    prelude::*,
    registry::{Registry, RegistryError},
    registry_contents::{GraceRules, RegistryContents},
    snapshot_exchange::{self, RelayServer},
};
use tokio::{net::TcpListener, time::Instant};

/// Longest delay after failed reads while the node has read nothing and so can't answer any request.
const MAX_RETRY_DELAY_BEFORE_FIRST_READ: Duration = Duration::from_millis(200);

/// Time limit of a call while the node has read nothing. No bound applies to a node that can't answer any request.
const CALL_TIMEOUT_BEFORE_FIRST_READ: Duration = Duration::from_secs(1);

/// Time that the first listing may take before other nodes are asked too, and the pause between such attempts.
const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(200);

/// Follows a registry, and falls back to the snapshots of other nodes while it fails.
#[derive(Debug)]
pub struct RegistryWatcher<R> {
    pub(crate) contents: RegistryContents<R>,
    /// Read anew before each use, because it can change.
    pub(crate) limits: watch::Receiver<RegistryLimits>,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) log: Logger,
    /// Nodes to ask for a snapshot while the registry fails.
    contacts: watch::Receiver<Vec<SocketAddr>>,
    /// Number of nodes that follow this one.
    followers: watch::Sender<u32>,
    /// The fleet; `None` before the first heartbeat.
    pub(crate) fleet: watch::Receiver<Option<RegistryFleet>>,
    pub(crate) readers: RegistryReaders,
    pub(crate) contact: RegistryContact,
    pub(crate) clock: Clock,
    /// Age of its view at which this node, while it follows another one, reads the registry itself.
    pub(crate) view_age_limit: Duration,
    /// When this node last read the registry itself.
    pub(crate) last_own_read: Timestamp,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing yet. `contacts` are nodes to ask for a snapshot while the registry fails.
    ///
    /// # Errors
    ///
    /// If an embedded state chart is invalid.
    pub fn new(
        registry: R,
        limits: watch::Receiver<RegistryLimits>,
        forward: ForwardSender,
        contacts: watch::Receiver<Vec<SocketAddr>>,
        metrics: ForwardMetrics,
        log: Logger,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            contents: RegistryContents::new(registry, forward, metrics.clone(), log.clone()),
            limits,
            metrics,
            log,
            contacts,
            followers: watch::Sender::default(),
            fleet: watch::channel(None).1,
            readers: RegistryReaders::new()?,
            contact: RegistryContact::new(Timestamp::ZERO)?,
            clock: Clock::start(),
            view_age_limit: Duration::ZERO,
            last_own_read: Timestamp::ZERO,
        })
    }

    /// Follows a reader when the fleet is large enough. Without a fleet, the node always reads the registry itself.
    #[must_use]
    pub fn with_fleet(self, fleet: watch::Receiver<Option<RegistryFleet>>) -> Self {
        Self { fleet, ..self }
    }

    /// Answers nodes that ask for snapshots and nodes that follow this one, for the life of the process.
    pub fn serve_nodes(&self, listener: TcpListener) -> impl Future<Output = ()> + use<R> {
        let server = RelayServer {
            known: self.contents.items.subscribe(),
            followers: self.followers.clone(),
            clock: self.contents.confirmation.clock(),
            log: self.log.clone(),
        };
        server.serve(listener)
    }

    /// Measures the age of the configuration with this clock instead of the system's.
    #[must_use]
    pub fn with_boot_clock(mut self, clock: BootClock) -> Self {
        self.contents.confirmation = ConfigurationConfirmation::new(clock);
        self
    }

    pub(crate) fn limits(&self) -> RegistryLimits {
        *self.limits.borrow()
    }

    /// Follows the registry for the life of the process.
    pub async fn run(mut self) {
        loop {
            self.update_fleet();
            match self.next_source() {
                RegistrySource::Reader(reader) => self.follow(reader).await,
                RegistrySource::Store => {
                    let wait = self.read_store().await;
                    if self.next_source() == RegistrySource::Store {
                        self.sleep(wait).await;
                    }
                }
            }
        }
    }

    pub(crate) fn update_fleet(&mut self) {
        let limits = self.limits();
        let fleet = self.fleet.borrow_and_update();
        self.readers.update_fleet(fleet.as_ref(), &limits);
    }

    /// Where to take the contents of the registry from next. A node whose entries may return after an outage goes on reading,
    /// because a reader that has just failed too would delay their return beyond the grace period.
    fn next_source(&mut self) -> RegistrySource {
        let now = self.clock.now();
        let is_recovering =
            self.contents.entries.any_missing() && now < self.contact.recovery_until();
        if is_recovering && self.readers.state() == RegistrySourceState::Reading {
            return RegistrySource::Store;
        }
        self.readers.next_source(now)
    }

    /// Reads the registry once. Returns the time until the next read.
    async fn read_store(&mut self) -> Duration {
        let sent = self.clock.now();
        let result = self.read_registry().await;
        self.metrics.record_registry_read(&result);
        match result {
            Ok(()) => {
                let any_missing = self.contents.entries.any_missing();
                let pause = self
                    .contact
                    .pause(self.clock.now(), any_missing, &self.limits());
                self.contents.confirmation.limit_interval(pause)
            }
            Err(fault @ (RegistryError::HistoryLost | RegistryError::TooLarge))
                if self.contents.revision.is_some() =>
            {
                warn!(self.log, "registry_history_lost"; "revision" => self.contents.revision, "fault" => %fault);
                self.contents.revision = None;
                Duration::ZERO
            }
            Err(fault) => {
                self.record_failure(&fault);
                let elapsed = self.clock.now().since(sent);
                self.ask_contact_during(self.retry_delay(elapsed)).await
            }
        }
    }

    /// Confirms the contents as of this time.
    pub(crate) fn confirm_view(&mut self, at: BootTime) {
        let recovery_left = self.contact.recovery_until().since(self.clock.now());
        self.contents.confirm_view(at, recovery_left);
    }

    /// Records a read by this node itself, which shows the registry as of time `at`.
    fn confirm_own_read(&mut self, at: BootTime) {
        self.contents.confirm_configuration(at);
        self.confirm_view(at);
    }

    fn retry_delay(&self, elapsed: Duration) -> Duration {
        let delay = self.contact.retry_delay(elapsed, &self.limits());
        if self.contents.entries.is_empty() {
            delay.min(MAX_RETRY_DELAY_BEFORE_FIRST_READ)
        } else {
            delay
        }
    }

    fn call_timeout(&self) -> Duration {
        if self.contents.entries.is_empty() {
            CALL_TIMEOUT_BEFORE_FIRST_READ
        } else {
            self.limits().call_timeout
        }
    }

    /// Asks another node during an outage, for no longer than the delay before the next read. Returns what is left of
    /// the delay.
    async fn ask_contact_during(&mut self, delay: Duration) -> Duration {
        let until = Instant::now() + delay;
        if !self.readers.readers().is_empty() {
            // Leaves time to ask other nodes, if the reader does not answer.
            let polled = tokio::time::timeout(delay / 2, self.poll_any_reader()).await;
            if polled == Ok(true) {
                return until.saturating_duration_since(Instant::now());
            }
        }
        if self.contact.state() == RegistryState::Away || self.contents.entries.is_empty() {
            let answer = tokio::time::timeout_at(until, self.ask_contact()).await;
            if let Ok(Some(snapshot)) = answer {
                self.apply_peer_snapshot(snapshot);
            }
        }
        until.saturating_duration_since(Instant::now())
    }

    /// Waits before the next read. Entries whose grace period ends meanwhile are deregistered at its end, unless the
    /// last read failed: they may have returned unseen.
    pub(crate) async fn sleep(&mut self, wait: Duration) {
        let until = self.clock.now() + wait;
        while let Some(end) = self.next_grace_end().filter(|end| *end < until)
            && self.contact.state() == RegistryState::Steady
        {
            tokio::time::sleep_until(self.clock.instant(end)).await;
            self.deregister_expired();
        }
        tokio::time::sleep_until(self.clock.instant(until)).await;
    }

    pub(crate) fn next_grace_end(&self) -> Option<Timestamp> {
        self.contents.entries.next_grace_end()
    }

    pub(crate) fn deregister_expired(&mut self) {
        self.contents.deregister_expired(self.clock.now());
    }

    async fn read_registry(&mut self) -> Result<(), RegistryError> {
        let revoke_within = self.limits().revoke_within;
        self.contents.confirmation.set_revoke_within(revoke_within);
        let is_relayed = self.readers.is_relaying_fleet();
        if self.contents.confirmation.needs_listing(is_relayed) {
            self.contents.revision = None;
        }
        match self.contents.revision {
            None if self.contents.entries.is_empty() => self.first_read().await?,
            None => {
                let sent_at = self.contents.confirmation.now();
                let listing = self.contents.registry.list(self.call_timeout()).await?;
                self.apply_own_listing(listing, sent_at);
            }
            Some(revision) => {
                let times = self.watch_times();
                let sent_at = self.contents.confirmation.now();
                let changes = self.contents.registry.watch(revision, times).await?;
                let timing = WatchTiming {
                    sent_at,
                    wait: times.wait,
                    answered_at: self.contents.confirmation.now(),
                    found_changes: !changes.changes.is_empty(),
                };
                self.record_success();
                let rules = GraceRules::new(self.clock.now(), &self.contact, self.limits());
                self.contents.apply_changes(changes, rules);
                self.confirm_own_read(timing.confirmed_at());
            }
        }
        self.deregister_expired();
        Ok(())
    }

    fn apply_own_listing(&mut self, listing: Snapshot, sent_at: BootTime) {
        self.record_success();
        let rules = GraceRules::new(self.clock.now(), &self.contact, self.limits());
        self.contents.apply_own_listing(listing, rules);
        self.confirm_own_read(sent_at);
    }

    /// Times of the next watch.
    fn watch_times(&self) -> WatchTimes {
        let limits = self.limits();
        if self.contact.is_following() {
            return self.contact.overdue_read_times(&limits);
        }
        let now = self.clock.now();
        let mut times = self
            .contact
            .watch_times(now, self.next_grace_end(), &limits);
        times.wait = self.contents.confirmation.limit_wait(times.wait);
        let has_followers = self.readers.is_reader() || *self.followers.borrow() > 0;
        if has_followers && limits.allows_following() {
            let age = self.contents.view_age().unwrap_or_default();
            times.wait = times.wait.min(limits.relaying_wait(age));
        }
        times
    }

    /// Reads the registry for the first time, or takes another node's snapshot if that arrives first.
    async fn first_read(&mut self) -> Result<(), RegistryError> {
        let sent_at = self.contents.confirmation.now();
        tokio::select! {
            listing = self.contents.registry.list(self.call_timeout()) => {
                let listing = listing?;
                self.apply_own_listing(listing, sent_at);
            }
            snapshot = self.await_peer_snapshot() => {
                let reason = "another node answered before the first listing".to_owned();
                self.record_failure(&RegistryError::Unavailable { reason });
                self.apply_peer_snapshot(snapshot);
            }
        }
        Ok(())
    }

    /// Asks other nodes for a snapshot, from [`PEER_FALLBACK_DELAY`] on, until one has read anything.
    async fn await_peer_snapshot(&self) -> Snapshot {
        loop {
            tokio::time::sleep(PEER_FALLBACK_DELAY).await;
            if let Some(snapshot) = self.ask_contact().await
                && snapshot.revision > 0
            {
                return snapshot;
            }
        }
    }

    /// Asks a random other node for a snapshot that is newer than what this node has read.
    async fn ask_contact(&self) -> Option<Snapshot> {
        let contact = {
            let contacts = self.contacts.borrow();
            fastrand::choice(contacts.iter()).copied()?
        };
        let known = self.contents.latest_revision();
        match snapshot_exchange::request_snapshot(contact, known).await {
            Ok(snapshot) => {
                if snapshot.revision > known {
                    info!(self.log, "registry_relayed"; "by" => %contact, "from" => known,
                        "revision" => snapshot.revision, "items" => snapshot.items.len(),
                        "current" => snapshot.current);
                }
                Some(snapshot)
            }
            Err(fault) => {
                debug!(self.log, "snapshot_not_received"; "by" => %contact, "fault" => %fault);
                None
            }
        }
    }

    /// Applies another node's snapshot if it is newer. Entries whose grace period has ended are deregistered only if the
    /// other node currently reads the registry.
    fn apply_peer_snapshot(&mut self, snapshot: Snapshot) {
        let current = snapshot.current;
        if snapshot.revision > self.contents.latest_revision() {
            let revision = self.contents.revision;
            let rules = GraceRules::new(self.clock.now(), &self.contact, self.limits());
            self.contents.apply_snapshot(snapshot, rules);
            if self.contents.confirmation.is_required() || self.readers.is_relaying_fleet() {
                // Nodes don't pass on a configuration that they can't read. Changes since this node's own last read show it.
                self.contents.revision = revision;
            } else {
                self.contents.confirmation.record_peer_snapshot();
            }
        }
        if current {
            self.deregister_expired();
        }
    }

    fn record_failure(&mut self, fault: &RegistryError) {
        let event = match fault {
            // The first read of a follower does not wait, so that one that is cut has failed.
            RegistryError::Cut if !self.contact.is_following() => RegistryContactEvent::Cut,
            _ => RegistryContactEvent::Failed,
        };
        let change = self.contact.apply(self.clock.now(), event, &self.limits());
        if change == Some(RegistryState::Away) {
            warn!(self.log, "registry_lost"; "fault" => %fault, "revision" => self.contents.revision);
        } else {
            debug!(self.log, "registry_read_failed"; "fault" => %fault, "revision" => self.contents.revision);
        }
        // A cut watch alone says nothing about the registry, but other nodes must not trust one that reads nothing.
        let is_away = self.contact.state() == RegistryState::Away;
        if event == RegistryContactEvent::Failed || is_away {
            self.contents.items.send_modify(KnownItems::record_failure);
        }
    }

    fn record_success(&mut self) {
        let before = self.contact.state();
        let now = self.clock.now();
        self.contact
            .apply(now, RegistryContactEvent::Read, &self.limits());
        self.handle_regained_contact(before);
        self.readers.handle_read(now);
        self.last_own_read = now;
    }

    /// Limits the grace periods of entries that were missing before an outage, if this read has ended one.
    pub(crate) fn handle_regained_contact(&mut self, before: RegistryState) {
        if before == RegistryState::Away {
            info!(self.log, "registry_regained"; "revision" => self.contents.revision);
            let latest = self.contact.recovery_until();
            self.contents.entries.limit_grace(latest);
        }
    }
}

//! The part of the registry watcher that follows a reader instead of the store.
//!
//! One rule covers every failure of the reader and of the link to it: a follower whose view is confirmed only as of a time
//! that is too long ago reads the store itself, and then follows another reader.

use crate::{
    clock::sleep_until_some,
    prelude::*,
    reader_polls::{self, PolledReply, ReaderPolls},
    registry::Registry,
    registry_contents::GraceRules,
    registry_watcher::RegistryWatcher,
};
use std::io;
use tokio::time::Instant;

/// Longest random delay before a follower that has lost its reader reads the store. When all readers fail at once, the
/// followers must not all call the store at the same moment.
const MAX_READ_SPREAD: Duration = Duration::from_millis(200);

/// Something that a follower acts on.
enum FollowEvent {
    /// The reader has replied to the last poll.
    Replied(PolledReply),
    /// The connection failed.
    Lost(io::Error),
    /// No reply has confirmed the view for too long.
    ViewTooOld,
    /// The grace period of at least one missing entry is over.
    GraceEnded,
    /// The reader may no longer be the one to follow.
    FleetChanged,
    /// The settings have changed.
    LimitsChanged,
}

/// Why a follower stops following its reader and reads the store.
#[derive(Debug)]
enum FollowFault {
    /// The connection failed.
    Lost(io::Error),
    /// No reply has confirmed the view for too long.
    ViewTooOld,
    /// The reader's last read of the store failed.
    ReaderFailing,
    /// The reader does not say how old its view is.
    Unconfirmed,
}

impl FollowFault {
    /// Name in logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Lost(_) => "lost",
            Self::ViewTooOld => "view_too_old",
            Self::ReaderFailing => "reader_failing",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

impl<R: Registry> RegistryWatcher<R> {
    /// Polls the reader until its followers must read the store, or it is no longer the one to follow.
    pub(crate) async fn follow(&mut self, reader: SocketAddr) {
        info!(self.log, "registry_following"; "reader" => %reader, "revision" => self.contents.revision);
        let mut polls = ReaderPolls::start(reader, self.contents.confirmation.clock());
        polls.send(self.next_poll(Duration::ZERO));
        self.apply_limits();
        let fault = loop {
            match self.next_follow_event(&mut polls).await {
                FollowEvent::Replied(reply) => match self.handle_reply(reader, reply) {
                    Ok(()) => polls.send(self.next_poll(self.limits().max_view_age)),
                    Err(fault) => break fault,
                },
                FollowEvent::Lost(fault) => break FollowFault::Lost(fault),
                FollowEvent::ViewTooOld => break FollowFault::ViewTooOld,
                FollowEvent::GraceEnded => self.deregister_expired(),
                FollowEvent::LimitsChanged => self.apply_limits(),
                FollowEvent::FleetChanged => {
                    self.update_fleet();
                    let source = self.readers.next_source(self.clock.now());
                    if source != RegistrySource::Reader(reader) {
                        info!(self.log, "registry_following_ended"; "reader" => %reader, "reason" => "fleet_changed");
                        return;
                    }
                }
            }
        };
        drop(polls);
        self.stop_following(reader, &fault).await;
    }

    /// Applies the limits in force to the following. A node that is reloaded must keep its new bounds at once.
    fn apply_limits(&mut self) {
        let limits = *self.limits.borrow_and_update();
        self.view_age_limit = limits.view_age_limit(fastrand::f64());
        self.contents
            .confirmation
            .set_revoke_within(limits.revoke_within);
    }

    fn next_poll(&self, wait: Duration) -> RegistryPoll {
        RegistryPoll {
            after: self.contents.revision.unwrap_or(0),
            wait,
        }
    }

    async fn next_follow_event(&mut self, polls: &mut ReaderPolls) -> FollowEvent {
        let deadline = Instant::now() + self.view_time_left();
        let grace_end = self.next_grace_end().map(|end| self.clock.instant(end));
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(deadline) => FollowEvent::ViewTooOld,
            () = sleep_until_some(grace_end) => FollowEvent::GraceEnded,
            reply = polls.next_reply() => match reply {
                Ok(reply) => FollowEvent::Replied(reply),
                Err(fault) => FollowEvent::Lost(fault),
            },
            () = wait_for_change(&mut self.fleet) => FollowEvent::FleetChanged,
            () = wait_for_change(&mut self.limits) => FollowEvent::LimitsChanged,
        }
    }

    /// Time until the view is so old that this node must read the store.
    fn view_time_left(&self) -> Duration {
        let age = self.contents.view_age();
        age.map_or(Duration::ZERO, |age| {
            self.view_age_limit.saturating_sub(age)
        })
    }

    async fn stop_following(&mut self, reader: SocketAddr, fault: &FollowFault) {
        let age_ms = self.contents.view_age().map(|age| age.as_millis() as u64);
        let detail = match fault {
            FollowFault::Lost(fault) => fault.to_string(),
            _ => String::new(),
        };
        info!(self.log, "registry_following_ended"; "reader" => %reader, "reason" => fault.name(),
            "view_age_ms" => age_ms, "fault" => detail);
        self.metrics.record_registry_poll(fault.name());
        let now = self.clock.now();
        match fault {
            FollowFault::Lost(_) => self.readers.handle_reader_lost(now),
            _ => self.readers.handle_expiry(now),
        }
        if self.readers.state() == RegistrySourceState::Overdue {
            self.delay_own_read().await;
        }
    }

    /// Waits before a read of the store, but not longer than until the view is too old. The random part spreads the calls of
    /// followers that lose the same reader; the interval keeps a follower that loses one reader after the other from calling
    /// the store more often than a reader does.
    async fn delay_own_read(&mut self) {
        let spread = MAX_READ_SPREAD.mul_f64(fastrand::f64());
        let earliest = self.last_own_read + self.limits().interval;
        let delay = spread.max(earliest.since(self.clock.now()));
        self.sleep(delay.min(self.view_time_left())).await;
    }

    /// Applies a reply if it is not older than what this node knows.
    fn handle_reply(&mut self, reader: SocketAddr, polled: PolledReply) -> Result<(), FollowFault> {
        let PolledReply { reply, timing } = polled;
        if !reply.snapshot.current {
            return Err(FollowFault::ReaderFailing);
        }
        let read_at = reply.ages.view_ms.and_then(|age| timing.time_of(age));
        let read_at = read_at.ok_or(FollowFault::Unconfirmed)?;
        if reply.snapshot.revision < self.contents.latest_revision() {
            // The reader has not read yet what this node has read.
            self.metrics.record_registry_poll("behind");
            return Ok(());
        }
        self.apply_reply(reader, reply, read_at, timing);
        Ok(())
    }

    /// Applies what a reader has read. It counts as a read of the registry by this node.
    fn apply_reply(
        &mut self,
        reader: SocketAddr,
        reply: RegistryReply,
        read_at: BootTime,
        timing: PollTiming,
    ) {
        self.log_reply(reader, &reply, read_at);
        self.metrics.record_registry_poll("confirmed");
        let recovery = Duration::from_millis(reply.ages.recovery_ms.into());
        let read = RelayedRead {
            read_at: self.timestamp_of(read_at),
            recovery_until: self.timestamp_of(timing.sent_at + recovery),
        };
        let before = self.contact.state();
        self.contact
            .apply_relayed(self.clock.now(), read, &self.limits());
        self.handle_regained_contact(before);
        let configuration_age = reply.ages.configuration_ms;
        let rules = GraceRules::new(self.clock.now(), &self.contact, self.limits());
        self.contents.apply_reply(reply, rules);
        self.deregister_expired();
        let configuration_at = configuration_age.and_then(|age| timing.time_of(age));
        if let Some(at) = configuration_at {
            self.contents.confirm_configuration(at);
        }
        self.confirm_view(read_at);
        self.readers.handle_relayed_read(self.clock.now());
    }

    fn log_reply(&self, reader: SocketAddr, reply: &RegistryReply, read_at: BootTime) {
        let RegistryReply {
            snapshot, removals, ..
        } = reply;
        if snapshot.items.is_empty() && removals.is_empty() {
            return;
        }
        let age = self.contents.confirmation.now().since(read_at);
        info!(self.log, "registry_reply_applied"; "reader" => %reader, "from" => self.contents.revision,
            "revision" => snapshot.revision, "written" => snapshot.items.len(), "removed" => removals.len(),
            "all_items" => !reply.changes_only, "age_ms" => age.as_millis() as u64);
    }

    /// Time on the clock that grace periods are measured with.
    fn timestamp_of(&self, at: BootTime) -> Timestamp {
        let (now, boot_now) = (self.clock.now(), self.contents.confirmation.now());
        now + at.since(boot_now) - boot_now.since(at)
    }

    /// Polls a random reader while this node can't read the store. Returns whether the reply counts as a read: the reader
    /// has read the store after this node's reads began to fail, and recently.
    pub(crate) async fn poll_any_reader(&mut self) -> bool {
        let Some(reader) = fastrand::choice(self.readers.readers()).copied() else {
            return false;
        };
        let clock = self.contents.confirmation.clock();
        let after = self.contents.revision.unwrap_or(0);
        let polled = match reader_polls::poll_once(reader, after, clock).await {
            Ok(polled) => polled,
            Err(fault) => {
                debug!(self.log, "registry_poll_failed"; "reader" => %reader, "fault" => %fault);
                return false;
            }
        };
        if !self.counts_as_read(&polled) {
            return false;
        }
        self.handle_reply(reader, polled).is_ok()
    }

    fn counts_as_read(&self, polled: &PolledReply) -> bool {
        let ages = polled.reply.ages;
        let Some(read_at) = ages.view_ms.and_then(|age| polled.timing.time_of(age)) else {
            return false;
        };
        let age = self.contents.confirmation.now().since(read_at);
        polled.reply.snapshot.revision >= self.contents.latest_revision()
            && age < self.limits().max_view_age
            && self.contact.is_after_failures(self.timestamp_of(read_at))
    }
}

/// Waits until the value changes, or for ever if nobody can change it any more.
async fn wait_for_change<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

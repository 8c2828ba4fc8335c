//! The task that follows a registry and tells the decisions what changes.

use crate::{
    forward_task::{ForwardMessage, ForwardSender},
    prelude::*,
    registry::{Change, Changes, Document, Listing, Registry, RegistryFault},
};
use std::collections::{BTreeSet, HashSet};
use tokio::time::Instant;

/// First wait after a failed read.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest wait after failed reads.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Longest wait after failed reads of a node that has read nothing yet and therefore answers nothing.
const MAX_FIRST_RETRY: Duration = Duration::from_millis(200);

/// Wait of the first watch after a failure. It must show soon whether the registry answers again; a long one that is lost
/// as well would hide its return.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest time between two watches while entries come back after a failure or a start.
const RETURN_PACE: Duration = Duration::from_millis(250);

/// Entries that vanish together and are taken as lapsed: more than this many, and more than this share of all.
const LAPSED_TOGETHER: (usize, f64) = (2, 0.1);

/// How the registry is followed.
#[derive(Clone, Copy, Debug)]
pub struct WatchTerms {
    /// Longest wait of one watch. A connection that has gone silent is noticed a little later.
    pub wait: Duration,
    /// Time between two watches, so that many changes cost few reads.
    pub pace: Duration,
    /// Time after the registry's return within which entries that lapsed meanwhile come back.
    pub return_grace: Duration,
}

/// Follows a registry.
#[derive(Debug)]
pub struct RegistryWatcher<R> {
    registry: R,
    terms: WatchTerms,
    forward: ForwardSender,
    log: Logger,
    /// Instances with an entry.
    known: HashSet<Arc<str>>,
    zones_out: BTreeSet<Arc<str>>,
    /// Instances whose entries were missing when the registry returned from a failure.
    missing: HashSet<Arc<str>>,
    /// When they are taken as gone.
    missing_until: Instant,
    /// Revision to watch from; `None` before the first listing and after a lost history.
    revision: Option<u64>,
    failing: bool,
}

impl<R: Registry> RegistryWatcher<R> {
    /// A watcher that has read nothing.
    pub fn new(registry: R, terms: WatchTerms, forward: ForwardSender, log: Logger) -> Self {
        Self {
            registry,
            terms,
            forward,
            log,
            known: HashSet::new(),
            zones_out: BTreeSet::new(),
            missing: HashSet::new(),
            missing_until: Instant::now(),
            revision: None,
            failing: false,
        }
    }

    /// Follows the registry for the life of the process.
    pub async fn run(mut self) {
        let mut retry = FIRST_RETRY;
        loop {
            let wait = match self.read().await {
                Ok(()) => {
                    retry = FIRST_RETRY;
                    self.pace()
                }
                Err(RegistryFault::HistoryLost) => {
                    warn!(self.log, "registry_history_lost"; "revision" => self.revision);
                    self.revision = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    self.failed(&fault);
                    retry = (retry * 2).min(MAX_RETRY);
                    if self.known.is_empty() {
                        retry.min(MAX_FIRST_RETRY)
                    } else {
                        retry
                    }
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    async fn read(&mut self) -> Result<(), RegistryFault> {
        match self.revision {
            None => {
                let listing = self.registry.list().await?;
                self.regained();
                self.listed(listing);
            }
            Some(revision) => {
                let wait = self.next_wait();
                let changes = self.registry.watch(revision, wait).await?;
                self.regained();
                self.changed(changes);
            }
        }
        self.drop_missing();
        Ok(())
    }

    fn pace(&self) -> Duration {
        let returning = Instant::now() < self.missing_until;
        if returning {
            self.terms.pace.min(RETURN_PACE)
        } else {
            self.terms.pace
        }
    }

    /// Waits no longer than until missing entries are taken as gone, and shortly after a failure.
    fn next_wait(&self) -> Duration {
        if self.failing {
            return FIRST_WAIT;
        }
        if self.missing.is_empty() {
            return self.terms.wait;
        }
        let left = self.missing_until.saturating_duration_since(Instant::now());
        left.min(self.terms.wait)
    }

    fn failed(&mut self, fault: &RegistryFault) {
        if !self.failing {
            warn!(self.log, "registry_lost"; "fault" => %fault, "revision" => self.revision);
        }
        self.failing = true;
    }

    fn regained(&mut self) {
        if self.failing {
            info!(self.log, "registry_regained"; "revision" => self.revision);
            self.failing = false;
            self.missing_until = Instant::now() + self.terms.return_grace;
        }
    }

    fn listed(&mut self, listing: Listing) {
        self.revision = Some(listing.revision);
        let mut seen = HashSet::new();
        let mut zones_out = BTreeSet::new();
        for document in listing.documents {
            match &document {
                Document::Upstream(entry) => {
                    seen.insert(Arc::clone(&entry.instance));
                }
                Document::ZoneOut(zone) => {
                    zones_out.insert(Arc::clone(zone));
                }
                _ => {}
            }
            self.written(document);
        }
        if zones_out != self.zones_out {
            self.set_zones(zones_out);
        }
        let gone: Vec<_> = self.known.difference(&seen).map(Arc::clone).collect();
        for instance in gone {
            self.entry_gone(instance);
        }
    }

    fn changed(&mut self, changes: Changes) {
        self.revision = Some(changes.revision);
        let gone = |change: &&Change| matches!(change, Change::UpstreamGone(_));
        let gone = changes.changes.iter().filter(gone).count();
        let (count, share) = LAPSED_TOGETHER;
        if gone > count && gone as f64 > share * self.known.len() as f64 {
            // The registry may have been away without a failed read, and many entries lapsed meanwhile.
            warn!(self.log, "entries_vanished_together"; "gone" => gone, "known" => self.known.len());
            self.missing_until = Instant::now() + self.terms.return_grace;
        }
        for change in changes.changes {
            match change {
                Change::Written(document) => self.written(document),
                Change::UpstreamGone(instance) => self.entry_gone(instance),
                Change::ZoneBack(zone) => {
                    let mut zones = self.zones_out.clone();
                    zones.remove(&zone);
                    self.set_zones(zones);
                }
            }
        }
    }

    fn written(&mut self, document: Document) {
        match document {
            Document::Configuration(table) => self.tell(ForwardEvent::Configured(table)),
            Document::ZoneOut(zone) => {
                let mut zones = self.zones_out.clone();
                if zones.insert(zone) {
                    self.set_zones(zones);
                }
            }
            Document::Upstream(entry) => {
                self.known.insert(Arc::clone(&entry.instance));
                self.missing.remove(&entry.instance);
                self.tell(ForwardEvent::Registered(entry));
            }
            Document::Unreadable { instance, reason } => {
                warn!(self.log, "entry_unreadable"; "instance" => &*instance, "reason" => reason);
                self.entry_gone(instance);
            }
            Document::UnreadableConfiguration { reason } => {
                error!(self.log, "configuration_unreadable"; "reason" => reason);
            }
        }
    }

    /// Takes an entry as gone, unless the registry has just come back: then it may only have lapsed.
    fn entry_gone(&mut self, instance: Arc<str>) {
        if !self.known.contains(&instance) {
            return;
        }
        if Instant::now() < self.missing_until {
            self.missing.insert(instance);
        } else {
            self.forget(&instance);
        }
    }

    fn drop_missing(&mut self) {
        if Instant::now() < self.missing_until {
            return;
        }
        for instance in std::mem::take(&mut self.missing) {
            self.forget(&instance);
        }
    }

    fn forget(&mut self, instance: &Arc<str>) {
        self.known.remove(instance);
        self.tell(ForwardEvent::Deregistered(Arc::clone(instance)));
    }

    fn set_zones(&mut self, zones: BTreeSet<Arc<str>>) {
        let names: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
        info!(self.log, "zones_out_changed"; "zones" => names.join(","));
        self.zones_out.clone_from(&zones);
        self.tell(ForwardEvent::ZonesOut(zones));
    }

    fn tell(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

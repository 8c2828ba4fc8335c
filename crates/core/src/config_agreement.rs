//! Which configuration version is in force, and whether it is confirmed recently enough to accept new work.

use crate::{
    freshness_chart::{
        FreshnessAction, FreshnessEvent, FreshnessGuard, FreshnessMachine, FreshnessState,
    },
    prelude::*,
};
use slotmap::SecondaryMap;

/// Time after which an unanswered request for a document is repeated.
const ENVELOPE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Limits of an agreement.
#[derive(Clone, Copy, Debug)]
pub struct ConfigAgreementSettings {
    /// Time for which a confirmation holds, F.
    pub freshness: Duration,
    /// Longest wait of a fresh start for peers that it can't reach.
    pub join_wait: Duration,
    /// Version below which no bundle is accepted.
    pub min_version: u64,
}

/// Input of an agreement.
///
/// `asked` is the time at which this node asked. A statement was made after it, so that one that waited in a queue or
/// in a socket while the process was paused counts as old.
#[derive(Clone, Copy, Debug)]
pub enum ConfigAgreementInput {
    /// The platform's newest bundle has this version; 0 if it holds none.
    PlatformVersion {
        /// Version of the approved bundle.
        version: u64,
        /// When this node asked.
        asked: Timestamp,
    },
    /// A peer report which version is in force at it; 0 if none.
    PeerVersion {
        /// The peer.
        peer: PeerKey,
        /// Version in force.
        version: u64,
        /// When this node asked.
        asked: Timestamp,
    },
    /// The link to a peer ended.
    PeerDisconnected(PeerKey),
    /// An approved bundle is at hand, from the platform or a peer.
    BundleAvailable {
        /// Its version.
        version: u64,
        /// Digest of its manifest.
        digest: Digest,
    },
    /// The published list changed, or time passed.
    Reevaluate,
}

/// Output of an agreement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigAgreementOutput {
    /// Put the offered bundle in force.
    Adopt(u64),
    /// The offered bundle has the version in force but another digest; it stays out.
    Conflict(u64),
    /// Ask a peer for its envelope.
    RequestEnvelope {
        /// The peer.
        peer: PeerKey,
        /// Version that the peer report.
        version: u64,
    },
    /// New work may be accepted until this time.
    FreshUntil(Timestamp),
    /// New work is refused.
    Lapsed,
}

/// The configuration version in force and its confirmations.
#[derive(Debug)]
pub struct ConfigAgreement {
    chart: Chart<FreshnessMachine>,
    settings: ConfigAgreementSettings,
    state: FreshnessState,
    started_at: Timestamp,
    /// Whether the end of the join wait has been taken into account.
    join_wait_over: bool,
    /// Never decreases; 0 until a bundle is in force.
    version: u64,
    digest: Option<Digest>,
    platform_report: Option<VersionReport>,
    peer_reports: SecondaryMap<PeerKey, VersionReport>,
    /// Peer that was asked last for its documents, and when.
    pending_request: Option<(PeerKey, Timestamp)>,
    /// Never decreases.
    fresh_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct VersionReport {
    version: u64,
    asked: Timestamp,
}

impl ConfigAgreement {
    /// The agreement of a fresh start.
    ///
    /// # Errors
    ///
    /// A faulty state chart.
    pub fn new(settings: ConfigAgreementSettings, now: Timestamp) -> Result<Self, ChartError> {
        let chart = Chart::load()?;
        Ok(Self {
            state: chart.initial(),
            chart,
            settings,
            started_at: now,
            join_wait_over: false,
            version: 0,
            digest: None,
            platform_report: None,
            peer_reports: SecondaryMap::new(),
            pending_request: None,
            fresh_until: Timestamp::ZERO,
        })
    }

    /// Version in force; 0 if none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether new work may be accepted.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.state == FreshnessState::Fresh && now < self.fresh_until
    }

    /// Whether the last confirmation of the platform holds.
    pub fn is_confirmed_by_platform(&self, now: Timestamp) -> bool {
        self.platform_confirmed_until()
            .is_some_and(|until| now < until)
    }

    /// Handles one input and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        input: ConfigAgreementInput,
        outputs: &mut Vec<ConfigAgreementOutput>,
    ) {
        match input {
            ConfigAgreementInput::PlatformVersion { version, asked } => {
                self.platform_report = Some(VersionReport { version, asked });
            }
            ConfigAgreementInput::PeerVersion {
                peer,
                version,
                asked,
            } => {
                self.peer_reports
                    .insert(peer, VersionReport { version, asked });
            }
            ConfigAgreementInput::PeerDisconnected(peer) => self.remove_peer(peer),
            ConfigAgreementInput::BundleAvailable { version, digest } => {
                self.offer_bundle(version, digest, outputs);
            }
            ConfigAgreementInput::Reevaluate => {}
        }
        self.join_wait_over = now >= self.started_at + self.settings.join_wait;
        self.request_newer_envelope(now, outputs);
        self.update_freshness(now, fleet, outputs);
    }

    /// Earliest time at which [`ConfigAgreementInput::Reevaluate`] may change something.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let requested = self
            .pending_request
            .map(|(_, at)| at + ENVELOPE_REQUEST_INTERVAL);
        let state = match self.state {
            // Afterwards only an input can change the state; a time that has passed would wake the caller without end.
            FreshnessState::Joining if self.join_wait_over => None,
            FreshnessState::Joining => Some(self.started_at + self.settings.join_wait),
            FreshnessState::Fresh => Some(self.fresh_until),
            FreshnessState::Lapsed => None,
        };
        [requested, state].into_iter().flatten().min()
    }

    fn remove_peer(&mut self, peer: PeerKey) {
        self.peer_reports.remove(peer);
        if self.pending_request.is_some_and(|(asked, _)| asked == peer) {
            self.pending_request = None;
        }
    }

    fn offer_bundle(
        &mut self,
        version: u64,
        digest: Digest,
        outputs: &mut Vec<ConfigAgreementOutput>,
    ) {
        if version < self.settings.min_version {
            return;
        }
        if version == self.version && self.digest != Some(digest) {
            outputs.push(ConfigAgreementOutput::Conflict(version));
        }
        if version > self.version {
            self.version = version;
            self.digest = Some(digest);
            self.pending_request = None;
            outputs.push(ConfigAgreementOutput::Adopt(version));
        }
    }

    /// Asks the peers that have a higher version in turn, the highest first, so that one that says a version and
    /// doesn't deliver it holds up nobody.
    fn request_newer_envelope(&mut self, now: Timestamp, outputs: &mut Vec<ConfigAgreementOutput>) {
        let waiting = self
            .pending_request
            .is_some_and(|(_, at)| now.since(at) < ENVELOPE_REQUEST_INTERVAL);
        if waiting {
            return;
        }
        let mut newer: Vec<_> = self
            .peer_reports
            .iter()
            .filter(|(_, report)| {
                report.version
                    > self
                        .version
                        .max(self.settings.min_version.saturating_sub(1))
            })
            .map(|(peer, report)| (report.version, peer))
            .collect();
        newer.sort_unstable_by(|a, b| b.cmp(a));
        let asked = self
            .pending_request
            .and_then(|(asked, _)| newer.iter().position(|(_, peer)| *peer == asked));
        let next = asked.map_or(0, |position| (position + 1) % newer.len());
        self.pending_request = newer.get(next).map(|(_, peer)| (*peer, now));
        if let Some(&(version, peer)) = newer.get(next) {
            outputs.push(ConfigAgreementOutput::RequestEnvelope { peer, version });
        }
    }

    fn update_freshness(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        outputs: &mut Vec<ConfigAgreementOutput>,
    ) {
        let until = self
            .platform_confirmed_until()
            .max(self.majority_confirmed_until(fleet));
        let until = until.filter(|until| now < *until);
        let event = match until {
            Some(_) => FreshnessEvent::Confirmed,
            None => FreshnessEvent::Expired,
        };
        let joined = self.is_joined(now, fleet);
        let step = self.chart.step(self.state, event, |guard| match guard {
            FreshnessGuard::Joined => joined,
        });
        self.state = step.next;
        for action in step.actions {
            match action {
                FreshnessAction::Lapse => outputs.push(ConfigAgreementOutput::Lapsed),
                FreshnessAction::Grant => {
                    if let Some(until) = until.filter(|until| *until > self.fresh_until) {
                        self.fresh_until = until;
                        outputs.push(ConfigAgreementOutput::FreshUntil(until));
                    }
                }
            }
        }
    }

    /// End of the platform's confirmation. A higher version confirms once it is in force; a lower one never does.
    fn platform_confirmed_until(&self) -> Option<Timestamp> {
        let confirmed = self
            .platform_report
            .filter(|report| self.confirms(*report))?;
        Some(confirmed.asked + self.settings.freshness)
    }

    /// End of the confirmation by a majority: the time at which the first of its newest reports is too old.
    fn majority_confirmed_until(&self, fleet: &Fleet) -> Option<Timestamp> {
        let peers_needed = fleet.peers_for_majority()?;
        let mut asked: Vec<_> = self
            .peer_reports
            .iter()
            .filter(|(peer, report)| fleet.is_published_peer(*peer) && self.confirms(**report))
            .map(|(_, report)| report.asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked
            .get(peers_needed - 1)
            .map(|asked| *asked + self.settings.freshness)
    }

    fn confirms(&self, report: VersionReport) -> bool {
        self.version > 0 && report.version == self.version
    }

    /// Whether a fresh start has heard a majority and has the highest version heard, or has waited long enough.
    fn is_joined(&self, now: Timestamp, fleet: &Fleet) -> bool {
        if now.since(self.started_at) >= self.settings.join_wait {
            return true;
        }
        let Some(peers_needed) = fleet.peers_for_majority() else {
            return false;
        };
        let heard = self
            .peer_reports
            .keys()
            .filter(|peer| fleet.is_published_peer(*peer))
            .count();
        let highest = self
            .peer_reports
            .values()
            .map(|report| report.version)
            .max();
        heard >= peers_needed && highest.unwrap_or(0) <= self.version
    }
}

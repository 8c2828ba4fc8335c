//! Agrees on the active configuration version with the platform and the peers, and decides whether it was confirmed
//! recently enough to accept new work.

use crate::{
    freshness_chart::{
        FreshnessAction, FreshnessEvent, FreshnessGuard, FreshnessMachine, FreshnessState,
    },
    prelude::*,
};
use slotmap::SecondaryMap;

/// Time after which an unanswered request for an envelope is sent again, to the next peer that has a newer version.
const ENVELOPE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Parameters of a [`ConfigAgreement`].
#[derive(Clone, Copy, Debug)]
pub struct ConfigAgreementSettings {
    /// Time for which a confirmation is valid; F in the design.
    pub freshness: Duration,
    /// Longest time that a starting node waits for peers it can't reach.
    pub join_wait: Duration,
    /// Bundles with a lower version are not accepted.
    pub min_version: u64,
}

/// Event that a [`ConfigAgreement`] handles.
///
/// `asked` is the time at which this node sent its request. The answer's age counts from it, so that an answer that
/// waited in a queue or a socket while the process was paused counts as old.
#[derive(Clone, Copy, Debug)]
pub enum ConfigAgreementInput {
    /// The platform reported the version of its newest bundle.
    PlatformVersion {
        /// Version of the approved bundle; 0 if the platform has none.
        version: u64,
        /// When this node asked the platform.
        asked: Timestamp,
    },
    /// A peer reported its active version.
    PeerVersion {
        /// Peer that sent the report.
        peer: PeerKey,
        /// Version active at the peer; 0 if none.
        version: u64,
        /// When this node asked the peer.
        asked: Timestamp,
    },
    /// The link to a peer ended.
    PeerDisconnected(PeerKey),
    /// An approved bundle was received from the platform or a peer.
    BundleAvailable {
        /// Version of the bundle.
        version: u64,
        /// Digest of the bundle's manifest.
        digest: Digest,
    },
    /// The published list of nodes changed, or [`ConfigAgreement::next_wakeup`] has passed.
    Reevaluate,
}

/// What the caller has to do after an input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigAgreementOutput {
    /// Activate the received bundle, which has this version.
    Adopt(u64),
    /// Report that the received bundle has the active version but another digest; it is not adopted.
    Conflict(u64),
    /// Request the envelope of a newer version.
    RequestEnvelope {
        /// Peer to request it from.
        peer: PeerKey,
        /// Version that the peer reported.
        version: u64,
    },
    /// Accept new work until this time.
    FreshUntil(Timestamp),
    /// Refuse new work, because no recent confirmation is left.
    Lapsed,
}

/// The active configuration version of this node and its confirmations by the platform and the peers.
#[derive(Debug)]
pub struct ConfigAgreement {
    chart: Chart<FreshnessMachine>,
    settings: ConfigAgreementSettings,
    state: FreshnessState,
    started_at: Timestamp,
    /// Whether the last input was handled after the end of the join wait.
    join_wait_over: bool,
    /// Active version; never decreases, and is 0 until a bundle has been adopted.
    version: u64,
    digest: Option<Digest>,
    platform_report: Option<VersionReport>,
    peer_reports: SecondaryMap<PeerKey, VersionReport>,
    /// Peer that was last asked for its envelope, and when.
    pending_request: Option<(PeerKey, Timestamp)>,
    /// End of the latest confirmation; never decreases.
    fresh_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct VersionReport {
    version: u64,
    asked: Timestamp,
}

impl ConfigAgreement {
    /// State of a node that has just started: no version is active, and it waits to join the fleet.
    ///
    /// # Errors
    ///
    /// If the freshness state chart is invalid.
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

    /// Active version; 0 if none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether new work may be accepted at this time.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.state == FreshnessState::Fresh && now < self.fresh_until
    }

    /// Whether the platform's latest confirmation is still valid.
    pub fn is_confirmed_by_platform(&self, now: Timestamp) -> bool {
        self.platform_confirmed_until()
            .is_some_and(|until| now < until)
    }

    /// Handles one input and appends the resulting outputs.
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

    /// Earliest time at which [`ConfigAgreementInput::Reevaluate`] may have an effect.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let repeat_request_at = self
            .pending_request
            .map(|(_, at)| at + ENVELOPE_REQUEST_INTERVAL);
        let state_change_at = match self.state {
            // After the join wait only an input can change the state; returning the past time would make the caller
            // spin.
            FreshnessState::Joining if self.join_wait_over => None,
            FreshnessState::Joining => Some(self.started_at + self.settings.join_wait),
            FreshnessState::Fresh => Some(self.fresh_until),
            FreshnessState::Lapsed => None,
        };
        [repeat_request_at, state_change_at]
            .into_iter()
            .flatten()
            .min()
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

    /// Asks the peers with a newer version one after the other, highest version first, so that a peer that reports a
    /// version but does not deliver it delays no other.
    fn request_newer_envelope(&mut self, now: Timestamp, outputs: &mut Vec<ConfigAgreementOutput>) {
        let is_pending = self
            .pending_request
            .is_some_and(|(_, at)| now.since(at) < ENVELOPE_REQUEST_INTERVAL);
        if is_pending {
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
        let last_asked = self
            .pending_request
            .and_then(|(asked, _)| newer.iter().position(|(_, peer)| *peer == asked));
        let next = last_asked.map_or(0, |position| (position + 1) % newer.len());
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

    /// End of the platform's confirmation. The platform confirms only the active version; a higher one counts once it
    /// has been adopted.
    fn platform_confirmed_until(&self) -> Option<Timestamp> {
        let confirmed = self
            .platform_report
            .filter(|report| self.confirms(*report))?;
        Some(confirmed.asked + self.settings.freshness)
    }

    /// End of the confirmation by a majority: when the oldest of the newest reports that make up the majority expires.
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

    /// Whether a starting node has reports from a majority and the highest reported version, or the join wait is over.
    fn is_joined(&self, now: Timestamp, fleet: &Fleet) -> bool {
        if now.since(self.started_at) >= self.settings.join_wait {
            return true;
        }
        let Some(peers_needed) = fleet.peers_for_majority() else {
            return false;
        };
        let reporting_peers = self
            .peer_reports
            .keys()
            .filter(|peer| fleet.is_published_peer(*peer))
            .count();
        let highest = self
            .peer_reports
            .values()
            .map(|report| report.version)
            .max();
        reporting_peers >= peers_needed && highest.unwrap_or(0) <= self.version
    }
}

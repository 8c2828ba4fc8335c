//! Which configuration version is in force, and whether it is confirmed recently enough to accept new work.

use crate::{
    freshness_chart::{
        FreshnessAction, FreshnessEvent, FreshnessGuard, FreshnessMachine, FreshnessState,
    },
    prelude::*,
};
use slotmap::SecondaryMap;

/// Time after which an unanswered request for a document is repeated.
const REQUEST_REPEAT: Duration = Duration::from_millis(500);

/// Limits of an agreement.
#[derive(Clone, Copy, Debug)]
pub struct AgreementSettings {
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
pub enum AgreementInput {
    /// The platform's newest bundle has this version; 0 if it holds none.
    Platform {
        /// Version of the approved bundle.
        version: u64,
        /// When this node asked.
        asked: Timestamp,
    },
    /// A peer said which version is in force at it; 0 if none.
    PeerSays {
        /// The peer.
        peer: PeerKey,
        /// Version in force.
        version: u64,
        /// When this node asked.
        asked: Timestamp,
    },
    /// The link to a peer ended.
    PeerGone(PeerKey),
    /// An approved bundle is at hand, from the platform or a peer.
    Offered {
        /// Its version.
        version: u64,
        /// Digest of its manifest.
        digest: Digest,
    },
    /// The published list changed, or time passed.
    Reconsider,
}

/// Output of an agreement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgreementOutput {
    /// Put the offered bundle in force.
    Adopt(u64),
    /// The offered bundle has the version in force but another digest; it stays out.
    Conflict(u64),
    /// Ask a peer for its envelope.
    Request {
        /// The peer.
        peer: PeerKey,
        /// Version that the peer said.
        version: u64,
    },
    /// New work may be accepted until this time.
    FreshUntil(Timestamp),
    /// New work is refused.
    Lapsed,
}

/// The configuration version in force and its confirmations.
#[derive(Debug)]
pub struct Agreement {
    chart: Chart<FreshnessMachine>,
    settings: AgreementSettings,
    state: FreshnessState,
    started: Timestamp,
    /// Whether the end of the join wait has been taken into account.
    join_wait_over: bool,
    /// Never decreases; 0 until a bundle is in force.
    version: u64,
    digest: Option<Digest>,
    platform: Option<Statement>,
    statements: SecondaryMap<PeerKey, Statement>,
    /// Peer that was asked last for its documents, and when.
    requested: Option<(PeerKey, Timestamp)>,
    /// Never decreases.
    granted: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    version: u64,
    asked: Timestamp,
}

impl Agreement {
    /// The agreement of a fresh start.
    ///
    /// # Errors
    ///
    /// A faulty state chart.
    pub fn new(settings: AgreementSettings, now: Timestamp) -> Result<Self, ChartError> {
        let chart = Chart::load()?;
        Ok(Self {
            state: chart.initial(),
            chart,
            settings,
            started: now,
            join_wait_over: false,
            version: 0,
            digest: None,
            platform: None,
            statements: SecondaryMap::new(),
            requested: None,
            granted: Timestamp::ZERO,
        })
    }

    /// Version in force; 0 if none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether new work may be accepted.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.state == FreshnessState::Fresh && now < self.granted
    }

    /// Whether the last confirmation of the platform holds.
    pub fn is_platform_current(&self, now: Timestamp) -> bool {
        self.platform_until().is_some_and(|until| now < until)
    }

    /// Handles one input and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Timestamp,
        fleet: &Fleet,
        input: AgreementInput,
        outputs: &mut Vec<AgreementOutput>,
    ) {
        match input {
            AgreementInput::Platform { version, asked } => {
                self.platform = Some(Statement { version, asked });
            }
            AgreementInput::PeerSays {
                peer,
                version,
                asked,
            } => {
                self.statements.insert(peer, Statement { version, asked });
            }
            AgreementInput::PeerGone(peer) => self.peer_gone(peer),
            AgreementInput::Offered { version, digest } => self.offered(version, digest, outputs),
            AgreementInput::Reconsider => {}
        }
        self.join_wait_over = now >= self.started + self.settings.join_wait;
        self.request(now, outputs);
        self.step(now, fleet, outputs);
    }

    /// Earliest time at which [`AgreementInput::Reconsider`] may change something.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let requested = self.requested.map(|(_, at)| at + REQUEST_REPEAT);
        let state = match self.state {
            // Afterwards only an input can change the state; a time that has passed would wake the caller without end.
            FreshnessState::Joining if self.join_wait_over => None,
            FreshnessState::Joining => Some(self.started + self.settings.join_wait),
            FreshnessState::Fresh => Some(self.granted),
            FreshnessState::Lapsed => None,
        };
        [requested, state].into_iter().flatten().min()
    }

    fn peer_gone(&mut self, peer: PeerKey) {
        self.statements.remove(peer);
        if self.requested.is_some_and(|(asked, _)| asked == peer) {
            self.requested = None;
        }
    }

    fn offered(&mut self, version: u64, digest: Digest, outputs: &mut Vec<AgreementOutput>) {
        if version < self.settings.min_version {
            return;
        }
        if version == self.version && self.digest != Some(digest) {
            outputs.push(AgreementOutput::Conflict(version));
        }
        if version > self.version {
            self.version = version;
            self.digest = Some(digest);
            self.requested = None;
            outputs.push(AgreementOutput::Adopt(version));
        }
    }

    /// Asks the peers that have a higher version in turn, the highest first, so that one that says a version and
    /// doesn't deliver it holds up nobody.
    fn request(&mut self, now: Timestamp, outputs: &mut Vec<AgreementOutput>) {
        let waiting = self
            .requested
            .is_some_and(|(_, at)| now.since(at) < REQUEST_REPEAT);
        if waiting {
            return;
        }
        let mut newer: Vec<_> = self
            .statements
            .iter()
            .filter(|(_, said)| {
                said.version
                    > self
                        .version
                        .max(self.settings.min_version.saturating_sub(1))
            })
            .map(|(peer, said)| (said.version, peer))
            .collect();
        newer.sort_unstable_by(|a, b| b.cmp(a));
        let asked = self
            .requested
            .and_then(|(asked, _)| newer.iter().position(|(_, peer)| *peer == asked));
        let next = asked.map_or(0, |position| (position + 1) % newer.len());
        self.requested = newer.get(next).map(|(_, peer)| (*peer, now));
        if let Some(&(version, peer)) = newer.get(next) {
            outputs.push(AgreementOutput::Request { peer, version });
        }
    }

    fn step(&mut self, now: Timestamp, fleet: &Fleet, outputs: &mut Vec<AgreementOutput>) {
        let until = self.platform_until().max(self.majority_until(fleet));
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
                FreshnessAction::Lapse => outputs.push(AgreementOutput::Lapsed),
                FreshnessAction::Grant => {
                    if let Some(until) = until.filter(|until| *until > self.granted) {
                        self.granted = until;
                        outputs.push(AgreementOutput::FreshUntil(until));
                    }
                }
            }
        }
    }

    /// End of the platform's confirmation. A higher version confirms once it is in force; a lower one never does.
    fn platform_until(&self) -> Option<Timestamp> {
        let confirmed = self.platform.filter(|said| self.confirms(*said))?;
        Some(confirmed.asked + self.settings.freshness)
    }

    /// End of the confirmation by a majority: the time at which the first of its newest statements is too old.
    fn majority_until(&self, fleet: &Fleet) -> Option<Timestamp> {
        let needed = fleet.peers_for_majority()?;
        let mut asked: Vec<_> = self
            .statements
            .iter()
            .filter(|(peer, said)| fleet.is_published_peer(*peer) && self.confirms(**said))
            .map(|(_, said)| said.asked)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked
            .get(needed - 1)
            .map(|asked| *asked + self.settings.freshness)
    }

    fn confirms(&self, said: Statement) -> bool {
        self.version > 0 && said.version == self.version
    }

    /// Whether a fresh start has heard a majority and has the highest version heard, or has waited long enough.
    fn is_joined(&self, now: Timestamp, fleet: &Fleet) -> bool {
        if now.since(self.started) >= self.settings.join_wait {
            return true;
        }
        let Some(needed) = fleet.peers_for_majority() else {
            return false;
        };
        let heard = self
            .statements
            .keys()
            .filter(|peer| fleet.is_published_peer(*peer))
            .count();
        let highest = self.statements.values().map(|said| said.version).max();
        heard >= needed && highest.unwrap_or(0) <= self.version
    }
}

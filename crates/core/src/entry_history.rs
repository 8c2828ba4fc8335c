//! Decides which registry entries of an instance may be used, given the earlier ones.

use crate::prelude::*;
use std::collections::{HashMap, HashSet};

/// Why a complete entry is not used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryConflict {
    /// It names another service than the earlier entries of the same start. A process serves one service, so another
    /// writer left one of them, and requests must go to neither.
    OtherService,
    /// It is older than one of the same start that was read before. The later one stays in force.
    Outdated,
}

impl EntryConflict {
    /// Field of the entry that conflicts with the earlier ones.
    pub fn field(self) -> &'static str {
        match self {
            Self::OtherService => "service",
            Self::Outdated => "seq",
        }
    }
}

/// What one entry says about the process that wrote it.
#[derive(Clone, Debug)]
struct Claim {
    service: Arc<str>,
    started_at_ms: u64,
    seq: u64,
}

impl From<&UpstreamRegistration> for Claim {
    fn from(registration: &UpstreamRegistration) -> Self {
        Self {
            service: Arc::clone(&registration.upstream.service),
            started_at_ms: registration.upstream.started_at_ms,
            seq: registration.seq,
        }
    }
}

impl Claim {
    fn is_same_process(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms && self.service == other.service
    }
}

#[derive(Debug, Default)]
struct EntryHistory {
    accepted: Option<Claim>,
    /// Last entry since the accepted one, if it was not used.
    refused: Option<Claim>,
    is_refusal_reported: bool,
}

impl EntryHistory {
    fn check(&mut self, claim: Claim) -> Result<(), EntryConflict> {
        let conflict = self.conflict(&claim);
        if let Some(conflict) = conflict {
            self.refused = Some(claim);
            return Err(conflict);
        }
        self.accepted = Some(claim);
        self.refused = None;
        Ok(())
    }

    fn conflict(&self, claim: &Claim) -> Option<EntryConflict> {
        let accepted = self.accepted.as_ref()?;
        if accepted.started_at_ms != claim.started_at_ms {
            return None;
        }
        // If the accepted entry was the wrong one, the upstream's own entries contradict it for good. Two of them in a
        // row show that.
        let continues = |refused: &Claim| refused.is_same_process(claim) && refused.seq < claim.seq;
        if self.refused.as_ref().is_some_and(continues) {
            return None;
        }
        if accepted.service != claim.service {
            return Some(EntryConflict::OtherService);
        }
        (claim.seq < accepted.seq).then_some(EntryConflict::Outdated)
    }
}

/// Entries of all instances that the registry has a key for.
#[derive(Debug, Default)]
pub struct EntryHistories {
    by_instance: HashMap<Arc<str>, EntryHistory>,
}

impl EntryHistories {
    /// Checks an entry against the earlier ones of its instance.
    ///
    /// # Errors
    ///
    /// If it conflicts with them and must not be used.
    pub fn check(&mut self, registration: &UpstreamRegistration) -> Result<(), EntryConflict> {
        let instance = &registration.upstream.instance;
        self.history(instance).check(registration.into())
    }

    /// Records an entry that a reader has accepted, and that this node uses whatever it has read itself.
    pub fn record_accepted(&mut self, registration: &UpstreamRegistration) {
        let claim = Claim::from(registration);
        let history = self.history(&registration.upstream.instance);
        history.refused = None;
        let is_newer = |known: &Claim| known.is_same_process(&claim) && known.seq > claim.seq;
        if !history.accepted.as_ref().is_some_and(is_newer) {
            history.accepted = Some(claim);
        }
    }

    /// Records an entry that a reader has refused.
    pub fn record_refused(&mut self, registration: &UpstreamRegistration) {
        let history = self.history(&registration.upstream.instance);
        history.refused = Some(registration.into());
    }

    /// Notes that an entry of the instance was refused. Returns whether it is the first one under its key.
    pub fn note_refusal(&mut self, instance: &Arc<str>) -> bool {
        let history = self.history(instance);
        !std::mem::replace(&mut history.is_refusal_reported, true)
    }

    fn history(&mut self, instance: &Arc<str>) -> &mut EntryHistory {
        self.by_instance.entry(Arc::clone(instance)).or_default()
    }

    /// Forgets an instance whose key is gone.
    pub fn forget(&mut self, instance: &str) {
        self.by_instance.remove(instance);
    }

    /// Forgets all instances whose keys are not in the set.
    pub fn retain(&mut self, present: &HashSet<Arc<str>>) {
        self.by_instance
            .retain(|instance, _| present.contains(instance));
    }
}

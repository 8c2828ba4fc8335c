//! Workspaces of a published configuration: who callers are, and how much they may ask for.

use crate::prelude::*;
use std::{
    collections::HashMap,
    fmt::{self, Formatter},
};

/// Bytes of a key's digest by which candidates are found before the constant-time comparison.
const DIGEST_PREFIX_BYTES: usize = 8;

/// Hexadecimal digits of a key's digest that logs show.
const LOGGED_DIGITS: usize = 8;

/// Settings of one workspace.
#[derive(Clone)]
pub struct WorkspaceSettings {
    /// Name that upstreams receive, unique within its configuration.
    pub name: Arc<str>,
    /// Digests of the keys that authenticate its callers. That of the empty key authenticates nobody.
    pub keys: Vec<Digest>,
    /// Rank that replaces the route's, if any; 0 is the most urgent.
    pub rank: Option<u32>,
    /// Limit on its requests; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a workspace, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Workspaces of one configuration, found by the digests of their keys.
#[derive(Clone, Default)]
pub struct Workspaces {
    /// Addressed by [`WorkspaceIndex`].
    settings: Vec<WorkspaceSettings>,
    /// Key digests with their workspaces, by the first bytes of the digest.
    by_prefix: HashMap<[u8; DIGEST_PREFIX_BYTES], Vec<(Digest, WorkspaceIndex)>>,
}

/// Index of a workspace in the [`Workspaces`] that returned it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkspaceIndex(u32);

/// What a request says about its caller.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Credential {
    /// Nothing.
    Missing,
    /// Something that is no key, or more than one.
    Malformed,
    /// A key with this digest.
    Key(Digest),
}

/// On whose behalf a request is sent to upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity {
    /// The configuration has no workspaces: callers are not identified, and their header fields pass unchanged.
    Unchecked,
    /// The route is open to callers without a key, and this one has none that is known.
    Anonymous,
    /// The caller's key belongs to the workspace with this name.
    Workspace(Arc<str>),
}

impl Credential {
    /// Short form for logs: the first digits of the digest, which don't give the key away.
    pub fn log_id(&self) -> String {
        match self {
            Self::Missing => "none".to_owned(),
            Self::Malformed => "malformed".to_owned(),
            Self::Key(digest) => log_id(digest),
        }
    }
}

/// Writes what logs may show. A complete digest would allow to try out guessed keys.
impl Debug for Credential {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.log_id())
    }
}

/// Writes what logs may show of the keys.
impl Debug for WorkspaceSettings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let keys: Vec<_> = self.keys.iter().map(log_id).collect();
        f.debug_struct("WorkspaceSettings")
            .field("name", &self.name)
            .field("keys", &keys)
            .field("rank", &self.rank)
            .field("quota", &self.quota)
            .finish()
    }
}

/// Writes the workspaces without the index, which holds complete digests.
impl Debug for Workspaces {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.settings).finish()
    }
}

impl Workspaces {
    /// Indexes the workspaces by their keys. A key that several hold belongs to the first of them.
    pub fn new(settings: Vec<WorkspaceSettings>) -> Self {
        let mut by_prefix: HashMap<_, Vec<_>> = HashMap::new();
        let empty_key = Digest::of(b"");
        for (i, workspace) in settings.iter().enumerate() {
            for key in workspace.keys.iter().filter(|key| **key != empty_key) {
                let candidates = by_prefix.entry(prefix(key)).or_default();
                candidates.push((*key, WorkspaceIndex(i as u32)));
            }
        }
        Self {
            settings,
            by_prefix,
        }
    }

    /// Workspace that holds the key with this digest. Digests are compared in constant time.
    pub fn find(&self, key: &Digest) -> Option<WorkspaceIndex> {
        let candidates = self.by_prefix.get(&prefix(key))?;
        let holder = candidates
            .iter()
            .find(|(known, _)| known.is_equal_in_constant_time(key));
        holder.map(|(_, index)| *index)
    }

    /// The workspace at an index that [`Self::find`] returned.
    ///
    /// # Panics
    ///
    /// If the index is out of range, because it comes from another configuration.
    pub fn settings(&self, index: WorkspaceIndex) -> &WorkspaceSettings {
        &self.settings[index.0 as usize]
    }

    /// All workspaces, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &WorkspaceSettings> {
        self.settings.iter()
    }
}

fn log_id(digest: &Digest) -> String {
    digest.to_string()[..LOGGED_DIGITS].to_owned()
}

fn prefix(digest: &Digest) -> [u8; DIGEST_PREFIX_BYTES] {
    let mut prefix = [0; DIGEST_PREFIX_BYTES];
    prefix.copy_from_slice(&digest.0[..DIGEST_PREFIX_BYTES]);
    prefix
}

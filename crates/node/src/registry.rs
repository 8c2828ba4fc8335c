//! Interface to a platform's registry, which publishes the configuration and the upstreams.

use crate::prelude::*;

/// A registry whose items can be listed and watched. An implementation parses them; it makes no decisions.
pub trait Registry: 'static {
    /// Reads all items and the revision at which they were read. Each call that this takes fails after `timeout`.
    fn list(&self, timeout: Duration) -> impl Future<Output = Result<Snapshot, RegistryError>>;

    /// Waits for changes after the revision `after`.
    fn watch(
        &self,
        after: u64,
        times: WatchTimes,
    ) -> impl Future<Output = Result<Changes, RegistryError>>;

    /// Parses an item, from the registry or from another node's snapshot. `None` if the key is not one that nodes use.
    fn parse_item(&self, item: &PublishedItem) -> Option<RegistryDocument>;

    /// What the removal of the item with this key means. `None` if the key is not one that nodes use.
    fn parse_removal(&self, key: &str) -> Option<Removal>;
}

/// Result of one watch.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Revision from which to continue watching.
    pub revision: u64,
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
}

/// A change of one item.
#[derive(Clone, Debug)]
pub enum Change {
    /// The item was created or overwritten.
    Written(PublishedItem),
    /// The item with this key was deleted, or its lease expired.
    Removed(Arc<str>),
}

/// A parsed registry item.
#[derive(Clone, Debug)]
pub enum RegistryDocument {
    /// The current configuration.
    Configuration(Arc<RoutingTable>),
    /// A zone that operators have evacuated.
    EvacuatedZone(Arc<str>),
    /// Registration of an upstream.
    Upstream(UpstreamRegistration),
    /// An invalid registration, which is handled like a removed one.
    UnreadableUpstream {
        /// Instance that the key names.
        instance: Arc<str>,
        /// Field that is missing or invalid, or `entry` if the value is no entry at all.
        field: &'static str,
        /// What is invalid.
        reason: String,
    },
    /// An invalid configuration; the previous one stays in force.
    UnreadableConfiguration {
        /// What is invalid.
        reason: String,
    },
}

/// Meaning of an item's removal.
#[derive(Clone, Debug)]
pub enum Removal {
    /// Operators have put the zone back into service.
    ZoneRestored(Arc<str>),
    /// The registration of this instance was deleted or expired.
    UpstreamRemoved(Arc<str>),
    /// The configuration was deleted; the last one stays in force.
    ConfigurationRemoved,
}

/// Why a listing or watch failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum RegistryError {
    /// The registry no longer keeps the changes after the revision, so that it must be listed again.
    #[snafu(display("the registry no longer keeps the changes after this revision"))]
    HistoryLost,
    /// A reply exceeds the size limit. If it was that of a watch, a listing gets the state in pages.
    #[snafu(display("a reply of the registry exceeds the size limit"))]
    TooLarge,
    /// The connection was closed before a reply began, as happens to watches while they wait.
    #[snafu(display("the registry closed the connection of a call"))]
    Cut,
    /// The registry did not reply, or it replied with an error that may pass.
    #[snafu(display("registry unavailable: {reason}"))]
    Unavailable {
        /// Failure of the call, or the unexpected reply.
        reason: String,
    },
}

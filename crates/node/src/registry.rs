//! What a platform publishes, as the node reads it.

use crate::prelude::*;

/// A published source of configuration and upstreams that can be listed and watched.
pub trait Registry: 'static {
    /// Reads all items.
    fn list(&self) -> impl Future<Output = Result<Snapshot, RegistryError>>;

    /// Waits for changes after a revision, for `wait` at most.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, RegistryError>>;

    /// What an item holds, or `None` for items of others. Also reads what another node has passed on.
    fn parse_item(&self, item: &PublishedItem) -> Option<RegistryDocument>;

    /// What the end of the item with this key means, or `None` for items of others.
    fn parse_removal(&self, key: &str) -> Option<Removal>;
}

/// Changes in their order.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Revision from which to watch on.
    pub revision: u64,
    /// What changed.
    pub changes: Vec<Change>,
}

/// A change of one item.
#[derive(Clone, Debug)]
pub enum Change {
    /// It was written.
    Written(PublishedItem),
    /// The item with this key is gone.
    Removed(Arc<str>),
}

/// A published document.
#[derive(Clone, Debug)]
pub enum RegistryDocument {
    /// The newest configuration.
    Configuration(Arc<RoutingTable>),
    /// A zone that operators have taken out.
    EvacuatedZone(Arc<str>),
    /// An upstream's entry.
    Upstream(RegisteredUpstream),
    /// An entry of an upstream that can't be read and names none to use.
    UnreadableUpstream {
        /// Instance that it belongs to.
        instance: Arc<str>,
        /// What is wrong.
        reason: String,
    },
    /// A configuration that can't be read; the last one stays in force.
    UnreadableConfiguration {
        /// What is wrong.
        reason: String,
    },
}

/// The end of a document.
#[derive(Clone, Debug)]
pub enum Removal {
    /// The zone takes work again.
    ZoneRestored(Arc<str>),
    /// The entry of this instance is gone.
    UpstreamRemoved(Arc<str>),
}

/// Why the registry gave nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum RegistryError {
    /// The changes after the revision are no longer known; list again.
    #[snafu(display("the history after the revision is gone"))]
    HistoryLost,
    /// No reply, or one that says to come back.
    #[snafu(display("no answer: {reason}"))]
    Unavailable {
        /// What came instead.
        reason: String,
    },
}

//! What identifies a query of the demonstration.

use medlarpost_fakes::prelude::*;

/// A query: its text and the number of hits wanted. No two queries of a run agree in both.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueryKey {
    /// Query text.
    pub text: Arc<str>,
    /// Hits wanted; more than all shards return together, so that it changes nothing in the answer.
    pub limit: u32,
}

//! Identity of a query of the demonstration.

use medlarpost_fakes::prelude::*;

/// Identifies a query by its text and the number of hits wanted; no two queries of a run agree in both.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueryKey {
    /// Query text.
    pub text: Arc<str>,
    /// Number of hits wanted. It exceeds what all shards return together, so that it does not change the answer.
    pub limit: u32,
}

//! Guards against search queries that are late, misstate their coverage, mix index versions, or harm upstreams.

mod query_sim;

#[path = "searches/crash_requests.rs"]
mod crash_requests;
#[path = "searches/hedging.rs"]
mod hedging;
#[path = "searches/interleavings.rs"]
mod interleavings;
#[path = "searches/overload.rs"]
mod overload;
#[path = "searches/snapshots.rs"]
mod snapshots;
#[path = "searches/waiting.rs"]
mod waiting;

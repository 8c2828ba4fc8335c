//! Tests of the decisions about forwarded requests.

mod crash_requests;
mod decisions;
mod forward_bench;
mod replicas;
mod schedules;

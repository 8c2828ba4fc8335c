//! Tests of the forwarder, driven by events and a simulated clock.

mod at_most_once;
mod crash_requests;
mod decisions;
mod dry_runs;
mod extra_attempts;
mod forward_fixtures;
mod forward_harness;
mod give_ups;
mod identification;
mod notices;
mod overload;
mod peer_load;
mod quotas;
mod replicas;
mod reported_load;
mod schedules;
mod shutdown;
mod turns;

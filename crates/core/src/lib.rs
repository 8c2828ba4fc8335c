//! Decision logic of the medlarpost query tier, without sockets, clocks or a runtime.
//!
//! [`engine::Engine`] and [`forwarder::Forwarder`] take events and the time and return commands, which a front end
//! carries out. State machines are TOML charts that [`chart`] interprets.

#[macro_use]
pub mod chart;

pub mod admission;
pub mod answer;
pub mod bundle;
pub mod bundle_check;
pub mod bundle_diff;
pub mod chart_error;
pub mod command;
pub mod concurrency_limit;
pub mod config_agreement;
pub mod digest;
pub mod engine;
pub mod engine_statistics;
pub mod engine_status;
pub mod envelope;
pub mod envelope_error;
pub mod event;
pub mod extra_load_budget;
pub mod fair_queue;
pub mod fleet;
pub mod forward_chart;
pub mod forward_command;
pub mod forward_event;
pub mod forward_request;
pub mod forwarder;
pub mod freshness_chart;
pub mod hit_merger;
pub mod keys;
pub mod latency_histogram;
pub mod latency_window;
pub mod manifest;
pub mod membership;
pub mod news;
pub mod news_log;
pub mod node_chart;
pub mod prelude;
pub mod record_merge;
pub mod refusal;
pub mod registered_upstream;
pub mod rendezvous;
pub mod replica_chart;
pub mod replica_choice;
pub mod retry_budget;
pub mod routing;
pub mod search_quarantine;
pub mod send_denial;
pub mod snapshot;
pub mod ticket;
pub mod ticket_registry;
pub mod timestamp;
pub mod upstream_chart;
pub mod upstream_health;
pub mod upstream_limiter;
pub mod upstream_notice;
pub mod validation_error;
pub mod warm_up_ownership;

mod attempt;
mod booking;
mod bookings;
mod coverage;
mod forward_flow;
mod forward_replies;
mod forward_sends;
mod query;
mod replica;
mod reply_times;
mod request_quarantine;
mod search_admission;
mod search_answers;
mod search_attempt;
mod search_replies;
mod search_sends;
mod searches;
mod service_check;
mod service_state;
mod serving_check;
mod shard_progress;
mod timers;
mod upstream_member;
mod upstreams;
mod wait_queue;

//! The medlarpost node: tasks that own sockets and state around the decisions of `medlarpost-core`.

pub mod caller_api;
pub mod caller_json;
pub mod clock;
pub mod control_task;
pub mod engine_task;
pub mod forwarded_calls;
pub mod http_server;
pub mod key_value_drain;
pub mod link;
pub mod link_machine;
pub mod link_queue;
pub mod link_task;
pub mod metrics;
pub mod node;
pub mod node_error;
pub mod platform_client;
pub mod platform_watcher;
pub mod prelude;
pub mod problem;
pub mod recent_refusals;
pub mod relay;
pub mod settings;
pub mod status_json;
pub mod upstream_task;
pub mod workers;

mod admin_api;
mod connection_task;
mod link_dialler;
mod link_listener;
mod news_exchange;
mod peers;
mod redeem_calls;
mod upstream_http;

//! In-process stand-ins for the platform's configuration service and for upstreams. They speak the published protocols
//! over sockets.

pub mod deployment;
pub mod event_recorder;
pub mod fake_platform;
pub mod fake_upstream;
pub mod owner_keys;
pub mod platform_directory;
pub mod platform_listener;
pub mod prelude;
pub mod tcp_relay;
pub mod upstream_behaviour;
pub mod upstream_command;
pub mod upstream_life;
pub mod upstream_replies;
pub mod upstream_task;

mod upstream_api;
mod upstream_listener;

//! Implementation of `medlarctl`, the program for operators and testers: bundles, keys, status, load, the
//! demonstration, the soak and the fakes.

// First, because the macros that it defines are used by the other modules.
#[macro_use]
mod output;

pub mod answer_check;
pub mod invariant_violations;
pub mod observation;
pub mod query_id;
pub mod run_record;
pub mod soak_checks;
pub mod soak_history;
pub mod soak_keys;
pub mod soak_observation;

mod admin_client;
mod balancer;
mod booking_load;
mod bounded_file;
mod bundle_command;
mod bundle_files;
mod caller;
mod config_probe;
mod crash_caller;
mod ctl_error;
mod demo;
mod demo_command;
mod demo_report;
pub mod explain_command;
mod fake_commands;
mod fault;
mod fault_injector;
mod flags;
mod http_client;
mod keys_command;
mod load_command;
mod load_options;
mod load_report;
pub mod loopback_proxy;
mod measure_control;
mod mesh;
mod node_thread;
mod query_generator;
mod run;
mod schedule;
mod search_load;
mod secret;
mod soak_balancer;
mod soak_caller;
mod soak_command;
mod soak_configuration;
pub mod soak_fault;
mod soak_fault_steps;
mod soak_fleet;
mod soak_limits;
mod soak_options;
mod soak_process;
mod soak_report;
mod soak_request;
mod soak_run;
pub mod soak_schedule;
mod soak_upstreams;
mod status_command;
mod test_bed;
pub mod where_command;

pub use {
    demo::{DemoOptions, run_demo},
    demo_report::DemoReport,
    fault::Fault,
    run::run,
};

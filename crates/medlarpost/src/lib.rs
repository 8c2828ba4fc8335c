//! Program of the node: settings, signals and exit codes around `medlarpost-node`.

mod flags;
mod platform_run;
mod run;
mod setting_fault;
mod settings_reader;

pub use {
    run::run,
    setting_fault::SettingFault,
    settings_reader::{SettingsReader, read_settings},
};

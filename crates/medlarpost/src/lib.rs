//! The `medlarpost` program: settings, signals and exit codes around `medlarpost-node`.

mod flags;
mod platform_run;
mod run;
mod setting_error;
mod settings_reader;

pub use {
    run::run,
    setting_error::SettingError,
    settings_reader::{SettingsReader, read_settings},
};

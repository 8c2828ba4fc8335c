//! Faults of the settings.

use snafu::Snafu;

/// A setting that is missing or has a bad value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum SettingFault {
    /// No value.
    #[snafu(display("--{name} is missing; pass it or set {variable}"))]
    Missing {
        /// Flag without dashes.
        name: &'static str,
        /// Environment variable.
        variable: String,
    },
    /// One of two variables that belong together.
    #[snafu(display("{variable} is missing; set certificate and key, or neither"))]
    MissingVariable {
        /// Environment variable.
        variable: String,
    },
    /// PEM text that can't be used; it is not shown.
    #[snafu(display("{variable}: {fault}"))]
    Tls {
        /// Environment variable.
        variable: String,
        /// What was found and what to pass instead.
        fault: String,
    },
    /// A value of another form.
    #[snafu(display("--{name} is \"{value}\"; {remedy}"))]
    Invalid {
        /// Flag without dashes.
        name: &'static str,
        /// Value found; empty for secrets.
        value: String,
        /// What to pass instead.
        remedy: &'static str,
    },
}

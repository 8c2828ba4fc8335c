//! Errors in the settings.

use snafu::Snafu;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum SettingError {
    /// A required setting without a value.
    #[snafu(display("--{name} is missing; pass it or set {variable}"))]
    Missing {
        /// Name of the flag, without dashes.
        name: &'static str,
        /// Name of the environment variable that sets it, too.
        variable: String,
    },
    /// A TLS certificate without its key, or the reverse.
    #[snafu(display("{variable} is missing; set certificate and key, or neither"))]
    MissingVariable {
        /// Name of the missing environment variable.
        variable: String,
    },
    /// PEM text that can't be used; the message doesn't repeat it, since it may hold a private key.
    #[snafu(display("{variable}: {reason}"))]
    Tls {
        /// Name of the environment variable.
        variable: String,
        /// What is wrong with the text, and what to pass instead.
        reason: String,
    },
    /// A value that can't be parsed or is out of range.
    #[snafu(display("--{name} is \"{value}\"; {remedy}"))]
    Invalid {
        /// Name of the flag, without dashes.
        name: &'static str,
        /// The rejected value; empty for secrets, which must not be printed.
        value: String,
        /// What to pass instead.
        remedy: &'static str,
    },
}

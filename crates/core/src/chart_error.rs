//! Errors in a state chart file.

use crate::prelude::*;

/// Why a state chart file was rejected.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChartError {
    /// The text is not TOML or has fields that the chart format does not know.
    #[snafu(display(
        "chart is not valid TOML of the chart format: {source}; correct the file in the folder charts"
    ))]
    Syntax {
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// A name in the file has no variant in the vocabulary.
    #[snafu(display(
        "chart {chart}: unknown {kind} \"{name}\"; use a name from the machine's vocabulary"
    ))]
    UnknownName {
        /// Name of the chart, from the file.
        chart: String,
        /// `state`, `event`, `guard` or `action`; `states` or `events` for a declaration.
        kind: &'static str,
        /// Name as it stands in the file.
        name: String,
    },
    /// A variant of the vocabulary is not declared in the file.
    #[snafu(display("chart {chart}: \"{name}\" is missing from {kind}; declare it"))]
    Undeclared {
        /// Name of the chart, from the file.
        chart: String,
        /// `states` or `events`.
        kind: &'static str,
        /// Name that the file must declare.
        name: String,
    },
    /// A transition can never be taken, because one without a guard precedes it.
    #[snafu(display(
        "chart {chart}: transition from {state} on {event} can't be taken; put guarded transitions before the unguarded one"
    ))]
    Shadowed {
        /// Name of the chart, from the file.
        chart: String,
        /// State that the transition leaves.
        state: String,
        /// Event of the transition.
        event: String,
    },
    /// An event is neither handled nor ignored, or it is both.
    #[snafu(display(
        "chart {chart}: state {state} must either handle {event} with an unguarded last transition or ignore it"
    ))]
    Unhandled {
        /// Name of the chart, from the file.
        chart: String,
        /// State that lacks the event, or has it twice.
        state: String,
        /// Event to handle or to ignore.
        event: String,
    },
    /// No sequence of events leads to a state.
    #[snafu(display(
        "chart {chart}: state {state} can't be reached; add a transition or remove it"
    ))]
    Unreachable {
        /// Name of the chart, from the file.
        chart: String,
        /// State without a path from the initial one.
        state: String,
    },
}

//! `medlarctl explain`: prints the log lines of one request and the state changes that may have decided it.

use crate::{
    ctl_error::{CtlError, ReadFileSnafu},
    flags::Explain,
};
use snafu::ResultExt as _;
use std::{collections::BTreeSet, io::Read as _};

/// Time before the first line of a request in which a change of the node's state may have decided it.
const LOOK_BACK_SECONDS: f64 = 10.0;

/// Changes that decide whether the node may accept keys, however long before the request they were.
const CONFIRMATION_EVENTS: [&str; 4] = [
    "registry_lost",
    "registry_regained",
    "configuration_unreadable",
    "configuration_removed",
];

/// Reads the log files, or standard input without any, and prints the explanation of one request.
pub(crate) fn run(flags: &Explain) -> Result<(), CtlError> {
    let mut text = String::new();
    for path in &flags.file {
        text += &std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
        text.push('\n');
    }
    if flags.file.is_empty() {
        let path = "standard input";
        std::io::stdin()
            .read_to_string(&mut text)
            .context(ReadFileSnafu { path })?;
    }
    out!("{}", explain(&text, &flags.id));
    Ok(())
}

/// Returns the log lines of a request in order of time, with the state changes of its node that may have decided it:
/// changes of upstreams of its services, and changes that concern the whole node.
pub fn explain(text: &str, id: &str) -> String {
    let mut lines: Vec<&str> = text
        .lines()
        .filter(|line| timestamp(line).is_some())
        .collect();
    lines.sort_by(|a, b| {
        timestamp(a)
            .unwrap_or_default()
            .total_cmp(&timestamp(b).unwrap_or_default())
    });
    let request_lines: Vec<&str> = lines
        .iter()
        .copied()
        .filter(|line| field(line, "request") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return format!(
            "no line of request {id}: it was complete and not in the sample, its lines were suppressed (see \
             suppressed_before) or dropped (see log_lines_dropped), or it never reached these nodes\n"
        );
    };
    let (from, until) = (
        timestamp(first).unwrap_or_default(),
        timestamp(last).unwrap_or_default(),
    );
    let services: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|l| field(l, "service"))
        .collect();
    let node = field(first, "node");
    let confirmation_line = last_confirmation_change(&lines, &request_lines);
    let is_context = |line: &&str| {
        let at_seconds = timestamp(line).unwrap_or_default();
        let is_near =
            (from - LOOK_BACK_SECONDS..=until).contains(&at_seconds) && field(line, "node") == node;
        confirmation_line == Some(*line)
            || is_near
                && match field(line, "event") {
                    Some("upstream_changed" | "upstream_notice") => {
                        field(line, "service").is_some_and(|s| services.contains(s))
                    }
                    Some(
                        "configuration_in_force"
                        | "configuration_unreadable"
                        | "configuration_removed"
                        | "zones_out_changed"
                        | "registry_lost"
                        | "registry_regained"
                        | "registry_following_ended"
                        | "fleet_size_changed"
                        | "reply_ended"
                        | "node_draining"
                        | "log_lines_dropped",
                    ) => true,
                    _ => false,
                }
    };
    let explanation = lines
        .iter()
        .filter(|line| field(line, "request") == Some(id) || is_context(line))
        .map(|line| {
            let at = (timestamp(line).unwrap_or_default() - from) * 1e3;
            let rest = line.split_once(" event=").map_or(*line, |(_, rest)| rest);
            format!("{at:>+10.0} ms  {rest}\n")
        });
    let node = node.unwrap_or("an unnamed node");
    let reasons = request_lines.iter().filter_map(|line| refusal_reason(line));
    format!(
        "request {id} on {node}\n{}{}",
        explanation.collect::<String>(),
        reasons.collect::<String>()
    )
}

/// Last change before a request was refused because its key could not be confirmed, if it was; from the same node.
fn last_confirmation_change<'a>(lines: &[&'a str], request_lines: &[&str]) -> Option<&'a str> {
    let refusal = request_lines
        .iter()
        .find(|line| field(line, "event") == Some("refused_unconfirmed"))?;
    let mut before = lines.iter().copied().filter(|line| {
        let is_change = field(line, "event").is_some_and(|e| CONFIRMATION_EVENTS.contains(&e));
        is_change
            && field(line, "node") == field(refusal, "node")
            && timestamp(line) <= timestamp(refusal)
    });
    before.next_back()
}

/// Why a request was refused for its key, and what helps, as a line of its own.
fn refusal_reason(line: &str) -> Option<String> {
    let version = field(line, "version").unwrap_or("unknown");
    match (field(line, "event")?, field(line, "key")) {
        ("refused_unauthenticated", Some("none")) => Some(
            "401: the request has no Authorization field; send \"Authorization: Token KEY\"\n"
                .to_owned(),
        ),
        ("refused_unauthenticated", Some("malformed")) => {
            Some("401: the Authorization field is repeated, or is not \"Token KEY\"\n".to_owned())
        }
        ("refused_unauthenticated", Some(key)) => Some(format!(
            "401: no workspace of configuration {version} holds the key whose SHA-256 digest starts with {key}; compare \
             with: printf %s KEY | sha256sum\n"
        )),
        ("refused_unconfirmed", _) => Some(format!(
            "503: the store has not confirmed configuration {version} within revokeMs, so that the key may be revoked; \
             see registry_lost, configuration_unreadable or configuration_removed before it\n"
        )),
        _ => None,
    }
}

/// Value of a key in a log line of `key=value` pairs.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Value of `ts`, in seconds; `None` for a line that no node wrote.
fn timestamp(line: &str) -> Option<f64> {
    field(line, "ts")?.parse().ok()
}

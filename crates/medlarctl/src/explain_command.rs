//! `medlarctl explain`.

use crate::{
    ctl_error::{CtlError, ReadFileSnafu},
    flags::Explain,
};
use snafu::ResultExt as _;
use std::{collections::BTreeSet, io::Read as _};

/// Seconds before the first line of a request in which a change of belief may have decided it.
const LOOK_BACK_SECONDS: f64 = 10.0;

/// Prints the story of one request.
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
    print!("{}", explain(&text, &flags.id));
    Ok(())
}

/// The lines that tell what became of a request, in order, with the beliefs that decided it.
pub fn explain(text: &str, id: &str) -> String {
    let mut lines: Vec<&str> = text.lines().filter(|line| time(line).is_some()).collect();
    lines.sort_by(|a, b| {
        time(a)
            .unwrap_or_default()
            .total_cmp(&time(b).unwrap_or_default())
    });
    let of_request: Vec<&str> = lines
        .iter()
        .copied()
        .filter(|line| value(line, "request") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else {
        return format!(
            "no line of request {id}: it was complete and not in the sample, its lines were suppressed (see \
             suppressed_before) or dropped (see log_lines_dropped), or it never reached these nodes\n"
        );
    };
    let (from, until) = (
        time(first).unwrap_or_default(),
        time(last).unwrap_or_default(),
    );
    let services: BTreeSet<&str> = of_request
        .iter()
        .filter_map(|l| value(l, "service"))
        .collect();
    let node = value(first, "node");
    let decided = |line: &&str| {
        let at = time(line).unwrap_or_default();
        let near = (from - LOOK_BACK_SECONDS..=until).contains(&at) && value(line, "node") == node;
        near && match value(line, "event") {
            Some("upstream_changed") => {
                value(line, "service").is_some_and(|s| services.contains(s))
            }
            Some(
                "configuration_in_force"
                | "zones_out_changed"
                | "registry_lost"
                | "registry_regained"
                | "fleet_size_changed"
                | "node_draining"
                | "log_lines_dropped",
            ) => true,
            _ => false,
        }
    };
    let told = lines
        .iter()
        .filter(|line| value(line, "request") == Some(id) || decided(line))
        .map(|line| {
            let at = (time(line).unwrap_or_default() - from) * 1e3;
            let rest = line.split_once(" event=").map_or(*line, |(_, rest)| rest);
            format!("{at:>+10.0} ms  {rest}\n")
        });
    let node = node.unwrap_or("an unnamed node");
    format!("request {id} on {node}\n{}", told.collect::<String>())
}

/// Value of a pair of a line.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Time of a line in seconds.
fn time(line: &str) -> Option<f64> {
    value(line, "ts")?.parse().ok()
}

//! `medlarctl status`: reads the status of a node and prints it.

use crate::{admin_client::AdminClient, ctl_error::CtlError, flags::Status};
use medlarpost_node::{
    prelude::*,
    status_json::{ControlStatus, EngineReport, StatusReply},
};

/// Longest status that is read; a status with 10,000 upstreams has 2 MB.
const MAX_STATUS_BYTES: usize = 8 * 1024 * 1024;

/// Requests the status of a node and prints it, as text or as the JSON that the node sent.
pub(crate) fn run(flags: &Status) -> Result<(), CtlError> {
    let client = AdminClient::new(
        &flags.address,
        flags.token_file.as_deref(),
        flags.roots.as_deref(),
    )?;
    let body = client.get("/v1/status", MAX_STATUS_BYTES)?;
    if flags.json {
        outln!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let status: StatusReply = client.parse(&body)?;
    out!("{}", render(&status));
    Ok(())
}

/// Formats the status as text, one fact a line.
fn render(status: &StatusReply) -> String {
    let StatusReply {
        node,
        zone,
        control,
        report,
    } = status;
    let mut lines = vec![format!("node {node}, zone {zone}")];
    render_control(control, &mut lines);
    render_report(report, &mut lines);
    lines.push(String::new());
    lines.join("\n")
}

fn render_control(control: &ControlStatus, lines: &mut Vec<String>) {
    let ready = if control.ready { "ready" } else { "not ready" };
    lines.push(format!("{ready}: {}", control.reason));
    let digest = control
        .digest
        .map_or_else(|| "none".to_owned(), |digest| digest.to_string());
    let source = control.source.as_deref().unwrap_or("nowhere");
    lines.push(format!(
        "bundle: version {}, from {source}, digest {digest}",
        control.version
    ));
    if let Some(refused) = &control.last_refused_bundle {
        lines.push(format!("last bundle refused: {refused}"));
    }
    for peer in &control.peers {
        let link = if peer.reached { "link up" } else { "no link" };
        lines.push(format!("peer {}: zone {}, {link}", peer.name, peer.zone));
    }
}

fn render_report(report: &EngineReport, lines: &mut Vec<String>) {
    let engine = &report.engine;
    lines.push(format!("fresh for {} ms", engine.fresh_for_ms));
    let running = engine.running;
    lines.push(format!(
        "running: {} queries, {} bookings, {} sub-requests",
        running.queries, running.bookings, running.attempts
    ));
    for (name, left) in &engine.budgets {
        lines.push(format!("budget {name}: {left:.1}"));
    }
    for (kind, count) in &report.recent_refusals {
        lines.push(format!("refused lately: {kind} {count}"));
    }
    for zone in &engine.zones {
        let state = match zone.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        lines.push(format!("zone {}: {state}", zone.name));
    }
    lines.push(format!(
        "{:24} {:8} {:10} {:>9} {:>7} {:>7} {:>10}  reason",
        "upstream", "zone", "state", "allowance", "limit", "running", "latency"
    ));
    for upstream in &engine.upstreams {
        lines.push(upstream_line(upstream));
    }
}

fn upstream_line(upstream: &UpstreamStatus) -> String {
    let allowance = upstream
        .allowance
        .map_or_else(|| "-".to_owned(), |n| n.to_string());
    let latency = upstream
        .latency_ms
        .map_or_else(|| "-".to_owned(), |ms| format!("{ms:.1} ms"));
    format!(
        "{:24} {:8} {:10} {allowance:>9} {:>7} {:>7} {latency:>10}  {}",
        upstream.name,
        upstream.zone,
        upstream.state,
        upstream.limit,
        upstream.running,
        upstream.reason.as_deref().unwrap_or("-"),
    )
}

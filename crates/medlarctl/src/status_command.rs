//! `medlarctl status`: reads the status of a node and prints it.

use crate::{
    ctl_error::{CtlError, NodeResponseSnafu},
    flags::Status,
    http_client::HttpClient,
    secret,
};
use medlarpost_node::{
    prelude::*,
    status_json::{ControlStatus, EngineReport, StatusReply},
};
use std::path::Path;

/// Environment variable with the administrators' token, for use without `--token-file`.
const TOKEN_VARIABLE: &str = "MEDLARCTL_ADMIN_TOKEN";

/// Time-out of the status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest status that is read; a status with 10,000 upstreams has 2 MB.
const MAX_STATUS_BYTES: usize = 8 * 1024 * 1024;

/// Requests the status of a node and prints it, as text or as the JSON that the node sent.
pub(crate) fn run(flags: &Status) -> Result<(), CtlError> {
    let address = flags
        .address
        .parse()
        .ok()
        .context(crate::ctl_error::InvalidValueSnafu {
            name: "--address",
            detail: "use IP:PORT of the administrators' listener",
        })?;
    let token = match &flags.token_file {
        Some(path) => secret::read_text(path)?,
        None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let body = actix_rt::System::new().block_on(request_status(
        address,
        &token,
        flags.roots.as_deref(),
    ))?;
    if flags.json {
        outln!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let status: StatusReply = serde_json::from_slice(&body).map_err(|error| {
        let detail = format!(
            "the status has an unknown form ({error}); use the medlarctl of the node's release"
        );
        CtlError::NodeResponse { address, detail }
    })?;
    out!("{}", render(&status));
    Ok(())
}

async fn request_status(
    address: SocketAddr,
    token: &str,
    roots: Option<&Path>,
) -> Result<Bytes, CtlError> {
    let to_error = |detail: String| CtlError::NodeResponse { address, detail };
    let HttpClient { client, scheme } = HttpClient::new(roots, STATUS_TIMEOUT)?;
    let request = client
        .get(format!("{scheme}://{address}/v1/status"))
        .insert_header(("authorization", format!("Bearer {token}")));
    let mut response = request.send().await.map_err(|error| {
        to_error(format!(
            "{error}; check --address, that the node runs, and --roots for TLS"
        ))
    })?;
    let status = response.status();
    if status.as_u16() == 401 {
        let detail =
            format!("the node refused the token; pass --token-file or set {TOKEN_VARIABLE}");
        return NodeResponseSnafu { address, detail }.fail();
    }
    if !status.is_success() {
        return Err(to_error(format!("HTTP status {status}; try again")));
    }
    response
        .body()
        .limit(MAX_STATUS_BYTES)
        .await
        .map_err(|error| to_error(format!("{error}; try again")))
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

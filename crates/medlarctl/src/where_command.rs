//! `medlarctl where`: asks a node what it would do with a request now, and prints the answer.

use crate::{
    admin_client::AdminClient,
    ctl_error::{CtlError, InvalidValueSnafu},
    flags::Where,
    secret,
};
use medlarpost_node::{
    prelude::*,
    where_json::{
        WhereLoad, WhereQuota, WhereReplica, WhereReply, WhereRequest, WhereRoute, WhereShard,
        WhereVerdict,
    },
};

/// Longest reply that is read; one with 100 shards of 10 replicas has 500 KB.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Share of failed attempts from which it is shown.
const MIN_SHOWN_FAILURE_RATE: f64 = 0.01;

/// Sends the request to try to the node and prints its answer, as text or as the JSON that the node sent.
pub(crate) fn run(flags: &Where) -> Result<(), CtlError> {
    let client = AdminClient::new(
        &flags.address,
        flags.token_file.as_deref(),
        flags.roots.as_deref(),
    )?;
    let request = read_request(flags)?;
    let body = client.post_json("/v1/where", &request, MAX_REPLY_BYTES)?;
    if flags.json {
        outln!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let reply: WhereReply = client.parse(&body)?;
    out!("{}", render(&reply));
    Ok(())
}

fn read_request(flags: &Where) -> Result<WhereRequest, CtlError> {
    if flags.workspace.is_some() && flags.key_file.is_some() {
        let detail = "use either --workspace or --key-file";
        return InvalidValueSnafu {
            name: "--workspace",
            detail,
        }
        .fail();
    }
    let key = flags.key_file.as_ref().map(|path| secret::read_text(path));
    let key = key.transpose()?;
    Ok(WhereRequest {
        method: flags.method.clone().unwrap_or_else(|| "GET".to_owned()),
        host: flags.host.clone(),
        path: flags.path.clone(),
        workspace: flags.workspace.clone(),
        key_sha256: key.map(|key| Digest::of(key.as_bytes()).to_string()),
        deadline_ms: flags.deadline_ms,
    })
}

/// Formats the answer as text, one fact a line.
pub fn render(reply: &WhereReply) -> String {
    let mut lines = vec![verdict_line(&reply.verdict)];
    if let WhereVerdict::Refuse { reasons, .. } = &reply.verdict {
        lines.extend(reasons.iter().map(|reason| format!("  because {reason}")));
    }
    lines.push(route_line(&reply.route));
    lines.push(format!(
        "configuration {} (registry), confirmed {}",
        reply.config_version,
        age_text(reply.config_age_ms)
    ));
    lines.push(format!("{} nodes (heartbeats)", reply.fleet_size));
    let caller = reply.caller.as_deref().unwrap_or("not identified");
    lines.push(format!("caller: {caller}"));
    lines.extend(reply.quota.as_ref().map(quota_line));
    for shard in &reply.shards {
        render_shard(shard, &mut lines);
    }
    lines.push(String::new());
    lines.join("\n")
}

fn verdict_line(verdict: &WhereVerdict) -> String {
    match verdict {
        WhereVerdict::Send => "sent to the chosen replicas".to_owned(),
        WhereVerdict::AskQuotaOwner => {
            "waits for the owner of the quota, then sent to the chosen replicas".to_owned()
        }
        WhereVerdict::Refuse {
            status,
            retry_after,
            kind,
            ..
        } => {
            let retry = retry_after
                .as_ref()
                .map(|secs| format!(", Retry-After {secs}"));
            format!("refused: {status} {kind}{}", retry.unwrap_or_default())
        }
    }
}

fn route_line(route: &WhereRoute) -> String {
    let runs = if route.idempotent {
        "idempotent"
    } else {
        "runs at most once"
    };
    let usual = route.usual_reply_ms.map_or_else(
        || "no reply yet".to_owned(),
        |ms| format!("usual reply {ms:.1} ms (replies to this node)"),
    );
    format!(
        "route {} ({}): {runs}, objective {:.0} ms, needs {:.0}% of the shards, {usual}",
        route.name,
        route.prefix,
        route.objective_ms,
        route.min_coverage * 100.0
    )
}

fn quota_line(quota: &WhereQuota) -> String {
    let owner = if quota.is_owner {
        "this node owns it".to_owned()
    } else {
        format!("owner's last reply {}", age_text(quota.reply_age_ms))
    };
    format!("quota: {owner}, local allowance {}", quota.local_allowance)
}

fn render_shard(shard: &WhereShard, lines: &mut Vec<String>) {
    let basis = shard.basis.replace('_', " ");
    let chosen = match shard.chosen.as_slice() {
        [] if shard.basis == ChoiceBasis::None.name() => format!("nothing sent ({basis})"),
        [] => "nothing sent".to_owned(),
        [primary] => format!("to {primary} ({basis})"),
        [primary, trials @ ..] => {
            let trials = trials.join(", ");
            format!("to {primary} ({basis}), trial {trials}")
        }
    };
    lines.push(format!("service {}: {chosen}", shard.service));
    for replica in &shard.replicas {
        let is_chosen = shard.chosen.contains(&replica.instance);
        let mark = if is_chosen { '*' } else { ' ' };
        lines.push(format!("{mark} {}", replica_line(replica)));
    }
}

fn replica_line(replica: &WhereReplica) -> String {
    let expected = replica
        .expected_reply_ms
        .map_or_else(|| "unknown".to_owned(), |ms| format!("{ms:.1} ms"));
    let load = replica
        .load
        .as_ref()
        .map_or_else(|| "load assumed, no report".to_owned(), load_text);
    let mut parts = vec![
        format!(
            "{} zone {} {}: expected reply {expected}",
            replica.instance, replica.zone, replica.state
        ),
        format!(
            "{:.1} of {} slots, {} from this node",
            replica.expected_requests, replica.slots, replica.running
        ),
        load,
        format!("last reply {}", age_text(replica.reply_age_ms)),
        format!("entry (registry) {}", age_text(Some(replica.entry_age_ms))),
    ];
    if replica.failure_rate >= MIN_SHOWN_FAILURE_RATE {
        let percent = replica.failure_rate * 100.0;
        parts.push(format!(
            "{percent:.0}% of this node's recent attempts failed"
        ));
    }
    if let Some(ms) = replica.advised_against_ms {
        parts.push(format!("another node advises against it for {ms:.0} ms"));
    }
    if let Some(obstacle) = &replica.obstacle {
        parts.push(format!("not chosen: {obstacle}"));
    }
    parts.join("; ")
}

fn load_text(load: &WhereLoad) -> String {
    let service = load
        .service_percent
        .map(|percent| format!(", service time {percent}%"));
    format!(
        "load {} running, {} waiting{} ({}, {})",
        load.running,
        load.waiting,
        service.unwrap_or_default(),
        load.source.replace('_', " "),
        age_text(Some(load.age_ms))
    )
}

fn age_text(ms: Option<f64>) -> String {
    ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms:.0} ms ago"))
}

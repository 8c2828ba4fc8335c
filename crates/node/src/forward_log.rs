//! Log lines for the telemetry records of the forwarder.

use crate::prelude::*;
use std::cell::Cell;

/// One of this many complete answers is logged.
const COMPLETE_ANSWERS_PER_LINE: u32 = 64;

thread_local! {
    /// Complete answers since the last one that was logged.
    static UNLOGGED_ANSWERS: Cell<u32> = const { Cell::new(0) };
}

/// Logs one telemetry record. Complete answers are sampled; the metrics count all of them.
#[expect(clippy::too_many_lines, reason = "one arm for each kind of record")]
pub(crate) fn write_telemetry(log: &Logger, telemetry: &ForwardTelemetry) {
    match telemetry {
        ForwardTelemetry::ExtraAttempt {
            request,
            service,
            instance,
            cause,
            gain,
            budget_left,
            expected,
            report_age,
        } => info!(log, "extra_attempt"; "request" => &**request, "service" => &**service,
            "instance" => &**instance, "cause" => *cause, "gain" => gain.name(), "budget_left" => *budget_left,
            "expected_ms" => expected.as_millis() as u64,
            "report_age_ms" => report_age.map(|age| age.as_millis() as u64)),
        ForwardTelemetry::HedgeDenied {
            request,
            service,
            denial,
        } => debug!(log, "hedge_denied"; "request" => &**request, "service" => &**service,
            "denial" => denial.name()),
        ForwardTelemetry::RefusedOverloaded {
            request,
            route,
            rank,
        } => {
            info!(log, "refused_overloaded"; "request" => &**request, "route" => &**route, "rank" => *rank);
        }
        ForwardTelemetry::RefusedResting {
            request,
            route,
            retry_after,
        } => info!(log, "refused_resting"; "request" => &**request, "route" => &**route,
            "retry_after_ms" => retry_after.as_millis() as u64),
        ForwardTelemetry::RefusedStopping {
            request,
            route,
            time_left,
        } => info!(log, "refused_stopping"; "request" => &**request, "route" => &**route,
            "time_left_ms" => time_left.as_millis() as u64),
        ForwardTelemetry::RefusedUnauthenticated {
            request,
            route,
            credential,
            version,
        } => info!(log, "refused_unauthenticated"; "request" => &**request, "route" => &**route,
            "key" => credential.log_id(), "version" => *version),
        ForwardTelemetry::RefusedUnconfirmed {
            request,
            route,
            version,
            age,
        } => info!(log, "refused_unconfirmed"; "request" => &**request, "route" => &**route,
            "version" => *version, "confirmed_ms_ago" => age.map(|age| age.as_millis() as u64)),
        ForwardTelemetry::RefusedOverQuota {
            request,
            workspace,
            retry_after,
            share,
        } => write_over_quota(log, request, workspace, *retry_after, share),
        // Counted by the metrics only.
        ForwardTelemetry::WithinQuota { .. } => {}
        ForwardTelemetry::RequestQuarantined { digest, from_peer } => {
            warn!(log, "request_barred"; "digest" => %digest, "told" => *from_peer);
        }
        ForwardTelemetry::RefusedQuarantined { request, digest } => {
            info!(log, "refused_barred"; "request" => &**request, "digest" => %digest);
        }
        ForwardTelemetry::ShardGivenUp {
            request,
            service,
            instance,
            cause,
            denial,
            sent,
        } => info!(log, "shard_given_up"; "request" => &**request, "service" => &**service,
            "instance" => instance.as_deref().unwrap_or("none"),
            "cause" => *cause, "no_more" => denial.name(), "sent" => *sent),
        ForwardTelemetry::ShardCutOff {
            request,
            service,
            instance,
            waited,
        } => info!(log, "shard_cut_off"; "request" => &**request, "service" => &**service,
            "instance" => &**instance, "waited_ms" => waited.as_millis() as u64),
        ForwardTelemetry::Answered {
            request,
            route,
            outcome,
            covered,
            shards,
            elapsed,
            version,
        } => {
            if is_logged_answer(outcome, covered == shards) {
                info!(log, "answered"; "request" => &**request, "route" => &**route, "outcome" => *outcome,
                    "covered" => *covered, "shards" => *shards, "elapsed_ms" => elapsed.as_millis() as u64,
                    "version" => *version);
            }
        }
        ForwardTelemetry::UpstreamChanged {
            instance,
            service,
            from,
            to,
            cause,
            silent_for,
        } => info!(log, "upstream_changed"; "instance" => &**instance, "service" => &**service,
            "from" => from.name(), "to" => to.name(), "cause" => cause.name(),
            "silent_ms" => silent_for.as_millis() as u64),
        ForwardTelemetry::UpstreamNoticed {
            notice,
            service,
            from_peer,
        } => write_notice(log, notice, service.as_deref(), *from_peer),
        ForwardTelemetry::LoadObserved {
            instance,
            observer,
            age,
            load,
        } => debug!(log, "upstream_observed"; "instance" => &**instance, "observer" => %observer,
            "age_ms" => age.as_millis() as u64, "kind" => load.name(), "load" => ?load),
        ForwardTelemetry::ConfigurationApplied { version, routes } => {
            info!(log, "configuration_in_force"; "version" => *version, "routes" => *routes);
        }
    }
}

/// Whether an answer is logged: all but complete ones, and a sample of those.
fn is_logged_answer(outcome: &str, all_shards: bool) -> bool {
    if !matches!(outcome, "reply" | "merged") || !all_shards {
        return true;
    }
    UNLOGGED_ANSWERS.with(|count| {
        count.set((count.get() + 1) % COMPLETE_ANSWERS_PER_LINE);
        count.get() == 0
    })
}

fn write_notice(log: &Logger, notice: &UpstreamNotice, service: Option<&str>, from_peer: bool) {
    let left = match notice.kind {
        NoticeKind::Leaving => None,
        NoticeKind::Resting { left } => Some(left.as_millis() as u64),
    };
    info!(log, "upstream_notice"; "instance" => &*notice.instance,
        "service" => service.unwrap_or("none"), "kind" => notice.kind.name(),
        "left_ms" => left, "told" => from_peer, "age_ms" => notice.age.as_millis() as u64);
}

fn write_over_quota(
    log: &Logger,
    request: &str,
    workspace: &str,
    retry_after: Duration,
    share: &QuotaShareStatus,
) {
    info!(log, "refused_over_quota"; "request" => request, "workspace" => workspace,
        "retry_after_ms" => retry_after.as_millis() as u64,
        "local_allowance" => share.local_allowance, "fleet_size" => share.fleet_size,
        "owner" => share.is_owner,
        "reply_age_ms" => share.reply_age.map(|age| age.as_millis() as u64));
}

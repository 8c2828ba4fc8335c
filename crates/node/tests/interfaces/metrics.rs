//! Guards against missing or wrong metrics, label values that callers choose, and events that flood the log.

use crate::common::{TestNodeBuilder, search_body};
use medlarpost_node::log_limiter::{LogDecision, LogLimiter, MAX_LINES_PER_WINDOW, WINDOW_SECONDS};

/// Value of a metric, whose name includes its labels.
fn metric_value(metrics: &str, name: &str) -> Option<f64> {
    metrics
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))
        .and_then(|value| value.parse().ok())
}

#[actix_rt::test]
async fn metrics_report_latency_load_upstreams_and_configuration() {
    let node = TestNodeBuilder::new().start().await;
    for _ in 0..3 {
        node.call("/v1/search", "firm-0", &search_body("firm-0"))
            .await;
    }
    node.call("/v1/search", "firm-0", &search_body("nobody"))
        .await;

    let (_, metrics) = node.admin_get("/metrics", "").await;

    let found = |name: &str| metric_value(&metrics, name).unwrap_or(f64::NAN);
    let labels = r#"{class="standard",tenant="firm-0"}"#;
    assert!(
        (found(&format!("medlarpost_query_seconds_count{labels}")) - 3.0).abs() < 0.1,
        "{metrics}"
    );
    assert!((found(&format!("medlarpost_query_coverage_ratio_sum{labels}")) - 3.0).abs() < 0.1);
    assert!((found("medlarpost_shards_asked_total") - 6.0).abs() < 0.1);
    assert!(found(r#"medlarpost_sub_requests_total{kind="search"}"#) >= 6.0);
    assert!(found(r#"medlarpost_sub_request_outcomes_total{outcome="answered"}"#) >= 6.0);
    assert!(
        (found(r#"medlarpost_refusals_total{kind="unauthenticated",tenant=""}"#) - 1.0).abs() < 0.1
    );
    assert!((found(r#"medlarpost_zone_in{zone="th-a"}"#) - 1.0).abs() < 0.1);
    assert!((found("medlarpost_bundle_version") - 1.0).abs() < 0.1);
    assert!((found("medlarpost_ready") - 1.0).abs() < 0.1);
    assert!(found("medlarpost_fresh_seconds") > 0.0);
    assert!(found("medlarpost_upstream_connections") >= 2.0);
    let attempts = |kind: &str| {
        found(&format!(
            "medlarpost_search_attempts_total{{kind=\"{kind}\"}}"
        ))
    };
    assert!((attempts("primary") - 6.0).abs() < 0.1, "{metrics}");
    assert!(attempts("canary") >= 1.0, "{metrics}");
    assert!(attempts("canary") <= attempts("primary"));
    for kind in ["retry", "hedge", "cancelled"] {
        assert!(attempts(kind) >= 0.0, "{kind}");
    }
    for kind in ["query", "sub_request"] {
        assert!(found(&format!("medlarpost_waiting{{kind=\"{kind}\"}}")).abs() < 0.1);
    }
    assert!(found("medlarpost_admitted_queries").abs() < 0.1);
    assert!(found(r#"medlarpost_budget{budget="retry dispatch"}"#) >= 0.0);
    assert!(found(r#"medlarpost_budget{budget="retry_share"}"#) > 0.0);
    assert!(found("medlarpost_late_replies_total") >= 0.0);
    assert!(found("medlarpost_log_lines_suppressed_total") >= 0.0);
    let upstreams: f64 = metrics
        .lines()
        .filter(|line| line.starts_with("medlarpost_upstreams{"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    assert!((upstreams - 3.0).abs() < 0.1, "{metrics}");
}

#[actix_rt::test]
async fn unknown_workspaces_and_services_add_no_metric_labels() {
    let node = TestNodeBuilder::new().start().await;
    let lines_before = node.admin_get("/metrics", "").await.1.lines().count();
    for n in 0..20 {
        let workspace = format!("nobody-{n}");
        let mut body = search_body(&workspace);
        body["service"] = format!("service-{n}").into();
        node.call("/v1/search", &workspace, &body).await;
    }

    let (_, metrics) = node.admin_get("/metrics", "").await;

    assert!(!metrics.contains("nobody-"), "{metrics}");
    assert!(!metrics.contains("service-"), "{metrics}");
    // One line for the new counter of refusals and two for its help and type.
    assert!(metrics.lines().count() <= lines_before + 3, "{metrics}");
}

#[test]
fn frequent_log_event_is_suppressed_and_counted_while_others_are_written() {
    let limiter = LogLimiter::new();

    let first: Vec<_> = (0..MAX_LINES_PER_WINDOW + 5)
        .map(|_| limiter.decide("bundle_refused", 3))
        .collect();
    let other = limiter.decide("node_started", 3);
    let next_window = limiter.decide("bundle_refused", 3 + WINDOW_SECONDS);
    let after_quiet = limiter.decide("bundle_refused", 3 + 5 * WINDOW_SECONDS);

    let write = |suppressed_before| LogDecision::Write { suppressed_before };
    let (written, suppressed) = first.split_at(MAX_LINES_PER_WINDOW as usize);
    assert!(
        written.iter().all(|decision| *decision == write(0)),
        "{written:?}"
    );
    assert_eq!(suppressed, [LogDecision::Suppress; 5]);
    assert_eq!(limiter.suppressed(), 5);
    assert_eq!(other, write(0));
    assert_eq!(next_window, write(5));
    assert_eq!(after_quiet, write(0));
}

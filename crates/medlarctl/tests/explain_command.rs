//! Guards against an explanation that lacks the state change which decided a request, or that mixes requests.

use medlarctl::explain_command::explain;

const LOG: &str = "\
ts=100.000 level=INFO event=configuration_in_force routes=18 version=4 node=n-1
ts=101.000 level=INFO event=upstream_changed silent_ms=900 cause=unreachable to=suspect from=warm service=desk instance=i-1 node=n-1
ts=101.100 level=INFO event=upstream_changed silent_ms=900 cause=unreachable to=suspect from=warm service=other instance=i-9 node=n-1
ts=101.300 level=INFO event=answered version=4 elapsed_ms=1 shards=1 covered=0 outcome=unavailable route=r request=b node=n-1
ts=101.200 level=INFO event=shard_given_up sent=0 cause=no_upstream service=desk request=a node=n-1
ts=101.200 level=INFO event=answered version=4 elapsed_ms=0 shards=1 covered=0 outcome=unavailable route=r request=a node=n-1
not a line of a node
";

#[test]
fn explanation_of_an_unserved_request_shows_the_change_of_its_upstream() {
    let explanation = explain(LOG, "a");

    let events: Vec<_> = explanation
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    assert_eq!(
        events,
        [
            "configuration_in_force",
            "upstream_changed",
            "shard_given_up",
            "answered"
        ]
    );
    assert!(
        explanation.contains("instance=i-1") && !explanation.contains("request=b"),
        "{explanation}"
    );
}

/// Guards against a refusal with 429 whose explanation names neither the workspace nor the share that the node used.
#[test]
fn explanation_of_a_request_over_its_quota_shows_the_share_and_the_configuration() {
    let log = "\
ts=100.000 level=INFO event=configuration_in_force routes=18 version=4 node=n-1
ts=101.000 level=INFO event=fleet_size_changed to=25 from=24 node=n-1
ts=101.200 level=INFO event=refused_over_quota reply_age_ms=40 owner=false fleet_size=25 local_allowance=1 retry_after_ms=700 workspace=w-1 request=a node=n-1
";

    let explanation = explain(log, "a");

    for part in [
        "configuration_in_force",
        "fleet_size_changed",
        "workspace=w-1",
        "local_allowance=1",
        "reply_age_ms=40",
    ] {
        assert!(explanation.contains(part), "{part}: {explanation}");
    }
}

#[test]
fn request_without_log_lines_is_reported_as_such() {
    assert!(explain(LOG, "z").starts_with("no line of request z"));
}

/// Refusals for want of a key, and changes long before them.
const KEYS_LOG: &str = "\
ts=10.000 level=WARN event=registry_lost revision=4 fault=x node=n-1
ts=11.000 level=WARN event=registry_lost revision=4 fault=y node=n-2
ts=100.000 level=INFO event=refused_unconfirmed confirmed_ms_ago=90000 version=7 route=r request=a node=n-1
ts=100.100 level=INFO event=refused_unauthenticated version=7 key=none route=r request=b node=n-1
ts=100.200 level=INFO event=refused_unauthenticated version=7 key=malformed route=r request=c node=n-1
ts=100.300 level=INFO event=refused_unauthenticated version=7 key=0a1b2c3d route=r request=d node=n-1
";

/// Guards against a refusal for want of a confirmation whose cause lies too far back to be shown.
#[test]
fn explanation_of_an_unconfirmed_key_shows_the_last_change_of_its_node() {
    let explanation = explain(KEYS_LOG, "a");

    assert!(explanation.contains("registry_lost revision=4 fault=x"));
    assert!(!explanation.contains("fault=y"), "{explanation}");
    let reason = explanation.lines().last().unwrap_or_default();
    assert!(reason.starts_with("503") && reason.contains("configuration 7"));
}

/// Guards against a 401 whose cause the caller's support can't tell.
#[test]
fn explanation_of_an_unauthenticated_request_names_the_remedy() {
    for (id, expected) in [
        ("b", "no Authorization field"),
        ("c", "repeated"),
        ("d", "0a1b2c3d"),
    ] {
        let explanation = explain(KEYS_LOG, id);

        let reason = explanation.lines().last().unwrap_or_default();
        assert!(
            reason.starts_with("401") && reason.contains(expected),
            "{reason}"
        );
        assert!(!explanation.contains("registry_lost"), "{explanation}");
    }
}

//! Guards against a story that lacks the belief that decided it, or that mixes requests.

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
fn a_refused_request_is_led_back_to_its_upstream() {
    let story = explain(LOG, "a");

    let events: Vec<_> = story
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
        story.contains("instance=i-1") && !story.contains("request=b"),
        "{story}"
    );
}

#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    assert!(explain(LOG, "z").starts_with("no line of request z"));
}

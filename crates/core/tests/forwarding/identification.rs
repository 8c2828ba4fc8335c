//! Guards against requests that run on behalf of the wrong workspace, or with a key that does not hold any more.

use crate::forward_harness::{
    Harness, LOW, harness, request, served_reply, service_route, settings, table, upstream,
};
use medlarpost_core::prelude::*;

const REVOKE_WITHIN: Duration = Duration::from_secs(5);
const KEYED_PATH: &str = "/desk/1";
const PUBLIC_PATH: &str = "/open/1";

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceSettings {
    let keys = keys.iter().map(|key| Digest::of(key.as_bytes()));
    WorkspaceSettings {
        name: name.into(),
        keys: keys.collect(),
        rank: None,
        quota: None,
    }
}

/// A configuration with a keyed route, a public one, and these workspaces.
fn configuration(version: u64, workspaces: Vec<WorkspaceSettings>) -> Arc<RoutingTable> {
    let public = Route {
        public: true,
        ..service_route("open")
    };
    let routes = vec![service_route("desk"), public];
    let plain = Arc::into_inner(table(version, routes)).expect("it is not shared");
    Arc::new(plain.with_workspaces(Some(Workspaces::new(workspaces))))
}

/// A harness with these workspaces and a bound on revocation, whose configuration is not confirmed yet.
fn unconfirmed_harness(workspaces: Vec<WorkspaceSettings>) -> Harness {
    let mut harness = Harness::new(ForwarderSettings {
        revoke_within: Some(REVOKE_WITHIN),
        ..settings()
    });
    harness.handle(ForwardEvent::Configured(configuration(1, workspaces)));
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-a")));
    harness
}

/// A harness with these workspaces, whose configuration is confirmed at the current time.
fn confirmed_harness(workspaces: Vec<WorkspaceSettings>) -> Harness {
    let mut harness = unconfirmed_harness(workspaces);
    confirm(&mut harness, 1, BootTime::default());
    harness
}

fn confirm(harness: &mut Harness, version: u64, at: BootTime) {
    harness.handle(ForwardEvent::ConfigurationConfirmed { version, at });
}

/// What became of a request.
#[derive(Debug, PartialEq)]
enum Outcome {
    SentFor(CallerIdentity),
    Refused(ForwardRefusal),
}

/// Sends a request and returns what becomes of it.
fn outcome(harness: &mut Harness, path: &str, credential: Credential) -> Outcome {
    harness.send_request(ForwardRequest {
        credential,
        ..request(path)
    });
    if let Some(identity) = harness.take_identities().pop() {
        return Outcome::SentFor(identity);
    }
    match harness.take_answer() {
        ForwardAnswer::Refused(refusal) => Outcome::Refused(refusal),
        answer => panic!("nothing was sent, but answered with {answer:?}"),
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(Digest::of(text.as_bytes()))
}

fn named(workspace: &str) -> Outcome {
    Outcome::SentFor(CallerIdentity::Workspace(workspace.into()))
}

fn unconfirmed() -> Outcome {
    let retry_after = Duration::from_secs(1);
    Outcome::Refused(ForwardRefusal::Unavailable { retry_after })
}

const ANONYMOUS: Outcome = Outcome::SentFor(CallerIdentity::Anonymous);
const UNAUTHENTICATED: Outcome = Outcome::Refused(ForwardRefusal::Unauthenticated);

/// Guards against a request without a key that runs, and against one that is named after the wrong holder.
#[test]
fn keyed_route_needs_a_key_and_the_first_holder_counts() {
    let workspaces = vec![
        workspace("a", &["k-1", "shared"]),
        workspace("b", &["k-2", "shared"]),
    ];
    let mut harness = confirmed_harness(workspaces);
    let mut ask = |credential| outcome(&mut harness, KEYED_PATH, credential);

    assert_eq!(ask(key("k-1")), named("a"));
    assert_eq!(ask(key("k-2")), named("b"));
    assert_eq!(ask(key("shared")), named("a"));
    assert_eq!(ask(key("unknown")), UNAUTHENTICATED);
    assert_eq!(ask(Credential::Missing), UNAUTHENTICATED);
    assert_eq!(ask(Credential::Malformed), UNAUTHENTICATED);
}

/// Guards against public routes that refuse callers, or lose the workspace of those with a known key.
#[test]
fn public_route_takes_all_callers_and_names_known_ones() {
    let mut harness = confirmed_harness(vec![workspace("a", &["k-1"])]);
    let mut ask = |credential| outcome(&mut harness, PUBLIC_PATH, credential);

    assert_eq!(ask(key("k-1")), named("a"));
    for other in [key("unknown"), Credential::Missing, Credential::Malformed] {
        assert_eq!(ask(other), ANONYMOUS);
    }
}

/// Guards against an empty string among the keys, which would admit callers with an empty key.
#[test]
fn empty_key_authenticates_nobody() {
    let mut harness = confirmed_harness(vec![workspace("a", &["", "k-1", "k-1"])]);

    assert_eq!(outcome(&mut harness, KEYED_PATH, key("")), UNAUTHENTICATED);
    assert_eq!(outcome(&mut harness, KEYED_PATH, key("k-1")), named("a"));
}

/// Guards against keys of an earlier configuration that are still looked up.
#[test]
fn keys_follow_the_configuration_when_they_move_go_and_return() {
    let mut harness = confirmed_harness(vec![workspace("a", &["k"]), workspace("b", &[])]);
    let versions = [
        (
            vec![workspace("a", &[]), workspace("b", &["k"])],
            named("b"),
        ),
        (vec![workspace("a", &[])], UNAUTHENTICATED),
        (vec![workspace("a", &["k"])], named("a")),
    ];

    for (version, (workspaces, expected)) in (2..).zip(versions) {
        harness.handle(ForwardEvent::Configured(configuration(version, workspaces)));
        let found = outcome(&mut harness, KEYED_PATH, key("k"));
        assert_eq!(found, expected, "version {version}");
    }
}

/// Guards against a removed key that an outdated snapshot brings back.
#[test]
fn older_configuration_does_not_bring_a_key_back() {
    let mut harness = confirmed_harness(vec![workspace("a", &["k"])]);
    harness.handle(ForwardEvent::Configured(configuration(3, vec![])));

    for version in [2, 3] {
        let older = configuration(version, vec![workspace("a", &["k"])]);
        harness.handle(ForwardEvent::Configured(older));
    }

    assert_eq!(outcome(&mut harness, KEYED_PATH, key("k")), UNAUTHENTICATED);
}

/// Guards against a key that is accepted later than the bound after its removal, which this node may not have seen.
#[test]
fn keys_are_refused_while_the_configuration_is_not_confirmed() {
    let mut harness = unconfirmed_harness(vec![workspace("a", &["k"])]);
    let mut ask_at = |confirmed: Option<u64>, now: u64| {
        if let Some(confirmed) = confirmed {
            confirm(&mut harness, 1, at(confirmed));
        }
        harness.boot_time = at(now);
        outcome(&mut harness, KEYED_PATH, key("k"))
    };

    assert_eq!(ask_at(None, 1_000), unconfirmed(), "before the first read");
    assert_eq!(ask_at(Some(1_000), 5_700), named("a"));
    assert_eq!(ask_at(None, 5_750), unconfirmed(), "4.75 s after the read");
    assert_eq!(ask_at(None, 100_000), unconfirmed(), "after a suspension");
    assert_eq!(ask_at(Some(99_000), 100_000), named("a"));
    assert_eq!(ask_at(Some(50_000), 100_000), named("a"), "an older read");
}

/// Guards against an unknown key that is answered with 401 although a newer configuration may contain it, and against
/// callers without a key or on public routes that are refused because of keys of others.
#[test]
fn only_requests_that_depend_on_a_key_need_a_confirmation() {
    let mut harness = unconfirmed_harness(vec![workspace("a", &["k"])]);
    let mut ask = |path, credential| outcome(&mut harness, path, credential);

    assert_eq!(ask(KEYED_PATH, key("unknown")), unconfirmed());
    assert_eq!(ask(KEYED_PATH, Credential::Missing), UNAUTHENTICATED);
    assert_eq!(ask(PUBLIC_PATH, key("k")), named("a"));
    assert_eq!(ask(PUBLIC_PATH, Credential::Missing), ANONYMOUS);
}

/// Guards against deployments without workspaces that refuse requests, whatever their settings.
#[test]
fn without_workspaces_nothing_is_checked() {
    let mut harness = harness(vec![service_route("desk")], &["z-a"]);
    let bound = Some(REVOKE_WITHIN);
    harness.handle(ForwardEvent::RevokeWithinChanged(bound));

    let found = outcome(&mut harness, KEYED_PATH, key("k"));

    assert_eq!(found, Outcome::SentFor(CallerIdentity::Unchecked));
}

/// Guards against a reload of the settings that does not apply to the configuration in force.
#[test]
fn changed_bound_applies_at_once() {
    let mut harness = confirmed_harness(vec![workspace("a", &["k"])]);
    harness.boot_time = at(60_000);
    let mut ask_with = |bound| {
        harness.handle(ForwardEvent::RevokeWithinChanged(bound));
        outcome(&mut harness, KEYED_PATH, key("k"))
    };

    assert_eq!(ask_with(None), named("a"));
    assert_eq!(ask_with(Some(REVOKE_WITHIN)), unconfirmed());
    assert_eq!(ask_with(Some(Duration::from_secs(90))), named("a"));
}

/// Guards against a confirmation of a configuration that this node has not applied.
#[test]
fn confirmation_of_a_newer_version_does_not_count() {
    let mut harness = unconfirmed_harness(vec![workspace("a", &["k"])]);

    confirm(&mut harness, 2, at(0));

    assert_eq!(outcome(&mut harness, KEYED_PATH, key("k")), unconfirmed());
}

/// Guards against a workspace that gets the requests of another one refused by crashing upstreams with the same content.
#[test]
fn quarantine_of_one_workspace_does_not_concern_another() {
    let mut harness = confirmed_harness(vec![workspace("a", &["k-1"]), workspace("b", &["k-2"])]);
    let identity = CallerIdentity::Workspace("a".into());
    let digest = request(KEYED_PATH).digest(&identity);

    let age = Duration::ZERO;
    harness.handle(ForwardEvent::QuarantinedElsewhere { digest, age });

    let found = outcome(&mut harness, KEYED_PATH, key("k-1"));
    assert!(matches!(found, Outcome::Refused(_)), "{found:?}");
    assert_eq!(outcome(&mut harness, KEYED_PATH, key("k-2")), named("b"));
}

/// Guards against a workspace whose requests are refused by the priority of the route, although it has one of its own.
#[test]
fn priority_of_a_workspace_replaces_that_of_the_route() {
    let urgent = WorkspaceSettings {
        rank: Some(0),
        ..workspace("urgent", &["k-1"])
    };
    let late = WorkspaceSettings {
        rank: Some(9),
        ..workspace("late", &["k-2"])
    };
    let mut harness = confirmed_harness(vec![urgent, late, workspace("plain", &["k-3"])]);
    queue_requests(&mut harness, 16);
    let mut ask = |credential| outcome(&mut harness, KEYED_PATH, credential);

    assert_eq!(ask(key("k-1")), named("urgent"));
    assert!(matches!(ask(key("k-2")), Outcome::Refused(_)));
    assert_eq!(ask(key("k-3")), named("plain"), "the route has rank 1");
}

/// Makes the upstream reply in 18 ms, and report that many requests are waiting.
fn queue_requests(harness: &mut Harness, waiting: u32) {
    harness.send_request(ForwardRequest {
        credential: key("k-1"),
        ..request(KEYED_PATH)
    });
    let sent = harness.take_sent().remove(0);
    harness.advance(Duration::from_millis(18));
    let load = ReportedLoad {
        running: 3,
        waiting,
        slots: 3,
        service_percent: None,
    };
    harness.end_attempt_with_load(&sent, served_reply(LOW), Some(load));
    harness.take_answers();
}

/// Guards against keys in logs and messages of failed assertions: neither the key nor its complete digest is written.
#[test]
fn debug_output_shows_no_key() {
    let secret = "a-secret-key";
    let field = ("authorization".to_owned(), format!("Token {secret}").into());
    let request = ForwardRequest {
        credential: key(secret),
        fields: vec![field],
        ..request(KEYED_PATH)
    };
    let settings = configuration(1, vec![workspace("a", &[secret])]);

    let text = format!("{request:?} {:?} {settings:?}", request.credential);

    let digest = Digest::of(secret.as_bytes()).to_string();
    assert!(text.contains(&digest[..8]), "{text}");
    let bytes = format!("{:?}", Digest::of(secret.as_bytes()));
    for hidden in [secret, &digest[..9], &bytes] {
        assert!(!text.contains(hidden), "{text}");
    }
}

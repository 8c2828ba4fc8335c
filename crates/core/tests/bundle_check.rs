//! Guards against invalid bundles that pass validation, errors that hide other errors, and dangerous changes that are
//! accepted without consent.

use medlarpost_core::{
    bundle_check::{active_capacity_share, check},
    bundle_diff::check_change,
    prelude::*,
};

/// A valid bundle with two zones, a search service of two shards and a booking service.
fn bundle() -> Bundle {
    let text = r#"
        format = 1
        version = 7
        deployment = "tunelix"
        [[zone]]
        name = "pl-a"
        region = "poland"
        [[zone]]
        name = "pl-b"
        region = "poland"
        [[class]]
        name = "desk"
        prefer = "coverage"
        [[tenant]]
        name = "labs"
        class = "desk"
        token_sha256 = ["0101010101010101010101010101010101010101010101010101010101010101"]
        [[upstream]]
        name = "u-0"
        address = "127.0.0.1:9000"
        zone = "pl-a"
        slots = 3
        connections = 30
        connect_ms = 6
        [[upstream]]
        name = "u-1"
        address = "127.0.0.1:9001"
        zone = "pl-b"
        slots = 3
        connections = 30
        connect_ms = 6
        [[service]]
        name = "slot-search"
        kind = "search"
        [[service.layout]]
        index_version = 41
        shards = [["u-0", "u-1"], ["u-1", "u-0"]]
        [[service]]
        name = "tunnel-booking"
        kind = "booking"
        upstreams = ["u-0", "u-1"]
    "#;
    Bundle::from_toml(text).expect("the fixture is valid")
}

fn error_codes(errors: &[ValidationError]) -> Vec<&'static str> {
    errors.iter().map(|error| error.code.name()).collect()
}

/// Codes of the errors that validation reports after one change to the valid bundle.
fn error_codes_after_change(change: impl FnOnce(&mut Bundle)) -> Vec<&'static str> {
    let mut bundle = bundle();
    change(&mut bundle);
    error_codes(&check(&bundle, Some(5)))
}

#[test]
fn valid_bundle_has_no_errors() {
    let bundle = bundle();

    let errors = check(&bundle, Some(5));

    assert_eq!(errors, []);
}

#[test]
fn all_errors_are_reported_at_once_with_location_and_remedy() {
    let mut bundle = bundle();
    bundle.upstreams[0].zone = "pl-x".to_owned();
    bundle.workspaces[0].class = "phone".to_owned();
    bundle.services[0].layouts[0].shards[1] = vec!["u-9".to_owned(), "u-1".to_owned()];

    let errors = check(&bundle, None);

    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "[unknown-class] tenant labs: class \"phone\"; add the class or name an existing one",
            "[unknown-zone] upstream u-0: zone \"pl-x\"; add the zone or name an existing one",
            "[unknown-upstream] service slot-search, layout 41, shard 1: upstream \"u-9\"; \
             add the upstream or name an existing one",
        ]
    );
}

#[test]
fn each_error_has_its_code() {
    type Change = fn(&mut Bundle);
    let cases: [(&str, Change); 27] = [
        ("format", |b| b.format = 2),
        ("version-zero", |b| b.version = 0),
        ("name", |b| b.deployment = "a b".to_owned()),
        ("name", |b| b.deployment = "a".repeat(65)),
        ("unknown-consent", |b| {
            b.consents = vec!["format".to_owned()];
        }),
        ("list-length", |b| b.workspaces.clear()),
        ("list-length", |b| b.workspaces[0].token_sha256.clear()),
        ("list-length", |b| {
            b.workspaces[0].token_sha256 = (0..5).map(|n| Digest([n; 32])).collect();
        }),
        ("empty-token", |b| {
            b.workspaces[0].token_sha256[0] = Digest::of(b"");
        }),
        ("number-range", |b| b.limits.capacity_floor = f64::NAN),
        ("number-range", |b| b.limits.max_deadline_ms = 60_001),
        ("number-range", |b| b.limits.max_results = 0),
        ("number-range", |b| b.limits.queue_length = 0),
        ("number-range", |b| b.policy.extra_load = 1.01),
        ("number-range", |b| b.policy.hedge_quantile = -0.1),
        ("number-range", |b| b.policy.warm_step_replies = 0),
        ("number-range", |b| b.classes[0].weight = 0),
        ("number-range", |b| b.upstreams[0].cold_slots = 4),
        ("number-range", |b| b.upstreams[0].connections = 0),
        ("connections-below-nodes", |b| {
            b.upstreams[0].connections = 4;
        }),
        ("duplicate", |b| b.zones[1].name = "pl-a".to_owned()),
        ("duplicate", |b| {
            b.upstreams[1].address = b.upstreams[0].address;
        }),
        ("duplicate", |b| {
            b.services[0].layouts[0].shards[0][1] = "u-0".to_owned();
        }),
        ("empty-replica-set", |b| {
            b.services[0].layouts[0].shards[0].clear();
        }),
        ("layout-order", |b| {
            let older = b.services[0].layouts[0].clone();
            b.services[0].layouts.push(older);
        }),
        ("wrong-kind", |b| {
            b.services[0].upstreams = vec!["u-0".to_owned()];
        }),
        ("no-upstreams", |b| b.services[1].upstreams.clear()),
    ];

    let found = cases.map(|(code, change)| (code, error_codes_after_change(change)));

    for (code, error_codes) in found {
        assert!(
            error_codes.contains(&code),
            "{code} is not among {error_codes:?}"
        );
    }
}

#[test]
fn token_shared_by_two_workspaces_is_an_error() {
    let error_codes = error_codes_after_change(|bundle| {
        let second = Workspace {
            name: "firm".to_owned(),
            ..bundle.workspaces[0].clone()
        };
        bundle.workspaces.push(second);
    });

    assert_eq!(error_codes, ["duplicate"]);
}

#[test]
fn dangerous_changes_are_refused_until_the_bundle_consents() {
    let mut all_out = bundle();
    for zone in &mut all_out.zones {
        zone.state = ZoneState::Out;
    }
    let mut below_floor = bundle();
    below_floor.limits.capacity_floor = 0.6;
    below_floor.zones[0].state = ZoneState::Out;
    let mut shard_out = bundle();
    shard_out.upstreams[0].state = UpstreamState::Leaving;
    shard_out.services[0].layouts[0].shards[1] = vec!["u-0".to_owned()];
    shard_out.services[1].upstreams = vec!["u-0".to_owned()];

    let refused =
        [&all_out, &below_floor, &shard_out].map(|bundle| error_codes(&check(bundle, None)));
    let accepted = [all_out, below_floor, shard_out].map(|mut bundle| {
        let errors = check(&bundle, None);
        bundle.consents = error_codes(&errors)
            .iter()
            .map(|&code| code.to_owned())
            .collect();
        check(&bundle, None)
    });

    assert_eq!(
        refused,
        [
            vec!["all-zones-out"],
            vec!["capacity-below-floor"],
            vec!["shard-out", "booking-out"]
        ]
    );
    assert_eq!(accepted, [vec![], vec![], vec![]]);
}

#[test]
fn consent_does_not_cover_an_error_that_is_not_a_dangerous_change() {
    let error_codes = error_codes_after_change(|bundle| {
        bundle.consents = vec!["unknown-zone".to_owned()];
        bundle.upstreams[0].zone = "pl-x".to_owned();
    });

    assert!(error_codes.contains(&"unknown-zone"), "{error_codes:?}");
    assert!(error_codes.contains(&"unknown-consent"), "{error_codes:?}");
}

#[test]
fn revert_or_removal_of_the_newest_index_is_refused_until_the_bundle_consents() {
    let old = bundle();
    let mut new = bundle();
    new.deployment = "alliance".to_owned();
    new.services[0].layouts[0].index_version = 40;

    let refused = check_change(&old, &new);
    new.consents = error_codes(&refused)
        .iter()
        .map(|&code| code.to_owned())
        .collect();
    let accepted = check_change(&old, &new);

    assert_eq!(
        error_codes(&refused),
        [
            "version-not-higher",
            "deployment-changed",
            "newest-index-removed"
        ]
    );
    assert_eq!(accepted, []);
}

#[test]
fn diff_lists_what_changes() {
    let old = bundle();
    let mut new = bundle();
    new.version = 8;
    new.zones[0].state = ZoneState::Out;
    new.upstreams[1].state = UpstreamState::Leaving;
    new.upstreams.push(Upstream {
        name: "u-2".to_owned(),
        address: ADDED_UPSTREAM_ADDRESS,
        ..old.upstreams[1].clone()
    });
    new.limits.max_results = 500;
    new.workspaces[0].firms = vec!["firm-0".to_owned()];
    let mut newer = new.services[0].layouts[0].clone();
    newer.index_version = 42;
    new.services[0].layouts.push(newer);

    let diff = BundleDiff::between(&old, &new);

    assert_eq!(diff.version, (7, 8));
    assert_eq!(diff.zones_out, ["pl-a"]);
    assert_eq!(diff.zones_in, [""; 0]);
    assert_eq!(diff.upstreams_added, ["u-2"]);
    assert_eq!(diff.upstreams_leaving, ["u-1"]);
    assert_eq!(diff.upstreams_changed, [""; 0]);
    assert_eq!(diff.index_added, ["slot-search 42"]);
    assert_eq!(diff.index_removed, [""; 0]);
    assert_eq!(diff.services_changed, ["slot-search"]);
    assert_eq!(diff.workspaces_changed, ["labs"]);
    assert_eq!(diff.limits_changed, ["limits.max_results: 1000 -> 500"]);
    assert!((diff.capacity_in.0 - 1.0).abs() < 1e-9);
    assert!((diff.capacity_in.1 - 1.0 / 3.0).abs() < 1e-9);
    assert!((active_capacity_share(&new) - diff.capacity_in.1).abs() < 1e-9);
}

const ADDED_UPSTREAM_ADDRESS: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9_002);

//! Guards against checks of the soak that can't fail: each check gets observations that violate its invariant.

use medlarctl::{
    soak_checks::{Invariant, SoakChecks},
    soak_history::{
        Disturbance, InstanceRecord, PublishedConfiguration, SoakBounds, SoakHistory, TimeSpan,
    },
    soak_observation::{
        Observation, RequestKind, RequestOutcome, RunReport, SentRequest, SoakTime,
    },
};
use medlarpost_stand_in::{ReceivedAnswer, merge_records, records_for_stamp};

const SECOND: SoakTime = 1_000_000;

/// When the requests of these tests are sent; long after the start of the run.
const SENT_AT: SoakTime = 100 * SECOND;

const BOUNDS: SoakBounds = SoakBounds {
    store_contact: 4 * SECOND,
    drain: 3 * SECOND,
    config_apply: 3 * SECOND,
    revoke: 5 * SECOND,
    evacuate: 5 * SECOND,
    recovery: 12 * SECOND,
    cold_requests_per_second: 3,
    extra_ratio: 0.2,
    extra_slack: 2.0,
    extra_window: 10 * SECOND,
};

/// Key that requests are sent with, and the workspace that holds it.
const KEY: &str = "key";
const WORKSPACE: &str = "w-a";

/// One node, one upstream of each of two shards and of the desk service, and one configuration. An upstream was
/// disturbed until the requests, so that the recovery check does not apply.
fn history() -> SoakHistory {
    let record = |service: &str| InstanceRecord {
        service: service.to_owned(),
        zone: "z-a".to_owned(),
        cold_until: 0,
        leaving: None,
    };
    let disturbed = TimeSpan {
        from: SECOND,
        until: Some(SENT_AT),
    };
    let instances = [
        ("i-desk", record("desk")),
        ("i-0", record("first-0")),
        ("i-1", record("first-1")),
    ];
    SoakHistory {
        node_disturbances: vec![Vec::new()],
        instances: instances
            .into_iter()
            .map(|(name, record)| (name.to_owned(), record))
            .collect(),
        configurations: vec![configuration(1, SECOND, &[1])],
        upstream_disturbances: [(0, vec![disturbed])].into(),
        ..SoakHistory::default()
    }
}

fn configuration(
    version: u64,
    published_at: SoakTime,
    added_routes: &[u64],
) -> PublishedConfiguration {
    PublishedConfiguration {
        version,
        published_at,
        added_routes: added_routes.to_vec(),
        shard_services: vec!["first-0".to_owned(), "first-1".to_owned()],
        key_holders: [(KEY.to_owned(), WORKSPACE.to_owned())].into(),
    }
}

fn sent(id: &str, kind: RequestKind) -> Observation {
    Observation::RequestSent(SentRequest {
        id: id.to_owned(),
        sent_at: SENT_AT,
        node: 0,
        kind,
        request_line: format!("GET /x/{id}"),
        body: String::new(),
        key: Some(KEY.to_owned()),
    })
}

fn ran(id: &str, instance: &str, number: u32, at: SoakTime) -> Observation {
    Observation::RequestRan(RunReport {
        at,
        instance: instance.to_owned(),
        id: id.to_owned(),
        stamp: format!("{instance}.{number}"),
        line: format!("GET /x/{id}"),
        body: String::new(),
        workspace: Some(WORKSPACE.to_owned()),
        has_key: false,
    })
}

fn ended(id: &str, outcome: RequestOutcome) -> Observation {
    Observation::RequestEnded {
        id: id.to_owned(),
        at: SENT_AT + SECOND / 10,
        outcome,
    }
}

fn failure(status: u16) -> RequestOutcome {
    RequestOutcome::Answered(ReceivedAnswer::failure(status))
}

/// The whole answer of the run of the desk service with this number.
fn desk_answer(number: u32) -> RequestOutcome {
    let stamp = format!("i-desk.{number}");
    RequestOutcome::Answered(ReceivedAnswer::of_upstream(
        &stamp,
        &records_for_stamp(&stamp),
    ))
}

fn merged_answer(parts: &[&str], missing: usize) -> RequestOutcome {
    let bodies: Vec<_> = parts.iter().map(|stamp| records_for_stamp(stamp)).collect();
    let body = merge_records(&bodies, 5);
    RequestOutcome::Answered(ReceivedAnswer::of_shards(parts, missing, &body))
}

/// Invariants that the checks find violated by these observations.
fn violations(history: &SoakHistory, observations: Vec<Observation>) -> Vec<Invariant> {
    let mut checks = SoakChecks::new(BOUNDS);
    for observation in observations {
        checks.observe(observation);
    }
    checks.finish(history, SENT_AT + 60 * SECOND);
    checks
        .findings()
        .iter()
        .map(|finding| finding.invariant)
        .collect()
}

fn unplanned_disturbance(from: SoakTime, until: SoakTime) -> (Disturbance, TimeSpan) {
    let until = Some(until);
    (Disturbance::Unplanned, TimeSpan { from, until })
}

#[test]
fn correct_observations_violate_nothing() {
    let observations = vec![
        sent("a", RequestKind::Book),
        ran("a", "i-desk", 1, SENT_AT),
        ended("a", desk_answer(1)),
        sent("b", RequestKind::Query),
        ran("b", "i-0", 1, SENT_AT),
        ran("b", "i-1", 1, SENT_AT),
        ended("b", merged_answer(&["i-0.1", "i-1.1"], 0)),
        sent("c", RequestKind::Book),
        ended("c", failure(503)),
    ];

    assert_eq!(violations(&history(), observations), []);
}

#[test]
fn booking_that_runs_twice_is_found() {
    let observations = vec![
        sent("a", RequestKind::Book),
        ran("a", "i-desk", 1, SENT_AT),
        ran("a", "i-desk", 2, SENT_AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(
        violations(&history(), observations),
        [Invariant::AtMostOnce]
    );
}

#[test]
fn not_run_refusal_of_a_booking_that_ran_is_found() {
    let observations = vec![
        sent("a", RequestKind::Book),
        ended("a", failure(503)),
        ran("a", "i-desk", 1, SENT_AT + SECOND),
    ];

    assert_eq!(
        violations(&history(), observations),
        [Invariant::TrueRefusal]
    );
}

#[test]
fn answer_of_another_request_is_found() {
    let observations = vec![
        sent("a", RequestKind::Read),
        sent("b", RequestKind::Read),
        ran("a", "i-desk", 1, SENT_AT),
        ran("b", "i-desk", 2, SENT_AT),
        ended("a", desk_answer(2)),
        ended("b", desk_answer(2)),
    ];

    assert_eq!(
        violations(&history(), observations),
        [Invariant::WholeAnswer]
    );
}

#[test]
fn truncated_body_is_found() {
    let truncated = &records_for_stamp("i-desk.1")[..16];
    let answer = ReceivedAnswer::of_upstream("i-desk.1", truncated);
    let observations = vec![
        sent("a", RequestKind::Read),
        ran("a", "i-desk", 1, SENT_AT),
        ended("a", RequestOutcome::Answered(answer)),
    ];

    assert_eq!(
        violations(&history(), observations),
        [Invariant::WholeAnswer]
    );
}

#[test]
fn merge_that_hides_a_missing_shard_or_repeats_one_is_found() {
    for outcome in [
        merged_answer(&["i-0.1"], 0),
        merged_answer(&["i-0.1", "i-0.2"], 0),
        merged_answer(&["i-0.1", "i-1.1"], 1),
    ] {
        let observations = vec![
            sent("a", RequestKind::Query),
            ran("a", "i-0", 1, SENT_AT),
            ran("a", "i-0", 2, SENT_AT),
            ran("a", "i-1", 1, SENT_AT),
            ended("a", outcome),
        ];

        assert_eq!(
            violations(&history(), observations),
            [Invariant::WholeAnswer]
        );
    }
}

#[test]
fn run_of_a_request_that_was_not_sent_or_was_altered_is_found() {
    let not_sent = vec![ran("z", "i-desk", 1, SENT_AT)];
    let altered = Observation::RequestRan(RunReport {
        at: SENT_AT,
        instance: "i-desk".to_owned(),
        id: "a".to_owned(),
        stamp: "i-desk.1".to_owned(),
        line: "GET /other".to_owned(),
        body: String::new(),
        workspace: Some(WORKSPACE.to_owned()),
        has_key: false,
    });
    let altered = vec![
        sent("a", RequestKind::Read),
        altered,
        ended("a", desk_answer(1)),
    ];

    assert_eq!(violations(&history(), not_sent), [Invariant::OnlyAsked]);
    assert_eq!(violations(&history(), altered), [Invariant::OnlyAsked]);
}

#[test]
fn run_at_a_leaving_upstream_is_found_after_the_drain_bound_only() {
    let mut history = history();
    let leaving = SENT_AT - 4 * SECOND;
    history.instances.get_mut("i-desk").unwrap().leaving = Some(leaving);
    let observations = |at| {
        vec![
            sent("a", RequestKind::Read),
            ran("a", "i-desk", 1, at),
            ended("a", desk_answer(1)),
        ]
    };

    assert_eq!(
        violations(&history, observations(SENT_AT)),
        [Invariant::Drained]
    );
    assert_eq!(violations(&history, observations(leaving + 2 * SECOND)), []);
    // A node without contact to the store could not know that the upstream was leaving.
    history.node_disturbances[0].push(unplanned_disturbance(leaving - SECOND, leaving + SECOND));
    assert_eq!(violations(&history, observations(SENT_AT)), []);
}

#[test]
fn run_in_a_zone_that_is_out_is_found_after_the_evacuation_bound_only() {
    let mut history = history();
    let out = TimeSpan {
        from: SENT_AT - 6 * SECOND,
        until: None,
    };
    history.zones_out.push(("z-a".to_owned(), out));
    let observations = vec![
        sent("a", RequestKind::Read),
        ran("a", "i-desk", 1, SENT_AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(
        violations(&history, observations.clone()),
        [Invariant::ZoneOut]
    );
    history.zones_out[0].1.from = SENT_AT - 4 * SECOND;
    assert_eq!(violations(&history, observations), []);
}

#[test]
fn outdated_configuration_is_found_after_the_apply_bound_only() {
    let mut history = history();
    let observations = vec![sent("a", RequestKind::Added(2)), ended("a", failure(404))];

    history
        .configurations
        .push(configuration(2, SENT_AT - 4 * SECOND, &[1, 2]));
    assert_eq!(
        violations(&history, observations.clone()),
        [Invariant::Configured]
    );
    history.configurations[1].published_at = SENT_AT - 2 * SECOND;
    assert_eq!(violations(&history, observations), []);
}

#[test]
fn run_by_a_dropped_route_is_found() {
    let mut history = history();
    history
        .configurations
        .push(configuration(2, SENT_AT - 4 * SECOND, &[2]));
    let observations = vec![
        sent("a", RequestKind::Added(1)),
        ran("a", "i-desk", 1, SENT_AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(violations(&history, observations), [Invariant::Configured]);
}

#[test]
fn request_cut_off_by_a_planned_stop_is_found() {
    let mut history = history();
    let until = Some(SENT_AT + SECOND);
    let stop = TimeSpan {
        from: SENT_AT,
        until,
    };
    history.node_disturbances[0].push((Disturbance::Planned, stop));
    let observations = vec![
        sent("a", RequestKind::Read),
        ran("a", "i-desk", 1, SENT_AT),
        ended("a", RequestOutcome::CutOff),
    ];

    assert_eq!(
        violations(&history, observations.clone()),
        [Invariant::NothingCutOff]
    );
    history.node_disturbances[0].push(unplanned_disturbance(SENT_AT, SENT_AT + SECOND));
    assert_eq!(violations(&history, observations), []);
}

#[test]
fn too_many_requests_at_a_cold_upstream_are_found() {
    let mut history = history();
    history.instances.get_mut("i-desk").unwrap().cold_until = SENT_AT + SECOND;
    let mut observations = Vec::new();
    for number in 0..4 {
        let id = format!("a{number}");
        observations.push(sent(&id, RequestKind::Read));
        observations.push(ran(&id, "i-desk", number, SENT_AT + u64::from(number)));
        observations.push(ended(&id, desk_answer(number)));
    }

    assert_eq!(
        violations(&history, observations.clone()),
        [Invariant::ColdLimit]
    );
    history.instances.get_mut("i-desk").unwrap().cold_until = SENT_AT;
    assert_eq!(violations(&history, observations), []);
}

#[test]
fn extra_requests_beyond_the_budget_are_found() {
    let mut observations = Vec::new();
    for number in 0..3 {
        let id = format!("a{number}");
        observations.push(sent(&id, RequestKind::Read));
        for run in 0..2 {
            let at = SENT_AT + SECOND * u64::from(run);
            observations.push(ran(&id, "i-desk", 2 * number + run, at));
        }
        observations.push(ended(&id, desk_answer(2 * number)));
    }

    // Three extra requests for three primary ones, where 0.2 x 3 + 2 are allowed.
    assert_eq!(
        violations(&history(), observations),
        [Invariant::ExtraLimit]
    );
}

#[test]
fn fleet_that_does_not_recover_is_found() {
    let mut history = history();
    history.upstream_disturbances.clear();
    history.node_disturbances[0].push(unplanned_disturbance(SECOND, 2 * SECOND));
    let observations = vec![
        sent("a", RequestKind::Read),
        ended("a", failure(503)),
        sent("b", RequestKind::Read),
        ended("b", RequestOutcome::TimedOut),
    ];

    assert_eq!(violations(&history, observations), [Invariant::Recovered]);
}

/// Guards against work in a zone that goes unseen, because the return of another zone ended its time out as well.
#[test]
fn return_of_a_zone_ends_only_its_own_time_out() {
    let mut history = history();
    let out = TimeSpan {
        from: SECOND,
        until: None,
    };
    history.zones_out = vec![("z-a".to_owned(), out), ("z-b".to_owned(), out)];

    history.end_zone_out("z-b", 2 * SECOND);

    let ends = history.zones_out.iter().map(|(_, span)| span.until);
    assert_eq!(ends.collect::<Vec<_>>(), [None, Some(2 * SECOND)]);
}

/// A history in which a configuration that was published at this time gives the key to another workspace, or to none.
fn history_with_moved_key(published_at: SoakTime, holder: Option<&str>) -> SoakHistory {
    let mut history = history();
    let mut newer = configuration(2, published_at, &[1]);
    newer.key_holders = holder
        .map(|holder| (KEY.to_owned(), holder.to_owned()))
        .into_iter()
        .collect();
    history.configurations.push(newer);
    history
}

#[test]
fn run_with_a_key_that_was_removed_is_found_after_the_bound_only() {
    let observations = || {
        vec![
            sent("a", RequestKind::Read),
            ran("a", "i-desk", 1, SENT_AT),
            ended("a", desk_answer(1)),
        ]
    };
    let removed = |at| violations(&history_with_moved_key(at, None), observations());

    assert_eq!(removed(SENT_AT - 5 * SECOND), []);
    assert_eq!(removed(SENT_AT - 5 * SECOND - 1), [Invariant::Revoked]);
}

#[test]
fn run_for_another_workspace_or_with_the_key_is_found() {
    let moved = history_with_moved_key(SECOND * 2, Some("w-b"));
    let observations = |has_key| {
        let mut run = ran("a", "i-desk", 1, SENT_AT);
        if let Observation::RequestRan(report) = &mut run {
            report.has_key = has_key;
        }
        vec![
            sent("a", RequestKind::Read),
            run,
            ended("a", desk_answer(1)),
        ]
    };

    assert_eq!(violations(&moved, observations(false)), [Invariant::Named]);
    assert_eq!(
        violations(&history(), observations(true)),
        [Invariant::Named]
    );
}

#[test]
fn refusal_of_a_key_is_found_if_all_possible_configurations_have_it() {
    let observations = || vec![sent("a", RequestKind::Read), ended("a", failure(401))];
    let mut disturbed = history();
    disturbed.node_disturbances[0].push(unplanned_disturbance(SENT_AT - SECOND, SENT_AT));
    let removed = history_with_moved_key(SENT_AT - SECOND, None);

    let found = violations(&history(), observations());

    assert_eq!(found, [Invariant::Revoked]);
    assert_eq!(violations(&disturbed, observations()), []);
    assert_eq!(violations(&removed, observations()), []);
}

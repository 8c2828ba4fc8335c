//! Guards against checks of the soak that can't fail: each is fed a record that breaks its promise.

use medlarctl::{
    soak_checks::{Promise, SoakChecks},
    soak_observation::{Asked, AskedKind, Ending, Observation, RunReport, SoakTime},
    soak_world::{Disturbance, InstanceLife, PublishedConfiguration, SoakBounds, SoakWorld, Span},
};
use medlarpost_stand_in::{ReceivedAnswer, merge_records, records_for_stamp};

const SECOND: SoakTime = 1_000_000;

/// When the requests of these tests are sent; long after the begin of the world.
const AT: SoakTime = 100 * SECOND;

const BOUNDS: SoakBounds = SoakBounds {
    contact: 4 * SECOND,
    drain: 3 * SECOND,
    apply: 3 * SECOND,
    evacuate: 5 * SECOND,
    recovery: 12 * SECOND,
    cold_requests: 3,
    extra_ratio: 0.2,
    extra_slack: 2.0,
    extra_window: 10 * SECOND,
};

/// One node, one upstream of each of two shards and of the desk, and one configuration. An upstream was harmed until the
/// requests, so that the fleet need not have recovered.
fn world() -> SoakWorld {
    let life = |service: &str| InstanceLife {
        service: service.to_owned(),
        zone: "z-a".to_owned(),
        cold_until: 0,
        leaving: None,
    };
    let harmed = Span {
        from: SECOND,
        until: Some(AT),
    };
    let instances = [
        ("i-desk", life("desk")),
        ("i-0", life("first-0")),
        ("i-1", life("first-1")),
    ];
    SoakWorld {
        nodes: vec![Vec::new()],
        instances: instances
            .into_iter()
            .map(|(name, life)| (name.to_owned(), life))
            .collect(),
        configurations: vec![configuration(1, SECOND, &[1])],
        upstreams: [(0, vec![harmed])].into(),
        ..SoakWorld::default()
    }
}

fn configuration(version: u64, at: SoakTime, added: &[u64]) -> PublishedConfiguration {
    PublishedConfiguration {
        version,
        at,
        added: added.to_vec(),
        shards: vec!["first-0".to_owned(), "first-1".to_owned()],
    }
}

fn asked(id: &str, kind: AskedKind) -> Observation {
    Observation::Asked(Asked {
        id: id.to_owned(),
        at: AT,
        node: 0,
        kind,
        line: format!("GET /x/{id}"),
        body: String::new(),
    })
}

fn ran(id: &str, instance: &str, number: u32, at: SoakTime) -> Observation {
    Observation::Ran(RunReport {
        at,
        instance: instance.to_owned(),
        id: id.to_owned(),
        stamp: format!("{instance}.{number}"),
        line: format!("GET /x/{id}"),
        body: String::new(),
    })
}

fn ended(id: &str, ending: Ending) -> Observation {
    Observation::Ended {
        id: id.to_owned(),
        at: AT + SECOND / 10,
        ending,
    }
}

fn failure(status: u16) -> Ending {
    Ending::Answered(ReceivedAnswer::failure(status))
}

/// The whole answer of the run of the desk with this number.
fn desk_answer(number: u32) -> Ending {
    let stamp = format!("i-desk.{number}");
    Ending::Answered(ReceivedAnswer::of_upstream(
        &stamp,
        &records_for_stamp(&stamp),
    ))
}

fn merged(parts: &[&str], missing: usize) -> Ending {
    let bodies: Vec<_> = parts.iter().map(|stamp| records_for_stamp(stamp)).collect();
    let body = merge_records(&bodies, 5);
    Ending::Answered(ReceivedAnswer::of_shards(parts, missing, &body))
}

/// Promises that are found broken when this was seen.
fn broken(world: &SoakWorld, seen: Vec<Observation>) -> Vec<Promise> {
    let mut checks = SoakChecks::new(BOUNDS);
    for observation in seen {
        checks.observe(observation);
    }
    checks.finish(world, AT + 60 * SECOND);
    checks
        .findings()
        .iter()
        .map(|found| found.promise)
        .collect()
}

fn unplanned(from: SoakTime, until: SoakTime) -> (Disturbance, Span) {
    let until = Some(until);
    (Disturbance::Unplanned, Span { from, until })
}

#[test]
fn a_clean_record_breaks_nothing() {
    let seen = vec![
        asked("a", AskedKind::Book),
        ran("a", "i-desk", 1, AT),
        ended("a", desk_answer(1)),
        asked("b", AskedKind::Query),
        ran("b", "i-0", 1, AT),
        ran("b", "i-1", 1, AT),
        ended("b", merged(&["i-0.1", "i-1.1"], 0)),
        asked("c", AskedKind::Book),
        ended("c", failure(503)),
    ];

    assert_eq!(broken(&world(), seen), []);
}

#[test]
fn a_booking_that_runs_twice_is_found() {
    let seen = vec![
        asked("a", AskedKind::Book),
        ran("a", "i-desk", 1, AT),
        ran("a", "i-desk", 2, AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(broken(&world(), seen), [Promise::AtMostOnce]);
}

#[test]
fn a_refusal_of_a_booking_that_ran_is_found() {
    let seen = vec![
        asked("a", AskedKind::Book),
        ended("a", failure(503)),
        ran("a", "i-desk", 1, AT + SECOND),
    ];

    assert_eq!(broken(&world(), seen), [Promise::TrueRefusal]);
}

#[test]
fn an_answer_of_another_request_is_found() {
    let seen = vec![
        asked("a", AskedKind::Read),
        asked("b", AskedKind::Read),
        ran("a", "i-desk", 1, AT),
        ran("b", "i-desk", 2, AT),
        ended("a", desk_answer(2)),
        ended("b", desk_answer(2)),
    ];

    assert_eq!(broken(&world(), seen), [Promise::WholeAnswer]);
}

#[test]
fn a_cut_body_is_found() {
    let cut = &records_for_stamp("i-desk.1")[..16];
    let answer = ReceivedAnswer::of_upstream("i-desk.1", cut);
    let seen = vec![
        asked("a", AskedKind::Read),
        ran("a", "i-desk", 1, AT),
        ended("a", Ending::Answered(answer)),
    ];

    assert_eq!(broken(&world(), seen), [Promise::WholeAnswer]);
}

#[test]
fn a_merge_that_hides_a_missing_shard_or_repeats_one_is_found() {
    for ending in [
        merged(&["i-0.1"], 0),
        merged(&["i-0.1", "i-0.2"], 0),
        merged(&["i-0.1", "i-1.1"], 1),
    ] {
        let seen = vec![
            asked("a", AskedKind::Query),
            ran("a", "i-0", 1, AT),
            ran("a", "i-0", 2, AT),
            ran("a", "i-1", 1, AT),
            ended("a", ending),
        ];

        assert_eq!(broken(&world(), seen), [Promise::WholeAnswer]);
    }
}

#[test]
fn a_run_that_nobody_asked_for_or_that_was_changed_is_found() {
    let unasked = vec![ran("z", "i-desk", 1, AT)];
    let changed = Observation::Ran(RunReport {
        at: AT,
        instance: "i-desk".to_owned(),
        id: "a".to_owned(),
        stamp: "i-desk.1".to_owned(),
        line: "GET /other".to_owned(),
        body: String::new(),
    });
    let changed = vec![
        asked("a", AskedKind::Read),
        changed,
        ended("a", desk_answer(1)),
    ];

    assert_eq!(broken(&world(), unasked), [Promise::OnlyAsked]);
    assert_eq!(broken(&world(), changed), [Promise::OnlyAsked]);
}

#[test]
fn work_for_a_leaving_upstream_is_found_after_the_bound_only() {
    let mut world = world();
    let leaving = AT - 4 * SECOND;
    world.instances.get_mut("i-desk").unwrap().leaving = Some(leaving);
    let seen = |at| {
        vec![
            asked("a", AskedKind::Read),
            ran("a", "i-desk", 1, at),
            ended("a", desk_answer(1)),
        ]
    };

    assert_eq!(broken(&world, seen(AT)), [Promise::Drained]);
    assert_eq!(broken(&world, seen(leaving + 2 * SECOND)), []);
    // A node that was cut off from the store could not know.
    world.nodes[0].push(unplanned(leaving - SECOND, leaving + SECOND));
    assert_eq!(broken(&world, seen(AT)), []);
}

#[test]
fn work_for_a_zone_that_is_out_is_found_after_the_bound_only() {
    let mut world = world();
    let out = Span {
        from: AT - 6 * SECOND,
        until: None,
    };
    world.zones_out.push(("z-a".to_owned(), out));
    let seen = vec![
        asked("a", AskedKind::Read),
        ran("a", "i-desk", 1, AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(broken(&world, seen.clone()), [Promise::ZoneOut]);
    world.zones_out[0].1.from = AT - 4 * SECOND;
    assert_eq!(broken(&world, seen), []);
}

#[test]
fn an_outdated_configuration_is_found_after_the_bound_only() {
    let mut world = world();
    let seen = vec![asked("a", AskedKind::Added(2)), ended("a", failure(404))];

    world
        .configurations
        .push(configuration(2, AT - 4 * SECOND, &[1, 2]));
    assert_eq!(broken(&world, seen.clone()), [Promise::Configured]);
    world.configurations[1].at = AT - 2 * SECOND;
    assert_eq!(broken(&world, seen), []);
}

#[test]
fn a_run_by_a_dropped_route_is_found() {
    let mut world = world();
    world
        .configurations
        .push(configuration(2, AT - 4 * SECOND, &[2]));
    let seen = vec![
        asked("a", AskedKind::Added(1)),
        ran("a", "i-desk", 1, AT),
        ended("a", desk_answer(1)),
    ];

    assert_eq!(broken(&world, seen), [Promise::Configured]);
}

#[test]
fn a_request_that_a_planned_stop_cuts_off_is_found() {
    let mut world = world();
    let until = Some(AT + SECOND);
    let stop = Span { from: AT, until };
    world.nodes[0].push((Disturbance::Planned, stop));
    let seen = vec![
        asked("a", AskedKind::Read),
        ran("a", "i-desk", 1, AT),
        ended("a", Ending::CutOff),
    ];

    assert_eq!(broken(&world, seen.clone()), [Promise::NothingCutOff]);
    world.nodes[0].push(unplanned(AT, AT + SECOND));
    assert_eq!(broken(&world, seen), []);
}

#[test]
fn too_many_requests_for_a_cold_upstream_are_found() {
    let mut world = world();
    world.instances.get_mut("i-desk").unwrap().cold_until = AT + SECOND;
    let mut seen = Vec::new();
    for number in 0..4 {
        let id = format!("a{number}");
        seen.push(asked(&id, AskedKind::Read));
        seen.push(ran(&id, "i-desk", number, AT + u64::from(number)));
        seen.push(ended(&id, desk_answer(number)));
    }

    assert_eq!(broken(&world, seen.clone()), [Promise::ColdLimit]);
    world.instances.get_mut("i-desk").unwrap().cold_until = AT;
    assert_eq!(broken(&world, seen), []);
}

#[test]
fn extra_requests_beyond_the_budget_are_found() {
    let mut seen = Vec::new();
    for number in 0..3 {
        let id = format!("a{number}");
        seen.push(asked(&id, AskedKind::Read));
        for run in 0..2 {
            let at = AT + SECOND * u64::from(run);
            seen.push(ran(&id, "i-desk", 2 * number + run, at));
        }
        seen.push(ended(&id, desk_answer(2 * number)));
    }

    // Three extra ones to three requests: 0.2 x 3 + 2 are allowed.
    assert_eq!(broken(&world(), seen), [Promise::ExtraLimit]);
}

#[test]
fn a_fleet_that_does_not_recover_is_found() {
    let mut world = world();
    world.upstreams.clear();
    world.nodes[0].push(unplanned(SECOND, 2 * SECOND));
    let seen = vec![
        asked("a", AskedKind::Read),
        ended("a", failure(503)),
        asked("b", AskedKind::Read),
        ended("b", Ending::Late),
    ];

    assert_eq!(broken(&world, seen), [Promise::Recovered]);
}

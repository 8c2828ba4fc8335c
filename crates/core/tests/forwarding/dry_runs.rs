//! Dry runs: they decide as a real request would, and change nothing.

use crate::forward_harness::*;
use medlarpost_core::prelude::*;

const LOAD: ReportedLoad = ReportedLoad {
    running: 2,
    waiting: 0,
    slots: 3,
    service_percent: None,
};

/// A harness with a sharded route whose replicas have reported their load.
fn loaded_harness() -> Harness {
    let mut harness = harness(
        vec![route("find", shards_target(3, 0.5)), service_route("desk")],
        &["z-a", "z-b"],
    );
    for _ in 0..4 {
        harness.send_request(request("/find/x"));
        for sent in harness.take_sent() {
            harness.end_attempt_with_load(&sent, served_reply(LOW), Some(LOAD));
        }
        harness.advance(Duration::from_millis(20));
    }
    harness
}

fn dry_run(harness: &Harness, path: &str) -> Result<DryRunReport, DryRunError> {
    let caller = DryRunCaller::Credential;
    let (now, arrived_at) = (harness.now, harness.boot_time);
    harness
        .forwarder
        .dry_run(now, arrived_at, request(path), &caller)
}

fn chosen_instances(report: &DryRunReport) -> Vec<String> {
    let instance = |shard: &DryRunShard| {
        let key = shard.chosen.first()?;
        let replica = shard.replicas.iter().find(|r| r.upstream == *key)?;
        Some(replica.instance.to_string())
    };
    report.shards.iter().filter_map(instance).collect()
}

/// Guards against a dry run that decides by other rules than a request, or uses up a random draw or a budget.
#[test]
fn dry_runs_predict_the_next_request_and_change_nothing() {
    let mut harness = loaded_harness();
    let before = format!("{:?}", harness.forwarder);

    let reports: Vec<_> = (0..20).map(|_| dry_run(&harness, "/find/x")).collect();
    let after = format!("{:?}", harness.forwarder);
    harness.send_request(request("/find/x"));
    let sent: Vec<_> = harness
        .take_sent()
        .into_iter()
        .map(|s| s.instance)
        .collect();

    assert_eq!(before, after);
    for report in reports {
        let report = report.expect("the route exists");
        assert_eq!(report.verdict, DryRunVerdict::Send);
        assert_eq!(chosen_instances(&report), sent);
    }
}

/// Guards against beliefs without their source and age, by which an operator can't judge them.
#[test]
fn beliefs_have_their_source_and_age() {
    let mut harness = loaded_harness();
    harness.advance(Duration::from_millis(300));

    let report = dry_run(&harness, "/find/x").expect("the route exists");

    let shard = &report.shards[0];
    let used = shard.replicas.iter().find(|replica| replica.load.is_some());
    let load = used.and_then(|replica| replica.load);
    let load = load.expect("one of them has replied");
    assert_eq!((load.source, load.load), (LoadSource::OwnReply, LOAD));
    assert!(load.age >= Duration::from_millis(300), "{load:?}");
    assert_eq!(shard.basis, ChoiceBasis::LoadDraw);
    assert!(shard.replicas.iter().all(|r| r.expected_reply.is_some()));
}

/// Guards against an obstacle that is missing from the report of a replica which gets no request.
#[test]
fn replicas_without_requests_have_an_obstacle() {
    let mut harness = loaded_harness();
    let leaving = RegisteredUpstream {
        leaving: true,
        ..upstream("shard-0", "z-a")
    };
    let evacuated = ["z-b".into()].into();
    harness.handle(ForwardEvent::UpstreamRegistered(leaving));
    harness.handle(ForwardEvent::ZonesEvacuated(evacuated));

    let report = dry_run(&harness, "/find/x").expect("the route exists");

    let mut obstacles: Vec<_> = report.shards[0]
        .replicas
        .iter()
        .map(|r| r.obstacle)
        .collect();
    obstacles.sort_by_key(|obstacle| format!("{obstacle:?}"));
    let expected = [ReplicaObstacle::Leaving, ReplicaObstacle::ZoneEvacuated];
    assert_eq!(obstacles, expected.map(Some));
    assert!(report.shards[0].chosen.is_empty());
    assert_eq!(
        report.verdict,
        DryRunVerdict::Send,
        "two of three shards are enough"
    );
}

#[test]
fn refusals_and_unknown_requests_are_told_apart() {
    let mut harness = loaded_harness();
    let all = ["z-a".into(), "z-b".into()].into();
    let unknown = dry_run(&harness, "/nowhere/x");
    harness.handle(ForwardEvent::ZonesEvacuated(all));

    let refused = dry_run(&harness, "/desk/x").expect("the route exists");

    assert_eq!(unknown.err(), Some(DryRunError::NoRoute { version: 1 }));
    assert!(
        matches!(
            refused.verdict,
            DryRunVerdict::Refuse(ForwardRefusal::Unavailable { .. })
        ),
        "{refused:?}"
    );
}

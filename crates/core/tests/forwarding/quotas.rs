//! Guards against requests that are charged wrongly to the quota of their workspace, or that get lost while they wait for
//! its owner.

use crate::forward_harness::*;
use medlarpost_core::{
    prelude::*,
    rendezvous::{Candidate, warm_up_owner},
};
use std::net::SocketAddr;

const KEY: &str = "key-of-w";

const QUOTA: Quota = Quota {
    rate: 1.0,
    burst: 1.0,
};

const LIMITS: QuotaLimits = QuotaLimits {
    window: Duration::from_secs(5),
    excess: 0.0,
    slack: 0.0,
};

fn own() -> SocketAddr {
    "10.0.0.1:7000".parse().unwrap()
}

/// Another node, which owns the workspace.
fn peer() -> SocketAddr {
    let own = own().to_string();
    let is_owner = |peer: &SocketAddr| {
        let peer = peer.to_string();
        let nodes = [&own, &peer].map(|node| Candidate { node, zone: "" });
        warm_up_owner("w", &nodes) == Some(&peer)
    };
    let peers = (1..100).map(|port| SocketAddr::from(([10, 0, 0, 2], port)));
    peers.into_iter().find(is_owner).expect("half of them are")
}

/// A table in which the workspace has a quota and `/open/` needs no key.
fn limited_table(version: u64, quota: Option<Quota>) -> Arc<RoutingTable> {
    let mut open = service_route("open");
    open.public = true;
    let halves = [("half-a", 1.0), ("half-b", 1.0)].map(|(name, weight)| (name.into(), weight));
    let split = route("split", Target::Split(halves.into()));
    let routes = vec![service_route("desk"), open, split];
    let table = Arc::into_inner(table(version, routes)).unwrap();
    let workspaces = vec![WorkspaceSettings {
        name: "w".into(),
        keys: vec![Digest::of(KEY.as_bytes())],
        rank: None,
        quota,
    }];
    Arc::new(table.with_workspaces(Some(Workspaces::new(workspaces))))
}

/// A node with this quota in force and one upstream.
fn limited_harness() -> Harness {
    let mut settings = settings();
    settings.limits.quotas = Some(LIMITS);
    let mut harness = Harness::new(settings);
    harness.handle(ForwardEvent::Configured(limited_table(1, Some(QUOTA))));
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-a")));
    harness
}

/// Lets the node see these other members for some seconds.
fn sight(harness: &mut Harness, members: &[SocketAddr]) {
    for _ in 0..20 {
        harness.advance(Duration::from_secs(1));
        let members = members.iter().map(|address| KnownMember {
            address: *address,
            age: Duration::ZERO,
        });
        let members: Vec<_> = members.collect();
        let size = Some(members.len() as u32 + 1);
        harness.handle(ForwardEvent::FleetSighted(FleetSighting {
            own: own(),
            members,
            size,
        }));
    }
}

/// A node whose workspace is owned by the only other one.
fn harness_with_remote_owner() -> Harness {
    let mut harness = limited_harness();
    sight(&mut harness, &[peer()]);
    harness
}

fn keyed_request(path: &str) -> ForwardRequest {
    ForwardRequest {
        credential: Credential::Key(Digest::of(KEY.as_bytes())),
        ..request(path)
    }
}

fn over_quota(answers: &[(CallerKey, ForwardAnswer)]) -> usize {
    let refused = |answer: &ForwardAnswer| {
        matches!(
            answer,
            ForwardAnswer::Refused(ForwardRefusal::OverQuota { .. })
        )
    };
    answers.iter().filter(|(_, answer)| refused(answer)).count()
}

/// Number of the last ask that was sent, and what it wants.
fn take_grant_request(harness: &mut Harness) -> Option<(u32, u32)> {
    let requests = harness.take_quota_messages();
    requests
        .into_iter()
        .rev()
        .find_map(|sent| match sent.message {
            QuotaMessage::Request { id, requests, .. } => Some((id, requests[0].wanted)),
            QuotaMessage::Reply { .. } => None,
        })
}

fn reply(harness: &mut Harness, id: u32, tokens: u32) {
    let grant = QuotaGrant {
        workspace: "w".into(),
        tokens,
        retry_after: Duration::from_millis(700),
        lifetime: None,
    };
    harness.handle(ForwardEvent::QuotaMessageReceived {
        from: peer(),
        message: QuotaMessage::Reply {
            id,
            pause: Duration::ZERO,
            delegates: 0,
            grants: vec![grant],
        },
    });
}

#[test]
fn owner_admits_its_quota_and_refuses_the_rest() {
    let mut harness = limited_harness();
    sight(&mut harness, &[]);

    for _ in 0..20 {
        harness.send_request(keyed_request("/desk/a"));
    }

    let (sent, answers) = (harness.take_sent(), harness.take_answers());
    assert!((1..=6).contains(&sent.len()), "{}", sent.len());
    assert_eq!(over_quota(&answers), 20 - sent.len());
}

/// Guards against quotas that bind deployments which set none.
#[test]
fn without_limits_in_the_settings_no_quota_is_enforced() {
    let mut harness = Harness::new(settings());
    harness.handle(ForwardEvent::Configured(limited_table(1, Some(QUOTA))));
    harness.handle(ForwardEvent::UpstreamRegistered(upstream("desk", "z-a")));

    for _ in 0..20 {
        harness.send_request(keyed_request("/desk/a"));
    }

    assert_eq!(over_quota(&harness.take_answers()), 0);
}

/// Guards against public routes that refuse a caller because it showed a key.
#[test]
fn public_route_charges_a_known_key_but_never_refuses_it() {
    let mut harness = limited_harness();
    sight(&mut harness, &[]);

    for _ in 0..20 {
        harness.send_request(keyed_request("/open/a"));
    }
    let refused_on_public_route = over_quota(&harness.take_answers());
    harness.send_request(keyed_request("/desk/a"));

    assert_eq!(refused_on_public_route, 0);
    assert_eq!(over_quota(&harness.take_answers()), 1);
}

#[test]
fn request_waits_for_the_grant_of_the_owner() {
    let mut harness = harness_with_remote_owner();
    harness.send_request(keyed_request("/desk/a"));
    let (id, wanted) = take_grant_request(&mut harness).expect("the owner is asked");
    let sent_before = harness.take_sent().len();

    reply(&mut harness, id, 1);

    assert_eq!((wanted, sent_before), (1, 0));
    assert_eq!(harness.take_sent().len(), 1);
}

#[test]
fn request_is_refused_when_the_owner_grants_nothing() {
    let mut harness = harness_with_remote_owner();
    harness.send_request(keyed_request("/desk/a"));
    let (id, _) = take_grant_request(&mut harness).expect("the owner is asked");

    reply(&mut harness, id, 0);

    let retry_after = Duration::from_millis(700);
    let refusal = ForwardRefusal::OverQuota { retry_after };
    assert_eq!(harness.take_answer(), ForwardAnswer::Refused(refusal));
}

/// Guards against requests that wait for as long as a lost message takes.
#[test]
fn wait_is_bounded_and_lost_messages_are_repeated() {
    let mut harness = harness_with_remote_owner();
    harness.send_request(keyed_request("/desk/a"));
    let first = take_grant_request(&mut harness).expect("the owner is asked");

    harness.advance(Duration::from_millis(60));
    let second = take_grant_request(&mut harness).expect("the owner is asked again");
    harness.advance(Duration::from_millis(40));

    assert_ne!(first.0, second.0);
    assert_eq!(over_quota(&harness.take_answers()), 1);
}

/// Guards against a copy of a datagram that is taken for a second grant.
#[test]
fn copied_grant_counts_once() {
    let mut harness = harness_with_remote_owner();
    harness.send_request(keyed_request("/desk/a"));
    let (id, _) = take_grant_request(&mut harness).expect("the owner is asked");

    reply(&mut harness, id, 1);
    reply(&mut harness, id, 1);
    harness.send_request(keyed_request("/desk/b"));

    assert_eq!(harness.take_sent().len(), 1);
}

/// Guards against a frozen or suspended node that uses grants which have ended.
#[test]
fn grant_ends_by_itself_and_with_an_interruption() {
    for interrupted in [false, true] {
        let mut harness = harness_with_remote_owner();
        harness.send_request(keyed_request("/desk/a"));
        let (id, _) = take_grant_request(&mut harness).expect("the owner is asked");
        reply(&mut harness, id, 5);
        harness.take_sent();

        if interrupted {
            harness.handle(ForwardEvent::Interrupted);
        } else {
            harness.advance(LIMITS.grant_lifetime(Duration::ZERO));
        }
        harness.send_request(keyed_request("/desk/b"));

        assert_eq!(harness.take_sent().len(), 0, "interrupted: {interrupted}");
    }
}

/// Guards against a caller that leaves while it waits and uses up a grant, or keeps the node from stopping.
#[test]
fn waiting_request_of_a_lost_caller_is_forgotten() {
    let mut harness = harness_with_remote_owner();
    let caller = harness.send_request(keyed_request("/desk/a"));
    let (id, _) = take_grant_request(&mut harness).expect("the owner is asked");

    harness.handle(ForwardEvent::CallerGone(caller));
    reply(&mut harness, id, 1);

    assert_eq!(harness.take_sent().len(), 0);
    assert_eq!(harness.forwarder.running_requests(), 0);
}

/// Guards against requests that keep waiting for a quota which a configuration has removed.
#[test]
fn waiting_request_is_sent_once_its_quota_is_removed() {
    let mut harness = harness_with_remote_owner();
    harness.send_request(keyed_request("/desk/a"));

    harness.handle(ForwardEvent::Configured(limited_table(2, None)));
    harness.advance(Duration::from_millis(30));

    assert_eq!(harness.take_sent().len(), 1);
}

/// Guards against a request that is routed twice: once when it begins to wait for its quota, and once when it is sent.
#[test]
fn waiting_requests_are_split_evenly() {
    let mut harness = harness_with_remote_owner();
    for service in ["half-a", "half-b"] {
        harness.handle(ForwardEvent::UpstreamRegistered(upstream(service, "z-a")));
    }

    for _ in 0..4 {
        harness.send_request(keyed_request("/split/a"));
        let (id, wanted) = take_grant_request(&mut harness).expect("the owner is asked");
        reply(&mut harness, id, wanted);
        harness.advance(Duration::from_secs(2));
    }

    let sent = harness.take_sent();
    let to_first = sent.iter().filter(|sent| sent.instance == "half-a@z-a");
    assert_eq!((sent.len(), to_first.count()), (4, 2));
}

/// Guards against a request that is sent although the node began to shut down while it waited, so that its answer could
/// not be written before the exit.
#[test]
fn a_request_that_waits_into_a_shutdown_is_refused_as_not_run() {
    let mut harness = harness_with_remote_owner();
    let caller = harness.send_request(keyed_request("/desk/a"));
    let (id, wanted) = take_grant_request(&mut harness).expect("the owner is asked");

    let schedule = ShutdownSchedule::new(harness.now, Duration::ZERO, Duration::from_millis(10));
    harness.handle(ForwardEvent::ShutdownBegan(schedule));
    reply(&mut harness, id, wanted);

    let answers = harness.take_answers();
    assert!(harness.take_sent().is_empty());
    assert!(matches!(
        answers[..],
        [(answered, ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. }))] if answered == caller
    ));
}

/// Guards against a dry run that spends the quota, or that sends for a workspace which would be refused.
#[test]
fn dry_runs_spend_no_quota_and_tell_of_its_owner() {
    let mut harness = limited_harness();
    let try_request = |harness: &Harness| {
        let caller = DryRunCaller::Workspace("w".to_owned());
        let (now, arrived_at) = (harness.now, harness.boot_time);
        let report = harness
            .forwarder
            .dry_run(now, arrived_at, request("/desk/x"), &caller);
        report.expect("the route and the workspace exist")
    };
    let unknown_fleet = try_request(&harness);
    sight(&mut harness, &[peer()]);
    let before = format!("{:?}", harness.forwarder);

    let reports: Vec<_> = (0..20).map(|_| try_request(&harness)).collect();

    assert_eq!(unknown_fleet.verdict, DryRunVerdict::AskQuotaOwner);
    for report in &reports {
        assert_eq!(report.verdict, DryRunVerdict::AskQuotaOwner);
        assert_eq!(report.shards[0].chosen.len(), 1, "once it is granted");
        assert!(report.quota.is_some_and(|quota| !quota.is_owner));
    }
    assert_eq!(before, format!("{:?}", harness.forwarder));
}

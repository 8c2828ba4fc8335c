//! Guards against a node that overloads a cold upstream because it trusts what it believed before it was cut off, or
//! because it takes an attempt without a reply as ended.

mod fixtures;

use medlarpost_core::prelude::*;

const LAPSE: Timestamp = Timestamp::from_millis(2_000);

/// When the platform confirms the bundle again.
const BACK: Timestamp = Timestamp::from_millis(6_000);

/// When a steward of a fleet of several may begin.
const HANDED_OVER: Timestamp = Timestamp::from_millis(4_000);

const RENEWED: Timestamp = Timestamp::from_millis(60_000);

/// A node that is no steward and has heard that the one upstream is warm.
fn follower() -> Engine {
    let mut engine = fixtures::engine(0, 1, PolicyMode::Adaptive);
    let view = FleetView {
        published: 3,
        warm_up_owner_of: Vec::default(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::Freshness(LAPSE),
        Event::Configure(fixtures::approved(&fixtures::bundle(1))),
        Event::News(warm()),
    ] {
        engine.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    engine
}

fn warm() -> News {
    News::Warm {
        upstream: "u0".to_owned(),
        started_at_ms: 5,
        round: 0,
    }
}

/// A node that is the steward of the one upstream, of which nothing is known.
fn steward() -> Engine {
    let mut engine = fixtures::engine(0, 1, PolicyMode::Adaptive);
    let view = FleetView {
        published: 2,
        warm_up_owner_of: std::iter::once("u0".to_owned()).collect(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::Freshness(RENEWED),
        Event::Configure(fixtures::approved(&fixtures::bundle(1))),
    ] {
        engine.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    engine
}

fn search(deadline: Duration) -> SearchRequest {
    SearchRequest {
        caller: CallerKey::default(),
        request_id: Arc::from("r"),
        token: Arc::from(fixtures::TOKEN),
        tenant: Arc::from(fixtures::TENANT),
        service: Arc::from("find"),
        query: Arc::from("q"),
        limit: 1,
        deadline: Some(deadline),
    }
}

fn sent(command: &Command) -> Option<(AttemptKey, UpstreamKey)> {
    match command {
        Command::Send {
            attempt, upstream, ..
        } => Some((*attempt, *upstream)),
        _ => None,
    }
}

/// Sub-requests that a query causes at this time.
fn sends(engine: &mut Engine, now: Timestamp) -> usize {
    let request = search(Duration::from_millis(500));
    let mut commands = Vec::new();
    engine.handle(now, Event::Search(request), &mut commands);
    commands.iter().filter_map(sent).count()
}

fn says_able(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Able))
}

/// Guards against the overload of an upstream that went cold during a partition: the platform may confirm the bundle
/// before the links are back.
#[test]
fn upstream_is_not_warm_after_a_lapse_until_a_peer_says_so() {
    let mut engine = follower();
    let before = sends(&mut engine, Timestamp::from_millis(100));

    engine.handle(BACK, Event::Freshness(RENEWED), &mut Vec::new());
    let unheard = sends(&mut engine, BACK);
    engine.handle(BACK, Event::News(warm()), &mut Vec::new());
    let heard = sends(&mut engine, BACK);

    assert_eq!((before, unheard, heard), (1, 0, 1));
}

/// Guards against a loss of knowledge at each renewal of a confirmation that has not run out.
#[test]
fn renewal_in_time_keeps_what_is_known() {
    let mut engine = follower();
    let in_time = LAPSE - Duration::from_millis(1);

    engine.handle(in_time, Event::Freshness(RENEWED), &mut Vec::new());

    assert_eq!(sends(&mut engine, in_time), 1);
}

/// Guards against a node that counts as ready again before it knows warm upstreams.
#[test]
fn node_is_able_again_once_it_knows_warm_upstreams() {
    let mut engine = follower();
    let mut commands = Vec::new();

    engine.handle(BACK, Event::Freshness(RENEWED), &mut commands);
    let unable = commands.iter().any(|c| matches!(c, Command::Unable));
    let able_at_once = says_able(&commands);
    let later = BACK + Duration::from_millis(200);
    engine.handle(later, Event::News(warm()), &mut commands);

    assert!(unable && !able_at_once);
    assert!(says_able(&commands));
}

/// Guards against a second request at a cold upstream that still runs one whose caller has given up: the upstream
/// notices the closed connection only after a while.
#[test]
fn cold_upstream_gets_nothing_while_a_silent_attempt_may_still_run() {
    let mut engine = steward();
    let mut commands = Vec::new();
    let start = HANDED_OVER;
    let request = search(Duration::from_millis(100));
    engine.handle(start, Event::Search(request), &mut commands);
    let (attempt, upstream) = commands.iter().find_map(sent).expect("one attempt");

    let timed_out = start + Duration::from_millis(100);
    let silent = Reply {
        attempt,
        upstream,
        outcome: Outcome::Silent,
        report: None,
    };
    engine.handle(timed_out, Event::Reply(silent), &mut Vec::new());
    let at_once = sends(&mut engine, timed_out);
    let later = sends(&mut engine, timed_out + Duration::from_millis(600));

    assert_eq!((at_once, later), (0, 1));
}

//! Guards against a node that overloads a cold upstream, because it relies on updates from before a lapse or counts a
//! timed-out attempt as ended.

mod fixtures;

use medlarpost_core::prelude::*;

const FRESH_UNTIL: Timestamp = Timestamp::from_millis(2_000);

/// Time at which the platform confirms the bundle again.
const RECONFIRMED_AT: Timestamp = Timestamp::from_millis(6_000);

/// Time after which a node may send to a cold upstream whose warm-up it has come to own in a fleet of several nodes.
const HANDOVER_END: Timestamp = Timestamp::from_millis(4_000);

const RENEWED_UNTIL: Timestamp = Timestamp::from_millis(60_000);

/// A node that does not own the warm-up of the only upstream and was told by a peer that it is warm.
fn non_owner() -> Engine {
    let mut engine = fixtures::engine(0, 1, PolicyMode::Adaptive);
    let view = FleetView {
        published_nodes: 3,
        warm_up_owner_of: Vec::default(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::FreshUntil(FRESH_UNTIL),
        Event::Configure(fixtures::approved(&fixtures::bundle(1))),
        Event::News(warm_news()),
    ] {
        engine.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    engine
}

fn warm_news() -> News {
    News::Warm {
        upstream: "u0".to_owned(),
        started_at_ms: 5,
        round: 0,
    }
}

fn cold_news() -> News {
    News::Cold {
        upstream: "u0".to_owned(),
        started_at_ms: 6,
        round: 1,
    }
}

/// A node that owns the warm-up of the only upstream, whose state is still unknown.
fn warm_up_owner() -> Engine {
    let mut engine = fixtures::engine(0, 1, PolicyMode::Adaptive);
    let view = FleetView {
        published_nodes: 2,
        warm_up_owner_of: std::iter::once("u0".to_owned()).collect(),
    };
    for event in [
        Event::FleetChanged(view),
        Event::FreshUntil(RENEWED_UNTIL),
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
        workspace: Arc::from(fixtures::WORKSPACE),
        service: Arc::from("find"),
        query: Arc::from("q"),
        limit: 1,
        deadline: Some(deadline),
    }
}

fn sent_attempt(command: &Command) -> Option<(AttemptKey, UpstreamKey)> {
    match command {
        Command::Send {
            attempt, upstream, ..
        } => Some((*attempt, *upstream)),
        _ => None,
    }
}

/// Number of sub-requests that a query at this time causes.
fn count_sends(engine: &mut Engine, now: Timestamp) -> usize {
    let request = search(Duration::from_millis(500));
    let mut commands = Vec::new();
    engine.handle(now, Event::Search(request), &mut commands);
    commands.iter().filter_map(sent_attempt).count()
}

fn can_serve(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::CanServe))
}

/// Guards against overload of an upstream that went cold during a partition. The platform may confirm the bundle before
/// the links to peers are up again.
#[test]
fn lapse_makes_upstreams_cold_until_a_peer_reports_them_warm() {
    let mut engine = non_owner();
    let before_lapse = count_sends(&mut engine, Timestamp::from_millis(100));

    engine.handle(
        RECONFIRMED_AT,
        Event::FreshUntil(RENEWED_UNTIL),
        &mut Vec::new(),
    );
    let before_news = count_sends(&mut engine, RECONFIRMED_AT);
    engine.handle(RECONFIRMED_AT, Event::News(warm_news()), &mut Vec::new());
    let after_news = count_sends(&mut engine, RECONFIRMED_AT);

    assert_eq!((before_lapse, before_news, after_news), (1, 0, 1));
}

/// Guards against discarding the warm upstreams at each renewal of a confirmation that has not expired.
#[test]
fn renewal_before_the_lapse_keeps_upstreams_warm() {
    let mut engine = non_owner();
    let in_time = FRESH_UNTIL - Duration::from_millis(1);

    engine.handle(in_time, Event::FreshUntil(RENEWED_UNTIL), &mut Vec::new());

    assert_eq!(count_sends(&mut engine, in_time), 1);
}

/// Guards against a node that becomes ready again after a lapse before it knows warm upstreams.
#[test]
fn node_can_serve_after_a_lapse_once_an_upstream_is_known_to_be_warm() {
    let mut engine = non_owner();
    let mut commands = Vec::new();

    engine.handle(
        RECONFIRMED_AT,
        Event::FreshUntil(RENEWED_UNTIL),
        &mut commands,
    );
    let cannot_serve = commands.iter().any(|c| matches!(c, Command::CannotServe));
    let can_serve_at_once = can_serve(&commands);
    let later = RECONFIRMED_AT + Duration::from_millis(200);
    engine.handle(later, Event::News(warm_news()), &mut commands);

    assert!(cannot_serve && !can_serve_at_once);
    assert!(can_serve(&commands));
}

/// Guards against a second request to a cold upstream that may still run one whose deadline has passed or whose
/// connection has broken, because it notices the end of the connection only after a while.
#[test]
fn cold_upstream_gets_no_request_while_an_unanswered_one_may_still_run() {
    for outcome in [Outcome::Silent, Outcome::Broken] {
        let mut engine = warm_up_owner();
        let mut commands = Vec::new();
        let start = HANDOVER_END;
        let request = search(Duration::from_millis(100));
        engine.handle(start, Event::Search(request), &mut commands);
        let (attempt, upstream) = commands
            .iter()
            .find_map(sent_attempt)
            .expect("the query is sent to the upstream");

        let ended = start + Duration::from_millis(100);
        let unanswered = Reply {
            attempt,
            upstream,
            outcome: outcome.clone(),
            report: None,
        };
        engine.handle(ended, Event::Reply(unanswered), &mut Vec::new());
        let at_once = count_sends(&mut engine, ended);
        let later = count_sends(&mut engine, ended + Duration::from_millis(600));

        assert_eq!((at_once, later), (0, 1), "{outcome:?}");
    }
}

/// Guards against a request that the owner of a warm-up adds to those which other nodes sent while the upstream was warm
/// and which still run there after it turned cold.
#[test]
fn owner_sends_nothing_while_an_upstream_turned_cold_may_run_work_of_peers() {
    let mut engine = warm_up_owner();
    let found_cold = HANDOVER_END + Duration::from_millis(500);
    engine.handle(HANDOVER_END, Event::News(warm_news()), &mut Vec::new());

    engine.handle(found_cold, Event::News(cold_news()), &mut Vec::new());
    let at_once = count_sends(&mut engine, found_cold + Duration::from_millis(700));
    let later = count_sends(&mut engine, found_cold + Duration::from_millis(1_300));

    assert_eq!((at_once, later), (0, 1));
}

/// Guards against a request that was decided while the upstream was warm, waits for a connection, and arrives after the
/// node has learned that the upstream is cold.
#[test]
fn unsent_requests_are_withdrawn_once_an_upstream_is_found_cold() {
    let is_withdrawal = |command: &Command| matches!(command, Command::WithdrawUnsent(_));
    let mut engine = non_owner();
    let (sent, told) = (Timestamp::from_millis(100), Timestamp::from_millis(200));
    let (mut before, mut commands) = (Vec::new(), Vec::new());
    engine.handle(
        sent,
        Event::Search(search(Duration::from_millis(500))),
        &mut before,
    );

    engine.handle(told, Event::News(cold_news()), &mut commands);

    let sends_to = before.iter().find_map(sent_attempt);
    let withdrawn = commands.iter().find_map(|command| match command {
        Command::WithdrawUnsent(upstream) => Some(*upstream),
        _ => None,
    });
    assert!(!before.iter().any(is_withdrawal));
    assert_eq!(withdrawn, sends_to.map(|(_, upstream)| upstream));
    assert!(withdrawn.is_some());
}

//! Guards against a shutdown whose stages are in the wrong order, whose end moves, or which does not end.

use medlarpost_core::prelude::*;

const BALANCER_LAG: Duration = Duration::from_millis(2_500);
const STOP_WITHIN: Duration = Duration::from_millis(5_400);

fn begun_at(now: Timestamp) -> (Shutdown, ShutdownSchedule) {
    let mut shutdown = Shutdown::new().expect("the chart is valid");
    let schedule = ShutdownSchedule::new(now, BALANCER_LAG, STOP_WITHIN);
    shutdown.begin(schedule);
    (shutdown, schedule)
}

/// Lets time pass until nothing more is due. Returns each event with its time.
fn run_to_end(shutdown: &mut Shutdown) -> Vec<(Timestamp, ShutdownEvent)> {
    let mut events = Vec::new();
    while let Some((at, event)) = shutdown.next_due() {
        shutdown.handle(event);
        events.push((at, event));
    }
    events
}

#[test]
fn node_stops_listening_after_the_lag_and_exits_in_time() {
    let now = Timestamp::from_millis(700);
    let (mut shutdown, schedule) = begun_at(now);

    let events = run_to_end(&mut shutdown);

    let expected = [
        (now + BALANCER_LAG, ShutdownEvent::RotationLeft),
        (now + STOP_WITHIN, ShutdownEvent::TimeOver),
    ];
    assert_eq!(events, expected);
    assert_eq!(shutdown.state(), ShutdownState::Stopped);
    assert!(schedule.answer_by() < schedule.exit_at());
}

/// Guards against a readiness check that passes while the node still waits, and requests that don't know the schedule.
#[test]
fn all_parts_are_told_when_the_shutdown_begins() {
    let mut shutdown = Shutdown::new().expect("the chart is valid");
    let schedule = ShutdownSchedule::new(Timestamp::ZERO, BALANCER_LAG, STOP_WITHIN);

    let actions = shutdown.begin(schedule);

    let expected = [
        ShutdownAction::FailReadiness,
        ShutdownAction::BoundRequests,
        ShutdownAction::CloseAfterAnswers,
    ];
    assert_eq!(actions, expected);
}

/// Guards against a second SIGTERM that moves the end beyond SIGKILL.
#[test]
fn second_request_to_stop_changes_nothing() {
    let (mut shutdown, _) = begun_at(Timestamp::ZERO);
    let due = shutdown.next_due();

    let later = Timestamp::from_millis(2_000);
    let actions = shutdown
        .begin(ShutdownSchedule::new(later, BALANCER_LAG, STOP_WITHIN))
        .to_vec();

    assert_eq!((actions, shutdown.next_due()), (Vec::new(), due));
}

#[test]
fn closed_connections_end_the_shutdown_early() {
    let (mut shutdown, _) = begun_at(Timestamp::ZERO);

    shutdown.handle(ShutdownEvent::RotationLeft);
    shutdown.handle(ShutdownEvent::ConnectionsClosed);

    assert_eq!(
        (shutdown.state(), shutdown.next_due()),
        (ShutdownState::Stopped, None)
    );
}

/// Guards against times in the wrong order where a deployment stops faster than its balancer notices.
#[test]
fn stages_of_short_shutdowns_keep_their_order() {
    for stop_within in [0, 1, 100, 400, 2_600, 60_000].map(Duration::from_millis) {
        let now = Timestamp::from_millis(5);
        let schedule = ShutdownSchedule::new(now, BALANCER_LAG, stop_within);

        let stages = [
            now,
            schedule.rotation_left_at(),
            schedule.answer_by(),
            schedule.exit_at(),
        ];

        assert!(stages.is_sorted(), "{stop_within:?}: {stages:?}");
        assert_eq!(schedule.exit_at(), now + stop_within);
    }
}

/// Guards against a shutdown that shortens the time of requests that end before it anyway.
#[test]
fn deadlines_before_the_end_of_the_shutdown_are_kept() {
    let schedule = ShutdownSchedule::new(Timestamp::ZERO, BALANCER_LAG, STOP_WITHIN);
    let early = AnswerDeadline::new(Timestamp::from_millis(3_000), Some(schedule));
    let late = AnswerDeadline::new(Timestamp::from_millis(9_000), Some(schedule));

    let now = Timestamp::from_millis(2_999);
    let slow = || Duration::from_mins(1);

    assert_eq!(early.at(), Timestamp::from_millis(3_000));
    assert!(early.allows_attempt(now, slow));
    assert_eq!(late.at(), schedule.answer_by());
    assert!(!late.allows_attempt(now, slow));
    assert!(late.allows_attempt(now, || schedule.answer_by().since(now)));
}

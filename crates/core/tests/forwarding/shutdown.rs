//! Requests during the shutdown of the node.

use crate::forward_harness::{
    Harness, LOW, OBJECTIVE, booking_route, harness, request, route, served_reply, service_route,
    shards_target, table,
};
use medlarpost_core::prelude::*;

const BALANCER_LAG: Duration = Duration::from_millis(2_500);
const STOP_WITHIN: Duration = Duration::from_millis(5_400);

/// Reply time of an idle upstream.
const USUAL_REPLY_TIME: Duration = Duration::from_millis(18);

/// Begins a shutdown, and advances the time until so much of it is left for answers.
fn shut_down(harness: &mut Harness, time_left: Duration) -> ShutdownSchedule {
    let schedule = ShutdownSchedule::new(harness.now, BALANCER_LAG, STOP_WITHIN);
    harness.handle(ForwardEvent::ShutdownBegan(schedule));
    let wait = schedule.answer_by().since(harness.now + time_left);
    harness.advance(wait);
    schedule
}

/// A harness with both kinds of routes that have had a reply each, after which nothing is running.
fn practised_harness(zones: &[&str]) -> Harness {
    let mut harness = harness(vec![service_route("read"), booking_route()], zones);
    for path in ["/read/0", "/book/0"] {
        harness.send_request(request(path));
        let sent = harness.take_sent().remove(0);
        harness.advance(USUAL_REPLY_TIME);
        harness.end_attempt(&sent, served_reply(LOW));
    }
    harness.take_answers();
    harness
}

fn refused_as_not_run(answer: &ForwardAnswer) -> bool {
    matches!(
        answer,
        ForwardAnswer::Refused(ForwardRefusal::Unavailable { .. })
    )
}

/// Guards against refusals during a rolling restart of requests that there is time to answer.
#[test]
fn requests_that_end_before_the_exit_are_served_as_usual() {
    let mut harness = practised_harness(&["z-a"]);
    shut_down(&mut harness, Duration::from_millis(801));

    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);
    harness.advance(Duration::from_millis(700));
    harness.end_attempt(&sent, served_reply(LOW));

    assert!(matches!(harness.take_answer(), ForwardAnswer::Reply(_)));
}

/// Guards against a booking that is sent although the process exits before it can be answered: nobody would know whether
/// it ran.
#[test]
fn bookings_without_time_for_the_objective_are_refused_before_the_first_reply() {
    let mut harness = harness(vec![booking_route()], &["z-a"]);
    shut_down(&mut harness, OBJECTIVE.mul_f64(0.99));

    harness.send_request(request("/book/1"));

    assert_eq!(harness.take_sent().len(), 0);
    assert!(refused_as_not_run(&harness.take_answer()));
}

/// Guards against a booking that is sent to an upstream known to be slower than the objective.
#[test]
fn bookings_without_time_for_the_usual_reply_are_refused_as_not_run() {
    let slow = Duration::from_millis(600);
    let mut harness = harness(vec![booking_route()], &["z-a"]);
    for _ in 0..40 {
        harness.send_request(request("/book/0"));
        let sent = harness.take_sent().remove(0);
        harness.advance(slow);
        harness.end_attempt(&sent, served_reply(LOW));
    }
    harness.take_answers();
    shut_down(&mut harness, slow / 2);

    harness.send_request(request("/book/1"));

    assert_eq!(harness.take_sent().len(), 0);
    assert!(refused_as_not_run(&harness.take_answer()));
}

/// Guards against refusals of requests that would be answered in time though their objective is longer, and against
/// requests sent too late for any reply.
#[test]
fn requests_are_sent_as_long_as_the_usual_reply_comes_in_time() {
    for path in ["/read/1", "/book/1"] {
        let mut harness = practised_harness(&["z-a"]);
        shut_down(&mut harness, OBJECTIVE / 2);

        harness.send_request(request(path));
        let sent = harness.take_sent();
        harness.advance(OBJECTIVE.mul_f64(0.49));
        harness.send_request(request(path));

        assert_eq!((sent.len(), harness.take_sent().len()), (1, 0), "{path}");
        assert!(refused_as_not_run(&harness.take_answer()));
    }
}

/// Guards against a running request whose connection is cut when the process exits.
#[test]
fn running_requests_are_answered_before_the_exit() {
    let slow = Route {
        timeout: Duration::from_secs(20),
        ..booking_route()
    };
    let mut harness = harness(vec![slow], &["z-a"]);
    let mut long = request("/book/1");
    long.time_left = Duration::from_secs(20);
    harness.send_request(long);
    let sent = harness.take_sent();

    let schedule = shut_down(&mut harness, Duration::ZERO);

    assert!(harness.now < schedule.exit_at());
    let unknown = ForwardAnswer::Refused(ForwardRefusal::TimedOut);
    assert_eq!(harness.take_answer(), unknown);
    assert_eq!(harness.take_cancelled(), [sent[0].attempt]);
}

/// Guards against a query that gets nothing at the exit although enough of its shards have answered.
#[test]
fn queries_with_missing_shards_are_answered_in_part_before_the_exit() {
    let long = Duration::from_secs(20);
    let query = Route {
        timeout: long,
        objective: long,
        ..route("q", shards_target(2, 0.5))
    };
    let mut harness = harness(vec![query], &["z-a"]);
    harness.send_request(ForwardRequest {
        time_left: long,
        ..request("/q/1")
    });
    let sent = harness.take_sent().remove(0);
    harness.end_attempt(&sent, served_reply(LOW));

    shut_down(&mut harness, Duration::ZERO);

    let ForwardAnswer::Merged(merged) = harness.take_answer() else {
        panic!("the answer is merged");
    };
    assert_eq!(merged.missing, 1);
}

/// Guards against a booking that is sent once more with too little time left, and against an unknown outcome where the
/// caller can be told that it has not run.
#[test]
fn booking_that_did_not_run_is_not_sent_again_without_time_for_a_reply() {
    let mut harness = practised_harness(&["z-a", "z-b"]);
    shut_down(&mut harness, USUAL_REPLY_TIME * 2);
    harness.send_request(request("/book/1"));
    let sent = harness.take_sent().remove(0);

    harness.advance(USUAL_REPLY_TIME);
    harness.end_attempt(&sent, ForwardOutcome::NotRun(NotRunCause::Full));

    assert_eq!(harness.take_sent().len(), 0);
    assert!(refused_as_not_run(&harness.take_answer()));
}

/// Guards against hedges whose reply would come after the last answer.
#[test]
fn read_is_not_hedged_without_time_for_a_reply() {
    let hedges = |time_left| {
        let mut harness = practised_harness(&["z-a", "z-b"]);
        shut_down(&mut harness, time_left);
        harness.send_request(request("/read/1"));
        let primary = harness.take_sent().len();
        harness.advance(time_left);
        (primary, harness.take_sent().len())
    };

    assert_eq!(hedges(OBJECTIVE), (1, 1));
    assert_eq!(hedges(OBJECTIVE / 3), (1, 0));
}

/// Guards against an admission that forgets the shutdown once the configuration changes.
#[test]
fn a_new_configuration_does_not_lift_the_shutdown() {
    let mut harness = practised_harness(&["z-a"]);
    shut_down(&mut harness, Duration::ZERO);
    let routes = vec![service_route("read"), booking_route()];
    harness.handle(ForwardEvent::Configured(table(9, routes)));

    harness.send_request(request("/read/1"));

    assert!(refused_as_not_run(&harness.take_answer()));
}

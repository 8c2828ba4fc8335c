//! Choice among replicas that report their load.

use crate::forward_harness::{
    Harness, Sent, harness, request, served_reply, service_route, upstream,
};
use medlarpost_core::prelude::*;

const REPLY_TIME: Duration = Duration::from_millis(10);
const IDLE: ReportedLoad = ReportedLoad {
    running: 0,
    waiting: 0,
    slots: 3,
    service_percent: Some(100),
};

/// A node with one replica in its own zone `z-a` and these further ones.
fn node_with(others: Vec<RegisteredUpstream>) -> Harness {
    let mut harness = harness(vec![service_route("a")], &["z-a"]);
    for entry in others {
        harness.handle(ForwardEvent::UpstreamRegistered(entry));
    }
    harness
}

fn second_in_own_zone() -> RegisteredUpstream {
    RegisteredUpstream {
        instance: "desk-2@z-a".into(),
        ..upstream("desk", "z-a")
    }
}

/// Sends a request and answers it with a report. Returns the instance that it was sent to.
fn send_and_reply(harness: &mut Harness, report: impl Fn(&Sent) -> ReportedLoad) -> String {
    harness.send_request(request("/a/1"));
    let sent = harness.take_sent().remove(0);
    harness.advance(REPLY_TIME);
    let load = report(&sent);
    harness.end_attempt_with_load(&sent, served_reply(b""), Some(load));
    sent.instance
}

/// Guards against all nodes with the same outdated reports choosing the same replica.
#[test]
fn replicas_with_equal_reports_share_the_requests() {
    let mut harness = node_with(vec![second_in_own_zone()]);

    let chosen = (0..200).map(|_| send_and_reply(&mut harness, |_| IDLE));

    let to_second = chosen.filter(|instance| instance == "desk-2@z-a").count();
    assert!((60..=140).contains(&to_second), "{to_second} of 200");
}

/// Guards against spreading requests over replicas that are known to have a queue.
#[test]
fn replica_with_a_queue_is_left_to_the_others() {
    let mut harness = node_with(vec![second_in_own_zone()]);
    let report = |sent: &Sent| {
        if sent.instance == "desk-2@z-a" {
            ReportedLoad {
                running: 3,
                waiting: 9,
                ..IDLE
            }
        } else {
            IDLE
        }
    };

    let chosen = (0..200).map(|_| send_and_reply(&mut harness, report));

    let to_second = chosen.filter(|instance| instance == "desk-2@z-a").count();
    assert!(to_second <= 10, "{to_second} of 200");
}

/// Guards against a faulty upstream that attracts requests or sends them away by its figures.
#[test]
fn impossible_reports_do_not_steer_requests() {
    let impossible = [
        ReportedLoad { slots: 0, ..IDLE },
        ReportedLoad {
            slots: u32::MAX,
            ..IDLE
        },
        ReportedLoad {
            running: 3,
            waiting: u32::MAX,
            ..IDLE
        },
        ReportedLoad {
            running: u32::MAX,
            ..IDLE
        },
        ReportedLoad {
            service_percent: Some(0),
            ..IDLE
        },
        ReportedLoad {
            service_percent: Some(u32::MAX),
            ..IDLE
        },
    ];
    for odd in impossible {
        let mut harness = node_with(vec![second_in_own_zone()]);
        for _ in 0..20 {
            send_and_reply(&mut harness, |_| IDLE);
        }

        let report = |sent: &Sent| {
            if sent.instance == "desk-2@z-a" {
                odd
            } else {
                IDLE
            }
        };
        let chosen = (0..200).map(|_| send_and_reply(&mut harness, report));

        let to_second = chosen.filter(|instance| instance == "desk-2@z-a").count();
        assert!(
            (40..=160).contains(&to_second),
            "{to_second} of 200 with {odd:?}"
        );
    }
}

/// Guards against traffic between zones, which is charged for, while the own zone answers in time.
#[test]
fn own_zone_is_used_until_its_queue_makes_answers_late() {
    let in_queue = |waiting| {
        let mut harness = node_with(vec![upstream("desk", "z-b")]);
        let report = |sent: &Sent| {
            if sent.instance == "desk@z-a" {
                ReportedLoad {
                    running: 3,
                    waiting,
                    ..IDLE
                }
            } else {
                IDLE
            }
        };
        let chosen = (0..10).map(|_| send_and_reply(&mut harness, report));
        chosen.filter(|instance| instance == "desk@z-b").count()
    };

    assert_eq!(in_queue(1), 0);
    assert!(in_queue(60) >= 5);
}

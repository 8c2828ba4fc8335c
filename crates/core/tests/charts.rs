//! Guards against invalid charts that load without an error, and against transitions taken against their guards.

use medlarpost_core::{prelude::*, vocabulary};

vocabulary! {
    enum DoorState { Open = "open", Shut = "shut" }
}

vocabulary! {
    enum DoorEvent { Push = "push", Pull = "pull" }
}

vocabulary! {
    enum DoorGuard { Unlocked = "unlocked" }
}

vocabulary! {
    enum DoorAction { Creak = "creak" }
}

#[derive(Debug)]
enum Door {}

impl Machine for Door {
    type Action = DoorAction;
    type Event = DoorEvent;
    type Guard = DoorGuard;
    type State = DoorState;

    const SOURCE: &'static str = r#"
name = "door"
initial = "shut"
states = ["open", "shut"]
events = ["push", "pull"]

[[transition]]
from = "shut"
on = "push"
guard = "unlocked"
to = "open"
actions = ["creak"]

[[transition]]
from = "shut"
on = "push"
to = "shut"

[[transition]]
from = "open"
on = "pull"
to = "shut"

[[ignored]]
state = "open"
events = ["push"]

[[ignored]]
state = "shut"
events = ["pull"]
"#;
}

fn load_edited_chart(from: &str, to: &str) -> Result<Chart<Door>, ChartError> {
    assert!(
        Door::SOURCE.contains(from),
        "the text to replace is in the chart"
    );
    Chart::parse(&Door::SOURCE.replace(from, to))
}

#[test]
fn guarded_transition_is_taken_only_when_its_guard_holds() {
    let chart = Chart::<Door>::load().expect("the chart is valid");

    let locked = chart.step(DoorState::Shut, DoorEvent::Push, |_| false);
    let unlocked = chart.step(DoorState::Shut, DoorEvent::Push, |_| true);

    assert_eq!((locked.next, locked.actions), (DoorState::Shut, &[][..]));
    assert_eq!(
        (unlocked.next, unlocked.actions),
        (DoorState::Open, &[DoorAction::Creak][..])
    );
}

#[test]
fn ignored_event_keeps_the_state() {
    let chart = Chart::<Door>::load().expect("the chart is valid");

    let step = chart.step(DoorState::Open, DoorEvent::Push, |_| true);

    assert_eq!((step.next, step.taken), (DoorState::Open, false));
}

#[test]
fn unknown_names_are_rejected() {
    let state = load_edited_chart("to = \"open\"", "to = \"ajar\"");
    let event = load_edited_chart("on = \"pull\"", "on = \"kick\"");
    let guard = load_edited_chart("guard = \"unlocked\"", "guard = \"friendly\"");
    let action = load_edited_chart("[\"creak\"]", "[\"sing\"]");

    for result in [state, event, guard, action] {
        assert!(
            matches!(result, Err(ChartError::UnknownName { .. })),
            "{result:?}"
        );
    }
}

#[test]
fn event_neither_handled_nor_ignored_is_rejected() {
    let result = load_edited_chart(
        "state = \"shut\"\nevents = [\"pull\"]",
        "state = \"shut\"\nevents = []",
    );

    assert!(
        matches!(result, Err(ChartError::Unhandled { .. })),
        "{result:?}"
    );
}

#[test]
fn event_both_handled_and_ignored_is_rejected() {
    let result = load_edited_chart("events = [\"pull\"]\n", "events = [\"pull\", \"push\"]\n");

    assert!(
        matches!(result, Err(ChartError::Unhandled { .. })),
        "{result:?}"
    );
}

#[test]
fn unreachable_state_is_rejected() {
    let result = load_edited_chart("to = \"open\"", "to = \"shut\"");

    assert!(
        matches!(result, Err(ChartError::Unreachable { .. })),
        "{result:?}"
    );
}

#[test]
fn transition_after_an_unguarded_one_is_rejected() {
    let result = load_edited_chart("guard = \"unlocked\"\n", "");

    assert!(
        matches!(result, Err(ChartError::Shadowed { .. })),
        "{result:?}"
    );
}

#[test]
fn undeclared_state_is_rejected() {
    let result = load_edited_chart("states = [\"open\", \"shut\"]", "states = [\"shut\"]");

    assert!(
        matches!(result, Err(ChartError::Undeclared { .. })),
        "{result:?}"
    );
}

/// Guards against a node that passes its readiness check after a lapse before it knows which upstreams are warm.
#[test]
fn node_is_not_ready_right_after_a_lapse() {
    let chart = Chart::<NodeMachine>::load().expect("the chart is valid");
    let mut state = NodeState::Serving;
    let mut actions = Vec::new();

    for event in [
        NodeEvent::Lapsed,
        NodeEvent::Granted,
        NodeEvent::Unable,
        NodeEvent::Able,
    ] {
        let step = chart.step(state, event, |nothing| match nothing {});
        state = step.next;
        actions.push((event, step.actions.to_vec()));
    }

    assert_eq!(state, NodeState::Serving);
    let readying = actions
        .iter()
        .filter(|(_, actions)| actions.contains(&NodeAction::Ready));
    let readying: Vec<_> = readying.map(|(event, _)| *event).collect();
    assert_eq!(readying, [NodeEvent::Able]);
}

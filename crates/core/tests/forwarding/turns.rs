//! Guards against an overload in which urgent workspaces take all room and the others starve.

use crate::forward_harness::*;
use medlarpost_core::prelude::*;

/// Reply time of an idle upstream.
const USUAL_REPLY_TIME: Duration = Duration::from_millis(18);

/// Requests that wait at an upstream, enough to refuse those that are not urgent and too few to refuse urgent ones.
const BUSY: u32 = 12;

fn workspace(name: &str, rank: u32) -> WorkspaceSettings {
    WorkspaceSettings {
        name: name.into(),
        keys: vec![Digest::of(name.as_bytes())],
        rank: Some(rank),
        quota: None,
    }
}

/// A node with an urgent workspace and one that is not.
fn harness_with_workspaces() -> Harness {
    let routes = vec![route("q", shards_target(4, 0.75))];
    let mut harness = harness(routes.clone(), &["z-a"]);
    let table = Arc::into_inner(table(2, routes)).unwrap();
    let workspaces = Workspaces::new(vec![workspace("urgent", 0), workspace("later", 2)]);
    let table = table.with_workspaces(Some(workspaces));
    harness.handle(ForwardEvent::Configured(Arc::new(table)));
    harness
}

/// Sends a request of a workspace, which each upstream answers with this many waiting requests. Returns whether it was
/// admitted.
fn is_served(harness: &mut Harness, workspace: &str, waiting: u32) -> bool {
    harness.send_request(ForwardRequest {
        credential: Credential::Key(Digest::of(workspace.as_bytes())),
        ..request("/q/1")
    });
    let sent = harness.take_sent();
    harness.advance(USUAL_REPLY_TIME);
    for sent in &sent {
        let load = ReportedLoad {
            running: 3,
            waiting,
            slots: 3,
            service_percent: None,
        };
        harness.end_attempt_with_load(sent, served_reply(LOW), Some(load));
    }
    harness.take_answers();
    !sent.is_empty()
}

#[test]
fn workspace_that_is_not_urgent_gets_its_turn() {
    let mut harness = harness_with_workspaces();
    for workspace in ["urgent", "later"] {
        is_served(&mut harness, workspace, 0);
    }

    let mut served = [0, 0];
    for _ in 0..50 {
        for (i, workspace) in ["urgent", "later"].into_iter().enumerate() {
            served[i] += u32::from(is_served(&mut harness, workspace, BUSY));
        }
    }

    let [urgent, later] = served;
    let all = f64::from(urgent + later) / 2.0;
    assert!(f64::from(later) >= 0.25 * all, "{later} of {all}");
    assert!(urgent > later, "{urgent}, {later}");
}

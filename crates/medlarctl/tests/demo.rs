//! Guards against nodes, fakes and callers that don't work together: a short demonstration without faults must violate
//! no invariant and answer with hits.

use medlarctl::{DemoOptions, Fault, run_demo};
use medlarpost_fakes::prelude::*;

#[test]
fn a_run_of_tunelix_without_faults_answers_and_violates_no_invariant() {
    let options = options("tunelix");

    let report = run_demo(&options).expect("loopback addresses can be listened on");

    assert_eq!(report.violated_invariants(), [""; 0]);
    assert!(report.to_json()["answered"].as_u64() > Some(0));
    // Nodes that don't learn that upstreams are warm answer without hits.
    assert!(report.to_json()["coverage_mean"].as_f64() > Some(0.5));
    assert!(report.to_json()["bookings"].as_u64() > Some(0));
}

#[test]
fn a_run_of_alliance_without_faults_answers_and_violates_no_invariant() {
    let options = options("alliance");

    let report = run_demo(&options).expect("loopback addresses can be listened on");

    assert_eq!(report.violated_invariants(), [""; 0]);
    assert!(report.to_json()["answered"].as_u64() > Some(0));
    // Nodes that don't learn that upstreams are warm answer without hits.
    assert!(report.to_json()["coverage_mean"].as_f64() > Some(0.5));
}

fn options(deployment: &str) -> DemoOptions {
    DemoOptions {
        deployment: Deployment::by_name(deployment).expect("the deployment exists"),
        duration: Duration::from_secs(2),
        seed: 1,
        rate: Some(10),
        policy: PolicyMode::Adaptive,
        fault: Fault::None,
    }
}

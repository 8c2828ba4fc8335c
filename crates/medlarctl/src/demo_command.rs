//! `medlarctl demo`.

use crate::{
    ctl_error::{CtlError, InvariantsViolatedSnafu, UnknownValueSnafu},
    demo::{DemoOptions, run_demo},
    demo_report::DemoReport,
    fault::Fault,
    flags::Demo,
};
use medlarpost_fakes::prelude::*;

/// Runs the demonstration once, or twice for `--compare`, and prints the report. Violated invariants fail the command
/// unless `--baseline` is set.
pub(crate) fn run(flags: &Demo) -> Result<(), CtlError> {
    let name = flags.fault.as_deref().unwrap_or("none");
    let fault = Fault::from_name(name).context(UnknownValueSnafu {
        name: "--fault",
        value: name,
        known: Fault::names(),
    })?;
    let seconds = flags.seconds.unwrap_or(fault.default_seconds());
    let options = DemoOptions {
        deployment: find_deployment(flags.deployment.as_deref())?,
        duration: Duration::from_secs(seconds),
        seed: flags.seed.unwrap_or(1),
        rate: flags.rate,
        policy: PolicyMode::Adaptive,
        fault,
    };
    let baseline = DemoOptions {
        policy: PolicyMode::Baseline,
        ..options.clone()
    };
    if flags.compare {
        let (adaptive, baseline) = (run_demo(&options)?, run_demo(&baseline)?);
        print_comparison(&adaptive, &baseline);
        return check_invariants(&adaptive);
    }
    let report = run_demo(if flags.baseline { &baseline } else { &options })?;
    if flags.json {
        outln!("{}", report.to_json());
    } else {
        out!("{report}");
    }
    if flags.baseline {
        return Ok(());
    }
    check_invariants(&report)
}

fn check_invariants(report: &DemoReport) -> Result<(), CtlError> {
    match report.violated_invariants() {
        [] => Ok(()),
        names => InvariantsViolatedSnafu {
            names: names.join(", "),
        }
        .fail(),
    }
}

fn print_comparison(adaptive: &DemoReport, baseline: &DemoReport) {
    outln!("{:32} {:>20} {:>20}", "", "policy", "baseline");
    for (name, value) in adaptive.to_json().as_object().into_iter().flatten() {
        let other = &baseline.to_json()[name];
        if !value.is_object() {
            outln!(
                "{name:32} {:>20} {:>20}",
                value.to_string(),
                other.to_string()
            );
        }
    }
}

fn find_deployment(name: Option<&str>) -> Result<Deployment, CtlError> {
    let name = name.unwrap_or("tunelix");
    Deployment::by_name(name).context(UnknownValueSnafu {
        name: "--deployment",
        value: name,
        known: "tunelix, alliance",
    })
}

//! Report of one run of a soak.

use crate::soak_checks::{Finding, SoakCounts};
use serde_json::{Value, json};
use std::{fmt, path::PathBuf};

/// Most findings that the text form shows; the JSON form has all.
const MAX_FINDINGS_SHOWN: usize = 20;

/// Result of one run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run, with which it can be repeated.
    pub seed: u64,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// Processes that were running at the end.
    pub processes: usize,
    /// Faults in the schedule, including those that an interruption left out.
    pub faults: usize,
    /// Outcomes of the requests.
    pub counts: SoakCounts,
    /// Violated invariants; empty if the run passed.
    pub findings: Vec<Finding>,
    /// Whether a signal ended the run early.
    pub interrupted: bool,
}

impl SoakReport {
    /// The report as one JSON object.
    pub fn to_json(&self) -> Value {
        let findings = self.findings.iter().map(
            |finding| json!({"promise": format!("{:?}", finding.invariant), "seen": finding.detail}),
        );
        json!({
            "seed": self.seed,
            "logs": self.directory.display().to_string(),
            "processes": self.processes,
            "faults": self.faults,
            "asked": self.counts.sent,
            "served": self.counts.served,
            "refused": self.counts.refused,
            "failed": self.counts.failed,
            "runs": self.counts.runs,
            "interrupted": self.interrupted,
            "findings": findings.collect::<Vec<_>>(),
        })
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        let verdict = match (self.findings.len(), self.interrupted) {
            (0, false) => "ok".to_owned(),
            (0, true) => "interrupted".to_owned(),
            (count, _) => format!("findings={count}"),
        };
        writeln!(
            f,
            "seed={} {verdict} processes={} faults={} asked={} served={} refused={} failed={} runs={} logs={}",
            self.seed,
            self.processes,
            self.faults,
            counts.sent,
            counts.served,
            counts.refused,
            counts.failed,
            counts.runs,
            self.directory.display()
        )?;
        for finding in self.findings.iter().take(MAX_FINDINGS_SHOWN) {
            writeln!(f, "  {:?}: {}", finding.invariant, finding.detail)?;
        }
        Ok(())
    }
}

//! The verdict of a soak.

use crate::soak_checks::{Finding, SoakCounts};
use serde_json::{Value, json};
use std::{fmt, path::PathBuf};

/// Findings that a report shows.
const SHOWN: usize = 20;

/// What one run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Where settings and logs are.
    pub directory: PathBuf,
    /// Processes that ran at the end.
    pub processes: usize,
    /// Faults injected.
    pub faults: usize,
    /// What callers got.
    pub counts: SoakCounts,
    /// Promises that did not hold.
    pub findings: Vec<Finding>,
    /// Whether a signal ended it early.
    pub interrupted: bool,
}

impl SoakReport {
    /// One JSON object.
    pub fn to_json(&self) -> Value {
        let findings = self.findings.iter().map(
            |finding| json!({"promise": format!("{:?}", finding.promise), "seen": finding.seen}),
        );
        json!({
            "seed": self.seed,
            "logs": self.directory.display().to_string(),
            "processes": self.processes,
            "faults": self.faults,
            "asked": self.counts.asked,
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
            counts.asked,
            counts.served,
            counts.refused,
            counts.failed,
            counts.runs,
            self.directory.display()
        )?;
        for finding in self.findings.iter().take(SHOWN) {
            writeln!(f, "  {:?}: {}", finding.promise, finding.seen)?;
        }
        Ok(())
    }
}

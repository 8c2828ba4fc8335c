//! Finds out which bundle is in force on each node: every bundle adds a workspace with a token of its own, and a node
//! accepts that token only once it has that bundle or a later one.

use crate::{
    balancer::Targets,
    caller::{self, Call, CallOutcome},
    observation::ConfigObservation,
};
use medlarpost_fakes::prelude::*;
use serde_json::json;
use std::{collections::BTreeSet, time::Instant};

/// Pause between two rounds over all nodes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Version of a published bundle and the time of its publication.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Publication {
    pub(crate) version: u64,
    pub(crate) at: Instant,
}

/// Name of the workspace that the bundle of this version adds.
pub(crate) fn probe_workspace(version: u64) -> String {
    format!("probe-{version}")
}

/// Probes all nodes in service until `end` is true.
pub(crate) async fn run(
    targets: Targets,
    publications: watch::Receiver<Vec<Publication>>,
    end: watch::Receiver<bool>,
) -> ConfigObservation {
    let mut observation = ConfigObservation::default();
    let mut accepted: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    let mut pending: Vec<Publication> = Vec::new();
    let mut published_count = 0;
    // Nodes get an earlier bundle only when they start, so its propagation time counts from the first node in service.
    let mut service_start: Option<Instant> = None;
    while !*end.borrow() {
        let published = publications.borrow().clone();
        pending.extend(&published[published_count..]);
        published_count = published.len();
        let in_service = targets.borrow().clone();
        if !in_service.is_empty() {
            service_start.get_or_insert_with(Instant::now);
        }
        for target in &in_service {
            let versions = accepted.entry(target.node.clone()).or_default();
            let newest = published.last().map(|publication| publication.version);
            // Probes the newest accepted version again to detect that the node went back to an older bundle.
            let again = versions.last().copied();
            for version in [newest, again].into_iter().flatten() {
                match accepts_token(target, version).await {
                    Some(true) => drop(versions.insert(version)),
                    Some(false) if versions.contains(&version) => observation.reverts += 1,
                    Some(false) | None => {}
                }
            }
        }
        pending.retain(|publication| {
            let on_all_nodes = !in_service.is_empty()
                && in_service.iter().all(|target| {
                    let versions = accepted.get(&target.node);
                    versions.is_some_and(|versions| {
                        versions
                            .last()
                            .is_some_and(|newest| *newest >= publication.version)
                    })
                });
            if on_all_nodes {
                let service_start = service_start.unwrap_or(publication.at);
                observation.max_propagation = observation
                    .max_propagation
                    .max(publication.at.max(service_start).elapsed());
            }
            !on_all_nodes
        });
        actix_rt::time::sleep(PROBE_INTERVAL).await;
    }
    observation.unpropagated = pending.len() as u64;
    observation
}

/// Whether a node accepts the token of this version; `None` if its reply doesn't show it.
async fn accepts_token(target: &crate::balancer::Target, version: u64) -> Option<bool> {
    let workspace = probe_workspace(version);
    let call = Call {
        path: "/v1/search",
        workspace: &workspace,
        request_id: None,
        // The service does not exist, so an accepted token gives `unknown-service` and no work reaches an upstream.
        body: json!({"tenant": workspace, "service": "probe", "query": "", "deadline_ms": 1_000}),
        delay: Duration::ZERO,
    };
    match caller::send::<serde_json::Value>(target, call).await {
        CallOutcome::Refused(refusal) if refusal.kind == RefusalKind::Unauthenticated.name() => {
            Some(false)
        }
        CallOutcome::Refused(refusal) if refusal.kind == RefusalKind::UnknownService.name() => {
            Some(true)
        }
        CallOutcome::Reply(_) | CallOutcome::Refused(_) | CallOutcome::Lost(_) => None,
    }
}

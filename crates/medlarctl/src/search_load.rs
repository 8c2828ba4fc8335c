//! Open-loop search load: each query is sent at its intended time, whether or not earlier ones have ended.

use crate::{
    answer_check,
    balancer::{Target, Targets},
    caller::{self, Call, CallOutcome},
    observation::{Loss, QueryObservation, QueryOutcome},
    query_generator::QueryGenerator,
    query_id::QueryId,
    schedule::Schedule,
};
use medlarpost_fakes::prelude::*;
use medlarpost_node::caller_json::SearchAnswer;
use serde_json::json;
use std::time::Instant;

/// Deadline that callers send with each query.
pub(crate) const QUERY_DEADLINE: Duration = Duration::from_secs(1);

/// Parameters of the search load.
#[derive(Clone, Debug)]
pub(crate) struct SearchLoad {
    pub(crate) service: &'static str,
    pub(crate) workspaces: &'static [&'static str],
    pub(crate) caller_delay: Duration,
    /// Queries per second outside an overload.
    pub(crate) rate: f64,
    /// Queries per second that the upstreams can run; the schedule's overload is a multiple of it.
    pub(crate) capacity: f64,
    pub(crate) schedule: Schedule,
    /// Start of the measurement, from which the schedule counts.
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) seed: u64,
}

impl SearchLoad {
    /// Sends queries until `end` and waits until all of them have ended.
    pub(crate) async fn run(
        self,
        targets: Targets,
        shards: watch::Receiver<BTreeMap<u64, u32>>,
    ) -> Vec<QueryObservation> {
        let mut query_generator = QueryGenerator::new(self.seed);
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut queries = Vec::new();
        let mut intended_start = Instant::now();
        let mut number: u64 = 0;
        while intended_start < self.end {
            tokio::time::sleep_until(intended_start.into()).await;
            let workspace = self.workspaces[rng.usize(..self.workspaces.len())];
            let query = Query {
                number,
                workspace,
                service: self.service,
                id: query_generator.next_query_id(),
                intended_start,
                caller_delay: self.caller_delay,
            };
            let target = pick_target(&targets, rng.usize(..));
            queries.push(actix_rt::spawn(query.send(target, shards.clone())));
            let time = intended_start.saturating_duration_since(self.start);
            let rate = self.schedule.rate_at(time, self.rate, self.capacity);
            // Exponential intervals: a Poisson process, as from many independent callers.
            intended_start += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            number += 1;
        }
        let mut observations = Vec::with_capacity(queries.len());
        for query in queries {
            observations.extend(query.await.ok());
        }
        observations
    }
}

/// Picks the node in service with position `choice` modulo their number; `None` if no node is in service.
pub(crate) fn pick_target(targets: &Targets, choice: usize) -> Option<Target> {
    let targets = targets.borrow();
    targets.get(choice % targets.len().max(1)).cloned()
}

/// One query to send, with the caller's one-way network delay.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) number: u64,
    pub(crate) workspace: &'static str,
    pub(crate) service: &'static str,
    pub(crate) id: QueryId,
    pub(crate) intended_start: Instant,
    pub(crate) caller_delay: Duration,
}

impl Query {
    pub(crate) async fn send(
        self,
        target: Option<Target>,
        shards: watch::Receiver<BTreeMap<u64, u32>>,
    ) -> QueryObservation {
        let request_id = format!("query-{}", self.number);
        let call = Call {
            path: "/v1/search",
            workspace: self.workspace,
            request_id: Some(&request_id),
            body: json!({
                "tenant": self.workspace,
                "service": self.service,
                "query": &*self.id.text,
                "deadline_ms": QUERY_DEADLINE.as_millis() as u64,
                "limit": self.id.limit,
            }),
            delay: self.caller_delay,
        };
        let received = match &target {
            Some(target) => caller::send::<SearchAnswer>(target, call).await,
            None => CallOutcome::Lost(Loss::NotReached),
        };
        let outcome = match received {
            CallOutcome::Reply(answer) => QueryOutcome::Answered {
                shards: answer.coverage.asked,
                answered: answer.coverage.answered,
                violations: answer_check::check(&self.id, &request_id, &answer, &shards.borrow()),
            },
            CallOutcome::Refused(refusal) => QueryOutcome::Refused(refusal),
            CallOutcome::Lost(loss) => QueryOutcome::Lost(loss),
        };
        QueryObservation {
            workspace: self.workspace,
            id: self.id,
            intended_start: self.intended_start,
            latency: self.intended_start.elapsed(),
            outcome,
        }
    }
}

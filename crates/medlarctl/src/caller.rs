//! Sends one request of a workspace to a node and reads the response.

use crate::{
    balancer::Target,
    observation::{Loss, ObservedRefusal},
};
use awc::error::SendRequestError;
use medlarpost_fakes::prelude::*;
use medlarpost_node::problem::Problem;

/// Time-out of a call; well above every deadline that callers set.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest body of a response that is read.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub(crate) enum CallOutcome<T> {
    Reply(T),
    Refused(ObservedRefusal),
    Lost(Loss),
}

/// One request of a workspace.
#[derive(Clone, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) path: &'static str,
    pub(crate) workspace: &'a str,
    pub(crate) request_id: Option<&'a str>,
    pub(crate) body: serde_json::Value,
    /// Simulated network delay between caller and node, one way.
    pub(crate) delay: Duration,
}

/// Sends a call to a node, with the network delay in both directions.
pub(crate) async fn send<T: serde::de::DeserializeOwned>(
    target: &Target,
    call: Call<'_>,
) -> CallOutcome<T> {
    actix_rt::time::sleep(call.delay).await;
    let delay = call.delay;
    let outcome = actix_rt::time::timeout(CALL_TIMEOUT, exchange(target, call)).await;
    actix_rt::time::sleep(delay).await;
    outcome.unwrap_or(CallOutcome::Lost(Loss::Unanswered))
}

async fn exchange<T: serde::de::DeserializeOwned>(
    target: &Target,
    call: Call<'_>,
) -> CallOutcome<T> {
    let mut request = target
        .client
        .post(format!("http://{}{}", target.address, call.path))
        .insert_header((
            "authorization",
            format!("Bearer {}", Deployment::demo_token(call.workspace)),
        ));
    if let Some(id) = call.request_id {
        request = request.insert_header(("x-request-id", id));
    }
    let mut response = match request.send_json(&call.body).await {
        Ok(response) => response,
        Err(SendRequestError::Connect(_)) => return CallOutcome::Lost(Loss::NotReached),
        Err(_) => return CallOutcome::Lost(Loss::CutOff),
    };
    let Ok(body) = response.body().limit(MAX_BODY_BYTES).await else {
        return CallOutcome::Lost(Loss::CutOff);
    };
    if response.status().is_success() {
        return serde_json::from_slice(&body)
            .map_or(CallOutcome::Lost(Loss::CutOff), CallOutcome::Reply);
    }
    let problem: Option<Problem> = serde_json::from_slice(&body).ok();
    problem.map_or(CallOutcome::Lost(Loss::CutOff), |problem| {
        CallOutcome::Refused(observed_refusal(&problem))
    })
}

fn observed_refusal(problem: &Problem) -> ObservedRefusal {
    let kind = problem.kind.rsplit(':').next().unwrap_or_default();
    ObservedRefusal {
        kind: kind.to_owned(),
        not_run: problem.execution == Execution::NotRun.name(),
    }
}

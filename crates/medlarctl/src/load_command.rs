//! `medlarctl load`: an open-loop load generator for a running fleet.
//!
//! Requests start at fixed intended times, whether or not earlier ones have ended, so a stalled fleet can't reduce its
//! own load. Latency counts from the intended start.

use crate::{
    ctl_error::CtlError,
    flags::Load,
    http_client::HttpClient,
    load_options::{LoadOptions, LoadWorkspace},
    load_report::{LoadOutcome, LoadReport, LoadResult},
};
use medlarpost_node::{
    caller_json::{SearchAnswer, TicketReply},
    prelude::*,
    problem::Problem,
};
use serde_json::{Value, json};
use std::path::Path;
use tokio::time::Instant;

/// Longer answers count as lost.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long after its deadline a request still waits for an answer.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// Number of different query texts.
const DISTINCT_QUERIES: u32 = 1_000;

/// Generates the load and prints the report.
pub(crate) fn run(flags: &Load) -> Result<(), CtlError> {
    let options = Arc::new(LoadOptions::read(flags)?);
    let report =
        actix_rt::System::new().block_on(generate_load(&options, flags.roots.as_deref()))?;
    if flags.json {
        outln!("{}", report.to_json());
    } else {
        out!("{report}");
    }
    Ok(())
}

async fn generate_load(
    options: &Arc<LoadOptions>,
    roots: Option<&Path>,
) -> Result<LoadReport, CtlError> {
    let (tx, rx) = mpsc::unbounded_channel();
    let collector = actix_rt::spawn(collect_results(rx));
    let client = HttpClient::new(roots, options.deadline + RESPONSE_GRACE)?;
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let started = Instant::now();
    let count = u64::from(options.rate) * options.duration.as_secs();
    for number in 0..count {
        let offset = number * 1_000_000 / u64::from(options.rate);
        let intended_start = started + Duration::from_micros(offset);
        tokio::time::sleep_until(intended_start).await;
        let request = LoadRequest {
            client: client.clone(),
            target: options.targets[number as usize % options.targets.len()],
            workspace: choose_workspace(&options.workspaces, &mut rng).clone(),
            is_booking: rng.f64() < options.booking_share,
            query_number: rng.u32(..DISTINCT_QUERIES),
            options: Arc::clone(options),
        };
        let tx = tx.clone();
        actix_rt::spawn(async move {
            let outcome = request.send().await;
            let result = LoadResult {
                workspace: Arc::clone(&request.workspace.name),
                latency: intended_start.elapsed(),
                outcome,
            };
            // The collector outlives all senders, so this can't fail unless it panicked.
            let _ended = tx.send(result);
        });
    }
    drop(tx);
    Ok(collector.await.unwrap_or_else(|_| LoadReport::new()))
}

/// Adds up results until the last request has ended and prints a progress line to standard error each second.
async fn collect_results(mut rx: mpsc::UnboundedReceiver<LoadResult>) -> LoadReport {
    let started = Instant::now();
    let mut second = tokio::time::interval(Duration::from_secs(1));
    let mut report = LoadReport::new();
    loop {
        tokio::select! {
            result = rx.recv() => match result {
                Some(result) => report.record(result),
                None => return report,
            },
            _ = second.tick() => eprintln!("{}", report.progress_line(started.elapsed())),
        }
    }
}

fn choose_workspace<'a>(
    workspaces: &'a [LoadWorkspace],
    rng: &mut fastrand::Rng,
) -> &'a LoadWorkspace {
    let total: u32 = workspaces.iter().map(|workspace| workspace.weight).sum();
    let mut point = rng.u32(..total);
    for workspace in workspaces {
        if point < workspace.weight {
            return workspace;
        }
        point -= workspace.weight;
    }
    &workspaces[0]
}

struct LoadRequest {
    client: HttpClient,
    target: SocketAddr,
    workspace: LoadWorkspace,
    is_booking: bool,
    query_number: u32,
    options: Arc<LoadOptions>,
}

impl LoadRequest {
    async fn send(&self) -> LoadOutcome {
        let sent = if self.is_booking {
            self.send_booking().await
        } else {
            self.send_search().await
        };
        sent.unwrap_or_else(|outcome| outcome)
    }

    async fn send_search(&self) -> Result<LoadOutcome, LoadOutcome> {
        let body = json!({
            "tenant": &*self.workspace.name,
            "service": self.options.search_service,
            "query": format!("query {}", self.query_number),
            "deadline_ms": self.options.deadline.as_millis() as u64,
            "limit": 10,
        });
        let answer: SearchAnswer = self.post("/v1/search", &body).await?;
        Ok(LoadOutcome::SearchAnswered(answer.coverage))
    }

    /// Requests a ticket and books with it, both at the same node.
    async fn send_booking(&self) -> Result<LoadOutcome, LoadOutcome> {
        let ticket = json!({ "tenant": &*self.workspace.name });
        let ticket: TicketReply = self.post("/v1/tickets", &ticket).await?;
        let body = json!({
            "tenant": &*self.workspace.name,
            "service": self.options.booking_service,
            "ticket": ticket.ticket,
            "booking": { "number": self.query_number },
            "deadline_ms": self.options.deadline.as_millis() as u64,
        });
        let _answer: Value = self.post("/v1/bookings", &body).await?;
        Ok(LoadOutcome::Booked)
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<T, LoadOutcome> {
        let HttpClient { client, scheme } = &self.client;
        let request = client
            .post(format!("{scheme}://{}{path}", self.target))
            .insert_header(("authorization", format!("Bearer {}", self.workspace.token)));
        let mut response = request
            .send_json(body)
            .await
            .map_err(|_lost| LoadOutcome::Lost)?;
        let bytes = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_lost| LoadOutcome::Lost)?;
        if response.status().is_success() {
            return serde_json::from_slice(&bytes).map_err(|_lost| LoadOutcome::Lost);
        }
        let kind = serde_json::from_slice(&bytes).map_or_else(
            |_| format!("status {}", response.status().as_u16()),
            |problem: Problem| problem.kind.replace("urn:medlarpost:refusal:", ""),
        );
        Err(LoadOutcome::Refused(kind))
    }
}

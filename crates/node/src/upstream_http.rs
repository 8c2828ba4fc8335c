//! HTTP requests to the upstreams of a bundle: sub-requests, cancellations and health probes.

use crate::{
    prelude::*,
    send_permit::{PermitWithdrawn, PermittedBody},
    upstream_task::Job,
};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
    http::{StatusCode, header::HeaderMap},
};
use rustls::ClientConfig;
use serde_json::value::RawValue;
use slotmap::Key as _;

/// Longest body of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Time limit for a cancellation or a health probe.
const SIDE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The connect timeout is this multiple of the connect time in the bundle, and at least [`MIN_CONNECT_TIMEOUT`].
const CONNECT_TIMEOUT_FACTOR: u32 = 20;
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct SearchBody<'a> {
    service: &'a str,
    query: &'a str,
    limit: u32,
}

#[derive(Serialize)]
struct BookingBody<'a> {
    service: &'a str,
    booking_id: &'a str,
    booking: &'a RawValue,
}

#[derive(Deserialize)]
struct SearchReplyBody {
    hits: Vec<HitBody>,
}

#[derive(Deserialize)]
struct HitBody {
    id: String,
    score: f64,
    owner: String,
    fields: Box<RawValue>,
    private: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct BookingReplyBody {
    accepted: bool,
    reference: String,
}

/// Creates a client that holds at most one connection.
pub(crate) fn build_client(spec: &Upstream, tls: Option<&Arc<ClientConfig>>) -> Client {
    const CONNECTION_LIFETIME: Duration = Duration::from_hours(24);
    let timeout = MIN_CONNECT_TIMEOUT
        .max(Duration::from_millis(u64::from(spec.connect_ms)) * CONNECT_TIMEOUT_FACTOR);
    let connector = Connector::new()
        .limit(1)
        .timeout(timeout)
        .conn_lifetime(CONNECTION_LIFETIME)
        .conn_keep_alive(Duration::from_mins(1));
    let connector = match tls {
        Some(tls) => connector.rustls_0_23(Arc::clone(tls)),
        None => connector,
    };
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Id of an attempt, unique among all nodes and their starts if `node` names both.
pub(crate) fn attempt_id(node: &str, attempt: AttemptKey) -> String {
    format!("{node}-{:x}", attempt.data().as_ffi())
}

/// Asks an upstream to cancel an attempt. If that fails, the attempt runs to its end.
pub(crate) async fn request_cancellation(client: Client, spec: Upstream, id: String) {
    let request = client.post(format!("{}/v1/cancel/{id}", origin(&spec)));
    let _best_effort = actix_rt::time::timeout(SIDE_REQUEST_TIMEOUT, request.send()).await;
}

/// Requests an upstream's health; `None` if it does not answer in time or reports no load.
pub(crate) async fn probe(client: Client, spec: Upstream) -> Option<LoadReport> {
    let request = client.get(format!("{}/v1/health", origin(&spec)));
    let response = actix_rt::time::timeout(SIDE_REQUEST_TIMEOUT, request.send()).await;
    parse_load_report(response.ok()?.ok()?.headers())
}

/// Sends one sub-request and reads its reply.
pub(crate) async fn send_job(
    client: &Client,
    spec: &Upstream,
    node: &str,
    clock: Clock,
    job: &Job,
) -> (Outcome, Option<LoadReport>) {
    let left = job.deadline.since(clock.now()).as_millis();
    let Some((path, version, body)) = encode_request(&job.request) else {
        return (Outcome::NotSent, None);
    };
    let mut request = client
        .post(format!("{}{path}", origin(spec)))
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-attempt-id", attempt_id(node, job.attempt)))
        .insert_header(("x-deadline-ms", left.to_string()));
    if let Some(version) = version {
        request = request.insert_header(("x-index-version", version.to_string()));
    }
    let body = PermittedBody::new(Bytes::from(body), job.permit.clone());
    match request.send_body(body).await {
        Ok(response) => read_reply(response, &job.request).await,
        // The client also reports a connection that the peer closed after the request was sent as a connect error.
        Err(SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_))) => {
            (Outcome::Broken, None)
        }
        Err(SendRequestError::Connect(_)) => (Outcome::NotSent, None),
        Err(SendRequestError::Body(error)) if error.is::<PermitWithdrawn>() => {
            (Outcome::NotSent, None)
        }
        Err(_) => (Outcome::Broken, None),
    }
}

fn origin(spec: &Upstream) -> String {
    let scheme = if spec.tls { "https" } else { "http" };
    format!("{scheme}://{}", spec.address)
}

/// Path, index version and body of a sub-request; `None` if the booking is not valid JSON.
fn encode_request(request: &SubRequest) -> Option<(String, Option<u64>, Vec<u8>)> {
    match request {
        SubRequest::Search {
            shard,
            index_version,
            service,
            query,
            limit,
        } => {
            let body = serde_json::to_vec(&SearchBody {
                service,
                query,
                limit: *limit,
            })
            .ok()?;
            Some((
                format!("/v1/shards/{shard}/search"),
                Some(*index_version),
                body,
            ))
        }
        SubRequest::Booking {
            service,
            booking_id,
            booking,
        } => {
            let booking = serde_json::from_str::<&RawValue>(booking).ok()?;
            let body = serde_json::to_vec(&BookingBody {
                service,
                booking_id,
                booking,
            })
            .ok()?;
            Some(("/v1/bookings".to_owned(), None, body))
        }
    }
}

async fn read_reply<S>(
    mut response: ClientResponse<S>,
    request: &SubRequest,
) -> (Outcome, Option<LoadReport>)
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let report = parse_load_report(response.headers());
    let version = parse_header(response.headers(), "x-index-version");
    let status = response.status();
    let Ok(body) = response.body().limit(MAX_REPLY_BYTES).await else {
        return (Outcome::Broken, report);
    };
    let outcome = match status {
        StatusCode::OK => decode_reply(request, version, &body).unwrap_or(Outcome::Invalid),
        StatusCode::TOO_MANY_REQUESTS => Outcome::Shed,
        StatusCode::SERVICE_UNAVAILABLE if response.headers().contains_key("x-not-run") => {
            Outcome::Shed
        }
        StatusCode::GONE => Outcome::VersionGone,
        status if status.as_u16() == 499 => Outcome::Cancelled,
        _ => Outcome::Invalid,
    };
    (outcome, report)
}

fn decode_reply(request: &SubRequest, version: Option<u64>, body: &[u8]) -> Option<Outcome> {
    match request {
        SubRequest::Search { .. } => {
            let read: SearchReplyBody = serde_json::from_slice(body).ok()?;
            let hits = read.hits.into_iter().map(HitBody::into_hit).collect();
            Some(Outcome::Answered(ShardReply {
                index_version: version?,
                hits,
            }))
        }
        SubRequest::Booking { .. } => {
            let read: BookingReplyBody = serde_json::from_slice(body).ok()?;
            Some(Outcome::Booked(BookingReply {
                accepted: read.accepted,
                reference: read.reference,
            }))
        }
    }
}

impl HitBody {
    fn into_hit(self) -> Hit {
        Hit {
            id: self.id,
            score: self.score,
            owner: self.owner,
            fields: Arc::from(self.fields.get()),
            private: self.private.map(|private| Arc::from(private.get())),
        }
    }
}

fn parse_load_report(headers: &HeaderMap) -> Option<LoadReport> {
    Some(LoadReport {
        started_at_ms: parse_header(headers, "x-start-time")?,
        uptime_ms: parse_header(headers, "x-uptime-ms"),
        in_flight: parse_header(headers, "x-in-flight")?,
        slots: parse_header(headers, "x-slots")?,
    })
}

fn parse_header<N: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

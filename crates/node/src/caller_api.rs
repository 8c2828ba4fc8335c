//! HTTP interface for callers: parses requests, hands them to the engine and renders the results.

use crate::{
    caller_json::{BookingAnswer, BookingBody, SearchAnswer, SearchBody, TicketBody, TicketReply},
    engine_task::{CallId, CallRequest, CallResult},
    prelude::*,
    problem,
};
use actix_http::{Method, StatusCode};

/// Longest request id that is accepted from a caller; a longer one is replaced.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Number of results returned if the request sets no limit.
const DEFAULT_RESULT_LIMIT: u32 = 100;

/// Request handler of the callers' listener.
#[derive(Clone, Debug)]
pub struct CallerApi {
    engine: EngineSender,
    node: Arc<str>,
}

/// Reports to the engine, when dropped, that the caller's connection closed before the result arrived.
struct CallerGoneGuard<'a> {
    call: CallId,
    engine: &'a EngineSender,
    done: bool,
}

impl CallerApi {
    /// A handler that hands requests to `engine` and prefixes the request ids that it generates with `node`.
    pub fn new(engine: EngineSender, node: &str) -> Self {
        Self {
            engine,
            node: Arc::from(node),
        }
    }

    async fn run_call(&self, call: CallId, request: CallRequest) -> Option<CallResult> {
        let (tx, rx) = oneshot::channel();
        let message = EngineMessage::Call {
            call,
            request,
            result: tx,
        };
        self.engine.send(message).await.ok()?;
        let mut guard = CallerGoneGuard {
            call,
            engine: &self.engine,
            done: false,
        };
        let result = rx.await.ok();
        guard.done = true;
        result
    }
}

impl Handler for CallerApi {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        let call = CallId::next();
        let request_id = request_id(&req, &self.node, call);
        let request = match parse_request(&req, &request_id) {
            Ok(request) => request,
            Err((kind, detail)) => {
                // If the queue is full, the refusal is sent but not counted.
                let _full = self.engine.try_send(EngineMessage::CountRefusal(kind));
                let refusal = refusal(&request_id, kind, detail);
                return problem::reply(&refusal).header("x-request-id", &*request_id);
            }
        };
        let reply = self
            .run_call(call, request)
            .await
            .map_or_else(|| outcome_unknown_reply(&request_id), result_reply);
        reply.header("x-request-id", &*request_id)
    }
}

impl Drop for CallerGoneGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            // If the queue is full, the request ends at its deadline instead.
            let _full = self.engine.try_send(EngineMessage::CallerGone(self.call));
        }
    }
}

fn refusal(request_id: &Arc<str>, kind: RefusalKind, detail: String) -> Refusal {
    Refusal {
        request_id: Arc::clone(request_id),
        kind,
        execution: Execution::NotRun,
        detail,
    }
}

/// Reply to a request whose result was lost because the engine task ended.
fn outcome_unknown_reply(request_id: &Arc<str>) -> HttpReply {
    let detail = "the node stopped before the request was completed".to_owned();
    let refusal = refusal(request_id, RefusalKind::OutcomeUnknown, detail);
    problem::reply(&Refusal {
        execution: Execution::Unknown,
        ..refusal
    })
}

fn request_id(req: &HttpRequest, node: &str, call: CallId) -> Arc<str> {
    let given = req.header("x-request-id").unwrap_or_default();
    let usable = !given.is_empty()
        && given.len() <= MAX_REQUEST_ID_BYTES
        && given.bytes().all(|b| b.is_ascii_graphic());
    if usable {
        Arc::from(given)
    } else {
        Arc::from(format!("{node}-{:x}", call.0))
    }
}

fn parse_request(
    req: &HttpRequest,
    request_id: &Arc<str>,
) -> Result<CallRequest, (RefusalKind, String)> {
    let body = req.body.as_ref().ok_or_else(|| {
        (
            RefusalKind::TooLarge,
            format!(
                "the body is longer than {} bytes",
                crate::http_server::MAX_BODY_BYTES
            ),
        )
    })?;
    let token: Arc<str> = Arc::from(req.bearer_token());
    let request_id = Arc::clone(request_id);
    let caller = CallerKey::default();
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/v1/search") => {
            let body: SearchBody = parse_json(body)?;
            Ok(CallRequest::Search(SearchRequest {
                caller,
                request_id,
                token,
                workspace: body.workspace.into(),
                service: body.service.into(),
                query: body.query.into(),
                limit: body.limit.unwrap_or(DEFAULT_RESULT_LIMIT),
                deadline: body.deadline_ms.map(Duration::from_millis),
            }))
        }
        (&Method::POST, "/v1/tickets") => {
            let body: TicketBody = parse_json(body)?;
            Ok(CallRequest::Ticket(TicketRequest {
                caller,
                request_id,
                token,
                workspace: body.workspace.into(),
            }))
        }
        (&Method::POST, "/v1/bookings") => {
            let body: BookingBody = parse_json(body)?;
            Ok(CallRequest::Booking(BookingRequest {
                caller,
                request_id,
                token,
                workspace: body.workspace.into(),
                service: body.service.into(),
                ticket: body.ticket.into(),
                booking: Arc::from(body.booking.get()),
                deadline: body.deadline_ms.map(Duration::from_millis),
                forwarded: false,
            }))
        }
        _ => Err((
            RefusalKind::UnknownService,
            format!("there is no operation {} {}", req.method, req.path),
        )),
    }
}

fn parse_json<'a, B: Deserialize<'a>>(body: &'a [u8]) -> Result<B, (RefusalKind, String)> {
    serde_json::from_slice(body).map_err(|error| {
        (
            RefusalKind::Malformed,
            format!("the body is not a valid request: {error}"),
        )
    })
}

fn result_reply(result: CallResult) -> HttpReply {
    match result {
        CallResult::Answer(answer) => HttpReply::json(StatusCode::OK, &SearchAnswer::from(answer)),
        CallResult::Ticket { ticket, expires_in } => {
            let reply = TicketReply {
                ticket,
                expires_in_ms: expires_in.as_millis() as u64,
            };
            HttpReply::json(StatusCode::OK, &reply)
        }
        CallResult::Booked {
            booking_id,
            reply,
            replayed,
        } => {
            let BookingReply {
                accepted,
                reference,
            } = reply;
            let answer = BookingAnswer {
                booking_id,
                accepted,
                upstream_reference: reference,
                replayed,
            };
            HttpReply::json(StatusCode::OK, &answer)
        }
        CallResult::Refused(refusal) => problem::reply(&refusal),
    }
}

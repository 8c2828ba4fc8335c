//! HTTP/1.1 server for the pages and APIs of a node, with and without TLS.

use crate::prelude::*;
use actix_http::{
    HttpMessage as _, HttpService, Method, Request, Response, StatusCode, header, header::HeaderMap,
};
use actix_rt::net::TcpStream;
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use futures_util::StreamExt as _;
use rustls::ServerConfig;
use std::{convert::Infallible, net::TcpListener};

/// Longest request body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Time for which an idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Time within which a client has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers the requests that arrive on a listener.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request. The future is dropped if the client disconnects.
    fn respond(&self, req: HttpRequest) -> impl Future<Output = HttpReply>;
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method of the request line.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark.
    pub query: String,
    /// Header fields, as sent.
    pub headers: HeaderMap,
    /// Body; `None` if it exceeds [`MAX_BODY_BYTES`] or ended early.
    pub body: Option<Bytes>,
}

impl HttpRequest {
    /// Value of a header field; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query parameter, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Token of an `Authorization: Bearer TOKEN` header; empty if there is none.
    pub fn bearer_token(&self) -> &str {
        self.header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default()
    }
}

/// A reply with its whole body.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code of the reply.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Header fields besides the content type.
    pub headers: Vec<(&'static str, String)>,
    /// Body; may be empty.
    pub body: Bytes,
}

impl HttpReply {
    /// A reply with a body of type `application/json`.
    ///
    /// # Panics
    ///
    /// If `body` can't be serialised as JSON, such as a map whose keys are not strings.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("reply types have a JSON form");
        Self {
            status,
            content_type: "application/json",
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// A reply with a body of type `text/plain`.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header field to the reply.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn into_response(self, closing: bool) -> Response<Bytes> {
        let mut builder = Response::build(self.status);
        builder.insert_header((header::CONTENT_TYPE, self.content_type));
        for (name, value) in self.headers {
            builder.insert_header((name, value));
        }
        if closing {
            builder.force_close();
        }
        let internal_error =
            || Response::new(StatusCode::INTERNAL_SERVER_ERROR).set_body(Bytes::new());
        builder
            .message_body(self.body)
            .unwrap_or_else(|_| internal_error())
    }
}

/// What a listener does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerPhase {
    /// Accepts connections and keeps them alive between requests.
    #[default]
    Open,
    /// Accepts connections but closes each after its next reply, so that clients reconnect to another node.
    Closing,
    /// Accepts no more connections; the server returns once the open ones have closed.
    Stopped,
}

/// Serves without TLS; otherwise as [`serve_tls`].
///
/// # Errors
///
/// If the listener can't be registered with the runtime.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    phase: watch::Receiver<ServerPhase>,
    workers: Workers,
) -> std::io::Result<()> {
    serve_tls(listener, None, handler, phase, workers).await
}

/// Accepts connections until the phase is [`ServerPhase::Stopped`], then waits for the open ones to close.
///
/// # Errors
///
/// If the listener can't be registered with the runtime.
pub async fn serve_tls<H: Handler>(
    listener: TcpListener,
    tls: Option<Arc<ServerConfig>>,
    handler: H,
    mut phase: watch::Receiver<ServerPhase>,
    mut workers: Workers,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // Each connection task holds a sender, so that the channel closes when the last connection does.
    let (open_tx, mut open_rx) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = phase.changed() => {
                if changed.is_err() || *phase.borrow() == ServerPhase::Stopped {
                    break;
                }
                continue;
            }
        };
        // Accepting fails when the process is out of file descriptors: wait until some are closed.
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (handler, phase, open) = (handler.clone(), phase.clone(), open_tx.clone());
        let tls = tls.clone();
        let Ok(stream) = stream.into_std() else {
            continue;
        };
        workers.spawn(move || async move {
            serve_connection(stream, tls, handler, phase).await;
            drop(open);
        });
    }
    drop(open_tx);
    let none: Option<Infallible> = open_rx.recv().await;
    debug_assert!(none.is_none(), "nothing is ever sent");
    Ok(())
}

/// Serves one accepted connection until it closes. In any phase but [`ServerPhase::Open`] it closes after its next
/// reply.
pub async fn serve_connection<H: Handler>(
    stream: std::net::TcpStream,
    tls: Option<Arc<ServerConfig>>,
    handler: H,
    phase: watch::Receiver<ServerPhase>,
) {
    let Ok(stream) = TcpStream::from_std(stream) else {
        return;
    };
    // Nagle's algorithm would hold small replies back until the peer's delayed acknowledgement.
    let _best_effort = stream.set_nodelay(true);
    let service = fn_service(move |req: Request| {
        let (handler, phase) = (handler.clone(), phase.clone());
        async move {
            let reply = handler.respond(read_request(req).await).await;
            let closing = *phase.borrow() != ServerPhase::Open;
            Ok::<_, Infallible>(reply.into_response(closing))
        }
    });
    // Not shared between the arms, because the builder's type depends on the type of the stream.
    match tls {
        None => {
            let http = HttpService::build()
                .keep_alive(KEEP_ALIVE)
                .client_request_timeout(HEAD_TIMEOUT)
                .h1(service);
            if let Ok(service) = http.tcp().new_service(()).await {
                let _ended = service.call(stream).await;
            }
        }
        Some(tls) => {
            // Cheap: the certificate and key are reference-counted.
            let tls = ServerConfig::clone(&tls);
            let http = HttpService::build()
                .keep_alive(KEEP_ALIVE)
                .client_request_timeout(HEAD_TIMEOUT)
                .h1(service);
            if let Ok(service) = http.rustls_0_23(tls).new_service(()).await {
                let _ended = service.call(stream).await;
            }
        }
    }
}

async fn read_request(mut req: Request) -> HttpRequest {
    let body = read_body(&mut req).await;
    HttpRequest {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: req.headers().clone(),
        body,
    }
}

async fn read_body(req: &mut Request) -> Option<Bytes> {
    let mut payload = req.take_payload();
    let mut body = bytes::BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

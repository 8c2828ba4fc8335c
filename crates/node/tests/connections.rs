//! Connections to upstreams: each attempt gets exactly one reply with the right outcome, and a booking never runs on a
//! connection that the upstream may already have closed.

use actix_http::body;
use medlarpost_core::prelude::*;
use medlarpost_node::{
    clock::Clock,
    engine_task::EngineMessage,
    metrics::Metrics,
    send_permit::{PermitIssuer, PermittedBody},
    upstream_task::{self, Job, UpstreamMessage, UpstreamParts, UpstreamSender},
};
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const REPLY: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 33\r\n\r\n{\"accepted\":true,\"reference\":\"r\"}";

/// How the upstream handles each request on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Behaviour {
    Answer,
    AnswerTwice,
    AnswerAndClose,
    StaySilent,
    Close,
    SendGarbage,
}

/// An upstream task with the channels to and from it.
struct Fixture {
    tx: UpstreamSender,
    replies: mpsc::Receiver<EngineMessage>,
    task: actix_rt::task::JoinHandle<()>,
    clock: Clock,
    attempts: SlotMap<AttemptKey, ()>,
    permits: PermitIssuer,
}

impl Fixture {
    fn new(address: SocketAddr) -> Self {
        let clock = Clock::start();
        let (engine, replies) = mpsc::channel(64);
        let (tx, rx) = mpsc::unbounded_channel();
        let parts = UpstreamParts {
            upstream: UpstreamKey::default(),
            spec: upstream_spec(address),
            max_connections: 4,
            node: Arc::from("n-1"),
            clock,
            log: slog::Logger::root(slog::Discard, slog::o!()),
            engine,
            metrics: Metrics::new(),
            tls: None,
        };
        let task = actix_rt::spawn(upstream_task::run(parts, rx));
        let attempts = SlotMap::with_key();
        Self {
            tx,
            replies,
            task,
            clock,
            attempts,
            permits: PermitIssuer::new(),
        }
    }

    fn book(&mut self, timeout: Duration) -> AttemptKey {
        let attempt = self.attempts.insert(());
        let deadline = self.clock.now() + timeout;
        let request = SubRequest::Booking {
            service: Arc::from("book"),
            booking_id: Arc::from("b"),
            booking: Arc::from("{}"),
        };
        let job = Job {
            attempt,
            request,
            deadline,
            not_after: deadline,
            permit: self.permits.issue(),
        };
        self.tx
            .send(UpstreamMessage::Send(job))
            .expect("the task runs");
        attempt
    }

    async fn next_reply(&mut self) -> Reply {
        match self.replies.recv().await {
            Some(EngineMessage::Event(Event::Reply(reply))) => reply,
            other => panic!("the task only replies: {other:?}"),
        }
    }

    /// Retires the task and counts the replies beyond the expected ones.
    async fn count_surplus_replies(mut self) -> usize {
        self.tx
            .send(UpstreamMessage::Retire)
            .expect("the task runs");
        self.task.await.expect("the task ends");
        let mut count = 0;
        while self.replies.recv().await.is_some() {
            count += 1;
        }
        count
    }
}

fn upstream_spec(address: SocketAddr) -> Upstream {
    Upstream {
        name: "u".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 4,
        cold_slots: 1,
        connections: 4,
        connect_ms: 1,
        state: UpstreamState::Active,
        tls: false,
    }
}

/// Starts an upstream whose behaviour depends on the number of the connection; the last one holds for all further
/// connections. The channel gets the number of the connection of each request.
async fn start_upstream(
    behaviours: &'static [Behaviour],
) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("it is bound");
    let (tx, rx) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        for number in 0..64 {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let behaviour = behaviours[number.min(behaviours.len() - 1)];
            actix_rt::spawn(serve_connection(stream, behaviour, number, tx.clone()));
        }
    });
    (address, rx)
}

async fn serve_connection(
    mut stream: TcpStream,
    behaviour: Behaviour,
    number: usize,
    tx: mpsc::UnboundedSender<usize>,
) {
    while read_request(&mut stream).await {
        let _test_ended = tx.send(number);
        let text = match behaviour {
            Behaviour::Answer | Behaviour::AnswerAndClose => REPLY.to_owned(),
            Behaviour::AnswerTwice => REPLY.repeat(2),
            Behaviour::StaySilent => continue,
            Behaviour::Close => return,
            Behaviour::SendGarbage => "no protocol\r\n\r\n".to_owned(),
        };
        let written = stream.write_all(text.as_bytes()).await;
        if written.is_err() || behaviour == Behaviour::AnswerAndClose {
            return;
        }
    }
}

/// Reads one request, which ends with the body that the fixture sends. Returns whether it is complete.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    while !text.ends_with(b"\"booking\":{}}") {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => text.extend_from_slice(&buf[..count]),
        }
    }
    true
}

/// Sends one booking. Returns its outcome and the number of surplus replies.
async fn book_once(behaviours: &'static [Behaviour], timeout: Duration) -> (Outcome, usize) {
    let (address, _requests) = start_upstream(behaviours).await;
    let mut fixture = Fixture::new(address);
    let attempt = fixture.book(timeout);
    let reply = fixture.next_reply().await;
    assert_eq!(reply.attempt, attempt);
    (reply.outcome, fixture.count_surplus_replies().await)
}

#[actix_rt::test]
async fn each_failure_is_reported_once_with_its_outcome() {
    let (long, short) = (Duration::from_secs(30), Duration::from_millis(100));

    let answered = book_once(&[Behaviour::Answer], long).await;
    let twice = book_once(&[Behaviour::AnswerTwice], long).await;
    let closed = book_once(&[Behaviour::Close], long).await;
    let garbled = book_once(&[Behaviour::SendGarbage], long).await;
    let silent = book_once(&[Behaviour::StaySilent], short).await;

    assert!(matches!(answered, (Outcome::Booked(_), 0)), "{answered:?}");
    assert!(matches!(twice, (Outcome::Booked(_), 0)), "{twice:?}");
    assert!(matches!(closed, (Outcome::Broken, 0)), "{closed:?}");
    assert!(matches!(garbled, (Outcome::Broken, 0)), "{garbled:?}");
    assert!(matches!(silent, (Outcome::Silent, 0)), "{silent:?}");
}

#[actix_rt::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let mut fixture = Fixture::new(address);

    fixture.book(Duration::from_secs(30));
    let reply = fixture.next_reply().await;

    assert!(matches!(reply.outcome, Outcome::NotSent), "{reply:?}");
    assert_eq!(fixture.count_surplus_replies().await, 0);
}

#[actix_rt::test]
async fn connection_that_timed_out_is_not_used_again() {
    let (address, mut requests) = start_upstream(&[Behaviour::StaySilent, Behaviour::Answer]).await;
    let mut fixture = Fixture::new(address);
    fixture.book(Duration::from_millis(100));
    let first = fixture.next_reply().await;

    fixture.book(Duration::from_secs(30));
    let second = fixture.next_reply().await;

    assert!(matches!(first.outcome, Outcome::Silent), "{first:?}");
    assert!(matches!(second.outcome, Outcome::Booked(_)), "{second:?}");
    // A connection between them may carry the cancellation of the first request.
    let used = (requests.recv().await, requests.recv().await);
    assert!(
        matches!(used, (Some(0), Some(second)) if second > 0),
        "{used:?}"
    );
}

#[actix_rt::test]
async fn booking_opens_a_new_connection_after_the_idle_limit() {
    let (address, mut requests) = start_upstream(&[Behaviour::Answer]).await;
    let mut fixture = Fixture::new(address);
    fixture.book(Duration::from_secs(30));
    fixture.next_reply().await;

    actix_rt::time::sleep(upstream_task::BOOKING_IDLE_LIMIT * 2).await;
    fixture.book(Duration::from_secs(30));
    let second = fixture.next_reply().await;

    assert!(matches!(second.outcome, Outcome::Booked(_)), "{second:?}");
    // A connection between them may carry the cancellation of the first request.
    let used = (requests.recv().await, requests.recv().await);
    assert!(
        matches!(used, (Some(0), Some(second)) if second > 0),
        "{used:?}"
    );
}

/// Guards against an upstream that goes on with a request whose deadline has passed, because it does not notice that the
/// connection has closed.
#[actix_rt::test]
async fn upstream_is_asked_to_cancel_a_request_whose_deadline_has_passed() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let mut fixture = Fixture::new(listener.local_addr().expect("it is bound"));

    fixture.book(Duration::from_millis(100));
    let (mut silent, _) = listener.accept().await.expect("the request is sent");
    assert!(read_request(&mut silent).await);
    let (mut cancelling, _) = listener.accept().await.expect("a connection is opened");

    let mut text = vec![0; 4_096];
    let read = cancelling.read(&mut text).await.expect("a request is sent");
    let text = String::from_utf8_lossy(&text[..read]).into_owned();
    assert!(text.starts_with("POST /v1/cancel/n-1-"), "{text}");
}

/// Guards against a sub-request that reaches an upstream after the node has learned that it is cold, because it waited
/// for a connection meanwhile.
#[actix_rt::test]
async fn withdrawn_sub_request_that_waits_is_not_sent() {
    let (address, mut requests) = start_upstream(&[Behaviour::Answer]).await;
    let mut fixture = Fixture::new(address);

    fixture.book(Duration::from_secs(30));
    fixture.permits.withdraw();
    let withdrawn = fixture.next_reply().await;
    fixture.book(Duration::from_secs(30));
    let later = fixture.next_reply().await;

    assert!(
        matches!(withdrawn.outcome, Outcome::NotSent),
        "{withdrawn:?}"
    );
    assert!(matches!(later.outcome, Outcome::Booked(_)), "{later:?}");
    assert_eq!(fixture.count_surplus_replies().await, 0);
    assert_eq!(requests.try_recv().ok(), Some(0));
    assert!(requests.try_recv().is_err(), "one request arrives");
}

/// Guards against a withdrawn sub-request that is reported only when a busy connection becomes free.
#[actix_rt::test]
async fn withdrawn_sub_request_is_reported_at_once() {
    let (address, mut requests) = start_upstream(&[Behaviour::StaySilent; 4]).await;
    let mut fixture = Fixture::new(address);
    for _ in 0..4 {
        fixture.book(Duration::from_secs(5));
        requests.recv().await;
    }
    let waiting = fixture.book(Duration::from_secs(5));

    fixture.permits.withdraw();
    fixture
        .tx
        .send(UpstreamMessage::DropWithdrawn)
        .expect("the task runs");
    let reply = tokio::time::timeout(Duration::from_secs(1), fixture.next_reply()).await;

    let reply = reply.expect("in time");
    assert_eq!(reply.attempt, waiting);
    assert!(matches!(reply.outcome, Outcome::NotSent), "{reply:?}");
}

/// Guards against the same while the connection opens: the body is written only then.
#[actix_rt::test]
async fn body_is_not_written_after_its_permit_was_withdrawn() {
    let permits = PermitIssuer::new();
    let new_body = || PermittedBody::new("{}".into(), permits.issue());
    let (valid, withdrawn) = (body::to_bytes(new_body()).await, new_body());

    permits.withdraw();
    let written = body::to_bytes(withdrawn).await;

    assert_eq!(valid.expect("it is permitted"), "{}");
    assert!(written.is_err(), "{written:?}");
}

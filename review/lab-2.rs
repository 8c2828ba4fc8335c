//! Stand-ins of the platform's store, of backends and of consumers for the cases of the second review, and the scripts of
//! these cases. Uses the standard library only. Every address is a loopback address.
//!
//! Usage: lab SCENARIO RECORD. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With TROUBLE=0 in the environment the same runs without the disruption.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `warmupS` of the services.
const WARM_UP: Duration = Duration::from_secs(3);
/// Work of a cold backend as a multiple of the usual one.
const COLD_FACTOR: f64 = 1.6;
/// Silent heartbeat intervals after which the store removes an entry.
const LAPSE_INTERVALS: u32 = 3;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn add(&self, text: String) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text));
        now
    }

    fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{at:9.3} {text}\n"))
            .collect();
        if let Err(fault) = fs::write(path, text) {
            eprintln!("record not written: {fault}");
        }
    }
}

/// First numbers of the addresses of nodes, of backends and of the store.
const NODES: u8 = 0;
const BACKENDS: u8 = 100;
const STORE: u8 = 200;

/// A loopback address of this run. Runs beside each other use other ones.
fn address_of(first: u8, number: u8) -> Ipv4Addr {
    let run = std::process::id();
    let (second, third) = (64 + (run % 128) as u8, (run / 128 % 256) as u8);
    Ipv4Addr::new(127, second, third, first + number)
}

/// All nodes that were started, so that none outlives the script.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all nodes. Returns whether one of them had ended by itself.
fn end_nodes() -> bool {
    let mut any_ended = false;
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        any_ended |= !matches!(child.try_wait(), Ok(None));
        let _ = child.kill();
        let _ = child.wait();
    }
    any_ended
}

fn fail(text: &str) -> ! {
    end_nodes();
    eprintln!("the case can't run: {text}");
    exit(2)
}

// ---------------------------------------------------------------- HTTP

struct Message {
    first: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("/")
    }

    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Bounds of `tunelix-prod` and `pratu-ruam`.
const SMALL_BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 5000\ncatchupS = 4\ndrainMs = 3000\n\
    graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxSkewMs = 12000\n\
    retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 54\nwarmupExcess = 1.5\nwarmupSlack = 5\n\
    evacuateMs = 5000\nrecoveryS = 12\n";

/// Bounds of `tunelix-prod-grown`.
const GROWN_BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 5000\nackMs = 8000\ncatchupS = 6\ndrainMs = 5000\n\
    graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 5000\nrollbackSlackMs = 250\nmaxSkewMs = 15000\n\
    retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 178\nwarmupExcess = 1.5\nwarmupSlack = 5\n\
    evacuateMs = 5000\nrecoveryS = 15\n";

/// Reads one message; `None` if the connection ends or times out first.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        read_more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        first,
        fields,
        body: Vec::new(),
    };
    let length = message
        .field("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let total = head_end + 4 + length;
    while buffer.len() < total {
        read_more(stream, buffer)?;
    }
    message.body = buffer[head_end + 4..total].to_vec();
    buffer.drain(..total);
    Some(message)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(read) => {
            buffer.extend_from_slice(&chunk[..read]);
            Some(())
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value of each change; `None` for a removal.
    events: Vec<(u64, String, Option<String>)>,
}

/// The platform's store.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
}

impl Store {
    fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|fault| fail(&fault.to_string()));
        let address = listener.local_addr().unwrap();
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item and returns once it is acknowledged.
    fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                if state.items.remove(key).is_none() {
                    return;
                }
            }
        }
        state.events.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer) {
            let body = if call.target().starts_with("/kv-watch") {
                self.watch(&call)
            } else {
                self.range(&call)
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, call: &Message) -> String {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (
            call.query("prefix").unwrap_or_default(),
            call.query("after"),
        );
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
            })
            .map(|(key, (value, revision))| item_json(key, value, *revision))
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, call: &Message) -> String {
        let number = |name| {
            call.query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), number("waitMs"));
        let prefix = call.query("prefix").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_json(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"leaseId\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- backends

/// How a backend starts again after a crash.
#[derive(Clone, Copy, PartialEq)]
enum Identity {
    Same,
    New,
}

/// A request that a backend has begun to run.
#[derive(Clone)]
struct Run {
    at: f64,
    id: String,
    target: String,
    backend: usize,
    marked: bool,
}

struct Life {
    id: String,
    born: u64,
    up: bool,
    connections: Vec<TcpStream>,
}

struct BackendSpec {
    service: &'static str,
    zone: &'static str,
    ip: Ipv4Addr,
    slots: usize,
    work: Duration,
    /// Time from a crash to the next start.
    down: Duration,
    identity: Identity,
    /// Whether the marked request crashes it.
    crashes: bool,
}

/// One in this many answers of a faulty backend is followed by additional bytes: a share of 0.04.
const ANSWERS_PER_FAULT: usize = 25;

/// What a faulty backend sends after a complete response.
const ADDITIONAL_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A backend. It registers itself, runs requests and crashes on the marked one, if the disruption is on.
struct Backend {
    index: usize,
    spec: BackendSpec,
    address: SocketAddr,
    store: Store,
    record: Record,
    life: Mutex<Life>,
    running: AtomicUsize,
    /// Requests that ran when the process crashed, without the marked one.
    lost: AtomicUsize,
    /// Set once it leaves without reporting that it drains.
    leaving: AtomicBool,
    /// Whether it sends additional bytes after some of its answers.
    is_faulty: AtomicBool,
    /// Answers sent while it is faulty.
    faulty_answers: AtomicUsize,
    runs: Arc<Mutex<Vec<Run>>>,
    starts: AtomicU64,
}

impl Backend {
    fn start(
        index: usize,
        spec: BackendSpec,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let listener =
            TcpListener::bind((spec.ip, 0)).unwrap_or_else(|fault| fail(&fault.to_string()));
        let address = listener.local_addr().unwrap();
        let backend = Arc::new(Self {
            index,
            spec,
            address,
            store: store.clone(),
            record: record.clone(),
            life: Mutex::new(Life {
                id: String::new(),
                born: 0,
                up: false,
                connections: Vec::new(),
            }),
            running: AtomicUsize::new(0),
            lost: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            is_faulty: AtomicBool::new(false),
            faulty_answers: AtomicUsize::new(0),
            runs: Arc::clone(runs),
            starts: AtomicU64::new(0),
        });
        let serving = Arc::clone(&backend);
        thread::spawn(move || serving.live(listener));
        backend
    }

    fn live(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let listening = listener.take().unwrap_or_else(|| self.rebind());
            listening.set_nonblocking(true).unwrap();
            let start = self.starts.fetch_add(1, Ordering::SeqCst);
            let id = match self.spec.identity {
                Identity::Same => format!("i-{:08x}", 0x7f3a_9100 + self.index),
                Identity::New => {
                    format!("i-{:08x}", 0x7f3a_9100 + self.index + 256 * start as usize)
                }
            };
            let born = unix_ms();
            {
                let mut life = self.life.lock().unwrap();
                life.id.clone_from(&id);
                life.born = born;
                life.up = true;
            }
            self.record
                .add(format!("backend {} starts as {id}", self.index));
            let beating = Arc::clone(&self);
            let beat_id = id.clone();
            thread::spawn(move || beating.beat(&beat_id, born));
            while self.life.lock().unwrap().up {
                match listening.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            self.life.lock().unwrap().connections.push(copy);
                        }
                        let backend = Arc::clone(&self);
                        let id = id.clone();
                        thread::spawn(move || backend.serve(stream, &id, born));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listening);
            if self.leaving.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(self.spec.down);
        }
    }

    fn rebind(&self) -> TcpListener {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return listener;
            }
            thread::sleep(Duration::from_millis(20));
        }
        fail("a backend's address is taken")
    }

    fn is_alive(&self, born: u64) -> bool {
        let life = self.life.lock().unwrap();
        life.up && life.born == born
    }

    /// Writes the entry until the process ends. If no later start has written it, the store then removes it after the
    /// silent intervals.
    fn beat(self: Arc<Self>, id: &str, born: u64) {
        let key = format!("servers/{id}");
        let mut seq = 0;
        let mut last = Instant::now();
        while self.is_alive(born) {
            seq += 1;
            let entry = self.entry(self.spec.service, seq, Some(born));
            if self.leaving.load(Ordering::SeqCst) {
                return;
            }
            self.store.put(&key, &entry);
            last = Instant::now();
            while self.is_alive(born) && last.elapsed() < HEARTBEAT {
                if self.leaving.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        let lapse = last + HEARTBEAT * LAPSE_INTERVALS;
        thread::sleep(lapse.saturating_duration_since(Instant::now()));
        let life = self.life.lock().unwrap();
        let is_taken_over = life.id == id && life.born != born;
        drop(life);
        if !is_taken_over {
            self.store.delete(&key);
            self.record.add(format!("entry {id} lapses"));
        }
    }

    /// Its entry, ready. `born` is missing in one that another writer leaves.
    fn entry(&self, service: &str, seq: u64, born: Option<u64>) -> String {
        let BackendSpec { zone, slots, .. } = self.spec;
        let cold = born.map_or(0, |born| self.cold_left(born).as_millis());
        let born = born.map_or(String::new(), |born| format!(",\"born\":{born}"));
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"warmupLeftMs\":{cold},\"seq\":{seq}{born}}}",
            self.address
        )
    }

    fn key(&self) -> String {
        format!("servers/{}", self.life.lock().unwrap().id)
    }

    /// Removes its entry without having reported that it drains. Returns when the store has acknowledged that.
    fn leave(&self) -> f64 {
        self.leaving.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(50));
        self.store.delete(&self.key());
        self.record.add(format!(
            "backend {} leaves: its entry is removed",
            self.index
        ))
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, id: &str, born: u64) {
        let mut buffer = Vec::new();
        let mut owes_extra = false;
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            if !self.is_alive(born) {
                return;
            }
            if std::mem::take(&mut owes_extra) {
                // Late: where the next response is expected.
                self.record
                    .add(format!("backend {} sends additional bytes", self.index));
                if stream.write_all(ADDITIONAL_BYTES).is_err() {
                    return;
                }
            }
            let reply = self.answer(&request, id, born);
            let Some(reply) = reply.filter(|_| self.is_alive(born)) else {
                return;
            };
            if stream.write_all(&reply).is_err() {
                return;
            }
            if self.is_faulty.load(Ordering::SeqCst) {
                let answers = self.faulty_answers.fetch_add(1, Ordering::SeqCst) + 1;
                owes_extra = answers % ANSWERS_PER_FAULT == 0;
            }
        }
    }

    /// Reply to a request; `None` if the process has crashed.
    fn answer(&self, request: &Message, id: &str, born: u64) -> Option<Vec<u8>> {
        let request_id = request.field("request-id").unwrap_or_default().to_owned();
        if request.target().starts_with("/health") {
            return Some(
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                    .into_bytes(),
            );
        }
        if request
            .field("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            self.record
                .add(format!("backend {} 421 {request_id}", self.index));
            return Some(format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes());
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        if running > self.spec.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return Some(
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nServer-Load: {0},0,{0}\r\nContent-Length: 0\r\n\r\n",
                    self.spec.slots
                )
                .into_bytes(),
            );
        }
        let marked = request.body.starts_with(b"marked");
        let at = self.record.add(format!(
            "backend {} runs {request_id} {}{}",
            self.index,
            request.target(),
            if marked { " (marked)" } else { "" }
        ));
        self.runs.lock().unwrap().push(Run {
            at,
            id: request_id.clone(),
            target: request.target().to_owned(),
            backend: self.index,
            marked,
        });
        if marked && self.spec.crashes {
            self.crash(born);
            self.running.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let is_cold = !self.cold_left(born).is_zero();
        thread::sleep(if is_cold {
            self.spec.work.mul_f64(COLD_FACTOR)
        } else {
            self.spec.work
        });
        self.running.fetch_sub(1, Ordering::SeqCst);
        let load = self.running.load(Ordering::SeqCst);
        let body = format!("done {request_id}");
        Some(
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: 3e1b.{}.{request_id}\r\n\
                 Server-Load: {load},0,{}\r\nContent-Length: {}\r\n\r\n{body}",
                self.index,
                self.spec.slots,
                body.len()
            )
            .into_bytes(),
        )
    }

    /// Time for which it is cold after a start during traffic.
    fn cold_left(&self, born: u64) -> Duration {
        if self.starts.load(Ordering::SeqCst) < 2 {
            return Duration::ZERO;
        }
        WARM_UP.saturating_sub(Duration::from_millis(unix_ms().saturating_sub(born)))
    }

    fn crash(&self, born: u64) {
        let mut life = self.life.lock().unwrap();
        if !life.up || life.born != born {
            return;
        }
        life.up = false;
        let lost = self.running.load(Ordering::SeqCst).saturating_sub(1);
        self.lost.fetch_add(lost, Ordering::SeqCst);
        for connection in life.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(format!(
            "backend {} crashes, with {lost} other requests",
            self.index
        ));
    }
}

// ---------------------------------------------------------------- nodes

/// A node of the system: the command of the deploy file, started in the repository's root.
struct Node {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    fn start_process(&self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.unwrap_or_else(|fault| fail(&fault.to_string()));
        let errors = log
            .try_clone()
            .unwrap_or_else(|fault| fail(&fault.to_string()));
        let child = Command::new("target/release/medlarpost")
            .env("MEDLARPOST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|fault| fail(&format!("target/release/medlarpost: {fault}")));
        // For run.sh, should this program be ended from outside.
        if let Ok(list) = std::env::var("REVIEW_PIDS") {
            let file = fs::OpenOptions::new().create(true).append(true).open(list);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        CHILDREN.lock().unwrap().push(child);
    }

    fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request.as_bytes(), Duration::from_secs(1))
            .is_some_and(|answer| answer.status() == 200)
    }
}

/// Sends one request on a new connection; `None` if no complete answer comes in time.
fn call(address: SocketAddr, request: &[u8], within: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

struct NodeSpec {
    zone: &'static str,
    ip: Ipv4Addr,
}

/// First of four ports in a row that are free on all addresses. Below the range that the system gives to clients.
fn free_ports(specs: &[NodeSpec]) -> u16 {
    let first = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    let is_free = |base: u16| {
        let ports = (base..base + 4).flat_map(|port| specs.iter().map(move |spec| (spec.ip, port)));
        ports
            .into_iter()
            .all(|address| TcpListener::bind(address).is_ok())
    };
    let found = (0..50)
        .map(|step| first + step * 10)
        .find(|base| is_free(*base));
    found.unwrap_or_else(|| fail("no free ports"))
}

/// Writes the settings of all nodes, like those of a small deployment of the pages, and starts them.
fn start_nodes(
    specs: &[NodeSpec],
    bounds: &str,
    store: &Store,
    folder: &PathBuf,
) -> Vec<Arc<Node>> {
    let base = free_ports(specs);
    let (front, ready, control, internal) = (base, base + 1, base + 2, base + 3);
    let seeds: Vec<String> = specs
        .iter()
        .take(3)
        .map(|spec| format!("\"{}:{control}\"", spec.ip))
        .collect();
    let nodes: Vec<Arc<Node>> = specs
        .iter()
        .enumerate()
        .map(|(index, NodeSpec { zone, ip })| {
            let name = format!("front-{zone}-{}", index + 1);
            let text = format!(
                "nodeName = \"{name}\"\nrole = \"medlarpost\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"pl-central\"\ninternalPorts = [{internal},{}]\nseeds = [{}]\n\
                 bootstrap = true\ninLossBudget = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"platform\"]\n\
                 [zones]\nwaw-a = \"pl-central\"\nwaw-b = \"pl-central\"\nlodz-a = \"pl-central\"\n\
                 [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
                 [limits]\ncpuShare = 0.38\ncores = 1\nmemoryMb = 390\nmaxFds = 6150\nlinkMbps = 1500.0\ndiskMb = 0\n\
                 [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
                 [bounds]\n{bounds}\
                 [platform]\naddress = \"{}\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
                 maxValueBytes = 1048576\nminTtlMs = 1000\n",
                internal + 15,
                seeds.join(","),
                store.address
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text).unwrap_or_else(|fault| fail(&fault.to_string()));
            let log = folder.join(format!("{name}.log"));
            let node = Node {
                name,
                front: SocketAddr::new((*ip).into(), front),
                ready: SocketAddr::new((*ip).into(), ready),
                settings,
                log,
            };
            Arc::new(node)
        })
        .collect();
    for node in &nodes {
        node.start_process();
    }
    nodes
}

fn await_ready(nodes: &[Arc<Node>]) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !nodes.iter().all(|node| node.is_ready()) {
        if Instant::now() > deadline {
            fail("the nodes are not ready after 10 s");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

// ---------------------------------------------------------------- consumers

/// Time limit of the consumers.
const DEADLINE: Duration = Duration::from_secs(3);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Path of the requests for the service [`BOOKINGS`].
const BOOKING_PATH: &str = "/goka902/2f";
const BOOKINGS: &str = "kafi81c";
/// Path of the requests for the service [`INVOICES`].
const INVOICE_PATH: &str = "/zide732/2f";
const INVOICES: &str = "nylo40d";

/// Sends a request (unsafe) on a new connection. Returns the status, 0 without an answer.
fn send_request(record: &Record, node: &Node, path: &str, body: &str) -> u16 {
    let id = format!(
        "{:016x}",
        0x9c41_d07b_0000_0000 + NEXT_REQUEST.fetch_add(1, Ordering::SeqCst)
    );
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: hufi27.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    record.add(format!("{id} {path} ({body}) sent to {}", node.name));
    let answer = call(node.front, request.as_bytes(), DEADLINE);
    let status = answer.as_ref().map_or(0, Message::status);
    record.add(format!("{id} answered {status}"));
    status
}

/// Configuration with a route for each service.
fn configuration(version: u64) -> String {
    let route = |name, prefix, service| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"hufi27.example\",\"prefix\":\"{prefix}\",\"type\":\"unsafe\",\
             \"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let service = |name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\
             \"warmupS\":3.0,\"warmupPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("r-xmibw6k", "/goka902/", BOOKINGS),
        route("r-ks8nbkx", "/zide732/", INVOICES),
        service(BOOKINGS),
        service(INVOICES)
    )
}

/// Counts of answers by path and status; status 0 stands for no answer.
type Answers = Arc<Mutex<BTreeMap<(String, u16), usize>>>;

/// Store, backends, nodes and consumers of a case.
struct Stage {
    folder: PathBuf,
    record: Record,
    store: Store,
    runs: Arc<Mutex<Vec<Run>>>,
    backends: Vec<Arc<Backend>>,
    nodes: Vec<Arc<Node>>,
    stop: Arc<AtomicBool>,
    answers: Answers,
    consumers: Vec<thread::JoinHandle<()>>,
}

impl Stage {
    /// Starts everything and returns once all machines are in touch.
    fn start(
        nodes: &[NodeSpec],
        bounds: &str,
        contact: Duration,
        backends: Vec<BackendSpec>,
        paths: &[&'static str],
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|fault| fail(&fault.to_string()));
        let record = Record::new();
        let store = Store::start(address_of(STORE, 1));
        let runs = Arc::new(Mutex::new(Vec::new()));
        let backends: Vec<_> = backends
            .into_iter()
            .enumerate()
            .map(|(index, spec)| Backend::start(index, spec, &store, &record, &runs))
            .collect();
        store.put("op/config", &configuration(7));
        thread::sleep(Duration::from_millis(200));
        let nodes = start_nodes(nodes, bounds, &store, &folder);
        await_ready(&nodes);
        record.add("all nodes are ready".to_owned());
        thread::sleep(contact + Duration::from_millis(500));
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
        let mut consumers = Vec::new();
        for node in &nodes {
            for path in paths {
                let (record, node) = (record.clone(), Arc::clone(node));
                let (stop, answers, path) = (Arc::clone(&stop), Arc::clone(&answers), *path);
                consumers.push(thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        let status = send_request(&record, &node, path, "usual");
                        *answers
                            .lock()
                            .unwrap()
                            .entry((path.to_owned(), status))
                            .or_default() += 1;
                        thread::sleep(Duration::from_millis(60));
                    }
                }));
            }
        }
        Self {
            folder,
            record,
            store,
            runs,
            backends,
            nodes,
            stop,
            answers,
            consumers,
        }
    }

    /// Ends all processes. Returns what the backends have run.
    fn end(&mut self) -> Vec<Run> {
        self.stop.store(true, Ordering::SeqCst);
        for consumer in self.consumers.drain(..) {
            let _ = consumer.join();
        }
        let ended = end_nodes();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        if ended {
            fail("a node has ended by itself");
        }
        self.record.add(format!(
            "answers by path and status (0: none): {:?}",
            self.answers.lock().unwrap()
        ));
        self.runs.lock().unwrap().clone()
    }

    /// Writes the record. Returns the exit status.
    fn judge(&self, rule: &str, broken: bool, path: &str) -> i32 {
        self.record
            .add(format!("{rule} {}", if broken { "broken" } else { "held" }));
        self.record.write(path);
        i32::from(broken)
    }
}

fn backend_spec(service: &'static str, zone: &'static str, last: u8) -> BackendSpec {
    BackendSpec {
        service,
        zone,
        ip: address_of(BACKENDS, last),
        slots: 6,
        work: Duration::from_millis(120),
        down: Duration::from_secs(2),
        identity: Identity::New,
        crashes: false,
    }
}

/// A case in which a request crashes the backends that run it.
struct CrashCase {
    nodes: Vec<NodeSpec>,
    bounds: &'static str,
    /// `contactMs` of these bounds.
    contact: Duration,
    /// Zone and number of backends.
    backends: Vec<(&'static str, usize)>,
    identity: Identity,
    down: Duration,
    /// Time between two copies of the marked request.
    interval: Duration,
    length: Duration,
}

/// Plays a crash case and checks the rule BUDGET.
fn play_crash_case(case: CrashCase, trouble: bool, path: &str) -> i32 {
    let zones = case
        .backends
        .iter()
        .flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count));
    let backends = zones.enumerate().map(|(index, zone)| BackendSpec {
        down: case.down,
        identity: case.identity,
        crashes: trouble,
        ..backend_spec(BOOKINGS, zone, index as u8 + 1)
    });
    let paths = [BOOKING_PATH, BOOKING_PATH];
    let mut stage = Stage::start(
        &case.nodes,
        case.bounds,
        case.contact,
        backends.collect(),
        &paths,
    );
    let end = Instant::now() + case.length;
    let mut copies: BTreeMap<u16, usize> = BTreeMap::new();
    let mut copy = 0;
    while Instant::now() < end {
        let node = &stage.nodes[copy % stage.nodes.len()];
        copy += 1;
        let status = send_request(&stage.record, node, BOOKING_PATH, "marked");
        *copies.entry(status).or_default() += 1;
        thread::sleep(case.interval);
    }
    let mut runs = stage.end();
    runs.retain(|run| run.marked);
    let record = &stage.record;
    let lost: usize = stage
        .backends
        .iter()
        .map(|backend| backend.lost.load(Ordering::SeqCst))
        .sum();
    record.add(format!(
        "copies of the marked request by status: {copies:?}; runs: {}",
        runs.len()
    ));
    record.add(format!(
        "other requests that ran at a backend when it crashed: {lost}"
    ));
    let mut broken = false;
    if let Some(third) = runs.get(2).filter(|_| trouble) {
        let limit = third.at + case.contact.as_secs_f64();
        let late: Vec<&Run> = runs.iter().filter(|run| run.at > limit).collect();
        broken = late.len() > 3;
        record.add(format!(
            "third crash at {:.3}; retries that reached a backend more than contactMs later: {} (at most 3)",
            third.at,
            late.len()
        ));
        for run in late {
            record.add(format!(
                "  late: {} on backend {} at {:.3}",
                run.id, run.backend, run.at
            ));
        }
    }
    stage.judge("BUDGET", broken, path)
}

/// Backends of both services, one in each zone.
fn both_services() -> Vec<BackendSpec> {
    let zones = ["waw-a", "waw-b", "lodz-a"].into_iter().enumerate();
    zones
        .flat_map(|(index, zone)| {
            let last = 2 * index as u8 + 1;
            [
                backend_spec(BOOKINGS, zone, last),
                backend_spec(INVOICES, zone, last + 1),
            ]
        })
        .collect()
}

/// Nodes of `tunelix-prod`.
fn small_fleet() -> Vec<NodeSpec> {
    let zones = ["waw-a", "waw-a", "waw-b", "lodz-a"].into_iter().zip(1..);
    zones
        .map(|(zone, last)| NodeSpec {
            zone,
            ip: address_of(NODES, last),
        })
        .collect()
}

const SMALL_CONTACT: Duration = Duration::from_millis(4_000);
const SMALL_DRAIN: Duration = Duration::from_millis(3_000);

/// Another writer leaves entries without `born` under the keys of backends, which name another service. Checks the rule
/// ROUTE.
fn play_foreign_service(trouble: bool, path: &str) -> i32 {
    let paths = [BOOKING_PATH, INVOICE_PATH];
    let mut stage = Stage::start(
        &small_fleet(),
        SMALL_BOUNDS,
        SMALL_CONTACT,
        both_services(),
        &paths,
    );
    for round in 0..6 {
        thread::sleep(Duration::from_millis(1_500));
        let backend = &stage.backends[2 * (round % 3) + 1];
        if trouble {
            stage
                .store
                .put(&backend.key(), &backend.entry(BOOKINGS, 1, None));
            stage.record.add(format!(
                "another writer: {} names {BOOKINGS}, without born",
                backend.key()
            ));
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    let runs = stage.end();
    let service_of = |target: &str| {
        if target == BOOKING_PATH {
            BOOKINGS
        } else {
            INVOICES
        }
    };
    let foreign = |run: &&Run| stage.backends[run.backend].spec.service != service_of(&run.target);
    let foreign: Vec<&Run> = runs.iter().filter(foreign).collect();
    stage.record.add(format!(
        "runs: {}, by a service to which no configuration allows them to go: {}",
        runs.len(),
        foreign.len()
    ));
    for run in foreign.iter().take(20) {
        stage.record.add(format!(
            "  {} {} on backend {} at {:.3}",
            run.id, run.target, run.backend, run.at
        ));
    }
    stage.judge("ROUTE", !foreign.is_empty(), path)
}

/// A backend leaves, and another writer leaves an entry without `born` under its key. Checks the rule DRAIN.
fn play_foreign_ready(trouble: bool, path: &str) -> i32 {
    let paths = [BOOKING_PATH, BOOKING_PATH];
    let mut stage = Stage::start(
        &small_fleet(),
        SMALL_BOUNDS,
        SMALL_CONTACT,
        both_services(),
        &paths,
    );
    thread::sleep(Duration::from_secs(2));
    let backend = Arc::clone(&stage.backends[0]);
    let gone_at = backend.leave();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        stage
            .store
            .put(&backend.key(), &backend.entry(BOOKINGS, 1, None));
        stage.record.add(format!(
            "another writer: {} is ready, without born",
            backend.key()
        ));
    }
    thread::sleep(Duration::from_secs(6));
    let runs = stage.end();
    let limit = gone_at + SMALL_DRAIN.as_secs_f64();
    let late = |run: &&Run| run.backend == 0 && run.at > limit;
    let late: Vec<&Run> = runs.iter().filter(late).collect();
    stage.record.add(format!(
        "runs: {}, on the backend that is gone, more than drainMs after the ack: {}",
        runs.len(),
        late.len()
    ));
    for run in late.iter().take(20) {
        stage.record.add(format!(
            "  {} on backend {} at {:.3}",
            run.id, run.backend, run.at
        ));
    }
    stage.judge("DRAIN", !late.is_empty(), path)
}

/// One backend of three sends additional bytes after some of its answers, for 5 s. Checks the rule TWICE.
fn play_additional_bytes(trouble: bool, path: &str) -> i32 {
    let paths = [BOOKING_PATH, BOOKING_PATH, BOOKING_PATH];
    let mut stage = Stage::start(
        &small_fleet(),
        SMALL_BOUNDS,
        SMALL_CONTACT,
        both_services(),
        &paths,
    );
    thread::sleep(Duration::from_secs(1));
    stage.backends[0].is_faulty.store(trouble, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(5));
    stage.backends[0].is_faulty.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    let runs = stage.end();
    let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let twice: Vec<_> = by_id.iter().filter(|(_, runs)| runs.len() > 1).collect();
    let answers = stage.backends[0].faulty_answers.load(Ordering::SeqCst);
    stage.record.add(format!(
        "runs: {}; answers of the faulty backend: {answers}; requests that ran more than once: {}",
        runs.len(),
        twice.len()
    ));
    for (id, runs) in &twice {
        let places: Vec<String> = runs
            .iter()
            .map(|run| format!("backend {} at {:.3}", run.backend, run.at))
            .collect();
        stage.record.add(format!("  {id}: {}", places.join(", ")));
    }
    let broken = !twice.is_empty();
    stage.judge("TWICE", broken, path)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = &args[..] else {
        fail("usage: lab SCENARIO RECORD")
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        if thread::current().name() == Some("main") {
            end_nodes();
            exit(2);
        }
    }));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let node = |zone, last| NodeSpec {
        zone,
        ip: address_of(NODES, last),
    };
    let case = match scenario.as_str() {
        // One backend in each zone, which starts again under its id.
        "crash-same-id" => CrashCase {
            nodes: vec![
                node("waw-a", 1),
                node("waw-a", 2),
                node("waw-b", 3),
                node("lodz-a", 4),
            ],
            bounds: SMALL_BOUNDS,
            contact: Duration::from_millis(4_000),
            backends: vec![("waw-a", 1), ("waw-b", 1), ("lodz-a", 1)],
            identity: Identity::Same,
            down: Duration::from_millis(2_000),
            interval: Duration::from_millis(3_000),
            length: Duration::from_secs(60),
        },
        // The request keeps coming for longer than a minute.
        "crash-minute" => CrashCase {
            nodes: vec![
                node("waw-a", 1),
                node("waw-a", 2),
                node("waw-b", 3),
                node("waw-b", 4),
                node("lodz-a", 5),
            ],
            bounds: SMALL_BOUNDS,
            contact: Duration::from_millis(4_000),
            backends: vec![("waw-a", 3), ("waw-b", 3), ("lodz-a", 3)],
            identity: Identity::New,
            down: Duration::from_millis(2_500),
            interval: Duration::from_millis(500),
            length: Duration::from_secs(88),
        },
        // More nodes than the crashes after which one of them refuses the request.
        "crash-unshared" => CrashCase {
            nodes: (1..=12)
                .map(|last| node(["waw-a", "waw-b", "lodz-a"][last as usize % 3], last))
                .collect(),
            bounds: GROWN_BOUNDS,
            contact: Duration::from_millis(5_000),
            backends: vec![("waw-a", 3), ("waw-b", 3), ("lodz-a", 2)],
            identity: Identity::New,
            down: Duration::from_millis(2_500),
            interval: Duration::from_millis(2_000),
            length: Duration::from_secs(40),
        },
        "foreign-service" => exit(play_foreign_service(trouble, path)),
        "additional-bytes" => exit(play_additional_bytes(trouble, path)),
        "foreign-ready" => exit(play_foreign_ready(trouble, path)),
        _ => fail("unknown scenario"),
    };
    exit(play_crash_case(case, trouble, path))
}

//! Stand-ins and helpers for the review's scripts: the platform's store, settings of a node, and small HTTP parts.
//! Only the standard library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Bounds and limits as in the settings that DEPLOY.md prints.
pub const CONTACT_MS: u64 = 4_000;
pub const GRACE_S: u64 = 6;

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Journal {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Journal {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}

pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_millis()).unwrap_or_default()
}

/// A loopback address of this run's own, so that fixed ports don't collide.
pub fn own_ip(host: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{host}", 64 + id / 250 % 128, 1 + id % 250)
}

/// The platform's store: items with revisions, ranges and watches.
#[derive(Clone, Default)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Waits of a watch that are longer than this are cut: the connection is closed without an answer.
    watch_cut: Option<Duration>,
    /// Connections that were opened in an earlier epoch are silent: they stay open and nothing is answered on them.
    epoch: u32,
    /// Whether the next watch that arrives starts a new epoch.
    silence_due: bool,
    /// When the last epoch began.
    silent_since: Option<Instant>,
}

impl Store {
    /// Starts the store on a free port and returns its address.
    pub fn start(&self, ip: &str) -> String {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the listener is bound")
            .to_string();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.as_bytes().to_vec()));
    }

    /// Makes all open connections silent for good at the moment at which the next watch arrives; new ones work. Returns
    /// that moment.
    pub fn silence_connections(&self) -> Instant {
        self.contents
            .0
            .lock()
            .expect("no writer panics")
            .silence_due = true;
        loop {
            thread::sleep(Duration::from_millis(2));
            let contents = self.contents.0.lock().expect("no writer panics");
            if let Some(since) = contents.silent_since.filter(|_| !contents.silence_due) {
                return since;
            }
        }
    }

    fn begin_silence_if_due(&self) {
        let mut contents = self.contents.0.lock().expect("no writer panics");
        if contents.silence_due {
            contents.silence_due = false;
            contents.epoch += 1;
            contents.silent_since = Some(Instant::now());
        }
    }

    fn epoch(&self) -> u32 {
        self.contents.0.lock().expect("no writer panics").epoch
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let contents = self.contents.0.lock().expect("no writer panics");
        let (_, value) = contents.items.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Cuts watches that wait for this long from now on.
    pub fn cut_watches_after(&self, time: Duration) {
        self.contents.0.lock().expect("no writer panics").watch_cut = Some(time);
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("no writer panics");
        contents.revision += 1;
        let revision = contents.revision;
        match &value {
            Some(value) => {
                contents
                    .items
                    .insert(key.to_owned(), (revision, value.clone()));
            }
            None => {
                contents.items.remove(key);
            }
        }
        contents.history.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = Vec::new();
        let epoch = self.epoch();
        while let Some(message) = read_message(&mut stream, &mut input) {
            let target = message
                .start
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let pair = query.split('&').find_map(|pair| {
                    let (found, value) = pair.split_once('=')?;
                    (found == name).then(|| value.to_owned())
                });
                pair.unwrap_or_default()
            };
            let body = match path {
                "/kv-range" => self.range(&parameter("prefix"), &parameter("after")),
                "/kv-watch" => {
                    self.begin_silence_if_due();
                    let after = parameter("after").parse().unwrap_or(0);
                    match self.watch(after, parameter("waitMs").parse().unwrap_or(0)) {
                        Some(body) => body,
                        None => return,
                    }
                }
                _ => String::from("{}"),
            };
            if epoch != self.epoch() {
                // Stays open until the peer closes it.
                while read_message(&mut stream, &mut input).is_some() {}
                return;
            }
            let reply = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.contents.0.lock().expect("no writer panics");
        let after = after.replace("%2F", "/");
        let items = contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, (at, value))| item(key, *at, value))
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            contents.revision
        )
    }

    /// Body of the answer to a watch; `None` if it is cut.
    fn watch(&self, after: u64, wait_ms: u64) -> Option<String> {
        let wait = Duration::from_millis(wait_ms);
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().expect("no writer panics");
        let cut = contents.watch_cut.filter(|cut| *cut < wait);
        let until = Instant::now() + cut.unwrap_or(wait);
        while contents.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            contents = changed
                .wait_timeout(contents, left)
                .expect("no writer panics")
                .0;
        }
        if contents.revision <= after && cut.is_some() {
            return None;
        }
        let events = contents.history.iter().filter(|(at, ..)| *at > after);
        let events: Vec<String> = events
            .map(|(at, key, value)| match value {
                Some(value) => item(key, *at, value),
                None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}"),
            })
            .collect();
        let as_of = contents.revision.max(after);
        Some(format!(
            "{{\"events\":[{}],\"asOf\":{as_of}}}",
            events.join(",")
        ))
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"leaseId\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(*group.get(i).unwrap_or(&0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}

/// A request or an answer.
pub struct HttpMessage {
    pub start: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self
            .start
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok());
        status.unwrap_or(0)
    }
}

pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Reads one message whose body has a length; `None` once the connection has ended.
pub fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<HttpMessage> {
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = field(&head, "content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                let start = head.lines().next().unwrap_or_default().to_owned();
                return Some(HttpMessage { start, head, body });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => input.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Configuration with these routes and services, both as JSON texts.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":100,\"warmupS\":3.0,\"warmupPerS\":0}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Route of one service.
pub fn route(kind: &str, prefix: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"r{prefix}\",\"hostname\":\"desk.example\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\"priority\":1,\"maxAttempts\":2,\"service\":\"{service}\"}}"
    )
}

/// A node: the program of the deploy file with a settings file of its own.
pub struct Node {
    pub child: Child,
    pub callers: String,
    pub readiness: String,
}

impl Node {
    /// Starts a node with its address, the store's address and the seeds' addresses.
    pub fn start(folder: &Path, name: &str, ip: &str, store: &str, seeds: &[String]) -> Self {
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(name, ip, store, seeds))
            .expect("the settings can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be written");
        let child = Command::new("target/release/medlarpost")
            .env("MEDLARPOST_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is open"))
            .stderr(log)
            .spawn()
            .expect("target/release/medlarpost is built");
        let id = child.id().to_string();
        fs::write(folder.join(format!("{name}.pid")), id).expect("the process id can be written");
        Self {
            child,
            callers: format!("{ip}:8226"),
            readiness: format!("{ip}:8227"),
        }
    }

    /// Starts so many nodes, at the run's first addresses; `None` if one of them isn't ready in time.
    pub fn start_fleet(folder: &Path, count: u8, store: &str) -> Option<Vec<Self>> {
        let addresses: Vec<String> = (1..=count).map(own_ip).collect();
        let nodes: Vec<Self> = addresses
            .iter()
            .enumerate()
            .map(|(i, ip)| Self::start(folder, &format!("node-{}", i + 1), ip, store, &addresses))
            .collect();
        let ready = nodes
            .iter()
            .all(|node| node.await_ready(Duration::from_secs(10)));
        ready.then_some(nodes)
    }

    /// Waits until the readiness check is answered with 200.
    pub fn await_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.readiness) else {
            return false;
        };
        let _ignored = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).is_ok()
            && read_message(&mut stream, &mut Vec::new())
                .is_some_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "kill works");
    }

    /// Ends the process and waits for it.
    pub fn end(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// The settings that DEPLOY.md prints, with loopback addresses.
fn settings_text(name: &str, ip: &str, store: &str, seeds: &[String]) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{seed}:8224\""))
        .collect();
    format!(
        "nodeName = \"{name}\"\nrole = \"medlarpost\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n\
         ip = \"{ip}\"\nzone = \"z-a\"\nregion = \"r-1\"\ninternalPorts = [7740,7755]\nseeds = [{}]\nbootstrap = true\n\
         inLossBudget = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"platform\"]\n\
         [zones]\nz-a = \"r-1\"\n[listen]\nfront = \"{ip}:8226\"\nready = \"{ip}:8227\"\ncontrol = \"{ip}:8224\"\n\
         [limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 520\nmaxFds = 8200\nlinkMbps = 2000.0\ndiskMb = 0\n\
         [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
         [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = {CONTACT_MS}\nackMs = 5000\ncatchupS = 4\ndrainMs = 3000\n\
         graceS = {GRACE_S}\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxSkewMs = 12000\n\
         retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 54\nwarmupExcess = 1.5\nwarmupSlack = 5\n\
         evacuateMs = 5000\nrecoveryS = 12\n[platform]\naddress = \"{store}\"\nform = \"read\"\nwritesPerS = 400\n\
         readsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n",
        seeds.join(",")
    )
}

/// The temporary folder of this run, made by `run.sh`.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::var_os("REVIEW_FOLDER").map_or_else(std::env::temp_dir, PathBuf::from);
    fs::create_dir_all(&folder).expect("a temporary folder can be made");
    folder
}

/// Whether the disruption is wanted: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// One request that a backend has begun to run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub line: String,
}

/// A sound backend of a service: it registers in the store, names itself, rejects what names another instance, and
/// echoes the id of each request.
#[derive(Clone)]
pub struct Backend {
    pub instance: String,
    pub service: String,
    pub address: String,
    slots: u32,
    work: Duration,
    journal: Journal,
    state: Arc<Mutex<BackendState>>,
}

struct BackendState {
    seq: u64,
    born: u128,
    draining: bool,
    registered: bool,
    runs: Vec<Run>,
    running: u32,
    waiting: u32,
    open: Vec<TcpStream>,
    ended: bool,
}

/// Interval at which a backend writes its entry (`heartbeatMs`).
pub const BEAT: Duration = Duration::from_millis(1_200);

/// Requests that wait at a backend at most.
const QUEUE: u32 = 12;

impl Backend {
    pub fn start(
        ip: &str,
        instance: &str,
        service: &str,
        (slots, work): (u32, Duration),
        journal: &Journal,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let backend = Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            address: listener
                .local_addr()
                .expect("the listener is bound")
                .to_string(),
            slots,
            work,
            journal: journal.clone(),
            state: Arc::new(Mutex::new(BackendState {
                seq: 0,
                born: unix_ms(),
                draining: false,
                registered: false,
                runs: Vec::new(),
                running: 0,
                waiting: 0,
                open: Vec::new(),
                ended: false,
            })),
        };
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.with(|state| state.ended) {
                    return;
                }
                let serving = accepting.clone();
                if let Ok(copy) = stream.try_clone() {
                    serving.with(|state| state.open.push(copy));
                }
                thread::spawn(move || serving.serve(stream));
            }
        });
        backend
    }

    fn with<T>(&self, change: impl FnOnce(&mut BackendState) -> T) -> T {
        change(&mut self.state.lock().expect("no writer panics"))
    }

    /// Text of its next entry.
    pub fn next_entry(&self) -> String {
        self.with(|state| {
            state.seq += 1;
            let word = if state.draining { "draining" } else { "ready" };
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"{word}\",\"warmupLeftMs\":0,\"seq\":{},\"born\":{}}}",
                self.service, self.address, self.slots, state.seq, state.born
            )
        })
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.instance)
    }

    /// Reports once. Its entry changes only when more than `seq` changes.
    pub fn beat(&self, store: &Store) {
        let entry = self.next_entry();
        let without_seq = |text: &str| {
            let (before, rest) = text.split_once("\"seq\":")?;
            Some(format!(
                "{before}{}",
                rest.trim_start_matches(|c: char| c.is_ascii_digit())
            ))
        };
        let known = store.get(&self.key());
        if known.is_none_or(|known| without_seq(&known) != without_seq(&entry)) {
            store.put(&self.key(), &entry);
        }
    }

    fn beat_if_registered(&self, store: &Store) -> bool {
        let registered = self.with(|state| state.registered);
        if registered {
            self.beat(store);
        }
        registered
    }

    /// Writes its entry now and at every [`BEAT`] until it deregisters or ends.
    pub fn register(&self, store: &Store) {
        self.with(|state| state.registered = true);
        self.beat(store);
        let (backend, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                if !backend.beat_if_registered(&store) {
                    return;
                }
            }
        });
    }

    /// Waits until it has written its entry once more.
    pub fn await_beat(&self) {
        let seq = self.with(|state| state.seq);
        while self.with(|state| state.seq) == seq {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(20));
    }

    /// Leaves without a word: its entry is removed, and it serves on.
    pub fn deregister(&self, store: &Store) {
        self.with(|state| state.registered = false);
        store.remove(&self.key());
    }

    /// Leaves: says so in its entry and in its answers from now on.
    pub fn drain(&self) {
        self.with(|state| state.draining = true);
    }

    /// Ends its process: all connections are reset or closed.
    pub fn end(&self) {
        let open = self.with(|state| {
            state.ended = true;
            state.registered = false;
            std::mem::take(&mut state.open)
        });
        for stream in open {
            let _closed = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.with(|state| state.runs.clone())
    }

    /// Waits in the queue until a slot is free. Returns whether there was room in the queue.
    fn take_slot(&self) -> bool {
        let room = self.with(|state| {
            let room = state.waiting < QUEUE;
            state.waiting += u32::from(room);
            room
        });
        while room {
            let taken = self.with(|state| {
                let free = state.running < self.slots;
                state.running += u32::from(free);
                state.waiting -= u32::from(free);
                free
            });
            if taken {
                return true;
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ignored = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut input) {
            let id = request.field("request-id").unwrap_or_default();
            let leaving = if self.with(|state| state.draining) {
                "Server-Leaving: 1\r\n"
            } else {
                ""
            };
            let instance = &self.instance;
            if request.field("expect-instance").as_deref() != Some(instance) {
                let reply = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {instance}\r\n\
                     Not-Executed: 1\r\n{leaving}Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(reply.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !self.take_slot() {
                let reply = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{leaving}\
                     Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(reply.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                at: Instant::now(),
                id: id.clone(),
                line: request.start.clone(),
            };
            self.with(|state| state.runs.push(run));
            self.journal.note(format!(
                "{instance} ({}) runs {id}: {}",
                self.service, request.start
            ));
            thread::sleep(self.work);
            let (ended, running, waiting) = self.with(|state| {
                state.running -= 1;
                (state.ended, state.running, state.waiting)
            });
            if ended {
                return;
            }
            let body = format!("{}:{id}", self.service);
            let reply = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {instance}.{id}\r\nServer-Load: {running},{waiting},{}\r\n\
                 {leaving}Content-Length: {}\r\n\r\n{body}",
                self.slots,
                body.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends one request on a connection of its own. Returns the answer, or `None` if the connection ended without one.
pub fn ask(
    callers: &str,
    method: &str,
    path: &str,
    id: &str,
    time_limit_ms: u64,
    body: &str,
) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(callers).ok()?;
    let _ignored = stream.set_nodelay(true);
    let _ignored = stream.set_read_timeout(Some(Duration::from_millis(time_limit_ms)));
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {time_limit_ms}\r\n\
         {length}\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

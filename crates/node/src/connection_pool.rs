//! Pool of connections to one registered upstream.

use crate::{
    dialect::Dialect,
    prelude::*,
    upstream_connection::{
        self, ConnectionCommand, ConnectionParts, ConnectionReport, ForwardJob,
        UpstreamConnectionKey,
    },
};

/// Longest time since its last reply for which a connection may carry an at-most-once request. An upstream may close an
/// idle connection while the request is on its way, which would leave the outcome unknown.
const AT_MOST_ONCE_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// A connection is no longer used this long before the keep-alive time that the upstream announced runs out.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Longest lifetime of the first idle connection; an announced keep-alive time can shorten it.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// Longest lifetime of further idle connections. An upstream's connections are shared by the whole fleet.
const SURPLUS_LIFETIME: Duration = Duration::from_secs(2);

/// Connections to one upstream. Each is owned by a task; the pool holds the sending sides of their channels.
#[derive(Debug)]
pub(crate) struct ConnectionPool<D> {
    /// Template for new connections; its key is null.
    parts: ConnectionParts<D>,
    connections: SlotMap<UpstreamConnectionKey, mpsc::UnboundedSender<ConnectionCommand>>,
    /// Connections that can take a request, the last used one at the end. It is taken first, so that surplus ones
    /// expire.
    idle: Vec<IdleConnection>,
    running: HashMap<AttemptKey, UpstreamConnectionKey>,
    closing: bool,
}

#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    key: UpstreamConnectionKey,
    last_reply: Timestamp,
    usable_until: Timestamp,
}

impl<D: Dialect> ConnectionPool<D> {
    pub(crate) fn new(parts: ConnectionParts<D>) -> Self {
        Self {
            parts,
            connections: SlotMap::with_key(),
            idle: Vec::new(),
            running: HashMap::new(),
            closing: false,
        }
    }

    /// Sends a job on an idle connection or a new one. `at_most_once` marks a request that must not run twice.
    pub(crate) fn send(&mut self, now: Timestamp, job: ForwardJob, at_most_once: bool) {
        let attempt = job.attempt;
        let mut command = ConnectionCommand::Run(job);
        loop {
            let key = self
                .take_idle(now, at_most_once)
                .unwrap_or_else(|| self.open_connection());
            self.running.insert(attempt, key);
            // A connection task that is ending returns the command; another connection takes it.
            match self.connections[key].send(command) {
                Ok(()) => return,
                Err(refused) => command = refused.0,
            }
            self.connections.remove(key);
        }
    }

    /// Tells the connection that runs an attempt that its reply is no longer wanted.
    pub(crate) fn cancel(&self, attempt: AttemptKey) {
        self.command(attempt, ConnectionCommand::Cancel(attempt));
    }

    /// Tells the connection that runs an attempt to stop reading its reply.
    pub(crate) fn end_reply(&self, attempt: AttemptKey) {
        self.command(attempt, ConnectionCommand::EndReply(attempt));
    }

    fn command(&self, attempt: AttemptKey, command: ConnectionCommand) {
        let connection = self.running.get(&attempt);
        if let Some(tx) = connection.and_then(|key| self.connections.get(*key)) {
            let _ending = tx.send(command);
        }
    }

    /// Keeps or drops a connection after its report. Returns whether the pool is closed and has no running attempt.
    pub(crate) fn handle_report(&mut self, now: Timestamp, report: &ConnectionReport) -> bool {
        if let Some(end) = &report.end {
            self.running.remove(&end.attempt);
        }
        let key = report.connection;
        if report.reusable && !self.closing && self.connections.contains_key(key) {
            let longest = if self.idle.is_empty() {
                IDLE_LIFETIME
            } else {
                SURPLUS_LIFETIME
            };
            let lifetime = report.keep_alive.map_or(longest, |time| {
                time.saturating_sub(KEEP_ALIVE_MARGIN).min(longest)
            });
            self.close_expired(now);
            self.idle.push(IdleConnection {
                key,
                last_reply: now,
                usable_until: now + lifetime,
            });
        } else {
            self.idle.retain(|idle| idle.key != key);
            self.connections.remove(key);
        }
        self.is_drained()
    }

    /// Closes idle connections now and busy ones after their reply. Returns whether no attempt is running.
    pub(crate) fn close(&mut self) -> bool {
        self.closing = true;
        for idle in self.idle.drain(..) {
            self.connections.remove(idle.key);
        }
        self.is_drained()
    }

    /// Instance of the upstream.
    pub(crate) fn instance(&self) -> &str {
        &self.parts.instance
    }

    /// Number of connections, including those that are still opening.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    fn close_expired(&mut self, now: Timestamp) {
        let connections = &mut self.connections;
        self.idle.retain(|idle| {
            let usable = idle.usable_until > now;
            if !usable {
                // Dropping the sender ends the connection task, which closes the socket.
                connections.remove(idle.key);
            }
            usable
        });
    }

    fn is_drained(&self) -> bool {
        self.closing && self.running.is_empty()
    }

    fn take_idle(&mut self, now: Timestamp, at_most_once: bool) -> Option<UpstreamConnectionKey> {
        self.close_expired(now);
        while let Some(idle) = self.idle.pop() {
            if !at_most_once || now.since(idle.last_reply) <= AT_MOST_ONCE_IDLE_LIMIT {
                return Some(idle.key);
            }
            self.connections.remove(idle.key);
        }
        None
    }

    fn open_connection(&mut self) -> UpstreamConnectionKey {
        let (tx, rx) = mpsc::unbounded_channel();
        let key = self.connections.insert(tx);
        let parts = ConnectionParts {
            key,
            ..self.parts.clone()
        };
        actix_rt::spawn(upstream_connection::run(parts, rx));
        key
    }
}

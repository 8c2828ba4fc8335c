//! Bounded queue between loggers and standard output, so that a blocked reader of the output never blocks the node.

use slog::Level;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Capacity of the queue; a line has about 200 bytes.
const CAPACITY_LINES: usize = 4_096;

/// Queue length from which lines of level info and below are dropped, which leaves room for warnings and errors.
const INFO_CAPACITY_LINES: usize = CAPACITY_LINES * 3 / 4;

/// Bytes from which a batch of lines is written.
const BATCH_BYTES: usize = 64 * 1024;

/// Pause before a full queue is tried again for a flush.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A bounded queue of lines and the thread that writes them. Lines that find it full are dropped and counted.
#[derive(Clone, Debug)]
pub struct LogQueue {
    tx: SyncSender<QueueEntry>,
    counters: Arc<QueueCounters>,
}

/// What the writing thread receives.
#[derive(Debug)]
enum QueueEntry {
    Line(String),
    /// Confirm once all lines before this entry are written.
    Flush(SyncSender<()>),
}

#[derive(Debug, Default)]
struct QueueCounters {
    waiting: AtomicUsize,
    dropped_failures: AtomicU64,
    dropped_infos: AtomicU64,
}

impl LogQueue {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn start(output: impl std::io::Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(CAPACITY_LINES);
        let counters = Arc::new(QueueCounters::default());
        let writer = Arc::clone(&counters);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &writer, output))?;
        Ok(Self { tx, counters })
    }

    /// Queues a line, which ends in a line feed. Never blocks; drops and counts the line if there is no room.
    pub fn push(&self, level: Level, line: String) {
        let is_failure = level.is_at_least(Level::Warning);
        let waiting = self.counters.waiting.fetch_add(1, Ordering::Relaxed);
        let has_room = is_failure || waiting < INFO_CAPACITY_LINES;
        if has_room && self.tx.try_send(QueueEntry::Line(line)).is_ok() {
            return;
        }
        self.counters.waiting.fetch_sub(1, Ordering::Relaxed);
        let dropped = if is_failure {
            &self.counters.dropped_failures
        } else {
            &self.counters.dropped_infos
        };
        dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until all queued lines are written. Returns whether they were; they are not if the output is blocked for
    /// all of `within` or is closed.
    pub fn flush(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        let (written, confirmation) = sync_channel(1);
        let mut entry = QueueEntry::Flush(written);
        loop {
            match self.tx.try_send(entry) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(refused)) => entry = refused,
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        confirmation.recv_timeout(left).is_ok()
    }

    /// Lines dropped since the start: those of level warning and above, and those below.
    pub fn dropped(&self) -> (u64, u64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (
            read(&self.counters.dropped_failures),
            read(&self.counters.dropped_infos),
        )
    }
}

/// Lines that are written together.
#[derive(Debug, Default)]
struct Batch {
    text: String,
    lines: usize,
    /// Confirmations to send once the text is written.
    flushes: Vec<SyncSender<()>>,
}

impl Batch {
    fn add(&mut self, entry: QueueEntry) {
        match entry {
            QueueEntry::Line(line) => {
                self.text.push_str(&line);
                self.lines += 1;
            }
            QueueEntry::Flush(written) => self.flushes.push(written),
        }
    }
}

/// Writes lines until all senders are dropped or the output is closed. Reports newly dropped lines after each batch.
fn write_lines(
    rx: &Receiver<QueueEntry>,
    counters: &QueueCounters,
    mut output: impl std::io::Write,
) {
    let mut reported = (0, 0);
    while let Ok(first) = rx.recv() {
        let mut batch = Batch::default();
        batch.add(first);
        while batch.text.len() < BATCH_BYTES
            && let Ok(entry) = rx.try_recv()
        {
            batch.add(entry);
        }
        counters.waiting.fetch_sub(batch.lines, Ordering::Relaxed);
        let dropped = (
            counters.dropped_failures.load(Ordering::Relaxed),
            counters.dropped_infos.load(Ordering::Relaxed),
        );
        if dropped != reported {
            let (failures, infos) = (dropped.0 - reported.0, dropped.1 - reported.1);
            batch.text.extend([
                "level=WARN event=log_lines_dropped failures=",
                &failures.to_string(),
                " infos=",
                &infos.to_string(),
                "\n",
            ]);
            reported = dropped;
        }
        if output
            .write_all(batch.text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            // A closed standard output must not stop the node: the channel closes, and later lines count as dropped.
            return;
        }
        for written in batch.flushes {
            // The flush may have timed out.
            let _gone = written.send(());
        }
    }
}
